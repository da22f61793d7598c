/* Controls that find their place in an open group that runs already. */

#include <string.h>

#include "damaskyard/seal.h"
#include "dy_group.h"
#include "fake_control.h"
#include "fake_suite.h"

#define GROUP 1
#define ASKERS 3
#define WAIT_TICKS 2000

typedef struct asker {
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	dy_place_t place;
	int answered;
} asker_t;

static fake_control_t world;
static asker_t askers[ASKERS];

static void on_answer(void *context, uint8_t *bytes, size_t len,
		      const struct sockaddr *from, int truncated)
{
	asker_t *asker = context;
	dy_sealed_t message;

	(void)from;
	(void)truncated;
	if (dy_seal_open(asker->seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.procedure != DY_GROUP_PLACE)
		return;
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_place_t,
				 &asker->place, sizeof(asker->place)));
	asker->answered = 1;
}

static void begin(void)
{
	dy_address_t any;
	int i;

	fake_control_init(&world);
	fake_control_start(&world);
	dy_address_parse("127.0.0.1:0", &any);
	for (i = 0; i < ASKERS; i++) {
		askers[i].seal =
			dy_seal_create(&world.options.secrets, world.metrics);
		askers[i].endpoint = dy_endpoint_create(
			world.loop, &any, on_answer, &askers[i], NULL);
	}
}

static void end(void)
{
	int i;

	for (i = 0; i < ASKERS; i++) {
		dy_endpoint_destroy(askers[i].endpoint);
		dy_seal_destroy(askers[i].seal);
	}
	fake_control_stop(&world);
	fake_control_clear(&world);
}

static void ask(asker_t *asker, uint64_t group, uint64_t identity)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_FIND };
	uint8_t out[1024];
	dy_find_t find = { 0 };
	size_t len;

	find.group = group;
	find.id.slot = 9;
	find.id.identity = identity;
	find.echo = 77;
	len = dy_seal_write_call(asker->seal, &head, (xdrproc_t)xdr_dy_find_t,
				 &find, out, sizeof(out));
	asker->answered = 0;
	dy_endpoint_send_to(asker->endpoint, out, len, &world.options.listen);
}

/* Ask again, as a control does, until the group serves. */
static const dy_place_t *ask_until(asker_t *asker, uint64_t identity)
{
	unsigned tries = 0;

	do {
		ask(asker, GROUP, identity);
		fake_control_run(&world, 10, NULL);
		ck_assert_uint_lt(++tries, WAIT_TICKS / 10);
	} while (!asker->answered || asker->place.status == DY_PLACE_UNKNOWN ||
		 asker->place.status == DY_PLACE_ASK);
	ck_assert_uint_eq(asker->place.echo, 77);
	return &asker->place;
}

/*
 * All machines start within a moment, and three controls that are no founders
 * ask for their place. Given the same one, two of them wait in it for ever,
 * and the group never grows to what bears the losses it should.
 */
START_TEST(those_that_ask_at_once_get_places_of_their_own)
{
	unsigned slots = 0;
	int i;

	begin();
	for (i = 0; i < ASKERS; i++)
		ask_until(&askers[i], 0);
	for (i = 0; i < ASKERS; i++)
		ask(&askers[i], GROUP, 0);
	fake_control_run(&world, 20, NULL);
	for (i = 0; i < ASKERS; i++) {
		ck_assert_int_eq(askers[i].place.status, DY_PLACE_GIVEN);
		ck_assert_uint_gt(askers[i].place.slot, 1);
		slots |= 1u << askers[i].place.slot;
	}
	ck_assert_uint_eq(slots, 1u << 2 | 1u << 3 | 1u << 4);
	/* Asked again, each is given the same one. */
	ck_assert_uint_eq(ask_until(&askers[1], 0)->slot, 3);
	end();
}
END_TEST

/*
 * A member was let go while it was cut off. It would wait for a leader for
 * ever, since nobody sends to it any more.
 */
