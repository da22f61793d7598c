#include "damaskyard/subscriber.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/document.h"
#include "fake_suite.h"

#define CONTROLS 2
#define MESSAGE_BYTES 4096

/* A member that polls, and the controls in its settings, in one process. */
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
	uint32_t xid;		 /* of the last poll */
	unsigned polled_control; /* index of the control that received it */
	dy_sealed_t last_call;	 /* last other call; its body is not valid */
	unsigned skips;		 /* of the last poll */
	uint64_t polled_version;
	unsigned members;   /* calls of the member callback */
	unsigned caught_up; /* calls of the caught_up callback */
} world;

static void ignore_datagram(void *context, uint8_t *bytes, size_t len,
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
		world.last_call = message;
		return;
	}
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_poll_t, &poll,
				 sizeof(poll)));
	world.skips = poll.skips;
	world.polled_version = poll.state_version;
	xdr_free((xdrproc_t)xdr_dy_poll_t, (char *)&poll);
	world.xid = message.xid;
	world.polled_control = GPOINTER_TO_UINT(context);
	dy_loop_end(world.loop);
}

static void on_refused(void *context, dy_status_t status)
{
	(void)context;
	(void)status;
}

static void on_member(void *context, const dy_member_t *member)
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
	.member = on_member,
	.caught_up = on_caught_up,
	.refused = on_refused,
};

static void setup_with(int skip_ended)
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
	world.member = dy_endpoint_create(world.loop, &any, ignore_datagram,
					  NULL, NULL);
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

static void setup(void)
{
	setup_with(0);
}

static void teardown(void)
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

/* The control that was polled last answers and names a leader. */
static void answer_poll(dy_status_t status, unsigned leader)
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

/* Passes a message that a control wrote to the member. */
static void deliver(uint8_t *bytes, size_t len)
{
	dy_sealed_t message;

	ck_assert_uint_gt(len, 0);
	ck_assert_int_eq(dy_seal_open(world.member_seal, bytes, len, &message),
			 DY_SEAL_OK);
	ck_assert(dy_subscriber_receive(world.subscriber, &message));
}

static void send_reply(uint32_t xid, xdrproc_t proc, void *result)
{
	uint8_t bytes[MESSAGE_BYTES];

	deliver(bytes, dy_seal_write_reply(world.control_seal, xid, proc,
					   result, bytes, sizeof(bytes)));
}

static void send_invitation(unsigned leader)
{
	dy_seal_header_t head = { 0, DY_MEMBER_PROGRAM, DY_MEMBER_INVITE };
	dy_invite_t args = { world.addresses.items[leader] };
	uint8_t bytes[MESSAGE_BYTES];

	deliver(bytes, dy_seal_write_call(world.control_seal, &head,
					  (xdrproc_t)xdr_dy_invite_t, &args,
					  bytes, sizeof(bytes)));
}

static uint64_t poll_count(void)
{
	return dy_metrics_value(world.metrics, "polls");
}

/*
 * Guards against a late start after a power failure: a leader was just
 * elected, and another control names it. A balancer that waits before it polls
 * the leader serves no caller meanwhile.
 */
START_TEST(polls_named_leader_at_once)
{
	unsigned other;

	setup();
	other = !world.polled_control;
	ck_assert_uint_eq(poll_count(), 1);
	answer_poll(DY_STATUS_NOT_LEADER, other);
	ck_assert_uint_eq(poll_count(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_control, other);
	teardown();
}
END_TEST

/*
 * Guards against a loop of polls: after a change of leader each of two
 * controls still names the other. A member that follows every redirect at once
 * would fill their links with polls.
 */
START_TEST(backs_off_when_controls_name_each_other)
{
	unsigned first;

	setup();
	first = world.polled_control;
	answer_poll(DY_STATUS_NOT_LEADER, !first);
	dy_loop_run(world.loop);
	answer_poll(DY_STATUS_NOT_LEADER, first);
	ck_assert_uint_eq(poll_count(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_control, first);
	ck_assert_uint_eq(poll_count(), 3);
	teardown();
}
END_TEST

/*
 * Guards against a detour: a leader that was just elected cannot serve yet. A
 * member that polls another control is only sent back, later.
 */
START_TEST(polls_leader_again_that_cannot_serve_yet)
{
	unsigned first;

	setup();
	first = world.polled_control;
	answer_poll(DY_STATUS_UNAVAILABLE, first);
	ck_assert_uint_eq(poll_count(), 1);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_control, first);
	answer_poll(DY_STATUS_UNAVAILABLE, !first);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_control, !first);
	teardown();
}
END_TEST

/*
 * Guards against wasted answers after a power failure: the leader answers a
 * member's first poll after the member has retransmitted it to another
 * control. If only the answer to the last transmission counted, the leader's
 * work would be lost, and with a slow group no member would ever be confirmed.
 */
START_TEST(accepts_answer_to_any_transmission)
{
	uint32_t first;
	unsigned asked;

	setup();
	first = world.xid;
	asked = world.polled_control;
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_control, !asked);
	ck_assert_uint_eq(world.xid, first);
	answer_poll(DY_STATUS_OK, asked);
	ck_assert_uint_eq(world.caught_up, 1);
	ck_assert_uint_lt(dy_subscriber_confirmation_age_ms(world.subscriber),
			  UINT64_MAX);
	teardown();
}
END_TEST

/*
 * Guards against a member that waits for a control that is down although a new
 * leader has invited it. It must poll the leader at once.
 */
