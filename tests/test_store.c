#include "damaskyard/store.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_disk.h"

#define GROUP 7

static dy_store_t *open_as(fake_disk_t *disk, uint64_t identity, GError **error)
{
	dy_store_options_t options = { GROUP, 2, identity, 2048 };

	return dy_store_create(&disk->table, &options, error);
}

static dy_store_t *open_store(fake_disk_t *disk)
{
	GError *error = NULL;
	dy_store_t *store = open_as(disk, 99, &error);

	ck_assert_msg(store != NULL, "%s", error ? error->message : "");
	return store;
}

static void add(dy_store_t *store, uint64_t term, const char *text)
{
	dy_raft_entry_t entry = { .index = dy_store_last_index(store) + 1,
				  .term = term,
				  .type = DY_ENTRY_COMMAND };

	entry.data.data_val = (char *)text;
	entry.data.data_len = strlen(text);
	dy_store_append(store, &entry);
}

static void add_many(dy_store_t *store, uint64_t term, int count)
{
	char text[64];

	while (count--) {
		snprintf(text, sizeof(text), "change %llu of term %llu",
			 (unsigned long long)dy_store_last_index(store) + 1,
			 (unsigned long long)term);
		add(store, term, text);
	}
}

static void sync_ok(dy_store_t *store)
{
	ck_assert_int_eq(dy_store_sync(store, NULL), 0);
}

static int take_snapshot(dy_store_t *store, uint64_t index, uint64_t term,
			 uint32_t size)
{
	dy_store_snapshot_t meta = { .last_index = index, .last_term = term };
	char *bytes = g_malloc(size);
	int failed;

	memset(bytes, (int)(index & 0x7f), size);
	failed = dy_store_snapshot_begin(store, &meta, NULL) ||
		 dy_store_snapshot_add(store, bytes, size / 3, NULL) ||
		 dy_store_snapshot_add(store, bytes, size - size / 3, NULL) ||
		 dy_store_snapshot_commit(store, NULL);
	g_free(bytes);
	return failed;
}

/* Opening must fail, with a message that names file and reason. */
static void expect_refusal(fake_disk_t *disk, const char *file,
			   const char *reason)
{
	GError *error = NULL;
	dy_store_t *store = open_as(disk, 99, &error);

	ck_assert_ptr_null(store);
	ck_assert_msg(
		g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_CORRUPT),
		"%s", error->message);
	ck_assert_ptr_nonnull(strstr(error->message, file));
	ck_assert_ptr_nonnull(strstr(error->message, reason));
	g_error_free(error);
}

