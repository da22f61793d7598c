#ifndef TESTS_FAKE_STATIONS_H
#define TESTS_FAKE_STATIONS_H

/* The stations of a fake cluster, and the outcome of their readings. */

#include "fake_cluster.h"

#define FAKE_STATIONS 12

typedef struct fake_account {
	unsigned sent;
	unsigned answered;
	unsigned stored_twice;
	unsigned lost;
	unsigned wrong; /* mismatched or unfinished, or refused or never sent
			   but stored */
	unsigned may_have_run;
	unsigned broken_flows;
	unsigned broken_refused;
	unsigned broken_token;
	unsigned broken_error;
	unsigned broken_timeout;
} fake_account_t;

/* Start the stations, which submit until fake_stations_finish(). */
void fake_stations_start(fake_cluster_t *cluster);

/* Wait until every station has this many more readings answered. */
void fake_stations_await(fake_cluster_t *cluster, unsigned readings);

/* Stop the stations and compare their account with the stored readings. */
fake_account_t fake_stations_finish(fake_cluster_t *cluster);

/* Pull two maps; the test fails unless each page arrives and is correct. */
void fake_stations_pull_maps(fake_cluster_t *cluster);

#endif
