#ifndef TESTS_FAKE_STATIONS_H
#define TESTS_FAKE_STATIONS_H

/* The stations of a fake cluster, and what became of their readings. */

#include "fake_cluster.h"

#define FAKE_STATIONS 12

typedef struct fake_account {
	unsigned sent;
	unsigned answered;
	unsigned doubled;
	unsigned lost;
	unsigned wrong; /* wrong answers; refused or never sent, yet stored */
	unsigned may_have_run;
	unsigned broken;
	unsigned broken_refused;
	unsigned broken_token;
	unsigned broken_error;
	unsigned broken_timeout;
} fake_account_t;

/* Start the stations, which submit until fake_stations_finish(). */
void fake_stations_start(fake_cluster_t *cluster);

/* Wait until every station had so many more readings answered. */
void fake_stations_await(fake_cluster_t *cluster, unsigned readings);

/* Let the stations end, and hold their account against the targets'. */
fake_account_t fake_stations_finish(fake_cluster_t *cluster);

/* Pull maps, each page of which must come and be right. */
void fake_stations_pull_maps(fake_cluster_t *cluster);

#endif