START_TEST(log_vote_and_identity_come_back)
{
	fake_disk_t *disk = fake_disk_create(1);
	dy_store_t *store = open_store(disk);
	dy_member_id_t candidate = { 3, 1234 };

	add_many(store, 1, 200);
	sync_ok(store);
	ck_assert_int_eq(dy_store_write_vote(store, 4, candidate, NULL), 0);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = open_as(disk, 1000, NULL);
	ck_assert_uint_eq(dy_store_last_index(store), 200);
	ck_assert_uint_eq(dy_store_synced_index(store), 200);
	ck_assert_uint_eq(dy_store_term(store), 4);
	ck_assert_uint_eq(dy_store_vote(store).identity, 1234);
	ck_assert_uint_eq(dy_store_id(store).identity, 99);
	ck_assert_int_eq(strncmp(dy_store_find_entry(store, 150)->data.data_val,
				 "change 150 ", 11),
			 0);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * Power fails while a batch is on its way to the disk. An operator restarts
 * the control: it must come up with all that it acknowledged and without
 * the half-written batch, whichever of its sectors arrived.
 */
START_TEST(torn_tail_is_cut)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = open_store(disk);
	uint64_t last;

	add_many(store, 1, 30);
	sync_ok(store);
	add_many(store, 1, 60);
	disk->operations_left = (uint32_t)_i % 4;
	ck_assert_int_eq(dy_store_sync(store, NULL), -1);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = open_store(disk);
	last = dy_store_last_index(store);
	ck_assert_uint_ge(last, 30);
	add_many(store, 2, 5);
	sync_ok(store);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = open_store(disk);
	ck_assert_uint_eq(dy_store_last_index(store), last + 5);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/* Cut some entries. Returns what is acknowledged, whether it worked or not. */
static uint64_t cut_log(dy_store_t *store, GRand *rand, uint64_t acknowledged)
{
	uint64_t last = dy_store_last_index(store);
	uint64_t count = last + 1 - dy_store_first_index(store);

	if (!count)
		return acknowledged;
	last -= g_rand_int_range(rand, 0, (gint32)count);
	if (dy_store_truncate(store, last, NULL))
		return MIN(acknowledged, last - 1);
	return last - 1;
}

/*
 * As above, but the machine stops between write and sync, at any of the
 * disk's operations, and twice in a row. Nothing acknowledged may be gone,
 * and no start may be refused: a crash is no damage.
 */
START_TEST(crash_at_any_operation_loses_nothing_acknowledged)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i + 100);
	GRand *rand = g_rand_new_with_seed((uint32_t)_i);
	uint64_t acknowledged = 0;
	uint64_t term = 1;
	dy_store_t *store;
	int tries;
	int turn;

	for (turn = 0; turn < 60; turn++) {
		store = open_store(disk);
		ck_assert_uint_ge(dy_store_last_index(store), acknowledged);
		disk->operations_left = g_rand_int_range(rand, 0, 60);
		for (tries = 0; !dy_store_failed(store); tries++) {
			ck_assert_int_lt(tries, 1000);
			add_many(store, term, g_rand_int_range(rand, 1, 30));
			if (!dy_store_sync(store, NULL))
				acknowledged = dy_store_last_index(store);
			if (g_rand_int_range(rand, 0, 8))
				continue;
			if (g_rand_boolean(rand)) {
				acknowledged =
					cut_log(store, rand, acknowledged);
				term++;
			} else {
				(void)take_snapshot(store, acknowledged, term,
						    40000);
			}
			if (dy_store_snapshot(store) &&
			    acknowledged < dy_store_snapshot(store)->last_index)
				acknowledged =
					dy_store_snapshot(store)->last_index;
		}
		dy_store_destroy(store);
		if (g_rand_boolean(rand))
			fake_disk_crash(disk);
		else
			fake_disk_restart(disk);
	}
	g_rand_free(rand);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * A bit decays in a change that was acknowledged weeks ago, or in the last
 * one. Were it cut as a torn tail, this control would vote without it and an
 * accepted document could be lost. It must stop and name the place.
 */
