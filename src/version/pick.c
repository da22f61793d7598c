#include "damaskyard/pick.h"

#include <string.h>

/*
 * The share of a service that may be ejected, in percent. More than half gone
 * at once looks like a fault of this balancer's own link.
 */
#define EJECT_MOST_PERCENT 50

/* A refusal against the report takes a quarter of the trust, an answer that
 * fits it gives back 1/32 of what is missing. */
#define TRUST_LOSS_SHIFT 2
#define TRUST_GAIN_SHIFT 5

/* Loads are kept in thousandths of a full target. */
#define FULL 1000
#define HOPELESS (1U << 30)

/*
 * Calls under way count a quarter of connections: they come and go within
 * ms, a flow stays for hours.
 */
#define WORK_PART 4

/*
 * A VM fails most often when it is young (the bathtub curve of "SciSpot:
 * Scientific Computing On Transient Cloud Servers", section 3), so flows that
 * last for hours go to those that have proved themselves, in ms. The price is
 * imbalance while a target warms up.
 */
#define SLOW_START_SAFE_MS 30000
#define SLOW_START_EVEN_MS 3000

/*
 * Only between equals. The fabric sprays a flow's packets over all balancers,
 * so where the one that opened it stands makes no packet's way shorter.
 */
#define LOCAL_PERMILLE 0

/*
 * A wait of a second, the least that callers wait at all, counts as much as
 * all connections taken. Without it a target that stalls while its agent
 * refuses looks like any busy one: all slots taken, nobody waits.
 */
#define FULL_WAIT_MS 1000

/* The trouble that a report tells of halves for each second of its age. */
#define FADE_MS 1000

/*
 * A target that was full is asked again when its report is this old, one
 * opening at a time. Its agent refuses it if it still is, at no harm.
 */
#define ASK_AGAIN_MS 5000

/* What one look over the targets finds. */
typedef struct sample {
	int index[DY_PICK_SAMPLE];
	uint32_t n;
	uint32_t ejected;
} sample_t;

