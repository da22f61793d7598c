#ifndef DAMASKYARD_ADMISSION_H
#define DAMASKYARD_ADMISSION_H

/*
 * Admission of calls at the agent: which call takes a free slot of the
 * target, which one waits, which one is refused as not run, and when a
 * refused caller should come back. Pure: no network, no clock, no thread.
 *
 * Load pattern: mechanism; without it
 * - burst: bounded queue; refused though a slot comes free in time
 * - overload, slow target: deadline test; slots run calls whose callers have
 *   gone
 * - one hot caller: fair queueing by caller; all wait behind its backlog
 * - one hot key: fair queueing by key; the same, by many callers of one key
 * - long calls among short: reserved slot, cost in the fair share; a long call
 *   in each slot, short ones wait
 * - pulls against submissions: shares of slot time and of the queue; a crowd
 *   of pulls makes a reading late or lost
 * - the refused come back: booked retry times; one wave after another
 *
 * The grounds for each figure stand beside it; the measurements are in
 * docs/MEASUREMENTS.md, "Decisions under load".
 *
 * How the owner drives it:
 *
 *	submit() for each call; DY_ADMISSION_RUN: send it to the target.
 *	finish() when the target answered, or its connection was given up;
 *	then next() until it returns NULL, sending each item to the target.
 *	expire() until it returns NULL after each submit() that queued, and
 *	every 50 ms while any call runs or waits: refuse each item.
 *
 * Each submitted item has exactly one outcome: refused by submit(), refused
 * by expire(), cancelled by cancel(), or run (RUN or next(), then finish()).
 * An item that was handed out to run is never refused.
 *
 * Times are microseconds of a monotonic clock. A clock that goes back is
 * taken to stand still. A jump forward (a VM that was frozen) expires what is
 * overdue, and the calls that ran across it are not learned from.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/list.h"

typedef struct dy_admission dy_admission_t;

/*
 * The part of a call that admission sees; it stands inside the owner's call
 * record, which DY_LIST_ITEM(item, call_t, admission) finds again. The owner
 * fills the first block before submit() and leaves the second alone.
 */
typedef struct dy_admission_item {
	uint64_t caller;      /* hash of who calls; 0: unknown, all alike */
	uint64_t key;	      /* hash of what is asked for; 0: no key */
	uint64_t deadline_us; /* the caller has gone then; 0: the default */
	uint32_t procedure;   /* service time is learned for each */
	uint8_t idempotent;   /* 1: a pull; 0: a submission or an edit */

	uint8_t state;
	uint8_t reason;
	uint8_t is_long;
	uint32_t freezes;
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
	 * Calls that the target runs at once: 7 at Ciel Noir, 4 at Lakeshore.
	 */
	uint32_t slots;

	/*
	 * Calls that may wait. 256 of 5 ms keep 7 slots busy for 180 ms: the
	 * deadline test, not this bound, should be what refuses; the bound
	 * keeps memory and the cost of a scan small.
	 */
	uint32_t queue_limit;

	/* For a call that carries no deadline, after its submission. */
	uint64_t default_budget_us;

	/*
	 * The part of a call's time to its deadline that it may spend in the
	 * queue, in percent. 50 leaves the refused caller as much time again
	 * to come back or to ask elsewhere.
	 */
	uint32_t queue_wait_percent;

	/*
	 * The same for pulls while each has waited for a second already: it
	 * is then no burst, a long queue adds only to the wait of each call.
	 */
	uint32_t standing_queue_wait_percent;

	/* Service time taken for a procedure that was never seen. */
	uint64_t initial_estimate_us;

	/*
	 * Part of the slot time and of the queue, in percent, which
	 * submissions and edits get while pulls wait as well. The rest is the
	 * pulls': neither starves the other. Unused share goes to the other.
	 * 90, as a reading or an edit is lost where a pull is only repeated:
	 * with 75, when a failure domain goes, 83% instead of 92% of the
	 * submissions to 3 targets were in time; pulls 88% instead of 60%.
	 */
	uint32_t submission_percent;

	/*
	 * Slots that long calls leave free while short calls are about,
	 * above those that the short ones keep busy, and up to half of all.
	 * 0 turns both off.
	 */
	uint32_t reserved_short_slots;

	/* A refused caller is told to come back between these, in ms. */
	uint32_t retry_min_ms;
	uint32_t retry_max_ms;
} dy_admission_config_t;

