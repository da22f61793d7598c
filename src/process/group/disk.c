#include "damaskyard/store.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

/* Locked against a second process that would use the folder. */
#define LOCK_NAME "lock"

typedef struct folder {
	int handle;
	int lock;
} folder_t;

static int posix_open(void *context, const char *name, int create)
{
	const folder_t *folder = context;
	int flags = O_RDWR | O_CLOEXEC | (create ? O_CREAT : 0);
	int handle = openat(folder->handle, name, flags, 0600);

	return handle < 0 ? -errno : handle;
}

static void posix_close(void *context, int handle)
{
	close(handle);
}

static int64_t posix_read(void *context, int handle, uint64_t offset,
			  void *data, size_t size)
{
	size_t done = 0;
	ssize_t n;

	while (done < size) {
		n = pread(handle, (char *)data + done, size - done,
			  (off_t)(offset + done));
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			return -errno;
		if (!n)
			break;
		done += n;
	}
	return (int64_t)done;
}

static int64_t posix_write(void *context, int handle, uint64_t offset,
			   const void *data, size_t size)
{
	ssize_t n;

	do
		n = pwrite(handle, data, size, (off_t)offset);
	while (n < 0 && errno == EINTR);
	return n < 0 ? -errno : n;
}

static int posix_truncate(void *context, int handle, uint64_t size)
{
	return ftruncate(handle, (off_t)size) ? -errno : 0;
}

static int posix_sync(void *context, int handle)
{
	return fsync(handle) ? -errno : 0;
}

static int64_t posix_size(void *context, int handle)
{
	struct stat status;

	return fstat(handle, &status) ? -errno : status.st_size;
}

static int posix_rename(void *context, const char *from, const char *to)
{
	const folder_t *folder = context;

	return renameat(folder->handle, from, folder->handle, to) ? -errno : 0;
}

static int posix_remove(void *context, const char *name)
{
	const folder_t *folder = context;

	return unlinkat(folder->handle, name, 0) ? -errno : 0;
}

static int posix_sync_folder(void *context)
{
	const folder_t *folder = context;

	return fsync(folder->handle) ? -errno : 0;
}

static int posix_list(void *context, dy_disk_name_cb_t *each,
		      void *each_context)
{
	const folder_t *folder = context;
	const struct dirent *entry;
	int copy = openat(folder->handle, ".", O_RDONLY | O_CLOEXEC);
	DIR *dir;

	if (copy < 0)
		return -errno;
	dir = fdopendir(copy);
	if (!dir) {
		close(copy);
		return -ENOMEM;
	}
	while ((entry = readdir(dir)))
		if (entry->d_name[0] != '.' && strcmp(entry->d_name, LOCK_NAME))
			each(each_context, entry->d_name);
	closedir(dir);
	return 0;
}

static dy_disk_t *create_disk(folder_t folder)
{
	dy_disk_t *disk = g_new0(dy_disk_t, 1);

	disk->context = g_memdup2(&folder, sizeof(folder));
	disk->open = posix_open;
	disk->close = posix_close;
	disk->read = posix_read;
	disk->write = posix_write;
	disk->truncate = posix_truncate;
	disk->sync = posix_sync;
	disk->size = posix_size;
	disk->rename = posix_rename;
	disk->remove = posix_remove;
	disk->sync_folder = posix_sync_folder;
	disk->list = posix_list;
	return disk;
}

/* A new folder is durable only after its parent is synced. */
static int create_folder(const char *name)
{
	char *parent;
	int handle;
	int failed;

	if (mkdir(name, 0700))
		return errno == EEXIST ? 0 : -1;
	parent = g_path_get_dirname(name);
	handle = open(parent, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	g_free(parent);
	if (handle < 0)
		return -1;
	failed = fsync(handle);
	close(handle);
	return failed;
}

dy_disk_t *dy_disk_create(const char *name, GError **error)
{
	folder_t folder = { -1, -1 };

	if (create_folder(name))
		goto failed;
	folder.handle = open(name, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
	if (folder.handle < 0)
		goto failed;
	folder.lock = openat(folder.handle, LOCK_NAME,
			     O_RDWR | O_CREAT | O_CLOEXEC, 0600);
	if (folder.lock < 0 || flock(folder.lock, LOCK_EX | LOCK_NB))
		goto failed;
	return create_disk(folder);
failed:
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO, "%s: %s", name,
		    errno == EWOULDBLOCK
			    ? "another process uses this data folder"
			    : g_strerror(errno));
	if (folder.lock >= 0)
		close(folder.lock);
	if (folder.handle >= 0)
		close(folder.handle);
	return NULL;
}

void dy_disk_destroy(dy_disk_t *disk)
{
	folder_t *folder;

	if (!disk)
		return;
	folder = disk->context;
	close(folder->lock);
	close(folder->handle);
	g_free(folder);
	g_free(disk);
}
