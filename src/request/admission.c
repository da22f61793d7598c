#include "damaskyard/admission.h"

#include "admission_state.h"

/*
 * Slots stay reserved for short calls for this time after the latest one. A few
 * short calls per second keep the reservation; with long calls only, they get
 * the slots back soon.
 */
#define SHORT_RESERVE_US 2000000

/*
 * The owner calls at least every 50 ms while calls run. A gap of 20 times that
 * means that the process or its VM was suspended.
 */
#define SUSPEND_GAP_US 1000000

/*
 * Interval of the scan for calls that would start too late. A scan of the whole
 * queue takes some 10 us; calls are queued for hundreds of ms.
 */
#define DROP_SCAN_INTERVAL_US 10000

/* The longest wait that is reported: in milliseconds it fits 32 bits. */
#define MAX_REPORTED_WAIT_US 3600000000ULL

/*
 * If every call of a class waits longer than STANDING_WAIT_US, for longer than
 * STANDING_INTERVAL_US, the class is overloaded: the queue is a standing queue
 * and not a burst. It adds to the latency of each call and nothing to the
 * goodput (as in CoDel, RFC 8289).
 */
#define STANDING_WAIT_US 5000
#define STANDING_INTERVAL_US 1000000

/*
 * A call is queued only if its expected wait is at most this percentage of the
 * time that it may be queued. Calls that cannot be served are thus refused on
 * submission and seldom after they have waited.
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
	dy_list_init(&adm->dropped);
	dy_service_times_init(&adm->times, config->initial_estimate_us);
	dy_fair_queue_init(&adm->classes[SUBMISSIONS].queue, seed);
	dy_fair_queue_init(&adm->classes[PULLS].queue, seed);
	adm->classes[SUBMISSIONS].percent = submissions;
	adm->classes[PULLS].percent = PERCENT - submissions;
	return adm;
}

void dy_admission_destroy(dy_admission_t *adm)
{
	g_free(adm);
}

/*
 * If the clock goes back, time stands still. A long gap while calls run is a
 * suspended process: calls that ran across it seem to take longer than they
 * took at the target, and such a sample would cause all calls to be refused
 * after the resume.
 */
static void advance_clock(dy_admission_t *adm, uint64_t now_us)
{
	if (now_us <= adm->now_us)
		return;
	if (adm->in_flight && now_us - adm->now_us > SUSPEND_GAP_US)
		adm->suspensions++;
	adm->now_us = now_us;
}

static call_class_t *class_of(dy_admission_t *adm,
			      const dy_admission_item_t *item)
{
	return &adm->classes[item->idempotent ? PULLS : SUBMISSIONS];
}

static uint32_t count_queued(const dy_admission_t *adm)
{
	return adm->classes[SUBMISSIONS].queue.count +
	       adm->classes[PULLS].queue.count;
}

static dy_admission_outcome_t refuse(dy_admission_t *adm,
				     dy_admission_item_t *item,
				     dy_admission_reason_t reason,
				     dy_admission_refusal_t *refusal)
{
	item->state = ENDED;
	item->reason = reason;
	refusal->reason = reason;
	refusal->retry_after_ms = dy_admission_schedule_retry_ms(adm, item);
	return DY_ADMISSION_REFUSED;
}

static void drop_queued(dy_admission_t *adm, dy_admission_item_t *item,
			dy_admission_reason_t reason)
{
	dy_fair_queue_remove(&class_of(adm, item)->queue, item);
	item->state = DROPPED;
	item->reason = reason;
	dy_list_append(&adm->dropped, &item->link);
}

/*
 * Returns the percentage of the time to its deadline that a call may be queued.
 * A refused submission must be sent again, a pull need not: only pulls get the
 * lower limit during a standing queue.
 */
static uint32_t queue_wait_percent(const dy_admission_t *adm,
				   const call_class_t *class)
{
	if (class == &adm->classes[PULLS] && class->queue.count &&
	    adm->now_us - class->standing_since_us > STANDING_INTERVAL_US)
		return adm->config.standing_queue_wait_percent;
	return adm->config.queue_wait_percent;
}

static void prepare(dy_admission_t *adm, dy_admission_item_t *item)
{
	call_class_t *class = class_of(adm, item);
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
		adm->now_us + budget * queue_wait_percent(adm, class) / PERCENT;
	if (!item->is_long)
		adm->last_short_us = adm->now_us;
	dy_fair_queue_set_start_tag(&class->queue, item);
}

static int misses_deadline(const dy_admission_t *adm,
			   const dy_admission_item_t *item)
{
	uint64_t needs = dy_service_times_upper_bound(
		&adm->times, item->procedure, adm->now_us);

	return adm->now_us + MAX(needs, 1) > item->effective_deadline_us;
}

/*
 * Returns the number of slots that long calls may use. While short calls
 * arrive, the slots that these kept busy recently and reserved_short_slots more
 * are reserved, up to half of the slots.
 */
