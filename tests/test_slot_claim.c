/* Controls that claim a slot in an open group that is running. */

#include <string.h>

#include "damaskyard/seal.h"
#include "dy_group.h"
#include "fake_control.h"
#include "fake_suite.h"

#define GROUP 1
#define CLAIMANTS 3
#define WAIT_TICKS 2000

typedef struct claimant {
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	dy_place_t place;
	int answered;
	int has_state; /* answers each HELLO so */
} claimant_t;

static fake_control_t world;
static claimant_t claimants[CLAIMANTS];

static void clear_place(claimant_t *claimant)
{
	xdr_free((xdrproc_t)xdr_dy_place_t, (char *)&claimant->place);
	memset(&claimant->place, 0, sizeof(claimant->place));
}

static void receive_place(claimant_t *claimant, const dy_sealed_t *message)
{
	clear_place(claimant);
	ck_assert(dy_sealed_load(message, (xdrproc_t)xdr_dy_place_t,
				 &claimant->place, sizeof(claimant->place)));
	claimant->answered = 1;
}

/* Answers a HELLO as the control of slot 3. */
static void answer_hello(claimant_t *claimant, const dy_sealed_t *message,
			 const struct sockaddr *to, int empty)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_HELLO };
	dy_hello_t hello = { 0 };
	uint8_t out[1024];
	size_t len;

	hello.group = GROUP;
	hello.id.slot = 3;
	hello.id.identity = 33;
	hello.empty = empty;
	hello.echo = message->sender;
	len = dy_seal_write_call(claimant->seal, &head,
				 (xdrproc_t)xdr_dy_hello_t, &hello, out,
				 sizeof(out));
	dy_endpoint_send(claimant->endpoint, out, len, to);
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	claimant_t *claimant = context;
	dy_sealed_t message;

	(void)truncated;
	if (dy_seal_open(claimant->seal, bytes, len, &message) != DY_SEAL_OK)
		return;
	if (message.procedure == DY_GROUP_PLACE)
		receive_place(claimant, &message);
	if (message.procedure == DY_GROUP_HELLO && claimant->has_state)
		answer_hello(claimant, &message, from, 0);
}

static void open_claimants(void)
{
	dy_address_t any;
	int i;

	fake_control_init(&world);
	dy_address_parse("127.0.0.1:0", &any);
	for (i = 0; i < CLAIMANTS; i++) {
		claimants[i].seal =
			dy_seal_create(&world.options.secrets, world.metrics);
		claimants[i].endpoint = dy_endpoint_create(
			world.loop, &any, on_datagram, &claimants[i], NULL);
	}
}

static void begin(void)
{
	open_claimants();
	fake_control_start(&world);
}

static void end(void)
{
	int i;

	for (i = 0; i < CLAIMANTS; i++) {
		dy_endpoint_destroy(claimants[i].endpoint);
		dy_seal_destroy(claimants[i].seal);
		clear_place(&claimants[i]);
	}
	fake_control_stop(&world);
	fake_control_clear(&world);
}

static void send_find(claimant_t *claimant, uint64_t group, uint64_t identity)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_FIND };
	uint8_t out[1024];
	dy_find_t find = { 0 };
	size_t len;

	find.group = group;
	find.id.slot = 9;
	find.id.identity = identity;
	find.echo = 77;
	len = dy_seal_write_call(claimant->seal, &head,
				 (xdrproc_t)xdr_dy_find_t, &find, out,
				 sizeof(out));
	claimant->answered = 0;
	dy_endpoint_send_to(claimant->endpoint, out, len,
			    &world.options.listen);
}

/* Repeat the request, as a control does, until the group decides. */
static const dy_place_t *request_until_decided(claimant_t *claimant,
					       uint64_t identity)
{
	unsigned tries = 0;

	do {
		send_find(claimant, GROUP, identity);
		fake_control_run(&world, 10, NULL);
		ck_assert_uint_lt(++tries, WAIT_TICKS / 10);
	} while (!claimant->answered ||
		 claimant->place.status == DY_PLACE_UNKNOWN ||
		 claimant->place.status == DY_PLACE_ASK);
	ck_assert_uint_eq(claimant->place.echo, 77);
	return &claimant->place;
}

