#include "damaskyard/search_retry.h"

typedef enum part_state { PART_WAITS, PART_ASKED, PART_ENDED } part_state_t;

typedef struct part {
	dy_search_part_t agents;
	part_state_t state;
	int answered;
	int fresh; /* neither split from another one nor quiet */
	int quiet; /* an agent that was silent recently */
	uint64_t asked_ms;
} part_t;

struct dy_search_retry {
	unsigned total;
	unsigned quiet;
	unsigned silent;
	unsigned next; /* agents before it are in parts */
	unsigned asked;
	unsigned fresh_asked;
	unsigned fresh_ended;
	int in_trouble; /* some part did not answer in time */
	GArray *parts;
	uint8_t *answered; /* of each agent */
};

static part_t *get_part(const dy_search_retry_t *retry, unsigned number)
{
	return &g_array_index(retry->parts, part_t, number);
}

static part_t *add_part(dy_search_retry_t *retry, unsigned first,
			unsigned count)
{
	part_t part = { 0 };

	part.agents.first = first;
	part.agents.count = count;
	g_array_append_val(retry->parts, part);
	return get_part(retry, retry->parts->len - 1);
}

/* Adds the agents in parts of the next smaller size. */
static void split(dy_search_retry_t *retry, unsigned first, unsigned count)
{
	unsigned size = count > DY_SEARCH_SPLIT ? DY_SEARCH_SPLIT : 1;
	unsigned end = first + count;

	retry->in_trouble = 1;
	for (; first < end; first += size)
		add_part(retry, first, MIN(size, end - first));
}

dy_search_retry_t *dy_search_retry_create(const dy_search_start_t *start)
{
	dy_search_retry_t *retry = g_new0(dy_search_retry_t, 1);
	unsigned end = MIN(start->total, start->quiet + DY_SEARCH_SILENT_MAX);
	unsigned i;

	retry->total = start->total;
	retry->quiet = start->quiet;
	retry->next = start->suspects;
	retry->fresh_ended = start->ended;
	retry->parts = g_array_new(FALSE, FALSE, sizeof(part_t));
	retry->answered = g_new0(uint8_t, start->total + 1);
	if (start->suspects)
		split(retry, 0, start->suspects);
	for (i = start->quiet; i < end; i++)
		add_part(retry, i, 1)->quiet = 1;
	return retry;
}

void dy_search_retry_destroy(dy_search_retry_t *retry)
{
	if (!retry)
		return;
	g_array_free(retry->parts, TRUE);
	g_free(retry->answered);
	g_free(retry);
}

static int has_answered(const dy_search_retry_t *retry,
			const dy_search_part_t *agents)
{
	unsigned i;

	for (i = 0; i < agents->count; i++)
		if (!retry->answered[agents->first + i])
			return 0;
	return 1;
}

static void end_part(dy_search_retry_t *retry, part_t *part)
{
	if (part->state == PART_ASKED) {
		retry->asked--;
		retry->fresh_asked -= (unsigned)part->fresh;
		retry->fresh_ended += (unsigned)part->fresh;
	}
	part->state = PART_ENDED;
}

/*
 * Returns whether another new part may be asked. Without trouble there are as
 * many at once as have ended, so that a search asks at most twice the agents
 * that it asks in turn.
 */
static int may_begin_part(const dy_search_retry_t *retry, uint64_t age_ms)
{
	if (retry->next >= retry->quiet)
		return 0;
	if (retry->in_trouble || !retry->fresh_asked)
		return 1;
	return age_ms >= DY_SEARCH_PARALLEL_AGE_MS &&
	       retry->fresh_asked < retry->fresh_ended;
}

static void begin_part(dy_search_retry_t *retry)
{
	unsigned count = MIN(DY_SEARCH_PART, retry->quiet - retry->next);

	add_part(retry, retry->next, count)->fresh = 1;
	retry->next += count;
}

