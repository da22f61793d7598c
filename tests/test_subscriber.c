#include "damaskyard/subscriber.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/document.h"
#include "fake_suite.h"

#define CONTROLS 2
#define MESSAGE_BYTES 4096

/* A member that polls, and the controls that it knows, in one process. */
static struct {
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_secrets_t secrets;
	dy_seal_t *member_seal;
	dy_seal_t *control_seal;
	dy_endpoint_t *member;
	dy_endpoint_t *controls[CONTROLS];
	dy_address_list_t addresses;
	dy_subscriber_t *subscriber;
	uint32_t xid;	      /* of the last poll */
	unsigned asked;	      /* which control got it */
	dy_sealed_t question; /* the last other call; its body is gone */
	unsigned skips;	      /* of the last poll */
	uint64_t polled_version;
	unsigned members; /* told so far */
	unsigned caught_up;
} world;

static void on_member(void *context, uint8_t *bytes, size_t len,
		      const struct sockaddr *from, int truncated)
{
	(void)context;
	(void)bytes;
	(void)len;
	(void)from;
	(void)truncated;
}

static void on_poll(void *context, uint8_t *bytes, size_t len,
		    const struct sockaddr *from, int truncated)
{
	dy_sealed_t message;
	dy_poll_t poll;

	(void)from;
	ck_assert(!truncated);
	ck_assert_int_eq(dy_seal_open(world.control_seal, bytes, len, &message),
			 DY_SEAL_OK);
	if (message.procedure != DY_CONTROL_POLL) {
		world.question = message;
		return;
	}
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_t, &poll,
				 sizeof(poll)));
	world.skips = poll.skips;
	world.polled_version = poll.state_version;
	xdr_free((xdrproc_t)xdr_dy_poll_t, (char *)&poll);
	world.xid = message.xid;
	world.asked = GPOINTER_TO_UINT(context);
	dy_loop_end(world.loop);
}

static void on_refused(void *context, dy_status_t status)
{
	(void)context;
	(void)status;
}

static void on_told(void *context, const dy_member_t *member)
{
	(void)context;
	(void)member;
	world.members++;
}

static void on_caught_up(void *context)
{
	(void)context;
	world.caught_up++;
}

static const dy_subscriber_callbacks_t callbacks = {
	.member = on_told,
	.caught_up = on_caught_up,
	.refused = on_refused,
};

static void begin_as(int skip_ended)
{
	dy_subscriber_config_t config = { 0 };
	dy_member_info_t info = { .kind = DY_MEMBER_BALANCER,
				  .environment = (char *)"trial",
				  .name = (char *)"b1",
				  .domain = (char *)"d1",
				  .service = (char *)"",
				  .labels = (char *)"" };
	dy_address_t any;
	unsigned i;

	memset(&world, 0, sizeof(world));
	world.metrics = dy_metrics_create();
	world.loop = dy_loop_create(world.metrics);
	world.secrets.count = 1;
	world.member_seal = dy_seal_create(&world.secrets, world.metrics);
	world.control_seal = dy_seal_create(&world.secrets, world.metrics);
	dy_address_parse("127.0.0.1:0", &any);
	world.member =
		dy_endpoint_create(world.loop, &any, on_member, NULL, NULL);
	for (i = 0; i < CONTROLS; i++) {
		world.controls[i] = dy_endpoint_create(
			world.loop, &any, on_poll, GUINT_TO_POINTER(i), NULL);
		world.addresses.items[i] =
			*dy_endpoint_address(world.controls[i]);
	}
	world.addresses.count = CONTROLS;
	config.loop = world.loop;
	config.endpoint = world.member;
	config.seal = world.member_seal;
	config.metrics = world.metrics;
	config.controls = &world.addresses;
	config.callbacks = &callbacks;
	config.skip_ended = skip_ended;
	world.subscriber = dy_subscriber_create(&config);
	dy_subscriber_set_info(world.subscriber, &info);
	dy_loop_run(world.loop);
}

