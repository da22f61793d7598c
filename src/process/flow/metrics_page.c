#include "metrics_page.h"

#include <string.h>

#define METRICS_PATH "/metrics"

/* Limit of HTTP bodies; requests for counters have none. */
#define BODY_MAX_BYTES 1024

struct metrics_page {
	dy_http_server_t *http;
	dy_metrics_t *metrics;
};

static void add_line(void *context, const char *name, uint64_t value)
{
	g_string_append_printf(context, "%s %lu\n", name, (unsigned long)value);
}

static void on_request(void *context, dy_http_exchange_t *exchange,
		       const dy_http_request_t *request)
{
	metrics_page_t *page = context;
	GString *text;
	dy_http_answer_t answer = { .status = 200, .type = "text/plain" };

	if (strcmp(request->path, METRICS_PATH) != 0) {
		dy_http_answer_status(exchange, 404);
		return;
	}
	if (strcmp(request->method, "GET") != 0) {
		dy_http_answer_status(exchange, 405);
		return;
	}
	text = g_string_new(NULL);
	dy_metrics_each(page->metrics, add_line, text);
	answer.body = text->str;
	answer.body_len = text->len;
	dy_http_answer(exchange, &answer);
	g_string_free(text, TRUE);
}

metrics_page_t *metrics_page_create(dy_loop_t *loop, dy_metrics_t *metrics,
				    const dy_address_t *listen, GError **error)
{
	metrics_page_t *page = g_new0(metrics_page_t, 1);
	dy_http_config_t config = { 0 };

	page->metrics = metrics;
	config.listen = *listen;
	config.body_max_bytes = BODY_MAX_BYTES;
	config.handle = on_request;
	config.context = page;
	page->http = dy_http_server_create(loop, metrics, &config, error);
	if (page->http)
		return page;
	g_free(page);
	return NULL;
}

void metrics_page_destroy(metrics_page_t *page)
{
	if (!page)
		return;
	dy_http_server_destroy(page->http);
	g_free(page);
}
