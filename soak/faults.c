#include "soak.h"

/* Between two faults, in ms; they overlap. */
#define LEAST_MS 300
#define MOST_MS 1800

/* After a control is back it may be the only one that lacks entries, in ms. */
#define CATCH_UP_MS 6000

/*
 * The shape "herd": every process is killed at once, again after so long, and
 * controls are slow for a while after it: one of them stands still at any time.
 */
#define HERD_MS 10000
#define SLOW_FOR_MS 4000
#define SLOW_PAUSE_MS 120

static uint64_t next_ms;
static uint64_t slow_until_ms;
static uint64_t slow_next_ms;
static uint64_t unplanned_ms;
static uint64_t control_free_ms; /* no control may be lost before */
static uint64_t control_ms;
static uint64_t fabric_calm_ms;

uint64_t faults_unplanned_ms(void)
{
	return unplanned_ms;
}

uint64_t faults_control_ms(void)
{
	return control_ms;
}

static int draw(int most)
{
	return g_rand_int_range(soak.rand, 1, most + 1);
}

static uint64_t draw_ms(int least, int most)
{
	return (uint64_t)g_rand_int_range(soak.rand, least, most);
}

static void fault_control(uint64_t now)
{
	process_t *process = &soak.processes[draw(CONTROLS) - 1];
	uint64_t for_ms = draw_ms(100, 3000);

	if (now < control_free_ms)
		return;
	control_free_ms = now + for_ms + CATCH_UP_MS;
	unplanned_ms = now + for_ms;
	control_ms = unplanned_ms;
	switch (draw(5)) {
	case 1:
		process_kill(process, 0, for_ms);
		break;
	case 2:
		process_kill(process, 1, for_ms);
		break;
	case 3:
		process_kill(process, 2, for_ms);
		break;
	case 4:
		process_pause(process, for_ms);
		break;
	default:
		process_stop(process, for_ms);
	}
}

/* All controls at once; their disks stay. */
static void fault_all_controls(uint64_t now)
{
	int i;

	if (now < control_free_ms)
		return;
	control_free_ms = now + CATCH_UP_MS;
	unplanned_ms = now + 1000;
	control_ms = unplanned_ms;
	for (i = 0; i < CONTROLS; i++)
		process_kill(&soak.processes[i], 0, draw_ms(50, 900));
}

static void fault_member(uint64_t now)
{
	process_t *process = draw(2) == 1 ? process_of_balancer(draw(BALANCERS))
					  : process_of_agent(draw(TARGETS));
	uint64_t for_ms = draw_ms(50, 2500);

	unplanned_ms = MAX(unplanned_ms, now + for_ms);
	if (draw(2) == 1)
		process_kill(process, 0, for_ms);
	else
		process_pause(process, for_ms);
}

static void fault_fabric(uint64_t now)
{
	fabric_calm_ms = now + draw_ms(500, 3000);
	soak.lose = (unsigned)draw(150);
	soak.copy = (unsigned)draw(100);
	soak.delay_ms = (unsigned)draw(120);
}

static void fault_target(uint64_t now)
{
	int number = draw(TARGETS);

	switch (draw(3)) {
	case 1:
		unplanned_ms = MAX(unplanned_ms, now);
		target_crash(number, draw_ms(100, 2000));
		break;
	case 2:
		target_hold_up(number, draw_ms(500, 6000));
		break;
	default:
		target_replace(number);
	}
}

static void kill_all(uint64_t now)
{
	int i;

	soak.faults++;
	next_ms = now + HERD_MS;
	slow_until_ms = now + SLOW_FOR_MS;
	control_ms = slow_until_ms;
	for (i = 0; i < PROCESSES; i++)
		process_kill(&soak.processes[i], 0, draw_ms(50, 700));
}

static void herd_tick(uint64_t now)
{
	if (now < slow_until_ms && now >= slow_next_ms) {
		slow_next_ms = now + SLOW_PAUSE_MS;
		unplanned_ms = now + SLOW_PAUSE_MS;
		process_pause(&soak.processes[draw(CONTROLS) - 1],
			      SLOW_PAUSE_MS);
	}
	if (!soak.quiet && now >= next_ms)
		kill_all(now);
}

void faults_tick(void)
{
	uint64_t now = soak_now_ms();

	if (soak.herd) {
		herd_tick(now);
		return;
	}
	if (now >= fabric_calm_ms)
		soak.lose = soak.copy = soak.delay_ms = 0;
	if (soak.quiet || now < next_ms)
		return;
	next_ms = now + draw_ms(LEAST_MS, MOST_MS);
	soak.faults++;
	switch (draw(8)) {
	case 1:
	case 2:
		fault_control(now);
		break;
	case 3:
		fault_all_controls(now);
		break;
	case 4:
		fault_member(now);
		break;
	case 5:
		process_stop(process_of_balancer(draw(BALANCERS)),
			     draw_ms(4200, 5000));
		break;
	case 6:
		fault_fabric(now);
		break;
	default:
		fault_target(now);
	}
}
