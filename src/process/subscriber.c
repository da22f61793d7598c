#include "damaskyard/subscriber.h"

#include <string.h>

#include "damaskyard/log.h"
#include "document_fetch.h"

/* The loop looks this often whether a poll or a page is due, in ms. */
#define TICK_MS 50

/* Polls are never further apart, whatever control says, in ms. */
#define POLL_MOST_MS 5000

/* Bytes of IPv4 and UDP around a datagram, and of them and a seal. */
#define DATAGRAM_HEAD_BYTES 28
#define REPLY_HEAD_BYTES (DATAGRAM_HEAD_BYTES + 56)

/* Bytes of a poll or a request for a page, with its seal. */
#define REQUEST_BYTES 4096

struct dy_subscriber {
	dy_subscriber_config_t config;
	dy_member_info_t info;
	int has_info;
	uint64_t boot;
	uint64_t incarnation;
	uint64_t state_version;
	uint64_t document;
	dy_member_state_t state;
	uint64_t successors[DY_SUCCESSORS_MAX];
	unsigned successor_count;
	dy_address_t control;
	int next_control;
	int followed; /* the control that is polled was named by another */
	dy_address_list_t learned; /* the group, as its leader named it */
	uint32_t poll_xid;
	int polling;
	uint64_t poll_sent_ms;
	uint64_t next_poll_ms;
	uint64_t poll_ms; /* between polls, as control told */
	uint32_t state_generation;
	uint32_t polled_generation;
	uint32_t settled_generation;
	uint64_t confirmed_ms;
	int confirmed;
	int drain_told;
	document_fetch_t *fetch;
	uint64_t *polls;
	uint64_t *poll_timeouts;
	uint64_t *stale_answers;
	uint64_t *bad_documents;
	uint64_t *unreadable;
	uint64_t *bytes_sent;
	uint64_t *bytes_received;
	dy_log_limit_t refused_limit;
};

static uint64_t now_ms(const dy_subscriber_t *subscriber)
{
	return dy_loop_now_ms(subscriber->config.loop);
}

static void choose_next_control(dy_subscriber_t *subscriber)
{
	const dy_address_list_t *told = subscriber->config.controls;
	const dy_address_list_t *learned = &subscriber->learned;
	int next =
		(subscriber->next_control + 1) % (told->count + learned->count);

	subscriber->next_control = next;
	subscriber->control = next < learned->count
				      ? learned->items[next]
				      : told->items[next - learned->count];
}

/*
 * Guards against a group whose members were replaced one by one, until none
 * of the addresses in the settings answers any more.
 */
static void learn_controls(dy_subscriber_t *subscriber,
			   const dy_poll_result_t *result)
{
	dy_address_list_t *learned = &subscriber->learned;
	u_int count = result->controls.controls_len;

	if (!count)
		return;
	learned->count = (int)MIN(count, (u_int)DY_SETTING_ADDRESSES);
	memcpy(learned->items, result->controls.controls_val,
	       (size_t)learned->count * sizeof(learned->items[0]));
}

static void send_request(dy_subscriber_t *subscriber, uint32_t procedure,
			 uint32_t xid, xdrproc_t proc, void *args)
{
	dy_seal_head_t head = { xid, DY_CONTROL_PROGRAM, procedure };
	uint8_t out[REQUEST_BYTES];
	size_t len;

	len = dy_seal_write_call(subscriber->config.seal, &head, proc, args,
				 out, sizeof(out));
	if (!len)
		return;
	*subscriber->bytes_sent += len + DATAGRAM_HEAD_BYTES;
	dy_endpoint_send_to(subscriber->config.endpoint, out, len,
			    &subscriber->control);
}

static void send_poll(dy_subscriber_t *subscriber)
{
	dy_poll_t poll = { 0 };

	poll.info = subscriber->info;
	poll.boot = subscriber->boot;
	poll.incarnation = subscriber->incarnation;
	poll.state_version = subscriber->state_version;
	poll.document = subscriber->document;
	poll.state = subscriber->state;
	poll.successors.successors_len = subscriber->successor_count;
	poll.successors.successors_val = subscriber->successors;
	subscriber->poll_xid = dy_seal_next_xid(subscriber->config.seal);
	subscriber->polling = 1;
	subscriber->poll_sent_ms = now_ms(subscriber);
	subscriber->next_poll_ms =
		subscriber->poll_sent_ms + subscriber->poll_ms;
	subscriber->polled_generation = subscriber->state_generation;
	++*subscriber->polls;
	send_request(subscriber, DY_CONTROL_POLL, subscriber->poll_xid,
		     (xdrproc_t)xdr_dy_poll_t, &poll);
}

