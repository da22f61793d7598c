#include "damaskyard/pick.h"

#include <string.h>

/*
 * Largest percentage of a sample that may be ejected. If more than half fail
 * at once, the fault is probably in this balancer's own link.
 */
#define EJECTED_MAX_PERCENT 50

/*
 * A refusal that contradicts the report removes 1/4 of the trust; an answer
 * restores 1/32 of what is missing.
 */
#define TRUST_LOSS_SHIFT 2
#define TRUST_GAIN_SHIFT 5

/* Loads are in thousandths of a full target. */
#define LOAD_FULL 1000
#define LOAD_UNUSABLE (1U << 30)

/*
 * Calls in flight weigh a quarter of connections: calls last milliseconds,
 * flows last hours.
 */
#define CALLS_DIVISOR 4

/*
 * A VM fails most often when it is young (the bathtub curve of "SciSpot:
 * Scientific Computing On Transient Cloud Servers", section 3), so long flows
 * are better placed on older targets. The cost is imbalance while a target
 * warms up, so the slow start is short if imbalance is to be avoided.
 */
#define SLOW_START_LONG_MS 30000
#define SLOW_START_SHORT_MS 3000

/*
 * The own failure domain only breaks ties. The network spreads the packets of
 * a flow over all balancers, so a target close to the one that opened the flow
 * shortens no path.
 */
#define LOCAL_BIAS_PERMILLE 0

/*
 * Expected wait that weighs as much as a full target: 1 s, the shortest
 * timeout of callers. Without it a stalled target whose agent refuses calls
 * looks like any busy one: all slots used, empty queue.
 */
#define FULL_WAIT_MS 1000

/* Half-life of the penalty from a report. */
#define REPORT_HALF_LIFE_MS 1000

/*
 * Age of the report after which a full target is tried again, with one new
 * flow at a time. If it is still full, its agent refuses the flow, which does
 * no harm.
 */
#define FULL_RETRY_MS 5000

/* Indices of the sampled targets. */
typedef struct sample {
	int index[DY_PICK_SAMPLE];
	uint32_t n;
	uint32_t ejected;
} sample_t;

void dy_pick_config_init(dy_pick_config_t *config, dy_pick_priority_t priority)
{
	config->priority = priority;
	config->balancers = 1;
	config->domain = 0;
	config->local_bias_permille = LOCAL_BIAS_PERMILLE;
	config->slow_start_ms = priority == DY_PICK_AVOID_BROKEN_FLOWS
					? SLOW_START_LONG_MS
					: SLOW_START_SHORT_MS;
	config->stall_ms = 1000;
	config->eject_failures = 3;
	config->eject_ms = 2000;
}

void dy_pick_target_init(dy_pick_target_t *target, uint16_t domain,
			 uint16_t slots, uint32_t session_cap,
			 uint64_t cold_since_ms)
{
	memset(target, 0, sizeof(*target));
	target->domain = domain;
	target->slots = slots;
	target->session_cap = session_cap;
	target->cold_since_ms = cold_since_ms;
	target->trust = DY_PICK_TRUST_FULL;
}

int dy_pick_is_ejected(const dy_pick_config_t *config,
		       const dy_pick_target_t *target, uint64_t now_ms)
{
	if (target->first_unanswered_ms &&
	    now_ms > target->first_unanswered_ms + config->stall_ms)
		return 1;
	return target->failures >= config->eject_failures;
}

/* An ejected target gets one new flow at a time after eject_ms. */
static int may_probe(const dy_pick_config_t *config,
		     const dy_pick_target_t *target, uint64_t now_ms)
{
	uint64_t since = MAX(target->failed_ms, target->first_unanswered_ms);

	return !target->pending && now_ms >= since + config->eject_ms;
}

static uint64_t report_age_ms(const dy_pick_target_t *target, uint64_t now_ms)
{
	return now_ms > target->report_ms ? now_ms - target->report_ms : 0;
}

static int may_retry_full(const dy_pick_target_t *target, uint64_t now_ms)
{
	return target->sessions >= target->session_cap && !target->pending &&
	       report_age_ms(target, now_ms) >= FULL_RETRY_MS;
}

