#ifndef DAMASKYARD_ADMISSION_H
#define DAMASKYARD_ADMISSION_H

/*
 * Admission control for calls at the agent. It decides which call gets a free
 * slot of the target, which call waits in the queue, which call is refused
 * without being run, and when a refused caller should retry. It has no network,
 * no clock and no thread of its own.
 *
 * Load pattern: mechanism; effect without it
 * - burst: bounded queue; calls are refused although a slot becomes free in
 *   time
 * - overload, slow target: deadline test; slots run calls whose callers have
 *   already timed out
 * - one hot caller: fair queueing by caller; all other callers wait behind its
 *   backlog
 * - one hot key: fair queueing by key; other callers wait behind the many
 *   callers of that key
 * - long calls mixed with short ones: reserved slots, and the cost of a call in
 *   its fair share; long calls occupy every slot and short calls wait
 * - pulls against submissions: shares of slot time and of the queue; many pulls
 *   delay a reading or cause its loss
 * - retries of refused callers: scheduled retry times; they return in
 *   synchronized waves
 *
 * The reason for each default stands beside it. Measurements are in
 * docs/MEASUREMENTS.md, section "Decisions under load".
 *
 * How the owner calls it:
 *
 *	submit() for each call; on DY_ADMISSION_RUN send it to the target.
 *	finish() when the target has answered or its connection is closed;
 *	then next() until it returns NULL, and send each item to the target.
 *	expire() until it returns NULL, after each submit() that queued and
 *	every 50 ms while any call runs or waits; refuse each item.
 *
 * Each submitted item has exactly one outcome: refused by submit(), refused by
 * expire(), cancelled by cancel(), or run (DY_ADMISSION_RUN or next(), then
 * finish()). An item that was handed out to run is never refused.
 *
 * Times are microseconds of a monotonic clock. If the clock goes back, time
 * stands still until it catches up. A jump forward (a suspended VM) expires
 * overdue calls, and the calls that ran across it do not update the service
 * time estimates.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/list.h"

typedef struct dy_admission dy_admission_t;

/*
 * The part of a call that admission uses. It is embedded in the owner's call
 * record; DY_LIST_ITEM(item, call_t, admission) returns that record. The owner
 * fills the first block before submit() and does not touch the second.
 */
typedef struct dy_admission_item {
	uint64_t caller; /* hash of the caller; 0: unknown, one shared caller */
	uint64_t key;	 /* hash of the requested object; 0: no key */
	uint64_t deadline_us; /* when the caller times out; 0: the default */
	uint32_t procedure;   /* service times are kept per procedure */
	uint8_t idempotent;   /* 1: a pull; 0: a submission or an edit */

	uint8_t state;
	uint8_t reason;
	uint8_t is_long;
	uint32_t suspensions;
	dy_list_t link;
	uint64_t submitted_us;
	uint64_t started_us;
	uint64_t queue_deadline_us;
	uint64_t effective_deadline_us;
	uint64_t cost_us;
	uint64_t start_tag;
} dy_admission_item_t;

typedef struct dy_admission_config {
	/*
	 * Calls that the target runs concurrently: 7 at Ciel Noir, 4 at
	 * Lakeshore.
	 */
	uint32_t slots;

	/*
	 * Maximum number of queued calls. 256 calls of 5 ms keep 7 slots busy
	 * for 180 ms. Calls should be refused by the deadline test and not by
	 * this bound, which limits memory and the cost of a scan.
	 */
	uint32_t queue_limit;

	/* Time from submission to the deadline of a call that carries none. */
	uint64_t default_budget_us;

	/*
	 * Percentage of a call's time to its deadline that it may spend in the
	 * queue. 50 leaves a refused caller as much time again to retry or to
	 * call elsewhere.
	 */
	uint32_t queue_wait_percent;

	/*
	 * The same for pulls during a standing queue, in which every pull has
	 * had to wait for more than a second. Such a queue does not absorb a
	 * burst; a long one only adds latency to each call.
	 */
	uint32_t standing_queue_wait_percent;

	/* Service time assumed for a procedure that has never been called. */
	uint64_t initial_estimate_us;

	/*
	 * Percentage of the slot time and of the queue reserved for submissions
	 * and edits while pulls wait as well. Pulls get the rest, so neither
	 * starves the other; an unused share goes to the other. 90, because a
	 * reading or an edit is lost where a pull is only repeated. With 75,
	 * after the loss of a failure domain, 83% instead of 92% of the
	 * submissions to 3 targets were in time, and 88% instead of 60% of the
	 * pulls.
	 */
	uint32_t submission_percent;

	/*
	 * Slots that long calls leave free while short calls arrive, in
	 * addition to the slots that short calls keep busy; together at most
	 * half of all slots. 0 disables both reservations.
	 */
	uint32_t reserved_short_slots;

	/* Bounds of the retry delay given to a refused caller, in ms. */
	uint32_t retry_min_ms;
	uint32_t retry_max_ms;
} dy_admission_config_t;

