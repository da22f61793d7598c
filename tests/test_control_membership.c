/* A control that joins a running group: whom it answers, whom it asks. */

#include <string.h>

#include "damaskyard/raft.h"
#include "damaskyard/seal.h"
#include "dy_group.h"
#include "fake_control.h"
#include "fake_suite.h"

#define GROUP 1
#define LEADER_SLOT 2
#define LEADER_IDENTITY 22
#define FORMER_IDENTITY 21
#define TERM 5
#define WAIT_TICKS 3000
#define ANSWER_TICKS 20
#define SLOW_DISK_MS 8500

/* The leader, or a VM that is gone: it only receives. */
typedef struct fake_peer {
	dy_endpoint_t *endpoint;
	dy_address_t address;
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_seal_t *seal;
	dy_voter_id_t learner; /* as the last HELLO said */
	int hellos;
	int finds;
	int replies;
	uint64_t match_index; /* of the last reply */
} fake_peer_t;

static fake_control_t world;
static fake_peer_t leader;
static fake_peer_t former; /* held the leader's slot before */

static void receive_raft(fake_peer_t *peer, const dy_sealed_t *message)
{
	dy_raft_message_t raft;

	ck_assert(dy_sealed_load(message, (xdrproc_t)xdr_dy_raft_message_t,
				 &raft, sizeof(raft)));
	if (raft.body.kind == DY_RAFT_APPEND_REPLY) {
		peer->replies++;
		peer->match_index =
			raft.body.dy_raft_body_t_u.append_reply.match_index;
	}
	xdr_free((xdrproc_t)xdr_dy_raft_message_t, (char *)&raft);
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	fake_peer_t *peer = context;
	dy_sealed_t message;
	dy_hello_t hello;

	(void)from;
	(void)truncated;
	if (dy_seal_open(peer->seal, bytes, len, &message) != DY_SEAL_OK)
		return;
	if (message.procedure == DY_GROUP_RAFT) {
		receive_raft(peer, &message);
	} else if (message.procedure == DY_GROUP_FIND) {
		peer->finds++;
	} else if (message.procedure == DY_GROUP_HELLO) {
		ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_hello_t,
					 &hello, sizeof(hello)));
		peer->learner = hello.id;
		peer->hellos++;
	}
}

static void open_peer(fake_peer_t *peer)
{
	memset(peer, 0, sizeof(*peer));
	peer->seal = dy_seal_create(&world.options.secrets, world.metrics);
	dy_address_parse("127.0.0.1:0", &peer->address);
	peer->endpoint = dy_endpoint_create(world.loop, &peer->address,
					    on_datagram, peer, NULL);
	peer->address = *dy_endpoint_address(peer->endpoint);
	dy_address_format(&peer->address, peer->text);
}

static void close_peer(fake_peer_t *peer)
{
	dy_endpoint_destroy(peer->endpoint);
	dy_seal_destroy(peer->seal);
}

/* Prepares a control with an empty disk that was given slot 1. */
static void prepare(void)
{
	fake_control_init(&world);
	open_peer(&leader);
	open_peer(&former);
	world.options.peers.count = 3;
	world.options.peers.slots[LEADER_SLOT] = leader.address;
}

static void run_until(const int *count)
{
	fake_control_run(&world, WAIT_TICKS, count);
	ck_assert_int_gt(*count, 0);
}

static void begin(void)
{
	prepare();
	fake_control_start(&world);
	run_until(&leader.hellos);
}

static void end(void)
{
	close_peer(&leader);
	close_peer(&former);
	fake_control_stop(&world);
	fake_control_clear(&world);
}

static void send_append(dy_raft_entry_t *entry, uint64_t prev_index)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_RAFT };
	dy_raft_message_t message = { 0 };
	dy_raft_append_t *append = &message.body.dy_raft_body_t_u.append;
	static uint8_t out[DY_RAFT_MESSAGE_BYTES];
	size_t len;

	message.group = GROUP;
	message.from.slot = LEADER_SLOT;
	message.from.identity = LEADER_IDENTITY;
	message.to = leader.learner;
	message.term = TERM;
	message.config_index = 1000;
	message.body.kind = DY_RAFT_APPEND;
	append->prev_index = prev_index;
	append->prev_term = prev_index ? TERM : 0;
	append->entries.entries_len = entry ? 1 : 0;
	append->entries.entries_val = entry;
	len = dy_seal_write_call(leader.seal, &head,
				 (xdrproc_t)xdr_dy_raft_message_t, &message,
				 out, sizeof(out));
	ck_assert_uint_gt(len, 0);
	dy_endpoint_send_to(leader.endpoint, out, len, &world.options.listen);
}

