/*
 * Heartbeats of targets and of other senders, at an agent's holder. The process
 * itself is tested in test_odd_input.
 */

#include "platform/heartbeat.h"

#include <string.h>

#include "damaskyard/flow_holder.h"
#include "damaskyard/log.h"
#include "fake_holder.h"
#include "fake_suite.h"

/* The time of day; the fake holder's target started at 5000. */
#define UNIX_MS 6000

/* A complete heartbeat of a target that started after the fake holder's. */
#define HEARTBEAT                                                           \
	"{\"service\":\"readings\",\"address\":\"10.0.0.1:8080\",\"zone\":" \
	"\"z\",\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","         \
	"\"warmupLeftMs\":0,\"seq\":9,\"born\":5900}"

typedef struct change {
	const char *from;
	const char *to;
} change_t;

/* Each change makes the heartbeat one that no target sends. */
static const change_t damages[] = {
	{ "\"zone\":\"z\",\"version\":\"v1\",", "" },
	{ "\"service\":\"readings\",", "" },
	{ "\"service\":\"readings\"", "\"service\":null" },
	{ "\"readings\"", "\"\\u0000readings\"" },
	{ "\"readings\"", "\"readings\\u0000\"" },
	{ "\"readings\"", "\"read\xffings\"" },
	{ "\"address\":\"10.0.0.1:8080\",", "" },
	{ "\"10.0.0.1:8080\"", "8080" },
	{ "10.0.0.1:8080", "" },
	{ "10.0.0.1:8080", "10.0.0.1:" },
	{ "10.0.0.1:8080", "10.0.0.1:0" },
	{ "10.0.0.1:8080", "10.0.0.1:-1" },
	{ "10.0.0.1:8080", "10.0.0.1:65536" },
	{ "10.0.0.1:8080", "10.0.0.1:73616" },
	{ "10.0.0.1:8080", "10.0.0.1:99999999999999999999999" },
	{ "10.0.0.1:8080", "10.0.0.1:8080 " },
	{ "10.0.0.1:8080", "10.0.0:8080" },
	{ "10.0.0.1:8080", "::1:8080" },
	{ "10.0.0.1:8080", "[::1:8080" },
	{ "10.0.0.1:8080", "[]:8080" },
	{ "10.0.0.1:8080", "desk:8080" },
	{ "\"zone\":\"z\",", "" },
	{ "\"zone\":\"z\"", "\"zone\":\"\"" },
	{ "\"zone\":\"z\"", "\"zone\":[\"z\"]" },
	{ "\"version\":\"v1\",", "" },
	{ "\"version\":\"v1\"", "\"version\":1" },
	{ "\"version\":\"v1\"", "\"version\":{}" },
	{ "\"slots\":4,", "" },
	{ "\"slots\":4", "\"slots\":0" },
	{ "\"slots\":4", "\"slots\":-4" },
	{ "\"slots\":4", "\"slots\":4.0" },
	{ "\"slots\":4", "\"slots\":1e3" },
	{ "\"slots\":4", "\"slots\":1000001" },
	{ "\"slots\":4", "\"slots\":4294967295" },
	{ "\"slots\":4", "\"slots\":4294967300" },
	{ "\"slots\":4", "\"slots\":18446744073709551620" },
	{ "\"state\":\"ready\",", "" },
	{ "\"ready\"", "true" },
	{ "\"ready\"", "\"Ready\"" },
	{ "\"ready\"", "\"starting\"" },
	{ "\"warmupLeftMs\":0,", "" },
	{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":null" },
	{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":-1" },
	{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":-0.0" },
	{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":86400001" },
	{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":1e400" },
	{ "\"seq\":9,", "" },
	{ "\"seq\":9", "\"seq\":-9" },
	{ "\"seq\":9", "\"seq\":9007199254740992" },
	{ "\"seq\":9", "\"seq\":9223372036854775807" },
	{ "\"seq\":9", "\"seq\":9223372036854775808" },
	{ "\"seq\":9", "\"seq\":9,\"seq\":10" },
	{ ",\"born\":5900", "" },
	{ "\"born\":5900", "\"born\":null" },
	{ "\"born\":5900", "\"born\":0" },
	{ "\"born\":5900", "\"born\":-5900" },
	{ "\"born\":5900", "\"born\":5900.5" },
	{ "\"born\":5900", "\"born\":\"5900\"" },
	{ "\"born\":5900", "\"born\":86406001" },
	{ "\"born\":5900", "\"born\":9223372036854775807" },
	{ "\"born\":5900}", "\"a\":{\"born\":5900}}" },
	{ "{", "[{" },
	{ "}", "}}" },
	{ HEARTBEAT, "" },
	{ HEARTBEAT, "null" },
	{ HEARTBEAT, "[" HEARTBEAT "]" },
	{ HEARTBEAT, "\x82\xa1" },
};

static char *changed_heartbeat(const change_t *change)
{
	const char *at = strstr(HEARTBEAT, change->from);

	ck_assert_ptr_nonnull(at);
	return g_strdup_printf("%.*s%s%s", (int)(at - HEARTBEAT), HEARTBEAT,
			       change->to, at + strlen(change->from));
}

