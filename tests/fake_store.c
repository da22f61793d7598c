#include "fake_store.h"

#include <stdio.h>
#include <string.h>

#include <check.h>

dy_store_t *fake_store_open_as(fake_disk_t *disk, uint64_t identity,
			       GError **error)
{
	dy_store_options_t options = { FAKE_STORE_GROUP, 2, identity, 2048 };

	return dy_store_create(&disk->table, &options, error);
}

dy_store_t *fake_store_open(fake_disk_t *disk)
{
	GError *error = NULL;
	dy_store_t *store = fake_store_open_as(disk, 99, &error);

	ck_assert_msg(store != NULL, "%s", error ? error->message : "");
	return store;
}

static void append_text(dy_store_t *store, uint64_t term, const char *text)
{
	dy_raft_entry_t entry = { .index = dy_store_last_index(store) + 1,
				  .term = term,
				  .type = DY_ENTRY_COMMAND };

	entry.data.data_val = (char *)text;
	entry.data.data_len = strlen(text);
	dy_store_append(store, &entry);
}

void fake_store_append(dy_store_t *store, uint64_t term, int count)
{
	char text[64];

	while (count--) {
		snprintf(text, sizeof(text), "change %llu of term %llu",
			 (unsigned long long)dy_store_last_index(store) + 1,
			 (unsigned long long)term);
		append_text(store, term, text);
	}
}

void fake_store_sync(dy_store_t *store)
{
	ck_assert_int_eq(dy_store_sync(store, NULL), 0);
}

int fake_store_write_snapshot(dy_store_t *store, uint64_t index, uint64_t term,
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
