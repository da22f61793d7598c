/* Document transfer and operators' changes. */

#include <string.h>

#include "control_private.h"
#include "damaskyard/document_patch.h"
#include "damaskyard/invariant.h"

static void fill_page(const dy_fetch_t *args, const uint8_t *bytes,
		      const dy_document_patch_t *patch,
		      dy_fetch_result_t *result)
{
	result->prefix = patch->prefix;
	result->suffix = patch->suffix;
	result->size = patch->size;
	if (args->offset >= patch->size)
		return;
	result->page.page_val = (char *)bytes + patch->prefix + args->offset;
	result->page.page_len =
		MIN(patch->size - args->offset, (uint32_t)DY_PAGE_BYTES);
}

/* Sends only the difference to the member's own document, if that is cached. */
static void fill_fetch(dy_control_t *control, const dy_fetch_t *args,
		       dy_fetch_result_t *result)
{
	dy_document_patch_t patch = { 0 };
	const uint8_t *bytes;

	bytes = control_images_find(control->images, args->digest, &patch.size);
	if (bytes) {
		fill_page(args, bytes, &patch, result);
		return;
	}
	bytes = dy_registry_find_content(control->registry,
					 (uint8_t *)args->digest, &patch.size);
	if (!bytes) {
		result->status = DY_STATUS_NOT_FOUND;
		return;
	}
	recent_documents_add(control->recent_documents, args->digest, bytes,
			     patch.size);
	recent_documents_compare(control->recent_documents, args->base,
				 args->digest, bytes, patch.size, &patch);
	fill_page(args, bytes, &patch, result);
}

/* Content is addressed by digest, so any control can serve it. */
void control_fetch(dy_control_t *control, const dy_sealed_t *message,
		   const struct sockaddr *from)
{
	dy_fetch_result_t result = { 0 };
	dy_fetch_t args;

	++*control->counters.fetches;
	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_fetch_t, &args,
			    sizeof(args))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	fill_fetch(control, &args, &result);
	control_answer(control, from, message->xid,
		       (xdrproc_t)xdr_dy_fetch_result_t, &result);
	xdr_free((xdrproc_t)xdr_dy_fetch_t, (char *)&args);
}

void control_put(dy_control_t *control, const dy_sealed_t *message,
		 const struct sockaddr *from)
{
	dy_status_t status;
	dy_put_t args;

	++*control->counters.puts;
	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_put_t, &args,
			    sizeof(args))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	if (control_serves(control))
		status = uploads_add(control->uploads, &args,
				     control_now_ms(control));
	else
		status = DY_STATUS_NOT_LEADER;
	control_answer(control, from, message->xid, (xdrproc_t)xdr_dy_status_t,
		       &status);
	xdr_free((xdrproc_t)xdr_dy_put_t, (char *)&args);
}

static void answer_change(request_t *request, const dy_change_result_t *decided)
{
	dy_change_result_t result = *decided;

	control_leader_address(request->control, &result.leader);
	if (!result.operator_name)
		result.operator_name = "";
	if (!result.message)
		result.message = "";
	control_answer_request(request, (xdrproc_t)xdr_dy_change_result_t,
			       &result);
}

static void refuse_change(request_t *request, dy_status_t status,
			  const char *message)
{
	dy_change_result_t result = { 0 };

	result.status = status;
	result.message = (char *)message;
	answer_change(request, &result);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;
	dy_control_t *control = request->control;
	const dy_change_result_t *answer;

	(void)index;
	if (result != DY_RAFT_DONE) {
		refuse_change(
			request, control_status_from_result(control, result),
			"the leader changed before the change was committed");
		return;
	}
	answer = dy_registry_find_answer(control->registry,
					 request->args.change.request);
	dy_assert(answer);
	dy_log_event(DY_LOG_INFO, "change_decided",
		     "kind=%d status=%d number=%lu operator=%s",
		     request->args.change.kind, answer->status,
		     (unsigned long)answer->number,
		     dy_log_quote(request->args.change.operator_name));
	if (request->args.change.kind == DY_CHANGE_EVACUATE &&
	    answer->status == DY_STATUS_OK)
		control_log_evacuation(control, request->args.change.name);
	answer_change(request, answer);
}

static void on_page_committed(void *context, dy_raft_result_t result,
			      uint64_t index)
{
	(void)context;
	(void)result;
	(void)index;
}

