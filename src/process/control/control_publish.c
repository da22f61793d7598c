/*
 * Publication of documents that carry their own, increasing version numbers.
 *
 * Load pattern: an operator's tool publishes many versions in quick succession,
 * each as large as the whole configuration, and a control has a fraction of a
 * core. Without this module every control would write and sync each version to
 * its log, and the last version would wait for all others. Only one publication
 * is proposed at a time. Of those that wait meanwhile, the highest version is
 * proposed next; it supersedes the others, which are acknowledged with it.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/document.h"
#include "damaskyard/invariant.h"

/*
 * Publications held at once. An operator has at most eight in progress and may
 * send each once more to another control; more than that is not normal
 * operation.
 */
#define PUBLICATIONS_MAX 32

typedef enum publication_state {
	PUBLICATION_FREE,
	PUBLICATION_WAITING,
	PUBLICATION_IN_PROGRESS
} publication_state_t;

typedef struct publication {
	publication_state_t state;
	uint64_t sequence; /* of two equal numbers, the lower one wins */
	uint64_t number;
	uint8_t *bytes;
	uint32_t size;
	dy_control_done_cb_t *done;
	void *context;
} publication_t;

struct control_publisher {
	dy_control_t *control;
	publication_t items[PUBLICATIONS_MAX];
	publication_t *highest; /* of those in progress; NULL: none */
	uint64_t last_sequence;
	int in_callbacks; /* callbacks are running; start nothing */
	int closed;
	char request_id[16]; /* of the proposed change */
};

control_publisher_t *control_publisher_create(dy_control_t *control)
{
	control_publisher_t *publisher = g_new0(control_publisher_t, 1);

	publisher->control = control;
	return publisher;
}

/* Frees the item before it calls done(), which may publish another document. */
static void finish(publication_t *publication, dy_status_t status,
		   const char *message)
{
	publication_t copy = *publication;

	memset(publication, 0, sizeof(*publication));
	copy.done(copy.context, status, message);
	g_free(copy.bytes);
}

static void finish_all(control_publisher_t *publisher,
		       publication_state_t state, dy_status_t status,
		       const char *message)
{
	int i;

	for (i = 0; i < PUBLICATIONS_MAX; i++)
		if (publisher->items[i].state == state)
			finish(&publisher->items[i], status, message);
}

void control_publisher_close(control_publisher_t *publisher)
{
	if (!publisher)
		return;
	publisher->closed = 1;
	finish_all(publisher, PUBLICATION_WAITING, DY_STATUS_UNAVAILABLE, "");
}

void control_publisher_destroy(control_publisher_t *publisher)
{
	if (!publisher)
		return;
	finish_all(publisher, PUBLICATION_IN_PROGRESS, DY_STATUS_UNAVAILABLE,
		   "");
	g_free(publisher);
}

static int has_precedence(const publication_t *a, const publication_t *b)
{
	return a->number > b->number ||
	       (a->number == b->number && a->sequence < b->sequence);
}

/* Moves all waiting publications into progress and finds the highest. */
static void start_waiting(control_publisher_t *publisher)
{
	publication_t *publication;
	int i;

	for (i = 0; i < PUBLICATIONS_MAX; i++) {
		publication = &publisher->items[i];
		if (publication->state != PUBLICATION_WAITING)
			continue;
		publication->state = PUBLICATION_IN_PROGRESS;
		if (!publisher->highest ||
		    has_precedence(publication, publisher->highest))
			publisher->highest = publication;
	}
}

static void start_next(control_publisher_t *publisher);

static void finish_batch(control_publisher_t *publisher, dy_status_t status,
			 const char *message)
{
	publisher->highest = NULL;
	publisher->in_callbacks = 1;
	finish_all(publisher, PUBLICATION_IN_PROGRESS, status, message);
	publisher->in_callbacks = 0;
	start_next(publisher);
}

/*
 * Rejects the highest version only. The others were not validated and wait for
 * the next round.
 */
static void reject_highest(control_publisher_t *publisher, const char *message)
{
	publication_t *highest = publisher->highest;
	int i;

	publisher->highest = NULL;
	finish(highest, DY_STATUS_MALFORMED, message);
	for (i = 0; i < PUBLICATIONS_MAX; i++)
		if (publisher->items[i].state == PUBLICATION_IN_PROGRESS)
			publisher->items[i].state = PUBLICATION_WAITING;
	start_next(publisher);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	control_publisher_t *publisher = context;
	const dy_change_result_t *answer;

	if (result != DY_RAFT_DONE) {
		finish_batch(
			publisher,
			control_status_from_result(publisher->control, result),
			"the leader changed before the change was committed");
		return;
	}
	answer = dy_registry_find_answer(publisher->control->registry,
					 publisher->request_id);
	dy_assert(answer);
	dy_log_event(DY_LOG_INFO, "document_raised",
		     "status=%d number=%lu index=%lu", answer->status,
		     (unsigned long)answer->number, (unsigned long)index);
	if (answer->status == DY_STATUS_MALFORMED)
		reject_highest(publisher, answer->message);
	else if (answer->status == DY_STATUS_OK ||
		 answer->status == DY_STATUS_CONFLICT)
		finish_batch(publisher, DY_STATUS_OK, "");
	else
		finish_batch(publisher, DY_STATUS_UNAVAILABLE, answer->message);
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	control_publisher_t *publisher = context;

	(void)index;
	finish_batch(publisher,
		     control_status_from_result(publisher->control, result),
		     "");
}

