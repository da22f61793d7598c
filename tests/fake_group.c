#include "fake_group.h"

#include <string.h>

#include <rpc/rpc.h>

/* Makes a snapshot take three chunks. */
#define FILLER_BYTES 40000
#define MEMBER_SEED_STEP 1000

typedef struct datagram {
	uint32_t to_slot;
	int partition;
	uint64_t due_ms;
	uint32_t size;
	char data[];
} datagram_t;

typedef struct applied {
	uint64_t command;
	uint64_t state_hash;
	uint64_t term;
} applied_t;

typedef struct pending {
	fake_group_t *group;
	fake_member_t *member;
	uint64_t command;
	uint64_t min_index;
} pending_t;

static applied_t *applied_at(fake_group_t *group, uint64_t index)
{
	if (index >= group->log->len)
		g_array_set_size(group->log, index + 1);
	return &g_array_index(group->log, applied_t, index);
}

/* Check that key has no value yet or this value; record it. */
static void check_unique(GHashTable *table, const char *key, uint64_t value)
{
	uint64_t *known = g_hash_table_lookup(table, key);

	if (!known)
		g_hash_table_insert(table, g_strdup(key),
				    g_memdup2(&value, sizeof(value)));
	else
		FAKE_CHECK(*known == value);
}

static void check_vote(fake_group_t *group, const dy_raft_message_t *message)
{
	const dy_raft_vote_reply_t *reply =
		&message->body.dy_raft_body_t_u.vote_reply;
	char key[64];

	if (message->body.kind != DY_RAFT_VOTE_REPLY || reply->pre ||
	    !reply->granted)
		return;
	snprintf(key, sizeof(key), "%llx %llu",
		 (unsigned long long)message->from.identity,
		 (unsigned long long)message->term);
	check_unique(group->votes, key, message->to.identity);
}

static void enqueue_datagram(fake_group_t *group,
			     const dy_raft_message_t *message)
{
	datagram_t *datagram =
		g_malloc(sizeof(*datagram) + DY_RAFT_MESSAGE_BYTES);
	XDR xdr;

	xdrmem_create(&xdr, datagram->data, DY_RAFT_MESSAGE_BYTES, XDR_ENCODE);
	FAKE_CHECK(xdr_dy_raft_message_t(&xdr, (dy_raft_message_t *)message));
	datagram->size = xdr_getpos(&xdr);
	datagram = g_realloc(datagram, sizeof(*datagram) + datagram->size);
	datagram->to_slot = message->to.slot;
	datagram->partition = group->members[message->from.slot].partition;
	datagram->due_ms =
		group->now_ms + 1 +
		g_rand_int_range(group->rand, 0, (gint32)group->max_delay_ms);
	g_ptr_array_add(group->in_flight, datagram);
}

void fake_group_inject(fake_group_t *group, const dy_raft_message_t *message)
{
	enqueue_datagram(group, message);
}

static void member_send(void *context, const dy_raft_message_t *message)
{
	fake_member_t *member = context;
	fake_group_t *group = member->group;

	FAKE_CHECK(message->from.identity == member->identity);
	FAKE_CHECK(message->to.slot < group->size);
	group->messages++;
	check_vote(group, message);
	if (g_rand_int_range(group->rand, 0, 100) < group->loss_percent)
		return;
	enqueue_datagram(group, message);
	if (g_rand_int_range(group->rand, 0, 100) < group->duplication_percent)
		enqueue_datagram(group, message);
}

static void member_apply(void *context, const dy_raft_entry_t *entry)
{
	fake_member_t *member = context;
	fake_group_t *group = member->group;
	applied_t *applied = applied_at(group, entry->index);
	uint64_t command = 0;
	char key[32];

	FAKE_CHECK(entry->index == member->applied_index + 1);
	member->applied_index = entry->index;
	if (entry->type == DY_ENTRY_COMMAND) {
		FAKE_CHECK(entry->data.data_len >= sizeof(command));
		memcpy(&command, entry->data.data_val, sizeof(command));
		snprintf(key, sizeof(key), "%llu", (unsigned long long)command);
		check_unique(group->commands, key, entry->index);
	}
	member->state_hash =
		(member->state_hash ^ command) * 0x100000001b3ull + 1;
	if (!applied->term) {
		applied->term = entry->term;
		applied->command = command;
		applied->state_hash = member->state_hash;
	}
	FAKE_CHECK(applied->term == entry->term);
	FAKE_CHECK(applied->command == command);
	FAKE_CHECK(applied->state_hash == member->state_hash);
}

static int member_write_snapshot(void *context, dy_raft_add_cb_t *add,
				 void *add_context)
{
	const fake_member_t *member = context;
	char filler[FILLER_BYTES];

	/* Members encode the same state in different bytes. */
	memset(filler, (int)(member->slot * 32 + member->applied_index % 32),
	       sizeof(filler));
	return add(add_context, &member->applied_index, 8) ||
			       add(add_context, &member->state_hash, 8) ||
			       add(add_context, filler, sizeof(filler))
		       ? -1
		       : 0;
}

