/*
 * A member's poll is evaluated against the registry. If it changes the
 * registry, the change is committed to the log; otherwise a read of the log
 * confirms the leader. The poll is answered after that.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/subscriber.h"

/*
 * Maximum rate of polls of a leader: half of what one core can answer, because
 * the log shares the core. Members of a larger group poll less often. On a
 * fraction of a core the rate is lower; the interval is then derived from the
 * measured cost of polls.
 */
#define POLLS_PER_SECOND_MAX 15000

/* Poll intervals per lease: a lease survives three lost polls in a row. */
#define POLLS_PER_LEASE 4

uint32_t control_poll_interval_ms(const dy_control_t *control)
{
	uint32_t members = dy_registry_member_count(control->registry);
	uint64_t bound_ms = (uint64_t)members * 1000 / POLLS_PER_SECOND_MAX;
	uint64_t measured_ms =
		control_poll_queue_interval_ms(control->poll_queue, members);

	return (uint32_t)CLAMP(MAX(bound_ms, measured_ms), DY_POLL_INTERVAL_MS,
			       DY_POLL_INTERVAL_MAX_MS);
}

uint64_t control_lease_ms(const dy_control_t *control)
{
	return MAX(control->options.leases.lease_ms,
		   POLLS_PER_LEASE *
			   (uint64_t)control_poll_interval_ms(control));
}

/*
 * Lists the members of a group with dynamic membership, so that a polling
 * member finds the group also after the controls in its settings were replaced.
 */
static unsigned list_controls(const dy_control_t *control,
			      dy_address_t controls[DY_CONTROLS_MAX])
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	unsigned count = 0;
	unsigned i;

	if (!control->options.dynamic_membership)
		return 0;
	for (i = 0; i < config->members.members_len; i++)
		if (count < DY_CONTROLS_MAX &&
		    !dy_address_parse(config->members.members_val[i].address,
				      &controls[count]))
			count++;
	return count;
}

static uint64_t polling_member(const request_t *request)
{
	const dy_member_info_t *info = &request->args.poll.info;

	return dy_member_id(info->environment, info->kind, info->name);
}

static void answer_poll(request_t *request, dy_status_t status)
{
	dy_control_t *control = request->control;
	dy_delta_t deltas[DY_DELTAS_MAX];
	dy_address_t controls[DY_CONTROLS_MAX];
	dy_poll_result_t result = { 0 };

	result.status = status;
	result.poll_ms = control_poll_interval_ms(control);
	result.lease_ms = (uint32_t)control_lease_ms(control);
	result.deltas.deltas_val = deltas;
	control_leader_address(control, &result.leader);
	result.controls.controls_val = controls;
	result.controls.controls_len = list_controls(control, controls);
	if (status == DY_STATUS_NAME_TAKEN)
		++*control->counters.name_taken;
	if (status == DY_STATUS_SUPERSEDED)
		++*control->counters.superseded;
	if (status == DY_STATUS_OK) {
		dy_registry_fill_poll_result(control->registry,
					     &request->args.poll, &result);
		control_poll_queue_poll_answered(control->poll_queue,
						 polling_member(request));
	}
	control_answer_request(request, (xdrproc_t)xdr_dy_poll_result_t,
			       &result);
}

static void renew_lease(request_t *request)
{
	dy_registry_renew_lease(request->control->registry,
				polling_member(request),
				request->args.poll.document);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;
	dy_status_t status =
		control_status_from_result(request->control, result);
	dy_command_t command;

	(void)index;
	if (result != DY_RAFT_DONE) {
		answer_poll(request, status);
		return;
	}
	/* An entry committed in between may have changed the outcome. */
	switch (dy_registry_evaluate_poll(request->control->registry,
					  &request->args.poll, &command,
					  &status)) {
	case DY_POLL_ANSWER:
		renew_lease(request);
		answer_poll(request, DY_STATUS_OK);
		return;
	case DY_POLL_REFUSE:
		answer_poll(request, status);
		return;
	case DY_POLL_PROPOSE:
		answer_poll(request, DY_STATUS_UNAVAILABLE);
		return;
	}
}

static void commit(request_t *request, const dy_command_t *command)
{
	dy_raft_result_t result;

	result = control_propose(request->control, command, on_committed,
				 request);
	if (result != DY_RAFT_DONE)
		answer_poll(request, control_status_from_result(
					     request->control, result));
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;
	dy_control_t *control = request->control;
	dy_status_t status = control_status_from_result(control, result);
	dy_command_t command;

	(void)index;
	if (result != DY_RAFT_DONE) {
		answer_poll(request, status);
		return;
	}
	switch (dy_registry_evaluate_poll(
		control->registry, &request->args.poll, &command, &status)) {
	case DY_POLL_ANSWER:
		renew_lease(request);
		answer_poll(request, DY_STATUS_OK);
		return;
	case DY_POLL_REFUSE:
		answer_poll(request, status);
		return;
	case DY_POLL_PROPOSE:
		commit(request, &command);
		return;
	}
}

/*
 * A poll that needs a log entry is proposed at once; the commit also confirms
 * the leader.
 */
static void start_poll(request_t *request)
{
	dy_control_t *control = request->control;
	dy_raft_result_t result;
	dy_command_t command;
	dy_status_t status;

	if (dy_registry_evaluate_poll(control->registry, &request->args.poll,
				      &command, &status) == DY_POLL_PROPOSE) {
		commit(request, &command);
		return;
	}
	result = dy_raft_read(control->raft, on_confirmed, request);
	if (result != DY_RAFT_DONE)
		answer_poll(request,
			    control_status_from_result(control, result));
}

int control_poll(dy_control_t *control, const dy_sealed_t *message,
		 const struct sockaddr *from)
{
	dy_raft_result_t result;
	request_t *request;

	++*control->counters.polls;
	request = control_keep_request(control, message, from,
				       (xdrproc_t)xdr_dy_poll_t,
				       sizeof(dy_poll_t));
	if (!request)
		return 0;
	result = control_admit(control);
	if (result == DY_RAFT_DONE)
		start_poll(request);
	else
		answer_poll(request,
			    control_status_from_result(control, result));
	return 1;
}
