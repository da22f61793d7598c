#include "damaskyard/subscriber.h"

#include <string.h>

#include <glib.h>

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
	uint32_t xid;	/* of the last poll */
	unsigned asked; /* which control got it */
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

	(void)from;
	ck_assert(!truncated);
	ck_assert_int_eq(dy_seal_open(world.control_seal, bytes, len, &message),
			 DY_SEAL_OK);
	world.xid = message.xid;
	world.asked = GPOINTER_TO_UINT(context);
	dy_loop_end(world.loop);
}

static void on_refused(void *context, dy_status_t status)
{
	(void)context;
	(void)status;
}

static const dy_subscriber_callbacks_t callbacks = { .refused = on_refused };

static void begin(void)
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
	world.subscriber = dy_subscriber_create(&config);
	dy_subscriber_set_info(world.subscriber, &info);
	dy_loop_run(world.loop);
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

int main(void)
{
	const TTest *const tests[] = {
		leader_that_is_named_is_polled_at_once,
		controls_that_name_each_other_are_polled_in_time,
		leader_that_cannot_serve_yet_is_polled_again,
		NULL,
	};

	return fake_suite_run("subscriber", tests);
}