typedef enum dy_admission_outcome {
	DY_ADMISSION_RUN,    /* a slot is taken: send it to the target */
	DY_ADMISSION_QUEUED, /* next() or expire() will hand it out */
	DY_ADMISSION_REFUSED /* not run, and never will be */
} dy_admission_outcome_t;

typedef enum dy_admission_reason {
	DY_ADMISSION_ACCEPTED,
	DY_ADMISSION_LATE, /* could not finish before its deadline */
	DY_ADMISSION_FULL, /* queue full, and others' turn comes first */
	DY_ADMISSION_REASONS
} dy_admission_reason_t;

/* What a refused caller is told. */
typedef struct dy_admission_refusal {
	dy_admission_reason_t reason;
	uint32_t retry_after_ms;
} dy_admission_refusal_t;

/* How a call that ran came to its end. */
typedef enum dy_admission_end {
	DY_ADMISSION_ANSWERED,	/* the target answered: learned from */
	DY_ADMISSION_ABANDONED, /* no answer: the time is a lower bound */
	DY_ADMISSION_UNSENT	/* never reached the target: not learned */
} dy_admission_end_t;

/* What the agent puts into each answer, for the balancers' choice. */
typedef struct dy_admission_load {
	uint32_t slots;
	uint32_t in_flight;
	uint32_t queued;
	uint64_t expected_wait_us; /* of a new caller, in the fuller lane */
} dy_admission_load_t;

/* Set *config to the defaults for a target with so many slots. */
void dy_admission_config_init(dy_admission_config_t *config, uint32_t slots);

/*
 * Create an admission control. config is copied; rand is borrowed and must
 * outlive it (retry jitter, and the seed that keeps callers from aiming at
 * each other's place in the hash table). Never fails.
 */
dy_admission_t *dy_admission_create(const dy_admission_config_t *config,
				    GRand *rand);

/*
 * Free it. Items still queued or running are forgotten, not refused: the
 * owner answers them itself. NULL is allowed.
 */
void dy_admission_destroy(dy_admission_t *admission);

/*
 * Submit a call. item must stay in place until its outcome. On
 * DY_ADMISSION_REFUSED, *refusal says why and when to come back; else it is
 * left alone. When a call is queued at a full queue, another one loses its
 * place: expire() hands that one out.
 */
dy_admission_outcome_t dy_admission_submit(dy_admission_t *admission,
					   dy_admission_item_t *item,
					   uint64_t now_us,
					   dy_admission_refusal_t *refusal);

/*
 * Give back the slot of an item that runs. An item in any other state is left
 * alone. Call next() afterwards.
 */
void dy_admission_finish(dy_admission_t *admission, dy_admission_item_t *item,
			 dy_admission_end_t end, uint64_t now_us);

/*
 * Take a call out of the queue because its caller has gone. Returns 1 if it
 * was queued (it will never run), 0 if it runs or has ended: a running call
 * keeps its slot until finish().
 */
int dy_admission_cancel(dy_admission_t *admission, dy_admission_item_t *item);

/* Returns the next call to run, with its slot taken, or NULL. */
dy_admission_item_t *dy_admission_next(dy_admission_t *admission,
				       uint64_t now_us);

/*
 * Returns a queued call that is given up on, with what to tell its caller, or
 * NULL if there is none. A call is given up on as soon as the work before it
 * shows that its turn comes too late, not when its deadline is near.
 */
dy_admission_item_t *dy_admission_expire(dy_admission_t *admission,
					 uint64_t now_us,
					 dy_admission_refusal_t *refusal);

/*
 * Change the number of slots. With fewer slots than running calls nothing is
 * cut: no call starts until enough have finished. 0 is allowed.
 */
void dy_admission_set_slots(dy_admission_t *admission, uint32_t slots);

/*
 * Read the load at now_us. Without slots the expected wait is an hour, the
 * longest that is reported.
 */
void dy_admission_load(const dy_admission_t *admission, uint64_t now_us,
		       dy_admission_load_t *load);

/* Returns "late", "full" or "accepted", for logs and counters. */
const char *dy_admission_reason_name(dy_admission_reason_t reason);

#endif