START_TEST(one_that_is_no_member_any_more_is_told)
{
	begin();
	ck_assert_int_eq(ask_until(&askers[0], 12345)->status, DY_PLACE_LOST);
	end();
}
END_TEST

/* A control of another group that shares the addresses gets no answer. */
START_TEST(other_groups_are_not_answered)
{
	begin();
	ask_until(&askers[0], 0);
	ask(&askers[1], GROUP + 1, 0);
	fake_control_run(&world, 20, NULL);
	ck_assert(!askers[1].answered);
	end();
}
END_TEST

/* A control that says that it is empty, and never takes part. */
static void on_group_message(void *context, uint8_t *bytes, size_t len,
			     const struct sockaddr *from, int truncated)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_HELLO };
	asker_t *third = context;
	dy_hello_t hello = { 0 };
	dy_sealed_t message;
	uint8_t out[1024];

	(void)truncated;
	if (dy_seal_open(third->seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.procedure != DY_GROUP_HELLO)
		return;
	hello.group = GROUP;
	hello.id.slot = 3;
	hello.id.identity = 33;
	hello.empty = 1;
	hello.echo = message.sender;
	len = dy_seal_write_call(third->seal, &head, (xdrproc_t)xdr_dy_hello_t,
				 &hello, out, sizeof(out));
	dy_endpoint_send(third->endpoint, out, len, from);
}

static int take_any(void *context, const uint8_t *bytes, size_t size,
		    char *message, size_t message_size)
{
	(void)context;
	(void)bytes;
	(void)size;
	(void)message;
	(void)message_size;
	return 1;
}

static void on_raised(void *context, dy_status_t status, const char *message)
{
	(void)message;
	*(int *)context = (int)status;
}

/*
 * The group was just founded, two of its three controls vote, and a document
 * is acknowledged. Then one of the two loses its disk: nobody can be elected,
 * and nobody can be taken in, though one loss is to be borne.
 */
START_TEST(group_serves_only_once_it_bears_a_loss)
{
	dy_control_options_t options;
	dy_control_t *second;
	asker_t third = { 0 };
	int status = -1;
	int i;

	fake_control_init(&world);
	world.options.validate = take_any;
	world.options.peers.count = 3;
	world.options.peers.slots[2] = fake_control_unused_address(&world);
	third.seal = dy_seal_create(&world.options.secrets, world.metrics);
	dy_address_parse("127.0.0.1:0", &world.options.peers.slots[3]);
	third.endpoint =
		dy_endpoint_create(world.loop, &world.options.peers.slots[3],
				   on_group_message, &third, NULL);
	world.options.peers.slots[3] = *dy_endpoint_address(third.endpoint);
	options = world.options;
	options.slot = 2;
	options.listen = options.peers.slots[2];
	options.folder = g_dir_make_tmp("dy-place-XXXXXX", NULL);
	fake_control_start(&world);
	second = dy_control_create(world.loop, world.metrics, &options, NULL);
	for (i = 0; i < 15; i++) {
		fake_control_run(&world, 20, NULL);
		dy_control_publish(world.control, (const uint8_t *)"x", 1, 1,
				   on_raised, &status);
		ck_assert_int_ne(status, DY_STATUS_OK);
	}
	/* Both are in the group by now. */
	ck_assert_uint_ge(dy_metrics_value(world.metrics, "control_promoted"),
			  1);
	dy_control_destroy(second);
	dy_endpoint_destroy(third.endpoint);
	fake_control_stop(&world);
	dy_seal_destroy(third.seal);
	fake_control_remove_folder((char *)options.folder);
	fake_control_clear(&world);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		those_that_ask_at_once_get_places_of_their_own,
		one_that_is_no_member_any_more_is_told,
		other_groups_are_not_answered,
		group_serves_only_once_it_bears_a_loss,
		NULL,
	};

	return fake_suite_run("place", tests);
}
