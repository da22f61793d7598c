#include "damaskyard/drc.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/invariant.h"
#include "damaskyard/loop.h"

typedef enum entry_kind {
	ENTRY_IN_PROGRESS,
	ENTRY_STARTED,
	ENTRY_ENDED
} entry_kind_t;

/* The calls first..last; entries are sorted by first and do not overlap. */
typedef struct entry {
	uint32_t first;
	uint32_t last;
	uint64_t ended_ms; /* of the latest call */
	uint8_t kind;
	uint8_t verdict;
	uint8_t reason;
} entry_t;

typedef struct answer {
	uint32_t xid;
	uint32_t status;
	uint8_t *results;
	size_t len;
} answer_t;

struct dy_drc {
	entry_t *entries;
	unsigned count;
	unsigned capacity;
	answer_t answers[DY_DRC_ANSWERS]; /* oldest first */
	unsigned answer_count;
	size_t answer_bytes;
};

dy_drc_t *dy_drc_create(void)
{
	return g_new0(dy_drc_t, 1);
}

void dy_drc_destroy(dy_drc_t *drc)
{
	unsigned i;

	if (!drc)
		return;
	for (i = 0; i < drc->answer_count; i++)
		g_free(drc->answers[i].results);
	g_free(drc->entries);
	g_free(drc);
}

