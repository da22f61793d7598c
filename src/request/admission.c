#include "damaskyard/admission.h"

#include "admission_state.h"

/*
 * Short calls are "about" for this long after the newest one. At a handful a
 * second the reserved slot stays; where only long calls come it is soon
 * theirs again.
 */
#define SHORT_RECENT_US 2000000

/*
 * The owner calls at least every 50 ms while calls run: 20 times that without
 * a call means that the process or its VM stood still.
 */
#define FREEZE_US 1000000

/*
 * A look at the whole queue costs some 10 us; the times to hold a call are
 * hundreds of ms.
 */
#define PROJECT_EVERY_US 10000

/* The longest wait that is reported, in milliseconds it fits 32 bits. */
#define WAIT_MOST_US 3600000000ULL

/*
 * A lane of which each call has waited longer than this, for as long as that,
 * is overloaded and not in a burst: its queue then adds to each wait and
 * nothing to the goodput (as in CoDel, RFC 8289).
 */
#define STANDING_WAIT_US 5000
#define STANDING_US 1000000

/*
 * A call is queued only if it is expected to wait this part of the time that
 * it may be held, in percent: what is refused is refused at once, and seldom
 * after it has waited.
 */
#define QUEUE_MARGIN_PERCENT 75

void dy_admission_config_init(dy_admission_config_t *config, uint32_t slots)
{
	config->slots = slots;
	config->queue_limit = 256;
	config->default_budget_us = 5000000;
	config->queue_wait_percent = 50;
	config->standing_queue_wait_percent = 12;
	config->initial_estimate_us = 5000;
	config->submission_percent = 90;
	config->reserved_short_slots = 1;
	config->retry_min_ms = 50;
	config->retry_max_ms = 30000;
}

dy_admission_t *dy_admission_create(const dy_admission_config_t *config,
				    GRand *rand)
{
	dy_admission_t *adm = g_new0(dy_admission_t, 1);
	uint32_t submissions = CLAMP(config->submission_percent, 1, 99);
	uint64_t seed = (uint64_t)g_rand_int(rand) << 32 | g_rand_int(rand);

	adm->config = *config;
	adm->rand = rand;
	dy_list_init(&adm->running);
	dy_list_init(&adm->given_up);
	dy_service_times_init(&adm->times, config->initial_estimate_us);
	dy_fair_lane_init(&adm->lanes[SUBMISSIONS].fair, seed);
	dy_fair_lane_init(&adm->lanes[PULLS].fair, seed);
	adm->lanes[SUBMISSIONS].percent = submissions;
	adm->lanes[PULLS].percent = PERCENT - submissions;
	return adm;
}

void dy_admission_destroy(dy_admission_t *adm)
{
	g_free(adm);
}

/*
 * A clock that goes back stands still. A long gap while calls run is a frozen
 * process: what ran across it took longer than the target did, and learning
 * that would refuse all calls after the thaw.
 */
static void advance_clock(dy_admission_t *adm, uint64_t now_us)
{
	if (now_us <= adm->now_us)
		return;
	if (adm->in_flight && now_us - adm->now_us > FREEZE_US)
		adm->freezes++;
	adm->now_us = now_us;
}

static lane_t *lane_of(dy_admission_t *adm, const dy_admission_item_t *item)
{
	return &adm->lanes[item->idempotent ? PULLS : SUBMISSIONS];
}

static uint32_t count_queued(const dy_admission_t *adm)
{
	return adm->lanes[SUBMISSIONS].fair.count +
	       adm->lanes[PULLS].fair.count;
}

static dy_admission_outcome_t refuse(dy_admission_t *adm,
				     dy_admission_item_t *item,
				     dy_admission_reason_t reason,
				     dy_admission_refusal_t *refusal)
{
	item->state = ENDED;
	item->reason = reason;
	refusal->reason = reason;
	refusal->retry_after_ms = dy_admission_book_retry_ms(adm, item);
	return DY_ADMISSION_REFUSED;
}

