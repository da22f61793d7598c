#include "damaskyard/router.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/successor.h"
#include "fake_suite.h"

#define READINGS 0x2A000001
#define MAPS 0x2A000002
#define SUBMIT 1
#define COUNT 2
#define NOW 1000000

static const char document_text[] =
	"[service readings]\naddress = 10.0.0.1:1\nprogram = 0x2A000001\n"
	"version = 1\nidempotent = 2\n"
	"[service maps]\naddress = 10.0.0.2:1\nprogram = 0x2A000002\n"
	"version = 1\nidempotent = 1\n";

/* A fake network: the last message that the router sent, and counters. */
typedef struct fake {
	dy_router_t *router;
	dy_keyring_t *ring;
	dy_metrics_t *metrics;
	GRand *rand;
	unsigned forwards;
	uint64_t to_incarnation;
	dy_address_t to;
	dy_forward_t last;
	uint8_t bytes[DY_DATAGRAM_BYTES];
	size_t bytes_len;
	unsigned answers;
	dy_rpc_reply_t reply;
	uint8_t answer[DY_DATAGRAM_BYTES];
	uint64_t now_ms;
} fake_t;

static void on_forward(void *context, const dy_address_t *to,
		       dy_forward_t *forward)
{
	fake_t *fake = context;

	fake->forwards++;
	fake->to = *to;
	fake->to_incarnation = forward->incarnation;
	fake->last = *forward;
	memcpy(fake->bytes, forward->datagram.datagram_val,
	       forward->datagram.datagram_len);
	fake->last.datagram.datagram_val = (char *)fake->bytes;
}

static void on_answer(void *context, uint64_t socket,
		      const dy_address_t *caller, const uint8_t *bytes,
		      size_t len)
{
	fake_t *fake = context;

	(void)socket;
	(void)caller;
	fake->answers++;
	memmove(fake->answer, bytes, len);
	ck_assert_int_eq(dy_rpc_parse_reply(fake->answer, len, &fake->reply),
			 0);
}

static const dy_router_callbacks_t callbacks = { on_forward, on_answer };

static void set_member(fake_t *fake, const char *service, uint64_t id,
		       uint64_t incarnation, dy_member_state_t state,
		       uint64_t *successors, unsigned count)
{
	dy_member_t member = { .id = id,
			       .incarnation = incarnation,
			       .state = state };

	member.info.kind = DY_MEMBER_AGENT;
	member.info.name = "a";
	member.info.environment = "production";
	member.info.domain = "d1";
	member.info.labels = "";
	member.info.service = (char *)service;
	member.info.slots = 4;
	member.info.connections = 2000;
	member.info.address.port = (u_int)incarnation;
	member.successors.successors_val = successors;
	member.successors.successors_len = count;
	dy_router_set_member(fake->router, &member, fake->now_ms);
}

static void setup_starting(fake_t *fake)
{
	static const dy_secrets_t secrets = { { { 1 } }, 1 };
	dy_key_info_t key = { .id = 1, .active = TRUE };
	dy_router_config_t config = { 0 };

	memset(fake, 0, sizeof(*fake));
	fake->now_ms = NOW;
	fake->ring = dy_keyring_create(&secrets);
	dy_keyring_apply(fake->ring, &key);
	fake->metrics = dy_metrics_create();
	fake->rand = g_rand_new_with_seed(1);
	config.keyring = fake->ring;
	config.metrics = fake->metrics;
	config.rand = fake->rand;
	config.domain = "d1";
	config.callbacks = &callbacks;
	config.context = fake;
	fake->router = dy_router_create(&config);
	dy_router_set_document(
		fake->router,
		dy_document_parse(document_text, strlen(document_text), NULL),
		NOW);
	set_member(fake, "readings", 11, 101, DY_MEMBER_SERVING, NULL, 0);
	set_member(fake, "readings", 12, 102, DY_MEMBER_SERVING, NULL, 0);
	set_member(fake, "maps", 21, 201, DY_MEMBER_SERVING, NULL, 0);
}

static void setup(fake_t *fake)
{
	setup_starting(fake);
	dy_router_set_confirmed(fake->router, 1);
}

