#include "damaskyard/store.h"

#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_store.h"
#include "store_private.h"

/* Check that the open fails with a message that names file and reason. */
static void expect_refusal(fake_disk_t *disk, const char *file,
			   const char *reason)
{
	GError *error = NULL;
	dy_store_t *store = fake_store_open_as(disk, 99, &error);

	ck_assert_ptr_null(store);
	ck_assert_msg(
		g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_CORRUPT),
		"%s", error->message);
	ck_assert_ptr_nonnull(strstr(error->message, file));
	ck_assert_ptr_nonnull(strstr(error->message, reason));
	g_error_free(error);
}

/*
 * The power fails while a batch is written. At restart the control must have
 * all that it acknowledged and nothing of the torn batch, whichever of its
 * sectors reached the disk.
 */
START_TEST(truncates_torn_tail)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = fake_store_open(disk);
	uint64_t last;

	fake_store_append(store, 1, 30);
	fake_store_sync(store);
	fake_store_append(store, 1, 60);
	disk->operations_left = (uint32_t)_i % 4;
	ck_assert_int_eq(dy_store_sync(store, NULL), -1);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = fake_store_open(disk);
	last = dy_store_last_index(store);
	ck_assert_uint_ge(last, 30);
	fake_store_append(store, 2, 5);
	fake_store_sync(store);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = fake_store_open(disk);
	ck_assert_uint_eq(dy_store_last_index(store), last + 5);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * Truncate some entries. Returns the last acknowledged index, whether the
 * truncation succeeded or not.
 */
static uint64_t truncate_log(dy_store_t *store, GRand *rand,
			     uint64_t acknowledged)
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
 * As above, but the VM stops at any disk operation, also between write and
 * sync, and repeatedly. No acknowledged entry may be lost, and no open may
 * fail, since a crash is no damage.
 */
