/* Resets of openings and of open flows, and what the log says of them. */

#include "flow_router_private.h"

#include "damaskyard/address.h"

static void send_reset(dy_flow_router_t *router, const dy_packet_t *packet)
{
	++*router->resets;
	router->config.callbacks->reset(router->config.context, &packet->flow,
					packet->ack);
}

/* Returns whether the caller has reset the flow itself. */
static int is_reset(const dy_packet_t *packet)
{
	return !!(packet->flags & DY_PACKET_RST);
}

void flow_router_reset_opening(dy_flow_router_t *router,
			       const dy_packet_t *packet, const char *reason,
			       uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (is_reset(packet))
		return;
	if (dy_log_allow(&router->refusal_limit, "flow_reset", now_ms))
		dy_log_event(DY_LOG_INFO, "flow_reset",
			     "flow=%s opening=1 reason=%s",
			     dy_flow_id_format(&packet->flow, text), reason);
	send_reset(router, packet);
}

void flow_router_refuse(dy_flow_router_t *router, const dy_packet_t *packet,
			const char *reason, uint64_t now_ms)
{
	++*router->refused;
	flow_router_reset_opening(router, packet, reason, now_ms);
}

/*
 * Logs the reset of an open flow with the facts that allowed it and their ages.
 * agent is the one that the facts are about.
 */
static void log_end(dy_flow_router_t *router, const flow_t *flow,
		    const dy_packet_t *packet, const dy_address_t *agent,
		    const char *reason, uint64_t now_ms)
{
	char witnesses[DY_FLOW_WITNESSES][DY_ADDRESS_TEXT_BYTES];
	char agent_text[DY_ADDRESS_TEXT_BYTES];
	char text[DY_FLOW_TEXT_BYTES];
	dy_flow_agent_facts_t facts;
	unsigned i;

	if (!dy_log_allow(&router->reset_limit, "flow_reset", now_ms))
		return;
	dy_flow_targets_load_facts(router->targets, agent, now_ms, &facts);
	for (i = 0; i < DY_FLOW_WITNESSES; i++)
		dy_address_format(&facts.witnesses[i], witnesses[i]);
	dy_log_event(DY_LOG_INFO, "flow_reset",
		     "flow=%s opening=0 reason=%s agent=%s agent_state=%s "
		     "report_age_ms=%ld unanswered_age_ms=%ld witnesses=%s,%s "
		     "members_age_ms=%ld agents_asked=%u order=%u",
		     dy_flow_id_format(&packet->flow, text), reason,
		     dy_address_format(agent, agent_text), facts.state,
		     (long)facts.report_age_ms, (long)facts.unanswered_age_ms,
		     witnesses[0], witnesses[1], (long)facts.confirmed_age_ms,
		     flow->agents_asked, router->order);
}

void flow_router_end_flow(dy_flow_router_t *router, flow_t *flow,
			  const dy_packet_t *packet, const dy_address_t *agent,
			  const char *reason, uint64_t now_ms)
{
	if (!is_reset(packet)) {
		log_end(router, flow, packet, agent, reason, now_ms);
		send_reset(router, packet);
	}
	flow_router_drop_flow(router, flow);
}
