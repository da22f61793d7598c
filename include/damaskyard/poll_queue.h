#ifndef DAMASKYARD_POLL_QUEUE_H
#define DAMASKYARD_POLL_QUEUE_H

/*
 * Members' polls that a control has received and not begun yet.
 *
 * Load pattern: after a loss of all processes every member polls at once, and
 * again while no answer comes, at controls that have a small part of a core
 * each. Without this the copies are answered one by one, long after their
 * senders gave them up, and the group's own messages wait behind them: the
 * leader is late with its heartbeats, loses its majority, and whoever follows
 * it finds the same queue (a metastable failure).
 *
 * One place a sender, however often it asks: its newest poll takes the place
 * of the one before, without loss of turn. A copy of the poll that is being
 * answered is dropped. Balancers go first, since callers wait for them; of
 * DY_POLL_QUEUE_AGENT_INTERVAL one is still an agent. What is too old is
 * dropped: its sender has begun another.
 *
 * It also sees what a poll costs: while polls wait, the time from one to the
 * next is what the owner can do. From that comes the pace that members are
 * asked to keep.
 *
 * No clock and no network: the owner gives the time, in ms, and bytes.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/address.h"

/*
 * Places, and bytes of one poll and of all that wait: 20,000 members of a cell
 * with polls of some 300 bytes, and room to spare. Polls wait unopened, so a
 * stranger can fill the queue, but not the memory.
 */
#define DY_POLL_QUEUE_MAX_SENDERS 32768
#define DY_POLL_QUEUE_MAX_POLL_BYTES 4096
#define DY_POLL_QUEUE_MAX_BYTES (16 * 1024 * 1024)

/* A poll that waited for so long, in ms, is dropped; see poll_pace.h. */
#define DY_POLL_QUEUE_TIMEOUT_MS 1000

/* Fewer polls in a row, from none waiting to none, say nothing of the cost. */
#define DY_POLL_QUEUE_MIN_SAMPLES 32

/* A cost that was not seen again for so long, in ms, counts for half. */
#define DY_POLL_QUEUE_COST_HALF_LIFE_MS 10000

/*
 * The share of its time, in percent, that a control spends on polls where
 * nothing else happens: what is left is for documents and for restarts.
 */
#define DY_POLL_QUEUE_CPU_PERCENT 50

/* Of so many that are taken while both kinds wait, one is an agent's. */
#define DY_POLL_QUEUE_AGENT_INTERVAL 8

typedef struct dy_poll_queue dy_poll_queue_t;

typedef enum dy_poll_queue_result {
	DY_POLL_QUEUED,
	DY_POLL_REPLACED,  /* the sender's earlier poll, in its place */
	DY_POLL_DUPLICATE, /* of one that is being answered; dropped */
	DY_POLL_FULL	   /* dropped */
} dy_poll_queue_result_t;

/* A poll whose turn it is. bytes are the taker's, to g_free(). */
typedef struct dy_queued_poll {
	dy_address_t from;
	uint32_t xid;
	uint8_t *bytes;
	size_t len;
} dy_queued_poll_t;

dy_poll_queue_t *dy_poll_queue_create(void);
void dy_poll_queue_destroy(dy_poll_queue_t *queue);

/* Put in the datagram of a poll, which is copied. */
dy_poll_queue_result_t dy_poll_queue_enqueue(dy_poll_queue_t *queue,
					     const dy_address_t *from,
					     uint32_t xid, int is_balancer,
					     const uint8_t *bytes, size_t len,
					     uint64_t now_ms);

/*
 * Take the next. Returns 0 if none waits. It counts as being answered until
 * dy_poll_queue_complete() is called with its sender and xid.
 */
int dy_poll_queue_dequeue(dy_poll_queue_t *queue, uint64_t now_ms,
			  dy_queued_poll_t *poll);

/* The poll was answered, or never will be. */
void dy_poll_queue_complete(dy_poll_queue_t *queue, const dy_address_t *from,
			    uint32_t xid);

/*
 * Returns the time between two polls of a member, in ms, at which that many
 * members take the share above; 0 before a cost was seen.
 */
uint64_t dy_poll_queue_interval_ms(const dy_poll_queue_t *queue,
				   unsigned members, uint64_t now_ms);

unsigned dy_poll_queue_count(const dy_poll_queue_t *queue);

/* Polls dropped since the start because they waited for too long. */
uint64_t dy_poll_queue_expired(const dy_poll_queue_t *queue);

#endif
