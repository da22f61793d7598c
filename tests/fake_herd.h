#ifndef FAKE_HERD_H
#define FAKE_HERD_H

/*
 * All members and a control group, killed at the same moment and started again,
 * in simulated time: the real log (fake_group.h), the real decisions of
 * members and controls (poll_pace.h, poll_queue.h, invitations.h), and a
 * processor for each control that takes a given time for each message. A
 * control does nothing else while it works: its log's messages wait.
 *
 * A member is served once the leader answered a poll of it; a balancer besides
 * needs an image and a second answer that confirms it.
 */

#include <stdint.h>

#include "fake_group.h"

typedef struct fake_herd_options {
	uint32_t seed;
	unsigned members;  /* three in ten are balancers */
	unsigned controls; /* at most FAKE_GROUP_MAX */
	/* Of a control's processor, in us: an answered poll, a page, a look. */
	unsigned poll_us;
	unsigned page_us;
	unsigned look_us;
	unsigned image_bytes; /* of one member in an image */
	/* Rules of before, to compare with; 0: as the modules say. */
	int fixed_retry; /* each 100 ms to any control, in new polls */
	int no_queue;	 /* polls answered as they come, copies too */
	int no_invitations;
	int leader_pages; /* no image: the leader tells 64 members a poll */
} fake_herd_options_t;

typedef struct fake_herd_result {
	unsigned balancers;
	unsigned balancers_served; /* by the end */
	unsigned served;
	/* From the start of the controls, in ms; 0: not by the end. */
	uint64_t leader_ms;
	uint64_t half_ms;   /* of the balancers */
	uint64_t most_ms;   /* nine tenths of them */
	uint64_t all_ms;    /* all members */
	uint64_t elections; /* after the first leader */
	uint64_t quorum_lost;
	/* Most questions that came to one control in a second after the first.
	 */
	unsigned asked_most;
} fake_herd_result_t;

typedef struct fake_herd fake_herd_t;

/* A group that was formed, then killed; members start at 0. */
fake_herd_t *fake_herd_create(const fake_herd_options_t *options);
void fake_herd_destroy(fake_herd_t *herd);

/* Let the controls start, if they are not up, and ms pass. */
void fake_herd_run(fake_herd_t *herd, uint32_t ms);

/* The same, with that many polls a second more, of any member, at the leader.
 */
void fake_herd_flood(fake_herd_t *herd, uint32_t ms, unsigned polls_a_second);

/* Kill a share of the members, in percent; they start again at once. */
void fake_herd_restart(fake_herd_t *herd, unsigned percent);

/* Nobody is served any more, as after a new start; for one more measure. */
void fake_herd_begin_measure(fake_herd_t *herd);

fake_herd_result_t fake_herd_result(const fake_herd_t *herd);
fake_group_t *fake_herd_group(fake_herd_t *herd);

#endif