START_TEST(decayed_record_stops)
{
	fake_disk_t *disk = fake_disk_create(5);
	dy_store_t *store = open_store(disk);
	const char *name;
	int64_t size;

	add_many(store, 1, 10);
	sync_ok(store);
	if (_i == 0) {
		add_many(store, 1, 1);
		sync_ok(store);
	}
	dy_store_destroy(store);
	name = fake_disk_find(disk, "log-");
	size = fake_disk_size(disk, name);
	ck_assert(fake_disk_flip(disk, name, _i == 0 ? 300 : size - 3));
	expect_refusal(disk, name, "a synced record is damaged");
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(damaged_files_stop)
{
	static const char *const names[] = { "identity", "vote", "snapshot" };
	const char *name = names[_i % 3];
	fake_disk_t *disk = fake_disk_create(6);
	dy_store_t *store = open_store(disk);

	add_many(store, 1, 100);
	sync_ok(store);
	add_many(store, 1, 300);
	sync_ok(store);
	ck_assert_int_eq(take_snapshot(store, 150, 1, 50000), 0);
	dy_store_destroy(store);
	if (_i < 3) {
		fake_disk_flip(disk, name, fake_disk_size(disk, name) - 9);
		expect_refusal(disk, name, "damaged");
	} else {
		fake_disk_lose(disk, name);
		expect_refusal(disk, _i == 5 ? "log-" : name, "missing");
	}
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(lost_segment_stops)
{
	fake_disk_t *disk = fake_disk_create(6);
	dy_store_t *store = open_store(disk);

	add_many(store, 1, 50);
	sync_ok(store);
	add_many(store, 1, 50);
	sync_ok(store);
	dy_store_destroy(store);
	fake_disk_lose(disk, "log-00000000000000000051");
	expect_refusal(disk, "log", "synced records are missing");
	fake_disk_destroy(disk);
}
END_TEST

/*
 * The disk is full, or its sync fails, while an operator submits a document.
 * Were it acknowledged, it would be gone after the next restart. Every later
 * change is refused too, even once the disk has room again: after a failed
 * sync nobody knows what reached it.
 */
START_TEST(failing_disk_never_acknowledges)
{
	fake_disk_t *disk = fake_disk_create(8);
	dy_store_t *store = open_store(disk);
	GError *error = NULL;

	add_many(store, 1, 3);
	sync_ok(store);
	add_many(store, 1, 1);
	if (_i < 2)
		disk->writes_left = 0;
	else
		disk->syncs_left = 0;
	disk->short_write = _i == 1;
	ck_assert_int_eq(dy_store_sync(store, &error), -1);
	ck_assert_ptr_nonnull(strstr(error->message, "log-"));
	g_clear_error(&error);
	ck_assert_uint_eq(dy_store_synced_index(store), 3);
	fake_disk_heal(disk);
	ck_assert_int_eq(dy_store_sync(store, &error), -1);
	ck_assert(
		g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_FAILED));
	g_clear_error(&error);
	ck_assert_int_eq(
		dy_store_write_vote(store, 9, dy_store_id(store), NULL), -1);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * A sync fails, the process is restarted and reads its log back from the
 * kernel's cache, complete; it acknowledges the entry, or the vote, that it
 * finds there. Then power fails, and what never was on the disk is gone.
 */
START_TEST(cached_bytes_of_failed_sync_are_written_anew)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = open_store(disk);
	dy_member_id_t candidate = { 1, 11 };
	int vote = _i % 2;

	if (!vote) {
		add_many(store, 1, 2);
		sync_ok(store);
		add_many(store, 1, 1);
		disk->syncs_left = 0;
		ck_assert_int_eq(dy_store_sync(store, NULL), -1);
	} else {
		disk->syncs_left = 1;
		ck_assert_int_eq(dy_store_write_vote(store, 5, candidate, NULL),
				 -1);
	}
	dy_store_destroy(store);
	fake_disk_restart(disk);
	store = open_store(disk);
	ck_assert_uint_eq(dy_store_synced_index(store), vote ? 0 : 3);
	ck_assert_uint_eq(dy_store_term(store), vote ? 5 : 0);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = open_store(disk);
	ck_assert_uint_eq(dy_store_last_index(store), vote ? 0 : 3);
	ck_assert_uint_eq(dy_store_term(store), vote ? 5 : 0);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * A control's disk is lost and replaced by an empty one. Under its old name
 * it would vote a second time in a term whose vote it forgot, and two
 * leaders could accept different documents. It must come back as another.
 */
START_TEST(wiped_disk_brings_a_new_identity)
{
	fake_disk_t *disk = fake_disk_create(10);
	dy_store_t *store = open_store(disk);

	dy_store_destroy(store);
	fake_disk_wipe(disk);
	store = open_as(disk, 100, NULL);
	ck_assert_uint_eq(dy_store_id(store).identity, 100);
	ck_assert_uint_eq(dy_store_id(store).slot, 2);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(folder_of_another_slot_is_refused)
{
	fake_disk_t *disk = fake_disk_create(10);
	dy_store_options_t options = { GROUP, 3, 5, 0 };
	GError *error = NULL;

	dy_store_destroy(open_store(disk));
	ck_assert_ptr_null(dy_store_create(&disk->table, &options, &error));
	ck_assert(
		g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_FOREIGN));
	g_error_free(error);
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(snapshot_cuts_the_log)
{
	fake_disk_t *disk = fake_disk_create(11);
	dy_store_t *store = open_store(disk);
	char piece[DY_RAFT_CHUNK_BYTES];

	add_many(store, 1, 100);
	sync_ok(store);
	add_many(store, 1, 100);
	sync_ok(store);
	ck_assert_int_eq(take_snapshot(store, 150, 1, 40001), 0);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = open_store(disk);
	ck_assert_uint_eq(dy_store_first_index(store), 151);
	ck_assert_uint_eq(dy_store_last_index(store), 200);
	ck_assert_uint_eq(dy_store_entry_term(store, 150), 1);
	ck_assert_uint_eq(dy_store_snapshot(store)->size, 40001);
	ck_assert_int_eq(dy_store_snapshot_read(store, 32768, piece, NULL),
			 40001 - 32768);
	ck_assert_int_eq(piece[0], 150 & 0x7f);
	ck_assert_int_eq(fake_disk_size(disk, "log-00000000000000000001"), -1);
	/* One that the log does not agree with replaces it whole. */
	ck_assert_int_eq(take_snapshot(store, 180, 5, 10), 0);
	ck_assert_uint_eq(dy_store_first_index(store), 181);
	ck_assert_uint_eq(dy_store_last_index(store), 180);
	ck_assert_uint_eq(dy_store_synced_index(store), 180);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * A leader's snapshot replaces entries that were never committed, and the
 * machine stops before they are removed. Read back beside the snapshot they
 * would look committed by it, and this control could be elected with them.
 */
START_TEST(crash_while_a_snapshot_replaces_the_log)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = open_store(disk);
	int i;

	for (i = 0; i < 5; i++) {
		add_many(store, 1, 40);
		sync_ok(store);
	}
	disk->operations_left = (uint32_t)_i;
	(void)take_snapshot(store, _i % 2 ? 80 : 90, 5, 100);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = open_store(disk);
	if (dy_store_snapshot(store))
		ck_assert_uint_eq(dy_store_last_index(store),
				  dy_store_snapshot(store)->last_index);
	else
		ck_assert_uint_eq(dy_store_last_index(store), 200);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/* A full disk costs the snapshot alone: the log still acknowledges. */
START_TEST(snapshot_without_room_is_given_up)
{
	fake_disk_t *disk = fake_disk_create(12);
	dy_store_t *store = open_store(disk);

	add_many(store, 1, 20);
	sync_ok(store);
	disk->writes_left = 2;
	ck_assert(take_snapshot(store, 10, 1, 60000));
	fake_disk_heal(disk);
	ck_assert(!dy_store_failed(store));
	ck_assert_ptr_null(dy_store_snapshot(store));
	add_many(store, 1, 1);
	sync_ok(store);
	dy_store_destroy(store);
	store = open_store(disk);
	ck_assert_uint_eq(dy_store_last_index(store), 21);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(folder, name, NULL);
		ck_assert_int_eq(unlink(path), 0);
		g_free(path);
	}
	g_dir_close(dir);
	ck_assert_int_eq(rmdir(folder), 0);
}

START_TEST(posix_disk_keeps_and_locks)
{
	dy_store_options_t options = { GROUP, 1, 42, 4096 };
	char folder[] = "/tmp/dy-test-store-XXXXXX";
	dy_disk_t *disk;
	dy_store_t *store;

	ck_assert_ptr_nonnull(mkdtemp(folder));
	disk = dy_disk_create(folder, NULL);
	ck_assert_ptr_null(dy_disk_create(folder, NULL));
	store = dy_store_create(disk, &options, NULL);
	add_many(store, 1, 300);
	sync_ok(store);
	ck_assert_int_eq(take_snapshot(store, 200, 1, 20000), 0);
	ck_assert_int_eq(dy_store_truncate(store, 290, NULL), 0);
	dy_store_destroy(store);
	store = dy_store_create(disk, &options, NULL);
	ck_assert_uint_eq(dy_store_first_index(store), 201);
	ck_assert_uint_eq(dy_store_last_index(store), 289);
	dy_store_destroy(store);
	dy_disk_destroy(disk);
	remove_folder(folder);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store");
	TCase *tcase = tcase_create("store");
	SRunner *runner;
	int failures;

	dy_log_configure(DY_LOG_ERROR, NULL);
	tcase_add_test(tcase, log_vote_and_identity_come_back);
	tcase_add_loop_test(tcase, torn_tail_is_cut, 0, 50);
	tcase_add_loop_test(tcase,
			    crash_at_any_operation_loses_nothing_acknowledged,
			    0, 40);
	tcase_add_loop_test(tcase, decayed_record_stops, 0, 2);
	tcase_add_loop_test(tcase, damaged_files_stop, 0, 6);
	tcase_add_test(tcase, lost_segment_stops);
	tcase_add_loop_test(tcase, failing_disk_never_acknowledges, 0, 3);
	tcase_add_loop_test(tcase, cached_bytes_of_failed_sync_are_written_anew,
			    0, 20);
	tcase_add_test(tcase, wiped_disk_brings_a_new_identity);
	tcase_add_test(tcase, folder_of_another_slot_is_refused);
	tcase_add_test(tcase, snapshot_cuts_the_log);
	tcase_add_loop_test(tcase, crash_while_a_snapshot_replaces_the_log, 0,
			    40);
	tcase_add_test(tcase, snapshot_without_room_is_given_up);
	tcase_add_test(tcase, posix_disk_keeps_and_locks);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