static void begin(void)
{
	begin_as(0);
}

static void end(void)
{
	unsigned i;

	dy_subscriber_destroy(world.subscriber);
	for (i = 0; i < CONTROLS; i++)
		dy_endpoint_destroy(world.controls[i]);
	dy_endpoint_destroy(world.member);
	dy_seal_destroy(world.member_seal);
	dy_seal_destroy(world.control_seal);
	dy_loop_destroy(world.loop);
	dy_metrics_destroy(world.metrics);
}

/* The control that was polled last answers, and names a leader. */
static void answer(dy_status_t status, unsigned leader)
{
	dy_poll_result_t result = { 0 };
	uint8_t bytes[MESSAGE_BYTES];
	dy_sealed_t message;
	size_t len;

	result.status = status;
	result.leader = world.addresses.items[leader];
	len = dy_seal_write_reply(world.control_seal, world.xid,
				  (xdrproc_t)xdr_dy_poll_result_t, &result,
				  bytes, sizeof(bytes));
	ck_assert_int_eq(dy_seal_open(world.member_seal, bytes, len, &message),
			 DY_SEAL_OK);
	dy_subscriber_receive(world.subscriber, &message);
}

/* Have the member take a message that one of the controls wrote. */
static void deliver(uint8_t *bytes, size_t len)
{
	dy_sealed_t message;

	ck_assert_uint_gt(len, 0);
	ck_assert_int_eq(dy_seal_open(world.member_seal, bytes, len, &message),
			 DY_SEAL_OK);
	ck_assert(dy_subscriber_receive(world.subscriber, &message));
}

static void reply(uint32_t xid, xdrproc_t proc, void *result)
{
	uint8_t bytes[MESSAGE_BYTES];

	deliver(bytes, dy_seal_write_reply(world.control_seal, xid, proc,
					   result, bytes, sizeof(bytes)));
}

static void invite(unsigned leader)
{
	dy_seal_header_t head = { 0, DY_MEMBER_PROGRAM, DY_MEMBER_INVITE };
	dy_invite_t args = { world.addresses.items[leader] };
	uint8_t bytes[MESSAGE_BYTES];

	deliver(bytes, dy_seal_write_call(world.control_seal, &head,
					  (xdrproc_t)xdr_dy_invite_t, &args,
					  bytes, sizeof(bytes)));
}

static uint64_t polls(void)
{
	return dy_metrics_value(world.metrics, "polls");
}

/*
 * Power is back, and a leader has just been elected. A balancer that is told
 * who it is, and waits before it asks there, serves nobody meanwhile.
 */
START_TEST(leader_that_is_named_is_polled_at_once)
{
	unsigned other;

	begin();
	other = !world.asked;
	ck_assert_uint_eq(polls(), 1);
	answer(DY_STATUS_NOT_LEADER, other);
	ck_assert_uint_eq(polls(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.asked, other);
	end();
}
END_TEST

/*
 * The leader has changed, and each of two controls still takes the other for
 * it. Followed at once a member would fill their links with polls.
 */
START_TEST(controls_that_name_each_other_are_polled_in_time)
{
	unsigned first;

	begin();
	first = world.asked;
	answer(DY_STATUS_NOT_LEADER, !first);
	dy_loop_run(world.loop);
	answer(DY_STATUS_NOT_LEADER, first);
	ck_assert_uint_eq(polls(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.asked, first);
	ck_assert_uint_eq(polls(), 3);
	end();
}
END_TEST

/*
 * A leader that was elected a moment ago cannot answer yet. A member that turns
 * to another control is only sent back, later.
 */
START_TEST(leader_that_cannot_serve_yet_is_polled_again)
{
	unsigned first;

	begin();
	first = world.asked;
	answer(DY_STATUS_UNAVAILABLE, first);
	ck_assert_uint_eq(polls(), 1);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.asked, first);
	answer(DY_STATUS_UNAVAILABLE, !first);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.asked, !first);
	end();
}
END_TEST

