#include "document_fetch.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/document.h"
#include "damaskyard/document_patch.h"
#include "damaskyard/log.h"

/*
 * Initial timeout in ms for a page, after which another control is asked. It
 * doubles with each request that is lost in a row. It is a few times what a
 * control needs to answer all members that start at once.
 */
#define INITIAL_TIMEOUT_MS 100

struct document_fetch {
	const document_fetch_callbacks_t *callbacks;
	void *context;
	int active;
	dy_document_info_t info;
	char *environment;
	uint64_t newest_number; /* number of the newest document begun */
	dy_document_patch_t patch;
	int has_patch;	   /* patch was set from a page */
	int fetch_whole;   /* request it without base, whose patch failed */
	int not_found;	   /* the last control did not have it */
	unsigned timeouts; /* requests in a row without an answer */
	uint8_t *changed;  /* bytes of the patch */
	uint32_t received; /* bytes of changed */
	uint32_t xid;
	uint64_t sent_ms;
	uint8_t *base; /* last complete document, base of the next patch */
	uint32_t base_len;
	uint8_t base_digest[DY_DIGEST_BYTES];
	uint64_t digest_mismatches;
};

document_fetch_t *document_fetch_create(
	const document_fetch_callbacks_t *callbacks, void *context)
{
	document_fetch_t *fetch = g_new0(document_fetch_t, 1);

	fetch->callbacks = callbacks;
	fetch->context = context;
	return fetch;
}

static void discard_pages(document_fetch_t *fetch)
{
	fetch->not_found = 0;
	g_clear_pointer(&fetch->changed, g_free);
	fetch->has_patch = 0;
	fetch->received = 0;
}

static void end_fetch(document_fetch_t *fetch)
{
	discard_pages(fetch);
	g_clear_pointer(&fetch->environment, g_free);
	fetch->active = 0;
	fetch->fetch_whole = 0;
	fetch->timeouts = 0;
}

void document_fetch_destroy(document_fetch_t *fetch)
{
	if (!fetch)
		return;
	end_fetch(fetch);
	g_free(fetch->base);
	g_free(fetch);
}

static void send_request(document_fetch_t *fetch, uint64_t now_ms)
{
	dy_fetch_t request = { 0 };

	request.environment = fetch->environment;
	memcpy(request.digest, fetch->info.digest, DY_DIGEST_BYTES);
	if (fetch->base && !fetch->fetch_whole)
		memcpy(request.base, fetch->base_digest, DY_DIGEST_BYTES);
	request.offset = fetch->received;
	fetch->sent_ms = now_ms;
	fetch->xid = fetch->callbacks->send(fetch->context, &request);
}

void document_fetch_begin(document_fetch_t *fetch,
			  const dy_document_info_t *info, uint64_t now_ms)
{
	if (info->number <= fetch->newest_number ||
	    info->size > DY_DOCUMENT_BYTES)
		return;
	end_fetch(fetch);
	fetch->newest_number = info->number;
	fetch->info = *info;
	fetch->environment = g_strdup(info->environment);
	fetch->info.environment = fetch->environment;
	fetch->active = 1;
	send_request(fetch, now_ms);
}

void document_fetch_reset(document_fetch_t *fetch)
{
	end_fetch(fetch);
	if (fetch->newest_number)
		fetch->newest_number--;
}

/* Request the whole document from another control at the next timeout. */
static void restart_fetch(document_fetch_t *fetch)
{
	discard_pages(fetch);
	fetch->fetch_whole = 1;
	fetch->callbacks->switch_control(fetch->context);
}

static int has_digest(const uint8_t *bytes, uint32_t len, const void *digest)
{
	uint8_t actual[DY_DIGEST_BYTES];

	dy_document_digest(bytes, len, actual);
	return !memcmp(actual, digest, DY_DIGEST_BYTES);
}

static void finish_fetch(document_fetch_t *fetch)
{
	uint32_t len = 0;
	uint8_t *bytes;

	bytes = dy_document_patch_apply(&fetch->patch, fetch->base,
					fetch->base_len, fetch->changed, &len);
	if (!bytes || !has_digest(bytes, len, fetch->info.digest)) {
		fetch->digest_mismatches++;
		dy_log_event(DY_LOG_ERROR, "document_digest_wrong",
			     "number=%lu", (unsigned long)fetch->info.number);
		g_free(bytes);
		restart_fetch(fetch);
		return;
	}
	g_free(fetch->base);
	fetch->base = bytes;
	fetch->base_len = len;
	memcpy(fetch->base_digest, fetch->info.digest, DY_DIGEST_BYTES);
	fetch->callbacks->done(fetch->context, &fetch->info, bytes, len);
	end_fetch(fetch);
}

/*
 * Another control may have another base and send another patch. The pages
 * received so far do not fit it, and the transfer restarts.
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
	fetch->changed = g_malloc(patch.size + 1);
	return 1;
}

static void receive_page(document_fetch_t *fetch,
			 const dy_fetch_result_t *result, uint64_t now_ms)
{
	uint32_t len = result->page.page_len;

	if (!accept_patch(fetch, result) ||
	    len > fetch->patch.size - fetch->received) {
		restart_fetch(fetch);
		return;
	}
	if (len)
		memcpy(fetch->changed + fetch->received, result->page.page_val,
		       len);
	fetch->received += len;
	if (fetch->received == fetch->patch.size)
		finish_fetch(fetch);
	else if (len)
		send_request(fetch, now_ms);
}

int document_fetch_is_pending(const document_fetch_t *fetch, uint32_t xid)
{
	return fetch->active && fetch->xid == xid;
}

int document_fetch_receive(document_fetch_t *fetch, uint32_t xid,
			   const dy_fetch_result_t *result, uint64_t now_ms)
{
	if (!document_fetch_is_pending(fetch, xid))
		return 0;
	fetch->timeouts = 0;
	if (result->status == DY_STATUS_OK) {
		fetch->not_found = 0;
		receive_page(fetch, result, now_ms);
		return 1;
	}
	fetch->callbacks->switch_control(fetch->context);
	if (!fetch->not_found)
		send_request(fetch, now_ms);
	fetch->not_found = 1;
	return 1;
}

void document_fetch_tick(document_fetch_t *fetch, uint64_t now_ms,
			 uint64_t max_timeout_ms)
{
	uint64_t backoff_ms = (uint64_t)INITIAL_TIMEOUT_MS << fetch->timeouts;

	if (!fetch->active ||
	    now_ms - fetch->sent_ms < MIN(backoff_ms, max_timeout_ms))
		return;
	if (backoff_ms < max_timeout_ms)
		fetch->timeouts++;
	if (!fetch->not_found)
		fetch->callbacks->switch_control(fetch->context);
	fetch->not_found = 0;
	send_request(fetch, now_ms);
}

uint64_t document_fetch_digest_mismatches(const document_fetch_t *fetch)
{
	return fetch->digest_mismatches;
}
