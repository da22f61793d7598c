#ifndef FAKE_SITE_H
#define FAKE_SITE_H

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

typedef struct fake_site_options {
	uint32_t seed;
	unsigned members;  /* three in ten are balancers */
	unsigned controls; /* at most FAKE_GROUP_MAX */
	/* Of a control's processor, in us: an answered poll, a page, a look. */
	unsigned poll_us;
	unsigned page_us;
	unsigned datagram_us;
	unsigned image_bytes; /* of one member in an image */
	/* Rules of before, to compare with; 0: as the modules say. */
	int fixed_retry; /* each 100 ms to any control, in new polls */
	int no_queue;	 /* polls answered as they come, copies too */
	int no_invitations;
	int no_images; /* no image: the leader tells 64 members a poll */
} fake_site_options_t;

typedef struct fake_site_result {
	unsigned balancers;
	unsigned balancers_served; /* by the end */
	unsigned served;
	/* From the start of the controls, in ms; 0: not by the end. */
	uint64_t leader_ms;
	uint64_t balancers_50pct_ms; /* of the balancers */
	uint64_t balancers_90pct_ms; /* nine tenths of them */
	uint64_t members_100pct_ms;  /* all members */
	uint64_t elections;	     /* after the first leader */
	uint64_t quorum_lost;
	/* Most questions that came to one control in a second after the first.
	 */
	unsigned max_requests_per_s;
} fake_site_result_t;

typedef struct fake_site fake_site_t;

/* A group that was formed, then killed; members start at 0. */
fake_site_t *fake_site_create(const fake_site_options_t *options);
void fake_site_destroy(fake_site_t *herd);

/* Let the controls start, if they are not up, and ms pass. */
void fake_site_run(fake_site_t *herd, uint32_t ms);

/* The same, with that many polls a second more, of any member, at the leader.
 */
void fake_site_flood(fake_site_t *herd, uint32_t ms, unsigned polls_a_second);

/* Kill a share of the members, in percent; they start again at once. */
void fake_site_restart(fake_site_t *herd, unsigned percent);

/* Nobody is served any more, as after a new start; for one more measure. */
void fake_site_start_measurement(fake_site_t *herd);

fake_site_result_t fake_site_result(const fake_site_t *herd);
fake_group_t *fake_site_group(fake_site_t *herd);

#endif
