#include "damaskyard/flow_silence.h"

#include <string.h>

#include "damaskyard/address.h"
#include "damaskyard/flow_targets.h"
#include "fake_suite.h"

static dy_address_t address(unsigned number)
{
	dy_address_t value;

	dy_address_set_ipv4(&value, 0x0a000000u + number, 7002);
	return value;
}

/* Sends a message every 100 ms, for a while that ends at the returned time. */
static uint64_t send_messages(dy_flow_silence_t *silence, uint64_t from_ms,
			      uint64_t for_ms)
{
	uint64_t now_ms;

	for (now_ms = from_ms; now_ms < from_ms + for_ms; now_ms += 100)
		dy_flow_silence_note_sent(silence, now_ms);
	return now_ms;
}

static void confirm(dy_flow_silence_t *silence, unsigned witness,
		    uint64_t now_ms)
{
	dy_address_t value = address(witness);

	dy_flow_silence_confirm(silence, &value, now_ms);
}

/* Guards against a reset because this balancer's messages were lost. */
START_TEST(is_not_certain_without_witnesses)
{
	dy_flow_silence_t silence = { 0 };
	uint64_t now_ms = send_messages(&silence, 1000, 60000);

	ck_assert(!dy_flow_silence_is_certain(&silence, now_ms));
}
END_TEST

/* The same witness that reports twice counts once. */
START_TEST(is_certain_once_two_witnesses_confirmed)
{
	dy_flow_silence_t silence = { 0 };
	uint64_t now_ms = send_messages(&silence, 1000, 1000);

	confirm(&silence, 2, now_ms);
	confirm(&silence, 2, now_ms);
	ck_assert(!dy_flow_silence_is_certain(&silence, now_ms));
	confirm(&silence, 3, now_ms);
	ck_assert(dy_flow_silence_is_certain(&silence, now_ms));
}
END_TEST

/* Guards against findings about an earlier silence. */
START_TEST(forgets_findings_when_the_agent_answers)
{
	dy_flow_silence_t silence = { 0 };
	uint64_t now_ms = send_messages(&silence, 1000, 1000);

	confirm(&silence, 2, now_ms);
	confirm(&silence, 3, now_ms);
	dy_flow_silence_end(&silence);
	now_ms = send_messages(&silence, now_ms, 1000);
	ck_assert(!dy_flow_silence_is_certain(&silence, now_ms));
	confirm(&silence, 2, now_ms);
	ck_assert(!dy_flow_silence_is_certain(&silence, now_ms));
}
END_TEST

/* An agent was sent nothing for a while, and findings are from before. */
START_TEST(forgets_findings_after_a_pause)
{
	dy_flow_silence_t silence = { 0 };
	uint64_t now_ms = send_messages(&silence, 1000, 1000);

	confirm(&silence, 2, now_ms);
	confirm(&silence, 3, now_ms);
	now_ms += DY_FLOW_UNRESPONSIVE_TIMEOUT_MS;
	dy_flow_silence_note_sent(&silence, now_ms);
	ck_assert(!dy_flow_silence_is_certain(&silence, now_ms + 10));
}
END_TEST

/* Guards against a flood of inquiries by each packet of a silent agent. */
START_TEST(limits_inquiries)
{
	dy_flow_silence_t silence = { 0 };
	unsigned inquiries = 0;
	uint64_t now_ms;

	for (now_ms = 1000; now_ms < 3000; now_ms += 10) {
		dy_flow_silence_note_sent(&silence, now_ms);
		inquiries += (unsigned)dy_flow_silence_begin_inquiry(&silence,
								     now_ms);
	}
	ck_assert_uint_gt(inquiries, 1);
	ck_assert_uint_le(inquiries,
			  (2000 - DY_FLOW_WITNESS_DELAY_MS) /
					  DY_FLOW_WITNESS_INTERVAL_MS +
				  1);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		is_not_certain_without_witnesses,
		is_certain_once_two_witnesses_confirmed,
		forgets_findings_when_the_agent_answers,
		forgets_findings_after_a_pause,
		limits_inquiries,
		NULL,
	};

	return fake_suite_run("flow_silence", tests);
}
