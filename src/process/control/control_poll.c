/*
 * A member's poll: judged against the registry, committed if it changes
 * anything, else confirmed by a read of the log; answered after that.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/subscriber.h"

/*
 * Polls that a leader answers in a second, at most: half of what one core can,
 * as it shares the core with the log. Members of a larger group poll less
 * often. On a part of a core it is fewer; then the pace comes from what polls
 * were seen to cost.
 */
#define CONTROL_POLLS_A_SECOND 15000

/* Polls lost in a row that a lease outlives, and one more. */
#define POLLS_A_LEASE 4

uint32_t control_poll_ms(const dy_control_t *control)
{
	uint32_t members = dy_registry_member_count(control->registry);
	uint64_t bound_ms = (uint64_t)members * 1000 / CONTROL_POLLS_A_SECOND;
	uint64_t seen_ms = control_intake_pace_ms(control->intake, members);

	return (uint32_t)CLAMP(MAX(bound_ms, seen_ms), DY_POLL_INTERVAL_MS,
			       DY_POLL_INTERVAL_MAX_MS);
}

uint64_t control_lease_ms(const dy_control_t *control)
{
	return MAX(control->options.leases.lease_ms,
		   POLLS_A_LEASE * (uint64_t)control_poll_ms(control));
}

/* The members of an open group, so that whoever polls outlives its settings. */
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

static uint64_t poller(const request_t *request)
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
	result.poll_ms = control_poll_ms(control);
	result.lease_ms = (uint32_t)control_lease_ms(control);
	result.deltas.deltas_val = deltas;
	control_show_leader(control, &result.leader);
	result.controls.controls_val = controls;
	result.controls.controls_len = list_controls(control, controls);
	if (status == DY_STATUS_NAME_TAKEN)
		++*control->counters.name_taken;
	if (status == DY_STATUS_SUPERSEDED)
		++*control->counters.superseded;
	if (status == DY_STATUS_OK) {
		dy_registry_fill_poll_result(control->registry,
					     &request->args.poll, &result);
		control_intake_heard(control->intake, poller(request));
	}
	control_answer_request(request, (xdrproc_t)xdr_dy_poll_result_t,
			       &result);
}

static void renew(request_t *request)
{
	dy_registry_renew_lease(request->control->registry, poller(request),
				request->args.poll.document);
}

static void on_committed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;
	dy_status_t status = control_status_of(request->control, result);
	dy_command_t command;

	(void)index;
	if (result != DY_RAFT_DONE) {
		answer_poll(request, status);
		return;
	}
	/* Another entry may have come before and changed what is right. */
	switch (dy_registry_evaluate_poll(request->control->registry,
					  &request->args.poll, &command,
					  &status)) {
	case DY_POLL_ANSWER:
		renew(request);
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
		answer_poll(request,
			    control_status_of(request->control, result));
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;
	dy_control_t *control = request->control;
	dy_status_t status = control_status_of(control, result);
	dy_command_t command;

	(void)index;
	if (result != DY_RAFT_DONE) {
		answer_poll(request, status);
		return;
	}
	switch (dy_registry_evaluate_poll(
		control->registry, &request->args.poll, &command, &status)) {
	case DY_POLL_ANSWER:
		renew(request);
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

/* What needs an entry is committed at once; that confirms the lead too. */
static void begin(request_t *request)
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
		answer_poll(request, control_status_of(control, result));
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
		begin(request);
	else
		answer_poll(request, control_status_of(control, result));
	return 1;
}