/* What an agent does with a heartbeat. Returns whether it acknowledges it. */
static int receive(const char *id, const char *text)
{
	dy_target_notice_t notice;

	return platform_heartbeat_parse(id, text, strlen(text), UNIX_MS,
					&notice, NULL) &&
	       dy_flow_holder_receive_notice(fake_holder.holder, &notice,
					     fake_holder.now_ms);
}

static void receive_damaged(void)
{
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(damages); i++) {
		text = changed_heartbeat(&damages[i]);
		ck_assert_msg(!receive("i-other", text), "acknowledged: %s",
			      text);
		ck_assert_msg(!receive("t1", text), "acknowledged: %s", text);
		g_free(text);
	}
}

/*
 * Guards against a field that another sender left out or damaged, and a number
 * that wraps: its heartbeat would pass as the target's.
 */
START_TEST(refuses_heartbeat_that_no_target_sends)
{
	fake_holder_create();
	ck_assert(receive("i-other", HEARTBEAT));
	fake_holder_end();
	fake_holder_create();
	receive_damaged();
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	ck_assert_uint_eq(fake_holder.change_count, 0);
	fake_holder_end();
}
END_TEST

/* Guards against open flows denied because another sender's heartbeat came. */
START_TEST(refused_heartbeat_drops_no_flow)
{
	fake_holder_begin();
	fake_holder_open_flow(1);
	fake_holder.now_ms += 5000;
	ck_assert(fake_holder_announce(2, DY_TARGET_READY));
	receive_damaged();
	fake_holder.sent_to_target = 0;
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 0);
	ck_assert_uint_eq(dy_flow_holder_slots(fake_holder.holder),
			  FAKE_HOLDER_SLOTS);
	ck_assert(fake_holder_announce(3, DY_TARGET_DRAINING));
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against openings at a draining target, readmitted by another sender.
 */
START_TEST(refused_heartbeat_does_not_end_draining)
{
	fake_holder_begin();
	ck_assert(fake_holder_announce(2, DY_TARGET_DRAINING));
	fake_holder.now_ms += 4000;
	receive_damaged();
	ck_assert(!dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 0);
	ck_assert(fake_holder_announce(3, DY_TARGET_READY));
	ck_assert(dy_flow_holder_accepts(fake_holder.holder));
	fake_holder_end();
}
END_TEST

/* Guards against a dead target that other senders' heartbeats keep alive. */
START_TEST(refused_heartbeat_does_not_count_as_one)
{
	fake_holder_create();
	ck_assert(fake_holder_announce(1, DY_TARGET_READY));
	fake_holder.now_ms += DY_NOTICE_TIMEOUT_MS;
	receive_damaged();
	/* An unknown flow goes to the target, which may hold it. */
	fake_holder_from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	fake_holder.now_ms += 1;
	fake_holder_from_caller(2, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(fake_holder.sent_to_target, 1);
	ck_assert_uint_eq(fake_holder.passed_on, 1);
	fake_holder_end();
}
END_TEST

/* Guards against a target refused for its id, its clock or a limit's value. */
START_TEST(accepts_limits_of_each_field)
{
	static const change_t changes[] = {
		{ "\"slots\":4", "\"slots\":1" },
		{ "\"slots\":4", "\"slots\":1000000" },
		{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":-0" },
		{ "\"warmupLeftMs\":0", "\"warmupLeftMs\":86400000" },
		{ "\"seq\":9", "\"seq\":0" },
		{ "\"seq\":9", "\"seq\":9007199254740991" },
		{ "\"born\":5900", "\"born\":1" },
		{ "\"born\":5900", "\"born\":86406000" },
		{ "\"state\":\"ready\"", "\"state\":\"draining\"" },
		{ "{", "{\"new\":[{},1.5,\"x\"]," },
	};
	char id[DY_TARGET_ID_BYTES + 1];
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes); i++) {
		fake_holder_create();
		text = changed_heartbeat(&changes[i]);
		ck_assert_msg(receive("i-other", text), "refused: %s", text);
		g_free(text);
		fake_holder_end();
	}
	fake_holder_create();
	memset(id, 'i', sizeof(id));
	id[DY_TARGET_ID_BYTES] = '\0';
	ck_assert(!receive(id, HEARTBEAT));
	ck_assert(!receive("", HEARTBEAT));
	ck_assert(!receive("i-\x01", HEARTBEAT));
	ck_assert(!receive("i-\xff", HEARTBEAT));
	id[DY_TARGET_ID_BYTES - 1] = '\0';
	ck_assert(receive(id, HEARTBEAT));
	fake_holder_end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		refuses_heartbeat_that_no_target_sends,
		refused_heartbeat_drops_no_flow,
		refused_heartbeat_does_not_end_draining,
		refused_heartbeat_does_not_count_as_one,
		accepts_limits_of_each_field,
		NULL,
	};

	dy_log_configure(DY_LOG_ERROR, NULL);
	return fake_suite_run("heartbeat", tests);
}
