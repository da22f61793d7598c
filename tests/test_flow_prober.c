#include "damaskyard/flow_prober.h"

#include <string.h>

#include "damaskyard/address.h"
#include "fake_suite.h"

static struct {
	dy_flow_prober_t *prober;
	unsigned probes;
	unsigned checks;
	unsigned findings;
	dy_flow_answer_t answered; /* the last finding */
	unsigned balancer;
} fake;

static dy_address_t address(unsigned number)
{
	dy_address_t value;

	dy_address_set_ipv4(&value, 0x0a000000u + number, 7002);
	return value;
}

static void on_probe(void *context, const dy_address_t *agent)
{
	(void)context;
	(void)agent;
	fake.probes++;
}

static void on_check_port(void *context, const dy_address_t *agent)
{
	(void)context;
	(void)agent;
	fake.checks++;
}

static void on_finding(void *context, const dy_address_t *balancer,
		       const dy_address_t *agent, dy_flow_answer_t answered)
{
	(void)context;
	(void)agent;
	fake.findings++;
	fake.answered = answered;
	fake.balancer = (uint8_t)balancer->ip[15];
}

static const dy_flow_prober_callbacks_t callbacks = {
	.probe = on_probe,
	.check_port = on_check_port,
	.finding = on_finding,
};

static void create(void)
{
	memset(&fake, 0, sizeof(fake));
	fake.prober = dy_flow_prober_create(&callbacks, NULL);
}

static void begin(unsigned balancer, unsigned agent, uint64_t now_ms)
{
	dy_address_t asks = address(balancer);
	dy_address_t subject = address(agent);

	dy_flow_prober_begin(fake.prober, &asks, &subject, now_ms);
}

static void advance(uint64_t from_ms, uint64_t for_ms)
{
	uint64_t now_ms;

	for (now_ms = from_ms; now_ms <= from_ms + for_ms; now_ms += 50)
		dy_flow_prober_tick(fake.prober, now_ms);
}

static unsigned receive_port_state(unsigned agent, dy_port_state_t state)
{
	dy_address_t subject = address(agent);

	return dy_flow_prober_receive_port_state(fake.prober, &subject, state);
}

/* A silent agent is probed several times, and reported once. */
START_TEST(reports_agent_that_answers_no_probe)
{
	create();
	begin(1, 9, 1000);
	advance(1000, 250);
	ck_assert_uint_eq(fake.findings, 0);
	advance(1300, 500);
	ck_assert_uint_eq(fake.probes, DY_FLOW_PROBES);
	ck_assert_uint_eq(fake.findings, 1);
	ck_assert(!fake.answered);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* All balancers that asked are told at once. */
START_TEST(reports_agent_that_answers)
{
	dy_address_t agent = address(9);

	create();
	begin(1, 9, 1000);
	begin(2, 9, 1000);
	begin(1, 8, 1000);
	dy_flow_prober_receive_echo(fake.prober, &agent);
	ck_assert_uint_eq(fake.findings, 2);
	ck_assert_int_eq(fake.answered, DY_FLOW_ECHOED);
	advance(1000, 500);
	ck_assert_uint_eq(fake.findings, 3);
	ck_assert(!fake.answered);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* Guards against an open flow reset because its agent's core was busy. */
START_TEST(reports_late_agent_as_one_that_answers)
{
	create();
	begin(1, 9, 1000);
	begin(2, 9, 1000);
	begin(1, 8, 1000);
	advance(1000, 100);
	ck_assert_uint_eq(fake.findings, 0);
	ck_assert_uint_eq(receive_port_state(9, DY_PORT_LISTENING), 2);
	ck_assert_uint_eq(fake.findings, 2);
	ck_assert(fake.answered);
	advance(1150, 500);
	ck_assert_uint_eq(fake.findings, 3);
	ck_assert(!fake.answered);
	ck_assert_uint_eq(receive_port_state(9, DY_PORT_LISTENING), 0);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* Guards against an agent that runs and is taken for a late one. */
START_TEST(reports_echo_after_accepted_connection)
{
	dy_address_t agent = address(9);

	create();
	begin(1, 9, 1000);
	ck_assert_uint_eq(receive_port_state(9, DY_PORT_LISTENING), 1);
	ck_assert_int_eq(fake.answered, DY_FLOW_ACCEPTED);
	dy_flow_prober_receive_echo(fake.prober, &agent);
	ck_assert_uint_eq(fake.findings, 2);
	ck_assert_int_eq(fake.answered, DY_FLOW_ECHOED);
	advance(1000, 500);
	ck_assert_uint_eq(fake.findings, 2);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* Guards against an open flow reset because its agent is being restarted. */
START_TEST(reports_restarting_agent_as_one_that_answers)
{
	create();
	begin(1, 9, 1000);
	begin(1, 8, 1000);
	ck_assert_uint_eq(receive_port_state(9, DY_PORT_REFUSED), 1);
	ck_assert_uint_eq(fake.findings, 1);
	ck_assert_int_eq(fake.answered, DY_FLOW_REFUSED_PORT);
	ck_assert_uint_eq(receive_port_state(8, DY_PORT_UNKNOWN), 0);
	advance(1000, 500);
	ck_assert_uint_eq(fake.findings, 2);
	ck_assert(!fake.answered);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* Guards against a late agent whose first connection was lost on its way. */
START_TEST(checks_port_with_each_probe)
{
	create();
	begin(1, 9, 1000);
	advance(1000, 500);
	ck_assert_uint_eq(fake.checks, DY_FLOW_PROBES);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* A balancer that asks again meanwhile starts no second inquiry. */
START_TEST(ignores_repeated_inquiry)
{
	create();
	begin(1, 9, 1000);
	begin(1, 9, 1010);
	ck_assert_uint_eq(fake.probes, 1);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/*
 * Guards against a witness whose own process stood still after its last probe:
 * the echoes wait in its socket.
 */
START_TEST(probes_again_after_it_stood_still)
{
	create();
	begin(1, 9, 1000);
	advance(1000, 200);
	ck_assert_uint_eq(fake.probes, DY_FLOW_PROBES);
	dy_flow_prober_tick(fake.prober, 2500);
	ck_assert_uint_eq(fake.findings, 0);
	ck_assert_uint_eq(fake.probes, DY_FLOW_PROBES + 1);
	advance(2550, 200);
	ck_assert_uint_eq(fake.findings, 1);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

/* Guards against a table without a bound. */
START_TEST(ignores_inquiries_beyond_its_limit)
{
	unsigned i;

	create();
	for (i = 0; i < DY_FLOW_INQUIRIES_MAX + 10; i++)
		begin(i, 9, 1000);
	ck_assert_uint_eq(fake.probes, DY_FLOW_INQUIRIES_MAX);
	advance(1000, 500);
	ck_assert_uint_eq(fake.findings, DY_FLOW_INQUIRIES_MAX);
	dy_flow_prober_destroy(fake.prober);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		reports_agent_that_answers_no_probe,
		reports_agent_that_answers,
		reports_late_agent_as_one_that_answers,
		reports_echo_after_accepted_connection,
		reports_restarting_agent_as_one_that_answers,
		checks_port_with_each_probe,
		ignores_repeated_inquiry,
		probes_again_after_it_stood_still,
		ignores_inquiries_beyond_its_limit,
		NULL,
	};

	return fake_suite_run("flow_prober", tests);
}