static uint32_t slots_for_long_calls(const dy_admission_t *adm)
{
	uint32_t slots = adm->config.slots;
	uint64_t busy = dy_usage_read(&adm->short_usage, adm->now_us);
	uint64_t reserved =
		adm->config.reserved_short_slots + busy / DY_USAGE_DECAY_US;

	if (!adm->config.reserved_short_slots ||
	    adm->now_us - adm->last_short_us > SHORT_RESERVE_US)
		return slots;
	reserved = MIN(reserved, slots / 2);
	return slots - (uint32_t)reserved;
}

static int has_slot(const dy_admission_t *adm, const dy_admission_item_t *item)
{
	if (adm->in_flight >= adm->config.slots)
		return 0;
	return !item->is_long ||
	       adm->long_in_flight < slots_for_long_calls(adm);
}

/*
 * Returns the first call of a class that can start now. Drops calls on the way
 * that can no longer meet their deadline.
 */
static dy_admission_item_t *find_ready(dy_admission_t *adm, call_class_t *class)
{
	dy_admission_item_t *item;
	dy_list_t *pos, *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &class->queue.items)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		if (misses_deadline(adm, item))
			drop_queued(adm, item, DY_ADMISSION_LATE);
		else if (has_slot(adm, item))
			return item;
	}
	return NULL;
}

static void start(dy_admission_t *adm, call_class_t *class,
		  dy_admission_item_t *item)
{
	item->state = RUNNING;
	item->started_us = adm->now_us;
	item->suspensions = adm->suspensions;
	dy_list_append(&adm->running, &item->link);
	adm->in_flight++;
	adm->long_in_flight += item->is_long;
	class->pass_us += item->cost_us * PERCENT / class->percent;
	dy_usage_add(&class->usage, item->cost_us, adm->now_us);
	if (!item->is_long)
		dy_usage_add(&adm->short_usage, item->cost_us, adm->now_us);
}

/* An idle class accumulates no credit for later. */
static void activate_class(dy_admission_t *adm, call_class_t *class)
{
	uint64_t pass_us = UINT64_MAX;
	int i;

	if (class->queue.count)
		return;
	for (i = 0; i < CLASSES; i++)
		if (adm->classes[i].queue.count)
			pass_us = MIN(pass_us, adm->classes[i].pass_us);
	if (pass_us != UINT64_MAX && pass_us > class->pass_us)
		class->pass_us = pass_us;
}

/*
 * Evicts a call if the queue is full: the last one of the other class if that
 * class exceeds its share of the queue, else the last one of the same class if
 * it would run after the item. A caller that fills the queue therefore does not
 * displace others. Returns 0 if there is no space for the item.
 */
static int evict_for(dy_admission_t *adm, call_class_t *class,
		     const dy_admission_item_t *item)
{
	call_class_t *other = class == &adm->classes[PULLS]
				      ? &adm->classes[SUBMISSIONS]
				      : &adm->classes[PULLS];
	uint32_t share = adm->config.queue_limit * class->percent / PERCENT;
	dy_admission_item_t *last;

	if (count_queued(adm) < adm->config.queue_limit)
		return 1;
	if (class->queue.count < share && other->queue.count) {
		last = DY_LIST_ITEM(other->queue.items.prev,
				    dy_admission_item_t, link);
		drop_queued(adm, last, DY_ADMISSION_FULL);
		return 1;
	}
	if (!class->queue.count)
		return 0;
	last = DY_LIST_ITEM(class->queue.items.prev, dy_admission_item_t, link);
	if (dy_fair_queue_finish_tag(last) <= dy_fair_queue_finish_tag(item))
		return 0;
	drop_queued(adm, last, DY_ADMISSION_FULL);
	return 1;
}

dy_admission_outcome_t dy_admission_submit(dy_admission_t *adm,
					   dy_admission_item_t *item,
					   uint64_t now_us,
					   dy_admission_refusal_t *refusal)
{
	call_class_t *class;
	uint64_t wait;

	advance_clock(adm, now_us);
	class = class_of(adm, item);
	prepare(adm, item);
	if (misses_deadline(adm, item))
		return refuse(adm, item, DY_ADMISSION_LATE, refusal);
	if (has_slot(adm, item) &&
	    !find_ready(adm, &adm->classes[SUBMISSIONS]) &&
	    !find_ready(adm, &adm->classes[PULLS])) {
		activate_class(adm, class);
		dy_fair_queue_charge(&class->queue, item);
		start(adm, class, item);
		return DY_ADMISSION_RUN;
	}
	wait = dy_admission_wait_us(
		adm, class,
		dy_fair_queue_ahead_us(&class->queue,
				       dy_fair_queue_finish_tag(item)),
		adm->now_us);
	if (wait > (item->queue_deadline_us - adm->now_us) *
			   QUEUE_MARGIN_PERCENT / PERCENT)
		return refuse(adm, item, DY_ADMISSION_LATE, refusal);
	if (!evict_for(adm, class, item))
		return refuse(adm, item, DY_ADMISSION_FULL, refusal);
	activate_class(adm, class);
	if (!class->queue.count)
		class->standing_since_us = adm->now_us;
	dy_fair_queue_enqueue(&class->queue, item);
	item->state = QUEUED;
	return DY_ADMISSION_QUEUED;
}