/*
 * All power is back. The leader answers a member's first poll late, after the
 * member sent a copy to another control. Were only the newest copy's answer
 * taken, the leader's work was for nothing, and a slow group never got anybody
 * served.
 */
START_TEST(answer_to_any_copy_of_a_poll_counts)
{
	uint32_t first;
	unsigned asked;

	begin();
	first = world.xid;
	asked = world.asked;
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.asked, !asked);
	ck_assert_uint_eq(world.xid, first);
	answer(DY_STATUS_OK, asked);
	ck_assert_uint_eq(world.caught_up, 1);
	ck_assert_uint_lt(dy_subscriber_confirmation_age_ms(world.subscriber),
			  UINT64_MAX);
	end();
}
END_TEST

/*
 * A leader was elected and calls its members. One that waits for a control that
 * is gone polls it at once, whomever it asked before.
 */
START_TEST(leader_that_invites_is_polled_at_once)
{
	unsigned other;

	begin();
	other = !world.asked;
	invite(other);
	ck_assert_uint_eq(polls(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.asked, other);
	answer(DY_STATUS_OK, other);
	invite(!other);
	ck_assert_uint_eq(polls(), 3);
	end();
}
END_TEST

static void reply_image(uint64_t version, unsigned members)
{
	dy_delta_t deltas[4] = { { 0 } };
	dy_image_t image = { .state_version = version };
	dy_image_result_t info = { .status = DY_STATUS_OK };
	dy_fetch_result_t page = { .status = DY_STATUS_OK };
	static char bytes[MESSAGE_BYTES];
	unsigned i;
	XDR xdrs;

	for (i = 0; i < members; i++) {
		deltas[i].kind = DY_DELTA_MEMBER;
		deltas[i].dy_delta_t_u.member.state = DY_MEMBER_SERVING;
		deltas[i].dy_delta_t_u.member.info =
			(dy_member_info_t){ .kind = DY_MEMBER_AGENT,
					    .name = "",
					    .environment = "",
					    .domain = "",
					    .service = "",
					    .labels = "" };
	}
	image.deltas.deltas_len = members;
	image.deltas.deltas_val = deltas;
	xdrmem_create(&xdrs, bytes, sizeof(bytes), XDR_ENCODE);
	ck_assert(xdr_dy_image_t(&xdrs, &image));
	info.info.environment = "trial";
	info.info.number = version;
	info.info.size = xdr_getpos(&xdrs);
	dy_document_digest(bytes, info.info.size, (uint8_t *)info.info.digest);
	reply(world.question.xid, (xdrproc_t)xdr_dy_image_result_t, &info);
	while (world.question.procedure != DY_CONTROL_FETCH)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	page.size = info.info.size;
	page.page.page_val = bytes;
	page.page.page_len = info.info.size;
	reply(world.question.xid, (xdrproc_t)xdr_dy_fetch_result_t, &page);
}

/* The leader grants the place and leaves the state to the image. */
static void defer(void)
{
	dy_poll_result_t result = { .status = DY_STATUS_OK,
				    .incarnation = 7,
				    .more = 1 };

	reply(world.xid, (xdrproc_t)xdr_dy_poll_result_t, &result);
}

/*
 * All balancers start at once. Each gets the state as an image, from any
 * control, and asks the leader only for its place and a confirmation: paged out
 * by the leader to each of them the state takes a second and more.
 */
START_TEST(balancer_starts_from_an_image)
{
	dy_poll_result_t result = { .status = DY_STATUS_OK,
				    .state_version = 50 };

	begin_as(1);
	ck_assert_uint_ne(world.skips & DY_SKIP_START, 0);
	defer();
	ck_assert_uint_eq(dy_subscriber_incarnation(world.subscriber), 7);
	while (world.question.procedure != DY_CONTROL_IMAGE)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	ck_assert_uint_eq(polls(), 1);
	reply_image(48, 3);
	ck_assert_uint_eq(world.members, 3);
	ck_assert_uint_eq(world.caught_up, 0);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_version, 48);
	ck_assert_uint_eq(world.skips & DY_SKIP_START, 0);
	ck_assert_uint_ne(world.skips & DY_FROM_IMAGE, 0);
	reply(world.xid, (xdrproc_t)xdr_dy_poll_result_t, &result);
	ck_assert_uint_eq(world.caught_up, 1);
	ck_assert_uint_eq(dy_subscriber_version(world.subscriber), 50);
	end();
}
END_TEST