/* Returns the first part of a kind that waits, or the number of parts. */
static unsigned find_waiting(dy_search_retry_t *retry, int quiet)
{
	part_t *part;
	unsigned i;

	for (i = 0; i < retry->parts->len; i++) {
		part = get_part(retry, i);
		if (part->state != PART_WAITS || part->quiet != quiet)
			continue;
		if (!has_answered(retry, &part->agents))
			return i;
		end_part(retry, part);
	}
	return i;
}

int dy_search_retry_next(dy_search_retry_t *retry, uint64_t age_ms, int in_turn,
			 uint64_t now_ms, unsigned *number,
			 dy_search_part_t *part)
{
	part_t *found;

	if ((in_turn && retry->asked) || retry->silent >= DY_SEARCH_SILENT_MAX)
		return 0;
	*number = find_waiting(retry, 0);
	if (*number == retry->parts->len) {
		if (may_begin_part(retry, age_ms))
			begin_part(retry);
		else
			*number = find_waiting(retry, 1);
	}
	if (*number == retry->parts->len)
		return 0;
	found = get_part(retry, *number);
	found->state = PART_ASKED;
	found->asked_ms = now_ms;
	retry->asked++;
	retry->fresh_asked += (unsigned)found->fresh;
	*part = found->agents;
	return 1;
}

void dy_search_retry_answer_agents(dy_search_retry_t *retry, unsigned first,
				   unsigned count)
{
	part_t *part;
	unsigned i;

	for (i = first; i < MIN(first + count, retry->total); i++)
		retry->answered[i] = 1;
	for (i = 0; i < retry->parts->len; i++) {
		part = get_part(retry, i);
		if (has_answered(retry, &part->agents))
			end_part(retry, part);
	}
}

int dy_search_retry_answer(dy_search_retry_t *retry, unsigned number,
			   uint64_t now_ms)
{
	uint64_t percent;
	part_t *part;

	if (number >= retry->parts->len)
		return -1;
	part = get_part(retry, number);
	if (part->state == PART_WAITS || part->answered)
		return -1;
	part->answered = 1;
	percent = (now_ms - part->asked_ms) * 100 /
		  DY_SEARCH_PART_TIMEOUT_MS(part->agents.count);
	dy_search_retry_answer_agents(retry, part->agents.first,
				      part->agents.count);
	return (int)MIN(percent, (uint64_t)G_MAXINT);
}

void dy_search_retry_expire(dy_search_retry_t *retry, unsigned percent,
			    uint64_t since_ms, uint64_t now_ms,
			    dy_search_silent_cb_t *silent, void *context)
{
	dy_search_part_t agents;
	uint64_t timeout_ms;
	part_t *part;
	unsigned len = retry->parts->len;
	unsigned i;

	for (i = 0; i < len; i++) {
		part = get_part(retry, i);
		agents = part->agents;
		timeout_ms = (uint64_t)DY_SEARCH_PART_TIMEOUT_MS(agents.count) *
			     percent / 100;
		if (part->state != PART_ASKED ||
		    now_ms - MAX(part->asked_ms, since_ms) < timeout_ms)
			continue;
		end_part(retry, part);
		if (agents.count > 1) {
			split(retry, agents.first, agents.count);
			continue;
		}
		retry->silent++;
		silent(context, agents.first);
	}
}

unsigned dy_search_retry_asked(const dy_search_retry_t *retry)
{
	return retry->asked;
}

dy_search_outcome_t dy_search_retry_outcome(const dy_search_retry_t *retry)
{
	const dy_search_part_t all = { 0, retry->total };
	unsigned i;

	if (has_answered(retry, &all))
		return DY_SEARCH_COMPLETE;
	if (retry->silent >= DY_SEARCH_SILENT_MAX)
		return DY_SEARCH_INCOMPLETE;
	if (retry->next < retry->quiet)
		return DY_SEARCH_RUNS;
	for (i = 0; i < retry->parts->len; i++)
		if (get_part(retry, i)->state != PART_ENDED)
			return DY_SEARCH_RUNS;
	return DY_SEARCH_INCOMPLETE;
}
