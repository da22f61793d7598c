#include "image_fetch.h"

#include <glib.h>

#include "damaskyard/log.h"
#include "document_fetch.h"

struct image_fetch {
	const image_fetch_callbacks_t *callbacks;
	void *context;
	document_fetch_t *pages;
	int active;
	int has_info; /* pages are being fetched */
	unsigned failures;
	int unavailable;   /* the last answer said that there is no image */
	uint32_t info_xid; /* of the request for the description */
	uint64_t timeout_at_ms;
};

static uint32_t send_page_request(void *context, dy_fetch_t *request)
{
	image_fetch_t *fetch = context;

	return fetch->callbacks->request_page(fetch->context, request);
}

/* The next timeout starts again at another control; see image_fetch_tick(). */
static void abandon_pages(void *context)
{
	image_fetch_t *fetch = context;

	fetch->has_info = 0;
}

static void finish_image(void *context, const dy_document_info_t *info,
			 const uint8_t *bytes, size_t len)
{
	image_fetch_t *fetch = context;

	fetch->active = 0;
	if (fetch->callbacks->done(fetch->context, bytes, len))
		return;
	dy_log_event(DY_LOG_ERROR, "image_refused", "version=%lu",
		     (unsigned long)info->number);
}

static const document_fetch_callbacks_t page_callbacks = {
	send_page_request,
	abandon_pages,
	finish_image,
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

static void restart_timeout(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->timeout_at_ms =
		now_ms + (IMAGE_FETCH_TIMEOUT_MS << fetch->failures);
}

static void request_info(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->has_info = 0;
	restart_timeout(fetch, now_ms);
	fetch->info_xid = fetch->callbacks->request_info(fetch->context);
}

void image_fetch_begin(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->failures = 0;
	fetch->active = 1;
	request_info(fetch, now_ms);
}

int image_fetch_is_active(const image_fetch_t *fetch)
{
	return fetch->active;
}

int image_fetch_is_pending(const image_fetch_t *fetch, uint32_t xid)
{
	return fetch->active &&
	       (fetch->has_info ? document_fetch_is_pending(fetch->pages, xid)
				: fetch->info_xid == xid);
}

/*
 * A control that has just started has no image yet, but another one may. After
 * a second refusal in a row the next request waits for the timeout; otherwise
 * all controls would be asked at once.
 */
static void request_info_elsewhere(image_fetch_t *fetch, uint64_t now_ms)
{
	fetch->callbacks->switch_control(fetch->context);
	if (!fetch->unavailable)
		request_info(fetch, now_ms);
	fetch->unavailable = !fetch->unavailable;
}

static void receive_info(image_fetch_t *fetch, const dy_sealed_t *message,
			 uint64_t now_ms)
{
	dy_image_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_image_result_t, &result,
			    sizeof(result)))
		return;
	if (result.status != DY_STATUS_OK) {
		request_info_elsewhere(fetch, now_ms);
	} else {
		fetch->unavailable = 0;
		fetch->has_info = 1;
		/* Only the control that created an image stores it. */
		document_fetch_destroy(fetch->pages);
		fetch->pages = document_fetch_create(&page_callbacks, fetch);
		document_fetch_begin(fetch->pages, &result.info, now_ms);
	}
	xdr_free((xdrproc_t)xdr_dy_image_result_t, (char *)&result);
}

static void receive_page(image_fetch_t *fetch, const dy_sealed_t *message,
			 uint64_t now_ms)
{
	dy_fetch_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_fetch_result_t, &result,
			    sizeof(result)))
		return;
	restart_timeout(fetch, now_ms);
	document_fetch_receive(fetch->pages, message->xid, &result, now_ms);
	xdr_free((xdrproc_t)xdr_dy_fetch_result_t, (char *)&result);
}

void image_fetch_receive(image_fetch_t *fetch, const dy_sealed_t *message,
			 uint64_t now_ms)
{
	if (fetch->has_info)
		receive_page(fetch, message, now_ms);
	else
		receive_info(fetch, message, now_ms);
}

void image_fetch_tick(image_fetch_t *fetch, uint64_t now_ms)
{
	if (!fetch->active || now_ms < fetch->timeout_at_ms)
		return;
	if (++fetch->failures >= IMAGE_FETCH_ATTEMPTS_MAX) {
		fetch->active = 0;
		return;
	}
	fetch->callbacks->switch_control(fetch->context);
	request_info(fetch, now_ms);
}
