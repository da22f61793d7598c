/* Controls that find their place in an open group that runs already. */

#include "damaskyard/control.h"

#include <string.h>

#include <glib/gstdio.h>

#include "damaskyard/log.h"
#include "damaskyard/seal.h"
#include "dy_group.h"
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

static struct {
	char *folder;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_control_t *control;
	dy_control_options_t options;
	asker_t askers[ASKERS];
	unsigned ticks;
	unsigned wait_ticks;
} world;

static void on_tick(void *context)
{
	(void)context;
	if (++world.ticks >= world.wait_ticks)
		dy_loop_end(world.loop);
}

static void settle(unsigned ticks)
{
	world.ticks = 0;
	world.wait_ticks = ticks;
	dy_loop_run(world.loop);
}

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

static dy_address_t find_port(void)
{
	dy_address_t address;
	dy_endpoint_t *probe;

	dy_address_parse("127.0.0.1:0", &address);
	probe = dy_endpoint_create(world.loop, &address, NULL, NULL, NULL);
	address = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	settle(2);
	return address;
}

static void create_loop(void)
{
	memset(&world, 0, sizeof(world));
	dy_log_configure(DY_LOG_ERROR, NULL);
	world.folder = g_dir_make_tmp("dy-place-XXXXXX", NULL);
	world.metrics = dy_metrics_create();
	world.loop = dy_loop_create(world.metrics);
	dy_loop_every(world.loop, 5, on_tick, NULL);
	world.options.listen = find_port();
}

static void begin(void)
{
	GError *error = NULL;
	int i;

	create_loop();
	world.options.group = GROUP;
	world.options.slot = 1;
	world.options.folder = world.folder;
	world.options.peers.count = 1;
	world.options.peers.slots[1] = world.options.listen;
	world.options.open = 1;
	world.options.secrets.count = 1;
	world.options.leases.lease_ms = 60000;
	world.options.leases.keep_ms = 60000;
	world.options.keys.rotate_ms = 60000;
	world.options.keys.distribute_ms = 60000;
	world.options.keys.renew_ms = 60000;
	world.control = dy_control_create(world.loop, world.metrics,
					  &world.options, &error);
	ck_assert_ptr_nonnull(world.control);
	for (i = 0; i < ASKERS; i++) {
		dy_address_t any;

		dy_address_parse("127.0.0.1:0", &any);
		world.askers[i].seal =
			dy_seal_create(&world.options.secrets, world.metrics);
		world.askers[i].endpoint = dy_endpoint_create(
			world.loop, &any, on_answer, &world.askers[i], NULL);
	}
}

static void remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(folder);
	g_free(folder);
}

static void end(void)
{
	int i;

	dy_control_destroy(world.control);
	for (i = 0; i < ASKERS; i++) {
		dy_endpoint_destroy(world.askers[i].endpoint);
		dy_seal_destroy(world.askers[i].seal);
	}
	dy_loop_destroy(world.loop);
	dy_metrics_destroy(world.metrics);
	remove_folder(world.folder);
}

static void ask(asker_t *asker, uint64_t group, uint64_t identity)
{
	dy_seal_head_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_FIND };
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
		settle(10);
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
		ask_until(&world.askers[i], 0);
	for (i = 0; i < ASKERS; i++)
		ask(&world.askers[i], GROUP, 0);
	settle(20);
	for (i = 0; i < ASKERS; i++) {
		ck_assert_int_eq(world.askers[i].place.status, DY_PLACE_GIVEN);
		ck_assert_uint_gt(world.askers[i].place.slot, 1);
		slots |= 1u << world.askers[i].place.slot;
	}
	ck_assert_uint_eq(slots, 1u << 2 | 1u << 3 | 1u << 4);
	/* Asked again, each is given the same one. */
	ck_assert_uint_eq(ask_until(&world.askers[1], 0)->slot, 3);
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
	ck_assert_int_eq(ask_until(&world.askers[0], 12345)->status,
			 DY_PLACE_LOST);
	end();
}
END_TEST

/* A control of another group that shares the addresses gets no answer. */
START_TEST(other_groups_are_not_answered)
{
	begin();
	ask_until(&world.askers[0], 0);
	ask(&world.askers[1], GROUP + 1, 0);
	settle(20);
	ck_assert(!world.askers[1].answered);
	end();
}
END_TEST

/* A control that says that it is empty, and never takes part. */
static void on_group_message(void *context, uint8_t *bytes, size_t len,
			     const struct sockaddr *from, int truncated)
{
	dy_seal_head_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_HELLO };
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

	create_loop();
	world.options.group = GROUP;
	world.options.open = 1;
	world.options.check = take_any;
	world.options.secrets.count = 1;
	world.options.leases.lease_ms = 60000;
	world.options.peers.count = 3;
	world.options.peers.slots[1] = world.options.listen;
	world.options.peers.slots[2] = find_port();
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
	world.options.slot = 1;
	world.options.folder = world.folder;
	world.control = dy_control_create(world.loop, world.metrics,
					  &world.options, NULL);
	second = dy_control_create(world.loop, world.metrics, &options, NULL);
	for (i = 0; i < 15; i++) {
		settle(20);
		dy_control_raise(world.control, (const uint8_t *)"x", 1, 1,
				 on_raised, &status);
		ck_assert_int_ne(status, DY_STATUS_OK);
	}
	/* Both are in the group by now. */
	ck_assert_uint_ge(dy_metrics_value(world.metrics, "control_promoted"),
			  1);
	dy_control_destroy(second);
	dy_control_destroy(world.control);
	dy_endpoint_destroy(third.endpoint);
	dy_loop_destroy(world.loop);
	dy_seal_destroy(third.seal);
	dy_metrics_destroy(world.metrics);
	remove_folder((char *)options.folder);
	remove_folder(world.folder);
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
