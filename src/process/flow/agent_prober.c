#include "agent_prober.h"

#include "damaskyard/address.h"
#include "damaskyard/flow_prober.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/port_check.h"
#include "dy_flow.h"

struct agent_prober {
	flow_member_t *member;
	dy_flow_prober_t *prober;
	dy_list_t checks; /* of liveness ports, in progress */
	dy_log_limit_t running_limit;
};

typedef struct liveness_check {
	dy_list_t link;
	agent_prober_t *prober;
	dy_address_t agent;
	dy_port_check_t *check;
} liveness_check_t;

static uint64_t now_ms(const agent_prober_t *prober)
{
	return dy_loop_now_ms(prober->member->loop);
}

static void send_probe(void *context, const dy_address_t *agent)
{
	agent_prober_t *prober = context;
	dy_flow_probe_t probe = { prober->member->settings.inner };

	flow_member_send(prober->member, agent, DY_FLOW_AGENT_PROGRAM,
			 DY_FLOW_PROBE, (xdrproc_t)xdr_dy_flow_probe_t, &probe);
}

static void send_finding(void *context, const dy_address_t *balancer,
			 const dy_address_t *agent, dy_flow_answer_t answer)
{
	agent_prober_t *prober = context;
	dy_flow_finding_t finding = { prober->member->settings.inner, *agent,
				      answer };

	flow_member_send(prober->member, balancer, DY_FLOW_BALANCER_PROGRAM,
			 DY_FLOW_FINDING, (xdrproc_t)xdr_dy_flow_finding_t,
			 &finding);
}

static void end_check(liveness_check_t *check)
{
	dy_list_remove(&check->link);
	dy_port_check_destroy(check->check);
	g_slice_free(liveness_check_t, check);
}

/* Logs that an agent which answers no probe is late, or that it has ended. */
static void log_running(agent_prober_t *prober, const dy_address_t *agent,
			dy_port_state_t state, unsigned told)
{
	const char *event =
		state == DY_PORT_REFUSED ? "agent_port_refused" : "agent_late";
	char text[DY_ADDRESS_TEXT_BYTES];

	if (dy_log_allow(&prober->running_limit, event, now_ms(prober)))
		dy_log_event(DY_LOG_INFO, event, "agent=%s told=%u",
			     dy_address_format(agent, text), told);
}

static void on_port_checked(void *context, dy_port_state_t state)
{
	liveness_check_t *check = context;
	agent_prober_t *prober = check->prober;
	dy_address_t agent = check->agent;
	unsigned told;

	end_check(check);
	told = dy_flow_prober_receive_port_state(prober->prober, &agent, state);
	if (told)
		log_running(prober, &agent, state, told);
}

static int is_checked(const agent_prober_t *prober, const dy_address_t *agent)
{
	const dy_list_t *pos;

	DY_LIST_EACH(pos, &prober->checks)
	{
		if (dy_address_equal(
			    &DY_LIST_ITEM(pos, liveness_check_t, link)->agent,
			    agent))
			return 1;
	}
	return 0;
}

static void check_port(void *context, const dy_address_t *agent)
{
	agent_prober_t *prober = context;
	liveness_check_t *check;

	if (is_checked(prober, agent))
		return;
	check = g_slice_new0(liveness_check_t);
	check->prober = prober;
	check->agent = *agent;
	check->check = dy_port_check_create(prober->member->loop, agent,
					    on_port_checked, check);
	dy_list_append(&prober->checks, &check->link);
	dy_port_check_begin(check->check);
}

static const dy_flow_prober_callbacks_t callbacks = {
	.probe = send_probe,
	.check_port = check_port,
	.finding = send_finding,
};

agent_prober_t *agent_prober_create(flow_member_t *member)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(20, 1000);
	agent_prober_t *prober = g_new0(agent_prober_t, 1);

	dy_list_init(&prober->checks);
	prober->running_limit = limit;
	prober->member = member;
	prober->prober = dy_flow_prober_create(&callbacks, prober);
	return prober;
}

void agent_prober_destroy(agent_prober_t *prober)
{
	if (!prober)
		return;
	while (!dy_list_empty(&prober->checks))
		end_check(DY_LIST_ITEM(prober->checks.next, liveness_check_t,
				       link));
	dy_flow_prober_destroy(prober->prober);
	g_free(prober);
}

static void receive_inquiry(agent_prober_t *prober, const dy_sealed_t *message)
{
	dy_flow_inquiry_t inquiry = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_inquiry_t,
				    &inquiry))
		dy_flow_prober_begin(prober->prober, &inquiry.balancer,
				     &inquiry.agent, now_ms(prober));
}

static void receive_probe(agent_prober_t *prober, const dy_sealed_t *message)
{
	dy_flow_echo_t echo = { prober->member->settings.inner };
	dy_flow_probe_t probe = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_probe_t,
				    &probe))
		flow_member_send(prober->member, &probe.witness,
				 DY_FLOW_AGENT_PROGRAM, DY_FLOW_ECHO,
				 (xdrproc_t)xdr_dy_flow_echo_t, &echo);
}

static void receive_echo(agent_prober_t *prober, const dy_sealed_t *message)
{
	dy_flow_echo_t echo = { 0 };

	if (dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_flow_echo_t,
				    &echo))
		dy_flow_prober_receive_echo(prober->prober, &echo.agent);
}

int agent_prober_receive(agent_prober_t *prober, const dy_sealed_t *message)
{
	if (message->program != DY_FLOW_AGENT_PROGRAM)
		return 0;
	switch (message->procedure) {
	case DY_FLOW_INQUIRY:
		receive_inquiry(prober, message);
		return 1;
	case DY_FLOW_PROBE:
		receive_probe(prober, message);
		return 1;
	case DY_FLOW_ECHO:
		receive_echo(prober, message);
		return 1;
	default:
		return 0;
	}
}

void agent_prober_tick(agent_prober_t *prober)
{
	dy_flow_prober_tick(prober->prober, now_ms(prober));
}
