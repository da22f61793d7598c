/*
 * Evacuation and readmission of failure domains. Targets in an evacuated domain
 * get no new flows.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/invariant.h"

/* A change that waits for the log. */
typedef struct domain_request {
	dy_control_t *control;
	dy_domain_change_t change;
	char domain[DY_NAME_BYTES + 1];
	char request_id[16];
} domain_request_t;

/* Number of a service's targets that accept new flows. */
typedef struct service_count {
	unsigned remaining; /* outside of evacuated domains */
	unsigned evacuated; /* in the domain that the change names */
} service_count_t;

typedef struct tally {
	const dy_control_t *control;
	const char *domain;
	GHashTable *services; /* by interned name: service_count_t, owned */
} tally_t;

int control_has_domain(const dy_control_t *control, const char *domain)
{
	char **configured = control->options.domains;

	if (configured &&
	    g_strv_contains((const char *const *)configured, domain))
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
		count->remaining++;
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
		dy_log_event(count->remaining ? DY_LOG_INFO : DY_LOG_WARN,
			     "evacuation_leaves",
			     "domain=%s service=%s targets=%u evacuated=%u",
			     dy_log_quote(domain), dy_log_quote(service),
			     count->remaining, count->evacuated);
	}
	g_hash_table_destroy(tally.services);
}

static void finish_request(domain_request_t *request, dy_status_t status,
			   const char *message)
{
	request->change.done(request->change.context, status, message);
	g_free(request);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	domain_request_t *request = context;
	dy_control_t *control = request->control;
	const dy_change_result_t *answer;

	if (result != DY_RAFT_DONE) {
		finish_request(
			request, control_status_from_result(control, result),
			"the leader changed before the change was committed");
		return;
	}
	answer =
		dy_registry_find_answer(control->registry, request->request_id);
	dy_assert(answer);
	dy_log_event(DY_LOG_INFO, "domain_ordered",
		     "domain=%s evacuated=%d status=%d index=%lu",
		     dy_log_quote(request->domain), request->change.evacuated,
		     answer->status, (unsigned long)index);
	if (answer->status == DY_STATUS_OK && request->change.evacuated)
		control_log_evacuation(control, request->domain);
	finish_request(request, answer->status, answer->message);
}

static void propose(domain_request_t *request)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;
	dy_raft_result_t result;

	dy_random_fill(request->request_id, sizeof(request->request_id));
	change->kind = request->change.evacuated ? DY_CHANGE_EVACUATE
						 : DY_CHANGE_READMIT;
	memcpy(change->request, request->request_id, sizeof(change->request));
	change->operator_name = "";
	change->environment = "";
	change->name = request->domain;
	result = control_propose(request->control, &command, on_committed,
				 request);
	if (result != DY_RAFT_DONE)
		finish_request(
			request,
			control_status_from_result(request->control, result),
			"the group accepts no changes at the moment; try again");
}

/*
 * Guards against a change that was buffered in the sockets of a suspended
 * control: its caller has since sent it to another control and may have
 * reverted it there, so this copy would undo a later change.
 */
static int is_caller_waiting(const domain_request_t *request)
{
	return !request->change.is_caller_waiting ||
	       request->change.is_caller_waiting(request->change.context);
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	domain_request_t *request = context;
	dy_control_t *control = request->control;

	(void)index;
	if (result != DY_RAFT_DONE)
		finish_request(request,
			       control_status_from_result(control, result), "");
	else if (!control_has_domain(control, request->domain))
		finish_request(request, DY_STATUS_NOT_FOUND,
			       "unknown failure domain");
	else if (!is_caller_waiting(request))
		finish_request(request, DY_STATUS_UNAVAILABLE,
			       "the caller no longer waits for the result");
	else if (dy_registry_is_evacuated(control->registry, request->domain) ==
		 request->change.evacuated)
		finish_request(request, DY_STATUS_OK, "");
	else
		propose(request);
}

void dy_control_change_domain(dy_control_t *control,
			      const dy_domain_change_t *change)
{
	dy_raft_result_t result = control_admit(control);
	domain_request_t *request;

	if (!*change->domain || strlen(change->domain) > DY_NAME_BYTES) {
		change->done(change->context, DY_STATUS_NOT_FOUND,
			     "unknown failure domain");
		return;
	}
	if (result != DY_RAFT_DONE) {
		change->done(change->context,
			     control_status_from_result(control, result), "");
		return;
	}
	request = g_new0(domain_request_t, 1);
	request->control = control;
	request->change = *change;
	g_strlcpy(request->domain, change->domain, sizeof(request->domain));
	result = dy_raft_read(control->raft, on_confirmed, request);
	if (result != DY_RAFT_DONE)
		finish_request(request,
			       control_status_from_result(control, result), "");
}
