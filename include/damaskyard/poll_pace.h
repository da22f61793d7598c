#ifndef DAMASKYARD_POLL_PACE_H
#define DAMASKYARD_POLL_PACE_H

/*
 * The times at which a member polls control and retransmits a poll.
 *
 * Load pattern: thousands of members lose control at the same moment and find
 * it again at the same moment, while each control has a small share of a
 * core. Without this, each member retries at a short fixed interval; together
 * they send polls faster than control can answer, and do not stop (a retry
 * storm).
 *
 * An unanswered poll is retransmitted to another control under the same xid.
 * The answer of any control to any transmission completes the poll, so that a
 * retransmission that was sent too early does not waste the work of a
 * control. The retransmission timeout doubles each time, with random jitter, up
 * to the poll interval for a member that control has answered.
 * A leader that invites this member (invitations.h) is polled at once, so
 * that long timeouts delay nothing while control is up.
 *
 * The structure uses no clock and no network: the owner passes the monotonic
 * time in ms and sends the polls.
 */

#include <stdint.h>

#include <glib.h>

/*
 * Minimum interval between polls in ms; control sets a longer one if many
 * members poll. Without failures a change takes effect within 1.5 intervals.
 * Two polls per second of about 300 bytes, with answers of the same size, use
 * 1.2 KB/s of the 3 KB/s that a member may use for control traffic.
 */
#define DY_POLL_INTERVAL_MS 500

/* Upper bound in ms of the interval that control sets. */
#define DY_POLL_INTERVAL_MAX_MS 5000

/* Minimum time in ms from the last poll to an early one. */
#define DY_POLL_EARLY_INTERVAL_MS 50

/*
 * Initial retransmission timeout of a poll in ms, for a member that was
 * confirmed before. It leaves time for an election at a slow control.
 */
#define DY_POLL_TIMEOUT_MS 400

/*
 * The same in ms for a member that was never confirmed. It is shorter because
 * the member serves no caller yet, and the controls may be starting as well.
 * It is thirty round trips between failure domains.
 */
#define DY_POLL_FIRST_TIMEOUT_MS 100

/*
 * Initial backoff in ms after the answer of a control that cannot serve the
 * poll. It doubles with each such answer.
 */
#define DY_POLL_BACKOFF_MS 50

/*
 * Upper bound in ms of timeout and backoff, without jitter; the poll interval
 * if that is shorter and control has answered before.
 */
#define DY_POLL_BACKOFF_MAX_MS 1600

/*
 * Time to live of a poll in ms. After it a new poll is sent instead of a
 * retransmission, because an answer confirms control only for the time of the
 * first transmission.
 */
#define DY_POLL_TTL_MS 1000

typedef enum dy_poll_step {
	DY_POLL_WAIT,	   /* nothing is due */
	DY_POLL_SEND_NEW,  /* under a new xid */
	DY_POLL_RETRANSMIT /* under the same xid */
} dy_poll_step_t;

typedef struct dy_poll_pace {
	GRand *rand;
	uint64_t due_ms;	/* next transmission */
	uint64_t first_sent_ms; /* first transmission of the current poll */
	uint64_t last_sent_ms;	/* its last transmission */
	uint64_t interval_ms;	/* as set by control */
	uint32_t retransmit_ms; /* next timeout, without jitter */
	uint32_t backoff_ms;	/* next backoff, without jitter */
	int in_flight;		/* a poll waits for its answer */
	int outdated;		/* content changed since it was sent */
	int confirmed;		/* control has answered at least once */
} dy_poll_pace_t;

/*
 * Initialize; a first poll is due at once. seed must differ between members.
 * Free with dy_poll_pace_clear().
 */
void dy_poll_pace_init(dy_poll_pace_t *pace, uint32_t seed);
void dy_poll_pace_clear(dy_poll_pace_t *pace);

/* Returns what the owner must send now. */
dy_poll_step_t dy_poll_pace_next(const dy_poll_pace_t *pace, uint64_t now_ms);

/* Record that the step that dy_poll_pace_next() returned was done. */
void dy_poll_pace_note_sent(dy_poll_pace_t *pace, dy_poll_step_t step,
			    uint64_t now_ms);

/* Record the answer to the poll; interval_ms is set by control. */
void dy_poll_pace_note_answer(dy_poll_pace_t *pace, uint64_t interval_ms);

/*
 * Record that a control cannot serve the poll, which stays in flight; the
 * next transmission is due after the backoff.
 */
void dy_poll_pace_back_off(dy_poll_pace_t *pace, uint64_t now_ms);

/* Make the next transmission due at once, as when the leader is known. */
void dy_poll_pace_poll_now(dy_poll_pace_t *pace, uint64_t now_ms);

/*
 * Record that the content of the poll has changed. A new poll is due at once;
 * if one is in flight, which control may be processing, then as soon as it is
 * answered.
 */
void dy_poll_pace_note_change(dy_poll_pace_t *pace);

/* Abandon a poll in flight; a new poll is due at once. */
void dy_poll_pace_reset(dy_poll_pace_t *pace);

/*
 * Make a poll due DY_POLL_EARLY_INTERVAL_MS after the last transmission, unless
 * one is in flight or due earlier.
 */
void dy_poll_pace_poll_early(dy_poll_pace_t *pace);

#endif