static void teardown(fake_t *fake)
{
	dy_router_destroy(fake->router);
	dy_keyring_destroy(fake->ring);
	dy_metrics_destroy(fake->metrics);
	g_rand_free(fake->rand);
}

/* Sends a call of the readings service. token NULL: without a token. */
static void send_call(fake_t *fake, uint32_t xid, uint32_t procedure,
		      const dy_token_t *token)
{
	uint8_t bytes[DY_DATAGRAM_BYTES];
	uint8_t signed_token[DY_TOKEN_BYTES];
	dy_router_datagram_t datagram = { 0 };
	dy_token_t copy;
	dy_rpc_call_t call = { .xid = xid,
			       .program = READINGS,
			       .program_version = 1,
			       .procedure = procedure };

	if (token) {
		copy = *token;
		call.credential.flavor = AUTH_SHORT;
		call.credential.body = signed_token;
		call.credential.len = (uint32_t)dy_token_write(
			fake->ring, &copy, signed_token);
	}
	datagram.service = dy_service_id("readings");
	datagram.bytes = bytes;
	datagram.len = dy_rpc_write_call(&call, bytes, sizeof(bytes));
	datagram.caller.port = 9;
	dy_router_receive(fake->router, &datagram, fake->now_ms);
}

/* The agent that received the last datagram answers and reports free slots. */
static void answer_last(fake_t *fake)
{
	dy_answer_t answer = { 0 };
	dy_refusal_t none = { 0 };
	dy_rpc_call_t call;

	dy_rpc_parse_call(fake->bytes, fake->last.datagram.datagram_len, &call);
	answer.service = fake->last.service;
	answer.incarnation = fake->last.incarnation;
	answer.caller = fake->last.caller;
	answer.load.slots = 4;
	answer.load.connections = 2000;
	answer.datagram.datagram_val = (char *)fake->answer;
	answer.datagram.datagram_len = (u_int)dy_rpc_write_refusal(
		call.xid, &none, fake->answer, sizeof(fake->answer));
	dy_router_receive_answer(fake->router, &answer, fake->now_ms);
}

static dy_token_t token_of(uint64_t agent, uint64_t incarnation)
{
	dy_token_t token = { .service = dy_service_id("readings"),
			     .agent = agent,
			     .incarnation = incarnation,
			     .session = 77 };

	token.address.port = 555;
	return token;
}

static void expect_refused(fake_t *fake, dy_verdict_t verdict,
			   dy_reason_t reason)
{
	dy_refusal_t refusal = { 0 };

	ck_assert_uint_eq(fake->answers, 1);
	ck_assert_int_eq(dy_rpc_load_refusal(&fake->reply, &refusal), 0);
	ck_assert_int_eq(refusal.verdict, verdict);
	ck_assert_int_eq(refusal.reason, reason);
	fake->answers = 0;
}

static void expect_forwarded(fake_t *fake, uint64_t incarnation)
{
	ck_assert_uint_eq(fake->forwards, 1);
	ck_assert_uint_eq(fake->to_incarnation, incarnation);
	ck_assert_uint_eq(fake->answers, 0);
	fake->forwards = 0;
}

START_TEST(submission_without_token_gets_auth_too_weak)
{
	fake_t fake;

	setup(&fake);
	send_call(&fake, 1, SUBMIT, NULL);
	ck_assert_uint_eq(fake.forwards, 0);
	ck_assert(fake.reply.denied);
	ck_assert_uint_eq(fake.reply.status, AUTH_TOOWEAK);
	teardown(&fake);
}
END_TEST

/*
 * The answer to an opening is lost, so the caller retransmits. If the duplicate
 * went to another target, the first target would keep an unused session for
 * hours.
 */
START_TEST(duplicate_opening_goes_to_same_target)
{
	fake_t fake;
	uint64_t first;
	uint32_t xid;
	int i;

	setup(&fake);
	for (xid = 0; xid < 20; xid++) {
		send_call(&fake, xid, 0, NULL);
		first = fake.to_incarnation;
		ck_assert(first == 101 || first == 102);
		for (i = 0; i < 5; i++) {
			send_call(&fake, xid, 0, NULL);
			ck_assert_uint_eq(fake.to_incarnation, first);
		}
	}
	teardown(&fake);
}
END_TEST

