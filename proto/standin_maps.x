/*
 * The stand-in map service: callers download a named map page by page.
 *
 * The bytes of a page are a function of the map's name and the page's number,
 * so that a caller can verify that a page is complete and the one it requested.
 * PAGE is idempotent.
 */

const STANDIN_MAP_NAME_MAX = 64;
const STANDIN_PAGE_MAX = 8192;

struct standin_page_args_t {
	string name<STANDIN_MAP_NAME_MAX>;
	unsigned int page;
};

struct standin_page_t {
	/* Pages of the whole map; a page beyond the end is empty. */
	unsigned int pages;
	opaque bytes<STANDIN_PAGE_MAX>;
};

program STANDIN_MAPS_PROG {
	version STANDIN_MAPS_VERS {
		void STANDIN_MAPS_NULL(void) = 0;
		standin_page_t STANDIN_PAGE(standin_page_args_t) = 1;
	} = 1;
} = 0x2A000002;
