#include "damaskyard/flow_ledger.h"

#include <string.h>

#include "damaskyard/flow_holder.h"
#include "fake_suite.h"

/* What was given back last. */
static struct {
	unsigned parts;
	unsigned flows;
	uint32_t list;
	unsigned first_port;
	uint64_t made_ms;
} given;

static void on_part(void *context, dy_ledger_part_t *part)
{
	(void)context;
	if (!part->part)
		given.first_port =
			part->flows.flows_len
				? part->flows.flows_val[0].flow.caller_port
				: 0;
	given.parts++;
	given.flows += part->flows.flows_len;
	given.list = part->list;
	given.made_ms = part->made_ms;
}

static unsigned give(const dy_flow_ledger_t *ledger, const char *agent)
{
	memset(&given, 0, sizeof(given));
	return dy_flow_ledger_each_part(ledger, agent, on_part, NULL);
}

/* A part of so many flows; their ports begin with the list's number. */
static int take(dy_flow_ledger_t *ledger, const char *agent, uint32_t list,
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
 * A part of a list is lost on its way, and then power is. Half of a list must
 * not take the place of a whole one.
 */
START_TEST(list_counts_once_it_is_whole)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();

	ck_assert_uint_eq(give(ledger, "a"), 0);
	ck_assert(!take(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS));
	ck_assert_uint_eq(give(ledger, "a"), 0);
	ck_assert(!take(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS));
	ck_assert(take(ledger, "a", 1, 1, 2, 5));
	ck_assert_uint_eq(give(ledger, "a"), 2);
	ck_assert_uint_eq(given.flows, DY_LEDGER_FLOWS + 5);
	ck_assert(!take(ledger, "a", 2, 1, 2, 3));
	give(ledger, "a");
	ck_assert_uint_eq(given.list, 1);
	ck_assert(take(ledger, "a", 3, 0, 1, 0));
	ck_assert_uint_eq(give(ledger, "a"), 1);
	ck_assert_uint_eq(given.flows, 0);
	ck_assert_uint_eq(give(ledger, "b"), 0);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* Numbers that no agent sends. */
START_TEST(parts_that_make_no_sense_are_left_out)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();

	ck_assert(!take(ledger, "a", 1, 0, 0, 1));
	ck_assert(!take(ledger, "a", 1, 2, 2, 1));
	ck_assert(!take(ledger, "a", 1, 0, DY_LEDGER_PARTS_MAX + 1, 1));
	ck_assert_uint_eq(give(ledger, "a"), 0);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* Power is lost, and the control starts from what it had written. */
START_TEST(lists_outlive_the_process)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();
	dy_flow_ledger_t *next = dy_flow_ledger_create();
	GByteArray *bytes = g_byte_array_new();

	take(ledger, "a", 1, 0, 2, DY_LEDGER_FLOWS);
	take(ledger, "a", 1, 1, 2, 1);
	take(ledger, "b", 4, 0, 1, 2);
	take(ledger, "c", 5, 0, 2, 2);
	dy_flow_ledger_write(ledger, bytes);
	dy_flow_ledger_load(next, bytes->data, bytes->len);
	ck_assert_uint_eq(give(next, "a"), 2);
	ck_assert_uint_eq(given.flows, DY_LEDGER_FLOWS + 1);
	ck_assert_uint_eq(given.first_port, 1000);
	ck_assert_uint_eq(given.made_ms, 5001);
	ck_assert_uint_eq(give(next, "b"), 1);
	ck_assert_uint_eq(give(next, "c"), 0);
	g_byte_array_unref(bytes);
	dy_flow_ledger_destroy(ledger);
	dy_flow_ledger_destroy(next);
}
END_TEST

/* Bytes that end too early, wherever: what is whole is taken. */
START_TEST(bytes_that_end_early_are_read_as_far_as_they_go)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();
	dy_flow_ledger_t *next;
	GByteArray *bytes = g_byte_array_new();
	guint len;

	take(ledger, "a", 1, 0, 1, 3);
	dy_flow_ledger_write(ledger, bytes);
	for (len = 0; len < bytes->len; len++) {
		next = dy_flow_ledger_create();
		dy_flow_ledger_load(next, bytes->data, len);
		ck_assert_uint_eq(give(next, "a"), 0);
		dy_flow_ledger_destroy(next);
	}
	g_byte_array_unref(bytes);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* More flows than there is room for: a list is refused, those held stay. */
START_TEST(lists_are_bounded)
{
	dy_flow_ledger_t *ledger = dy_flow_ledger_create();
	unsigned lists = DY_LEDGER_FLOWS_MAX / DY_LEDGER_FLOWS;
	char agent[16];
	unsigned i;

	for (i = 0; i < lists; i++) {
		g_snprintf(agent, sizeof(agent), "a%u", i);
		ck_assert(take(ledger, agent, 1, 0, 1, DY_LEDGER_FLOWS));
	}
	ck_assert(!take(ledger, "more", 1, 0, 1, DY_LEDGER_FLOWS));
	ck_assert(take(ledger, "a0", 2, 0, 1, DY_LEDGER_FLOWS));
	ck_assert_uint_eq(give(ledger, "more"), 0);
	dy_flow_ledger_destroy(ledger);
}
END_TEST

/* All disks that may be lost at once held the only copies of a list. */
START_TEST(a_copy_is_left_when_disks_are_lost)
{
	unsigned losses;

	for (losses = 0; losses <= 3; losses++)
		ck_assert_uint_gt(dy_flow_ledger_copies(losses, 9), losses);
	ck_assert_uint_eq(dy_flow_ledger_copies(0, 9), 2);
	ck_assert_uint_eq(dy_flow_ledger_copies(2, 1), 1);
}
END_TEST

/* A reset by an old list names a byte that its caller has long passed. */
START_TEST(list_is_believed_while_its_resets_fit)
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
		list_counts_once_it_is_whole,
		parts_that_make_no_sense_are_left_out,
		lists_outlive_the_process,
		bytes_that_end_early_are_read_as_far_as_they_go,
		lists_are_bounded,
		a_copy_is_left_when_disks_are_lost,
		list_is_believed_while_its_resets_fit,
		NULL,
	};

	return fake_suite_run("flow_ledger", tests);
}
