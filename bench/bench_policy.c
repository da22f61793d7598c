/*
 * Measures the time of one decision: a pick among 110,000 targets behind
 * 34,000 addresses, and a call through admission with an empty and with a full
 * queue. Prints rows of key=value; times depend on the hardware.
 */

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "damaskyard/admission.h"
#include "damaskyard/pick.h"

#define TARGETS 110000
#define ADDRESSES 34000
#define PICKS 2000000
#define LARGE_SERVICE 5000
#define CALLS 1000000
#define SLOTS 7
#define ITEMS 512
#define SESSION_CAP 2000
#define NOW_MS 3600000

static double elapsed_ns(gint64 start_us, double times)
{
	return (double)(g_get_monotonic_time() - start_us) * 1000 / times;
}

static dy_pick_target_t *create_targets(GRand *rand)
{
	dy_pick_target_t *targets = g_new(dy_pick_target_t, TARGETS);
	int i;

	for (i = 0; i < TARGETS; i++) {
		dy_pick_target_init(&targets[i], (uint16_t)(i % 14), SLOTS,
				    SESSION_CAP, 0);
		targets[i].sessions = g_rand_int_range(rand, 0, SESSION_CAP);
		targets[i].in_flight = g_rand_int_range(rand, 0, SLOTS);
	}
	return targets;
}

/* main() uses 3 targets per address, as 110,000 / 34,000 is 3.2. */
static void bench_pick(const char *name, uint32_t addresses, size_t per_address)
{
	GRand *rand = g_rand_new_with_seed(1);
	dy_pick_target_t *targets = create_targets(rand);
	dy_pick_config_t config;
	uint64_t at;
	gint64 start;
	int i, none = 0;

	dy_pick_config_init(&config, DY_PICK_AVOID_BROKEN_FLOWS);
	config.balancers = 8;
	start = g_get_monotonic_time();
	for (i = 0; i < PICKS; i++) {
		at = (uint64_t)g_rand_int_range(rand, 0, (gint32)addresses);
		at = at * (TARGETS - per_address) / addresses;
		none += dy_pick(&config, &targets[at], per_address, rand,
				NOW_MS) < 0;
	}
	printf("pick case=%s targets=%d addresses=%u each=%zu picks=%d "
	       "none=%d ns_per_pick=%.0f bytes_per_target=%zu\n",
	       name, TARGETS, addresses, per_address, PICKS, none,
	       elapsed_ns(start, PICKS), sizeof(dy_pick_target_t));
	g_free(targets);
	g_rand_free(rand);
}

static void init_item(dy_admission_item_t *item, uint32_t number)
{
	item->caller = number % 2000;
	item->key = number % 300;
	item->deadline_us = 0;
	item->procedure = number % 2;
	item->idempotent = number % 2;
}

typedef struct bench {
	dy_admission_t *admission;
	GRand *rand;
	dy_admission_item_t *items;
	GQueue idle; /* neither queued nor running */
	GQueue running;
	uint64_t now_us;
} bench_t;

static void submit_one(bench_t *bench, uint32_t number)
{
	dy_admission_item_t *item = g_queue_pop_head(&bench->idle);
	dy_admission_refusal_t refusal;

	init_item(item, number);
	switch (dy_admission_submit(bench->admission, item, bench->now_us,
				    &refusal)) {
	case DY_ADMISSION_RUN:
		g_queue_push_tail(&bench->running, item);
		break;
	case DY_ADMISSION_REFUSED:
		g_queue_push_tail(&bench->idle, item);
		break;
	case DY_ADMISSION_QUEUED:
		break;
	}
	while ((item = dy_admission_expire(bench->admission, bench->now_us,
					   &refusal)))
		g_queue_push_tail(&bench->idle, item);
}

static void finish_one(bench_t *bench)
{
	dy_admission_item_t *item = g_queue_pop_head(&bench->running);

	dy_admission_finish(bench->admission, item, DY_ADMISSION_ANSWERED,
			    bench->now_us);
	g_queue_push_tail(&bench->idle, item);
	while ((item = dy_admission_next(bench->admission, bench->now_us)))
		g_queue_push_tail(&bench->running, item);
}

/* Times calls while up to `outstanding` others are queued or running. */
static void bench_admission(const char *name, uint32_t outstanding)
{
	bench_t bench = { .now_us = 1000000 };
	dy_admission_config_t config;
	dy_admission_load_t load;
	uint32_t i;
	gint64 start;

	dy_admission_config_init(&config, SLOTS);
	config.default_budget_us = 1000000000;
	bench.rand = g_rand_new_with_seed(1);
	bench.admission = dy_admission_create(&config, bench.rand);
	bench.items = g_new0(dy_admission_item_t, ITEMS);
	g_queue_init(&bench.idle);
	g_queue_init(&bench.running);
	for (i = 0; i < ITEMS; i++)
		g_queue_push_tail(&bench.idle, &bench.items[i]);
	start = g_get_monotonic_time();
	for (i = 0; i < CALLS; i++, bench.now_us += 100) {
		submit_one(&bench, i);
		dy_admission_load(bench.admission, bench.now_us, &load);
		if (load.queued + load.in_flight > outstanding &&
		    load.in_flight)
			finish_one(&bench);
	}
	printf("admission case=%s slots=%d waiting=%u calls=%d "
	       "ns_per_call=%.0f\n",
	       name, SLOTS, load.queued, CALLS, elapsed_ns(start, CALLS));
	dy_admission_destroy(bench.admission);
	g_queue_clear(&bench.idle);
	g_queue_clear(&bench.running);
	g_rand_free(bench.rand);
	g_free(bench.items);
}

int main(void)
{
	bench_pick("target-size", ADDRESSES, 3);
	bench_pick("large-service", 1, LARGE_SERVICE);
	bench_admission("idle", 0);
	bench_admission("busy", SLOTS + 32);
	bench_admission("full", SLOTS + 250);
	return EXIT_SUCCESS;
}