static uint32_t send_fetch(void *context, dy_fetch_t *request)
{
	dy_subscriber_t *subscriber = context;
	uint32_t xid = dy_seal_next_xid(subscriber->config.seal);

	send_request(subscriber, DY_CONTROL_FETCH, xid,
		     (xdrproc_t)xdr_dy_fetch_t, request);
	return xid;
}

static void turn_from_control(void *context)
{
	choose_next_control(context);
}

static void take_document(void *context, const dy_document_info_t *info,
			  const uint8_t *bytes, size_t len)
{
	dy_subscriber_t *subscriber = context;

	subscriber->config.callbacks->document(subscriber->config.context, info,
					       bytes, len);
}

static const document_fetch_callbacks_t fetch_callbacks = {
	send_fetch,
	turn_from_control,
	take_document,
};

static void receive_page(dy_subscriber_t *subscriber,
			 const dy_sealed_t *message)
{
	dy_fetch_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_fetch_result_t, &result,
			    sizeof(result)))
		return;
	document_fetch_receive(subscriber->fetch, message->xid, &result,
			       now_ms(subscriber));
	*subscriber->bad_documents = document_fetch_wrong(subscriber->fetch);
	xdr_free((xdrproc_t)xdr_dy_fetch_result_t, (char *)&result);
}

static void apply_delta(dy_subscriber_t *subscriber, const dy_delta_t *delta)
{
	const dy_subscriber_callbacks_t *calls = subscriber->config.callbacks;
	void *context = subscriber->config.context;

	switch (delta->kind) {
	case DY_DELTA_DOCUMENT:
		if (!calls->document)
			break;
		document_fetch_begin(subscriber->fetch,
				     &delta->dy_delta_t_u.document,
				     now_ms(subscriber));
		break;
	case DY_DELTA_MEMBER:
		if (calls->member)
			calls->member(context, &delta->dy_delta_t_u.member);
		break;
	case DY_DELTA_KEY:
		if (calls->key)
			calls->key(context, &delta->dy_delta_t_u.key);
		break;
	}
}

static void take_grant(dy_subscriber_t *subscriber, uint64_t incarnation)
{
	if (!incarnation || incarnation == subscriber->incarnation)
		return;
	subscriber->incarnation = incarnation;
	dy_log_event(DY_LOG_INFO, "incarnation_granted", "incarnation=%lu",
		     (unsigned long)incarnation);
	if (subscriber->config.callbacks->granted)
		subscriber->config.callbacks->granted(
			subscriber->config.context, incarnation);
}

static void tell_drain(dy_subscriber_t *subscriber)
{
	if (subscriber->drain_told)
		return;
	subscriber->drain_told = 1;
	if (subscriber->config.callbacks->drain)
		subscriber->config.callbacks->drain(subscriber->config.context);
}

/*
 * Guards against going back to an older state: a control that was rebuilt
 * from nothing, or one that answers late, would show itself by a version
 * below the one held here. Its answer is dropped.
 */
static int is_older(dy_subscriber_t *subscriber, uint64_t version)
{
	if (version >= subscriber->state_version)
		return 0;
	++*subscriber->stale_answers;
	dy_log_event(DY_LOG_WARN, "stale_state_refused", "held=%lu offered=%lu",
		     (unsigned long)subscriber->state_version,
		     (unsigned long)version);
	return 1;
}

static void apply_result(dy_subscriber_t *subscriber,
			 const dy_poll_result_t *result)
{
	unsigned i;

	if (is_older(subscriber, result->state_version)) {
		choose_next_control(subscriber);
		return;
	}
	subscriber->followed = 0;
	subscriber->confirmed = 1;
	subscriber->confirmed_ms = subscriber->poll_sent_ms;
	subscriber->settled_generation = subscriber->polled_generation;
	learn_controls(subscriber, result);
	take_grant(subscriber, result->incarnation);
	for (i = 0; i < result->deltas.deltas_len; i++)
		apply_delta(subscriber, &result->deltas.deltas_val[i]);
	subscriber->state_version = result->state_version;
	subscriber->poll_ms = CLAMP(result->poll_ms, DY_POLL_MS, POLL_MOST_MS);
	if (result->more)
		subscriber->next_poll_ms = now_ms(subscriber);
	else if (subscriber->config.callbacks->caught_up)
		subscriber->config.callbacks->caught_up(
			subscriber->config.context);
	if (result->drain)
		tell_drain(subscriber);
}

