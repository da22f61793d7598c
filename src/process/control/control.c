#include "control_private.h"
#include "dy_ledger.h"

#include <string.h>

#include "damaskyard/document.h"
#include "damaskyard/status_service.h"
#include "dy_group.h"

uint64_t control_now_ms(const dy_control_t *control)
{
	return dy_loop_now_ms(control->loop);
}

/*
 * Guards against a group that acknowledges changes during its bootstrap: with
 * two of three voters, the loss of one disk leaves no voter that can be elected
 * or add another. After the group has served, a majority of the listed controls
 * is enough: a voter that lost its disk does not vote until it is replaced.
 */
static unsigned min_serving_voters(const dy_control_t *control)
{
	if (control->options.dynamic_membership &&
	    !dy_registry_index(control->registry))
		return control->options.peers.count;
	return control->options.peers.count / 2 + 1;
}

int control_serves(const dy_control_t *control)
{
	return dy_raft_role(control->raft) == DY_RAFT_LEADER &&
	       control_count_voters(control) >= min_serving_voters(control);
}

void control_leader_address(const dy_control_t *control, dy_address_t *leader)
{
	(void)control_find_address(control, dy_raft_leader(control->raft),
				   leader);
}

dy_status_t control_status_from_result(dy_control_t *control,
				       dy_raft_result_t result)
{
	if (result == DY_RAFT_DONE)
		return DY_STATUS_OK;
	if (result == DY_RAFT_NOT_LEADER) {
		++*control->counters.not_leader;
		return DY_STATUS_NOT_LEADER;
	}
	++*control->counters.unavailable;
	return DY_STATUS_UNAVAILABLE;
}

void control_answer(dy_control_t *control, const struct sockaddr *to,
		    uint32_t xid, xdrproc_t proc, void *result)
{
	size_t len = dy_seal_write_reply(control->seal, xid, proc, result,
					 control->out, sizeof(control->out));

	if (!len || dy_endpoint_send(control->endpoint, control->out, len, to))
		++*control->counters.unsent;
}

void control_count_malformed(dy_control_t *control, uint32_t procedure)
{
	++*control->counters.malformed;
	if (dy_log_allow(&control->malformed_limit, "call_malformed",
			 control_now_ms(control)))
		dy_log_event(DY_LOG_WARN, "call_malformed", "procedure=%u",
			     procedure);
}

dy_raft_result_t control_propose(dy_control_t *control,
				 const dy_command_t *command,
				 dy_raft_done_cb_t *done, void *context)
{
	dy_raft_result_t result;
	uint32_t size;
	void *data = dy_command_encode(command, &size);

	if (!data)
		return DY_RAFT_REFUSED;
	result = dy_raft_propose(control->raft, data, size, done, context);
	g_free(data);
	if (result == DY_RAFT_DONE)
		++*control->counters.proposals;
	return result;
}

