#ifndef DY_ADMISSION_STATE_H
#define DY_ADMISSION_STATE_H

/*
 * State of an admission control, used by admission.c (decisions) and
 * admission_wait.c (estimates).
 */

#include "damaskyard/admission.h"
#include "fair_queue.h"
#include "service_time.h"
#include "usage.h"

/* Time until a slot becomes free if the target has no slots. */
#define NEVER_US (1ULL << 60)

#define US_PER_MS 1000
#define PERCENT 100

/* Classes of calls: each has its share of the slot time and of the queue. */
enum { SUBMISSIONS, PULLS, CLASSES };

/* State of an item. */
enum { ENDED, QUEUED, DROPPED, RUNNING };

typedef struct call_class {
	dy_fair_queue_t queue;
	uint32_t percent; /* share of slot time while both wait */
	uint64_t pass_us; /* slot time used, scaled by the share */
	dy_usage_t usage;
	uint64_t standing_since_us; /* start of the standing queue */
} call_class_t;

struct dy_admission {
	dy_admission_config_t config;
	GRand *rand;
	uint64_t now_us;
	uint64_t last_drop_scan_us;
	uint64_t scheduled_until_us; /* retries are scheduled up to here */
	uint64_t last_short_us;
	dy_usage_t short_usage;
	uint32_t suspensions;
	uint32_t in_flight;
	uint32_t long_in_flight;
	dy_list_t running;
	dy_list_t dropped;
	dy_service_times_t times;
	call_class_t classes[CLASSES];
};

/*
 * Returns the expected queue wait of a call with ahead_us of work ahead of it
 * in its class; NEVER_US if there are no slots.
 */
uint64_t dy_admission_wait_us(const dy_admission_t *adm,
			      const call_class_t *class, uint64_t ahead_us,
			      uint64_t now_us);

/*
 * Schedules the retry of a refused caller and returns its delay in ms. The
 * retry comes after the backlog and after the retries of callers refused
 * earlier, at the rate at which the slots work, so that refused callers do not
 * all return at once.
 */
uint32_t dy_admission_schedule_retry_ms(dy_admission_t *adm,
					const dy_admission_item_t *item);

#endif
