/*
 * Runs operations on one store with a disk in memory and compares it with an
 * array:
 * - after any crash the log has all acknowledged entries, in order and with
 *   the same bytes, and at most a prefix of the others;
 * - term and vote never go back;
 * - if a crash interrupts a leader's snapshot, either no part of it is left and
 *   the old log is complete with its old terms, or the snapshot is there and
 *   the log is empty;
 * - the store always opens after a crash alone;
 * - after a bit flip, either the opening fails with DY_STORE_ERROR_CORRUPT or
 *   no acknowledged entry is lost.
 */

#include <stdint.h>
#include <string.h>

#include "damaskyard/log.h"
#include "damaskyard/store.h"
#include "fake_group.h"

#define ENTRIES_MAX 4096
#define GROUP 1
#define SLOT 1
#define IDENTITY 4711
#define SEGMENT_BYTES 1500

typedef struct oracle {
	/* Entries appended at each index, acknowledged or not. */
	uint64_t value[ENTRIES_MAX];
	uint64_t term[ENTRIES_MAX];
	uint64_t last;
	uint64_t acknowledged;
	uint64_t snapshot;
	/*
	 * State after a change that failed half way; the state before it is
	 * valid as well.
	 */
	uint64_t maybe_truncated_last;
	uint64_t maybe_snapshot;
	/* Term of a leader's snapshot that may replace the log; 0: none. */
	uint64_t maybe_replaced_term;
	uint64_t vote_term;
	uint64_t maybe_vote_term;
	uint64_t next_value;
	int bit_flipped;
} oracle_t;

typedef struct run {
	fake_disk_t *disk;
	dy_store_t *store;
	oracle_t oracle;
	const uint8_t *data;
	size_t left;
} run_t;

static uint32_t read_below(run_t *run, uint32_t limit)
{
	uint32_t value;

	if (!run->left)
		return 0;
	value = *run->data++;
	run->left--;
	return value % limit;
}

static uint32_t size_of(uint64_t value)
{
	return 8 + value * 131 % 700;
}

static void check_entry(const run_t *run, uint64_t index)
{
	const dy_raft_entry_t *entry = dy_store_find_entry(run->store, index);
	uint64_t value;

	FAKE_CHECK(entry != NULL && entry->index == index);
	FAKE_CHECK(entry->term == run->oracle.term[index]);
	FAKE_CHECK(entry->term >= dy_store_entry_term(run->store, index - 1));
	memcpy(&value, entry->data.data_val, 8);
	FAKE_CHECK(value == run->oracle.value[index]);
	FAKE_CHECK(entry->data.data_len == size_of(value));
}

/* A leader's snapshot replaces the whole log. */
static void apply_replacement(oracle_t *oracle, uint64_t index, uint64_t term)
{
	oracle->term[index] = term;
	oracle->last = index;
	oracle->acknowledged = index;
	oracle->maybe_truncated_last = index;
}

/* Returns the last index that the snapshot covers. */
static uint64_t check_snapshot(run_t *run)
{
	oracle_t *oracle = &run->oracle;
	const dy_store_snapshot_t *snapshot = dy_store_snapshot(run->store);
	uint64_t covered = snapshot ? snapshot->last_index : 0;

	FAKE_CHECK(covered == oracle->snapshot ||
		   covered == oracle->maybe_snapshot);
	if (oracle->maybe_replaced_term && covered == oracle->maybe_snapshot)
		apply_replacement(oracle, covered, oracle->maybe_replaced_term);
	FAKE_CHECK(!snapshot || snapshot->size == covered * 97);
	FAKE_CHECK(!snapshot || snapshot->last_term == oracle->term[covered]);
	oracle->snapshot = covered;
	oracle->maybe_snapshot = covered;
	oracle->maybe_replaced_term = 0;
	return covered;
}

