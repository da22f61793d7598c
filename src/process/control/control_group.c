/* The control group: log messages, bootstrap, and joining controls. */

#include <string.h>

#include "control_private.h"

void control_send_raft(void *context, const dy_raft_message_t *message)
{
	dy_control_t *control = context;
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_RAFT };
	dy_address_t to;
	size_t len;

	if (control_find_address(control, message->to, &to)) {
		++*control->counters.unsent;
		return;
	}
	len = dy_seal_write_call(
		control->seal, &head, (xdrproc_t)xdr_dy_raft_message_t,
		(void *)message, control->out, sizeof(control->out));
	if (!len ||
	    dy_endpoint_send_to(control->endpoint, control->out, len, &to))
		++*control->counters.unsent;
}

int control_store_is_empty(const dy_control_t *control)
{
	return !dy_store_last_index(control->store) &&
	       !dy_store_term(control->store) &&
	       !dy_store_snapshot(control->store);
}

static void send_hello(dy_control_t *control, const dy_address_t *to,
		       int answer, uint64_t echo)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_HELLO };
	dy_hello_t hello = { 0 };
	size_t len;

	hello.group = control->options.group;
	hello.id = dy_store_id(control->store);
	hello.empty = control_store_is_empty(control);
	hello.answer = answer;
	hello.echo = echo;
	len = dy_seal_write_call(control->seal, &head,
				 (xdrproc_t)xdr_dy_hello_t, &hello,
				 control->out, sizeof(control->out));
	if (len)
		dy_endpoint_send_to(control->endpoint, control->out, len, to);
}

static void receive_hello(dy_control_t *control, const dy_sealed_t *message,
			  const struct sockaddr *from)
{
	dy_address_t address;
	dy_hello_t hello;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_hello_t, &hello,
			    sizeof(hello))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	if (hello.group != control->options.group)
		return;
	dy_address_load(&address, from);
	control_record_joiner(control, &hello, &address);
	bootstrap_receive_hello(&control->bootstrap, &hello, &address,
				hello.echo == dy_seal_sender(control->seal),
				control_now_ms(control));
	if (!hello.answer)
		return;
	send_hello(control, &address, 0, message->sender);
}

/* Whether the source of a message may replace an address known before. */
static int is_current(const dy_control_t *control,
		      const dy_raft_message_t *message)
{
	dy_address_t known;

	if (message->group != control->options.group ||
	    !dy_voter_id_equal(message->to, dy_raft_id(control->raft)))
		return 0;
	return message->term >= dy_raft_term(control->raft) ||
	       control_find_address(control, message->from, &known);
}

static void receive_raft(dy_control_t *control, const dy_sealed_t *message,
			 const struct sockaddr *from)
{
	dy_address_t address;
	dy_raft_message_t raft;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_raft_message_t, &raft,
			    sizeof(raft))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	if (is_current(control, &raft)) {
		dy_address_load(&address, from);
		peer_addresses_note_source(&control->peer_addresses, raft.from,
					   &address, control_now_ms(control));
	}
	dy_raft_receive(control->raft, &raft, control_now_ms(control));
	xdr_free((xdrproc_t)xdr_dy_raft_message_t, (char *)&raft);
}

void control_receive_group(dy_control_t *control, const dy_sealed_t *message,
			   const struct sockaddr *from)
{
	if (message->procedure == DY_GROUP_RAFT)
		receive_raft(control, message, from);
	else if (message->procedure == DY_GROUP_HELLO)
		receive_hello(control, message, from);
	else if (message->procedure == DY_GROUP_FIND)
		control_receive_find(control, message, from);
	else if (message->procedure == DY_GROUP_PLACE)
		control_receive_place(control, message);
	else
		control_count_malformed(control, message->procedure);
}

unsigned control_count_voters(const dy_control_t *control)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	unsigned voters = 0;
	unsigned i;

	for (i = 0; i < config->members.members_len; i++)
		voters +=
			config->members.members_val[i].role == DY_MEMBER_VOTER;
	return voters;
}

static void bootstrap_group(dy_control_t *control)
{
	const dy_address_t *own =
		&control->options.peers.slots[control->options.slot];
	char text[DY_ADDRESS_TEXT_BYTES];

	if (dy_raft_bootstrap(control->raft, dy_address_format(own, text)) !=
	    DY_RAFT_DONE)
		return;
	++*control->counters.groups_bootstrapped;
	dy_log_event(DY_LOG_INFO, "group_founded", "slot=%u peers=%u",
		     control->options.slot, control->options.peers.count);
}

static void ask_to_join(dy_control_t *control, const dy_address_t *to)
{
	send_hello(control, to, 1, 0);
}

