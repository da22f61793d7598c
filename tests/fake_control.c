#include "fake_control.h"

#include <string.h>

#include <check.h>
#include <glib/gstdio.h>

#include "damaskyard/log.h"

#define TICK_MS 5

/* Leases and key intervals that do not expire in a test of some seconds. */
#define LONG_MS 60000

static void on_tick(void *context)
{
	fake_control_t *fake = context;

	if (++fake->ticks >= fake->max_ticks ||
	    (fake->stop_flag && *fake->stop_flag))
		dy_loop_end(fake->loop);
}

void fake_control_run(fake_control_t *fake, unsigned max_ticks,
		      const int *stop_flag)
{
	fake->ticks = 0;
	fake->max_ticks = max_ticks;
	fake->stop_flag = stop_flag;
	dy_loop_run(fake->loop);
}

static void create_loop(fake_control_t *fake)
{
	fake->metrics = dy_metrics_create();
	fake->loop = dy_loop_create(fake->metrics);
	dy_loop_every(fake->loop, TICK_MS, on_tick, fake);
}

dy_address_t fake_control_unused_address(fake_control_t *fake)
{
	dy_address_t address;
	dy_endpoint_t *probe;

	dy_address_parse("127.0.0.1:0", &address);
	probe = dy_endpoint_create(fake->loop, &address, NULL, NULL, NULL);
	address = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	fake_control_run(fake, 2, NULL);
	return address;
}

void fake_control_init(fake_control_t *fake)
{
	dy_control_options_t *options = &fake->options;

	memset(fake, 0, sizeof(*fake));
	dy_log_configure(DY_LOG_ERROR, NULL);
	fake->folder = g_dir_make_tmp("dy-control-XXXXXX", NULL);
	create_loop(fake);
	options->group = 1;
	options->slot = 1;
	options->folder = fake->folder;
	options->listen = fake_control_unused_address(fake);
	options->peers.count = 1;
	options->peers.slots[1] = options->listen;
	options->dynamic_membership = 1;
	options->secrets.count = 1;
	options->leases.lease_ms = LONG_MS;
	options->leases.keep_ms = LONG_MS;
	options->keys.rotate_ms = LONG_MS;
	options->keys.distribute_ms = LONG_MS;
	options->keys.renew_ms = LONG_MS;
}

void fake_control_start(fake_control_t *fake)
{
	GError *error = NULL;

	if (!fake->loop)
		create_loop(fake);
	fake->control = dy_control_create(fake->loop, fake->metrics,
					  &fake->options, &error);
	ck_assert_ptr_nonnull(fake->control);
}

void fake_control_stop(fake_control_t *fake)
{
	dy_control_destroy(fake->control);
	dy_loop_destroy(fake->loop);
	dy_metrics_destroy(fake->metrics);
	fake->control = NULL;
	fake->loop = NULL;
	fake->metrics = NULL;
}

void fake_control_remove_folder(char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;
	char *path;

	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(folder);
	g_free(folder);
}

void fake_control_clear(fake_control_t *fake)
{
	fake_control_remove_folder(fake->folder);
}