START_TEST(keeps_acknowledged_entries_after_crash_at_any_operation)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i + 100);
	GRand *rand = g_rand_new_with_seed((uint32_t)_i);
	uint64_t acknowledged = 0;
	uint64_t term = 1;
	dy_store_t *store;
	int tries;
	int turn;

	for (turn = 0; turn < 60; turn++) {
		store = fake_store_open(disk);
		ck_assert_uint_ge(dy_store_last_index(store), acknowledged);
		disk->operations_left = g_rand_int_range(rand, 0, 60);
		for (tries = 0; !dy_store_failed(store); tries++) {
			ck_assert_int_lt(tries, 1000);
			fake_store_append(store, term,
					  g_rand_int_range(rand, 1, 30));
			if (!dy_store_sync(store, NULL))
				acknowledged = dy_store_last_index(store);
			if (g_rand_int_range(rand, 0, 8))
				continue;
			if (g_rand_boolean(rand)) {
				acknowledged =
					truncate_log(store, rand, acknowledged);
				term++;
			} else {
				(void)fake_store_write_snapshot(
					store, acknowledged, term, 40000);
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
 * A bit flips on disk in a change that was acknowledged long ago, or in the
 * last one. If it was truncated as a torn tail, this control would vote without
 * it, and an accepted document could be lost. The open must fail and name the
 * place.
 */
START_TEST(refuses_corrupt_synced_record)
{
	fake_disk_t *disk = fake_disk_create(5);
	dy_store_t *store = fake_store_open(disk);
	const char *name;
	int64_t size;

	fake_store_append(store, 1, 10);
	fake_store_sync(store);
	if (_i == 0) {
		fake_store_append(store, 1, 1);
		fake_store_sync(store);
	}
	dy_store_destroy(store);
	name = fake_disk_find(disk, "log-");
	size = fake_disk_size(disk, name);
	ck_assert(fake_disk_flip_bit(disk, name, _i == 0 ? 300 : size - 3));
	expect_refusal(disk, name, "a synced record is damaged");
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(refuses_damaged_or_missing_file)
{
	static const char *const names[] = { "identity", "vote", "snapshot" };
	const char *name = names[_i % 3];
	fake_disk_t *disk = fake_disk_create(6);
	dy_store_t *store = fake_store_open(disk);

	fake_store_append(store, 1, 100);
	fake_store_sync(store);
	fake_store_append(store, 1, 300);
	fake_store_sync(store);
	ck_assert_int_eq(fake_store_write_snapshot(store, 150, 1, 50000), 0);
	dy_store_destroy(store);
	if (_i < 3) {
		fake_disk_flip_bit(disk, name, fake_disk_size(disk, name) - 9);
		expect_refusal(disk, name, "damaged");
	} else {
		fake_disk_remove(disk, name);
		expect_refusal(disk, _i == 5 ? "log-" : name, "missing");
	}
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(refuses_missing_segment)
{
	fake_disk_t *disk = fake_disk_create(6);
	dy_store_t *store = fake_store_open(disk);

	fake_store_append(store, 1, 50);
	fake_store_sync(store);
	fake_store_append(store, 1, 50);
	fake_store_sync(store);
	dy_store_destroy(store);
	fake_disk_remove(disk, "log-00000000000000000051");
	expect_refusal(disk, "log", "synced records are missing");
	fake_disk_destroy(disk);
}
END_TEST

/*
 * A sync fails, and the restarted process reads the complete log from the
 * kernel's page cache. If it acknowledges the entry, or the vote, that it finds
 * there, a power loss removes what never reached the disk.
 */
START_TEST(rewrites_cached_data_after_failed_sync)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = fake_store_open(disk);
	dy_voter_id_t candidate = { 1, 11 };
	int vote = _i % 2;

	if (!vote) {
		fake_store_append(store, 1, 2);
		fake_store_sync(store);
		fake_store_append(store, 1, 1);
		disk->syncs_left = 0;
		ck_assert_int_eq(dy_store_sync(store, NULL), -1);
	} else {
		disk->syncs_left = 1;
		ck_assert_int_eq(dy_store_write_vote(store, 5, candidate, NULL),
				 -1);
	}
	dy_store_destroy(store);
	fake_disk_restart(disk);
	store = fake_store_open(disk);
	ck_assert_uint_eq(dy_store_synced_index(store), vote ? 0 : 3);
	ck_assert_uint_eq(dy_store_term(store), vote ? 5 : 0);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = fake_store_open(disk);
	ck_assert_uint_eq(dy_store_last_index(store), vote ? 0 : 3);
	ck_assert_uint_eq(dy_store_term(store), vote ? 5 : 0);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/*
 * A leader's snapshot replaces entries that were never committed, and the VM
 * stops before they are removed. If they were read beside the snapshot, they
 * would look committed, and this control could be elected with them.
 */
START_TEST(recovers_from_crash_during_snapshot_install)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = fake_store_open(disk);
	int i;

	for (i = 0; i < 5; i++) {
		fake_store_append(store, 1, 40);
		fake_store_sync(store);
	}
	disk->operations_left = (uint32_t)_i;
	(void)fake_store_write_snapshot(store, _i % 2 ? 80 : 90, 5, 100);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = fake_store_open(disk);
	if (dy_store_snapshot(store))
		ck_assert_uint_eq(dy_store_last_index(store),
				  dy_store_snapshot(store)->last_index);
	else
		ck_assert_uint_eq(dy_store_last_index(store), 200);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/* The power fails while a folder is cleared, and an identity loses its log. */
START_TEST(power_loss_while_clearing_keeps_log_with_identity)
{
	fake_disk_t *disk = fake_disk_create((uint32_t)_i);
	dy_store_t *store = fake_store_open(disk);
	GError *error = NULL;

	fake_store_append(store, 1, 30);
	fake_store_sync(store);
	dy_store_destroy(store);
	disk->operations_left = (uint32_t)_i % 7;
	(void)store_clear_disk(&disk->table);
	fake_disk_crash(disk);
	store = fake_store_open_as(disk, 77, &error);
	if (store && dy_store_id(store).identity == 99)
		ck_assert_uint_eq(dy_store_last_index(store), 30);
	else if (store)
		ck_assert_uint_eq(dy_store_last_index(store), 0);
	else
		ck_assert(g_error_matches(error, DY_STORE_ERROR,
					  DY_STORE_ERROR_CORRUPT));
	g_clear_error(&error);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store_recover");
	TCase *tcase = tcase_create("store_recover");
	SRunner *runner;
	int failures;

	dy_log_configure(DY_LOG_ERROR, NULL);
	tcase_add_loop_test(tcase, truncates_torn_tail, 0, 50);
	tcase_add_loop_test(
		tcase, keeps_acknowledged_entries_after_crash_at_any_operation,
		0, 40);
	tcase_add_loop_test(tcase, refuses_corrupt_synced_record, 0, 2);
	tcase_add_loop_test(tcase, refuses_damaged_or_missing_file, 0, 6);
	tcase_add_test(tcase, refuses_missing_segment);
	tcase_add_loop_test(tcase, rewrites_cached_data_after_failed_sync, 0,
			    20);
	tcase_add_loop_test(tcase, recovers_from_crash_during_snapshot_install,
			    0, 40);
	tcase_add_loop_test(tcase,
			    power_loss_while_clearing_keeps_log_with_identity,
			    0, 70);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
