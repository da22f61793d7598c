#include "soak.h"

/* Interval between two faults; faults can overlap. */
#define FAULT_INTERVAL_MIN_MS 300
#define FAULT_INTERVAL_MAX_MS 1800

/*
 * Time for a restarted control to catch up with the log. Until then no fault
 * is injected into a control, so that at most one control lacks entries.
 */
#define CATCH_UP_MS 6000

/*
 * The shape "herd" kills all processes at once at this interval. For
 * SLOW_DURATION_MS after each kill it slows the controls down: it pauses random
 * controls, one after the other, for SLOW_PAUSE_MS each.
 */
#define KILL_ALL_INTERVAL_MS 10000
#define SLOW_DURATION_MS 4000
#define SLOW_PAUSE_MS 120

/*
 * The shape "outage" kills all controls at this interval, for a time within the
 * bounds. From some time after that on it stops agents as planned, one after
 * the other, and kills one balancer, which then knows no flow.
 */
#define OUTAGE_INTERVAL_MS 9000
#define OUTAGE_MIN_MS 1500
#define OUTAGE_MAX_MS 4000
#define ROLL_DELAY_MAX_MS 2500
#define ROLL_GAP_MIN_MS 100
#define ROLL_GAP_MAX_MS 600
/* From the signal to the next start: also longer than a lease and its check. */
#define ROLL_RESTART_MIN_MS 900
#define ROLL_RESTART_MAX_MS 9000
/* Of three agents one is stopped again this soon after its start, at most. */
#define ROLL_AGAIN_MAX_MS 1500

static uint64_t next_fault_ms;
static uint64_t slow_until_ms;
static uint64_t next_slow_pause_ms;
static uint64_t next_control_fault_ms; /* no control may fail before it */
static uint64_t control_fault_until_ms;
static uint64_t fabric_fault_until_ms;

uint64_t faults_control_until_ms(void)
{
	return control_fault_until_ms;
}

/* Draws a number from 1 to max. */
static int draw_number(int max)
{
	return g_rand_int_range(soak.rand, 1, max + 1);
}

static uint64_t draw_ms(int min_ms, int max_ms)
{
	return (uint64_t)g_rand_int_range(soak.rand, min_ms, max_ms);
}

static void inject_control_fault(uint64_t now)
{
	process_t *process = &soak.processes[draw_number(CONTROLS) - 1];
	uint64_t duration_ms = draw_ms(100, 3000);

	if (now < next_control_fault_ms)
		return;
	next_control_fault_ms = now + duration_ms + CATCH_UP_MS;
	control_fault_until_ms = now + duration_ms;
	switch (draw_number(5)) {
	case 1:
		process_kill(process, 0, duration_ms);
		break;
	case 2:
		process_kill(process, 1, duration_ms);
		break;
	case 3:
		process_kill(process, 2, duration_ms);
		break;
	case 4:
		process_pause(process, duration_ms);
		break;
	default:
		process_stop(process, duration_ms);
	}
}

/* Kills all controls at once; their disks survive. */
static void kill_all_controls(uint64_t now)
{
	int i;

	if (now < next_control_fault_ms)
		return;
	next_control_fault_ms = now + CATCH_UP_MS;
	control_fault_until_ms = now + 1000;
	for (i = 0; i < CONTROLS; i++)
		process_kill(&soak.processes[i], 0, draw_ms(50, 900));
}

static void inject_member_fault(uint64_t now)
{
	process_t *process =
		draw_number(2) == 1
			? process_of_balancer(draw_number(soak.balancers))
			: process_of_agent(draw_number(soak.targets));
	uint64_t duration_ms = draw_ms(50, 2500);

	if (draw_number(2) == 1)
		process_kill(process, 0, duration_ms);
	else
		process_pause(process, duration_ms);
}

static void inject_fabric_fault(uint64_t now)
{
	fabric_fault_until_ms = now + draw_ms(500, 3000);
	soak.loss_per_mille = (unsigned)draw_number(150);
	soak.duplicate_per_mille = (unsigned)draw_number(100);
	soak.delay_max_ms = (unsigned)draw_number(120);
}

static void inject_target_fault(uint64_t now)
{
	int number = draw_number(soak.targets);

	switch (draw_number(3)) {
	case 1:
		target_crash(number, draw_ms(100, 2000));
		break;
	case 2:
		target_delay_heartbeats(number, draw_ms(500, 6000));
		break;
	default:
		target_replace(number);
	}
}

