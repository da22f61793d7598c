#include "damaskyard/flow_ledger.h"

#include <string.h>

#include "damaskyard/flow_holder.h"
#include "fake_suite.h"

/* Result of the last read_list(). */
static struct {
	unsigned parts;
	unsigned flows;
	uint32_t list;
	unsigned first_port;
	uint64_t made_ms;
} list_read;

static void on_part(void *context, dy_ledger_part_t *part)
{
	(void)context;
	if (!part->part)
		list_read.first_port =
			part->flows.flows_len
				? part->flows.flows_val[0].flow.caller_port
				: 0;
	list_read.parts++;
	list_read.flows += part->flows.flows_len;
	list_read.list = part->list;
	list_read.made_ms = part->made_ms;
}

static unsigned read_list(const dy_flow_ledger_t *ledger, const char *agent)
{
	memset(&list_read, 0, sizeof(list_read));
	return dy_flow_ledger_each_part(ledger, agent, on_part, NULL);
}

/*
 * Adds a part with count flows. Their ports start at 1000 times the list's
 * number.
 */
static int add_part(dy_flow_ledger_t *ledger, const char *agent, uint32_t list,
		    unsigned number, unsigned parts, unsigned count)
{
	dy_ledger_flow_t flows[DY_LEDGER_FLOWS] = { 0 };
	char target[] = "t1";
	dy_ledger_part_t part = { 0 };
	unsigned i;

	for (i = 0; i < count; i++)
		flows[i].flow.caller_port =
			1000 * list + number * DY_LEDGER_FLOWS + i;
	part.agent = (char *)agent;
	part.target = target;
	part.born_ms = 77;
	part.made_ms = 5000 + list;
	part.list = list;
	part.part = number;
	part.parts = parts;
	part.flows.flows_val = flows;
	part.flows.flows_len = count;
	return dy_flow_ledger_add_part(ledger, &part);
}

/*
 * A part of a list is lost, and then the power. Guards against an incomplete
 * list that replaces a complete one.
 */
START_TEST(replaces_list_only_when_complete)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();

	ck_assert_uint_eq(read_list(ledger, "a"), 0);
	ck_assert(!add_part(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS));
	ck_assert_uint_eq(read_list(ledger, "a"), 0);
	ck_assert(!add_part(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS));
	ck_assert(add_part(ledger, "a", 1, 1, 2, 5));
	ck_assert_uint_eq(read_list(ledger, "a"), 2);
	ck_assert_uint_eq(list_read.flows, DY_LEDGER_FLOWS + 5);
	ck_assert(!add_part(ledger, "a", 2, 1, 2, 3));
	read_list(ledger, "a");
	ck_assert_uint_eq(list_read.list, 1);
	ck_assert(add_part(ledger, "a", 3, 0, 1, 0));
	ck_assert_uint_eq(read_list(ledger, "a"), 1);
	ck_assert_uint_eq(list_read.flows, 0);
	ck_assert_uint_eq(read_list(ledger, "b"), 0);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* Guards against a part that was held up and brings an earlier list back. */
START_TEST(keeps_list_when_part_of_earlier_one_arrives)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();

	ck_assert(!add_part(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS));
	ck_assert(add_part(ledger, "a", 2, 0, 1, 3));
	ck_assert(!add_part(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS));
	ck_assert(!add_part(ledger, "a", 1, 1, 2, 5));
	read_list(ledger, "a");
	ck_assert_uint_eq(list_read.list, 2);
	/* Another run of the agent counts from elsewhere. */
	ck_assert(add_part(ledger, "a", 4000000000u, 0, 1, 3));
	read_list(ledger, "a");
	ck_assert_uint_eq(list_read.list, 4000000000u);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* Part numbers that no agent sends. */
START_TEST(refuses_invalid_parts)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();

	ck_assert(!add_part(ledger, "a", 1, 0, 0, 1));
	ck_assert(!add_part(ledger, "a", 1, 2, 2, 1));
	ck_assert(!add_part(ledger, "a", 1, 0, DY_LEDGER_PARTS_MAX + 1, 1));
	ck_assert_uint_eq(read_list(ledger, "a"), 0);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* Power is lost, and the control restarts from what it had written. */
