/* Pulls maps page by page over one flow and checks every byte. */

#include "common_args.h"
#include "common_caller.h"
#include "common_maps.h"

#include <stdio.h>
#include <string.h>

/* A page that was not received is requested again: PAGE is idempotent. */
#define MAX_TRIES 100
#define RETRY_DELAY_MS 100

static int is_page_correct(const char *name, unsigned page,
			   const standin_page_t *result)
{
	char bytes[STANDIN_PAGE_MAX];
	unsigned length = standin_map_fill(name, page, bytes);

	return result->pages == STANDIN_MAP_PAGES &&
	       result->bytes.bytes_len == length &&
	       !memcmp(result->bytes.bytes_val, bytes, length);
}

/* Returns 1 if the page is correct, 0 if none was received, -1 if wrong. */
static int pull_page(standin_flow_t *flow, char *name, unsigned page)
{
	standin_page_args_t args = { .name = name, .page = page };
	int tries;

	for (tries = 0; tries < MAX_TRIES; tries++) {
		standin_page_t result = { 0 };
		standin_outcome_t outcome = standin_flow_call(
			flow, STANDIN_PAGE, (xdrproc_t)xdr_standin_page_args_t,
			&args, (xdrproc_t)xdr_standin_page_t, &result);
		int correct = outcome == STANDIN_ANSWERED &&
			      is_page_correct(name, page, &result);

		xdr_free((xdrproc_t)xdr_standin_page_t, &result);
		if (correct)
			return 1;
		if (outcome == STANDIN_ANSWERED ||
		    outcome == STANDIN_BAD_ANSWER)
			return -1;
		g_usleep(RETRY_DELAY_MS * 1000);
	}
	return 0;
}

int main(int argc, char **argv)
{
	standin_flow_t flow = { .program = STANDIN_MAPS_PROG,
				.version = STANDIN_MAPS_VERS,
				.retry_interval_ms = 300,
				.timeout_ms = 6000 };
	unsigned pulled = 0;
	unsigned missing = 0;
	unsigned mismatched = 0;
	char *address = "";
	int maps = 1;
	int i;
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &address,
		  "Address of the map service", "IP:PORT" },
		{ "maps", 0, 0, G_OPTION_ARG_INT, &maps, "Maps to pull", "N" },
		{ NULL }
	};

	standin_parse_options(argc, argv, "A stand-in reader of maps.",
			      entries);
	flow.address = standin_parse_address(address);
	if (standin_flow_open(&flow, MAX_TRIES * RETRY_DELAY_MS))
		standin_die("no flow could be opened");
	for (i = 0; i < maps * STANDIN_MAP_PAGES; i++) {
		char *name = g_strdup_printf("map%d", i / STANDIN_MAP_PAGES);
		int result = pull_page(&flow, name, i % STANDIN_MAP_PAGES);

		pulled += result > 0;
		missing += !result;
		mismatched += result < 0;
		g_free(name);
	}
	standin_flow_close(&flow);
	printf("pages=%u missing=%u mismatched=%u\n", pulled, missing,
	       mismatched);
	return missing || mismatched;
}