dy_raft_result_t control_propose_content(dy_control_t *control,
					 const char *digest,
					 const uint8_t *bytes, uint32_t size)
{
	dy_command_t command = { .kind = DY_COMMAND_PAGE };
	dy_content_page_t *page = &command.dy_command_t_u.page;
	dy_raft_result_t result = DY_RAFT_DONE;
	uint32_t offset;

	memcpy(page->digest, digest, DY_DIGEST_BYTES);
	page->size = size;
	for (offset = 0; offset < size && result == DY_RAFT_DONE;
	     offset += DY_CONTENT_PAGE_BYTES) {
		page->offset = offset;
		page->bytes.bytes_val = (char *)bytes + offset;
		page->bytes.bytes_len =
			MIN(size - offset, (uint32_t)DY_CONTENT_PAGE_BYTES);
		result = control_propose(control, &command, on_page_committed,
					 NULL);
	}
	return result;
}

/*
 * Proposes the uploaded bytes unless the registry holds them. Returns 1 if it
 * failed and has answered the request.
 */
static int ensure_content(request_t *request)
{
	dy_control_t *control = request->control;
	const char *digest = request->args.change.digest;
	char message[256];
	dy_raft_result_t result;
	const uint8_t *bytes;
	uint32_t size;

	if (dy_registry_find_content(control->registry, (const uint8_t *)digest,
				     &size))
		return 0;
	bytes = uploads_find(control->uploads, digest, &size);
	if (!bytes) {
		refuse_change(request, DY_STATUS_NOT_FOUND,
			      "the document is not uploaded; upload it first");
		return 1;
	}
	if (control->options.validate &&
	    !control->options.validate(control->options.validate_context, bytes,
				       size, message, sizeof(message))) {
		refuse_change(request, DY_STATUS_MALFORMED, message);
		return 1;
	}
	result = control_propose_content(control, digest, bytes, size);
	if (result == DY_RAFT_DONE)
		return 0;
	refuse_change(request, control_status_from_result(control, result),
		      "the group accepts no changes at the moment; try again");
	return 1;
}

static int is_domain_change(const request_t *request)
{
	return request->args.change.kind == DY_CHANGE_EVACUATE ||
	       request->args.change.kind == DY_CHANGE_READMIT;
}

static void commit(request_t *request)
{
	dy_control_t *control = request->control;
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_operator_change_t *args = &command.dy_command_t_u.change;
	dy_raft_result_t result;

	if ((request->args.change.kind == DY_CHANGE_SUBMIT ||
	     request->args.change.kind == DY_CHANGE_RAISE) &&
	    ensure_content(request))
		return;
	if (is_domain_change(request) &&
	    !control_has_domain(control, request->args.change.name)) {
		refuse_change(request, DY_STATUS_NOT_FOUND,
			      "unknown failure domain");
		return;
	}
	if (request->args.change.kind == DY_CHANGE_PROMOTE)
		control_propose_tried(control, 1);
	args->change = request->args.change;
	dy_random_fill(args->salt, sizeof(args->salt));
	result = control_propose(control, &command, on_committed, request);
	if (result != DY_RAFT_DONE)
		refuse_change(
			request, control_status_from_result(control, result),
			"the group accepts no changes at the moment; try again");
}

/*
 * A request that was answered before gets the same answer again, also if its
 * uploaded bytes have expired and if this leader never received it.
 */
static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;
	dy_control_t *control = request->control;
	const dy_change_result_t *answer;

	(void)index;
	if (result != DY_RAFT_DONE) {
		refuse_change(
			request, control_status_from_result(control, result),
			"no majority of the controls confirmed the leader");
		return;
	}
	answer = dy_registry_find_answer(control->registry,
					 request->args.change.request);
	if (!answer) {
		commit(request);
		return;
	}
	++*control->counters.events[DY_EVENT_CHANGE_RESENT];
	answer_change(request, answer);
}

void control_change(dy_control_t *control, const dy_sealed_t *message,
		    const struct sockaddr *from)
{
	dy_raft_result_t result;
	request_t *request;

	++*control->counters.changes;
	request = control_keep_request(control, message, from,
				       (xdrproc_t)xdr_dy_change_t,
				       sizeof(dy_change_t));
	if (!request)
		return;
	result = control_admit(control);
	if (result == DY_RAFT_DONE)
		result = dy_raft_read(control->raft, on_confirmed, request);
	if (result != DY_RAFT_DONE)
		refuse_change(request,
			      control_status_from_result(control, result),
			      "this control is not serving at the moment");
}