static int member_load_snapshot(void *context, dy_raft_read_cb_t *read,
				void *read_context)
{
	fake_member_t *member = context;
	char bytes[FILLER_BYTES + 16];
	int used = 0;
	int n;

	do {
		n = read(read_context, bytes + used, sizeof(bytes) - used);
		used += MAX(n, 0);
	} while (n > 0 && used < (int)sizeof(bytes));
	if (n < 0)
		return -1;
	FAKE_CHECK(used == (int)sizeof(bytes));
	memcpy(&member->applied_index, bytes, 8);
	memcpy(&member->state_hash, bytes + 8, 8);
	for (n = 17; n < used; n++)
		FAKE_CHECK(bytes[n] == bytes[16]);
	FAKE_CHECK(
		applied_at(member->group, member->applied_index)->state_hash ==
		member->state_hash);
	return 0;
}

static void member_changed(void *context, dy_raft_role_t role,
			   dy_voter_id_t leader)
{
	fake_member_t *member = context;
	char key[32];

	if (role != DY_RAFT_LEADER)
		return;
	snprintf(key, sizeof(key), "%llu",
		 (unsigned long long)dy_raft_term(member->raft));
	check_unique(member->group->leaders, key, leader.identity);
}

static void member_failed(void *context, const GError *error)
{
	fake_member_t *member = context;

	FAKE_CHECK(error != NULL);
	member->disk_failed = 1;
}

void fake_group_start(fake_member_t *member)
{
	dy_store_options_t store_options = { FAKE_GROUP_NUMBER, member->slot,
					     member->identity, 4096 };
	dy_raft_options_t options = { .snapshot_entries = 60 };
	dy_raft_callbacks_t callbacks = {
		member,
		member_send,
		member_apply,
		member_write_snapshot,
		member_load_snapshot,
		member_changed,
		member_failed,
	};
	GError *error = NULL;

	options.seed = g_rand_int(member->group->rand);
	options.first_election_ms = member->group->first_election_ms;
	options.metrics = member->group->metrics;
	member->applied_index = 0;
	member->state_hash = 0;
	member->disk_failed = 0;
	member->store =
		dy_store_create(&member->disk->table, &store_options, &error);
	if (!member->store) {
		/* A crash must not damage the store: only I/O errors. */
		fprintf(stderr, "slot %u: %s\n", member->slot, error->message);
		FAKE_CHECK(g_error_matches(error, DY_STORE_ERROR,
					   DY_STORE_ERROR_IO));
		g_error_free(error);
		fake_disk_restart(member->disk);
		return;
	}
	FAKE_CHECK(dy_store_id(member->store).identity == member->identity);
	member->raft = dy_raft_create(member->store, &options, &callbacks,
				      member->group->now_ms, &error);
	if (member->raft)
		return;
	FAKE_CHECK(g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_IO));
	g_error_free(error);
	dy_store_destroy(member->store);
	member->store = NULL;
	fake_disk_restart(member->disk);
}

void fake_group_stop(fake_member_t *member)
{
	dy_raft_destroy(member->raft);
	dy_store_destroy(member->store);
	member->raft = NULL;
	member->store = NULL;
	member->paused = 0;
}

void fake_group_crash(fake_member_t *member, int power)
{
	if (member->raft)
		fake_group_stop(member);
	if (power)
		fake_disk_crash(member->disk);
	else
		fake_disk_restart(member->disk);
}

void fake_group_wipe(fake_member_t *member)
{
	if (member->raft)
		fake_group_stop(member);
	fake_disk_wipe(member->disk);
	member->identity = ++member->group->next_identity;
}

fake_group_t *fake_group_create(uint32_t seed, uint32_t size)
{
	fake_group_t *group = g_new0(fake_group_t, 1);
	fake_member_t *member;
	uint32_t i;

	group->rand = g_rand_new_with_seed(seed);
	group->size = size;
	group->now_ms = 1000;
	group->max_delay_ms = 4;
	group->next_identity = 1000;
	group->in_flight = g_ptr_array_new_with_free_func(g_free);
	group->metrics = dy_metrics_create();
	group->log = g_array_new(FALSE, TRUE, sizeof(applied_t));
	group->commands =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	group->votes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	group->leaders =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (i = 0; i < size; i++) {
		member = &group->members[i];
		member->group = group;
		member->slot = i;
		member->identity = ++group->next_identity;
		member->disk = fake_disk_create(seed + MEMBER_SEED_STEP * i);
		fake_group_start(member);
	}
	FAKE_CHECK(dy_raft_bootstrap(group->members[0].raft, "slot0") ==
		   DY_RAFT_DONE);
	return group;
}

void fake_group_destroy(fake_group_t *group)
{
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		if (group->members[i].raft)
			fake_group_stop(&group->members[i]);
		fake_disk_destroy(group->members[i].disk);
	}
	g_ptr_array_free(group->in_flight, TRUE);
	g_array_free(group->log, TRUE);
	g_hash_table_destroy(group->commands);
	g_hash_table_destroy(group->votes);
	g_hash_table_destroy(group->leaders);
	dy_metrics_destroy(group->metrics);
	g_rand_free(group->rand);
	g_free(group);
}

