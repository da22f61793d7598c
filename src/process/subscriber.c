#include "damaskyard/subscriber.h"

#include <string.h>

#include "damaskyard/log.h"
#include "state_source.h"

/* The loop looks this often whether a poll or a page is due, in ms. */
#define TICK_MS 50

/* Bytes of IPv4 and UDP around a datagram, and of them and a seal. */
#define DATAGRAM_HEAD_BYTES 28
#define REPLY_HEAD_BYTES (DATAGRAM_HEAD_BYTES + 56)

/* Bytes of a poll or a request for a page, with its seal. */
#define REQUEST_BYTES 4096

struct dy_subscriber {
	dy_subscriber_config_t config;
	dy_member_info_t info;
	int has_info;
	uint32_t skips;
	uint64_t boot;
	uint64_t incarnation;
	uint64_t state_version;
	uint64_t document;
	dy_member_state_t state;
	uint64_t successors[DY_SUCCESSORS_MAX];
	unsigned successor_count;
	dy_address_t control;
	int next_control;
	int named;    /* the control was named, and not polled since */
	int followed; /* the control that is polled was named by another */
	dy_address_list_t learned; /* the group, as its leader named it */
	dy_poll_pace_t pace;
	uint32_t poll_xid;	 /* of the poll under way and its copies */
	uint64_t polled_version; /* the state that it names */
	int from_image;		 /* the leader has not gone on from it yet */
	uint32_t state_generation;
	uint32_t polled_generation;
	uint32_t settled_generation;
	uint64_t confirmed_ms;
	int confirmed;
	int drain_told;
	state_source_t *source;
	uint64_t *polls;
	uint64_t *poll_copies;
	uint64_t *invited;
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
	learned->count = (int)MIN(count, (u_int)DY_SETTING_ADDRESSES_MAX);
	memcpy(learned->items, result->controls.controls_val,
	       (size_t)learned->count * sizeof(learned->items[0]));
}

static void send_request(dy_subscriber_t *subscriber, const dy_address_t *to,
			 uint32_t procedure, uint32_t xid, xdrproc_t proc,
			 void *args)
{
	dy_seal_header_t head = { xid, DY_CONTROL_PROGRAM, procedure };
	uint8_t out[REQUEST_BYTES];
	size_t len;

	len = dy_seal_write_call(subscriber->config.seal, &head, proc, args,
				 out, sizeof(out));
	if (!len)
		return;
	*subscriber->bytes_sent += len + DATAGRAM_HEAD_BYTES;
	dy_endpoint_send_to(subscriber->config.endpoint, out, len, to);
}

/*
 * Whether the state that this member starts from is to come as an image. What
 * a member wants that keeps those that ended is not in it.
 */
static int wants_image(const dy_subscriber_t *subscriber)
{
	return !subscriber->state_version && subscriber->config.skip_ended &&
	       subscriber->config.callbacks->member &&
	       state_source_may_give_image(subscriber->source);
}

/* A control is there. */
static void begin_image(dy_subscriber_t *subscriber)
{
	if (wants_image(subscriber))
		state_source_begin_image(subscriber->source,
					 subscriber->info.environment,
					 now_ms(subscriber));
}

static void send_poll(dy_subscriber_t *subscriber)
{
	dy_poll_t poll = { 0 };

	poll.info = subscriber->info;
	poll.boot = subscriber->boot;
	poll.incarnation = subscriber->incarnation;
	poll.state_version = subscriber->state_version;
	poll.document = subscriber->document;
	subscriber->polled_version = subscriber->state_version;
	poll.state = subscriber->state;
	poll.skips = subscriber->skips;
	if (wants_image(subscriber))
		poll.skips |= DY_SKIP_START;
	if (subscriber->from_image)
		poll.skips |= DY_FROM_IMAGE;
	poll.successors.successors_len = subscriber->successor_count;
	poll.successors.successors_val = subscriber->successors;
	send_request(subscriber, &subscriber->control, DY_CONTROL_POLL,
		     subscriber->poll_xid, (xdrproc_t)xdr_dy_poll_t, &poll);
}