static void give_up(dy_admission_t *adm, dy_admission_item_t *item,
		    dy_admission_reason_t reason)
{
	dy_fair_lane_remove(&lane_of(adm, item)->fair, item);
	item->state = GIVEN_UP;
	item->reason = reason;
	dy_list_append(&adm->given_up, &item->link);
}

/*
 * How long a call may be held, in percent of the time to its deadline. What
 * is refused among submissions must come again, pulls need not: only these
 * are held for less while their queue stands.
 */
static uint32_t hold_percent(const dy_admission_t *adm, const lane_t *lane)
{
	if (lane == &adm->lanes[PULLS] && lane->fair.count &&
	    adm->now_us - lane->waiting_since_us > STANDING_US)
		return adm->config.standing_queue_wait_percent;
	return adm->config.queue_wait_percent;
}

static void prepare(dy_admission_t *adm, dy_admission_item_t *item)
{
	lane_t *lane = lane_of(adm, item);
	uint64_t budget;

	dy_list_init(&item->link);
	item->reason = DY_ADMISSION_ACCEPTED;
	item->submitted_us = adm->now_us;
	item->cost_us = dy_service_times_mean(&adm->times, item->procedure);
	item->is_long = dy_service_times_is_long(&adm->times, item->procedure);
	item->effective_deadline_us = item->deadline_us;
	if (!item->effective_deadline_us)
		item->effective_deadline_us =
			adm->now_us + adm->config.default_budget_us;
	budget = item->effective_deadline_us > adm->now_us
			 ? item->effective_deadline_us - adm->now_us
			 : 0;
	item->queue_deadline_us =
		adm->now_us + budget * hold_percent(adm, lane) / PERCENT;
	if (!item->is_long)
		adm->last_short_us = adm->now_us;
	dy_fair_lane_place(&lane->fair, item);
}

static int is_too_late(const dy_admission_t *adm,
		       const dy_admission_item_t *item)
{
	uint64_t needs = dy_service_times_cautious(&adm->times, item->procedure,
						   adm->now_us);

	return adm->now_us + MAX(needs, 1) > item->effective_deadline_us;
}

/*
 * Long calls leave slots to short ones while these are about: as many as the
 * short ones kept busy of late and short_slots more, up to half of the slots.
 */
static uint32_t open_to_long(const dy_admission_t *adm)
{
	uint32_t slots = adm->config.slots;
	uint64_t busy = dy_usage_read(&adm->short_usage, adm->now_us);
	uint64_t reserved =
		adm->config.reserved_short_slots + busy / DY_USAGE_US;

	if (!adm->config.reserved_short_slots ||
	    adm->now_us - adm->last_short_us > SHORT_RECENT_US)
		return slots;
	reserved = MIN(reserved, slots / 2);
	return slots - (uint32_t)reserved;
}

static int has_slot(const dy_admission_t *adm, const dy_admission_item_t *item)
{
	if (adm->in_flight >= adm->config.slots)
		return 0;
	return !item->is_long || adm->long_in_flight < open_to_long(adm);
}

/* The first call of a lane that can take a slot now. */
static dy_admission_item_t *find_ready(dy_admission_t *adm, lane_t *lane)
{
	dy_admission_item_t *item;
	dy_list_t *pos, *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &lane->fair.items)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (is_too_late(adm, item))
			give_up(adm, item, DY_ADMISSION_LATE);
		else if (has_slot(adm, item))
			return item;
	}
	return NULL;
}

static void start(dy_admission_t *adm, lane_t *lane, dy_admission_item_t *item)
{
	item->state = RUNNING;
	item->started_us = adm->now_us;
	item->freezes = adm->freezes;
	dy_list_append(&adm->running, &item->link);
	adm->in_flight++;
	adm->long_in_flight += item->is_long;
	lane->pass_us += item->cost_us * PERCENT / lane->percent;
	dy_usage_add(&lane->usage, item->cost_us, adm->now_us);
	if (!item->is_long)
		dy_usage_add(&adm->short_usage, item->cost_us, adm->now_us);
}

