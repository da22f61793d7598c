#include "damaskyard/burn.h"

#include <string.h>

#include <glib.h>

#define MINUTE_MS (60 * UINT64_C(1000))

/*
 * Two ring buffers: one-minute buckets for the short windows, half-hour
 * buckets for the long ones.
 */
#define FINE_MS MINUTE_MS
#define FINE_BUCKETS 61
#define COARSE_MS (30 * MINUTE_MS)
#define COARSE_BUCKETS 145

typedef struct bucket {
	uint64_t period_index; /* time divided by the bucket's duration */
	dy_tally_t tally;
} bucket_t;

struct dy_burn {
	bucket_t fine[FINE_BUCKETS];
	bucket_t coarse[COARSE_BUCKETS];
};

typedef struct window_spec {
	const char *name;
	int coarse;
	unsigned periods;
} window_spec_t;

static const window_spec_t window_specs[DY_WINDOWS] = {
	[DY_WINDOW_5M] = { "5m", 0, 5 },
	[DY_WINDOW_1H] = { "1h", 0, 60 },
	[DY_WINDOW_6H] = { "6h", 1, 12 },
	[DY_WINDOW_3D] = { "3d", 1, 144 },
};

dy_burn_t *dy_burn_create(void)
{
	return g_new0(dy_burn_t, 1);
}

void dy_burn_destroy(dy_burn_t *burn)
{
	g_free(burn);
}

static void add_to_ring(bucket_t *ring, unsigned buckets, uint64_t period,
			dy_outcome_t outcome)
{
	bucket_t *bucket = &ring[period % buckets];

	if (bucket->period_index != period) {
		memset(bucket, 0, sizeof(*bucket));
		bucket->period_index = period;
	}
	bucket->tally.counts[outcome]++;
}

void dy_burn_add(dy_burn_t *burn, dy_outcome_t outcome, uint64_t now_ms)
{
	add_to_ring(burn->fine, FINE_BUCKETS, now_ms / FINE_MS, outcome);
	add_to_ring(burn->coarse, COARSE_BUCKETS, now_ms / COARSE_MS, outcome);
}

static void add_tally(dy_tally_t *sum, const dy_tally_t *tally)
{
	int i;

	for (i = 0; i < DY_OUTCOMES; i++)
		sum->counts[i] += tally->counts[i];
}

/*
 * The current, incomplete period counts as one of the window's periods, so
 * that a window is not empty right after the start.
 */
void dy_burn_sum_window(dy_burn_t *burn, dy_window_t window, uint64_t now_ms,
			dy_tally_t *tally)
{
	const window_spec_t *spec = &window_specs[window];
	bucket_t *ring = spec->coarse ? burn->coarse : burn->fine;
	unsigned buckets = spec->coarse ? COARSE_BUCKETS : FINE_BUCKETS;
	uint64_t last = now_ms / (spec->coarse ? COARSE_MS : FINE_MS);
	unsigned i;

	memset(tally, 0, sizeof(*tally));
	for (i = 0; i < buckets; i++)
		if (ring[i].period_index <= last &&
		    last - ring[i].period_index < spec->periods)
			add_tally(tally, &ring[i].tally);
}

uint64_t dy_tally_total(const dy_tally_t *tally)
{
	uint64_t total = 0;
	int i;

	for (i = 0; i < DY_OUTCOMES; i++)
		total += tally->counts[i];
	return total;
}

double dy_tally_burn_rate(const dy_tally_t *tally, double objective)
{
	uint64_t total = dy_tally_total(tally);
	uint64_t failed = total - tally->counts[DY_OUTCOME_GOOD];

	if (!total)
		return 0;
	return (double)failed / (double)total / (1 - objective / 100);
}

const char *dy_outcome_name(dy_outcome_t outcome)
{
	static const char *const names[DY_OUTCOMES] = {
		"good", "late", "refused", "may_have_run", "broken_flow",
	};

	return names[outcome];
}

const char *dy_window_name(dy_window_t window)
{
	return window_specs[window].name;
}

static void publish_window(dy_metrics_t *metrics, const char *service,
			   dy_window_t window, const dy_tally_t *tally)
{
	char name[128];
	int i;

	for (i = 0; i < DY_OUTCOMES; i++) {
		g_snprintf(name, sizeof(name), "burn_%s_%s:%s",
			   dy_window_name(window),
			   dy_outcome_name((dy_outcome_t)i), service);
		*dy_metrics_counter(metrics, g_intern_string(name)) =
			tally->counts[i];
	}
}

void dy_burn_publish(dy_burn_t *burn, dy_metrics_t *metrics,
		     const char *service, uint64_t now_ms)
{
	dy_tally_t tally;
	int i;

	for (i = 0; i < DY_WINDOWS; i++) {
		dy_burn_sum_window(burn, (dy_window_t)i, now_ms, &tally);
		publish_window(metrics, service, (dy_window_t)i, &tally);
	}
}