static dy_raft_result_t propose(control_publisher_t *publisher,
				const publication_t *highest)
{
	dy_control_t *control = publisher->control;
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_operator_change_t *args = &command.dy_command_t_u.change;
	uint8_t digest[DY_DIGEST_BYTES];
	dy_raft_result_t result;
	uint32_t size;

	dy_document_digest(highest->bytes, highest->size, digest);
	if (!dy_registry_find_content(control->registry, digest, &size)) {
		result = control_propose_content(control, (char *)digest,
						 highest->bytes, highest->size);
		if (result != DY_RAFT_DONE)
			return result;
	}
	dy_random_fill(publisher->request_id, sizeof(publisher->request_id));
	args->change.kind = DY_CHANGE_RAISE;
	memcpy(args->change.request, publisher->request_id,
	       sizeof(publisher->request_id));
	args->change.operator_name = "";
	args->change.environment = (char *)dy_environment_name(DY_TRIAL);
	args->change.number = highest->number;
	memcpy(args->change.digest, digest, sizeof(digest));
	args->change.name = "";
	return control_propose(control, &command, on_committed, publisher);
}

static void start_next(control_publisher_t *publisher)
{
	dy_control_t *control = publisher->control;
	const dy_registry_document_t *current =
		dy_registry_document(control->registry, DY_TRIAL);
	dy_raft_result_t result;

	if (publisher->closed) {
		finish_all(publisher, PUBLICATION_WAITING,
			   DY_STATUS_UNAVAILABLE, "");
		return;
	}
	if (publisher->highest || publisher->in_callbacks)
		return;
	start_waiting(publisher);
	if (!publisher->highest)
		return;
	result = control_admit(control);
	if (result == DY_RAFT_DONE &&
	    publisher->highest->number > current->number)
		result = propose(publisher, publisher->highest);
	else if (result == DY_RAFT_DONE)
		result = dy_raft_read(control->raft, on_confirmed, publisher);
	if (result != DY_RAFT_DONE)
		finish_batch(publisher,
			     control_status_from_result(control, result),
			     "this control is not serving at the moment");
}

static publication_t *find_free(control_publisher_t *publisher)
{
	int i;

	for (i = 0; i < PUBLICATIONS_MAX; i++)
		if (publisher->items[i].state == PUBLICATION_FREE)
			return &publisher->items[i];
	return NULL;
}

void dy_control_publish(dy_control_t *control, const uint8_t *bytes,
			size_t size, uint64_t number,
			dy_control_done_cb_t *done, void *context)
{
	control_publisher_t *publisher = control->publisher;
	publication_t *publication = find_free(publisher);

	if (size > DY_DOCUMENT_BYTES) {
		done(context, DY_STATUS_MALFORMED, "the document is too large");
		return;
	}
	if (!publication || publisher->closed || control->stop_deadline_ms) {
		done(context, DY_STATUS_UNAVAILABLE,
		     "no more publications are accepted at the moment");
		return;
	}
	publication->state = PUBLICATION_WAITING;
	publication->sequence = ++publisher->last_sequence;
	publication->number = number;
	publication->bytes = g_memdup2(bytes, size);
	publication->size = (uint32_t)size;
	publication->done = done;
	publication->context = context;
	start_next(publisher);
}

typedef struct document_read {
	dy_control_t *control;
	dy_control_document_cb_t *done;
	void *context;
} document_read_t;

static void on_read_confirmed(void *context, dy_raft_result_t result,
			      uint64_t index)
{
	document_read_t *pending = context;
	dy_status_t status =
		control_status_from_result(pending->control, result);
	const dy_registry_document_t *current;
	const uint8_t *bytes = NULL;
	uint32_t size = 0;

	(void)index;
	if (status == DY_STATUS_OK) {
		current = dy_registry_document(pending->control->registry,
					       DY_TRIAL);
		bytes = dy_registry_find_content(pending->control->registry,
						 current->digest, &size);
		if (!current->number || !bytes)
			status = DY_STATUS_NOT_FOUND;
	}
	pending->done(pending->context, status,
		      status == DY_STATUS_OK ? bytes : NULL, size);
	g_free(pending);
}

void dy_control_read_document(dy_control_t *control,
			      dy_control_document_cb_t *done, void *context)
{
	dy_raft_result_t result = control_admit(control);
	document_read_t *pending;

	if (result == DY_RAFT_DONE) {
		pending = g_new0(document_read_t, 1);
		pending->control = control;
		pending->done = done;
		pending->context = context;
		result =
			dy_raft_read(control->raft, on_read_confirmed, pending);
		if (result == DY_RAFT_DONE)
			return;
		g_free(pending);
	}
	done(context, control_status_from_result(control, result), NULL, 0);
}