START_TEST(restores_written_lists)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();
	dy_flow_ledger_t *next = dy_flow_ledger_create();
	GByteArray *bytes = g_byte_array_new();

	add_part(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS);
	add_part(ledger, "a", 1, 1, 2, 1);
	add_part(ledger, "b", 4, 0, 1, 2);
	add_part(ledger, "c", 5, 0, 2, 2);
	dy_flow_ledger_write(ledger, bytes);
	dy_flow_ledger_load(next, bytes->data, bytes->len);
	ck_assert_uint_eq(read_list(next, "a"), 2);
	ck_assert_uint_eq(list_read.flows, DY_LEDGER_FLOWS + 1);
	ck_assert_uint_eq(list_read.first_port, 1000);
	ck_assert_uint_eq(list_read.made_ms, 5001);
	ck_assert_uint_eq(read_list(next, "b"), 1);
	ck_assert_uint_eq(read_list(next, "c"), 0);
	g_byte_array_unref(bytes);
	dy_flow_ledger_destroy(ledger);
	dy_flow_ledger_destroy(next);
}
END_TEST

/*
 * Truncated bytes of any length must be read without errors up to the last
 * complete part.
 */
START_TEST(loads_truncated_bytes_up_to_last_complete_part)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();
	dy_flow_ledger_t *next;
	GByteArray *bytes = g_byte_array_new();
	guint len;

	add_part(ledger, "a", 1, 0, 1, 3);
	dy_flow_ledger_write(ledger, bytes);
	for (len = 0; len < bytes->len; len++) {
		next = dy_flow_ledger_create();
		dy_flow_ledger_load(next, bytes->data, len);
		ck_assert_uint_eq(read_list(next, "a"), 0);
		dy_flow_ledger_destroy(next);
	}
	g_byte_array_unref(bytes);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* A list above the capacity is refused, and the stored lists stay. */
START_TEST(refuses_list_above_capacity)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();
	unsigned lists = DY_LEDGER_FLOWS_MAX / DY_LEDGER_FLOWS;
	char agent[16];
	unsigned i;

	for (i = 0; i < lists; i++) {
		g_snprintf(agent, sizeof(agent), "a%u", i);
		ck_assert(add_part(ledger, agent, 1, 0, 1, DY_LEDGER_FLOWS));
	}
	ck_assert(!add_part(ledger, "more", 1, 0, 1, DY_LEDGER_FLOWS));
	ck_assert(add_part(ledger, "a0", 2, 0, 1, DY_LEDGER_FLOWS));
	ck_assert_uint_eq(read_list(ledger, "more"), 0);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/*
 * Guards against a list whose only copies are on the disks that may be lost at
 * once.
 */
START_TEST(writes_more_copies_than_losses)
{
	unsigned losses;

	for (losses = 0; losses <= 3; losses++)
		ck_assert_uint_gt(dy_flow_ledger_copies(losses, 9), losses);
	ck_assert_uint_eq(dy_flow_ledger_copies(0, 9), 2);
	ck_assert_uint_eq(dy_flow_ledger_copies(2, 1), 1);
}
END_TEST

/*
 * Guards against resets from an old list, whose sequence numbers the caller has
 * long passed.
 */
START_TEST(expires_list_before_resets_leave_window)
{
	uint32_t pause_ms;
	uint64_t bytes;

	ck_assert_uint_eq(dy_flow_ledger_ttl_ms(4000), 12000);
	for (pause_ms = 1000; pause_ms <= 100000; pause_ms += 1000) {
		bytes = DY_LOW_RATE_BURST_BYTES +
			(uint64_t)dy_flow_ledger_ttl_ms(pause_ms) *
				DY_LOW_RATE_BYTES_PER_S / 1000;
		ck_assert_uint_le(bytes, DY_RESET_WINDOW_BYTES);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		replaces_list_only_when_complete,
		keeps_list_when_part_of_earlier_one_arrives,
		refuses_invalid_parts,
		restores_written_lists,
		loads_truncated_bytes_up_to_last_complete_part,
		refuses_list_above_capacity,
		writes_more_copies_than_losses,
		expires_list_before_resets_leave_window,
		NULL,
	};

	return fake_suite_run("flow_ledger", tests);
}