START_TEST(polls_inviting_leader_at_once)
{
	unsigned other;

	setup();
	other = !world.polled_control;
	send_invitation(other);
	ck_assert_uint_eq(poll_count(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_control, other);
	answer_poll(DY_STATUS_OK, other);
	send_invitation(!other);
	ck_assert_uint_eq(poll_count(), 3);
	teardown();
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
	send_reply(world.last_call.xid, (xdrproc_t)xdr_dy_image_result_t,
		   &info);
	while (world.last_call.procedure != DY_CONTROL_FETCH)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	page.size = info.info.size;
	page.page.page_val = bytes;
	page.page.page_len = info.info.size;
	send_reply(world.last_call.xid, (xdrproc_t)xdr_dy_fetch_result_t,
		   &page);
}

/* The leader grants an incarnation and leaves out the state. */
static void reply_without_state(void)
{
	dy_poll_result_t result = { .status = DY_STATUS_OK,
				    .incarnation = 7,
				    .more = 1 };

	send_reply(world.xid, (xdrproc_t)xdr_dy_poll_result_t, &result);
}

/*
 * Guards against an overloaded leader when all balancers start at once: if the
 * leader sends the state to each of them in pages, it takes a second or more.
 * Each must get the state as an image from any control, and from the leader
 * only its incarnation and a confirmation.
 */
START_TEST(balancer_starts_from_image)
{
	dy_poll_result_t result = { .status = DY_STATUS_OK,
				    .state_version = 50 };

	setup_with(1);
	ck_assert_uint_ne(world.skips & DY_SKIP_START, 0);
	reply_without_state();
	ck_assert_uint_eq(dy_subscriber_incarnation(world.subscriber), 7);
	while (world.last_call.procedure != DY_CONTROL_IMAGE)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	ck_assert_uint_eq(poll_count(), 1);
	reply_image(48, 3);
	ck_assert_uint_eq(world.members, 3);
	ck_assert_uint_eq(world.caught_up, 0);
	dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_version, 48);
	ck_assert_uint_eq(world.skips & DY_SKIP_START, 0);
	ck_assert_uint_ne(world.skips & DY_FROM_IMAGE, 0);
	send_reply(world.xid, (xdrproc_t)xdr_dy_poll_result_t, &result);
	ck_assert_uint_eq(world.caught_up, 1);
	ck_assert_uint_eq(dy_subscriber_version(world.subscriber), 50);
	teardown();
}
END_TEST

/*
 * The image arrives while the leader still processes the first poll. The
 * leader's answer to it carries no state and must not count as an older state.
 */
START_TEST(accepts_first_answer_after_image)
{
	setup_with(1);
	send_invitation(world.polled_control);
	while (world.last_call.procedure != DY_CONTROL_IMAGE)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	reply_image(48, 3);
	ck_assert_uint_eq(world.members, 3);
	reply_without_state();
	ck_assert_uint_eq(
		dy_metrics_value(world.metrics, "stale_state_refused"), 0);
	ck_assert_uint_eq(dy_subscriber_incarnation(world.subscriber), 7);
	dy_loop_run(world.loop);
	while (world.polled_version != 48)
		dy_loop_run(world.loop);
	teardown();
}
END_TEST

/* Guards against waiting for a control without an image if another has one. */
START_TEST(requests_refused_image_elsewhere_at_once)
{
	dy_image_result_t none = { .status = DY_STATUS_UNAVAILABLE };
	uint64_t sent;
	uint32_t xid;

	setup_with(1);
	none.info.environment = "trial";
	reply_without_state();
	while (world.last_call.procedure != DY_CONTROL_IMAGE)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	xid = world.last_call.xid;
	sent = dy_metrics_value(world.metrics, "control_bytes_sent");
	send_reply(xid, (xdrproc_t)xdr_dy_image_result_t, &none);
	ck_assert_uint_gt(dy_metrics_value(world.metrics, "control_bytes_sent"),
			  sent);
	while (world.last_call.xid == xid)
		uv_run(dy_loop_uv(world.loop), UV_RUN_ONCE);
	reply_image(48, 3);
	ck_assert_uint_eq(world.members, 3);
	teardown();
}
END_TEST

/*
 * No control sends an image, as controls of an older build do not have the
 * procedure. After some attempts the leader must be asked for the state.
 */
START_TEST(gets_state_from_leader_without_image)
{
	setup_with(1);
	reply_without_state();
	while (world.skips & DY_SKIP_START)
		dy_loop_run(world.loop);
	ck_assert_uint_eq(world.polled_version, 0);
	teardown();
}
END_TEST

/*
 * Guards against a stop that balancers learn of too late: an agent is stopped
 * while its last poll waits at a slow control. If it waited for that answer,
 * balancers would see the agent unresponsive before they see it drain, and
 * would treat it and its flows as lost.
 */
START_TEST(reports_stop_at_once)
{
	uint32_t first;

	setup();
	first = world.xid;
	dy_subscriber_set_state(world.subscriber, DY_MEMBER_SERVING, NULL, 0);
	dy_subscriber_poll_early(world.subscriber);
	ck_assert_uint_eq(poll_count(), 1);
	dy_subscriber_set_state(world.subscriber, DY_MEMBER_DRAINING, NULL, 0);
	dy_subscriber_poll_early(world.subscriber);
	ck_assert_uint_eq(poll_count(), 2);
	dy_loop_run(world.loop);
	ck_assert_uint_ne(world.xid, first);
	teardown();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		polls_named_leader_at_once,
		backs_off_when_controls_name_each_other,
		polls_leader_again_that_cannot_serve_yet,
		accepts_answer_to_any_transmission,
		polls_inviting_leader_at_once,
		balancer_starts_from_image,
		accepts_first_answer_after_image,
		requests_refused_image_elsewhere_at_once,
		gets_state_from_leader_without_image,
		reports_stop_at_once,
		NULL,
	};

	return fake_suite_run("subscriber", tests);
}
