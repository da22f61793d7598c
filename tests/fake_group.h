#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

/*
 * A control group over fakes: members on disks in memory, a bag of datagrams
 * between them, one clock. Its oracle watches every callback and message:
 *
 * - an index holds the same command on every member, forever;
 * - a command is applied once, and an acknowledged one at the index named;
 * - a confirmed read finds all that was acknowledged before it began;
 * - an identity grants one vote a term, a term has one leader.
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
	/* NULL while it is down. */
	dy_raft_t *raft;
	int paused;
	/* Members hear each other on the same side alone. */
	int partition;
	int disk_failed;
	/* The state machine: a chain over the commands applied. */
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
	/* In percent. */
	int loss_percent;
	int duplication_percent;
	/* Longest way of a datagram. */
	uint32_t max_delay_ms;
	/* For members that are started from now on; 0: the default. */
	uint32_t first_election_ms;
	uint64_t next_command;
	uint64_t next_identity;
	uint64_t messages;
	/* The oracle: by index, by command, by vote, by term. */
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

/* All members are started; slot 0 is bootstrapped. */
fake_group_t *fake_group_create(uint32_t seed, uint32_t size);
void fake_group_destroy(fake_group_t *group);

/* Let time pass, deliver what is due, tick and flush. */
void fake_group_step(fake_group_t *group, uint32_t ms);
void fake_group_run(fake_group_t *group, uint32_t ms);

/*
 * Do what an operator does next to make every member's present identity a
 * voter and no other; returns 1 once it is so, and committed.
 */
int fake_group_reconcile(fake_group_t *group);

/* Maintain until it is done, within limit_ms. Returns whether it was. */
int fake_group_form(fake_group_t *group, uint32_t limit_ms);

/* The leader with the greatest term among those that run, or NULL. */
fake_member_t *fake_group_leader(fake_group_t *group);
/* Run until a leader has committed an entry of its term. */
fake_member_t *fake_group_await_leader(fake_group_t *group);

/* Propose one command, or read, at member; follow it through the oracle. */
dy_raft_result_t fake_group_propose(fake_group_t *group, fake_member_t *member);
dy_raft_result_t fake_group_read(fake_group_t *group, fake_member_t *member);

void fake_group_stop(fake_member_t *member);
void fake_group_start(fake_member_t *member);
/* Loss of power, or of the process alone; the member is down then. */
void fake_group_crash(fake_member_t *member, int power);
/* The disk is lost; the member is down and will start as another. */
void fake_group_wipe(fake_member_t *member);

/* All heal; every member must come to hold all that was acknowledged. */
void fake_group_converge(fake_group_t *group);

/* A group whose slots are all voters, a little after it formed. */
fake_group_t *fake_group_create_formed(uint32_t seed, uint32_t size);
/* Propose to whoever leads, and see all of it acknowledged. */
void fake_group_commit(fake_group_t *group, int count);
uint64_t fake_group_counter(const fake_group_t *group, const char *name);
/* Another member than this one. */
fake_member_t *fake_group_other_member(fake_group_t *group,
				       const fake_member_t *member);

/* Put a message of the test's own into the bag. */
void fake_group_inject(fake_group_t *group, const dy_raft_message_t *message);

#endif
