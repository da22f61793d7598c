#include "agent_private.h"

/*
 * The choice of successors. Control reports an agent as serving until its lease
 * expires, even if it was killed a moment ago. A session sent to such an agent
 * would be lost, because it is unknown whether the agent accepted it. So each
 * candidate first gets an offer, a handover message without sessions, and only
 * those that reply are chosen.
 */

/* Interval between two offers to a candidate that has not replied, in ms. */
#define OFFER_RETRY_INTERVAL_MS 250

/*
 * Time after the first offer at which the candidates that have replied are
 * chosen, in ms. They are chosen earlier if all have replied.
 */
#define OFFER_TIMEOUT_MS 600

/* Interval at which candidates are listed anew if none has replied, in ms. */
#define OFFER_RESTART_INTERVAL_MS 2000

static void start_offers(dy_agent_t *agent)
{
	uint64_t ids[DY_SUCCESSORS_MAX];
	unsigned count = agent_member_choose_successors(agent, ids);
	unsigned i;

	agent->offers_started_ms = agent_now_ms(agent);
	agent->candidate_count = count;
	for (i = 0; i < count; i++) {
		candidate_t *candidate = &agent->candidates[i];

		candidate->id = ids[i];
		candidate->incarnation =
			agent_member_find(agent, ids[i])->incarnation;
		candidate->offer_sent_ms = 0;
		candidate->answered = 0;
	}
	if (!count && dy_sessions_count(agent->sessions))
		agent_log_event(agent, EVENT_NO_SUCCESSOR, "sessions=%u",
				dy_sessions_count(agent->sessions));
}

static void send_offer(dy_agent_t *agent, candidate_t *candidate)
{
	const member_t *member = agent_member_find(agent, candidate->id);
	dy_handover_t handover = { 0 };

	candidate->offer_sent_ms = agent_now_ms(agent);
	handover.format = DY_HANDOVER_FORMAT;
	handover.service = agent->service.id;
	handover.agent = agent->id;
	handover.incarnation = agent->incarnation;
	handover.to_agent = candidate->id;
	handover.to_incarnation = candidate->incarnation;
	agent->config.callbacks->send_handover(agent->config.context,
					       &member->address, &handover);
}

static unsigned send_pending_offers(dy_agent_t *agent)
{
	uint64_t now_ms = agent_now_ms(agent);
	candidate_t *candidate;
	unsigned answered = 0;
	unsigned i;

	for (i = 0; i < agent->candidate_count; i++) {
		candidate = &agent->candidates[i];
		answered += !!candidate->answered;
		if (!candidate->answered && now_ms - candidate->offer_sent_ms >=
						    OFFER_RETRY_INTERVAL_MS)
			send_offer(agent, candidate);
	}
	return answered;
}

static void choose_responders(dy_agent_t *agent)
{
	unsigned i;

	for (i = 0; i < agent->candidate_count; i++)
		if (agent->candidates[i].answered)
			agent->successors[agent->successor_count++] =
				agent->candidates[i].incarnation;
	agent->has_successors = 1;
	agent_log_event(agent, EVENT_SUCCESSORS_CHOSEN,
			"count=%u candidates=%u sessions=%u",
			agent->successor_count, agent->candidate_count,
			dy_sessions_count(agent->sessions));
}

void agent_successors_tick(dy_agent_t *agent)
{
	uint64_t since_ms = agent_now_ms(agent) - agent->offers_started_ms;
	unsigned answered;

	if (!agent->candidate_count || since_ms >= OFFER_RESTART_INTERVAL_MS) {
		start_offers(agent);
		since_ms = 0;
	}
	answered = send_pending_offers(agent);
	if (answered && (answered == agent->candidate_count ||
			 since_ms >= OFFER_TIMEOUT_MS))
		choose_responders(agent);
}

void agent_successors_receive_result(dy_agent_t *agent,
				     const dy_handover_result_t *result)
{
	candidate_t *candidate;
	unsigned i;

	if (result->status != DY_HANDOVER_OK)
		return;
	for (i = 0; i < agent->candidate_count; i++) {
		candidate = &agent->candidates[i];
		if (candidate->id == result->agent &&
		    candidate->incarnation == result->incarnation)
			candidate->answered = 1;
	}
}

int agent_successors_pending(const dy_agent_t *agent)
{
	return agent->candidate_count && !agent->has_successors;
}
