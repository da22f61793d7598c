#include "damaskyard/packet_wait.h"

#include <string.h>

#include <glib.h>

#include "fake_suite.h"

static GString *taken;

static void on_packet(void *context, uint8_t *bytes, size_t len)
{
	(void)context;
	g_string_append_len(taken, (char *)bytes, (gssize)len);
	g_string_append_c(taken, ' ');
}

static void add(dy_packet_wait_t *wait, unsigned flow, const char *text,
		uint64_t now_ms)
{
	dy_flow_id_t id = { 1, 2, flow, 443 };

	dy_packet_wait_add(wait, &id, (const uint8_t *)text, strlen(text),
			   now_ms);
}

static dy_packet_wait_t *begin(void)
{
	taken = g_string_new(NULL);
	return dy_packet_wait_create();
}

static void end(dy_packet_wait_t *wait)
{
	dy_packet_wait_destroy(wait);
	g_string_free(taken, TRUE);
}

/*
 * Power is back, and callers retransmit into a balancer that has no document
 * yet. Dropped, they come again after up to 1.6 s, beyond their deadline; all
 * handled, each would be handled as often as it came.
 */
START_TEST(newest_packet_of_each_flow_waits)
{
	dy_packet_wait_t *wait = begin();

	add(wait, 1, "a1", 100);
	add(wait, 2, "b1", 110);
	add(wait, 1, "a2", 300);
	ck_assert_uint_eq(dy_packet_wait_count(wait), 2);
	ck_assert_uint_eq(dy_packet_wait_take(wait, 400, on_packet, NULL), 2);
	ck_assert_str_eq(taken->str, "b1 a2 ");
	ck_assert_uint_eq(dy_packet_wait_take(wait, 400, on_packet, NULL), 0);
	end(wait);
}
END_TEST

/* An opening that its caller has given up must not open a flow for nobody. */
START_TEST(packet_that_waited_too_long_is_dropped)
{
	dy_packet_wait_t *wait = begin();

	add(wait, 1, "old", 100);
	add(wait, 2, "young", 101);
	ck_assert_uint_eq(dy_packet_wait_take(wait, 101 + DY_PACKET_WAIT_MS,
					      on_packet, NULL),
			  1);
	ck_assert_str_eq(taken->str, "young ");
	ck_assert_uint_eq(dy_packet_wait_count(wait), 0);
	end(wait);
}
END_TEST

/* A burst of more flows than there is room for: the oldest make room. */
START_TEST(flows_that_wait_are_bounded)
{
	dy_packet_wait_t *wait = begin();
	char text[2] = "x";
	unsigned i;

	for (i = 0; i < DY_PACKET_WAIT_MAX + 2; i++) {
		text[0] = i < 2 ? 'o' : 'x';
		add(wait, i, text, 100);
	}
	ck_assert_uint_eq(dy_packet_wait_take(wait, 100, on_packet, NULL),
			  DY_PACKET_WAIT_MAX);
	ck_assert_ptr_null(strchr(taken->str, 'o'));
	end(wait);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		newest_packet_of_each_flow_waits,
		packet_that_waited_too_long_is_dropped,
		flows_that_wait_are_bounded,
		NULL,
	};

	return fake_suite_run("packet_wait", tests);
}
