#include "damaskyard/subscriber.h"

#include <string.h>

#include "damaskyard/log.h"
#include "control_silence.h"
#include "state_source.h"

/* Interval in ms at which due polls and timeouts are checked. */
#define TICK_INTERVAL_MS 50

/* Header bytes of IPv4 and UDP, and of these and a sealed reply. */
#define DATAGRAM_HEADER_BYTES 28
#define REPLY_HEADER_BYTES (DATAGRAM_HEADER_BYTES + 56)

/* Maximum size of a poll or a request for a page, with its seal. */
#define REQUEST_MAX_BYTES 4096

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
	int redirected;		   /* control was named and not polled since */
	int redirect_followed;	   /* control was named by another control */
	dy_address_list_t learned; /* the group, as reported by its leader */
	dy_poll_pace_t pace;
	uint32_t poll_xid;	   /* of the poll in flight */
	uint64_t polled_version;   /* state version sent in it */
	int from_image;		   /* no answer since the image was applied */
	uint32_t state_generation; /* counts changes of the content of polls */
	uint32_t polled_generation;
	uint32_t confirmed_generation;
	uint64_t confirmed_ms;
	int confirmed;
	control_silence_t silence;
	int drain_reported;
	state_source_t *source;
	uint64_t *polls;
	uint64_t *poll_copies;
	uint64_t *invitations;
	uint64_t *stale_answers;
	uint64_t *bad_documents;
	uint64_t *unreadable_answers;
	uint64_t *bytes_sent;
	uint64_t *bytes_received;
	dy_log_limit_t refusal_log_limit;
};

static uint64_t now_ms(const dy_subscriber_t *subscriber)
{
	return dy_loop_now_ms(subscriber->config.loop);
}

static void choose_next_control(dy_subscriber_t *subscriber)
{
	const dy_address_list_t *configured = subscriber->config.controls;
	const dy_address_list_t *learned = &subscriber->learned;
	int next = (subscriber->next_control + 1) %
		   (configured->count + learned->count);

	subscriber->next_control = next;
	subscriber->control =
		next < learned->count
			? learned->items[next]
			: configured->items[next - learned->count];
}

/*
 * Guards against a group whose members were replaced one by one, until no
 * address in the settings answers any more.
 */
static void update_controls(dy_subscriber_t *subscriber,
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
	uint8_t out[REQUEST_MAX_BYTES];
	size_t len;

	len = dy_seal_write_call(subscriber->config.seal, &head, proc, args,
				 out, sizeof(out));
	if (!len)
		return;
	*subscriber->bytes_sent += len + DATAGRAM_HEADER_BYTES;
	dy_endpoint_send_to(subscriber->config.endpoint, out, len, to);
}

/*
 * Returns whether this member gets its initial state as an image. An image
 * does not contain ended members, so that a member that needs these does not
 * use one.
 */
static int needs_image(const dy_subscriber_t *subscriber)
{
	return !subscriber->state_version && subscriber->config.skip_ended &&
	       subscriber->config.callbacks->member &&
	       state_source_is_image_possible(subscriber->source);
}

/* Called when a control is known to be reachable. */
static void start_image(dy_subscriber_t *subscriber)
{
	if (needs_image(subscriber))
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
	if (needs_image(subscriber))
		poll.skips |= DY_SKIP_START;
	if (subscriber->from_image)
		poll.skips |= DY_FROM_IMAGE;
	poll.successors.successors_len = subscriber->successor_count;
	poll.successors.successors_val = subscriber->successors;
	send_request(subscriber, &subscriber->control, DY_CONTROL_POLL,
		     subscriber->poll_xid, (xdrproc_t)xdr_dy_poll_t, &poll);
}

/* A retransmission goes to another control, or to one that was just named. */
static void perform_step(dy_subscriber_t *subscriber, dy_poll_step_t step)
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
	if (subscriber->pace.in_flight && !subscriber->redirected)
		choose_next_control(subscriber);
	subscriber->redirected = 0;
	control_silence_note_sent(&subscriber->silence, now_ms(subscriber));
	dy_poll_pace_note_sent(&subscriber->pace, step, now_ms(subscriber));
	send_poll(subscriber);
}

