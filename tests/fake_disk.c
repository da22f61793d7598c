#include "fake_disk.h"

#include <errno.h>
#include <string.h>

#define SECTOR_BYTES 512

typedef struct fake_file {
	GByteArray *cached;
	GByteArray *durable;
	/* One byte for each sector: written and not synced. */
	GByteArray *dirty;
} fake_file_t;

static void free_file(gpointer data)
{
	fake_file_t *file = data;

	g_byte_array_free(file->cached, TRUE);
	g_byte_array_free(file->durable, TRUE);
	g_byte_array_free(file->dirty, TRUE);
	g_free(file);
}

static void resize(GByteArray *array, guint size)
{
	guint old = array->len;

	g_byte_array_set_size(array, size);
	if (size > old)
		memset(array->data + old, 0, size - old);
}

static int count_down(uint32_t *left)
{
	if (*left == FAKE_DISK_NEVER)
		return 0;
	if (!*left)
		return 1;
	(*left)--;
	return 0;
}

static int stopped(fake_disk_t *disk)
{
	return count_down(&disk->operations_left);
}

static fake_file_t *at_handle(const fake_disk_t *disk, int handle)
{
	return g_ptr_array_index(disk->handles, handle);
}

static int fake_open(void *context, const char *name, int create)
{
	fake_disk_t *disk = context;
	fake_file_t *file = g_hash_table_lookup(disk->cached, name);

	if (stopped(disk))
		return -EIO;
	if (!file && !create)
		return -ENOENT;
	if (!file) {
		file = g_new0(fake_file_t, 1);
		file->cached = g_byte_array_new();
		file->durable = g_byte_array_new();
		file->dirty = g_byte_array_new();
		g_ptr_array_add(disk->files, file);
		g_hash_table_insert(disk->cached, g_strdup(name), file);
	}
	g_ptr_array_add(disk->handles, file);
	return (int)disk->handles->len - 1;
}

static void fake_close(void *context, int handle)
{
	fake_disk_t *disk = context;

	if ((guint)handle < disk->handles->len)
		g_ptr_array_index(disk->handles, handle) = NULL;
}

static int64_t fake_read(void *context, int handle, uint64_t offset, void *data,
			 size_t size)
{
	fake_disk_t *disk = context;
	const fake_file_t *file = at_handle(disk, handle);

	if (stopped(disk))
		return -EIO;
	if (offset >= file->cached->len)
		return 0;
	size = MIN(size, file->cached->len - offset);
	memcpy(data, file->cached->data + offset, size);
	return (int64_t)size;
}

static int64_t fake_write(void *context, int handle, uint64_t offset,
			  const void *data, size_t size)
{
	fake_disk_t *disk = context;
	fake_file_t *file = at_handle(disk, handle);
	uint64_t i;

	if (stopped(disk))
		return -EIO;
	if (count_down(&disk->writes_left)) {
		if (!disk->short_write || size < 2)
			return disk->write_code;
		disk->short_write = 0;
		disk->writes_left = 0;
		size /= 2;
	}
	if (offset + size > file->cached->len)
		resize(file->cached, offset + size);
	resize(file->dirty, file->cached->len / SECTOR_BYTES + 1);
	memcpy(file->cached->data + offset, data, size);
	for (i = offset / SECTOR_BYTES; i * SECTOR_BYTES < offset + size; i++)
		file->dirty->data[i] = 1;
	return (int64_t)size;
}

static int fake_truncate(void *context, int handle, uint64_t size)
{
	fake_disk_t *disk = context;
	fake_file_t *file = at_handle(disk, handle);

	if (stopped(disk))
		return -EIO;
	resize(file->cached, size);
	resize(file->dirty, size / SECTOR_BYTES + 1);
	return 0;
}

static void copy_sector(fake_file_t *file, guint sector)
{
	guint from = sector * SECTOR_BYTES;
	guint end = MIN(from + SECTOR_BYTES,
			MIN(file->cached->len, file->durable->len));

	if (from < end)
		memcpy(file->durable->data + from, file->cached->data + from,
		       end - from);
}

static int fake_sync(void *context, int handle)
{
	fake_disk_t *disk = context;
	fake_file_t *file = at_handle(disk, handle);
	int failed = count_down(&disk->syncs_left);
	guint i;

	if (stopped(disk))
		return -EIO;
	disk->sync_count++;
	/* As on Linux, a failed sync leaves the pages marked clean. */
	if (!failed)
		resize(file->durable, file->cached->len);
	for (i = 0; i < file->dirty->len; i++) {
		if (!failed && file->dirty->data[i])
			copy_sector(file, i);
		file->dirty->data[i] = 0;
	}
	return failed ? -EIO : 0;
}

static int64_t fake_size(void *context, int handle)
{
	fake_disk_t *disk = context;

	if (stopped(disk))
		return -EIO;
	return at_handle(disk, handle)->cached->len;
}

static int fake_rename(void *context, const char *from, const char *to)
{
	fake_disk_t *disk = context;
	fake_file_t *file = g_hash_table_lookup(disk->cached, from);

	if (stopped(disk))
		return -EIO;
	if (!file)
		return -ENOENT;
	g_hash_table_insert(disk->cached, g_strdup(to), file);
	g_hash_table_remove(disk->cached, from);
	return 0;
}

static int fake_remove(void *context, const char *name)
{
	fake_disk_t *disk = context;

	if (stopped(disk))
		return -EIO;
	return g_hash_table_remove(disk->cached, name) ? 0 : -ENOENT;
}

static void copy_names(GHashTable *to, GHashTable *from)
{
	GHashTableIter iter;
	gpointer name;
	gpointer file;

	g_hash_table_remove_all(to);
	g_hash_table_iter_init(&iter, from);
	while (g_hash_table_iter_next(&iter, &name, &file))
		g_hash_table_insert(to, g_strdup(name), file);
}

