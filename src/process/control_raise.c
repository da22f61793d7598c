/*
 * Documents that are brought into force under their own, growing numbers.
 *
 * Load pattern: an operator's tool sends many versions in quick succession,
 * each as large as the whole configuration, and a control has a small part of
 * a core. Without this each would be written to the log and synced by every
 * control, and the last would wait for all of them. Only one is under way at
 * a time; of those that wait meanwhile the highest is next, and the others
 * are overtaken by it and acknowledged with it.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/document.h"
#include "damaskyard/invariant.h"

/*
 * Documents that may wait. Eight orders may be in progress at once and each
 * may come once more to another control; beyond that is no operator.
 */
#define ORDERS_MAX 32

typedef struct order {
	dy_list_t link;
	uint64_t number;
	uint8_t *bytes;
	uint32_t size;
	dy_control_raised_cb_t *done;
	void *context;
} order_t;

struct control_raises {
	dy_control_t *control;
	dy_list_t waiting;
	dy_list_t batch; /* under way; the highest stands first */
	unsigned count;
	int closed;
	char request[16]; /* of the batch */
};

control_raises_t *control_raises_create(dy_control_t *control)
{
	control_raises_t *raises = g_new0(control_raises_t, 1);

	raises->control = control;
	dy_list_init(&raises->waiting);
	dy_list_init(&raises->batch);
	return raises;
}

static void end_order(control_raises_t *raises, order_t *order,
		      dy_status_t status, const char *message)
{
	dy_list_remove(&order->link);
	raises->count--;
	order->done(order->context, status, message);
	g_free(order->bytes);
	g_free(order);
}

static void end_orders(control_raises_t *raises, dy_list_t *list,
		       dy_status_t status, const char *message)
{
	while (!dy_list_empty(list))
		end_order(raises, DY_LIST_ITEM(list->next, order_t, link),
			  status, message);
}

void control_raises_close(control_raises_t *raises)
{
	if (!raises)
		return;
	raises->closed = 1;
	end_orders(raises, &raises->waiting, DY_STATUS_UNAVAILABLE, "");
}

void control_raises_destroy(control_raises_t *raises)
{
	if (!raises)
		return;
	end_orders(raises, &raises->batch, DY_STATUS_UNAVAILABLE, "");
	g_free(raises);
}

static order_t *highest(control_raises_t *raises)
{
	order_t *best = DY_LIST_ITEM(raises->waiting.next, order_t, link);
	order_t *order;
	dy_list_t *pos;

	DY_LIST_EACH(pos, &raises->waiting)
	{
		order = DY_LIST_ITEM(pos, order_t, link);
		if (order->number > best->number)
			best = order;
	}
	return best;
}

/* Move all that wait into the batch, the highest first. */
static order_t *take_batch(control_raises_t *raises)
{
	order_t *best = highest(raises);
	dy_list_t *link;

	dy_list_remove(&best->link);
	dy_list_append(&raises->batch, &best->link);
	while (!dy_list_empty(&raises->waiting)) {
		link = raises->waiting.next;
		dy_list_remove(link);
		dy_list_append(&raises->batch, link);
	}
	return best;
}

static void begin(control_raises_t *raises);

static void end_batch(control_raises_t *raises, dy_status_t status,
		      const char *message)
{
	end_orders(raises, &raises->batch, status, message);
	begin(raises);
}

/*
 * The highest alone can be malformed: the others were never looked at, and go
 * back to wait for the next batch.
 */
static void refuse_highest(control_raises_t *raises, const char *message)
{
	order_t *best = DY_LIST_ITEM(raises->batch.next, order_t, link);
	dy_list_t *link;

	end_order(raises, best, DY_STATUS_MALFORMED, message);
	while (!dy_list_empty(&raises->batch)) {
		link = raises->batch.next;
		dy_list_remove(link);
		dy_list_append(&raises->waiting, link);
	}
	begin(raises);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	control_raises_t *raises = context;
	const dy_change_result_t *answer;

	if (result != DY_RAFT_DONE) {
		end_batch(raises, control_status_of(raises->control, result),
			  "the group lost its leader meanwhile");
		return;
	}
	answer = dy_registry_find_answer(raises->control->registry,
					 raises->request);
	dy_assert(answer);
	dy_log_event(DY_LOG_INFO, "document_raised",
		     "status=%d number=%lu index=%lu", answer->status,
		     (unsigned long)answer->number, (unsigned long)index);
	if (answer->status == DY_STATUS_MALFORMED)
		refuse_highest(raises, answer->message);
	else if (answer->status == DY_STATUS_OK ||
		 answer->status == DY_STATUS_CONFLICT)
		end_batch(raises, DY_STATUS_OK, "");
	else
		end_batch(raises, DY_STATUS_UNAVAILABLE, answer->message);
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	control_raises_t *raises = context;

	(void)index;
	end_batch(raises, control_status_of(raises->control, result), "");
}

