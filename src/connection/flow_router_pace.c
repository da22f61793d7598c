/* The log of targets that get another share of the new flows. */

#include "flow_router_private.h"

#include "damaskyard/address.h"

static void log_change(void *context, const dy_address_t *agent,
		       const dy_target_pace_t *pace,
		       dy_target_pace_change_t change, uint32_t median_us,
		       unsigned compared, uint64_t now_ms)
{
	static const char *const events[] = {
		[DY_TARGET_UNEVEN] = "target_uneven",
		[DY_TARGET_EVEN] = "target_even",
		[DY_TARGET_HELD_BACK] = "target_held_back",
		[DY_TARGET_GIVEN_BACK] = "target_given_back",
	};
	dy_flow_router_t *router = context;
	char text[DY_ADDRESS_TEXT_BYTES];

	if (change == DY_TARGET_UNEVEN)
		++*router->uneven;
	if (change == DY_TARGET_HELD_BACK)
		++*router->held_back;
	if (change == DY_TARGET_GIVEN_BACK)
		++*router->given_back;
	if (!dy_log_allow(&router->pace_limit, events[change], now_ms))
		return;
	dy_log_event(change == DY_TARGET_HELD_BACK ? DY_LOG_WARN : DY_LOG_INFO,
		     events[change],
		     "agent=%s service_us=%u median_us=%u "
		     "unanswered_permille=%u age_ms=%lu steps=%u targets=%u",
		     dy_address_format(agent, text), pace->reported.service_us,
		     median_us, pace->reported.unanswered_permille,
		     (unsigned long)(now_ms - pace->reported_ms), pace->steps,
		     compared);
}

void flow_router_watch_pace(dy_flow_router_t *router)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(20, 1000);
	const dy_metrics_entry_t entries[] = {
		{ "targets_uneven", &router->uneven },
		{ "targets_held_back", &router->held_back },
		{ "targets_given_back", &router->given_back },
	};

	router->pace_limit = limit;
	dy_metrics_counters(router->config.metrics, entries,
			    G_N_ELEMENTS(entries));
	dy_flow_targets_watch_pace(router->targets, log_change, router);
}
