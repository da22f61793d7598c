#include "image_fetch.h"

#include <glib.h>

#include "damaskyard/log.h"
#include "document_fetch.h"

struct image_fetch {
	const image_fetch_callbacks_t *callbacks;
	void *context;
	document_fetch_t *pages;
	int under_way;
	int has_info; /* pages are being fetched */
	unsigned failures;
	int refused;  /* the last answer said that there is none */
	uint32_t xid; /* of the question */
	uint64_t again_ms;
};

static uint32_t send_page(void *context, dy_fetch_t *request)
{
	image_fetch_t *fetch = context;

	return fetch->callbacks->page(fetch->context, request);
}

/* The next question goes elsewhere; see image_fetch_tick(). */
static void turn_pages(void *context)
{
	image_fetch_t *fetch = context;

	fetch->has_info = 0;
}

static void take_image(void *context, const dy_document_info_t *info,
		       const uint8_t *bytes, size_t len)
{
	image_fetch_t *fetch = context;

	fetch->under_way = 0;
	if (fetch->callbacks->done(fetch->context, bytes, len))
		return;
	dy_log_event(DY_LOG_ERROR, "image_refused", "version=%lu",
		     (unsigned long)info->number);
}

static const document_fetch_callbacks_t page_callbacks = {
	send_page,
	turn_pages,
	take_image,
};

image_fetch_t *image_fetch_create(const image_fetch_callbacks_t *callbacks,
				  void *context)
{
	image_fetch_t *fetch = g_new0(image_fetch_t, 1);

	fetch->callbacks = callbacks;
	fetch->context = context;
	return fetch;
}

void image_fetch_destroy(image_fetch_t *fetch)
{
	if (!fetch)
		return;
	document_fetch_destroy(fetch->pages);
	g_free(fetch);
}

static void wait(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->again_ms = now_ms + (IMAGE_FETCH_AGAIN_MS << fetch->failures);
}

static void ask(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->has_info = 0;
	wait(fetch, now_ms);
	fetch->xid = fetch->callbacks->ask(fetch->context);
}

void image_fetch_begin(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->failures = 0;
	fetch->under_way = 1;
	ask(fetch, now_ms);
}

int image_fetch_is_under_way(const image_fetch_t *fetch)
{
	return fetch->under_way;
}

int image_fetch_waits(const image_fetch_t *fetch, uint32_t xid)
{
	return fetch->under_way &&
	       (fetch->has_info ? document_fetch_waits(fetch->pages, xid)
				: fetch->xid == xid);
}

/*
 * A control that has just started has no image yet; another one may. The second
 * that refuses in a row is waited for, or all would be asked at once.
 */
static void ask_elsewhere(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->callbacks->turn(fetch->context);
	if (!fetch->refused)
		ask(fetch, now_ms);
	fetch->refused = !fetch->refused;
}

static void take_info(image_fetch_t *fetch, const dy_sealed_t *message,
		      uint64_t now_ms)
{
	dy_image_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_image_result_t, &result,
			    sizeof(result)))
		return;
	if (result.status != DY_STATUS_OK) {
		ask_elsewhere(fetch, now_ms);
	} else {
		fetch->refused = 0;
		fetch->has_info = 1;
		/* An image is kept by the control that made it alone. */
		document_fetch_destroy(fetch->pages);
		fetch->pages = document_fetch_create(&page_callbacks, fetch);
		document_fetch_begin(fetch->pages, &result.info, now_ms);
	}
	xdr_free((xdrproc_t)xdr_dy_image_result_t, (char *)&result);
}

static void take_page(image_fetch_t *fetch, const dy_sealed_t *message,
		      uint64_t now_ms)
{
	dy_fetch_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_fetch_result_t, &result,
			    sizeof(result)))
		return;
	wait(fetch, now_ms);
	document_fetch_receive(fetch->pages, message->xid, &result, now_ms);
	xdr_free((xdrproc_t)xdr_dy_fetch_result_t, (char *)&result);
}

void image_fetch_receive(image_fetch_t *fetch, const dy_sealed_t *message,
			 uint64_t now_ms)
{
	if (fetch->has_info)
		take_page(fetch, message, now_ms);
	else
		take_info(fetch, message, now_ms);
}

void image_fetch_tick(image_fetch_t *fetch, uint64_t now_ms)
{
	if (!fetch->under_way || now_ms < fetch->again_ms)
		return;
	if (++fetch->failures >= IMAGE_FETCH_TRIES) {
		fetch->under_way = 0;
		return;
	}
	fetch->callbacks->turn(fetch->context);
	ask(fetch, now_ms);
}