static void deliver(fake_group_t *group, const datagram_t *datagram)
{
	fake_member_t *member = &group->members[datagram->to_slot];
	dy_raft_message_t message;
	XDR xdr;

	if (!member->raft || member->partition != datagram->partition)
		return;
	memset(&message, 0, sizeof(message));
	xdrmem_create(&xdr, (char *)datagram->data, datagram->size, XDR_DECODE);
	FAKE_CHECK(xdr_dy_raft_message_t(&xdr, &message));
	dy_raft_receive(member->raft, &message, group->now_ms);
	xdr_free((xdrproc_t)xdr_dy_raft_message_t, &message);
}

/* Datagrams to a frozen member wait in its socket. */
static void deliver_due(fake_group_t *group)
{
	datagram_t *datagram;
	guint i = 0;

	while (i < group->in_flight->len) {
		datagram = g_ptr_array_index(group->in_flight, i);
		if (datagram->due_ms > group->now_ms ||
		    group->members[datagram->to_slot].paused) {
			i++;
			continue;
		}
		datagram = g_ptr_array_steal_index(group->in_flight, i);
		deliver(group, datagram);
		g_free(datagram);
	}
}

void fake_group_step(fake_group_t *group, uint32_t ms)
{
	fake_member_t *member;
	uint32_t i;

	group->now_ms += ms;
	deliver_due(group);
	for (i = 0; i < group->size; i++) {
		member = &group->members[i];
		if (!member->raft || member->paused)
			continue;
		dy_raft_tick(member->raft, group->now_ms);
		dy_raft_flush(member->raft);
	}
}

void fake_group_run(fake_group_t *group, uint32_t ms)
{
	uint64_t end = group->now_ms + ms;

	while (group->now_ms < end)
		fake_group_step(group, 5);
}

fake_member_t *fake_group_leader(fake_group_t *group)
{
	fake_member_t *found = NULL;
	fake_member_t *member;
	uint32_t i;

	for (i = 0; i < group->size; i++) {
		member = &group->members[i];
		if (member->raft && !member->paused &&
		    dy_raft_role(member->raft) == DY_RAFT_LEADER &&
		    (!found ||
		     dy_raft_term(member->raft) > dy_raft_term(found->raft)))
			found = member;
	}
	return found;
}

fake_member_t *fake_group_await_leader(fake_group_t *group)
{
	fake_member_t *leader = NULL;
	uint64_t commit;
	int i;

	for (i = 0; i < 2000; i++) {
		fake_group_step(group, 5);
		leader = fake_group_leader(group);
		if (!leader)
			continue;
		commit = dy_raft_commit_index(leader->raft);
		if (commit && dy_store_entry_term(leader->store, commit) ==
				      dy_raft_term(leader->raft))
			return leader;
	}
	FAKE_CHECK(!"a leader is elected");
	return NULL;
}

static void on_proposed(void *context, dy_raft_result_t result, uint64_t index)
{
	pending_t *pending = context;
	fake_group_t *group = pending->group;

	if (result == DY_RAFT_DONE) {
		FAKE_CHECK(applied_at(group, index)->command ==
			   pending->command);
		FAKE_CHECK(pending->member->applied_index >= index);
		group->acknowledged++;
		group->acknowledged_index =
			MAX(group->acknowledged_index, index);
	} else {
		FAKE_CHECK(result == DY_RAFT_UNKNOWN);
		group->unknown++;
	}
	g_free(pending);
}

static pending_t *create_pending(fake_group_t *group, fake_member_t *member)
{
	pending_t *pending = g_new0(pending_t, 1);

	pending->group = group;
	pending->member = member;
	pending->command = ++group->next_command;
	pending->min_index = group->acknowledged_index;
	return pending;
}

dy_raft_result_t fake_group_propose(fake_group_t *group, fake_member_t *member)
{
	pending_t *pending = create_pending(group, member);
	char data[600] = { 0 };
	dy_raft_result_t result;

	memcpy(data, &pending->command, sizeof(pending->command));
	result = dy_raft_propose(member->raft, data,
				 8 + pending->command * 37 % 590, on_proposed,
				 pending);
	if (result != DY_RAFT_DONE)
		g_free(pending);
	return result;
}

static void on_read(void *context, dy_raft_result_t result, uint64_t index)
{
	pending_t *pending = context;

	if (result == DY_RAFT_DONE) {
		FAKE_CHECK(index >= pending->min_index);
		FAKE_CHECK(pending->member->applied_index >=
			   pending->min_index);
		pending->group->reads++;
	} else {
		FAKE_CHECK(result == DY_RAFT_NOT_LEADER);
		pending->group->failed_reads++;
	}
	g_free(pending);
}

dy_raft_result_t fake_group_read(fake_group_t *group, fake_member_t *member)
{
	pending_t *pending = create_pending(group, member);
	dy_raft_result_t result = dy_raft_read(member->raft, on_read, pending);

	if (result != DY_RAFT_DONE)
		g_free(pending);
	return result;
}
