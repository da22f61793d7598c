#include "agent_private.h"

#include <stdarg.h>
#include <stdio.h>

/* Log lines of one event per period: enough to show that it persists. */
#define LOG_BURST 5
#define LOG_PERIOD_MS 10000

#define LINE_BYTES 512

static const struct {
	const char *name;
	dy_log_level_t level;
} events[AGENT_EVENTS] = {
	[EVENT_CALLS_ANSWERED] = { "calls_answered", DY_LOG_DEBUG },
	[EVENT_CALLS_NOT_RUN] = { "calls_not_run", DY_LOG_INFO },
	[EVENT_CALLS_MAY_HAVE_RUN] = { "calls_may_have_run", DY_LOG_WARN },
	[EVENT_CALLS_SENT] = { "calls_sent", DY_LOG_DEBUG },
	[EVENT_COPIES_IN_PROGRESS] = { "copies_in_progress", DY_LOG_DEBUG },
	[EVENT_COPIES_ANSWERED] = { "copies_answered", DY_LOG_DEBUG },
	[EVENT_COPIES_REFUSED] = { "copies_refused", DY_LOG_INFO },
	[EVENT_SESSIONS_OPENED] = { "sessions_opened", DY_LOG_DEBUG },
	[EVENT_SESSIONS_EXPIRED] = { "sessions_expired", DY_LOG_INFO },
	[EVENT_SESSIONS_RECEIVED] = { "sessions_received", DY_LOG_INFO },
	[EVENT_SESSIONS_MOVED] = { "sessions_moved", DY_LOG_DEBUG },
	[EVENT_SESSIONS_LOST] = { "sessions_lost", DY_LOG_WARN },
	[EVENT_SESSION_UNKNOWN] = { "session_unknown", DY_LOG_INFO },
	[EVENT_SESSIONS_CROWDED] = { "sessions_crowded", DY_LOG_INFO },
	[EVENT_FORWARD_MALFORMED] = { "forward_malformed", DY_LOG_WARN },
	[EVENT_FORWARD_MISDIRECTED] = { "forward_misdirected", DY_LOG_WARN },
	[EVENT_FORWARD_BOUNCED] = { "forward_bounced", DY_LOG_INFO },
	[EVENT_FORWARD_RELAYED] = { "forward_relayed", DY_LOG_DEBUG },
	[EVENT_FORWARD_HOPS_EXCEEDED] = { "forward_hops_exceeded",
					  DY_LOG_WARN },
	[EVENT_TOKEN_FORGED] = { "token_forged", DY_LOG_WARN },
	[EVENT_TOKEN_EXPIRED] = { "token_expired", DY_LOG_INFO },
	[EVENT_TOKEN_MISSING] = { "token_missing", DY_LOG_INFO },
	[EVENT_TOKEN_OTHER_SERVICE] = { "token_other_service", DY_LOG_WARN },
	[EVENT_AWAITS_HANDOVER] = { "awaits_handover", DY_LOG_INFO },
	[EVENT_SESSION_CLOSING] = { "session_closing", DY_LOG_DEBUG },
	[EVENT_DRC_FULL] = { "drc_full", DY_LOG_WARN },
	[EVENT_DRC_OVERFLOW] = { "drc_overflow", DY_LOG_WARN },
	[EVENT_TARGET_ANNOUNCED] = { "target_announced", DY_LOG_INFO },
	[EVENT_TARGET_OTHER_SERVICE] = { "target_other_service", DY_LOG_WARN },
	[EVENT_TARGET_STALE] = { "target_stale", DY_LOG_WARN },
	[EVENT_TARGET_MALFORMED] = { "target_malformed", DY_LOG_WARN },
	[EVENT_TARGET_RESTARTED] = { "target_restarted", DY_LOG_WARN },
	[EVENT_TARGET_LEASE_LAPSED] = { "target_lease_lapsed", DY_LOG_WARN },
	[EVENT_TARGET_AWAY] = { "target_away", DY_LOG_WARN },
	[EVENT_TARGET_BACK] = { "target_back", DY_LOG_INFO },
	[EVENT_LINK_UP] = { "link_up", DY_LOG_DEBUG },
	[EVENT_LINK_DOWN] = { "link_down", DY_LOG_WARN },
	[EVENT_PROBE_UNANSWERED] = { "probe_unanswered", DY_LOG_WARN },
	[EVENT_ANSWER_BAD] = { "answer_bad", DY_LOG_WARN },
	[EVENT_ANSWER_TOO_LARGE] = { "answer_too_large", DY_LOG_WARN },
	[EVENT_ANSWER_SHED] = { "answer_shed", DY_LOG_INFO },
	[EVENT_DEADLINE_PASSED] = { "deadline_passed", DY_LOG_WARN },
	[EVENT_CANCELS] = { "cancels", DY_LOG_DEBUG },
	[EVENT_CANCELS_GRANTED] = { "cancels_granted", DY_LOG_DEBUG },
	[EVENT_HANDOVER_SENT] = { "handover_sent", DY_LOG_DEBUG },
	[EVENT_HANDOVER_STALE] = { "handover_stale", DY_LOG_WARN },
	[EVENT_HANDOVER_MALFORMED] = { "handover_malformed", DY_LOG_ERROR },
	[EVENT_SUPERSEDED] = { "superseded", DY_LOG_ERROR },
	[EVENT_DRAIN_STARTED] = { "drain_started", DY_LOG_INFO },
	[EVENT_SUCCESSORS_CHOSEN] = { "successors_chosen", DY_LOG_INFO },
	[EVENT_NO_SUCCESSOR] = { "no_successor", DY_LOG_WARN },
	[EVENT_LEFT] = { "left", DY_LOG_INFO },
	[EVENT_CONTROL_LEASE] = { "control_lease", DY_LOG_INFO },
};

void agent_event_init(dy_agent_t *agent)
{
	static const dy_log_limit_t limit =
		DY_LOG_LIMIT_INIT(LOG_BURST, LOG_PERIOD_MS);
	unsigned i;

	for (i = 0; i < AGENT_EVENTS; i++) {
		agent->counters[i] = dy_metrics_counter(agent->config.metrics,
							events[i].name);
		agent->limits[i] = limit;
	}
}

void agent_count(dy_agent_t *agent, agent_event_t event)
{
	++*agent->counters[event];
}

void agent_log_event(dy_agent_t *agent, agent_event_t event, const char *pairs,
		     ...)
{
	char line[LINE_BYTES];
	va_list args;

	agent_count(agent, event);
	if (!dy_log_allow(&agent->limits[event], events[event].name,
			  agent_now_ms(agent)))
		return;
	va_start(args, pairs);
	vsnprintf(line, sizeof(line), pairs, args);
	va_end(args);
	dy_log_event(events[event].level, events[event].name, "%s", line);
}

void agent_count_outcome(dy_agent_t *agent, dy_outcome_t outcome)
{
	dy_burn_add(agent->burn, outcome, agent_now_ms(agent));
}

void agent_count_refusal(dy_agent_t *agent, dy_verdict_t verdict)
{
	agent_count_outcome(agent, verdict == DY_NOT_RUN
					   ? DY_OUTCOME_REFUSED
					   : DY_OUTCOME_MAY_HAVE_RUN);
}