static int fake_sync_folder(void *context)
{
	fake_disk_t *disk = context;

	if (stopped(disk))
		return -EIO;
	if (count_down(&disk->syncs_left))
		return -EIO;
	copy_names(disk->durable, disk->cached);
	return 0;
}

static GList *sorted_names(GHashTable *names)
{
	return g_list_sort(g_hash_table_get_keys(names), (GCompareFunc)strcmp);
}

static int fake_list(void *context, dy_disk_name_cb_t *each, void *each_context)
{
	fake_disk_t *disk = context;
	GList *names;
	GList *at;

	if (stopped(disk))
		return -EIO;
	names = sorted_names(disk->cached);
	for (at = names; at; at = at->next)
		each(each_context, at->data);
	g_list_free(names);
	return 0;
}

fake_disk_t *fake_disk_create(uint32_t seed)
{
	fake_disk_t *disk = g_new0(fake_disk_t, 1);

	disk->table = (dy_disk_t){
		disk,	     fake_open,	    fake_close,	      fake_read,
		fake_write,  fake_truncate, fake_sync,	      fake_size,
		fake_rename, fake_remove,   fake_sync_folder, fake_list,
	};
	disk->rand = g_rand_new_with_seed(seed);
	disk->files = g_ptr_array_new_with_free_func(free_file);
	disk->handles = g_ptr_array_new();
	disk->cached =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	disk->durable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	fake_disk_clear_faults(disk);
	return disk;
}

void fake_disk_destroy(fake_disk_t *disk)
{
	g_hash_table_destroy(disk->cached);
	g_hash_table_destroy(disk->durable);
	g_ptr_array_free(disk->handles, TRUE);
	g_ptr_array_free(disk->files, TRUE);
	g_rand_free(disk->rand);
	g_free(disk);
}

void fake_disk_clear_faults(fake_disk_t *disk)
{
	disk->writes_left = FAKE_DISK_NEVER;
	disk->syncs_left = FAKE_DISK_NEVER;
	disk->operations_left = FAKE_DISK_NEVER;
	disk->short_write = 0;
	disk->write_code = -ENOSPC;
}

void fake_disk_restart(fake_disk_t *disk)
{
	g_ptr_array_set_size(disk->handles, 0);
	fake_disk_clear_faults(disk);
}

static void crash_file(fake_disk_t *disk, fake_file_t *file)
{
	guint cached = file->cached->len;
	guint durable = file->durable->len;
	guint i;

	if (cached > durable)
		resize(file->durable,
		       durable + g_rand_int_range(disk->rand, 0,
						  (int)(cached - durable) + 1));
	else if (cached < durable && g_rand_boolean(disk->rand))
		resize(file->durable, cached);
	for (i = 0; i < file->dirty->len; i++)
		if (file->dirty->data[i] && g_rand_boolean(disk->rand))
			copy_sector(file, i);
	g_byte_array_set_size(file->cached, 0);
	g_byte_array_append(file->cached, file->durable->data,
			    file->durable->len);
	g_byte_array_set_size(file->dirty, 0);
}

/* A name that differs survives as cached or as on disk, by random choice. */
static void crash_names(fake_disk_t *disk, GHashTable *names, GHashTable *out)
{
	GList *sorted = sorted_names(names);
	gpointer cached;
	gpointer durable;
	GList *at;

	for (at = sorted; at; at = at->next) {
		cached = g_hash_table_lookup(disk->cached, at->data);
		durable = g_hash_table_lookup(disk->durable, at->data);
		if (g_hash_table_contains(out, at->data))
			continue;
		if (cached != durable && g_rand_boolean(disk->rand))
			durable = cached;
		if (durable)
			g_hash_table_insert(out, g_strdup(at->data), durable);
	}
	g_list_free(sorted);
}

void fake_disk_crash(fake_disk_t *disk)
{
	GHashTable *out =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	guint i;

	for (i = 0; i < disk->files->len; i++)
		crash_file(disk, g_ptr_array_index(disk->files, i));
	crash_names(disk, disk->durable, out);
	crash_names(disk, disk->cached, out);
	copy_names(disk->cached, out);
	copy_names(disk->durable, out);
	g_hash_table_destroy(out);
	fake_disk_restart(disk);
}

void fake_disk_wipe(fake_disk_t *disk)
{
	g_hash_table_remove_all(disk->cached);
	g_hash_table_remove_all(disk->durable);
	fake_disk_restart(disk);
}

int fake_disk_flip_bit(fake_disk_t *disk, const char *name, uint64_t offset)
{
	fake_file_t *file = g_hash_table_lookup(disk->cached, name);

	if (!file || offset >= file->cached->len)
		return 0;
	file->cached->data[offset] ^= 0x10;
	if (offset < file->durable->len)
		file->durable->data[offset] = file->cached->data[offset];
	return 1;
}

int64_t fake_disk_size(const fake_disk_t *disk, const char *name)
{
	const fake_file_t *file = g_hash_table_lookup(disk->cached, name);

	return file ? (int64_t)file->cached->len : -1;
}

void fake_disk_remove(fake_disk_t *disk, const char *name)
{
	g_hash_table_remove(disk->cached, name);
	g_hash_table_remove(disk->durable, name);
}

const char *fake_disk_find(const fake_disk_t *disk, const char *prefix)
{
	GList *names = sorted_names(disk->cached);
	const char *found = NULL;
	GList *at;

	for (at = names; at && !found; at = at->next)
		if (g_str_has_prefix(at->data, prefix))
			found = at->data;
	g_list_free(names);
	return found;
}
