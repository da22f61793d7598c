/* What a control was told with its slot, across restarts and power losses. */

#include "slot_record.h"

#include <string.h>

#include "damaskyard/log.h"
#include "fake_control.h"
#include "fake_disk.h"
#include "fake_suite.h"
#include "slot_claim.h"

#define GROUP 1

static dy_address_t address(const char *text)
{
	dy_address_t result;

	ck_assert_int_eq(dy_address_parse(text, &result), 0);
	return result;
}

static slot_record_t make_record(uint32_t slot)
{
	slot_record_t record = { .group = GROUP, .slot = slot };

	record.first_start = slot == 1;
	record.peers.count = 3;
	record.peers.slots[1] = address("127.0.0.1:7001");
	record.peers.slots[16] = address("127.0.0.16:7016");
	return record;
}

/* The power fails while the record is written, and a part of one is believed.
 */
START_TEST(power_loss_leaves_whole_record_or_none)
{
	slot_record_t first = make_record(1);
	slot_record_t second = make_record(2);
	slot_record_t read;
	fake_disk_t *disk;
	uint32_t seed;
	uint32_t left;
	int found;

	for (seed = 0; seed < 20; seed++) {
		for (left = 0; left < 8; left++) {
			disk = fake_disk_create(seed);
			if (seed % 2)
				slot_record_write(&disk->table, &first, NULL);
			disk->operations_left = left;
			found = slot_record_write(&disk->table, &second, NULL);
			fake_disk_crash(disk);
			if (!found)
				found = -2;
			ck_assert_int_ge(
				slot_record_read(&disk->table, &read, NULL), 0);
			/* What was reported as written is there. */
			if (found == -2 || read.slot == 2)
				ck_assert_mem_eq(&read, &second, sizeof(read));
			else if (seed % 2)
				ck_assert_mem_eq(&read, &first, sizeof(read));
			else
				ck_assert_uint_eq(read.slot, 0);
			fake_disk_destroy(disk);
		}
	}
}
END_TEST

START_TEST(refuses_damaged_record)
{
	fake_disk_t *disk = fake_disk_create(1);
	slot_record_t record = make_record(1);
	GError *error = NULL;
	int64_t size;
	int64_t at;

	slot_record_write(&disk->table, &record, NULL);
	size = fake_disk_size(disk, "slot");
	for (at = 0; at < size; at++) {
		ck_assert(fake_disk_flip_bit(disk, "slot", (uint64_t)at));
		ck_assert_int_eq(
			slot_record_read(&disk->table, &record, &error), -1);
		ck_assert(g_error_matches(error, DY_STORE_ERROR,
					  DY_STORE_ERROR_CORRUPT));
		ck_assert_uint_eq(record.slot, 0);
		g_clear_error(&error);
		record = make_record(1);
		slot_record_write(&disk->table, &record, NULL);
	}
	fake_disk_destroy(disk);
}
END_TEST

static fake_control_t world;

static void begin(dy_flow_settings_t *settings, gboolean first_start)
{
	fake_control_init(&world);
	memset(settings, 0, sizeof(*settings));
	settings->first_start = first_start;
	settings->seeds.count = 2;
	settings->seeds.items[0] = address("127.0.0.99:9");
	settings->seeds.items[1] = world.options.listen;
	memset(&world.options.peers, 0, sizeof(world.options.peers));
	world.options.slot = 0;
}

static void run_control_once(void)
{
	fake_control_start(&world);
	fake_control_run(&world, 2, NULL);
	fake_control_stop(&world);
	world.options.slot = 0;
	world.options.joins_running_group = 0;
	memset(&world.options.peers, 0, sizeof(world.options.peers));
}

static void end(void)
{
	if (world.loop)
		fake_control_stop(&world);
	fake_control_clear(&world);
}

/* A restart forgets the founding of the group: no first start, other seeds. */
START_TEST(restart_continues_first_start)
{
	dy_flow_settings_t settings;
	dy_peers_t peers;

	begin(&settings, TRUE);
	ck_assert_int_eq(slot_claim_run(&world.options, &settings, NULL, NULL),
			 1);
	peers = world.options.peers;
	ck_assert_uint_eq(world.options.slot, 1);
	run_control_once();
	settings.first_start = FALSE;
	settings.seeds.count = 1;
	ck_assert_int_eq(slot_claim_run(&world.options, &settings, NULL, NULL),
			 1);
	ck_assert_uint_eq(world.options.slot, 1);
	ck_assert(!world.options.joins_running_group);
	ck_assert_mem_eq(&world.options.peers, &peers, sizeof(peers));
	end();
}
END_TEST

/* A control that joined a running group founds another after a restart. */
START_TEST(restart_of_joining_control_never_founds)
{
	slot_record_t record = make_record(1);
	dy_flow_settings_t settings;

	begin(&settings, TRUE);
	world.options.slot = 1;
	run_control_once();
	record.first_start = 0;
	ck_assert_int_eq(slot_record_save(world.folder, &record, NULL), 0);
	ck_assert_int_eq(slot_claim_run(&world.options, &settings, NULL, NULL),
			 1);
	ck_assert(world.options.joins_running_group);
	ck_assert_uint_eq(world.options.peers.count, 2);
	ck_assert_uint_eq(world.options.peers.slots[16].port, 7016);
	end();
}
END_TEST

/* A damaged record keeps a control with a member's store from starting. */
START_TEST(damaged_record_does_not_stop_a_member)
{
	dy_flow_settings_t settings;
	char *path;

	begin(&settings, FALSE);
	world.options.slot = 2;
	run_control_once();
	path = g_build_filename(world.folder, "slot", NULL);
	ck_assert(g_file_set_contents(path, "damaged", -1, NULL));
	g_free(path);
	ck_assert_int_eq(slot_claim_run(&world.options, &settings, NULL, NULL),
			 1);
	ck_assert_uint_eq(world.options.slot, 2);
	ck_assert_uint_eq(world.options.peers.count, 2);
	end();
}
END_TEST

/* A cleared folder keeps the slot of the member that it belonged to. */
START_TEST(clearing_a_store_removes_the_record)
{
	slot_record_t record = make_record(1);

	fake_control_init(&world);
	ck_assert_int_eq(slot_record_save(world.folder, &record, NULL), 0);
	ck_assert_int_eq(slot_record_load(world.folder, &record, NULL), 1);
	ck_assert_int_eq(dy_store_clear(world.folder, NULL), 0);
	ck_assert_int_eq(slot_record_load(world.folder, &record, NULL), 0);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		power_loss_leaves_whole_record_or_none,
		refuses_damaged_record,
		restart_continues_first_start,
		restart_of_joining_control_never_founds,
		damaged_record_does_not_stop_a_member,
		clearing_a_store_removes_the_record,
		NULL,
	};

	return fake_suite_run("slot_record", tests);
}
