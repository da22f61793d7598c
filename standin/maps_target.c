/* A map server: answers any page of any map, always with the same bytes. */

#include "common_args.h"
#include "common_maps.h"
#include "common_server.h"

typedef struct page_reply {
	standin_page_t page;
	char bytes[STANDIN_PAGE_MAX];
} page_reply_t;

static void answer_page(unsigned delay_ms, SVCXPRT *transport)
{
	standin_page_args_t args = { 0 };
	page_reply_t *reply;

	if (!svc_getargs(transport, (xdrproc_t)xdr_standin_page_args_t,
			 &args)) {
		svcerr_decode(transport);
		return;
	}
	reply = g_new0(page_reply_t, 1);
	reply->page.pages = STANDIN_MAP_PAGES;
	reply->page.bytes.bytes_val = reply->bytes;
	reply->page.bytes.bytes_len =
		standin_map_fill(args.name, args.page, reply->bytes);
	standin_server_reply(transport, (xdrproc_t)xdr_standin_page_t, reply,
			     delay_ms);
	svc_freeargs(transport, (xdrproc_t)xdr_standin_page_args_t, &args);
}

static void handle_call(void *context, struct svc_req *request,
			SVCXPRT *transport)
{
	const int *delay_ms = context;

	switch (request->rq_proc) {
	case STANDIN_MAPS_NULL:
		standin_server_reply(transport, STANDIN_XDR_VOID, NULL, 0);
		break;
	case STANDIN_PAGE:
		answer_page(*delay_ms, transport);
		break;
	default:
		svcerr_noproc(transport);
	}
}

int main(int argc, char **argv)
{
	char *listen_text = "127.0.0.1:0";
	int delay_ms = 0;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text,
		  "Where calls are taken", "IP:PORT" },
		{ "delay-ms", 0, 0, G_OPTION_ARG_INT, &delay_ms,
		  "Time before a page is answered", "MS" },
		{ NULL }
	};

	standin_parse_options(argc, argv, "A stand-in map server.", entries);
	standin_server_run(listen_text, STANDIN_MAPS_PROG, STANDIN_MAPS_VERS,
			   handle_call, &delay_ms);
	return 0;
}
