#ifndef FAKE_SITE_H
#define FAKE_SITE_H

/*
 * Simulates all members and the control group of one site that are killed and
 * restarted at the same time, in simulated time. It uses the real replicated
 * log (fake_group.h), the real decisions of members and controls (poll_pace.h,
 * poll_queue.h, invitations.h), and for each control a processor that takes a
 * given time per message. A control does nothing else while it works, so its
 * log messages wait.
 *
 * A member counts as served once the leader has answered one of its polls. A
 * balancer also needs an image and a second answer that confirms it.
 */

#include <stdint.h>

#include "fake_group.h"

typedef struct fake_site_options {
	uint32_t seed;
	unsigned members;  /* three in ten are balancers */
	unsigned controls; /* at most FAKE_GROUP_MAX */
	/*
	 * Time of a control's processor, in us: for an answered poll, for a
	 * page of an image, and for any other datagram.
	 */
	unsigned poll_us;
	unsigned page_us;
	unsigned datagram_us;
	unsigned image_bytes; /* per member in an image */
	/*
	 * Disable a protection for comparison; 0: as implemented by the
	 * modules.
	 */
	int fixed_retry; /* retry every 100 ms at any control, as a new poll */
	int no_queue;	 /* answer polls in order of arrival, also duplicates */
	int no_invitations;
	int no_images; /* the leader sends 64 member records per poll answer */
} fake_site_options_t;

typedef struct fake_site_result {
	unsigned balancers;
	unsigned balancers_served; /* by the end of the run */
	unsigned served;
	/* Times since the start of the controls, in ms; 0: not reached. */
	uint64_t leader_ms;
	uint64_t balancers_50pct_ms;
	uint64_t balancers_90pct_ms;
	uint64_t members_100pct_ms;
	uint64_t elections; /* after the first leader was elected */
	uint64_t quorum_lost;
	/*
	 * Most requests to one control in one second, without the first second.
	 */
	unsigned max_requests_per_s;
} fake_site_result_t;

typedef struct fake_site fake_site_t;

/*
 * Creates a site whose group was formed and then killed. The members start at
 * time 0. Free it with fake_site_destroy().
 */
fake_site_t *fake_site_create(const fake_site_options_t *options);
void fake_site_destroy(fake_site_t *site);

/* Runs the simulation for ms. */
void fake_site_run(fake_site_t *site, uint32_t ms);

/* As fake_site_run(), with additional polls of random members to the leader. */
void fake_site_flood(fake_site_t *site, uint32_t ms, unsigned polls_per_second);

/* Restarts a share of the members, in percent. */
void fake_site_restart(fake_site_t *site, unsigned percent);

/*
 * Resets the result and marks all members as not served, for another
 * measurement.
 */
void fake_site_start_measurement(fake_site_t *site);

/* Returns the result since the last fake_site_start_measurement(). */
fake_site_result_t fake_site_result(const fake_site_t *site);
/* Returns the control group; the site keeps the ownership. */
fake_group_t *fake_site_group(fake_site_t *site);

#endif