/*
 * A packet for the readings service must not reach the maps service, not even
 * with a token that is valid there.
 */
START_TEST(drops_token_of_another_service)
{
	dy_token_t token = token_of(21, 201);
	fake_t fake;

	setup(&fake);
	token.service = dy_service_id("maps");
	send_call(&fake, 1, SUBMIT, &token);
	ck_assert_uint_eq(fake.forwards + fake.answers, 0);
	ck_assert_uint_eq(
		dy_metrics_value(fake.metrics, "tokens_other_service"), 1);
	teardown(&fake);
}
END_TEST

/*
 * A target joins and a flow opens there through another balancer. The next
 * packet of the flow arrives here before the membership update. It must be
 * forwarded to the address in the token.
 */
START_TEST(forwards_unknown_incarnation_to_address_in_token)
{
	dy_token_t token = token_of(13, 300);
	fake_t fake;

	setup(&fake);
	send_call(&fake, 1, SUBMIT, &token);
	expect_forwarded(&fake, 300);
	ck_assert_uint_eq(fake.to.port, 555);
	token = token_of(11, 300);
	send_call(&fake, 2, SUBMIT, &token);
	expect_forwarded(&fake, 300);
	teardown(&fake);
}
END_TEST

/*
 * A target is killed and restarts under the same name while a reading is in
 * transit. The reading may have run, and a second run would store it twice; a
 * pull may go to another target.
 */
START_TEST(call_to_dead_incarnation_may_have_run)
{
	dy_token_t token = token_of(11, 101);
	fake_t fake;

	setup(&fake);
	set_member(&fake, "readings", 11, 101, DY_MEMBER_DEAD, NULL, 0);
	set_member(&fake, "readings", 11, 110, DY_MEMBER_SERVING, NULL, 0);
	send_call(&fake, 1, SUBMIT, &token);
	ck_assert_uint_eq(fake.forwards, 0);
	expect_refused(&fake, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST);
	ck_assert_uint_eq(fake.reply.status, SYSTEM_ERR);
	send_call(&fake, 2, COUNT, &token);
	ck_assert_uint_eq(fake.forwards, 1);
	ck_assert_uint_ne(fake.to_incarnation, 101);
	fake.forwards = 0;
	token = token_of(11, 90);
	send_call(&fake, 3, SUBMIT, &token);
	expect_refused(&fake, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST);
	teardown(&fake);
}
END_TEST

/*
 * A target stops as planned and hands over its sessions; later its successor
 * stops as well. A flow that was idle meanwhile must be routed to the end of
 * the chain, to the same member by every balancer, even after the first two
 * have restarted under their old names.
 */
START_TEST(follows_planned_stops_to_successor)
{
	dy_token_t token = token_of(11, 101);
	uint64_t first[] = { 102 };
	uint64_t second[] = { 103, 104 };
	uint64_t last;
	fake_t fake;

	setup(&fake);
	set_member(&fake, "readings", 13, 103, DY_MEMBER_SERVING, NULL, 0);
	set_member(&fake, "readings", 14, 104, DY_MEMBER_SERVING, NULL, 0);
	set_member(&fake, "readings", 11, 101, DY_MEMBER_LEFT, first, 1);
	send_call(&fake, 1, SUBMIT, &token);
	expect_forwarded(&fake, 102);
	set_member(&fake, "readings", 12, 102, DY_MEMBER_LEFT, second, 2);
	set_member(&fake, "readings", 11, 120, DY_MEMBER_SERVING, NULL, 0);
	set_member(&fake, "readings", 12, 121, DY_MEMBER_SERVING, NULL, 0);
	last = dy_successor_pick(token.session, second, 2);
	send_call(&fake, 2, SUBMIT, &token);
	expect_forwarded(&fake, last);
	set_member(&fake, "readings", last - 90, last, DY_MEMBER_DEAD, NULL, 0);
	send_call(&fake, 3, SUBMIT, &token);
	expect_refused(&fake, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST);
	teardown(&fake);
}
END_TEST

