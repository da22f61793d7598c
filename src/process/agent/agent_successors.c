#include "agent_private.h"

/*
 * Choosing successors. Control's word that an agent serves is as old as its
 * lease: one that was killed a moment ago still stands there. A session that
 * is sent to it is lost, since nobody can tell whether it was taken. So each
 * candidate is first asked by a message without sessions, and only those that
 * answer are chosen.
 */

/* The offer is sent again after this, in ms. */
#define OFFER_AGAIN_MS 250

/* With one answer at least, the others are waited for as long, in ms. */
#define OFFER_MS 600

/* Without any, other candidates may have come by then, in ms. */
#define OFFER_ANEW_MS 2000

static void begin_offer(dy_agent_t *agent)
{
	uint64_t ids[DY_SUCCESSORS_MAX];
	unsigned count = agent_member_successors(agent, ids);
	unsigned i;

	agent->offered_ms = agent_now_ms(agent);
	agent->candidate_count = count;
	for (i = 0; i < count; i++) {
		candidate_t *candidate = &agent->candidates[i];

		candidate->id = ids[i];
		candidate->incarnation =
			agent_member_find(agent, ids[i])->incarnation;
		candidate->asked_ms = 0;
		candidate->answered = 0;
	}
	if (!count && dy_sessions_count(agent->sessions))
		agent_note(agent, EVENT_NO_SUCCESSOR, "sessions=%u",
			   dy_sessions_count(agent->sessions));
}

static void ask(dy_agent_t *agent, candidate_t *candidate)
{
	const member_t *member = agent_member_find(agent, candidate->id);
	dy_handover_t handover = { 0 };

	candidate->asked_ms = agent_now_ms(agent);
	handover.format = DY_HANDOVER_FORMAT;
	handover.service = agent->service.id;
	handover.agent = agent->id;
	handover.incarnation = agent->incarnation;
	handover.to_agent = candidate->id;
	handover.to_incarnation = candidate->incarnation;
	agent->config.callbacks->send_handover(agent->config.context,
					       &member->address, &handover);
}

static unsigned ask_again(dy_agent_t *agent)
{
	uint64_t now_ms = agent_now_ms(agent);
	candidate_t *candidate;
	unsigned answered = 0;
	unsigned i;

	for (i = 0; i < agent->candidate_count; i++) {
		candidate = &agent->candidates[i];
		answered += !!candidate->answered;
		if (!candidate->answered &&
		    now_ms - candidate->asked_ms >= OFFER_AGAIN_MS)
			ask(agent, candidate);
	}
	return answered;
}

static void choose_answered(dy_agent_t *agent)
{
	unsigned i;

	for (i = 0; i < agent->candidate_count; i++)
		if (agent->candidates[i].answered)
			agent->successors[agent->successor_count++] =
				agent->candidates[i].incarnation;
	agent->has_successors = 1;
	agent_note(agent, EVENT_SUCCESSORS_CHOSEN,
		   "count=%u candidates=%u sessions=%u", agent->successor_count,
		   agent->candidate_count, dy_sessions_count(agent->sessions));
}

void agent_successors_tick(dy_agent_t *agent)
{
	uint64_t since_ms = agent_now_ms(agent) - agent->offered_ms;
	unsigned answered;

	if (!agent->candidate_count || since_ms >= OFFER_ANEW_MS) {
		begin_offer(agent);
		since_ms = 0;
	}
	answered = ask_again(agent);
	if (answered &&
	    (answered == agent->candidate_count || since_ms >= OFFER_MS))
		choose_answered(agent);
}

void agent_successors_answered(dy_agent_t *agent,
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