/* Poll another control, or the same, after a while. */
static void poll_again(dy_subscriber_t *subscriber)
{
	subscriber->followed = 0;
	subscriber->next_poll_ms = now_ms(subscriber) + TICK_MS;
}

/*
 * The control that was polled does not lead. One that it names is polled at
 * once, so that a member serves as soon as there is a leader; but not if it was
 * itself named so: two controls could each name the other for a while.
 */
static void follow_leader(dy_subscriber_t *subscriber,
			  const dy_address_t *leader)
{
	int followed = subscriber->followed;

	if (!leader->port || dy_address_equal(leader, &subscriber->control)) {
		choose_next_control(subscriber);
		poll_again(subscriber);
		return;
	}
	subscriber->control = *leader;
	poll_again(subscriber);
	if (followed)
		return;
	subscriber->followed = 1;
	subscriber->next_poll_ms = now_ms(subscriber);
}

/*
 * The control that was polled cannot serve. If it has just been elected it will
 * soon; another one could only name it again.
 */
static void wait_for_leader(dy_subscriber_t *subscriber,
			    const dy_address_t *leader)
{
	if (!leader->port || !dy_address_equal(leader, &subscriber->control))
		choose_next_control(subscriber);
	poll_again(subscriber);
}

static void take_refusal(dy_subscriber_t *subscriber, dy_status_t status)
{
	if (dy_log_allow(&subscriber->refused_limit, "poll_refused",
			 now_ms(subscriber)))
		dy_log_event(DY_LOG_WARN, "poll_refused", "status=%d", status);
	subscriber->config.callbacks->refused(subscriber->config.context,
					      status);
}

/*
 * A control of another version of the messages leads. Without a word this
 * member would lose its lease while the group looks healthy.
 */
static void note_unreadable(dy_subscriber_t *subscriber)
{
	++*subscriber->unreadable;
	if (dy_log_allow(&subscriber->refused_limit, "poll_answer_unreadable",
			 now_ms(subscriber)))
		dy_log_event(DY_LOG_ERROR, "poll_answer_unreadable", "");
}

static void receive_poll_result(dy_subscriber_t *subscriber,
				const dy_sealed_t *message)
{
	dy_poll_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_poll_result_t, &result,
			    sizeof(result))) {
		note_unreadable(subscriber);
		return;
	}
	subscriber->polling = 0;
	switch (result.status) {
	case DY_STATUS_OK:
		apply_result(subscriber, &result);
		break;
	case DY_STATUS_NOT_LEADER:
		follow_leader(subscriber, &result.leader);
		break;
	case DY_STATUS_UNAVAILABLE:
		wait_for_leader(subscriber, &result.leader);
		break;
	default:
		take_refusal(subscriber, result.status);
		break;
	}
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	if (subscriber->next_poll_ms <= now_ms(subscriber))
		send_poll(subscriber);
}

void dy_subscriber_receive(dy_subscriber_t *subscriber,
			   const dy_sealed_t *message)
{
	if (!message->is_reply)
		return;
	*subscriber->bytes_received += message->body_len + REPLY_HEAD_BYTES;
	if (subscriber->polling && message->xid == subscriber->poll_xid)
		receive_poll_result(subscriber, message);
	else if (document_fetch_waits(subscriber->fetch, message->xid))
		receive_page(subscriber, message);
}

static void on_tick(void *context)
{
	dy_subscriber_t *subscriber = context;
	uint64_t now = now_ms(subscriber);
	uint64_t timeout_ms = subscriber->confirmed ? DY_POLL_TIMEOUT_MS
						    : DY_POLL_FIRST_TIMEOUT_MS;

	if (!subscriber->has_info)
		return;
	if (subscriber->polling &&
	    now - subscriber->poll_sent_ms >= timeout_ms) {
		++*subscriber->poll_timeouts;
		subscriber->polling = 0;
		subscriber->followed = 0;
		subscriber->next_poll_ms = now;
		choose_next_control(subscriber);
	}
	if (!subscriber->polling && now >= subscriber->next_poll_ms)
		send_poll(subscriber);
	document_fetch_tick(subscriber->fetch, now, DY_POLL_TIMEOUT_MS);
}

