#ifndef DAMASKYARD_POLL_QUEUE_H
#define DAMASKYARD_POLL_QUEUE_H

/*
 * Queue of the members' polls that a control has received and not yet
 * processed.
 *
 * Load pattern: after a loss of all processes every member polls at once, and
 * again while no answer comes, at controls that have a small fraction of a core
 * each. Without this queue duplicates are answered one by one, long after their
 * senders have timed out, and the group's own messages wait behind them: the
 * leader sends its heartbeats late and loses its majority, and the next leader
 * finds the same queue (a metastable failure).
 *
 * Each sender has one entry, however often it polls: a newer poll replaces the
 * one that waits and keeps its position. A duplicate of the poll that is being
 * answered is dropped. Polls of balancers go first, since callers wait for
 * them, but every DY_POLL_QUEUE_AGENT_INTERVAL-th poll is an agent's. A poll
 * that has waited too long is dropped: its sender has sent another one.
 *
 * The queue also estimates the cost of a poll: while polls wait, the time from
 * one dequeue to the next is the time that the control takes for one. The poll
 * interval that members are told follows from this cost.
 *
 * It has no clock and no network: the owner passes in the time, in ms, and the
 * bytes.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/address.h"

/*
 * Capacity: senders, bytes of one poll, and bytes of all queued polls. It is
 * sufficient for the 20,000 members of a cell with polls of some 300 bytes.
 * Polls are queued before they are authenticated, so an unknown sender can fill
 * the queue; the byte limit keeps it from exhausting the memory.
 */
#define DY_POLL_QUEUE_MAX_SENDERS 32768
#define DY_POLL_QUEUE_MAX_POLL_BYTES 4096
#define DY_POLL_QUEUE_MAX_BYTES (16 * 1024 * 1024)

/* A poll that has waited for this time, in ms, is dropped; see poll_pace.h. */
#define DY_POLL_QUEUE_TIMEOUT_MS 1000

/*
 * Minimum number of polls in a busy period (from empty to empty) for a sample
 * of the cost; fewer are too few for an estimate.
 */
#define DY_POLL_QUEUE_MIN_SAMPLES 32

/* Half-life of the cost estimate without a new sample, in ms. */
#define DY_POLL_QUEUE_COST_HALF_LIFE_MS 10000

/*
 * Percentage of its time that a control spends on polls when idle otherwise.
 * The rest is for documents and for restarts.
 */
#define DY_POLL_QUEUE_CPU_PERCENT 50

/* While both kinds wait, one of this many polls dequeued is an agent's. */
#define DY_POLL_QUEUE_AGENT_INTERVAL 8

typedef struct dy_poll_queue dy_poll_queue_t;

typedef enum dy_poll_queue_result {
	DY_POLL_QUEUED,
	DY_POLL_REPLACED,  /* replaced the sender's queued poll */
	DY_POLL_DUPLICATE, /* of the poll being answered; dropped */
	DY_POLL_FULL	   /* dropped */
} dy_poll_queue_result_t;

/* A dequeued poll. The caller owns bytes and frees them with g_free(). */
typedef struct dy_queued_poll {
	dy_address_t from;
	uint32_t xid;
	uint8_t *bytes;
	size_t len;
} dy_queued_poll_t;

/* Creates an empty queue. Never fails. */
dy_poll_queue_t *dy_poll_queue_create(void);

/* Frees a queue and its polls. NULL is allowed. */
void dy_poll_queue_destroy(dy_poll_queue_t *queue);

/*
 * Enqueues the datagram of a poll, or replaces the sender's queued one; bytes
 * are copied. is_balancer: 1 for a balancer's poll, 0 for an agent's.
 */
dy_poll_queue_result_t dy_poll_queue_enqueue(dy_poll_queue_t *queue,
					     const dy_address_t *from,
					     uint32_t xid, int is_balancer,
					     const uint8_t *bytes, size_t len,
					     uint64_t now_ms);

/*
 * Dequeues the next poll into *poll. Returns 1, or 0 if the queue is empty. The
 * poll counts as being answered until dy_poll_queue_complete() is called with
 * its sender and xid.
 */
int dy_poll_queue_dequeue(dy_poll_queue_t *queue, uint64_t now_ms,
			  dy_queued_poll_t *poll);

/*
 * Marks a poll as answered or abandoned. A sender and xid that are not being
 * answered are ignored.
 */
void dy_poll_queue_complete(dy_poll_queue_t *queue, const dy_address_t *from,
			    uint32_t xid);

/*
 * Returns the poll interval, in ms, at which `members` members take
 * DY_POLL_QUEUE_CPU_PERCENT of the control's time; 0 without a cost estimate.
 */
uint64_t dy_poll_queue_interval_ms(const dy_poll_queue_t *queue,
				   unsigned members, uint64_t now_ms);

/* Returns the number of queued polls. */
unsigned dy_poll_queue_count(const dy_poll_queue_t *queue);

/*
 * Returns the number of polls dropped since the start because they waited too
 * long.
 */
uint64_t dy_poll_queue_expired(const dy_poll_queue_t *queue);

#endif
