#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

/*
 * A simulated control group: members on disks in memory, a network of
 * datagrams in flight, one clock. It checks these invariants at every callback
 * and message:
 *
 * - an index has the same command on every member, for ever;
 * - a command is applied once, an acknowledged one at the index reported;
 * - a confirmed read sees all that was acknowledged before it started;
 * - an identity grants one vote in a term, and a term has one leader.
 */

#include <stdio.h>
#include <stdlib.h>

#include "damaskyard/raft.h"
#include "fake_disk.h"

#define FAKE_GROUP_MAX 5
#define FAKE_GROUP_NUMBER 77

#define FAKE_CHECK(condition)                                            \
	do {                                                             \
		if (!(condition)) {                                      \
			fprintf(stderr, "%s:%d: failed: %s\n", __FILE__, \
				__LINE__, #condition);                   \
			abort();                                         \
		}                                                        \
	} while (0)

typedef struct fake_group fake_group_t;

typedef struct fake_member {
	fake_group_t *group;
	uint32_t slot;
	uint64_t identity;
	fake_disk_t *disk;
	dy_store_t *store;
	/* NULL while the member is down. */
	dy_raft_t *raft;
	int paused;
	/* Datagrams are delivered only within a partition. */
	int partition;
	int disk_failed;
	/* The state machine: a hash chain over the commands applied. */
	uint64_t applied_index;
	uint64_t state_hash;
} fake_member_t;

struct fake_group {
	fake_member_t members[FAKE_GROUP_MAX];
	uint32_t size;
	uint64_t now_ms;
	GRand *rand;
	GPtrArray *in_flight;
	dy_metrics_t *metrics;
	/* Datagrams lost and duplicated, in percent. */
	int loss_percent;
	int duplication_percent;
	/* Maximum latency of a datagram; the actual one is random. */
	uint32_t max_delay_ms;
	/* Option of members started from now on; 0: the default. */
	uint32_t first_election_ms;
	uint64_t next_command;
	uint64_t next_identity;
	uint64_t messages;
	/* State of the checks: by index, by command, by vote, by term. */
	GArray *log;
	GHashTable *commands;
	GHashTable *votes;
	GHashTable *leaders;
	uint64_t acknowledged_index;
	uint64_t acknowledged;
	uint64_t unknown;
	uint64_t reads;
	uint64_t failed_reads;
	uint64_t transfers;
	dy_raft_result_t last_change;
};

/* Create and start size members; slot 0 is bootstrapped. */
fake_group_t *fake_group_create(uint32_t seed, uint32_t size);
void fake_group_destroy(fake_group_t *group);

/* Advance the clock by ms, deliver due datagrams, tick and flush. */
void fake_group_step(fake_group_t *group, uint32_t ms);
/* Step by 5 ms until ms have passed. */
void fake_group_run(fake_group_t *group, uint32_t ms);

/*
 * Take an operator's next step towards a group whose voters are the members'
 * current identities and no others. Returns 1 once this is committed, else 0.
 */
int fake_group_reconcile(fake_group_t *group);

/* Reconcile until done, for at most limit_ms. Returns whether it is done. */
int fake_group_form(fake_group_t *group, uint32_t limit_ms);

/* The leader of the highest term among running members, or NULL. */
fake_member_t *fake_group_leader(fake_group_t *group);
/* Run until a leader has committed an entry of its term; return it. */
fake_member_t *fake_group_await_leader(fake_group_t *group);

/*
 * Propose one command, or start a read, at member. Its completion is checked
 * against the invariants.
 */
dy_raft_result_t fake_group_propose(fake_group_t *group, fake_member_t *member);
dy_raft_result_t fake_group_read(fake_group_t *group, fake_member_t *member);

void fake_group_stop(fake_member_t *member);
void fake_group_start(fake_member_t *member);
/* Power loss, or crash of the process alone. The member stays down. */
void fake_group_crash(fake_member_t *member, int power);
/* Disk loss. The member stays down and restarts with a new identity. */
void fake_group_wipe(fake_member_t *member);

/*
 * Clear all faults, start all members, and check that each of them applies
 * all that was acknowledged.
 */
void fake_group_converge(fake_group_t *group);

/* Create a group whose members are all voters. */
fake_group_t *fake_group_create_formed(uint32_t seed, uint32_t size);
/* Propose count commands to the leader; check that all are acknowledged. */
void fake_group_commit(fake_group_t *group, int count);
/* Value of a counter, summed over all members. */
uint64_t fake_group_counter(const fake_group_t *group, const char *name);
/* The member in the next slot. */
fake_member_t *fake_group_other_member(fake_group_t *group,
				       const fake_member_t *member);

/* Send a message that the test made. */
void fake_group_inject(fake_group_t *group, const dy_raft_message_t *message);

#endif