/* A lane that had nothing to do saves up no share for later. */
static void join_lane(dy_admission_t *adm, lane_t *lane)
{
	uint64_t pass_us = UINT64_MAX;
	int i;

	if (lane->fair.count)
		return;
	for (i = 0; i < LANES; i++)
		if (adm->lanes[i].fair.count)
			pass_us = MIN(pass_us, adm->lanes[i].pass_us);
	if (pass_us != UINT64_MAX && pass_us > lane->pass_us)
		lane->pass_us = pass_us;
}

/*
 * Make room for an item at a full queue: by the last of the other lane, if
 * that one has more than its share of the queue; else by the last of its own
 * lane, if the item's turn comes before. So one caller that fills the queue
 * takes no place from others.
 */
static int make_room(dy_admission_t *adm, lane_t *lane,
		     const dy_admission_item_t *item)
{
	lane_t *other = lane == &adm->lanes[PULLS] ? &adm->lanes[SUBMISSIONS]
						   : &adm->lanes[PULLS];
	uint32_t share = adm->config.queue_limit * lane->percent / PERCENT;
	dy_admission_item_t *last;

	if (count_queued(adm) < adm->config.queue_limit)
		return 1;
	if (lane->fair.count < share && other->fair.count) {
		last = DY_LIST_ITEM(other->fair.items.prev, dy_admission_item_t,
				    link);
		give_up(adm, last, DY_ADMISSION_FULL);
		return 1;
	}
	if (!lane->fair.count)
		return 0;
	last = DY_LIST_ITEM(lane->fair.items.prev, dy_admission_item_t, link);
	if (dy_fair_lane_finish_tag(last) <= dy_fair_lane_finish_tag(item))
		return 0;
	give_up(adm, last, DY_ADMISSION_FULL);
	return 1;
}

dy_admission_outcome_t dy_admission_submit(dy_admission_t *adm,
					   dy_admission_item_t *item,
					   uint64_t now_us,
					   dy_admission_refusal_t *refusal)
{
	lane_t *lane;
	uint64_t wait;

	advance_clock(adm, now_us);
	lane = lane_of(adm, item);
	prepare(adm, item);
	if (is_too_late(adm, item))
		return refuse(adm, item, DY_ADMISSION_LATE, refusal);
	if (has_slot(adm, item) && !find_ready(adm, &adm->lanes[SUBMISSIONS]) &&
	    !find_ready(adm, &adm->lanes[PULLS])) {
		join_lane(adm, lane);
		dy_fair_lane_charge(&lane->fair, item);
		start(adm, lane, item);
		return DY_ADMISSION_RUN;
	}
	wait = dy_admission_wait_us(
		adm, lane,
		dy_fair_lane_ahead_us(&lane->fair,
				      dy_fair_lane_finish_tag(item)),
		adm->now_us);
	if (wait > (item->queue_deadline_us - adm->now_us) *
			   QUEUE_MARGIN_PERCENT / PERCENT)
		return refuse(adm, item, DY_ADMISSION_LATE, refusal);
	if (!make_room(adm, lane, item))
		return refuse(adm, item, DY_ADMISSION_FULL, refusal);
	join_lane(adm, lane);
	if (!lane->fair.count)
		lane->waiting_since_us = adm->now_us;
	dy_fair_lane_add(&lane->fair, item);
	item->state = QUEUED;
	return DY_ADMISSION_QUEUED;
}

static void learn(dy_admission_t *adm, const dy_admission_item_t *item,
		  dy_admission_end_t end)
{
	uint64_t took = adm->now_us - item->started_us;

	if (end == DY_ADMISSION_UNSENT || item->freezes != adm->freezes)
		return;
	dy_service_times_learn(&adm->times, item->procedure, took,
			       end == DY_ADMISSION_ABANDONED, adm->now_us);
	if (took > item->cost_us)
		dy_fair_lane_correct(&lane_of(adm, item)->fair, item,
				     took - item->cost_us);
}

void dy_admission_finish(dy_admission_t *adm, dy_admission_item_t *item,
			 dy_admission_end_t end, uint64_t now_us)
{
	if (item->state != RUNNING)
		return;
	advance_clock(adm, now_us);
	dy_list_remove(&item->link);
	item->state = ENDED;
	adm->in_flight--;
	adm->long_in_flight -= item->is_long;
	learn(adm, item, end);
}

