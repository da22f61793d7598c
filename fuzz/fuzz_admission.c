/*
 * Compares admission with an oracle that tracks the state of each call. Asserts
 * after each step:
 * - no more calls run than there were slots when the last one started;
 * - the queue limit holds;
 * - each call has one outcome: none is refused or run again after it was
 *   returned;
 * - the reported load matches.
 * When all calls have finished or expired, none is left.
 */

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "damaskyard/admission.h"

#define CALLS 64
#define QUEUE_LIMIT 4

typedef enum call_state {
	STATE_UNUSED,
	STATE_QUEUED,
	STATE_RUNNING,
	STATE_ENDED
} call_state_t;

typedef struct call {
	dy_admission_item_t item;
	call_state_t state;
} call_t;

typedef struct fuzz {
	const uint8_t *data;
	size_t left;
	dy_admission_t *admission;
	GRand *rand;
	call_t calls[CALLS];
	uint64_t now_us;
	uint32_t slots;
	unsigned running;
	unsigned queued;
} fuzz_t;

#define require(condition)        \
	do {                      \
		if (!(condition)) \
			abort();  \
	} while (0)

static uint8_t read_byte(fuzz_t *fuzz)
{
	if (!fuzz->left)
		return 0;
	fuzz->left--;
	return *fuzz->data++;
}

static call_t *call_of(dy_admission_item_t *item)
{
	return DY_LIST_ITEM(item, call_t, item);
}

static void check_refusal(const dy_admission_refusal_t *refusal)
{
	require(refusal->reason == DY_ADMISSION_LATE ||
		refusal->reason == DY_ADMISSION_FULL);
	require(refusal->retry_after_ms >= 50);
	require(refusal->retry_after_ms <= 30000);
}

static void record_start(fuzz_t *fuzz, call_t *call)
{
	call->state = STATE_RUNNING;
	fuzz->running++;
	require(fuzz->running <= fuzz->slots);
}

static void submit(fuzz_t *fuzz)
{
	call_t *call = &fuzz->calls[read_byte(fuzz) % CALLS];
	uint8_t kind = read_byte(fuzz);
	dy_admission_refusal_t refusal;

	if (call->state == STATE_QUEUED || call->state == STATE_RUNNING)
		return;
	memset(&call->item, 0xa5, sizeof(call->item));
	call->item.caller = kind & 3;
	call->item.key = kind >> 2 & 3;
	call->item.idempotent = kind >> 4 & 1;
	call->item.procedure = kind >> 5;
	call->item.deadline_us = fuzz->now_us + read_byte(fuzz) * 10000ULL;
	if (kind == 255)
		call->item.deadline_us = 0;
	switch (dy_admission_submit(fuzz->admission, &call->item, fuzz->now_us,
				    &refusal)) {
	case DY_ADMISSION_RUN:
		record_start(fuzz, call);
		break;
	case DY_ADMISSION_QUEUED:
		call->state = STATE_QUEUED;
		fuzz->queued++;
		break;
	case DY_ADMISSION_REFUSED:
		check_refusal(&refusal);
		call->state = STATE_ENDED;
		break;
	}
}

static void finish(fuzz_t *fuzz)
{
	call_t *call = &fuzz->calls[read_byte(fuzz) % CALLS];
	int was_running = call->state == STATE_RUNNING;

	if (call->state == STATE_UNUSED)
		return;
	dy_admission_finish(fuzz->admission, &call->item, read_byte(fuzz) % 3,
			    fuzz->now_us);
	if (!was_running)
		return;
	call->state = STATE_ENDED;
	fuzz->running--;
}

static void cancel(fuzz_t *fuzz)
{
	call_t *call = &fuzz->calls[read_byte(fuzz) % CALLS];
	int cancelled;

	if (call->state == STATE_UNUSED)
		return;
	cancelled = dy_admission_cancel(fuzz->admission, &call->item);
	require(cancelled == (call->state == STATE_QUEUED));
	if (!cancelled)
		return;
	call->state = STATE_ENDED;
	fuzz->queued--;
}

static void run_next(fuzz_t *fuzz)
{
	dy_admission_item_t *item;

	item = dy_admission_next(fuzz->admission, fuzz->now_us);
	if (!item)
		return;
	require(call_of(item)->state == STATE_QUEUED);
	fuzz->queued--;
	record_start(fuzz, call_of(item));
}

static int expire(fuzz_t *fuzz)
{
	dy_admission_refusal_t refusal;
	dy_admission_item_t *item;

	item = dy_admission_expire(fuzz->admission, fuzz->now_us, &refusal);
	if (!item)
		return 0;
	require(call_of(item)->state == STATE_QUEUED);
	check_refusal(&refusal);
	call_of(item)->state = STATE_ENDED;
	fuzz->queued--;
	return 1;
}

static void move_clock(fuzz_t *fuzz)
{
	uint8_t byte = read_byte(fuzz);

	if (byte == 255)
		fuzz->now_us += 3600000000ULL;
	else if (byte == 254)
		fuzz->now_us -= MIN(fuzz->now_us, 5000000);
	else
		fuzz->now_us += byte * byte * 10ULL;
}

static void check_load(fuzz_t *fuzz)
{
	dy_admission_load_t load;

	dy_admission_load(fuzz->admission, fuzz->now_us, &load);
	require(load.slots == fuzz->slots);
	require(load.in_flight == fuzz->running);
	require(load.queued <= QUEUE_LIMIT);
	require(load.queued <= fuzz->queued);
}

static void step(fuzz_t *fuzz)
{
	switch (read_byte(fuzz) % 8) {
	case 0:
	case 1:
	case 2:
		submit(fuzz);
		break;
	case 3:
		finish(fuzz);
		break;
	case 4:
		run_next(fuzz);
		break;
	case 5:
		expire(fuzz);
		break;
	case 6:
		move_clock(fuzz);
		break;
	default:
		if (read_byte(fuzz) & 1) {
			cancel(fuzz);
			break;
		}
		fuzz->slots = read_byte(fuzz) % 6;
		dy_admission_set_slots(fuzz->admission, fuzz->slots);
	}
	check_load(fuzz);
}

/* Four hours later, every queued call expires and none is left. */
static void check_end(fuzz_t *fuzz)
{
	unsigned i;

	fuzz->now_us += 4 * 3600000000ULL;
	while (expire(fuzz))
		;
	require(!fuzz->queued);
	for (i = 0; i < CALLS; i++) {
		require(fuzz->calls[i].state != STATE_QUEUED);
		if (fuzz->calls[i].state != STATE_RUNNING)
			continue;
		dy_admission_finish(fuzz->admission, &fuzz->calls[i].item,
				    DY_ADMISSION_ANSWERED, fuzz->now_us);
		fuzz->running--;
	}
	check_load(fuzz);
	require(!dy_admission_next(fuzz->admission, fuzz->now_us));
}

/* libFuzzer requires the name. */
/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	dy_admission_config_t config;
	fuzz_t fuzz = { .data = data, .left = size, .now_us = 1 };

	fuzz.slots = read_byte(&fuzz) % 6;
	dy_admission_config_init(&config, fuzz.slots);
	config.queue_limit = QUEUE_LIMIT;
	config.reserved_short_slots = read_byte(&fuzz) % 3;
	fuzz.rand = g_rand_new_with_seed(1);
	fuzz.admission = dy_admission_create(&config, fuzz.rand);
	while (fuzz.left)
		step(&fuzz);
	check_end(&fuzz);
	dy_admission_destroy(fuzz.admission);
	g_rand_free(fuzz.rand);
	return 0;
}