/* Repeats it, as a leader does: a loop that was late drops what waited. */
static void append_until_answered(dy_raft_entry_t *entry, uint64_t prev_index)
{
	unsigned tries = 0;

	leader.replies = 0;
	do {
		send_append(entry, prev_index);
		fake_control_run(&world, ANSWER_TICKS, &leader.replies);
		ck_assert_uint_lt(++tries, WAIT_TICKS / ANSWER_TICKS);
	} while (!leader.replies);
}

/* Sends the membership entry of the time before the leader had its slot. */
static void send_former_membership(void)
{
	dy_raft_member_t member = { { LEADER_SLOT, FORMER_IDENTITY },
				    DY_MEMBER_VOTER,
				    former.text };
	dy_raft_config_t config = { { 1, &member } };
	dy_raft_entry_t entry = { .index = 1, .term = TERM };
	uint32_t size;

	entry.type = DY_ENTRY_CONFIG;
	entry.data.data_val = dy_config_encode(&config, &size);
	entry.data.data_len = size;
	append_until_answered(&entry, 0);
	g_free(entry.data.data_val);
}

/*
 * A control that replays an old membership entry answers the VM that is gone,
 * and never catches up.
 */
START_TEST(answers_leader_in_slot_that_another_held)
{
	dy_raft_entry_t entry = { .index = 2, .term = TERM };

	begin();
	send_former_membership();
	/* The slots' table is that of the log from the next tick on. */
	fake_control_run(&world, 20, NULL);
	entry.type = DY_ENTRY_NOOP;
	append_until_answered(&entry, 1);
	ck_assert_int_eq(former.replies, 0);
	ck_assert_uint_eq(leader.match_index, 2);
	end();
}
END_TEST

/* A follower redirects operators and members to a VM that is gone. */
START_TEST(names_leader_in_slot_that_another_held)
{
	dy_address_t named;

	begin();
	send_former_membership();
	fake_control_run(&world, 20, NULL);
	append_until_answered(NULL, 1);
	dy_control_leader(world.control, &named);
	ck_assert(dy_address_equal(&named, &leader.address));
	end();
}
END_TEST

/* All controls that a member knows are replaced: it waits without end. */
START_TEST(asks_seeds_when_no_known_control_answers)
{
	dy_address_list_t seeds = { .count = 0 };

	prepare();
	world.options.seeds = &seeds;
	fake_control_start(&world);
	run_until(&leader.hellos);
	append_until_answered(NULL, 0);
	ck_assert_int_eq(former.finds, 0);
	seeds.items[seeds.count++] = former.address;
	run_until(&former.finds);
	end();
}
END_TEST

/* A control whose disk has an identity and no entry reaches nobody. */
START_TEST(asks_seeds_to_join_when_it_knows_no_control)
{
	dy_address_list_t seeds = { .count = 0 };

	prepare();
	memset(&world.options.peers, 0, sizeof(world.options.peers));
	world.options.seeds = &seeds;
	seeds.items[seeds.count++] = former.address;
	fake_control_start(&world);
	run_until(&former.hellos);
	end();
}
END_TEST

/* A disk is busy for longer than a join may take: the control gives up. */
START_TEST(slow_disk_does_not_use_up_the_time_to_join)
{
	prepare();
	fake_control_start(&world);
	g_usleep(SLOW_DISK_MS * 1000);
	run_until(&leader.hellos);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		answers_leader_in_slot_that_another_held,
		names_leader_in_slot_that_another_held,
		asks_seeds_when_no_known_control_answers,
		asks_seeds_to_join_when_it_knows_no_control,
		slow_disk_does_not_use_up_the_time_to_join,
		NULL,
	};

	return fake_suite_run_for("control_membership", tests, 20);
}
