#include "damaskyard/store.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <check.h>

#include "damaskyard/log.h"
#include "fake_store.h"

START_TEST(restores_log_vote_and_identity)
{
	fake_disk_t *disk = fake_disk_create(1);
	dy_store_t *store = fake_store_open(disk);
	dy_voter_id_t candidate = { 3, 1234 };

	fake_store_append(store, 1, 200);
	fake_store_sync(store);
	ck_assert_int_eq(dy_store_write_vote(store, 4, candidate, NULL), 0);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = fake_store_open_as(disk, 1000, NULL);
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
 * The disk is full, or its sync fails, while an operator submits a document. If
 * it was acknowledged, it would be lost at the next restart. Every later change
 * must be refused too, even when the disk has space again: after a failed sync
 * it is unknown what reached the disk.
 */
START_TEST(refuses_writes_after_disk_failure)
{
	fake_disk_t *disk = fake_disk_create(8);
	dy_store_t *store = fake_store_open(disk);
	GError *error = NULL;

	fake_store_append(store, 1, 3);
	fake_store_sync(store);
	fake_store_append(store, 1, 1);
	if (_i < 2)
		disk->writes_left = 0;
	else
		disk->syncs_left = 0;
	disk->short_write = _i == 1;
	ck_assert_int_eq(dy_store_sync(store, &error), -1);
	ck_assert_ptr_nonnull(strstr(error->message, "log-"));
	g_clear_error(&error);
	ck_assert_uint_eq(dy_store_synced_index(store), 3);
	fake_disk_clear_faults(disk);
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
 * A control's disk is lost and replaced by an empty one. With its old identity
 * it would vote a second time in a term whose vote it lost, and two leaders
 * could accept different documents. It must get a new identity.
 */
START_TEST(wiped_disk_gets_new_identity)
{
	fake_disk_t *disk = fake_disk_create(10);
	dy_store_t *store = fake_store_open(disk);

	dy_store_destroy(store);
	fake_disk_wipe(disk);
	store = fake_store_open_as(disk, 100, NULL);
	ck_assert_uint_eq(dy_store_id(store).identity, 100);
	ck_assert_uint_eq(dy_store_id(store).slot, 2);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(refuses_folder_of_another_slot)
{
	fake_disk_t *disk = fake_disk_create(10);
	dy_store_options_t options = { FAKE_STORE_GROUP, 3, 5, 0 };
	GError *error = NULL;

	dy_store_destroy(fake_store_open(disk));
	ck_assert_ptr_null(dy_store_create(&disk->table, &options, &error));
	ck_assert(
		g_error_matches(error, DY_STORE_ERROR, DY_STORE_ERROR_FOREIGN));
	g_error_free(error);
	fake_disk_destroy(disk);
}
END_TEST

START_TEST(snapshot_truncates_log)
{
	fake_disk_t *disk = fake_disk_create(11);
	dy_store_t *store = fake_store_open(disk);
	char piece[DY_RAFT_CHUNK_BYTES];

	fake_store_append(store, 1, 100);
	fake_store_sync(store);
	fake_store_append(store, 1, 100);
	fake_store_sync(store);
	ck_assert_int_eq(fake_store_write_snapshot(store, 150, 1, 40001), 0);
	dy_store_destroy(store);
	fake_disk_crash(disk);
	store = fake_store_open(disk);
	ck_assert_uint_eq(dy_store_first_index(store), 151);
	ck_assert_uint_eq(dy_store_last_index(store), 200);
	ck_assert_uint_eq(dy_store_entry_term(store, 150), 1);
	ck_assert_uint_eq(dy_store_snapshot(store)->size, 40001);
	ck_assert_int_eq(dy_store_snapshot_read(store, 32768, piece, NULL),
			 40001 - 32768);
	ck_assert_int_eq(piece[0], 150 & 0x7f);
	ck_assert_int_eq(fake_disk_size(disk, "log-00000000000000000001"), -1);
	/* A snapshot that conflicts with the log replaces all of it. */
	ck_assert_int_eq(fake_store_write_snapshot(store, 180, 5, 10), 0);
	ck_assert_uint_eq(dy_store_first_index(store), 181);
	ck_assert_uint_eq(dy_store_last_index(store), 180);
	ck_assert_uint_eq(dy_store_synced_index(store), 180);
	dy_store_destroy(store);
	fake_disk_destroy(disk);
}
END_TEST

/* A full disk fails the snapshot only: the log must still accept entries. */
START_TEST(full_disk_aborts_snapshot_only)
{
	fake_disk_t *disk = fake_disk_create(12);
	dy_store_t *store = fake_store_open(disk);

	fake_store_append(store, 1, 20);
	fake_store_sync(store);
	disk->writes_left = 2;
	ck_assert(fake_store_write_snapshot(store, 10, 1, 60000));
	fake_disk_clear_faults(disk);
	ck_assert(!dy_store_failed(store));
	ck_assert_ptr_null(dy_store_snapshot(store));
	fake_store_append(store, 1, 1);
	fake_store_sync(store);
	dy_store_destroy(store);
	store = fake_store_open(disk);
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

START_TEST(posix_disk_persists_and_locks)
{
	dy_store_options_t options = { FAKE_STORE_GROUP, 1, 42, 4096 };
	char folder[] = "/tmp/dy-test-store-XXXXXX";
	dy_disk_t *disk;
	dy_store_t *store;

	ck_assert_ptr_nonnull(mkdtemp(folder));
	disk = dy_disk_create(folder, NULL);
	ck_assert_ptr_null(dy_disk_create(folder, NULL));
	store = dy_store_create(disk, &options, NULL);
	fake_store_append(store, 1, 300);
	fake_store_sync(store);
	ck_assert_int_eq(fake_store_write_snapshot(store, 200, 1, 20000), 0);
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
	tcase_add_test(tcase, restores_log_vote_and_identity);
	tcase_add_loop_test(tcase, refuses_writes_after_disk_failure, 0, 3);
	tcase_add_test(tcase, wiped_disk_gets_new_identity);
	tcase_add_test(tcase, refuses_folder_of_another_slot);
	tcase_add_test(tcase, snapshot_truncates_log);
	tcase_add_test(tcase, full_disk_aborts_snapshot_only);
	tcase_add_test(tcase, posix_disk_persists_and_locks);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