/* Returns the number of entries with first <= xid. */
static unsigned count_up_to(const dy_drc_t *drc, uint32_t xid)
{
	unsigned low = 0;
	unsigned high = drc->count;
	unsigned middle;

	while (low < high) {
		middle = (low + high) / 2;
		if (drc->entries[middle].first <= xid)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static entry_t *find_entry(const dy_drc_t *drc, uint32_t xid)
{
	unsigned at = count_up_to(drc, xid);

	if (!at || drc->entries[at - 1].last < xid)
		return NULL;
	return &drc->entries[at - 1];
}

static const answer_t *find_answer(const dy_drc_t *drc, uint32_t xid)
{
	unsigned i;

	for (i = 0; i < drc->answer_count; i++)
		if (drc->answers[i].xid == xid)
			return &drc->answers[i];
	return NULL;
}

/* A call that ran and whose answer was evicted is reported as a duplicate. */
static void fill_ended(const entry_t *entry, dy_drc_found_t *found)
{
	found->state = DY_DRC_ENDED;
	found->refusal.verdict = entry->verdict;
	found->refusal.reason = entry->reason;
	if (entry->verdict != DY_RAN)
		return;
	found->refusal.verdict = DY_MAY_HAVE_RUN;
	found->refusal.reason = DY_REASON_DUPLICATE;
}

dy_drc_state_t dy_drc_find(const dy_drc_t *drc, uint32_t xid,
			   dy_drc_found_t *found)
{
	const entry_t *entry = drc ? find_entry(drc, xid) : NULL;
	const answer_t *answer;

	memset(found, 0, sizeof(*found));
	if (!entry)
		return found->state = DY_DRC_NEW;
	if (entry->kind != ENTRY_ENDED)
		return found->state = DY_DRC_IN_PROGRESS;
	answer = find_answer(drc, xid);
	if (!answer) {
		fill_ended(entry, found);
		return found->state;
	}
	found->status = answer->status;
	found->results = answer->results;
	found->results_len = answer->len;
	return found->state = DY_DRC_ANSWERED;
}

static void remove_entry(dy_drc_t *drc, unsigned at)
{
	drc->count--;
	memmove(&drc->entries[at], &drc->entries[at + 1],
		(drc->count - at) * sizeof(entry_t));
}

static entry_t *insert_entry(dy_drc_t *drc, unsigned at)
{
	if (drc->count == drc->capacity) {
		drc->capacity = drc->capacity ? 2 * drc->capacity : 2;
		drc->entries = g_renew(entry_t, drc->entries, drc->capacity);
	}
	memmove(&drc->entries[at + 1], &drc->entries[at],
		(drc->count - at) * sizeof(entry_t));
	drc->count++;
	memset(&drc->entries[at], 0, sizeof(entry_t));
	return &drc->entries[at];
}

static uint32_t ms_until_oldest_expires(const dy_drc_t *drc, uint64_t now_ms)
{
	uint64_t oldest_ms = now_ms;
	unsigned i;

	for (i = 0; i < drc->count; i++)
		if (drc->entries[i].kind == ENTRY_ENDED &&
		    drc->entries[i].ended_ms < oldest_ms)
			oldest_ms = drc->entries[i].ended_ms;
	return (uint32_t)(oldest_ms + DY_RETRANSMIT_WINDOW_MS - now_ms);
}

dy_drc_begin_result_t dy_drc_begin(dy_drc_t *drc, uint32_t xid, uint64_t now_ms,
				   uint32_t *retry_after_ms)
{
	entry_t *entry;
	int full;

	dy_assert(!find_entry(drc, xid));
	if (drc->count >= DY_DRC_ENTRIES)
		dy_drc_expire(drc, now_ms);
	if (drc->count >= DY_DRC_ENTRIES_MAX)
		return DY_DRC_OVERFLOW;
	full = drc->count >= DY_DRC_ENTRIES;
	if (full)
		*retry_after_ms = ms_until_oldest_expires(drc, now_ms);
	entry = insert_entry(drc, count_up_to(drc, xid));
	entry->first = xid;
	entry->last = xid;
	entry->kind = ENTRY_IN_PROGRESS;
	return full ? DY_DRC_FULL : DY_DRC_OK;
}

void dy_drc_start(dy_drc_t *drc, uint32_t xid)
{
	entry_t *entry = find_entry(drc, xid);

	dy_assert(entry && entry->kind == ENTRY_IN_PROGRESS);
	entry->kind = ENTRY_STARTED;
}

static int can_merge(const entry_t *a, const entry_t *b)
{
	return a->kind == ENTRY_ENDED && b->kind == ENTRY_ENDED &&
	       a->verdict == b->verdict && a->reason == b->reason &&
	       a->last != UINT32_MAX && a->last + 1 == b->first;
}

/*
 * Merges the entry at `at` with the next one if both have the same outcome and
 * are adjacent.
 */
static void merge_entries(dy_drc_t *drc, unsigned at)
{
	entry_t *a = &drc->entries[at];
	const entry_t *b = a + 1;

	if (at + 1 >= drc->count || !can_merge(a, b))
		return;
	a->last = b->last;
	if (b->ended_ms > a->ended_ms)
		a->ended_ms = b->ended_ms;
	remove_entry(drc, at + 1);
}

static void end_entry(dy_drc_t *drc, uint32_t xid, dy_verdict_t verdict,
		      dy_reason_t reason, uint64_t now_ms)
{
	entry_t *entry = find_entry(drc, xid);
	unsigned at;

	dy_assert(entry && entry->kind != ENTRY_ENDED);
	at = (unsigned)(entry - drc->entries);
	entry->kind = ENTRY_ENDED;
	entry->verdict = (uint8_t)verdict;
	entry->reason = (uint8_t)reason;
	entry->ended_ms = now_ms;
	merge_entries(drc, at);
	if (at)
		merge_entries(drc, at - 1);
}

static void drop_oldest_answer(dy_drc_t *drc)
{
	drc->answer_bytes -= drc->answers[0].len;
	g_free(drc->answers[0].results);
	drc->answer_count--;
	memmove(&drc->answers[0], &drc->answers[1],
		drc->answer_count * sizeof(answer_t));
}

static void store_answer(dy_drc_t *drc, uint32_t xid, uint32_t status,
			 const uint8_t *results, size_t len)
{
	answer_t *answer;

	while (drc->answer_count &&
	       (drc->answer_count == DY_DRC_ANSWERS ||
		drc->answer_bytes + len > DY_DRC_ANSWER_BYTES))
		drop_oldest_answer(drc);
	answer = &drc->answers[drc->answer_count++];
	answer->xid = xid;
	answer->status = status;
	answer->results = g_memdup2(results, len);
	answer->len = len;
	drc->answer_bytes += len;
}

void dy_drc_answer(dy_drc_t *drc, uint32_t xid, uint32_t status,
		   const uint8_t *results, size_t len, uint64_t now_ms)
{
	end_entry(drc, xid, DY_RAN, DY_REASON_NONE, now_ms);
	store_answer(drc, xid, status, results, len);
}

void dy_drc_refuse(dy_drc_t *drc, uint32_t xid, const dy_refusal_t *refusal,
		   uint64_t now_ms)
{
	end_entry(drc, xid, refusal->verdict, refusal->reason, now_ms);
}

void dy_drc_expire(dy_drc_t *drc, uint64_t now_ms)
{
	entry_t *entry;
	unsigned kept = 0;
	unsigned i;

	for (i = 0; i < drc->count; i++) {
		entry = &drc->entries[i];
		if (entry->kind == ENTRY_ENDED &&
		    now_ms >= entry->ended_ms + DY_RETRANSMIT_WINDOW_MS)
			continue;
		drc->entries[kept++] = *entry;
	}
	drc->count = kept;
	while (drc->answer_count && !find_entry(drc, drc->answers[0].xid))
		drop_oldest_answer(drc);
}

unsigned dy_drc_count(const dy_drc_t *drc)
{
	return drc ? drc->count : 0;
}

static void write_answers(const dy_drc_t *drc, dy_moved_body_t *body)
{
	dy_moved_answer_t *out = g_new0(dy_moved_answer_t, DY_DRC_ANSWERS);
	const answer_t *answer;
	unsigned i;

	for (i = 0; i < drc->answer_count; i++) {
		answer = &drc->answers[i];
		out[i].xid = answer->xid;
		out[i].status = answer->status;
		out[i].results.results_val =
			g_memdup2(answer->results, answer->len);
		out[i].results.results_len = (u_int)answer->len;
	}
	body->answers.answers_val = out;
	body->answers.answers_len = drc->answer_count;
}

void dy_drc_write(const dy_drc_t *drc, dy_moved_body_t *body, uint64_t now_ms)
{
	dy_moved_calls_t *out;
	const entry_t *entry;
	unsigned i;

	if (!drc)
		return;
	out = g_new0(dy_moved_calls_t, drc->count + 1);
	for (i = 0; i < drc->count; i++) {
		entry = &drc->entries[i];
		dy_assert(entry->kind == ENTRY_ENDED);
		out[i].first = entry->first;
		out[i].last = entry->last;
		out[i].age_ms = now_ms > entry->ended_ms
					? (u_int)(now_ms - entry->ended_ms)
					: 0;
		out[i].verdict = entry->verdict;
		out[i].reason = entry->reason;
	}
	body->calls.calls_val = out;
	body->calls.calls_len = drc->count;
	write_answers(drc, body);
}

static int load_entry(dy_drc_t *drc, const dy_moved_calls_t *moved,
		      uint64_t now_ms)
{
	const entry_t *before;
	entry_t *entry;

	if (moved->last < moved->first || moved->verdict > DY_MAY_HAVE_RUN)
		return -1;
	if (drc->count) {
		before = &drc->entries[drc->count - 1];
		if (moved->first <= before->last)
			return -1;
	}
	entry = insert_entry(drc, drc->count);
	entry->first = moved->first;
	entry->last = moved->last;
	entry->kind = ENTRY_ENDED;
	entry->verdict = (uint8_t)moved->verdict;
	entry->reason = (uint8_t)moved->reason;
	entry->ended_ms = now_ms > moved->age_ms ? now_ms - moved->age_ms : 0;
	return 0;
}

static int load_answers(dy_drc_t *drc, const dy_moved_body_t *body)
{
	const dy_moved_answer_t *answer;
	const entry_t *entry;
	unsigned i;

	if (body->answers.answers_len > DY_DRC_ANSWERS)
		return -1;
	for (i = 0; i < body->answers.answers_len; i++) {
		answer = &body->answers.answers_val[i];
		entry = find_entry(drc, answer->xid);
		if (!entry || entry->verdict != DY_RAN)
			return -1;
		store_answer(drc, answer->xid, answer->status,
			     (const uint8_t *)answer->results.results_val,
			     answer->results.results_len);
	}
	return 0;
}

dy_drc_t *dy_drc_load(const dy_moved_body_t *body, uint64_t now_ms)
{
	dy_drc_t *drc = dy_drc_create();
	unsigned i;

	for (i = 0; i < body->calls.calls_len; i++)
		if (load_entry(drc, &body->calls.calls_val[i], now_ms))
			goto malformed;
	if (load_answers(drc, body))
		goto malformed;
	return drc;

malformed:
	dy_drc_destroy(drc);
	return NULL;
}