/*
 * A start's number: the time of day in ms, then random bits. Of two starts at
 * one address the later has the greater one, unless the clock was set back;
 * then it waits until the lease of the first has run out.
 */
static uint64_t make_boot(void)
{
	uint16_t random;

	dy_random_fill(&random, sizeof(random));
	return (uint64_t)(g_get_real_time() / 1000) << 16 | random;
}

static void register_counters(dy_subscriber_t *subscriber)
{
	const dy_metrics_entry_t entries[] = {
		{ "polls", &subscriber->polls },
		{ "poll_timeouts", &subscriber->poll_timeouts },
		{ "stale_state_refused", &subscriber->stale_answers },
		{ "document_digest_wrong", &subscriber->bad_documents },
		{ "poll_answers_unreadable", &subscriber->unreadable },
		{ "control_bytes_sent", &subscriber->bytes_sent },
		{ "control_bytes_received", &subscriber->bytes_received },
	};

	dy_metrics_counters(subscriber->config.metrics, entries,
			    G_N_ELEMENTS(entries));
}

dy_subscriber_t *dy_subscriber_create(const dy_subscriber_config_t *config)
{
	dy_subscriber_t *subscriber = g_new0(dy_subscriber_t, 1);
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(3, 10000);
	uint32_t start;

	subscriber->config = *config;
	subscriber->fetch = document_fetch_create(&fetch_callbacks, subscriber);
	subscriber->poll_ms = DY_POLL_MS;
	subscriber->state = DY_MEMBER_SERVING;
	subscriber->refused_limit = limit;
	subscriber->boot = make_boot();
	dy_random_fill(&start, sizeof(start));
	subscriber->next_control = (int)(start % config->controls->count);
	choose_next_control(subscriber);
	register_counters(subscriber);
	dy_loop_every(config->loop, TICK_MS, on_tick, subscriber);
	return subscriber;
}

void dy_subscriber_destroy(dy_subscriber_t *subscriber)
{
	if (!subscriber)
		return;
	document_fetch_destroy(subscriber->fetch);
	g_free(subscriber);
}

static void poll_soon(dy_subscriber_t *subscriber)
{
	subscriber->state_generation++;
	subscriber->next_poll_ms = 0;
}

void dy_subscriber_rejoin(dy_subscriber_t *subscriber)
{
	document_fetch_reset(subscriber->fetch);
	subscriber->boot = make_boot();
	subscriber->incarnation = 0;
	subscriber->state_version = 0;
	subscriber->document = 0;
	subscriber->state = DY_MEMBER_SERVING;
	subscriber->successor_count = 0;
	subscriber->polling = 0;
	subscriber->drain_told = 0;
	poll_soon(subscriber);
}

void dy_subscriber_set_info(dy_subscriber_t *subscriber,
			    const dy_member_info_t *info)
{
	subscriber->info = *info;
	subscriber->has_info = 1;
	poll_soon(subscriber);
}

void dy_subscriber_set_state(dy_subscriber_t *subscriber,
			     dy_member_state_t state,
			     const uint64_t *successors, unsigned count)
{
	g_assert(count <= DY_SUCCESSORS_MAX);
	subscriber->state = state;
	subscriber->successor_count = count;
	if (count)
		memcpy(subscriber->successors, successors,
		       count * sizeof(*successors));
	poll_soon(subscriber);
}

void dy_subscriber_press(dy_subscriber_t *subscriber)
{
	uint64_t earliest = subscriber->poll_sent_ms + DY_POLL_PRESSED_MS;

	if (subscriber->has_info && !subscriber->polling &&
	    subscriber->next_poll_ms > earliest)
		subscriber->next_poll_ms = earliest;
	on_tick(subscriber);
}

void dy_subscriber_set_document(dy_subscriber_t *subscriber, uint64_t number)
{
	subscriber->document = number;
	poll_soon(subscriber);
}

uint64_t dy_subscriber_age_ms(const dy_subscriber_t *subscriber)
{
	if (!subscriber->confirmed)
		return UINT64_MAX;
	return now_ms(subscriber) - subscriber->confirmed_ms;
}

int dy_subscriber_settled(const dy_subscriber_t *subscriber)
{
	return subscriber->confirmed &&
	       subscriber->settled_generation == subscriber->state_generation;
}

uint64_t dy_subscriber_version(const dy_subscriber_t *subscriber)
{
	return subscriber->state_version;
}

uint64_t dy_subscriber_incarnation(const dy_subscriber_t *subscriber)
{
	return subscriber->incarnation;
}