static void poll_if_due(dy_subscriber_t *subscriber)
{
	if (subscriber->has_info)
		perform_step(subscriber, dy_poll_pace_next(&subscriber->pace,
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

static void deliver_document(void *context, const dy_document_info_t *info,
			     const uint8_t *bytes, size_t len)
{
	dy_subscriber_t *subscriber = context;

	subscriber->config.callbacks->document(subscriber->config.context, info,
					       bytes, len);
}

static void apply_delta(dy_subscriber_t *subscriber, const dy_delta_t *delta)
{
	const dy_subscriber_callbacks_t *callbacks =
		subscriber->config.callbacks;
	void *context = subscriber->config.context;

	switch (delta->kind) {
	case DY_DELTA_DOCUMENT:
		/* A control of an older build ignores the poll's skips. */
		if (!callbacks->document)
			break;
		state_source_begin_document(subscriber->source,
					    &delta->dy_delta_t_u.document,
					    now_ms(subscriber));
		break;
	case DY_DELTA_MEMBER:
		if (callbacks->member)
			callbacks->member(context, &delta->dy_delta_t_u.member);
		break;
	case DY_DELTA_KEY:
		if (callbacks->key)
			callbacks->key(context, &delta->dy_delta_t_u.key);
		break;
	case DY_DELTA_DOMAIN:
		if (callbacks->domain)
			callbacks->domain(context, &delta->dy_delta_t_u.domain);
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
 * A majority acknowledged the state in the image, but it may be old. The next
 * answer of the leader brings the later changes and confirms it.
 */
static void apply_image(void *context, const dy_image_t *image)
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
	deliver_document,
	apply_image,
};

static void apply_grant(dy_subscriber_t *subscriber, uint64_t incarnation)
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

static void report_drain(dy_subscriber_t *subscriber)
{
	if (subscriber->drain_reported)
		return;
	subscriber->drain_reported = 1;
	if (subscriber->config.callbacks->drain)
		subscriber->config.callbacks->drain(subscriber->config.context);
}

/*
 * Guards against a return to an older state: the answer of a control that was
 * rebuilt with empty storage, or a late answer, has a version below this
 * member's. It is dropped.
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

/* A majority has confirmed the poll, and with it this member's lease. */
static void apply_confirmation(dy_subscriber_t *subscriber,
			       const dy_poll_result_t *result)
{
	control_silence_end(&subscriber->silence, now_ms(subscriber));
	subscriber->redirect_followed = 0;
	subscriber->redirected = 0;
	subscriber->confirmed = 1;
	subscriber->confirmed_ms = subscriber->pace.first_sent_ms;
	subscriber->confirmed_generation = subscriber->polled_generation;
	update_controls(subscriber, result);
	apply_grant(subscriber, result->incarnation);
	dy_poll_pace_note_answer(&subscriber->pace, result->poll_ms);
	if (result->drain)
		report_drain(subscriber);
}

/* The leader left out the state; the image may have arrived before. */
static void await_image(dy_subscriber_t *subscriber)
{
	start_image(subscriber);
	if (!needs_image(subscriber))
		dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
}

static void apply_result(dy_subscriber_t *subscriber,
			 const dy_poll_result_t *result)
{
	if (result->more && !result->state_version &&
	    !subscriber->polled_version) {
		apply_confirmation(subscriber, result);
		await_image(subscriber);
		return;
	}
	if (is_older(subscriber, result->state_version)) {
		choose_next_control(subscriber);
		return;
	}
	apply_confirmation(subscriber, result);
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

static void redirect_to(dy_subscriber_t *subscriber,
			const dy_address_t *control)
{
	subscriber->control = *control;
	subscriber->redirected = 1;
}

static int is_current_control(const dy_subscriber_t *subscriber,
			      const dy_address_t *control)
{
	return control->port && dy_address_equal(control, &subscriber->control);
}

/*
 * The polled control is not the leader. The leader that it names is polled at
 * once, so that a member can serve as soon as a leader exists. If the polled
 * control was itself polled at once because another one named it, the backoff
 * applies: two controls may name each other for a while.
 */
static void handle_not_leader(dy_subscriber_t *subscriber,
			      const dy_address_t *leader)
{
	dy_poll_pace_back_off(&subscriber->pace, now_ms(subscriber));
	if (!leader->port || is_current_control(subscriber, leader)) {
		subscriber->redirect_followed = 0;
		return;
	}
	redirect_to(subscriber, leader);
	start_image(subscriber);
	if (!subscriber->redirect_followed)
		dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
	subscriber->redirect_followed = !subscriber->redirect_followed;
}

/*
 * The polled control cannot serve yet. If it names itself as leader it was
 * just elected and will serve soon, so it is polled again after the backoff;
 * another control would only name it again.
 */
static void handle_unavailable(dy_subscriber_t *subscriber,
			       const dy_address_t *leader)
{
	subscriber->redirect_followed = 0;
	if (is_current_control(subscriber, leader))
		redirect_to(subscriber, leader);
	dy_poll_pace_back_off(&subscriber->pace, now_ms(subscriber));
}

static void handle_refusal(dy_subscriber_t *subscriber, dy_status_t status)
{
	if (dy_log_allow(&subscriber->refusal_log_limit, "poll_refused",
			 now_ms(subscriber)))
		dy_log_event(DY_LOG_WARN, "poll_refused", "status=%d", status);
	subscriber->config.callbacks->refused(subscriber->config.context,
					      status);
}

/*
 * The leader sends another version of the messages. Without a log event this
 * member would lose its lease while the group looks healthy.
 */
static void note_unreadable(dy_subscriber_t *subscriber)
{
	++*subscriber->unreadable_answers;
	if (dy_log_allow(&subscriber->refusal_log_limit,
			 "poll_answer_unreadable", now_ms(subscriber)))
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
		handle_not_leader(subscriber, &result.leader);
		break;
	case DY_STATUS_UNAVAILABLE:
		handle_unavailable(subscriber, &result.leader);
		break;
	default:
		dy_poll_pace_note_answer(&subscriber->pace, result.poll_ms);
		handle_refusal(subscriber, result.status);
		break;
	}
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	poll_if_due(subscriber);
}

/*
 * A new leader invites its members. It is polled at once, also if this member
 * already polls another leader.
 */
static void receive_invitation(dy_subscriber_t *subscriber,
			       const dy_sealed_t *message)
{
	dy_invite_t invite = { 0 };

	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_invite_t,
				     &invite) ||
	    !invite.leader.port)
		return;
	++*subscriber->invitations;
	subscriber->redirect_followed = 0;
	redirect_to(subscriber, &invite.leader);
	start_image(subscriber);
	dy_poll_pace_poll_now(&subscriber->pace, now_ms(subscriber));
	poll_if_due(subscriber);
}

static void receive_content(dy_subscriber_t *subscriber,
			    const dy_sealed_t *message)
{
	if (!state_source_receive(subscriber->source, message,
				  now_ms(subscriber)))
		return;
	*subscriber->bad_documents =
		state_source_digest_mismatches(subscriber->source);
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
	*subscriber->bytes_received += message->body_len + REPLY_HEADER_BYTES;
	if (subscriber->pace.in_flight && message->xid == subscriber->poll_xid)
		receive_poll_result(subscriber, message);
	else
		receive_content(subscriber, message);
	return 1;
}

static void on_tick(void *context)
{
	dy_subscriber_t *subscriber = context;

	/* If the image fetch failed, the leader sends the state. */
	if (state_source_tick(subscriber->source, now_ms(subscriber)))
		dy_poll_pace_note_change(&subscriber->pace);
	poll_if_due(subscriber);
	control_silence_review(&subscriber->silence, &subscriber->control,
			       now_ms(subscriber));
}

/*
 * Returns the number of this start: the time of day in ms in the upper bits,
 * random bits in the lower 16. Of two starts at one address the later one has
 * the greater number. If the clock was set back, the later start waits until
 * the lease of the earlier one has expired.
 */
static uint64_t create_boot_id(void)
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
		{ "polls_invited", &subscriber->invitations },
		{ "stale_state_refused", &subscriber->stale_answers },
		{ "document_digest_wrong", &subscriber->bad_documents },
		{ "poll_answers_unreadable", &subscriber->unreadable_answers },
		{ "control_bytes_sent", &subscriber->bytes_sent },
		{ "control_bytes_received", &subscriber->bytes_received },
	};

	dy_metrics_counters(subscriber->config.metrics, entries,
			    G_N_ELEMENTS(entries));
}

