#include "damaskyard/status_service.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <rpc/rpc.h>

#include "dy_control.h"

void dy_status_page_init(dy_status_page_t *page, uint32_t from)
{
	page->from = from;
	page->line = 0;
	page->more = 0;
	page->used = 0;
	page->lines[0] = '\0';
}

int dy_status_page_begin_line(dy_status_page_t *page)
{
	if (page->more)
		return 0;
	return page->line++ >= page->from;
}

void dy_status_page_add(dy_status_page_t *page, const char *format, ...)
{
	size_t remaining = sizeof(page->lines) - page->used;
	va_list ap;
	int len;

	va_start(ap, format);
	len = vsnprintf(page->lines + page->used, remaining, format, ap);
	va_end(ap);
	if (len < 0 || (size_t)len + 2 > remaining) {
		page->lines[page->used] = '\0';
		page->more = 1;
		return;
	}
	page->used += (size_t)len;
	page->lines[page->used++] = '\n';
	page->lines[page->used] = '\0';
}

static void add_counter(void *context, const char *name, uint64_t value)
{
	dy_status_page_t *page = context;

	if (dy_status_page_begin_line(page))
		dy_status_page_add(page, "counter name=%s value=%lu", name,
				   (unsigned long)value);
}

static bool_t xdr_empty(XDR *xdrs, void *value)
{
	(void)xdrs;
	(void)value;
	return TRUE;
}

size_t dy_status_service_answer(dy_seal_t *seal, const dy_metrics_t *metrics,
				const dy_sealed_t *message, uint8_t *out,
				size_t cap)
{
	dy_status_page_t page;
	dy_inspect_result_t result = { 0 };
	dy_inspect_t args;

	if (message->procedure == DY_STATUS_NULL)
		return dy_seal_write_reply(seal, message->xid,
					   (xdrproc_t)xdr_empty, NULL, out,
					   cap);
	if (message->procedure != DY_STATUS_COUNTERS ||
	    !dy_sealed_load(message, (xdrproc_t)xdr_dy_inspect_t, &args,
			    sizeof(args)))
		return 0;
	dy_status_page_init(&page, args.from);
	dy_metrics_each(metrics, add_counter, &page);
	result.more = page.more;
	result.lines = page.lines;
	return dy_seal_write_reply(seal, message->xid,
				   (xdrproc_t)xdr_dy_inspect_result_t, &result,
				   out, cap);
}