static void kill_all_processes(uint64_t now)
{
	int i;

	soak.faults++;
	next_fault_ms = now + KILL_ALL_INTERVAL_MS;
	slow_until_ms = now + SLOW_DURATION_MS;
	control_fault_until_ms = slow_until_ms;
	for (i = 0; i < soak.process_count; i++)
		if (soak.processes[i].restart)
			process_kill(&soak.processes[i], 0, draw_ms(50, 700));
}

static void kill_all_tick(uint64_t now)
{
	if (now < slow_until_ms && now >= next_slow_pause_ms) {
		next_slow_pause_ms = now + SLOW_PAUSE_MS;
		process_pause(&soak.processes[draw_number(CONTROLS) - 1],
			      SLOW_PAUSE_MS);
	}
	if (!soak.recovering && now >= next_fault_ms)
		kill_all_processes(now);
}

/* The rolling stop of agents in the shape "outage". */
static struct {
	uint64_t next_ms;
	int left;   /* agents still to stop */
	int number; /* of the last one */
	process_t *again;
	uint64_t again_after_ms; /* since its start */
	uint64_t kill_balancer_ms;
} roll;

static void begin_outage(uint64_t now)
{
	uint64_t duration_ms = draw_ms(OUTAGE_MIN_MS, OUTAGE_MAX_MS);
	int i;

	soak.faults++;
	next_fault_ms = now + OUTAGE_INTERVAL_MS;
	control_fault_until_ms = now + duration_ms;
	for (i = 0; i < CONTROLS; i++)
		process_kill(&soak.processes[i], 0,
			     duration_ms + draw_ms(0, 200));
	roll.next_ms = now + draw_ms(0, ROLL_DELAY_MAX_MS);
	roll.left = draw_number(MAX(soak.targets / 2, 2));
	roll.kill_balancer_ms = now + draw_ms(0, OUTAGE_MAX_MS);
}

static void stop_next_agent(uint64_t now)
{
	process_t *agent;

	roll.left--;
	roll.next_ms = now + draw_ms(ROLL_GAP_MIN_MS, ROLL_GAP_MAX_MS);
	roll.number = roll.number % soak.targets + 1;
	agent = process_of_agent(roll.number);
	soak.faults++;
	process_stop(agent, draw_ms(ROLL_RESTART_MIN_MS, ROLL_RESTART_MAX_MS));
	if (!roll.again && draw_number(3) == 1) {
		roll.again = agent;
		roll.again_after_ms = draw_ms(0, ROLL_AGAIN_MAX_MS);
	}
}

static void stop_again(uint64_t now)
{
	process_t *agent = roll.again;

	if (!agent->pid || agent->exit_expected ||
	    now - agent->last_disruption_ms < roll.again_after_ms)
		return;
	process_stop(agent, draw_ms(ROLL_RESTART_MIN_MS, ROLL_RESTART_MAX_MS));
	roll.again = NULL;
}

static void outage_tick(uint64_t now)
{
	if (roll.again)
		stop_again(now);
	if (roll.left && now >= roll.next_ms)
		stop_next_agent(now);
	if (roll.kill_balancer_ms && now >= roll.kill_balancer_ms) {
		roll.kill_balancer_ms = 0;
		process_kill(process_of_balancer(draw_number(soak.balancers)),
			     0, draw_ms(50, 700));
	}
	if (!soak.recovering && now >= next_fault_ms)
		begin_outage(now);
}

void faults_tick(void)
{
	uint64_t now = soak_now_ms();

	if (soak.shape == SHAPE_HERD) {
		kill_all_tick(now);
		return;
	}
	if (soak.shape == SHAPE_REPLACED) {
		replacements_tick();
		return;
	}
	if (soak.shape == SHAPE_OUTAGE) {
		outage_tick(now);
		return;
	}
	if (now >= fabric_fault_until_ms)
		soak.loss_per_mille = soak.duplicate_per_mille =
			soak.delay_max_ms = 0;
	if (soak.recovering || now < next_fault_ms)
		return;
	next_fault_ms =
		now + draw_ms(FAULT_INTERVAL_MIN_MS, FAULT_INTERVAL_MAX_MS);
	soak.faults++;
	switch (draw_number(8)) {
	case 1:
	case 2:
		inject_control_fault(now);
		break;
	case 3:
		kill_all_controls(now);
		break;
	case 4:
		inject_member_fault(now);
		break;
	case 5:
		process_stop(process_of_balancer(draw_number(soak.balancers)),
			     draw_ms(4200, 5000));
		break;
	case 6:
		inject_fabric_fault(now);
		break;
	default:
		inject_target_fault(now);
	}
}