int dy_admission_cancel(dy_admission_t *adm, dy_admission_item_t *item)
{
	if (item->state == QUEUED)
		dy_fair_lane_remove(&lane_of(adm, item)->fair, item);
	else if (item->state == GIVEN_UP)
		dy_list_remove(&item->link);
	else
		return 0;
	item->state = ENDED;
	return 1;
}

dy_admission_item_t *dy_admission_next(dy_admission_t *adm, uint64_t now_us)
{
	dy_admission_item_t *item;
	lane_t *lane, *other;

	advance_clock(adm, now_us);
	lane = &adm->lanes[SUBMISSIONS];
	other = &adm->lanes[PULLS];
	if (lane->pass_us > other->pass_us) {
		lane = &adm->lanes[PULLS];
		other = &adm->lanes[SUBMISSIONS];
	}
	item = find_ready(adm, lane);
	if (!item) {
		lane = other;
		item = find_ready(adm, lane);
	}
	if (!item)
		return NULL;
	dy_fair_lane_take(&lane->fair, item);
	if (adm->now_us - item->submitted_us < STANDING_WAIT_US)
		lane->waiting_since_us = adm->now_us;
	start(adm, lane, item);
	return item;
}

/* Give up on each call of a lane whose turn comes too late. */
static void project(dy_admission_t *adm, lane_t *lane)
{
	dy_admission_item_t *item;
	dy_list_t *pos, *tmp;
	uint64_t ahead = 0;
	uint64_t wait;

	DY_LIST_EACH_SAFE(pos, tmp, &lane->fair.items)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		wait = dy_admission_wait_us(adm, lane, ahead, adm->now_us);
		if (adm->now_us + wait > item->queue_deadline_us)
			give_up(adm, item, DY_ADMISSION_LATE);
		else
			ahead += item->cost_us;
	}
}

dy_admission_item_t *dy_admission_expire(dy_admission_t *adm, uint64_t now_us,
					 dy_admission_refusal_t *refusal)
{
	dy_admission_item_t *item;
	int i;

	advance_clock(adm, now_us);
	if (adm->now_us - adm->projected_us >= PROJECT_EVERY_US) {
		for (i = 0; i < LANES; i++)
			project(adm, &adm->lanes[i]);
		adm->projected_us = adm->now_us;
	}
	if (dy_list_empty(&adm->given_up))
		return NULL;
	item = DY_LIST_ITEM(adm->given_up.next, dy_admission_item_t, link);
	dy_list_remove(&item->link);
	refuse(adm, item, item->reason, refusal);
	return item;
}

void dy_admission_set_slots(dy_admission_t *adm, uint32_t slots)
{
	adm->config.slots = slots;
}

static uint64_t newcomer_wait_us(const dy_admission_t *adm, int lane_index,
				 uint64_t now_us)
{
	const lane_t *lane = &adm->lanes[lane_index];
	uint64_t tag = lane->fair.virtual_us + adm->times.lightest_us;
	uint64_t ahead_us = dy_fair_lane_ahead_us(&lane->fair, tag);

	return dy_admission_wait_us(adm, lane, ahead_us, now_us);
}

void dy_admission_load(const dy_admission_t *adm, uint64_t now_us,
		       dy_admission_load_t *load)
{
	uint64_t now = MAX(now_us, adm->now_us);

	load->slots = adm->config.slots;
	load->in_flight = adm->in_flight;
	load->queued = count_queued(adm);
	load->expected_wait_us = MAX(newcomer_wait_us(adm, SUBMISSIONS, now),
				     newcomer_wait_us(adm, PULLS, now));
	load->expected_wait_us = MIN(load->expected_wait_us, WAIT_MOST_US);
}

const char *dy_admission_reason_name(dy_admission_reason_t reason)
{
	static const char *const names[] = { "accepted", "late", "full" };

	return reason < DY_ADMISSION_REASONS ? names[reason] : "unknown";
}
