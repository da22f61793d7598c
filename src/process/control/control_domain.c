/*
 * Operators' orders on failure domains: evacuated ones take no new flows.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/invariant.h"

/* An order that waits for the log. */
typedef struct pending {
	dy_control_t *control;
	dy_domain_change_t order;
	char domain[DY_NAME_BYTES + 1];
	char request[16];
} pending_t;

/* The targets of a service that take new flows. */
typedef struct service_count {
	unsigned left;	    /* outside of evacuated domains */
	unsigned evacuated; /* in the domain that the order names */
} service_count_t;

typedef struct tally {
	const dy_control_t *control;
	const char *domain;
	GHashTable *services; /* interned name: service_count_t, owned */
} tally_t;

int control_knows_domain(const dy_control_t *control, const char *domain)
{
	char **known = control->options.domains;

	if (known && g_strv_contains((const char *const *)known, domain))
		return 1;
	return dy_registry_has_domain(control->registry, domain);
}

static void count_target(void *context, const dy_registry_member_t *member)
{
	tally_t *tally = context;
	service_count_t *count;

	if (member->kind != DY_MEMBER_AGENT || !*member->service ||
	    member->state != DY_MEMBER_SERVING)
		return;
	count = g_hash_table_lookup(tally->services, member->service);
	if (!count) {
		count = g_new0(service_count_t, 1);
		g_hash_table_insert(tally->services, member->service, count);
	}
	if (!strcmp(member->domain, tally->domain))
		count->evacuated++;
	else if (!dy_registry_is_evacuated(tally->control->registry,
					   member->domain))
		count->left++;
}

void control_log_evacuation(dy_control_t *control, const char *domain)
{
	tally_t tally = { control, domain, NULL };
	const service_count_t *count;
	GHashTableIter iter;
	gpointer service;
	gpointer value;

	tally.services =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	dy_registry_each_member(control->registry, count_target, &tally);
	g_hash_table_iter_init(&iter, tally.services);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		count = value;
		if (!count->evacuated)
			continue;
		dy_log_event(count->left ? DY_LOG_INFO : DY_LOG_WARN,
			     "evacuation_leaves",
			     "domain=%s service=%s targets=%u evacuated=%u",
			     dy_log_quote(domain), dy_log_quote(service),
			     count->left, count->evacuated);
	}
	g_hash_table_destroy(tally.services);
}

static void end_order(pending_t *pending, dy_status_t status,
		      const char *message)
{
	pending->order.done(pending->order.context, status, message);
	g_free(pending);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	pending_t *pending = context;
	dy_control_t *control = pending->control;
	const dy_change_result_t *answer;

	if (result != DY_RAFT_DONE) {
		end_order(pending, control_status_of(control, result),
			  "the group lost its leader meanwhile");
		return;
	}
	answer = dy_registry_find_answer(control->registry, pending->request);
	dy_assert(answer);
	dy_log_event(DY_LOG_INFO, "domain_ordered",
		     "domain=%s evacuated=%d status=%d index=%lu",
		     dy_log_quote(pending->domain), pending->order.evacuated,
		     answer->status, (unsigned long)index);
	if (answer->status == DY_STATUS_OK && pending->order.evacuated)
		control_log_evacuation(control, pending->domain);
	end_order(pending, answer->status, answer->message);
}

static void propose(pending_t *pending)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;
	dy_raft_result_t result;

	dy_random_fill(pending->request, sizeof(pending->request));
	change->kind = pending->order.evacuated ? DY_CHANGE_EVACUATE
						: DY_CHANGE_READMIT;
	memcpy(change->request, pending->request, sizeof(change->request));
	change->operator_name = "";
	change->environment = "";
	change->name = pending->domain;
	result = control_propose(pending->control, &command, on_committed,
				 pending);
	if (result != DY_RAFT_DONE)
		end_order(pending, control_status_of(pending->control, result),
			  "the group cannot take it just now");
}

/*
 * Guards against an order that stood in the sockets of a control which was
 * stopped for a while: its caller has sent it elsewhere since, and perhaps
 * withdrawn it, so that it would undo a later order.
 */
static int is_wanted(const pending_t *pending)
{
	return !pending->order.is_caller_waiting ||
	       pending->order.is_caller_waiting(pending->order.context);
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	pending_t *pending = context;
	dy_control_t *control = pending->control;

	(void)index;
	if (result != DY_RAFT_DONE)
		end_order(pending, control_status_of(control, result), "");
	else if (!control_knows_domain(control, pending->domain))
		end_order(pending, DY_STATUS_NOT_FOUND,
			  "there is no such failure domain");
	else if (!is_wanted(pending))
		end_order(pending, DY_STATUS_UNAVAILABLE,
			  "its caller has gone");
	else if (dy_registry_is_evacuated(control->registry, pending->domain) ==
		 pending->order.evacuated)
		end_order(pending, DY_STATUS_OK, "");
	else
		propose(pending);
}

void dy_control_change_domain(dy_control_t *control,
			      const dy_domain_change_t *order)
{
	dy_raft_result_t result = control_admit(control);
	pending_t *pending;

	if (!*order->domain || strlen(order->domain) > DY_NAME_BYTES) {
		order->done(order->context, DY_STATUS_NOT_FOUND,
			    "there is no such failure domain");
		return;
	}
	if (result != DY_RAFT_DONE) {
		order->done(order->context, control_status_of(control, result),
			    "");
		return;
	}
	pending = g_new0(pending_t, 1);
	pending->control = control;
	pending->order = *order;
	g_strlcpy(pending->domain, order->domain, sizeof(pending->domain));
	result = dy_raft_read(control->raft, on_confirmed, pending);
	if (result != DY_RAFT_DONE)
		end_order(pending, control_status_of(control, result), "");
}
