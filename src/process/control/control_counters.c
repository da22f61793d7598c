/* Names of the counters; docs/CONTROL.md describes them. */

#include "control_private.h"

void control_register_counters(dy_control_t *control)
{
	const dy_metrics_entry_t entries[] = {
		{ "control_polls", &control->counters.polls },
		{ "control_fetches", &control->counters.fetches },
		{ "control_image_asks", &control->counters.image_requests },
		{ "control_images", &control->counters.images },
		{ "control_puts", &control->counters.puts },
		{ "control_changes", &control->counters.changes },
		{ "control_inspects", &control->counters.inspects },
		{ "control_proposals", &control->counters.proposals },
		{ "control_calls_malformed", &control->counters.malformed },
		{ "control_truncated", &control->counters.truncated },
		{ "control_unsent", &control->counters.unsent },
		{ "control_not_leader", &control->counters.not_leader },
		{ "control_unavailable", &control->counters.unavailable },
		{ "control_name_taken", &control->counters.name_taken },
		{ "control_superseded", &control->counters.superseded },
		{ "control_poll_copies", &control->counters.poll_copies },
		{ "control_polls_shed", &control->counters.polls_shed },
		{ "control_invitations", &control->counters.invitations },
		{ "uploads_dropped", &control->counters.uploads_dropped },
		{ "leader_elected", &control->counters.elections_won },
		{ "group_founded", &control->counters.groups_bootstrapped },
		{ "learner_added", &control->counters.learners_added },
		{ "control_promoted", &control->counters.members_promoted },
		{ "control_removed", &control->counters.members_removed },
		{ "control_join_refused", &control->counters.joins_refused },
		{ "disk_failed", &control->counters.disk_failures },
		{ "snapshots_written", &control->counters.snapshots },
		{ "ledger_not_written", &control->counters.ledger_failures },
		{ "control_voters_missing", &control->counters.voters_missing },
		{ "promoted_untried", &control->counters.promoted_untried },
	};
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(100, 1000);
	static const dy_log_limit_t rare = DY_LOG_LIMIT_INIT(3, 10000);
	static const dy_log_limit_t some =
		DY_LOG_LIMIT_INIT(DY_RAFT_MEMBERS_MAX, 5000);
	static const dy_log_limit_t one =
		DY_LOG_LIMIT_INIT(1, JOIN_WAIT_LOG_INTERVAL_MS);
	size_t i;

	dy_metrics_counters(control->metrics, entries, G_N_ELEMENTS(entries));
	for (i = 0; i < DY_EVENTS; i++) {
		control->counters.events[i] = dy_metrics_counter(
			control->metrics, dy_registry_event_name(i));
		control->event_limits[i] = limit;
	}
	control->lease_limit = limit;
	control->join_limit = rare;
	control->slot_limit = rare;
	control->behind_limit = some;
	control->waiting_limit = one;
	control->malformed_limit = rare;
}