/*
 * The image comes while the leader is still at work on the first poll. Its
 * answer, of the state before, is no older state that is to be refused.
 */
START_TEST(image_may_come_before_the_first_answer)
{
	begin_as(1);
	invite(world.asked);
	while (world.question.procedure != DY_CONTROL_IMAGE)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	reply_image(48, 3);
	ck_assert_uint_eq(world.members, 3);
	defer();
	ck_assert_uint_eq(
		dy_metrics_value(world.metrics, "stale_state_refused"), 0);
	ck_assert_uint_eq(dy_subscriber_incarnation(world.subscriber), 7);
	dy_loop_run(world.loop);
	while (world.polled_version != 48)
		dy_loop_run(world.loop);
	end();
}
END_TEST

/* A control without an image is waited for while another one has it. */
START_TEST(image_that_is_refused_is_asked_for_elsewhere_at_once)
{
	dy_image_result_t none = { .status = DY_STATUS_UNAVAILABLE };
	uint64_t sent;
	uint32_t xid;

	begin_as(1);
	none.info.environment = "trial";
	defer();
	while (world.question.procedure != DY_CONTROL_IMAGE)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	xid = world.question.xid;
	sent = dy_metrics_value(world.metrics, "control_bytes_sent");
	reply(xid, (xdrproc_t)xdr_dy_image_result_t, &none);
	ck_assert_uint_gt(dy_metrics_value(world.metrics, "control_bytes_sent"),
			  sent);
	while (world.question.xid == xid)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	reply_image(48, 3);
	ck_assert_uint_eq(world.members, 3);
	end();
}
END_TEST

/*
 * No control gives an image, as controls of an older build do not know of any.
 * After some tries the leader is asked for the state itself.
 */
START_TEST(leader_gives_the_state_if_no_image_comes)
{
	begin_as(1);
	defer();
	while (world.skips & DY_SKIP_START)
		dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_version, 0);
	end();
}
END_TEST

/*
 * An agent is told to stop while its last poll waits at a slow control. Were
 * that poll awaited, balancers would learn of the stop when the agent is silent
 * already, and take it for lost with its flows.
 */
START_TEST(stop_is_told_at_once)
{
	uint32_t first;

	begin();
	first = world.xid;
	dy_subscriber_set_state(world.subscriber, DY_MEMBER_SERVING, NULL, 0);
	dy_subscriber_poll_early(world.subscriber);
	ck_assert_uint_eq(polls(), 1);
	dy_subscriber_set_state(world.subscriber, DY_MEMBER_DRAINING, NULL, 0);
	dy_subscriber_poll_early(world.subscriber);
	ck_assert_uint_eq(polls(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_ne(world.xid, first);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		leader_that_is_named_is_polled_at_once,
		controls_that_name_each_other_are_polled_in_time,
		leader_that_cannot_serve_yet_is_polled_again,
		answer_to_any_copy_of_a_poll_counts,
		leader_that_invites_is_polled_at_once,
		balancer_starts_from_an_image,
		image_may_come_before_the_first_answer,
		image_that_is_refused_is_asked_for_elsewhere_at_once,
		leader_gives_the_state_if_no_image_comes,
		stop_is_told_at_once,
		NULL,
	};

	return fake_suite_run("subscriber", tests);
}
