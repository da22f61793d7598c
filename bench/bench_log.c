/*
 * Measures the control group's log on the local disk: commits per second with
 * a real sync per batch, and the time to restart from a snapshot and 10,000
 * entries after it. Prints rows of key=value.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "damaskyard/store.h"

#define ENTRY_BYTES 256
#define RUN_SECONDS 2
#define RESTART_ENTRIES 10000
#define SNAPSHOT_BYTES (1u << 20)

static void fail(const char *what, const GError *error)
{
	fprintf(stderr, "bench_log: %s: %s\n", what,
		error ? error->message : "failed");
	exit(1);
}

static double now_s(void)
{
	return (double)g_get_monotonic_time() / G_USEC_PER_SEC;
}

static void append(dy_store_t *store, int count)
{
	char data[ENTRY_BYTES];
	dy_raft_entry_t entry = { .term = 1, .type = DY_ENTRY_COMMAND };

	memset(data, 'x', sizeof(data));
	entry.data.data_val = data;
	entry.data.data_len = sizeof(data);
	while (count--) {
		entry.index = dy_store_last_index(store) + 1;
		dy_store_append(store, &entry);
	}
}

static void measure_batch(dy_store_t *store, int batch)
{
	double start = now_s();
	double end = start + RUN_SECONDS;
	GError *error = NULL;
	long syncs = 0;

	do {
		append(store, batch);
		if (dy_store_sync(store, &error))
			fail("sync", error);
		syncs++;
	} while (now_s() < end);
	end = now_s();
	printf("bench=log batch=%d entry_bytes=%d commits_per_s=%.0f "
	       "syncs_per_s=%.0f sync_ms=%.3f\n",
	       batch, ENTRY_BYTES, (double)(syncs * batch) / (end - start),
	       (double)syncs / (end - start),
	       (end - start) * 1000 / (double)syncs);
}

static void write_snapshot(dy_store_t *store)
{
	dy_store_snapshot_t meta = { .last_term = 1 };
	char *bytes = g_malloc0(SNAPSHOT_BYTES);
	GError *error = NULL;

	meta.last_index = dy_store_last_index(store);
	if (dy_store_snapshot_begin(store, &meta, &error) ||
	    dy_store_snapshot_add(store, bytes, SNAPSHOT_BYTES, &error) ||
	    dy_store_snapshot_commit(store, &error))
		fail("snapshot", error);
	g_free(bytes);
}

static void measure_restart(dy_store_t *store, const dy_disk_t *disk,
			    const dy_store_options_t *options)
{
	GError *error = NULL;
	double start;

	write_snapshot(store);
	append(store, RESTART_ENTRIES);
	if (dy_store_sync(store, &error))
		fail("sync", error);
	dy_store_destroy(store);
	start = now_s();
	store = dy_store_create(disk, options, &error);
	if (!store)
		fail("restart", error);
	printf("bench=restart snapshot_bytes=%u entries=%llu restart_ms=%.1f\n",
	       SNAPSHOT_BYTES,
	       (unsigned long long)(dy_store_last_index(store) + 1 -
				    dy_store_first_index(store)),
	       (now_s() - start) * 1000);
	dy_store_destroy(store);
}

static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(folder, name, NULL);
		(void)unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	(void)rmdir(folder);
}

int main(void)
{
	dy_store_options_t options = { 1, 1, 1, 0 };
	char *folder = g_dir_make_tmp("damaskyard-bench-XXXXXX", NULL);
	GError *error = NULL;
	dy_disk_t *disk;
	dy_store_t *store;

	if (!folder)
		fail("temporary folder", NULL);
	disk = dy_disk_create(folder, &error);
	store = disk ? dy_store_create(disk, &options, &error) : NULL;
	if (!store)
		fail("open", error);
	measure_batch(store, 1);
	measure_batch(store, 16);
	measure_batch(store, 64);
	measure_restart(store, disk, &options);
	dy_disk_destroy(disk);
	remove_folder(folder);
	g_free(folder);
	return 0;
}