/*
 * All VMs start at the same time, and three controls that are no seeds request
 * a slot. If they are assigned the same one, two of them wait in it for ever,
 * and the group never grows to the size that tolerates the losses it is set
 * for.
 */
START_TEST(concurrent_claimants_get_distinct_slots)
{
	unsigned slots = 0;
	int i;

	begin();
	for (i = 0; i < CLAIMANTS; i++)
		request_until_decided(&claimants[i], 0);
	for (i = 0; i < CLAIMANTS; i++)
		send_find(&claimants[i], GROUP, 0);
	fake_control_run(&world, 20, NULL);
	for (i = 0; i < CLAIMANTS; i++) {
		ck_assert_int_eq(claimants[i].place.status, DY_PLACE_GIVEN);
		ck_assert_uint_gt(claimants[i].place.slot, 1);
		slots |= 1u << claimants[i].place.slot;
	}
	ck_assert_uint_eq(slots, 1u << 2 | 1u << 3 | 1u << 4);
	/* A repeated request gets the same slot. */
	ck_assert_uint_eq(request_until_decided(&claimants[1], 0)->slot, 3);
	end();
}
END_TEST

/*
 * A member was removed while it was partitioned. Nobody sends to it any more,
 * so it would wait for a leader for ever.
 */
START_TEST(reports_lost_membership)
{
	begin();
	ck_assert_int_eq(request_until_decided(&claimants[0], 12345)->status,
			 DY_PLACE_LOST);
	end();
}
END_TEST

/* A control of another group that uses the same addresses gets no answer. */
START_TEST(ignores_claim_for_other_group)
{
	begin();
	request_until_decided(&claimants[0], 0);
	send_find(&claimants[1], GROUP + 1, 0);
	fake_control_run(&world, 20, NULL);
	ck_assert(!claimants[1].answered);
	end();
}
END_TEST

/* A control that reports an empty store and takes no further part. */
static void answer_as_empty_control(void *context, uint8_t *bytes, size_t len,
				    const struct sockaddr *from, int truncated)
{
	claimant_t *third = context;
	dy_sealed_t message;

	if (dy_seal_open(third->seal, bytes, len, &message) != DY_SEAL_OK)
		return;
	if (message.procedure == DY_GROUP_PLACE)
		receive_place(third, &message);
	if (message.procedure == DY_GROUP_HELLO)
		answer_hello(third, &message, from, 1);
}

static int accept_any_document(void *context, const uint8_t *bytes, size_t size,
			       char *message, size_t message_size)
{
	(void)context;
	(void)bytes;
	(void)size;
	(void)message;
	(void)message_size;
	return 1;
}

static void on_published(void *context, dy_status_t status, const char *message)
{
	(void)message;
	*(int *)context = (int)status;
}

/* Two controls of a group of three, and a third that only says it is empty. */
typedef struct half_group {
	dy_control_t *second;
	claimant_t third;
	char *folder;
} half_group_t;

static void begin_half_group(half_group_t *half)
{
	dy_control_options_t options;

	memset(half, 0, sizeof(*half));
	fake_control_init(&world);
	world.options.validate = accept_any_document;
	world.options.peers.count = 3;
	world.options.peers.slots[2] = fake_control_unused_address(&world);
	half->third.seal =
		dy_seal_create(&world.options.secrets, world.metrics);
	dy_address_parse("127.0.0.1:0", &world.options.peers.slots[3]);
	half->third.endpoint =
		dy_endpoint_create(world.loop, &world.options.peers.slots[3],
				   answer_as_empty_control, &half->third, NULL);
	world.options.peers.slots[3] =
		*dy_endpoint_address(half->third.endpoint);
	options = world.options;
	options.slot = 2;
	options.listen = options.peers.slots[2];
	half->folder = g_dir_make_tmp("dy-slots-XXXXXX", NULL);
	options.folder = half->folder;
	fake_control_start(&world);
	half->second =
		dy_control_create(world.loop, world.metrics, &options, NULL);
}