static void find_slot_members(const dy_control_t *control, uint32_t slot,
			      join_member_t *voter, join_member_t *learner)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	const dy_raft_member_t *member;
	join_member_t *found;
	unsigned i;

	memset(voter, 0, sizeof(*voter));
	memset(learner, 0, sizeof(*learner));
	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (member->id.slot != slot)
			continue;
		found = member->role == DY_MEMBER_VOTER ? voter : learner;
		found->identity = member->id.identity;
		found->lag = dy_raft_member_lag(control->raft, member->id,
						&found->last_answer_age_ms);
		if (control->options.dynamic_membership)
			found->silent_ms = dy_raft_member_silent_ms(
				control->raft, member->id);
	}
}

static void on_config_committed(void *context, dy_raft_result_t result,
				uint64_t index)
{
	dy_control_t *control = context;

	if (result == DY_RAFT_DONE)
		dy_log_event(
			DY_LOG_INFO, "group_changed", "voters=%u index=%lu",
			control_count_voters(control), (unsigned long)index);
}

static void count_and_log_step(dy_control_t *control, const char *event,
			       uint64_t *counter, dy_voter_id_t id)
{
	++*counter;
	dy_log_event(DY_LOG_INFO, event, "slot=%u identity=%lx", id.slot,
		     (unsigned long)id.identity);
}

static void refuse_join(dy_control_t *control, dy_voter_id_t id)
{
	++*control->counters.joins_refused;
	if (dy_log_allow(&control->join_limit, "control_join_refused",
			 control_now_ms(control)))
		dy_log_event(DY_LOG_WARN, "control_join_refused",
			     "slot=%u identity=%lx reason=slot_is_alive",
			     id.slot, (unsigned long)id.identity);
}

static void run_join_step(dy_control_t *control, join_step_t step,
			  dy_voter_id_t id)
{
	const dy_address_t *address =
		&control->bootstrap.peer_states[id.slot].join_address;
	char text[DY_ADDRESS_TEXT_BYTES];

	switch (step) {
	case JOIN_NONE:
		return;
	case JOIN_REFUSE:
		refuse_join(control, id);
		return;
	case JOIN_ADD:
		if (dy_raft_add_learner(
			    control->raft, id, dy_address_format(address, text),
			    on_config_committed, control) == DY_RAFT_DONE)
			count_and_log_step(control, "learner_added",
					   control->counters.learners_added,
					   id);
		return;
	case JOIN_PROMOTE:
		if (dy_raft_promote(control->raft, id, on_config_committed,
				    control) == DY_RAFT_DONE)
			count_and_log_step(control, "control_promoted",
					   control->counters.members_promoted,
					   id);
		return;
	case JOIN_REMOVE:
		if (dy_raft_remove(control->raft, id, on_config_committed,
				   control) != DY_RAFT_DONE)
			return;
		bootstrap_forget_request(&control->bootstrap, id);
		count_and_log_step(control, "control_removed",
				   control->counters.members_removed, id);
		return;
	}
}

static void review_joins(dy_control_t *control)
{
	join_member_t voter;
	join_member_t learner;
	dy_voter_id_t id;
	join_step_t step;
	uint32_t slot;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		if (!control->options.peers.slots[slot].port ||
		    slot == control->options.slot)
			continue;
		find_slot_members(control, slot, &voter, &learner);
		id.slot = slot;
		step = bootstrap_next_join(&control->bootstrap, slot, &voter,
					   &learner, control_now_ms(control),
					   &id.identity);
		if (step == JOIN_PROMOTE && !control_needs_voter(control))
			continue;
		run_join_step(control, step, id);
	}
	if (control_find_surplus_voter(control, &id))
		run_join_step(control, JOIN_REMOVE, id);
}

/* Tells the operator why a running control does not serve. */
static void log_join_wait(dy_control_t *control)
{
	unsigned answered = 0;
	unsigned empty = 0;
	uint32_t slot;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		answered += !!control->bootstrap.peer_states[slot].answered;
		empty += !!control->bootstrap.peer_states[slot].empty;
	}
	if (control_now_ms(control) - control->started_ms >=
		    JOIN_WAIT_LOG_INTERVAL_MS &&
	    dy_log_allow(&control->waiting_limit, "group_awaited",
			 control_now_ms(control)))
		dy_log_event(DY_LOG_WARN, "group_awaited",
			     "peers=%u answered=%u empty=%u",
			     control->options.peers.count - 1, answered, empty);
}

void control_review_group(dy_control_t *control)
{
	control_report_voters(control);
	if (dy_raft_role(control->raft) == DY_RAFT_LEADER) {
		control->leader_seen_ms = control_now_ms(control);
		if (dy_raft_has_quorum(control->raft) &&
		    control_poll_queue_allows_joins(control->poll_queue))
			review_joins(control);
		return;
	}
	if (!control_store_is_empty(control)) {
		if (control->options.dynamic_membership)
			control_query_membership(control);
		return;
	}
	if (!control->options.joins_running_group &&
	    bootstrap_is_due(&control->bootstrap))
		bootstrap_group(control);
	else
		control_each_address(control, ask_to_join);
	control_check_join_timeout(control);
	log_join_wait(control);
}