static void update_service_time(dy_admission_t *adm,
				const dy_admission_item_t *item,
				dy_admission_end_t end)
{
	uint64_t took = adm->now_us - item->started_us;

	if (end == DY_ADMISSION_UNSENT || item->suspensions != adm->suspensions)
		return;
	dy_service_times_add_sample(&adm->times, item->procedure, took,
				    end == DY_ADMISSION_ABANDONED, adm->now_us);
	if (took > item->cost_us)
		dy_fair_queue_charge_extra(&class_of(adm, item)->queue, item,
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
	update_service_time(adm, item, end);
}

int dy_admission_cancel(dy_admission_t *adm, dy_admission_item_t *item)
{
	if (item->state == QUEUED)
		dy_fair_queue_remove(&class_of(adm, item)->queue, item);
	else if (item->state == DROPPED)
		dy_list_remove(&item->link);
	else
		return 0;
	item->state = ENDED;
	return 1;
}

dy_admission_item_t *dy_admission_next(dy_admission_t *adm, uint64_t now_us)
{
	dy_admission_item_t *item;
	call_class_t *class, *other;

	advance_clock(adm, now_us);
	class = &adm->classes[SUBMISSIONS];
	other = &adm->classes[PULLS];
	if (class->pass_us > other->pass_us) {
		class = &adm->classes[PULLS];
		other = &adm->classes[SUBMISSIONS];
	}
	item = find_ready(adm, class);
	if (!item) {
		class = other;
		item = find_ready(adm, class);
	}
	if (!item)
		return NULL;
	dy_fair_queue_dequeue(&class->queue, item);
	if (adm->now_us - item->submitted_us < STANDING_WAIT_US)
		class->standing_since_us = adm->now_us;
	start(adm, class, item);
	return item;
}

/* Drops each call of a class that would start too late. */
static void drop_late_calls(dy_admission_t *adm, call_class_t *class)
{
	dy_admission_item_t *item;
	dy_list_t *pos, *tmp;
	uint64_t ahead = 0;
	uint64_t wait;

	DY_LIST_EACH_SAFE(pos, tmp, &class->queue.items)
	{
		item = DY_LIST_ITEM(pos, dy_admission_item_t, link);
		wait = dy_admission_wait_us(adm, class, ahead, adm->now_us);
		if (adm->now_us + wait > item->queue_deadline_us)
			drop_queued(adm, item, DY_ADMISSION_LATE);
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
	if (adm->now_us - adm->last_drop_scan_us >= DROP_SCAN_INTERVAL_US) {
		for (i = 0; i < CLASSES; i++)
			drop_late_calls(adm, &adm->classes[i]);
		adm->last_drop_scan_us = adm->now_us;
	}
	if (dy_list_empty(&adm->dropped))
		return NULL;
	item = DY_LIST_ITEM(adm->dropped.next, dy_admission_item_t, link);
	dy_list_remove(&item->link);
	refuse(adm, item, item->reason, refusal);
	return item;
}

void dy_admission_set_slots(dy_admission_t *adm, uint32_t slots)
{
	adm->config.slots = slots;
}

static uint64_t new_call_wait_us(const dy_admission_t *adm, int class_index,
				 uint64_t now_us)
{
	const call_class_t *class = &adm->classes[class_index];
	uint64_t tag = class->queue.virtual_us + adm->times.shortest_us;
	uint64_t ahead_us = dy_fair_queue_ahead_us(&class->queue, tag);

	return dy_admission_wait_us(adm, class, ahead_us, now_us);
}

void dy_admission_load(const dy_admission_t *adm, uint64_t now_us,
		       dy_admission_load_t *load)
{
	uint64_t now = MAX(now_us, adm->now_us);

	load->slots = adm->config.slots;
	load->in_flight = adm->in_flight;
	load->queued = count_queued(adm);
	load->expected_wait_us = MAX(new_call_wait_us(adm, SUBMISSIONS, now),
				     new_call_wait_us(adm, PULLS, now));
	load->expected_wait_us =
		MIN(load->expected_wait_us, MAX_REPORTED_WAIT_US);
}

const char *dy_admission_reason_name(dy_admission_reason_t reason)
{
	static const char *const names[] = { "accepted", "late", "full" };

	return reason < DY_ADMISSION_REASONS ? names[reason] : "unknown";
}
