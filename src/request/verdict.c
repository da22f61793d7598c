#include "damaskyard/verdict.h"

static dy_decision_t refuse(dy_verdict_t verdict, dy_reason_t reason)
{
	dy_decision_t decision = { 1, 0, verdict, reason };

	return decision;
}

static dy_decision_t continue_call(dy_verdict_t verdict, dy_reason_t reason)
{
	dy_decision_t decision = { 0, 0, verdict, reason };

	return decision;
}

static dy_decision_t forward_answer(void)
{
	dy_decision_t decision = { 1, 1, DY_RAN, DY_REASON_NONE };

	return decision;
}

/* Decides for a call of which no byte has been handed to the target. */
static dy_decision_t decide_unsent(dy_call_event_t event)
{
	switch (event) {
	case DY_EVENT_TARGET_LOST:
		return refuse(DY_NOT_RUN, DY_REASON_TARGET_LOST);
	case DY_EVENT_DEADLINE:
		return refuse(DY_NOT_RUN, DY_REASON_DEADLINE);
	case DY_EVENT_OVERLOAD:
		return refuse(DY_NOT_RUN, DY_REASON_OVERLOAD);
	case DY_EVENT_CANCEL:
	case DY_EVENT_CANCEL_GRANTED:
		return refuse(DY_NOT_RUN, DY_REASON_CANCELLED);
	case DY_EVENT_STOPPING:
		return refuse(DY_NOT_RUN, DY_REASON_DRAINING);
	default:
		return continue_call(DY_NOT_RUN, DY_REASON_BAD_ANSWER);
	}
}

/*
 * Decides for a call that was sent. A target that answers SYSTEM_ERR or refuses
 * the credential has received the call and may have run it. A refused
 * credential is not forwarded as such: a stock RPC library that holds a token
 * would send the call again by itself.
 */
static dy_decision_t decide_sent(dy_call_event_t event)
{
	switch (event) {
	case DY_EVENT_ANSWERED:
	case DY_EVENT_ANSWERED_ERROR:
		return forward_answer();
	case DY_EVENT_SHED_NOT_RUN:
		return refuse(DY_NOT_RUN, DY_REASON_SHED);
	case DY_EVENT_SHED_MAY_HAVE_RUN:
		return refuse(DY_MAY_HAVE_RUN, DY_REASON_SHED);
	case DY_EVENT_CANCEL_GRANTED:
		return refuse(DY_NOT_RUN, DY_REASON_CANCELLED);
	case DY_EVENT_CANCEL:
		return continue_call(DY_MAY_HAVE_RUN, DY_REASON_CANCELLED);
	case DY_EVENT_ANSWER_TOO_LARGE:
		return refuse(DY_MAY_HAVE_RUN, DY_REASON_TOO_LARGE);
	case DY_EVENT_TARGET_LOST:
		return refuse(DY_MAY_HAVE_RUN, DY_REASON_TARGET_LOST);
	case DY_EVENT_DEADLINE:
		return refuse(DY_MAY_HAVE_RUN, DY_REASON_DEADLINE);
	case DY_EVENT_STOPPING:
		return refuse(DY_MAY_HAVE_RUN, DY_REASON_DRAINING);
	case DY_EVENT_OVERLOAD:
		return continue_call(DY_MAY_HAVE_RUN, DY_REASON_OVERLOAD);
	default:
		return refuse(DY_MAY_HAVE_RUN, DY_REASON_BAD_ANSWER);
	}
}

dy_decision_t dy_verdict_decide(dy_call_stage_t stage, dy_call_event_t event)
{
	if (stage < DY_STAGE_SENT)
		return decide_unsent(event);
	if (stage == DY_STAGE_SENT)
		return decide_sent(event);
	return continue_call(DY_MAY_HAVE_RUN, DY_REASON_DUPLICATE);
}