static dy_raft_result_t propose(control_raises_t *raises, const order_t *best)
{
	dy_control_t *control = raises->control;
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_operator_change_t *args = &command.dy_command_t_u.change;
	uint8_t digest[DY_DIGEST_BYTES];
	dy_raft_result_t result;
	uint32_t size;

	dy_document_digest(best->bytes, best->size, digest);
	if (!dy_registry_find_content(control->registry, digest, &size)) {
		result = control_propose_content(control, (char *)digest,
						 best->bytes, best->size);
		if (result != DY_RAFT_DONE)
			return result;
	}
	dy_random_fill(raises->request, sizeof(raises->request));
	args->change.kind = DY_CHANGE_RAISE;
	memcpy(args->change.request, raises->request, sizeof(raises->request));
	args->change.operator_name = "";
	args->change.environment = (char *)dy_environment_name(DY_TRIAL);
	args->change.number = best->number;
	memcpy(args->change.digest, digest, sizeof(digest));
	args->change.name = "";
	return control_propose(control, &command, on_committed, raises);
}

static void begin(control_raises_t *raises)
{
	dy_control_t *control = raises->control;
	const dy_registry_document_t *held =
		dy_registry_document(control->registry, DY_TRIAL);
	dy_raft_result_t result;
	order_t *best;

	if (raises->closed) {
		end_orders(raises, &raises->waiting, DY_STATUS_UNAVAILABLE, "");
		return;
	}
	if (dy_list_empty(&raises->waiting) || !dy_list_empty(&raises->batch))
		return;
	best = take_batch(raises);
	result = control_admit(control);
	if (result == DY_RAFT_DONE && best->number > held->number)
		result = propose(raises, best);
	else if (result == DY_RAFT_DONE)
		result = dy_raft_read(control->raft, on_confirmed, raises);
	if (result != DY_RAFT_DONE)
		end_batch(raises, control_status_of(control, result),
			  "this control does not serve just now");
}

void dy_control_raise(dy_control_t *control, const uint8_t *bytes, size_t size,
		      uint64_t number, dy_control_raised_cb_t *done,
		      void *context)
{
	control_raises_t *raises = control->raises;
	order_t *order;

	if (size > DY_DOCUMENT_BYTES) {
		done(context, DY_STATUS_MALFORMED, "it is too large");
		return;
	}
	if (raises->closed || raises->count >= ORDERS_MAX ||
	    control->stop_at_ms) {
		done(context, DY_STATUS_UNAVAILABLE, "too many are waiting");
		return;
	}
	order = g_new0(order_t, 1);
	order->number = number;
	order->bytes = g_memdup2(bytes, size);
	order->size = (uint32_t)size;
	order->done = done;
	order->context = context;
	dy_list_append(&raises->waiting, &order->link);
	raises->count++;
	begin(raises);
}

typedef struct load {
	dy_control_t *control;
	dy_control_loaded_cb_t *done;
	void *context;
} load_t;

static void on_load_confirmed(void *context, dy_raft_result_t result,
			      uint64_t index)
{
	load_t *load = context;
	dy_status_t status = control_status_of(load->control, result);
	const dy_registry_document_t *held;
	const uint8_t *bytes = NULL;
	uint32_t size = 0;

	(void)index;
	if (status == DY_STATUS_OK) {
		held = dy_registry_document(load->control->registry, DY_TRIAL);
		bytes = dy_registry_find_content(load->control->registry,
						 held->digest, &size);
		if (!held->number || !bytes)
			status = DY_STATUS_NOT_FOUND;
	}
	load->done(load->context, status, status == DY_STATUS_OK ? bytes : NULL,
		   size);
	g_free(load);
}

void dy_control_load(dy_control_t *control, dy_control_loaded_cb_t *done,
		     void *context)
{
	dy_raft_result_t result = control_admit(control);
	load_t *load;

	if (result == DY_RAFT_DONE) {
		load = g_new0(load_t, 1);
		load->control = control;
		load->done = done;
		load->context = context;
		result = dy_raft_read(control->raft, on_load_confirmed, load);
		if (result == DY_RAFT_DONE)
			return;
		g_free(load);
	}
	done(context, control_status_of(control, result), NULL, 0);
}