/* Compares the store, and adopts its state where the crash allows several. */
static void check_opened(run_t *run)
{
	oracle_t *oracle = &run->oracle;
	uint64_t covered = check_snapshot(run);
	uint64_t last = dy_store_last_index(run->store);
	uint64_t i;

	FAKE_CHECK(dy_store_first_index(run->store) == covered + 1);
	FAKE_CHECK(last >= oracle->acknowledged ||
		   last >= oracle->maybe_truncated_last);
	FAKE_CHECK(last <= oracle->last);
	FAKE_CHECK(dy_store_synced_index(run->store) == last);
	for (i = dy_store_first_index(run->store); i <= last; i++)
		check_entry(run, i);
	FAKE_CHECK(dy_store_term(run->store) == oracle->vote_term ||
		   dy_store_term(run->store) == oracle->maybe_vote_term);
	oracle->vote_term = dy_store_term(run->store);
	oracle->maybe_vote_term = oracle->vote_term;
	oracle->last = last;
	oracle->acknowledged = last;
	oracle->maybe_truncated_last = last;
}

/* Returns 0 if a bit flip stops the opening and ends the run, else 1. */
static int open_store(run_t *run)
{
	dy_store_options_t options = { GROUP, SLOT, IDENTITY, SEGMENT_BYTES };
	GError *error = NULL;

	run->store = dy_store_create(&run->disk->table, &options, &error);
	if (run->store) {
		check_opened(run);
		return 1;
	}
	FAKE_CHECK(run->oracle.bit_flipped
			   ? g_error_matches(error, DY_STORE_ERROR,
					     DY_STORE_ERROR_CORRUPT)
			   : g_error_matches(error, DY_STORE_ERROR,
					     DY_STORE_ERROR_IO));
	g_error_free(error);
	if (run->oracle.bit_flipped)
		return 0;
	/* The disk failed during a read; the next opening has no fault. */
	fake_disk_restart(run->disk);
	return open_store(run);
}

static void append(run_t *run, uint32_t count, int new_term)
{
	oracle_t *oracle = &run->oracle;
	char data[800] = { 0 };
	dy_raft_entry_t entry = { .type = DY_ENTRY_COMMAND };
	uint64_t last;

	/* The memory of a failed store is not compared. */
	if (dy_store_failed(run->store))
		return;
	while (count-- && oracle->last + 2 < ENTRIES_MAX) {
		last = oracle->last++;
		entry.index = last + 1;
		entry.term = MAX(oracle->term[last], 1) + new_term;
		new_term = 0;
		oracle->value[entry.index] = ++oracle->next_value;
		oracle->term[entry.index] = entry.term;
		memcpy(data, &oracle->next_value, 8);
		entry.data.data_val = data;
		entry.data.data_len = size_of(oracle->next_value);
		dy_store_append(run->store, &entry);
	}
}

static void sync_store(run_t *run)
{
	if (dy_store_sync(run->store, NULL))
		return;
	run->oracle.acknowledged = run->oracle.last;
	run->oracle.maybe_truncated_last = run->oracle.last;
}

static void truncate_store(run_t *run, uint64_t back)
{
	oracle_t *oracle = &run->oracle;
	uint64_t index;

	sync_store(run);
	if (dy_store_failed(run->store) || oracle->last <= oracle->snapshot)
		return;
	index = oracle->last - MIN(back, oracle->last - oracle->snapshot - 1);
	oracle->maybe_truncated_last = index - 1;
	if (dy_store_truncate(run->store, index, NULL))
		return;
	oracle->last = index - 1;
	oracle->acknowledged = index - 1;
}

/* Returns the last index of a leader's snapshot, inside or beyond the log. */
static uint64_t pick_leader_snapshot_index(const oracle_t *oracle,
					   uint32_t number)
{
	uint64_t inside = oracle->last - oracle->snapshot;

	if (number % 2 && inside)
		return oracle->last - MIN(number, inside - 1);
	return MIN(oracle->last + number, ENTRIES_MAX - 3);
}