/*
 * An agent is cut off from control only and its lease expires, while balancers
 * still reach it. Its flows must continue. It counts as lost only if this
 * balancer gets no answer either.
 */
START_TEST(suspect_target_keeps_flows_while_it_answers)
{
	dy_token_t token = token_of(11, 101);
	dy_answer_t answer = { 0 };
	dy_refusal_t none = { 0 };
	fake_t fake;

	setup(&fake);
	set_member(&fake, "readings", 11, 101, DY_MEMBER_SUSPECT, NULL, 0);
	send_call(&fake, 1, SUBMIT, &token);
	expect_forwarded(&fake, 101);
	answer.service = dy_service_id("readings");
	answer.incarnation = 101;
	answer.datagram.datagram_val = (char *)fake.answer;
	answer.datagram.datagram_len = (u_int)dy_rpc_write_refusal(
		1, &none, fake.answer, sizeof(fake.answer));
	dy_router_receive_answer(fake.router, &answer, fake.now_ms + 10);
	fake.answers = 0;
	fake.now_ms += 60000;
	send_call(&fake, 2, SUBMIT, &token);
	expect_forwarded(&fake, 101);
	fake.now_ms += 60000;
	send_call(&fake, 3, SUBMIT, &token);
	expect_refused(&fake, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST);
	teardown(&fake);
}
END_TEST

/*
 * A balancer is cut off from the control group while a new document removes a
 * service. It must not open flows by the old document; open flows continue.
 */
START_TEST(unconfirmed_balancer_opens_no_flow)
{
	dy_token_t token = token_of(11, 101);
	fake_t fake;

	setup(&fake);
	dy_router_set_confirmed(fake.router, 0);
	send_call(&fake, 1, 0, NULL);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_NOT_READY);
	send_call(&fake, 2, SUBMIT, &token);
	expect_forwarded(&fake, 101);
	teardown(&fake);
}
END_TEST

START_TEST(draining_target_gets_no_new_flow)
{
	uint32_t xid;
	fake_t fake;

	setup(&fake);
	set_member(&fake, "readings", 11, 101, DY_MEMBER_DRAINING, NULL, 0);
	for (xid = 0; xid < 50; xid++) {
		send_call(&fake, xid, 0, NULL);
		expect_forwarded(&fake, 102);
	}
	set_member(&fake, "readings", 12, 102, DY_MEMBER_DRAINING, NULL, 0);
	send_call(&fake, 99, 0, NULL);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_NO_TARGET);
	teardown(&fake);
}
END_TEST

/* No session may be opened in a domain that an operator has evacuated. */
START_TEST(evacuated_domain_gets_no_new_session)
{
	fake_t fake;

	setup(&fake);
	dy_router_set_domain(fake.router, "d1", 1, NOW);
	send_call(&fake, 1, 0, NULL);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_NO_TARGET);
	dy_router_set_domain(fake.router, "d1", 0, NOW);
	send_call(&fake, 2, 0, NULL);
	ck_assert_uint_eq(fake.forwards, 1);
	teardown(&fake);
}
END_TEST

/*
 * A target drains and this balancer has not been told yet. The agent returns
 * the opening. It must go to the other target, and its caller must be refused
 * at once when no target is left.
 */
START_TEST(bounced_opening_goes_to_another_target)
{
	dy_bounce_t bounce = { 0 };
	uint64_t first;
	fake_t fake;

	setup(&fake);
	send_call(&fake, 1, 0, NULL);
	first = fake.to_incarnation;
	fake.forwards = 0;
	bounce.forward = fake.last;
	bounce.load.draining = TRUE;
	dy_router_receive_bounce(fake.router, &bounce, fake.now_ms + 1);
	expect_forwarded(&fake, first == 101 ? 102 : 101);
	bounce.forward = fake.last;
	dy_router_receive_bounce(fake.router, &bounce, fake.now_ms + 2);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_NO_TARGET);
	teardown(&fake);
}
END_TEST

/*
 * An agent that has just joined gets an opening before it is ready to serve,
 * and returns it. If that counted against its load reports, as a refusal
 * despite free slots does, it would get no flow until the other targets are a
 * quarter full: nothing else makes the balancer rely on its reports again.
 */
