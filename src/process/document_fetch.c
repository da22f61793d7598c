#include "document_fetch.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/document.h"
#include "damaskyard/document_patch.h"
#include "damaskyard/log.h"

/*
 * A page that has not come after this, in ms, is asked for elsewhere; doubled
 * with each that was lost in a row. Some times what a control needs to answer
 * all who start at once.
 */
#define AGAIN_MS 100

struct document_fetch {
	const document_fetch_callbacks_t *callbacks;
	void *context;
	int active;
	dy_document_info_t info;
	char *environment;
	uint64_t newest; /* number of the newest document begun */
	dy_document_patch_t patch;
	int has_patch; /* a page has told it */
	int whole;     /* ask for all of it, the held one did not fit */
	int refused;   /* the last answer was not found */
	unsigned lost; /* requests in a row without an answer */
	uint8_t *run;
	uint32_t received;
	uint32_t xid;
	uint64_t sent_ms;
	uint8_t *held; /* the document taken last, for the next patch */
	uint32_t held_len;
	uint8_t held_digest[DY_DIGEST_BYTES];
	uint64_t wrong;
};

document_fetch_t *document_fetch_create(
	const document_fetch_callbacks_t *callbacks, void *context)
{
	document_fetch_t *fetch = g_new0(document_fetch_t, 1);

	fetch->callbacks = callbacks;
	fetch->context = context;
	return fetch;
}

static void forget_pages(document_fetch_t *fetch)
{
	fetch->refused = 0;
	g_clear_pointer(&fetch->run, g_free);
	fetch->has_patch = 0;
	fetch->received = 0;
}

static void end_fetch(document_fetch_t *fetch)
{
	forget_pages(fetch);
	g_clear_pointer(&fetch->environment, g_free);
	fetch->active = 0;
	fetch->whole = 0;
	fetch->lost = 0;
}

void document_fetch_destroy(document_fetch_t *fetch)
{
	if (!fetch)
		return;
	end_fetch(fetch);
	g_free(fetch->held);
	g_free(fetch);
}

static void send_request(document_fetch_t *fetch, uint64_t now_ms)
{
	dy_fetch_t request = { 0 };

	request.environment = fetch->environment;
	memcpy(request.digest, fetch->info.digest, DY_DIGEST_BYTES);
	if (fetch->held && !fetch->whole)
		memcpy(request.base, fetch->held_digest, DY_DIGEST_BYTES);
	request.offset = fetch->received;
	fetch->sent_ms = now_ms;
	fetch->xid = fetch->callbacks->send(fetch->context, &request);
}

void document_fetch_begin(document_fetch_t *fetch,
			  const dy_document_info_t *info, uint64_t now_ms)
{
	if (info->number <= fetch->newest || info->size > DY_DOCUMENT_BYTES)
		return;
	end_fetch(fetch);
	fetch->newest = info->number;
	fetch->info = *info;
	fetch->environment = g_strdup(info->environment);
	fetch->info.environment = fetch->environment;
	fetch->active = 1;
	send_request(fetch, now_ms);
}

void document_fetch_reset(document_fetch_t *fetch)
{
	end_fetch(fetch);
	if (fetch->newest)
		fetch->newest--;
}

/* Ask another control for the whole, at the next tick. */
static void restart_fetch(document_fetch_t *fetch)
{
	forget_pages(fetch);
	fetch->whole = 1;
	fetch->callbacks->turn(fetch->context);
}

static int has_digest(const uint8_t *bytes, uint32_t len, const void *digest)
{
	uint8_t found[DY_DIGEST_BYTES];

	dy_document_digest(bytes, len, found);
	return !memcmp(found, digest, DY_DIGEST_BYTES);
}

static void finish_fetch(document_fetch_t *fetch)
{
	uint32_t len = 0;
	uint8_t *bytes;

	bytes = dy_document_patch_apply(&fetch->patch, fetch->held,
					fetch->held_len, fetch->run, &len);
	if (!bytes || !has_digest(bytes, len, fetch->info.digest)) {
		fetch->wrong++;
		dy_log_event(DY_LOG_ERROR, "document_digest_wrong",
			     "number=%lu", (unsigned long)fetch->info.number);
		g_free(bytes);
		restart_fetch(fetch);
		return;
	}
	g_free(fetch->held);
	fetch->held = bytes;
	fetch->held_len = len;
	memcpy(fetch->held_digest, fetch->info.digest, DY_DIGEST_BYTES);
	fetch->callbacks->done(fetch->context, &fetch->info, bytes, len);
	end_fetch(fetch);
}

/*
 * Another control may hold another base and tell another patch: then what
 * was received so far does not fit, and the fetch begins anew.
 */
static int accept_patch(document_fetch_t *fetch,
			const dy_fetch_result_t *result)
{
	dy_document_patch_t patch = { result->prefix, result->suffix,
				      result->size };

	if (fetch->has_patch)
		return !memcmp(&patch, &fetch->patch, sizeof(patch));
	if (patch.size > DY_DOCUMENT_BYTES)
		return 0;
	fetch->patch = patch;
	fetch->has_patch = 1;
	fetch->run = g_malloc(patch.size + 1);
	return 1;
}

static void take_page(document_fetch_t *fetch, const dy_fetch_result_t *result,
		      uint64_t now_ms)
{
	uint32_t len = result->page.page_len;

	if (!accept_patch(fetch, result) ||
	    len > fetch->patch.size - fetch->received) {
		restart_fetch(fetch);
		return;
	}
	if (len)
		memcpy(fetch->run + fetch->received, result->page.page_val,
		       len);
	fetch->received += len;
	if (fetch->received == fetch->patch.size)
		finish_fetch(fetch);
	else if (len)
		send_request(fetch, now_ms);
}

int document_fetch_waits(const document_fetch_t *fetch, uint32_t xid)
{
	return fetch->active && fetch->xid == xid;
}

int document_fetch_receive(document_fetch_t *fetch, uint32_t xid,
			   const dy_fetch_result_t *result, uint64_t now_ms)
{
	if (!document_fetch_waits(fetch, xid))
		return 0;
	fetch->lost = 0;
	if (result->status == DY_STATUS_OK) {
		fetch->refused = 0;
		take_page(fetch, result, now_ms);
		return 1;
	}
	fetch->callbacks->turn(fetch->context);
	if (!fetch->refused)
		send_request(fetch, now_ms);
	fetch->refused = 1;
	return 1;
}

void document_fetch_tick(document_fetch_t *fetch, uint64_t now_ms,
			 uint64_t timeout_ms)
{
	uint64_t again_ms = (uint64_t)AGAIN_MS << fetch->lost;

	if (!fetch->active ||
	    now_ms - fetch->sent_ms < MIN(again_ms, timeout_ms))
		return;
	if (again_ms < timeout_ms)
		fetch->lost++;
	if (!fetch->refused)
		fetch->callbacks->turn(fetch->context);
	fetch->refused = 0;
	send_request(fetch, now_ms);
}

uint64_t document_fetch_wrong(const document_fetch_t *fetch)
{
	return fetch->wrong;
}