/* A copy asks another control, unless one was just named. */
static void take_step(dy_subscriber_t *subscriber, dy_poll_step_t step)
{
	if (step == DY_POLL_WAIT)
		return;
	if (step == DY_POLL_SEND_NEW) {
		subscriber->poll_xid =
			dy_seal_next_xid(subscriber->config.seal);
		subscriber->polled_generation = subscriber->state_generation;
	} else {
		++*subscriber->poll_copies;
	}
	++*subscriber->polls;
	if (subscriber->pace.in_flight && !subscriber->named)
		choose_next_control(subscriber);
	subscriber->named = 0;
	dy_poll_pace_note_sent(&subscriber->pace, step, now_ms(subscriber));
	send_poll(subscriber);
}

static void poll_if_due(dy_subscriber_t *subscriber)
{
	if (subscriber->has_info)
		take_step(subscriber, dy_poll_pace_next(&subscriber->pace,
							now_ms(subscriber)));
}

static uint32_t send_for_source(void *context, const dy_address_t *to,
				uint32_t procedure, xdrproc_t proc, void *args)
{
	dy_subscriber_t *subscriber = context;
	uint32_t xid = dy_seal_next_xid(subscriber->config.seal);

	send_request(subscriber, to, procedure, xid, proc, args);
	return xid;
}

static void take_document(void *context, const dy_document_info_t *info,
			  const uint8_t *bytes, size_t len)
{
	dy_subscriber_t *subscriber = context;

	subscriber->config.callbacks->document(subscriber->config.context, info,
					       bytes, len);
}

static void apply_delta(dy_subscriber_t *subscriber, const dy_delta_t *delta)
{
	const dy_subscriber_callbacks_t *calls = subscriber->config.callbacks;
	void *context = subscriber->config.context;

	switch (delta->kind) {
	case DY_DELTA_DOCUMENT:
		/* A control of an older build sends what is skipped. */
		if (!calls->document)
			break;
		state_source_begin_document(subscriber->source,
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
	case DY_DELTA_DOMAIN:
		if (calls->domain)
			calls->domain(context, &delta->dy_delta_t_u.domain);
		break;
	}
}

static void apply_deltas(dy_subscriber_t *subscriber, const dy_delta_t *deltas,
			 unsigned count)
{
	unsigned i;

	for (i = 0; i < count; i++)
		apply_delta(subscriber, &deltas[i]);
}

/*
 * The image is of a state that a majority acknowledged, but may be old: the
 * leader's answer that follows brings the rest and confirms it.
 */
static void take_image(void *context, const dy_image_t *image)
{
	dy_subscriber_t *subscriber = context;

	if (image->state_version > subscriber->state_version) {
		apply_deltas(subscriber, image->deltas.deltas_val,
			     image->deltas.deltas_len);
		subscriber->state_version = image->state_version;
		subscriber->from_image = 1;
	}
	dy_poll_pace_note_change(&subscriber->pace);
}

static const state_source_callbacks_t source_callbacks = {
	send_for_source,
	take_document,
	take_image,
};

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

/* A majority was there, and this member has its place. */
static void take_confirmation(dy_subscriber_t *subscriber,
			      const dy_poll_result_t *result)
{
	subscriber->followed = 0;
	subscriber->named = 0;
	subscriber->confirmed = 1;
	subscriber->confirmed_ms = subscriber->pace.first_sent_ms;
	subscriber->settled_generation = subscriber->polled_generation;
	learn_controls(subscriber, result);
	take_grant(subscriber, result->incarnation);
	dy_poll_pace_note_answer(&subscriber->pace, result->poll_ms);
	if (result->drain)
		tell_drain(subscriber);
}

/* The leader left the state to the image, which may have come first. */
static void await_image(dy_subscriber_t *subscriber)
{
	begin_image(subscriber);
	if (!wants_image(subscriber))
		dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
}

static void apply_result(dy_subscriber_t *subscriber,
			 const dy_poll_result_t *result)
{
	if (result->more && !result->state_version &&
	    !subscriber->polled_version) {
		take_confirmation(subscriber, result);
		await_image(subscriber);
		return;
	}
	if (is_older(subscriber, result->state_version)) {
		choose_next_control(subscriber);
		return;
	}
	take_confirmation(subscriber, result);
	apply_deltas(subscriber, result->deltas.deltas_val,
		     result->deltas.deltas_len);
	subscriber->state_version = result->state_version;
	subscriber->from_image = 0;
	if (result->more)
		dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
	else if (subscriber->config.callbacks->caught_up)
		subscriber->config.callbacks->caught_up(
			subscriber->config.context);
}

/* Poll that control next. */
static void name_control(dy_subscriber_t *subscriber,
			 const dy_address_t *control)
{
	subscriber->control = *control;
	subscriber->named = 1;
}

static int is_polled(const dy_subscriber_t *subscriber,
		     const dy_address_t *control)
{
	return control->port && dy_address_equal(control, &subscriber->control);
}

/*
 * The control that was polled does not lead. One that it names is polled at
 * once, so that a member serves as soon as there is a leader; but not if it was
 * itself named so: two controls could each name the other for a while.
 */
static void follow_leader(dy_subscriber_t *subscriber,
			  const dy_address_t *leader)
{
	dy_poll_pace_back_off(&subscriber->pace, now_ms(subscriber));
	if (!leader->port || is_polled(subscriber, leader)) {
		subscriber->followed = 0;
		return;
	}
	name_control(subscriber, leader);
	begin_image(subscriber);
	if (!subscriber->followed)
		dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
	subscriber->followed = !subscriber->followed;
}

/*
 * The control that was polled cannot serve. If it has just been elected it will
 * soon; another one could only name it again.
 */
static void wait_for_leader(dy_subscriber_t *subscriber,
			    const dy_address_t *leader)
{
	subscriber->followed = 0;
	if (is_polled(subscriber, leader))
		name_control(subscriber, leader);
	dy_poll_pace_back_off(&subscriber->pace, now_ms(subscriber));
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
		dy_poll_pace_note_answer(&subscriber->pace, result.poll_ms);
		take_refusal(subscriber, result.status);
		break;
	}
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	poll_if_due(subscriber);
}