START_TEST(agent_that_was_not_ready_gets_flows)
{
	dy_bounce_t bounce = { .load.slots = 4, .reason = DY_REASON_NOT_READY };
	unsigned received = 0;
	uint64_t first;
	uint32_t xid;
	fake_t fake;

	setup(&fake);
	send_call(&fake, 1, 0, NULL);
	first = fake.to_incarnation;
	bounce.forward = fake.last;
	dy_router_receive_bounce(fake.router, &bounce, fake.now_ms + 1);
	for (xid = 2; xid < 42; xid++) {
		send_call(&fake, xid, 0, NULL);
		received += fake.to_incarnation == first;
	}
	ck_assert_uint_ge(received, 10);
	teardown(&fake);
}
END_TEST

/*
 * All targets of a service return their openings, e.g. because the restart of a
 * rack left each agent without its target. With two retries each, the openings
 * would triple at the worst time.
 */
START_TEST(limits_retries_of_bounced_openings)
{
	dy_bounce_t bounce = { 0 };
	unsigned openings = 2000;
	unsigned retries = 0;
	uint32_t xid;
	fake_t fake;

	setup(&fake);
	for (xid = 0; xid < openings; xid++) {
		fake.now_ms++;
		fake.forwards = 0;
		send_call(&fake, xid, 0, NULL);
		if (!fake.forwards)
			continue;
		bounce.forward = fake.last;
		fake.forwards = 0;
		dy_router_receive_bounce(fake.router, &bounce, fake.now_ms);
		retries += fake.forwards;
	}
	ck_assert_uint_gt(retries, 0);
	ck_assert_uint_le(retries, openings / 5 + 200);
	teardown(&fake);
}
END_TEST

/*
 * Agents restart every day for months. A balancer that kept every old
 * incarnation would grow until it is killed. Incarnations that have ended are
 * dropped after a day, and those that serve are kept.
 */
START_TEST(drops_ended_members_after_a_day)
{
	dy_token_t token = token_of(11, 101);
	fake_t fake;

	setup(&fake);
	set_member(&fake, "readings", 11, 101, DY_MEMBER_DEAD, NULL, 0);
	dy_router_expire(fake.router, fake.now_ms + 3600 * 1000);
	send_call(&fake, 1, SUBMIT, &token);
	expect_refused(&fake, DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST);
	dy_router_expire(fake.router, fake.now_ms + 25 * 3600 * 1000);
	send_call(&fake, 2, SUBMIT, &token);
	expect_forwarded(&fake, 101);
	ck_assert_uint_eq(fake.to.port, 555);
	token = token_of(12, 102);
	send_call(&fake, 3, SUBMIT, &token);
	expect_forwarded(&fake, 102);
	ck_assert_uint_eq(fake.to.port, 102);
	teardown(&fake);
}
END_TEST

/*
 * A target is down for a minute and its agent returns openings with a report of
 * no slots. Only an answer brings a new report, so without retries the target
 * would get no flow after it has recovered.
 */
START_TEST(recovered_target_gets_flows)
{
	dy_bounce_t bounce = { 0 };
	unsigned to_first = 0;
	uint32_t xid;
	fake_t fake;

	setup(&fake);
	bounce.reason = DY_REASON_TARGET_LOST;
	for (xid = 0; xid < 40; xid++) {
		send_call(&fake, xid, 0, NULL);
		if (fake.to_incarnation != 101)
			continue;
		bounce.forward = fake.last;
		dy_router_receive_bounce(fake.router, &bounce, ++fake.now_ms);
	}
	fake.now_ms += 60000;
	dy_router_expire(fake.router, fake.now_ms);
	for (; xid < 200; xid++) {
		answer_last(&fake);
		fake.now_ms += 500;
		send_call(&fake, xid, 0, NULL);
		to_first += fake.to_incarnation == 101;
	}
	ck_assert_uint_gt(to_first, 20);
	teardown(&fake);
}
END_TEST

/*
 * A balancer starts and has the first page of the state: the new incarnation of
 * an agent, but not yet the record that the previous one left, and its
 * successor. The flow continues at the successor, but this balancer would
 * declare it lost. It must not answer until its state is complete.
 */