/*
 * Returns the kinds of state that control leaves out, because the member has
 * no callback for them. Otherwise the bytes that control sends would grow with
 * the square of the number of members.
 */
static uint32_t build_skips(const dy_subscriber_config_t *config)
{
	const dy_subscriber_callbacks_t *callbacks = config->callbacks;
	uint32_t skips = 0;

	if (!callbacks->member)
		skips |= DY_SKIP_MEMBERS;
	if (!callbacks->document)
		skips |= DY_SKIP_DOCUMENT;
	if (!callbacks->key)
		skips |= DY_SKIP_KEYS;
	if (callbacks->domain)
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
	uint32_t seed;

	subscriber->config = *config;
	subscriber->skips = build_skips(config);
	subscriber->state = DY_MEMBER_SERVING;
	subscriber->refusal_log_limit = limit;
	subscriber->boot = create_boot_id();
	dy_random_fill(&seed, sizeof(seed));
	dy_poll_pace_init(&subscriber->pace, seed);
	controls.configured = config->controls;
	controls.learned = &subscriber->learned;
	controls.leader = &subscriber->control;
	subscriber->source = state_source_create(&source_callbacks, subscriber,
						 &controls, seed);
	subscriber->next_control = (int)(seed % config->controls->count);
	choose_next_control(subscriber);
	register_counters(subscriber);
	dy_loop_every(config->loop, TICK_INTERVAL_MS, on_tick, subscriber);
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
	subscriber->boot = create_boot_id();
	subscriber->incarnation = 0;
	subscriber->state_version = 0;
	subscriber->document = 0;
	subscriber->state = DY_MEMBER_SERVING;
	subscriber->successor_count = 0;
	subscriber->drain_reported = 0;
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
	 * Guards against balancers that learn of a stop too late because an
	 * earlier poll waits at a slow control. They would treat the stopped
	 * member, which no longer answers, as failed.
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
	       subscriber->confirmed_generation == subscriber->state_generation;
}

uint64_t dy_subscriber_version(const dy_subscriber_t *subscriber)
{
	return subscriber->state_version;
}

uint64_t dy_subscriber_incarnation(const dy_subscriber_t *subscriber)
{
	return subscriber->incarnation;
}