/* from_leader: a snapshot of a leader whose term is above the log's terms. */
static void snapshot_store(run_t *run, uint32_t back, int from_leader)
{
	oracle_t *oracle = &run->oracle;
	dy_store_snapshot_t meta = { 0 };
	char *bytes;
	int failed;

	sync_store(run);
	if (dy_store_failed(run->store))
		return;
	meta.last_index =
		oracle->last - MIN(back, oracle->last - oracle->snapshot);
	if (from_leader)
		meta.last_index = pick_leader_snapshot_index(oracle, back);
	if (!meta.last_index || meta.last_index < oracle->snapshot)
		return;
	/* A committed entry has one term; no leader sends another for it. */
	if (from_leader && meta.last_index == oracle->snapshot)
		return;
	meta.last_term = oracle->term[meta.last_index];
	if (from_leader)
		meta.last_term = oracle->term[oracle->last] + 1;
	bytes = g_malloc0(meta.last_index * 97);
	oracle->maybe_snapshot = meta.last_index;
	oracle->maybe_replaced_term = from_leader ? meta.last_term : 0;
	failed = dy_store_snapshot_begin(run->store, &meta, NULL) ||
		 dy_store_snapshot_add(run->store, bytes, meta.last_index * 97,
				       NULL) ||
		 dy_store_snapshot_commit(run->store, NULL);
	g_free(bytes);
	if (failed && dy_store_failed(run->store))
		return;
	oracle->maybe_replaced_term = 0;
	if (failed) {
		oracle->maybe_snapshot = oracle->snapshot;
		return;
	}
	oracle->snapshot = meta.last_index;
	if (from_leader)
		apply_replacement(oracle, meta.last_index, meta.last_term);
	FAKE_CHECK(dy_store_last_index(run->store) == oracle->last);
}

static void write_vote(run_t *run)
{
	dy_voter_id_t candidate = { 2, 5 };

	run->oracle.maybe_vote_term = run->oracle.vote_term + 1;
	if (!dy_store_write_vote(run->store, run->oracle.maybe_vote_term,
				 candidate, NULL))
		run->oracle.vote_term = run->oracle.maybe_vote_term;
}

static void inject_disk_fault(run_t *run)
{
	uint32_t kind = read_below(run, 4);
	uint32_t countdown = read_below(run, 64);

	if (kind == 0)
		run->disk->writes_left = countdown;
	else if (kind == 1)
		run->disk->syncs_left = countdown;
	else
		run->disk->operations_left = countdown;
	run->disk->short_write = kind == 0 && countdown % 2;
}

static int reopen(run_t *run, int power_loss)
{
	dy_store_destroy(run->store);
	run->store = NULL;
	if (power_loss)
		fake_disk_crash(run->disk);
	else
		fake_disk_restart(run->disk);
	return open_store(run);
}

static int flip_bit(run_t *run)
{
	static const char *const prefixes[] = { "log-", "snapshot", "vote",
						"identity", "synced" };
	const char *name =
		fake_disk_find(run->disk, prefixes[read_below(run, 5)]);
	uint64_t offset;

	if (dy_store_failed(run->store) || !name)
		return 1;
	sync_store(run);
	offset = (uint64_t)read_below(run, 256) << 8;
	offset += read_below(run, 256);
	offset %= (uint64_t)MAX(fake_disk_size(run->disk, name), 1);
	if (dy_store_failed(run->store) ||
	    !fake_disk_flip_bit(run->disk, name, offset))
		return 1;
	run->oracle.bit_flipped = 1;
	return reopen(run, 0);
}

static int operate(run_t *run)
{
	switch (read_below(run, 12)) {
	case 0:
	case 1:
	case 2:
		append(run, read_below(run, 24) + 1, (int)read_below(run, 2));
		return 1;
	case 3:
	case 4:
		sync_store(run);
		return 1;
	case 5:
		truncate_store(run, read_below(run, 48));
		return 1;
	case 6:
		snapshot_store(run, read_below(run, 48), 0);
		return 1;
	case 7:
		snapshot_store(run, read_below(run, 48), 1);
		return 1;
	case 8:
		write_vote(run);
		return 1;
	case 9:
		inject_disk_fault(run);
		return 1;
	case 10:
		return reopen(run, (int)read_below(run, 2));
	default:
		return flip_bit(run);
	}
}

/* libFuzzer requires the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	run_t *run = g_new0(run_t, 1);
	int operations;

	dy_log_configure(DY_LOG_ERROR + 1, NULL);
	run->data = data;
	run->left = size;
	run->disk = fake_disk_create(size ? data[size - 1] : 0);
	if (open_store(run))
		for (operations = 0; run->left && operations < 200;
		     operations++)
			if (!operate(run))
				break;
	dy_store_destroy(run->store);
	fake_disk_destroy(run->disk);
	g_free(run);
	return 0;
}