/*
 * A leader calls its members: it is polled at once, whether this member was
 * looking for one or believes that it has one.
 */
static void receive_invitation(dy_subscriber_t *subscriber,
			       const dy_sealed_t *message)
{
	dy_invite_t invite = { 0 };

	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_invite_t,
				     &invite) ||
	    !invite.leader.port)
		return;
	++*subscriber->invited;
	subscriber->followed = 0;
	name_control(subscriber, &invite.leader);
	begin_image(subscriber);
	dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
	poll_if_due(subscriber);
}

static void receive_content(dy_subscriber_t *subscriber,
			    const dy_sealed_t *message)
{
	if (!state_source_receive(subscriber->source, message,
				  now_ms(subscriber)))
		return;
	*subscriber->bad_documents = state_source_wrong(subscriber->source);
	poll_if_due(subscriber);
}

int dy_subscriber_receive(dy_subscriber_t *subscriber,
			  const dy_sealed_t *message)
{
	if (!message->is_reply) {
		if (message->program != DY_MEMBER_PROGRAM)
			return 0;
		if (message->procedure == DY_MEMBER_INVITE)
			receive_invitation(subscriber, message);
		return 1;
	}
	*subscriber->bytes_received += message->body_len + REPLY_HEAD_BYTES;
	if (subscriber->pace.in_flight && message->xid == subscriber->poll_xid)
		receive_poll_result(subscriber, message);
	else
		receive_content(subscriber, message);
	return 1;
}