dy_raft_result_t control_admit(const dy_control_t *control)
{
	if (dy_raft_role(control->raft) != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	if (!control_serves(control))
		return DY_RAFT_BUSY;
	return DY_RAFT_DONE;
}

request_t *control_keep_request(dy_control_t *control,
				const dy_sealed_t *message,
				const struct sockaddr *from, xdrproc_t proc,
				size_t args_size)
{
	request_t *request;
	dy_address_t address;

	request = g_new0(request_t, 1);
	if (!dy_sealed_load(message, proc, &request->args, args_size)) {
		control_count_malformed(control, message->procedure);
		g_free(request);
		return NULL;
	}
	request->control = control;
	request->xid = message->xid;
	request->proc = proc;
	dy_address_load(&address, from);
	dy_address_write(&address, &request->from);
	dy_list_append(&control->requests, &request->link);
	control->request_count++;
	return request;
}

void control_drop_request(request_t *request)
{
	xdr_free(request->proc, (char *)&request->args);
	control_poll_queue_finish(request->control->poll_queue,
				  (struct sockaddr *)&request->from,
				  request->xid);
	dy_list_remove(&request->link);
	request->control->request_count--;
	g_free(request);
}

void control_answer_request(request_t *request, xdrproc_t proc, void *result)
{
	control_answer(request->control, (struct sockaddr *)&request->from,
		       request->xid, proc, result);
	control_drop_request(request);
}

static bool_t xdr_nothing(XDR *xdrs, void *value)
{
	(void)xdrs;
	(void)value;
	return TRUE;
}

static void receive_control(dy_control_t *control, const dy_sealed_t *message,
			    const struct sockaddr *from)
{
	switch (message->procedure) {
	case DY_CONTROL_NULL:
		control_answer(control, from, message->xid,
			       (xdrproc_t)xdr_nothing, NULL);
		return;
	case DY_CONTROL_FETCH:
		control_fetch(control, message, from);
		return;
	case DY_CONTROL_IMAGE:
		control_images_answer(control->images, message, from);
		return;
	case DY_CONTROL_PUT:
		control_put(control, message, from);
		return;
	case DY_CONTROL_CHANGE:
		control_change(control, message, from);
		return;
	case DY_CONTROL_INSPECT:
		control_inspect(control, message, from);
		return;
	default:
		control_count_malformed(control, message->procedure);
	}
}

static void receive_status(dy_control_t *control, const dy_sealed_t *message,
			   const struct sockaddr *from)
{
	size_t len;

	len = dy_status_service_answer(control->seal, control->metrics, message,
				       control->out, sizeof(control->out));
	if (len)
		dy_endpoint_send(control->endpoint, control->out, len, from);
	else
		control_count_malformed(control, message->procedure);
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	dy_control_t *control = context;
	dy_sealed_t message;

	if (truncated) {
		++*control->counters.truncated;
		return;
	}
	if (control_poll_queue_put(control->poll_queue, bytes, len, from))
		return;
	if (dy_seal_open(control->seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.is_reply)
		return;
	switch (message.program) {
	case DY_CONTROL_PROGRAM:
		receive_control(control, &message, from);
		return;
	case DY_STATUS_PROGRAM:
		receive_status(control, &message, from);
		return;
	case DY_GROUP_PROGRAM:
		control_receive_group(control, &message, from);
		return;
	case DY_LEDGER_PROGRAM:
		control_ledger_receive(control->ledger, &message, from);
		return;
	default:
		control_count_malformed(control, message.procedure);
	}
}

static void on_apply(void *context, const dy_raft_entry_t *entry)
{
	dy_control_t *control = context;

	if (entry->type == DY_ENTRY_COMMAND)
		dy_registry_apply(control->registry, entry->data.data_val,
				  entry->data.data_len, entry->index);
}

static int on_write_snapshot(void *context, dy_raft_add_cb_t *add,
			     void *add_context)
{
	dy_control_t *control = context;

	++*control->counters.snapshots;
	return dy_registry_write(control->registry, add, add_context);
}

static int on_load_snapshot(void *context, dy_raft_read_cb_t *read,
			    void *read_context)
{
	dy_control_t *control = context;

	return dy_registry_load(control->registry, read, read_context);
}

static void on_role_changed(void *context, dy_raft_role_t role,
			    dy_voter_id_t leader)
{
	static const char *const names[] = { "follower", "pre_candidate",
					     "candidate", "leader" };
	dy_control_t *control = context;
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_address_t address;

	control_leader_address(control, &address);
	dy_log_event(DY_LOG_INFO, "role_changed",
		     "role_now=%s leader=%u address=%s", names[role],
		     leader.slot,
		     address.port ? dy_address_format(&address, text) : "none");
	control_poll_queue_set_leading(control->poll_queue,
				       role == DY_RAFT_LEADER);
	if (role != DY_RAFT_LEADER)
		return;
	++*control->counters.elections_won;
	control->key_step_pending = 0;
	control->tried_pending = 0;
	dy_registry_restart_leases(control->registry);
}

/*
 * Guards against acknowledging entries that the disk did not store: the control
 * stops, and the other controls continue.
 */
static void on_disk_failed(void *context, const GError *error)
{
	dy_control_t *control = context;

	++*control->counters.disk_failures;
	dy_log_event(DY_LOG_ERROR, "disk_failed", "message=%s",
		     dy_log_quote(error->message));
	control->failed = 1;
	control_terminate(control, DY_CONTROL_DISK_FAILED);
}

void control_terminate(dy_control_t *control, dy_control_exit_reason_t reason)
{
	control->exit_reason = reason;
	dy_loop_end(control->loop);
}

static void on_event(void *context, dy_registry_event_t event,
		     const char *environment, const char *name, uint64_t number)
{
	dy_control_t *control = context;
	const char *event_name = dy_registry_event_name(event);
	int leads =
		control->raft && dy_raft_role(control->raft) == DY_RAFT_LEADER;

	++*control->counters.events[event];
	if (dy_log_allow(&control->event_limits[event], event_name,
			 control_now_ms(control)))
		dy_log_event(leads ? DY_LOG_INFO : DY_LOG_DEBUG, event_name,
			     "environment=%s name=%s number=%lu",
			     dy_log_quote(environment), dy_log_quote(name),
			     (unsigned long)number);
}

static int on_check_document(void *context, const uint8_t *bytes, size_t size,
			     char *message, size_t message_size)
{
	const dy_control_t *control = context;
	dy_document_t *document;
	GError *error = NULL;

	/* Validated before it was proposed; see dy_control_options_t. */
	if (control->options.validate)
		return 1;
	document = dy_document_parse(bytes, size, &error);
	if (document) {
		dy_document_destroy(document);
		return 1;
	}
	g_strlcpy(message, error->message, message_size);
	g_error_free(error);
	return 0;
}

static void flush(dy_control_t *control)
{
	if (!control->failed)
		dy_raft_flush(control->raft);
}

static void on_prepare(uv_prepare_t *handle)
{
	flush(handle->data);
}

static void on_check(uv_check_t *handle)
{
	flush(handle->data);
}

static void on_tick(void *context)
{
	dy_control_t *control = context;
	uint64_t now = control_now_ms(control);

	if (control->failed)
		return;
	dy_registry_set_clock(control->registry, now);
	control_refresh_peers(control);
	dy_raft_tick(control->raft, now);
	control_ledger_tick(control->ledger);
	control_poll_queue_tick(control->poll_queue);
	if (now - control->last_review_ms < REVIEW_INTERVAL_MS)
		return;
	control_review(control);
	control->last_review_ms = now;
}

static int open_store(dy_control_t *control, GError **error)
{
	dy_store_options_t options = { 0 };

	options.group = control->options.group;
	options.slot = control->options.slot;
	while (!options.new_identity)
		dy_random_fill(&options.new_identity,
			       sizeof(options.new_identity));
	control->disk = dy_disk_create(control->options.folder, error);
	if (!control->disk)
		return -1;
	control->store = dy_store_create(control->disk, &options, error);
	return control->store ? 0 : -1;
}

static int open_raft(dy_control_t *control, GError **error)
{
	const dy_raft_callbacks_t callbacks = {
		.context = control,
		.send = control_send_raft,
		.apply = on_apply,
		.write_snapshot = on_write_snapshot,
		.load_snapshot = on_load_snapshot,
		.leadership_changed = on_role_changed,
		.failed = on_disk_failed,
	};
	dy_raft_options_t options = { 0 };

	dy_random_fill(&options.seed, sizeof(options.seed));
	options.metrics = control->metrics;
	options.snapshot_bytes = control->options.snapshot_bytes;
	options.first_election_ms = control->options.first_election_ms;
	control->raft = dy_raft_create(control->store, &options, &callbacks,
				       control_now_ms(control), error);
	return control->raft ? 0 : -1;
}

static void start_flushing(dy_control_t *control)
{
	uv_loop_t *uv = dy_loop_uv(control->loop);

	control->prepare = g_new0(uv_prepare_t, 1);
	uv_prepare_init(uv, control->prepare);
	control->prepare->data = control;
	uv_prepare_start(control->prepare, on_prepare);
	control->check = g_new0(uv_check_t, 1);
	uv_check_init(uv, control->check);
	control->check->data = control;
	uv_check_start(control->check, on_check);
}

static void free_handle(uv_handle_t *handle)
{
	g_free(handle);
}

/*
 * The loop closes and frees the handles, possibly after the control is freed.
 */
static void stop_flushing(dy_control_t *control)
{
	if (!control->prepare)
		return;
	uv_close((uv_handle_t *)control->prepare, free_handle);
	uv_close((uv_handle_t *)control->check, free_handle);
}

dy_control_t *dy_control_create(dy_loop_t *loop, dy_metrics_t *metrics,
				const dy_control_options_t *options,
				GError **error)
{
	dy_control_t *control = g_new0(dy_control_t, 1);
	const dy_registry_callbacks_t callbacks = {
		.context = control,
		.event = on_event,
		.validate = on_check_document,
	};

	control->options = *options;
	control->leases = options->leases;
	control->keys = options->keys;
	control->loop = loop;
	control->metrics = metrics;
	control->started_ms = control_now_ms(control);
	control->last_review_ms = control->started_ms;
	dy_list_init(&control->requests);
	control_register_counters(control);
	bootstrap_init(&control->bootstrap, &control->options.peers,
		       options->slot);
	control->seal = dy_seal_create(&options->secrets, metrics);
	control->uploads = uploads_create();
	control->recent_documents = recent_documents_create();
	control->services = control_services_create();
	control->publisher = control_publisher_create(control);
	control->poll_queue = control_poll_queue_create(control);
	control->images = control_images_create(control);
	control->registry = dy_registry_create(&callbacks);
	dy_registry_set_clock(control->registry, control_now_ms(control));
	if (!open_store(control, error) && !open_raft(control, error))
		control->endpoint = dy_endpoint_create(
			loop, &options->listen, on_datagram, control, error);
	if (!control->endpoint) {
		dy_control_destroy(control);
		return NULL;
	}
	control->ledger = control_ledger_create(control);
	start_flushing(control);
	dy_loop_every(loop, TICK_INTERVAL_MS, on_tick, control);
	dy_log_event(DY_LOG_INFO, "control_started",
		     "slot=%u identity=%lx torn_bytes=%lu", options->slot,
		     (unsigned long)dy_store_id(control->store).identity,
		     (unsigned long)dy_store_torn_bytes(control->store));
	return control;
}

void dy_control_destroy(dy_control_t *control)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	if (!control)
		return;
	stop_flushing(control);
	control_publisher_close(control->publisher);
	if (control->raft)
		dy_raft_destroy(control->raft);
	control_publisher_destroy(control->publisher);
	DY_LIST_EACH_SAFE(pos, tmp, &control->requests)
	control_drop_request(DY_LIST_ITEM(pos, request_t, link));
	control_poll_queue_destroy(control->poll_queue);
	control_images_destroy(control->images);
	dy_endpoint_destroy(control->endpoint);
	control_ledger_destroy(control->ledger);
	dy_store_destroy(control->store);
	dy_disk_destroy(control->disk);
	dy_registry_destroy(control->registry);
	uploads_destroy(control->uploads);
	recent_documents_destroy(control->recent_documents);
	control_services_destroy(control->services);
	dy_seal_destroy(control->seal);
	g_free(control);
}

void dy_control_stop(void *context)
{
	dy_control_t *control = context;

	if (control->stop_deadline_ms)
		return;
	control->stop_deadline_ms = control_now_ms(control) + STOP_TIMEOUT_MS;
	dy_raft_refuse_leadership(control->raft);
	dy_log_event(DY_LOG_INFO, "control_stopping", "requests=%u",
		     control->request_count);
}

dy_control_exit_reason_t dy_control_exit_reason(const dy_control_t *control)
{
	return control->exit_reason;
}

void dy_control_leader(const dy_control_t *control, dy_address_t *leader)
{
	control_leader_address(control, leader);
}
