#ifndef DY_ADMISSION_STATE_H
#define DY_ADMISSION_STATE_H

/* What admission.c decides on and admission_wait.c estimates from. */

#include "damaskyard/admission.h"
#include "fair_queue.h"
#include "service_time.h"
#include "usage.h"

/* The first time a slot comes free when the target has none. */
#define NEVER_US (1ULL << 60)

#define US_PER_MS 1000
#define PERCENT 100

/* The lanes: each has its share of the slot time and of the queue. */
enum { SUBMISSIONS, PULLS, LANES };

/* The state of an item. */
enum { ENDED, QUEUED, GIVEN_UP, RUNNING };

typedef struct lane {
	dy_fair_lane_t fair;
	uint32_t percent; /* share of the slot time while both lanes wait */
	uint64_t pass_us; /* slot time had, scaled by the share */
	dy_usage_t usage;
	uint64_t waiting_since_us; /* all have waited long since then */
} lane_t;

struct dy_admission {
	dy_admission_config_t config;
	GRand *rand;
	uint64_t now_us;
	uint64_t projected_us;
	uint64_t booked_us; /* retry times are given out up to here */
	uint64_t last_short_us;
	dy_usage_t short_usage;
	uint32_t freezes;
	uint32_t in_flight;
	uint32_t long_in_flight;
	dy_list_t running;
	dy_list_t given_up;
	dy_service_times_t times;
	lane_t lanes[LANES];
};

/*
 * The expected wait of a call that has ahead_us of work before it in its
 * lane; NEVER_US if there are no slots.
 */
uint64_t dy_admission_wait_us(const dy_admission_t *adm, const lane_t *lane,
			      uint64_t ahead_us, uint64_t now_us);

/*
 * When a refused caller should come back: each is booked behind the backlog
 * and behind those refused before it, at the rate at which the slots work. So
 * a refused crowd comes back spread out, and not all at the same time.
 */
uint32_t dy_admission_book_retry_ms(dy_admission_t *adm,
				    const dy_admission_item_t *item);

#endif