START_TEST(starting_balancer_declares_no_flow_lost)
{
	dy_token_t token = token_of(12, 90);
	uint64_t successors[] = { 101 };
	fake_t fake;

	setup_starting(&fake);
	send_call(&fake, 1, SUBMIT, &token);
	ck_assert_uint_eq(fake.forwards + fake.answers, 0);
	ck_assert_uint_eq(dy_metrics_value(fake.metrics, "calls_before_state"),
			  1);
	set_member(&fake, "readings", 12, 90, DY_MEMBER_LEFT, successors, 1);
	dy_router_set_confirmed(fake.router, 1);
	send_call(&fake, 1, SUBMIT, &token);
	expect_forwarded(&fake, 101);
	teardown(&fake);
}
END_TEST

START_TEST(refuses_oversized_and_drops_malformed_calls)
{
	uint8_t bytes[DY_DATAGRAM_BYTES + 1] = { 0 };
	dy_router_datagram_t datagram = { 0 };
	dy_rpc_call_t call = { .xid = 5, .program = READINGS };
	fake_t fake;

	setup(&fake);
	datagram.service = dy_service_id("readings");
	datagram.bytes = bytes;
	datagram.len = 3;
	dy_router_receive(fake.router, &datagram, NOW);
	ck_assert_uint_eq(fake.answers + fake.forwards, 0);
	ck_assert_uint_eq(dy_metrics_value(fake.metrics, "calls_malformed"), 1);
	call.program = READINGS + 9;
	call.program_version = 1;
	datagram.len = dy_rpc_write_call(&call, bytes, sizeof(bytes));
	dy_router_receive(fake.router, &datagram, NOW);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_UNKNOWN_PROGRAM);
	ck_assert_uint_eq(
		dy_metrics_value(fake.metrics, "refused_unknown_program"), 1);
	dy_rpc_write_call(&call, bytes, sizeof(bytes));
	datagram.len = sizeof(bytes);
	dy_router_receive(fake.router, &datagram, NOW);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_TOO_LARGE);
	teardown(&fake);
}
END_TEST

/*
 * A new document keeps one service and removes another. The targets of the
 * first must stay; calls of the removed one must be refused, with a token as
 * may have run.
 */
START_TEST(new_document_keeps_and_removes_services)
{
	static const char other[] =
		"[service maps]\naddress = 10.0.0.2:1\nprogram = 0x2A000002\n"
		"version = 1\n";
	dy_token_t token = token_of(11, 101);
	fake_t fake;

	setup(&fake);
	dy_router_set_document(fake.router,
			       dy_document_parse(other, strlen(other), NULL),
			       NOW);
	ck_assert_uint_eq(
		dy_router_target_count(fake.router, dy_service_id("maps")), 1);
	send_call(&fake, 1, 0, NULL);
	expect_refused(&fake, DY_NOT_RUN, DY_REASON_NO_TARGET);
	send_call(&fake, 2, SUBMIT, &token);
	expect_refused(&fake, DY_MAY_HAVE_RUN, DY_REASON_NO_TARGET);
	ck_assert_uint_eq(fake.forwards, 0);
	teardown(&fake);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		submission_without_token_gets_auth_too_weak,
		duplicate_opening_goes_to_same_target,
		drops_token_of_another_service,
		forwards_unknown_incarnation_to_address_in_token,
		call_to_dead_incarnation_may_have_run,
		follows_planned_stops_to_successor,
		suspect_target_keeps_flows_while_it_answers,
		unconfirmed_balancer_opens_no_flow,
		draining_target_gets_no_new_flow,
		evacuated_domain_gets_no_new_session,
		bounced_opening_goes_to_another_target,
		limits_retries_of_bounced_openings,
		drops_ended_members_after_a_day,
		starting_balancer_declares_no_flow_lost,
		recovered_target_gets_flows,
		agent_that_was_not_ready_gets_flows,
		refuses_oversized_and_drops_malformed_calls,
		new_document_keeps_and_removes_services,
		NULL,
	};

	return fake_suite_run("router", tests);
}
