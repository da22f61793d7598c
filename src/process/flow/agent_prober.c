#include "agent_prober.h"

#include "damaskyard/flow_prober.h"
#include "dy_flow.h"

struct agent_prober {
	flow_member_t *member;
	dy_flow_prober_t *prober;
};

static void send_probe(void *context, const dy_address_t *agent)
{
	agent_prober_t *prober = context;
	dy_flow_probe_t probe = { prober->member->settings.inner };

	flow_member_send(prober->member, agent, DY_FLOW_AGENT_PROGRAM,
			 DY_FLOW_PROBE, (xdrproc_t)xdr_dy_flow_probe_t, &probe);
}

static void send_finding(void *context, const dy_address_t *balancer,
			 const dy_address_t *agent, int answered)
{
	agent_prober_t *prober = context;
	dy_flow_finding_t finding = { prober->member->settings.inner, *agent,
				      answered };

	flow_member_send(prober->member, balancer, DY_FLOW_BALANCER_PROGRAM,
			 DY_FLOW_FINDING, (xdrproc_t)xdr_dy_flow_finding_t,
			 &finding);
}

static const dy_flow_prober_callbacks_t callbacks = { send_probe,
						      send_finding };

agent_prober_t *agent_prober_create(flow_member_t *member)
{
	agent_prober_t *prober = g_new0(agent_prober_t, 1);

	prober->member = member;
	prober->prober = dy_flow_prober_create(&callbacks, prober);
	return prober;
}

void agent_prober_destroy(agent_prober_t *prober)
{
	if (!prober)
		return;
	dy_flow_prober_destroy(prober->prober);
	g_free(prober);
}

static uint64_t now_ms(const agent_prober_t *prober)
{
	return dy_loop_now_ms(prober->member->loop);
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