typedef enum dy_admission_outcome {
	DY_ADMISSION_RUN,    /* a slot is assigned: send it to the target */
	DY_ADMISSION_QUEUED, /* next() or expire() returns it later */
	DY_ADMISSION_REFUSED /* not run, and never will be */
} dy_admission_outcome_t;

typedef enum dy_admission_reason {
	DY_ADMISSION_ACCEPTED,
	DY_ADMISSION_LATE, /* could not finish before its deadline */
	DY_ADMISSION_FULL, /* queue full, and other calls go first */
	DY_ADMISSION_REASONS
} dy_admission_reason_t;

/* The reply to a refused caller. */
typedef struct dy_admission_refusal {
	dy_admission_reason_t reason;
	uint32_t retry_after_ms;
} dy_admission_refusal_t;

/* How a running call ended. */
typedef enum dy_admission_end {
	DY_ADMISSION_ANSWERED,	/* answered: updates the service time */
	DY_ADMISSION_ABANDONED, /* no answer: the time is a lower bound */
	DY_ADMISSION_UNSENT	/* never sent to the target: no sample */
} dy_admission_end_t;

/* Load report in each answer; balancers use it to select a target. */
typedef struct dy_admission_load {
	uint32_t slots;
	uint32_t in_flight;
	uint32_t queued;
	uint64_t expected_wait_us; /* of a new caller, in the busier class */
} dy_admission_load_t;

/* Sets *config to the defaults for a target with `slots` slots. */
void dy_admission_config_init(dy_admission_config_t *config, uint32_t slots);

/*
 * Creates an admission control. config is copied. rand is borrowed and must
 * outlive it; it provides the retry jitter and the hash seed, which prevents
 * callers from choosing the hash bucket of another caller. Never fails.
 */
dy_admission_t *dy_admission_create(const dy_admission_config_t *config,
				    GRand *rand);

/*
 * Frees the admission control. Items that are queued or running are not
 * refused: the owner answers them itself. NULL is allowed.
 */
void dy_admission_destroy(dy_admission_t *admission);

/*
 * Submits a call. item must stay in place until its outcome. On
 * DY_ADMISSION_REFUSED, *refusal holds the reason and the retry delay;
 * otherwise it is not modified. If a call is queued while the queue is full,
 * another call is evicted: expire() returns that one.
 */
dy_admission_outcome_t dy_admission_submit(dy_admission_t *admission,
					   dy_admission_item_t *item,
					   uint64_t now_us,
					   dy_admission_refusal_t *refusal);

/*
 * Releases the slot of a running item. An item in any other state is not
 * modified. Call next() afterwards.
 */
void dy_admission_finish(dy_admission_t *admission, dy_admission_item_t *item,
			 dy_admission_end_t end, uint64_t now_us);

/*
 * Removes a call from the queue because its caller has cancelled it or is gone.
 * Returns 1 if it was queued (it will never run), 0 if it runs or has ended: a
 * running call keeps its slot until finish().
 */
int dy_admission_cancel(dy_admission_t *admission, dy_admission_item_t *item);

/* Returns the next call to run, with a slot assigned, or NULL. */
dy_admission_item_t *dy_admission_next(dy_admission_t *admission,
				       uint64_t now_us);

/*
 * Returns a queued call that is dropped, with the reply for its caller in
 * *refusal, or NULL if there is none. A call is dropped as soon as the work
 * ahead of it shows that it would start too late, not when its deadline is
 * near.
 */
dy_admission_item_t *dy_admission_expire(dy_admission_t *admission,
					 uint64_t now_us,
					 dy_admission_refusal_t *refusal);

/*
 * Changes the number of slots. If fewer slots remain than calls run, no running
 * call is aborted: no call starts until enough have finished. 0 is allowed.
 */
void dy_admission_set_slots(dy_admission_t *admission, uint32_t slots);

/*
 * Reads the load at now_us. Without slots the expected wait is an hour, the
 * longest that is reported.
 */
void dy_admission_load(const dy_admission_t *admission, uint64_t now_us,
		       dy_admission_load_t *load);

/* Returns "late", "full" or "accepted", for logs and counters. */
const char *dy_admission_reason_name(dy_admission_reason_t reason);

#endif
