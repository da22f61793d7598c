/*
 * What callers receive whose uploads come to a domain of six balancers on small
 * links and one on a large link, which the fabric draws evenly. A model in
 * steps of 1 ms; the limit and the queue are the real ones.
 */

#include <glib.h>

#include "damaskyard/bulk_limit.h"
#include "damaskyard/opening_queue.h"
#include "fake_suite.h"

#define SMALL_BYTES_PER_MS 500
#define LARGE_BYTES_PER_MS 1700
#define SMALL_COUNT 6
#define BALANCERS (SMALL_COUNT + 1)
#define UPLOAD_BYTES 40000
#define AIM_MS 800
#define TICK_MS 100
#define TRIES 3
#define RUN_MS 20000
#define CALLERS_MAX 8192

typedef struct caller {
	uint64_t begun_ms;
	uint64_t ended_ms; /* 0: not served */
	unsigned tries;
	int balancer; /* that carries the upload; -1: none */
	double bytes_left;
} caller_t;

typedef struct model {
	GRand *rand;
	uint64_t wait_ms;
	uint64_t now_ms;
	dy_bulk_limit_t limits[BALANCERS];
	dy_opening_queue_t *queues[BALANCERS];
	caller_t callers[CALLERS_MAX];
	unsigned count;
} model_t;

static unsigned rate(int balancer)
{
	return balancer < SMALL_COUNT ? SMALL_BYTES_PER_MS : LARGE_BYTES_PER_MS;
}

static void begin_upload(model_t *model, unsigned i, int balancer)
{
	model->callers[i].balancer = balancer;
	model->callers[i].bytes_left = UPLOAD_BYTES;
	dy_bulk_limit_begin(&model->limits[balancer]);
}

/* A caller's next try, at the balancer that the fabric draws. */
static void try_upload(model_t *model, unsigned i)
{
	int balancer = g_rand_int_range(model->rand, 0, BALANCERS);
	dy_packet_t packet = { .flow = { i, 0, model->callers[i].tries, 0 } };
	dy_flow_forward_t forward = { .service = "" };

	if (model->callers[i].tries++ == TRIES)
		return;
	if (dy_bulk_limit_allows(&model->limits[balancer], AIM_MS))
		begin_upload(model, i, balancer);
	else
		ck_assert(dy_opening_queue_add_for(
			model->queues[balancer], &forward, &packet,
			model->wait_ms, model->now_ms));
}

static void carry(model_t *model)
{
	unsigned running[BALANCERS];
	caller_t *caller;
	unsigned i;
	int b;

	for (b = 0; b < BALANCERS; b++)
		running[b] = model->limits[b].running;
	for (i = 0; i < model->count; i++) {
		caller = &model->callers[i];
		b = caller->balancer;
		if (b < 0)
			continue;
		caller->bytes_left -= (double)rate(b) / running[b];
		if (caller->bytes_left > 0)
			continue;
		caller->balancer = -1;
		caller->ended_ms = model->now_ms;
		dy_bulk_limit_end(&model->limits[b], UPLOAD_BYTES);
	}
}

static void serve(model_t *model, int b)
{
	dy_opening_t opening;

	while (dy_bulk_limit_allows(&model->limits[b], AIM_MS) &&
	       dy_opening_queue_pop(model->queues[b], &opening))
		begin_upload(model, opening.packet.flow.caller_ip, b);
	if (model->now_ms % TICK_MS)
		return;
	while (dy_opening_queue_pop_expired(model->queues[b], model->now_ms,
					    &opening))
		try_upload(model, opening.packet.flow.caller_ip);
}

static void step(model_t *model, double uploads_per_ms)
{
	int b;

	carry(model);
	for (b = 0; b < BALANCERS; b++)
		serve(model, b);
	if (g_rand_double(model->rand) >= uploads_per_ms)
		return;
	ck_assert_uint_lt(model->count, CALLERS_MAX);
	model->callers[model->count].begun_ms = model->now_ms;
	model->callers[model->count].balancer = -1;
	try_upload(model, model->count++);
}

static double capacity(void)
{
	return (double)(SMALL_COUNT * SMALL_BYTES_PER_MS + LARGE_BYTES_PER_MS) /
	       UPLOAD_BYTES;
}

/* Returns the part of the uploads that end within their aim. */
static double run(double load, uint64_t wait_ms)
{
	model_t *model = g_new0(model_t, 1);
	const caller_t *caller;
	unsigned in_aim = 0;
	double part;
	unsigned i;
	int b;

	model->rand = g_rand_new_with_seed(1);
	model->wait_ms = wait_ms;
	for (b = 0; b < BALANCERS; b++) {
		model->queues[b] = dy_opening_queue_create();
		model->limits[b].bytes_per_s = rate(b) * 1000ull;
		model->limits[b].mean_bytes = UPLOAD_BYTES;
	}
	for (model->now_ms = 1; model->now_ms < RUN_MS; model->now_ms++)
		step(model, load * capacity());
	for (i = 0; i < model->count; i++) {
		caller = &model->callers[i];
		in_aim += caller->ended_ms &&
			  caller->ended_ms - caller->begun_ms <= AIM_MS;
	}
	part = (double)in_aim / model->count;
	for (b = 0; b < BALANCERS; b++)
		dy_opening_queue_destroy(model->queues[b]);
	g_rand_free(model->rand);
	g_free(model);
	return part;
}

/*
 * The large link has room, the small ones have not. Guards against a wait that
 * uses up the aim before a caller's next try finds the large one.
 */
START_TEST(most_uploads_are_in_time_below_the_capacity)
{
	double part = run(0.9, dy_bulk_limit_wait_ms(AIM_MS));

	ck_assert_double_gt(part, 0.85);
	ck_assert_double_gt(part, run(0.9, DY_OPENING_WAIT_MAX_MS) + 0.05);
}
END_TEST

/* Guards against retries that take the places of all others: a collapse. */
START_TEST(overload_leaves_the_capacity_in_use)
{
	ck_assert_double_gt(run(1.1, dy_bulk_limit_wait_ms(AIM_MS)) * 1.1, 0.8);
	ck_assert_double_gt(run(2, dy_bulk_limit_wait_ms(AIM_MS)) * 2, 0.85);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		most_uploads_are_in_time_below_the_capacity,
		overload_leaves_the_capacity_in_use,
		NULL,
	};

	return fake_suite_run("uneven_uploads", tests);
}
