/*
 * Operations on a data folder without opening its store.
 */

#include <errno.h>

#include "damaskyard/log.h"
#include "store_private.h"
#include "store_record.h"

int dy_store_find_slot(const char *folder, uint32_t *slot, GError **error)
{
	dy_disk_t *disk = dy_disk_create(folder, error);
	dy_record_t record;
	GByteArray *file;
	GError *local_error = NULL;
	size_t used = 0;

	if (!disk)
		return -1;
	file = store_read_file(disk, STORE_IDENTITY_NAME, &local_error);
	if (file)
		used = record_decode(file->data, file->len, 0, &record);
	if (used) {
		*slot = record.dy_record_t_u.identity.id.slot;
		record_drop(&record);
	} else if (file) {
		store_corrupt(STORE_IDENTITY_NAME, 0, "the record is damaged",
			      &local_error);
	}
	if (file)
		g_byte_array_free(file, TRUE);
	dy_disk_destroy(disk);
	if (local_error) {
		g_propagate_error(error, local_error);
		return -1;
	}
	return used != 0;
}

static void collect_name(void *context, const char *name)
{
	g_ptr_array_add(context, g_strdup(name));
}

/* Returns 0 or -errno. */
static int remove_files(const dy_disk_t *disk, const GPtrArray *names)
{
	int code = 0;
	guint i;

	for (i = 0; code >= 0 && i < names->len; i++)
		code = disk->remove(disk->context, g_ptr_array_index(names, i));
	return code;
}

int store_clear_disk(const dy_disk_t *disk)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	int code = disk->remove(disk->context, STORE_IDENTITY_NAME);

	if (code == -ENOENT)
		code = 0;
	if (code >= 0)
		code = disk->sync_folder(disk->context);
	if (code >= 0)
		code = disk->list(disk->context, collect_name, names);
	if (code >= 0)
		code = remove_files(disk, names);
	if (code >= 0)
		code = disk->sync_folder(disk->context);
	dy_log_event(DY_LOG_WARN, "store_cleared", "files=%u code=%d",
		     names->len, code);
	g_ptr_array_free(names, TRUE);
	return code;
}

int dy_store_clear(const char *folder, GError **error)
{
	dy_disk_t *disk = dy_disk_create(folder, error);
	int code;

	if (!disk)
		return -1;
	code = store_clear_disk(disk);
	if (code < 0)
		g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO,
			    "cannot clear the data folder: %s",
			    g_strerror(-code));
	dy_disk_destroy(disk);
	return code < 0 ? -1 : 0;
}