static void end_half_group(half_group_t *half)
{
	dy_control_destroy(half->second);
	dy_endpoint_destroy(half->third.endpoint);
	fake_control_stop(&world);
	dy_seal_destroy(half->third.seal);
	clear_place(&half->third);
	fake_control_remove_folder(half->folder);
	fake_control_clear(&world);
}

/*
 * A group was just bootstrapped, two of its three controls are voters, and a
 * document is acknowledged. If one of the two then loses its disk, no leader
 * can be elected and no control can join, though the group should tolerate one
 * loss.
 */
START_TEST(refuses_publish_until_one_loss_is_tolerated)
{
	half_group_t half;
	int status = -1;
	int i;

	begin_half_group(&half);
	for (i = 0; i < 15; i++) {
		fake_control_run(&world, 20, NULL);
		dy_control_publish(world.control, (const uint8_t *)"x", 1, 1,
				   on_published, &status);
		ck_assert_int_ne(status, DY_STATUS_OK);
	}
	/* Both controls are members by now. */
	ck_assert_uint_ge(dy_metrics_value(world.metrics, "control_promoted"),
			  1);
	end_half_group(&half);
}
END_TEST

/* A control loses its disk before the group first serves, and gets no slot. */
START_TEST(gives_slot_before_group_first_serves)
{
	half_group_t half;
	unsigned i;

	begin_half_group(&half);
	for (i = 0; i < 20 && half.third.place.status != DY_PLACE_GIVEN; i++) {
		send_find(&half.third, GROUP, 0);
		fake_control_run(&world, 20, NULL);
	}
	ck_assert_int_eq(half.third.place.status, DY_PLACE_GIVEN);
	ck_assert_uint_eq(half.third.place.slot, 3);
	end_half_group(&half);
}
END_TEST

static const dy_place_t *ask_once(claimant_t *claimant)
{
	unsigned tries = 0;

	do {
		send_find(claimant, GROUP, 0);
		fake_control_run(&world, 2, &claimant->answered);
	} while (!claimant->answered && ++tries < WAIT_TICKS);
	ck_assert(claimant->answered);
	return &claimant->place;
}

/* Starts a control of a first start, listed with the first and third claimant.
 */
static void begin_first_start(int joins_running_group)
{
	open_claimants();
	world.options.joins_running_group = joins_running_group;
	world.options.peers.count = 3;
	world.options.peers.slots[2] =
		*dy_endpoint_address(claimants[0].endpoint);
	world.options.peers.slots[3] =
		*dy_endpoint_address(claimants[2].endpoint);
	fake_control_start(&world);
}

/* A control of a first start gives a listed slot to another, or again later. */
START_TEST(offers_listed_slot_only_while_group_is_founded)
{
	const dy_place_t *place;

	begin_first_start(0);
	place = ask_once(&claimants[0]);
	ck_assert_int_eq(place->status, DY_PLACE_LISTED);
	ck_assert_uint_eq(place->slot, 2);
	ck_assert_uint_eq(place->seats.seats_len, 3);
	ck_assert_int_eq(ask_once(&claimants[1])->status, DY_PLACE_UNKNOWN);
	claimants[2].has_state = 1;
	fake_control_run(&world, 60, NULL);
	ck_assert_int_eq(ask_once(&claimants[0])->status, DY_PLACE_UNKNOWN);
	end();
}
END_TEST

/* A control that joins a running group lets another found a second one. */
START_TEST(joining_control_offers_no_listed_slot)
{
	begin_first_start(1);
	ck_assert_int_eq(ask_once(&claimants[0])->status, DY_PLACE_UNKNOWN);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		concurrent_claimants_get_distinct_slots,
		reports_lost_membership,
		ignores_claim_for_other_group,
		refuses_publish_until_one_loss_is_tolerated,
		gives_slot_before_group_first_serves,
		offers_listed_slot_only_while_group_is_founded,
		joining_control_offers_no_listed_slot,
		NULL,
	};

	return fake_suite_run_for("slot_claim", tests, 20);
}