static void on_tick(void *context)
{
	dy_subscriber_t *subscriber = context;

	/* An image that does not come leaves it to the leader. */
	if (state_source_tick(subscriber->source, now_ms(subscriber)))
		dy_poll_pace_note_change(&subscriber->pace);
	poll_if_due(subscriber);
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
		{ "poll_copies", &subscriber->poll_copies },
		{ "polls_invited", &subscriber->invited },
		{ "stale_state_refused", &subscriber->stale_answers },
		{ "document_digest_wrong", &subscriber->bad_documents },
		{ "poll_answers_unreadable", &subscriber->unreadable },
		{ "control_bytes_sent", &subscriber->bytes_sent },
		{ "control_bytes_received", &subscriber->bytes_received },
	};

	dy_metrics_counters(subscriber->config.metrics, entries,
			    G_N_ELEMENTS(entries));
}

/*
 * What nobody here takes is not asked for: with it the bytes that control sends
 * would grow with the square of the members.
 */
static uint32_t list_skips(const dy_subscriber_config_t *config)
{
	const dy_subscriber_callbacks_t *calls = config->callbacks;
	uint32_t skips = 0;

	if (!calls->member)
		skips |= DY_SKIP_MEMBERS;
	if (!calls->document)
		skips |= DY_SKIP_DOCUMENT;
	if (!calls->key)
		skips |= DY_SKIP_KEYS;
	if (calls->domain)
		skips |= DY_TAKES_DOMAINS;
	if (config->skip_ended)
		skips |= DY_SKIP_ENDED;
	return skips;
}

dy_subscriber_t *dy_subscriber_create(const dy_subscriber_config_t *config)
{
	dy_subscriber_t *subscriber = g_new0(dy_subscriber_t, 1);
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(3, 10000);
	state_source_controls_t controls;
	uint32_t start;

	subscriber->config = *config;
	subscriber->skips = list_skips(config);
	subscriber->state = DY_MEMBER_SERVING;
	subscriber->refused_limit = limit;
	subscriber->boot = make_boot();
	dy_random_fill(&start, sizeof(start));
	dy_poll_pace_init(&subscriber->pace, start);
	controls.told = config->controls;
	controls.learned = &subscriber->learned;
	controls.leader = &subscriber->control;
	subscriber->source = state_source_create(&source_callbacks, subscriber,
						 &controls, start);
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
	state_source_destroy(subscriber->source);
	dy_poll_pace_clear(&subscriber->pace);
	g_free(subscriber);
}

static void poll_soon(dy_subscriber_t *subscriber)
{
	subscriber->state_generation++;
	dy_poll_pace_note_change(&subscriber->pace);
}

void dy_subscriber_rejoin(dy_subscriber_t *subscriber)
{
	state_source_reset(subscriber->source);
	subscriber->boot = make_boot();
	subscriber->incarnation = 0;
	subscriber->state_version = 0;
	subscriber->document = 0;
	subscriber->state = DY_MEMBER_SERVING;
	subscriber->successor_count = 0;
	subscriber->drain_told = 0;
	subscriber->from_image = 0;
	dy_poll_pace_reset(&subscriber->pace);
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
	/*
	 * Guards against balancers that learn of a stop too late, while a poll
	 * of before waits at a slow control: they would take the silence that
	 * follows for a failure.
	 */
	if (state == DY_MEMBER_DRAINING || state == DY_MEMBER_LEFT)
		dy_poll_pace_reset(&subscriber->pace);
	poll_soon(subscriber);
}

void dy_subscriber_poll_early(dy_subscriber_t *subscriber)
{
	if (subscriber->has_info)
		dy_poll_pace_poll_early(&subscriber->pace);
	on_tick(subscriber);
}

void dy_subscriber_set_document(dy_subscriber_t *subscriber, uint64_t number)
{
	subscriber->document = number;
	poll_soon(subscriber);
}

uint64_t dy_subscriber_confirmation_age_ms(const dy_subscriber_t *subscriber)
{
	if (!subscriber->confirmed)
		return UINT64_MAX;
	return now_ms(subscriber) - subscriber->confirmed_ms;
}

int dy_subscriber_is_state_confirmed(const dy_subscriber_t *subscriber)
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
