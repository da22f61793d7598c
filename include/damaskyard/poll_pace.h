#ifndef DAMASKYARD_POLL_PACE_H
#define DAMASKYARD_POLL_PACE_H

/*
 * When a member polls control, and how often it asks again.
 *
 * Load pattern: thousands of members lose control at the same moment, and find
 * it again at the same moment, on small parts of a core. Without this each asks
 * again at a fixed short time; together they ask faster than control can
 * answer, and go on doing so (a retry storm).
 *
 * A poll that is not answered is sent again, to another control, as a copy
 * under its own number: any control's answer to any copy ends it, so that no
 * work of control's is lost to a copy that was sent too soon. The time between
 * copies doubles, with a share drawn at random. A leader that invites this
 * member (invitations.h) is polled at once, so the long times cost nothing
 * where control is up.
 *
 * A plain structure without clock or network: the owner gives the time, in ms,
 * and sends.
 */

#include <stdint.h>

#include <glib.h>

/*
 * Between two polls, in ms, at least: control sets a longer time where many
 * members poll. A change is in force within a poll and a half where nothing
 * fails; two polls a second of about 300 bytes, and as much back, are 1.2 KB/s
 * of the 3 KB/s that a node may spend.
 */
#define DY_POLL_INTERVAL_MS 500

/* Polls are never further apart, whatever control says, in ms. */
#define DY_POLL_INTERVAL_MAX_MS 5000

/* Polls that are pressed for are no nearer than this, in ms. */
#define DY_POLL_EARLY_INTERVAL_MS 50

/* Before the first copy of a poll, in ms: a slow control may be elected. */
#define DY_POLL_TIMEOUT_MS 400

/*
 * The same for a member that was never confirmed, in ms: it serves nobody yet,
 * and the controls may be starting as well. Thirty round trips between failure
 * domains.
 */
#define DY_POLL_FIRST_TIMEOUT_MS 100

/* After a control that cannot serve said so, in ms; doubles as well. */
#define DY_POLL_BACKOFF_MS 50

/* The longest time between copies, in ms. */
#define DY_POLL_BACKOFF_MAX_MS 1600

/*
 * A poll older than this, in ms, is not sent again, but a new one: its answer
 * would say that control was there when it was first sent.
 */
#define DY_POLL_TTL_MS 1000

typedef enum dy_poll_step {
	DY_POLL_WAIT,
	DY_POLL_SEND_NEW,
	DY_POLL_RETRANSMIT
} dy_poll_step_t;

typedef struct dy_poll_pace {
	GRand *rand;
	uint64_t due_ms;	/* next poll or copy */
	uint64_t first_sent_ms; /* the poll under way was first sent */
	uint64_t last_sent_ms;	/* it, or its last copy */
	uint64_t interval_ms;	/* between polls, as control told */
	uint32_t
		retransmit_ms; /* until the next copy, before its random part */
	uint32_t backoff_ms;   /* the same once a control cannot serve */
	int in_flight;
	int outdated;  /* what the poll under way says has changed */
	int confirmed; /* control answered once */
} dy_poll_pace_t;

/* seed differs between members. Due at once. */
void dy_poll_pace_init(dy_poll_pace_t *pace, uint32_t seed);
void dy_poll_pace_clear(dy_poll_pace_t *pace);

/* What is to be done now. */
dy_poll_step_t dy_poll_pace_next(const dy_poll_pace_t *pace, uint64_t now_ms);

/* What dy_poll_pace_next() said was done. */
void dy_poll_pace_note_sent(dy_poll_pace_t *pace, dy_poll_step_t step,
			    uint64_t now_ms);

/* The poll was answered; poll_ms is what control told. */
void dy_poll_pace_note_answer(dy_poll_pace_t *pace, uint64_t poll_ms);

/* A control said that it cannot answer; the poll goes on. */
void dy_poll_pace_back_off(dy_poll_pace_t *pace, uint64_t now_ms);

/* A leader is known now: a copy is due at once. */
void dy_poll_pace_poll_now(dy_poll_pace_t *pace, uint64_t now_ms);

/*
 * What is to be said has changed: a new poll is due at once, or as soon as the
 * one under way is answered, which control may be at work on.
 */
void dy_poll_pace_note_change(dy_poll_pace_t *pace);

/* Whatever is under way is given up; a new poll is due at once. */
void dy_poll_pace_reset(dy_poll_pace_t *pace);

/* Poll as soon as pressed polls may be, if none is under way. */
void dy_poll_pace_poll_early(dy_poll_pace_t *pace);

#endif