/*
 * Returns whether this balancer's share of the free connections is not used
 * up. Each balancer uses only its share of the connections that a report
 * showed free, so all of them together stay below the cap although none sees
 * the flows of the others.
 */
static int has_free_connection(const dy_pick_config_t *config,
			       const dy_pick_target_t *target, GRand *rand,
			       uint64_t now_ms)
{
	uint32_t free_sessions;

	if (target->sessions >= target->session_cap)
		return may_retry_full(target, now_ms);
	free_sessions = target->session_cap - target->sessions;
	if (free_sessions >= config->balancers)
		return target->pending < free_sessions / config->balancers;
	return !target->pending &&
	       g_rand_int_range(rand, 0, (gint32)config->balancers) <
		       (gint32)free_sessions;
}

/*
 * Returns the load from a report other than connections: calls in flight,
 * expected wait, and missing trust.
 */
static uint64_t report_penalty(const dy_pick_target_t *target)
{
	uint64_t work = (uint64_t)target->in_flight + target->queued;
	uint64_t trust_deficit = DY_PICK_TRUST_FULL - target->trust;

	return work * LOAD_FULL / target->slots / CALLS_DIVISOR +
	       (uint64_t)target->expected_wait_ms * LOAD_FULL / FULL_WAIT_MS +
	       trust_deficit * LOAD_FULL / DY_PICK_TRUST_FULL;
}

/*
 * Returns the load in thousandths; lower is better. Missing trust is added to
 * the reported load instead of scaling it, since a target that reports no load
 * at all would stay at zero.
 *
 * The penalty decays with the age of the report. A target that is avoided
 * sends no answers to this balancer, and so no better report, and would be
 * avoided long after it has recovered.
 */
static uint32_t compute_load(const dy_pick_config_t *config,
			     const dy_pick_target_t *target, uint64_t now_ms)
{
	uint64_t pending = (uint64_t)target->pending * config->balancers;
	uint64_t sessions = target->sessions + pending;
	uint64_t half_lives =
		report_age_ms(target, now_ms) / REPORT_HALF_LIFE_MS;
	uint64_t load;

	if (!target->slots || !target->session_cap)
		return LOAD_UNUSABLE;
	if (may_retry_full(target, now_ms))
		return 0;
	load = sessions * LOAD_FULL / target->session_cap;
	load += report_penalty(target) >> MIN(half_lives, 63);
	return (uint32_t)MIN(load, LOAD_UNUSABLE);
}

/* Samples all targets if they are few, else DY_PICK_SAMPLE at random. */
static void draw_sample(const dy_pick_config_t *config,
			const dy_pick_target_t *targets, size_t n, GRand *rand,
			uint64_t now_ms, sample_t *sample)
{
	uint32_t size = (uint32_t)MIN(n, DY_PICK_SAMPLE);
	uint32_t i;
	int pos;

	sample->n = 0;
	sample->ejected = 0;
	for (i = 0; i < size; i++) {
		pos = (int)i;
		if (n > DY_PICK_SAMPLE)
			pos = g_rand_int_range(rand, 0, (gint32)n);
		if (targets[pos].draining)
			continue;
		sample->index[sample->n++] = pos;
		sample->ejected +=
			dy_pick_is_ejected(config, &targets[pos], now_ms);
	}
}

static void filter_eligible(const dy_pick_config_t *config,
			    const dy_pick_target_t *targets, GRand *rand,
			    uint64_t now_ms, sample_t *sample)
{
	int may_eject =
		sample->ejected * 100 <= sample->n * EJECTED_MAX_PERCENT;
	const dy_pick_target_t *target;
	uint32_t i, kept = 0;

	for (i = 0; i < sample->n; i++) {
		target = &targets[sample->index[i]];
		if (!has_free_connection(config, target, rand, now_ms))
			continue;
		if (may_eject && dy_pick_is_ejected(config, target, now_ms) &&
		    !may_probe(config, target, now_ms))
			continue;
		sample->index[kept++] = sample->index[i];
	}
	sample->n = kept;
}

