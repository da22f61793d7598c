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

typedef enum order_state {
	ORDER_NONE,
	ORDER_WAITING,
	ORDER_UNDER_WAY
} order_state_t;

typedef struct order {
	order_state_t state;
	uint64_t arrived; /* of two with one number the first counts */
	uint64_t number;
	uint8_t *bytes;
	uint32_t size;
	dy_control_done_cb_t *done;
	void *context;
} order_t;

struct control_raises {
	dy_control_t *control;
	order_t orders[ORDERS_MAX];
	order_t *best; /* of those under way; NULL: none is */
	uint64_t arrivals;
	int ending; /* callbacks are being made; nothing is begun */
	int closed;
	char request[16]; /* of those under way */
};

control_raises_t *control_raises_create(dy_control_t *control)
{
	control_raises_t *raises = g_new0(control_raises_t, 1);

	raises->control = control;
	return raises;
}

/* The place is free before done() is called, which may raise another. */
static void end_order(order_t *order, dy_status_t status, const char *message)
{
	order_t ended = *order;

	memset(order, 0, sizeof(*order));
	ended.done(ended.context, status, message);
	g_free(ended.bytes);
}

static void end_orders(control_raises_t *raises, order_state_t state,
		       dy_status_t status, const char *message)
{
	int i;

	for (i = 0; i < ORDERS_MAX; i++)
		if (raises->orders[i].state == state)
			end_order(&raises->orders[i], status, message);
}

void control_raises_close(control_raises_t *raises)
{
	if (!raises)
		return;
	raises->closed = 1;
	end_orders(raises, ORDER_WAITING, DY_STATUS_UNAVAILABLE, "");
}

void control_raises_destroy(control_raises_t *raises)
{
	if (!raises)
		return;
	end_orders(raises, ORDER_UNDER_WAY, DY_STATUS_UNAVAILABLE, "");
	g_free(raises);
}

static int is_before(const order_t *a, const order_t *b)
{
	return a->number > b->number ||
	       (a->number == b->number && a->arrived < b->arrived);
}

/* Put all that wait under way; the highest of them is best. */
static void take_waiting(control_raises_t *raises)
{
	order_t *order;
	int i;

	for (i = 0; i < ORDERS_MAX; i++) {
		order = &raises->orders[i];
		if (order->state != ORDER_WAITING)
			continue;
		order->state = ORDER_UNDER_WAY;
		if (!raises->best || is_before(order, raises->best))
			raises->best = order;
	}
}

static void begin(control_raises_t *raises);

static void end_batch(control_raises_t *raises, dy_status_t status,
		      const char *message)
{
	raises->best = NULL;
	raises->ending = 1;
	end_orders(raises, ORDER_UNDER_WAY, status, message);
	raises->ending = 0;
	begin(raises);
}

/*
 * The highest alone can be malformed: the others were never looked at, and
 * wait for the next time.
 */
static void refuse_highest(control_raises_t *raises, const char *message)
{
	order_t *best = raises->best;
	int i;

	raises->best = NULL;
	end_order(best, DY_STATUS_MALFORMED, message);
	for (i = 0; i < ORDERS_MAX; i++)
		if (raises->orders[i].state == ORDER_UNDER_WAY)
			raises->orders[i].state = ORDER_WAITING;
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

	if (raises->closed) {
		end_orders(raises, ORDER_WAITING, DY_STATUS_UNAVAILABLE, "");
		return;
	}
	if (raises->best || raises->ending)
		return;
	take_waiting(raises);
	if (!raises->best)
		return;
	result = control_admit(control);
	if (result == DY_RAFT_DONE && raises->best->number > held->number)
		result = propose(raises, raises->best);
	else if (result == DY_RAFT_DONE)
		result = dy_raft_read(control->raft, on_confirmed, raises);
	if (result != DY_RAFT_DONE)
		end_batch(raises, control_status_of(control, result),
			  "this control does not serve just now");
}

static order_t *find_free(control_raises_t *raises)
{
	int i;

	for (i = 0; i < ORDERS_MAX; i++)
		if (raises->orders[i].state == ORDER_NONE)
			return &raises->orders[i];
	return NULL;
}

void dy_control_publish(dy_control_t *control, const uint8_t *bytes,
			size_t size, uint64_t number,
			dy_control_done_cb_t *done, void *context)
{
	control_raises_t *raises = control->raises;
	order_t *order = find_free(raises);

	if (size > DY_DOCUMENT_BYTES) {
		done(context, DY_STATUS_MALFORMED, "it is too large");
		return;
	}
	if (!order || raises->closed || control->stop_at_ms) {
		done(context, DY_STATUS_UNAVAILABLE, "too many are waiting");
		return;
	}
	order->state = ORDER_WAITING;
	order->arrived = ++raises->arrivals;
	order->number = number;
	order->bytes = g_memdup2(bytes, size);
	order->size = (uint32_t)size;
	order->done = done;
	order->context = context;
	begin(raises);
}

typedef struct load {
	dy_control_t *control;
	dy_control_document_cb_t *done;
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

void dy_control_read_document(dy_control_t *control,
			      dy_control_document_cb_t *done, void *context)
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