void dy_pick_config_init(dy_pick_config_t *config, dy_pick_priority_t weigh)
{
	config->priority = weigh;
	config->balancers = 1;
	config->domain = 0;
	config->local_bias_permille = LOCAL_PERMILLE;
	config->slow_start_ms = weigh == DY_PICK_AVOID_BROKEN_FLOWS
					? SLOW_START_SAFE_MS
					: SLOW_START_EVEN_MS;
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

/* An ejected target gets one opening at a time once eject_ms have passed. */
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

/* Whether a target that was full is worth an opening to ask again. */
static int may_ask_again(const dy_pick_target_t *target, uint64_t now_ms)
{
	return target->sessions >= target->session_cap && !target->pending &&
	       report_age_ms(target, now_ms) >= ASK_AGAIN_MS;
}

/*
 * Whether this balancer's share of the free connections is not used up. Each
 * may use only its part of what a report showed free, so that all balancers
 * together stay below the cap though none sees what the others send.
 */
static int has_connection(const dy_pick_config_t *config,
			  const dy_pick_target_t *target, GRand *rand,
			  uint64_t now_ms)
{
	uint32_t free_sessions;

	if (target->sessions >= target->session_cap)
		return may_ask_again(target, now_ms);
	free_sessions = target->session_cap - target->sessions;
	if (free_sessions >= config->balancers)
		return target->pending < free_sessions / config->balancers;
	return !target->pending &&
	       g_rand_int_range(rand, 0, (gint32)config->balancers) <
		       (gint32)free_sessions;
}

/*
 * What a report says against a target, beside its flows: calls under way, the
 * wait, and that it should not be trusted.
 */
static uint64_t weigh_trouble(const dy_pick_target_t *target)
{
	uint64_t work = (uint64_t)target->in_flight + target->queued;
	uint64_t distrust = DY_PICK_TRUST_FULL - target->trust;

	return work * FULL / target->slots / WORK_PART +
	       (uint64_t)target->expected_wait_ms * FULL / FULL_WAIT_MS +
	       distrust * FULL / DY_PICK_TRUST_FULL;
}

/*
 * The load in thousandths: lower is better. What a target reports against the
 * evidence of its refusals is not scaled but added to: one that claims no
 * load at all would stay at zero.
 *
 * Trouble fades with the age of its report. A target that is shunned sends no
 * answers to this balancer and so no better report: it would be shunned for
 * good, long after it is well again.
 */
static uint32_t weigh_load(const dy_pick_config_t *config,
			   const dy_pick_target_t *target, uint64_t now_ms)
{
	uint64_t pending = (uint64_t)target->pending * config->balancers;
	uint64_t sessions = target->sessions + pending;
	uint64_t halvings = report_age_ms(target, now_ms) / FADE_MS;
	uint64_t load;

	if (!target->slots || !target->session_cap)
		return HOPELESS;
	if (may_ask_again(target, now_ms))
		return 0;
	load = sessions * FULL / target->session_cap;
	load += weigh_trouble(target) >> MIN(halvings, 63);
	return (uint32_t)MIN(load, HOPELESS);
}

/* All targets where they are few, else as many taken at random. */
static void take_sample(const dy_pick_config_t *config,
			const dy_pick_target_t *targets, size_t n, GRand *rand,
			uint64_t now_ms, sample_t *sample)
{
	uint32_t most = (uint32_t)MIN(n, DY_PICK_SAMPLE);
	uint32_t i;
	int at;

	sample->n = 0;
	sample->ejected = 0;
	for (i = 0; i < most; i++) {
		at = (int)i;
		if (n > DY_PICK_SAMPLE)
			at = g_rand_int_range(rand, 0, (gint32)n);
		if (targets[at].draining)
			continue;
		sample->index[sample->n++] = at;
		sample->ejected +=
			dy_pick_is_ejected(config, &targets[at], now_ms);
	}
}

static void keep_eligible(const dy_pick_config_t *config,
			  const dy_pick_target_t *targets, GRand *rand,
			  uint64_t now_ms, sample_t *sample)
{
	int may_eject = sample->ejected * 100 <= sample->n * EJECT_MOST_PERCENT;
	const dy_pick_target_t *target;
	uint32_t i, kept = 0;

	for (i = 0; i < sample->n; i++) {
		target = &targets[sample->index[i]];
		if (!has_connection(config, target, rand, now_ms))
			continue;
		if (may_eject && dy_pick_is_ejected(config, target, now_ms) &&
		    !may_probe(config, target, now_ms))
			continue;
		sample->index[kept++] = sample->index[i];
	}
	sample->n = kept;
}

/* How warm a target is, in thousandths; a tenth at the least. */
static uint32_t warmth(const dy_pick_config_t *config,
		       const dy_pick_target_t *target, uint64_t now_ms)
{
	uint64_t age = now_ms > target->cold_since_ms
			       ? now_ms - target->cold_since_ms
			       : 0;

	if (age >= config->slow_start_ms)
		return FULL;
	return MAX((uint32_t)(age * FULL / config->slow_start_ms), FULL / 10);
}

/*
 * The better of two: the less loaded, or the local one if they are close. A
 * cold one gives way to one that is warmer, ever more seldom as it warms up;
 * where all are as cold, as after a common start, none gives way, else each
 * flow would go to the more loaded of the two.
 */
static int better_of(const dy_pick_config_t *config,
		     const dy_pick_target_t *targets, int a, int b, GRand *rand,
		     uint64_t now_ms)
{
	uint32_t load_a = weigh_load(config, &targets[a], now_ms);
	uint32_t load_b = weigh_load(config, &targets[b], now_ms);
	uint32_t apart = load_a > load_b ? load_a - load_b : load_b - load_a;
	int local_a = targets[a].domain == config->domain;
	int local_b = targets[b].domain == config->domain;
	int best = load_a <= load_b ? a : b;
	uint32_t warm, other_warm;

	if (apart <= config->local_bias_permille && local_a != local_b)
		best = local_a ? a : b;
	warm = warmth(config, &targets[best], now_ms);
	other_warm = warmth(config, &targets[best == a ? b : a], now_ms);
	if (warm < other_warm &&
	    g_rand_int_range(rand, 0, (gint32)other_warm) >= (gint32)warm)
		best = best == a ? b : a;
	return best;
}

int dy_pick(const dy_pick_config_t *config, const dy_pick_target_t *targets,
	    size_t n, GRand *rand, uint64_t now_ms)
{
	sample_t sample;
	int a, b;

	take_sample(config, targets, n, rand, now_ms, &sample);
	keep_eligible(config, targets, rand, now_ms, &sample);
	if (!sample.n)
		return -1;
	if (sample.n == 1)
		return sample.index[0];
	a = g_rand_int_range(rand, 0, (gint32)sample.n);
	b = g_rand_int_range(rand, 0, (gint32)sample.n - 1);
	if (b >= a)
		b++;
	return better_of(config, targets, sample.index[a], sample.index[b],
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