/* Returns the progress of the slow start in thousandths, at least 100. */
static uint32_t slow_start_permille(const dy_pick_config_t *config,
				    const dy_pick_target_t *target,
				    uint64_t now_ms)
{
	uint64_t age = now_ms > target->cold_since_ms
			       ? now_ms - target->cold_since_ms
			       : 0;

	if (age >= config->slow_start_ms)
		return LOAD_FULL;
	return MAX((uint32_t)(age * LOAD_FULL / config->slow_start_ms),
		   LOAD_FULL / 10);
}

/*
 * Returns the better of two targets: the less loaded one, or the local one if
 * their loads are close. In slow start it loses against a warmer target, with
 * a probability that falls as it warms up. If both are equally cold, as after
 * a common start, it does not, or each flow would go to the more loaded one.
 */
static int choose_better(const dy_pick_config_t *config,
			 const dy_pick_target_t *targets, int a, int b,
			 GRand *rand, uint64_t now_ms)
{
	uint32_t load_a = compute_load(config, &targets[a], now_ms);
	uint32_t load_b = compute_load(config, &targets[b], now_ms);
	uint32_t difference =
		load_a > load_b ? load_a - load_b : load_b - load_a;
	int local_a = targets[a].domain == config->domain;
	int local_b = targets[b].domain == config->domain;
	int best = load_a <= load_b ? a : b;
	uint32_t ramp, other_ramp;

	if (difference <= config->local_bias_permille && local_a != local_b)
		best = local_a ? a : b;
	ramp = slow_start_permille(config, &targets[best], now_ms);
	other_ramp = slow_start_permille(config, &targets[best == a ? b : a],
					 now_ms);
	if (ramp < other_ramp &&
	    g_rand_int_range(rand, 0, (gint32)other_ramp) >= (gint32)ramp)
		best = best == a ? b : a;
	return best;
}

int dy_pick(const dy_pick_config_t *config, const dy_pick_target_t *targets,
	    size_t n, GRand *rand, uint64_t now_ms)
{
	sample_t sample;
	int a, b;

	draw_sample(config, targets, n, rand, now_ms, &sample);
	filter_eligible(config, targets, rand, now_ms, &sample);
	if (!sample.n)
		return -1;
	if (sample.n == 1)
		return sample.index[0];
	a = g_rand_int_range(rand, 0, (gint32)sample.n);
	b = g_rand_int_range(rand, 0, (gint32)sample.n - 1);
	if (b >= a)
		b++;
	return choose_better(config, targets, sample.index[a], sample.index[b],
			     rand, now_ms);
}

void dy_pick_note_call(dy_pick_target_t *target, uint64_t now_ms)
{
	if (!target->first_unanswered_ms)
		target->first_unanswered_ms = now_ms ? now_ms : 1;
}

void dy_pick_note_opening(dy_pick_target_t *target, uint64_t now_ms)
{
	target->pending++;
	dy_pick_note_call(target, now_ms);
}

void dy_pick_note_dropped_opening(dy_pick_target_t *target)
{
	if (target->pending)
		target->pending--;
	if (!target->pending)
		target->first_unanswered_ms = 0;
}

void dy_pick_note_answer(dy_pick_target_t *target,
			 const dy_pick_report_t *report, int opened,
			 uint64_t now_ms)
{
	if (opened && target->pending)
		target->pending--;
	target->first_unanswered_ms = target->pending ? now_ms : 0;
	target->failures = 0;
	target->trust += (DY_PICK_TRUST_FULL - target->trust +
			  (1 << TRUST_GAIN_SHIFT) - 1) >>
			 TRUST_GAIN_SHIFT;
	if (!report)
		return;
	target->slots = report->slots;
	target->in_flight = report->in_flight;
	target->queued = report->queued;
	target->sessions = report->sessions;
	target->expected_wait_ms = report->expected_wait_ms;
	target->report_ms = now_ms;
}

void dy_pick_note_refusal(dy_pick_target_t *target)
{
	if (target->in_flight >= target->slots || target->queued ||
	    target->sessions >= target->session_cap)
		return;
	target->trust -= target->trust >> TRUST_LOSS_SHIFT;
}

void dy_pick_note_failure(dy_pick_target_t *target, int opened, uint64_t now_ms)
{
	if (opened && target->pending)
		target->pending--;
	if (target->failures < UINT16_MAX)
		target->failures++;
	target->failed_ms = now_ms;
	target->first_unanswered_ms = 0;
}
