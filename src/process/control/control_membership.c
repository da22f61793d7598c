/*
 * Dynamic membership: the group's members are those of the log, and a control
 * that has only some addresses of the group gets its slot from the leader.
 */

#include <string.h>

#include "control_private.h"

/*
 * Time for which a slot is kept for the control that it was given to. A control
 * that still needs it asks again several times within this time.
 */
#define SLOT_GRANT_TTL_MS 3000

/*
 * A control with an empty store that has not joined after this time gives up
 * its slot and requests another. Bootstrap and joining take about one second.
 */
#define JOIN_TIMEOUT_MS 8000

/*
 * A member without a leader for this time asks its peers whether it is still a
 * member: ten election timeouts, so that a change of leader causes no queries.
 */
#define LEADERLESS_TIMEOUT_MS 3000

/* Interval of these queries. */
#define MEMBERSHIP_QUERY_INTERVAL_MS 500

#define ADDRESSES_MAX (2 * DY_RAFT_MEMBERS_MAX + DY_SETTING_ADDRESSES_MAX)

/*
 * A configuration without this control dates from before it joined: the slots
 * that it was told when it joined are newer.
 */
void control_refresh_peers(dy_control_t *control)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	const dy_raft_member_t *member;
	dy_address_t address;
	unsigned i;

	if (!control->options.dynamic_membership ||
	    !dy_raft_config_has(config, dy_raft_id(control->raft)))
		return;
	for (i = 0; i < config->members.members_len; i++) {
		member = &config->members.members_val[i];
		if (member->id.slot <= DY_RAFT_MEMBERS_MAX &&
		    !dy_address_parse(member->address, &address))
			control->options.peers.slots[member->id.slot] = address;
	}
}

int control_find_address(const dy_control_t *control, dy_voter_id_t id,
			 dy_address_t *address)
{
	memset(address, 0, sizeof(*address));
	if (!id.identity || id.slot > DY_RAFT_MEMBERS_MAX)
		return -1;
	if (!control->options.dynamic_membership)
		*address = control->options.peers.slots[id.slot];
	else if (dy_voter_id_equal(id, dy_raft_id(control->raft)))
		*address = control->options.listen;
	else
		(void)peer_addresses_find(&control->peer_addresses,
					  dy_raft_config(control->raft), id,
					  address);
	return address->port ? 0 : -1;
}

static int slot_is_member(const dy_control_t *control, uint32_t slot)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	unsigned i;

	for (i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].id.slot == slot)
			return 1;
	return 0;
}

void control_record_joiner(dy_control_t *control, const dy_hello_t *hello,
			   const dy_address_t *from)
{
	uint32_t slot = hello->id.slot;

	if (!control->options.dynamic_membership || !hello->empty || !slot ||
	    slot > DY_RAFT_MEMBERS_MAX || slot_is_member(control, slot))
		return;
	control->options.peers.slots[slot] = *from;
}

/*
 * Guards against several controls that request a slot at the same time, as when
 * all start: given the same slot, all but one would wait in it indefinitely.
 */
static int is_claimed(const dy_control_t *control, uint32_t slot,
		      const dy_address_t *address, uint64_t now_ms)
{
	const slot_grant_t *grant = &control->slot_grants[slot];

	if (grant->granted_ms &&
	    now_ms - grant->granted_ms <= SLOT_GRANT_TTL_MS)
		return !dy_address_equal(&grant->address, address);
	return bootstrap_is_slot_requested(&control->bootstrap, slot, now_ms) &&
	       !dy_address_equal(&control->options.peers.slots[slot], address);
}

/*
 * Returns the slot for a control at that address: the one it held before its
 * disk was lost, or the lowest one that no member holds and no other control
 * claims. Returns 0 if there is none.
 */
static uint32_t choose_slot(const dy_control_t *control,
			    const dy_address_t *address)
{
	const dy_peers_t *peers = &control->options.peers;
	uint64_t now = control_now_ms(control);
	uint32_t slot;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++)
		if (slot_is_member(control, slot) &&
		    dy_address_equal(&peers->slots[slot], address))
			return slot;
	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++)
		if (!slot_is_member(control, slot) &&
		    !is_claimed(control, slot, address, now))
			return slot;
	return 0;
}

static void list_members(const dy_control_t *control, dy_place_t *place,
			 dy_seat_t seats[DY_SEATS_MAX])
{
	const dy_peers_t *peers = &control->options.peers;
	uint32_t slot;

	place->seats.seats_val = seats;
	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		if (!slot_is_member(control, slot))
			continue;
		seats[place->seats.seats_len].slot = slot;
		seats[place->seats.seats_len].address = peers->slots[slot];
		place->seats.seats_len++;
	}
}

/*
 * Guards against a member that is told it was removed by a configuration that
 * is later rolled back, or by a leader that lacks the newest one, and then
 * gives up its disk: only a committed configuration counts, of a leader that
 * has committed an entry of its term.
 */
static void check_identity(const dy_control_t *control, const dy_find_t *find,
			   dy_place_t *place)
{
	if (dy_raft_config_has(dy_raft_config(control->raft), find->id))
		place->status = DY_PLACE_HELD;
	else if (dy_raft_config_is_committed(control->raft) &&
		 dy_raft_is_current(control->raft))
		place->status = DY_PLACE_LOST;
}

static void log_slot_refused(dy_control_t *control, const dy_address_t *from,
			     const char *reason)
{
	char text[DY_ADDRESS_TEXT_BYTES];

	if (dy_log_allow(&control->slot_limit, "slot_refused",
			 control_now_ms(control)))
		dy_log_event(DY_LOG_WARN, "slot_refused",
			     "address=%s reason=%s",
			     dy_address_format(from, text), reason);
}

/* Whether a listed control has answered that it has the group's state. */
static int is_founded(const dy_control_t *control)
{
	const bootstrap_peer_t *peer;
	uint32_t slot;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		peer = &control->bootstrap.peer_states[slot];
		if (peer->answered && !peer->empty)
			return 1;
	}
	return 0;
}

/*
 * A control of a group that is being founded died before it wrote down its
 * slot, and a restart is no first start: only the other founders know. It still
 * founds nothing unless all of them answer that they are empty.
 */
static void offer_listed_slot(const dy_control_t *control,
			      const dy_address_t *address, dy_place_t *place)
{
	const dy_peers_t *peers = &control->options.peers;
	uint32_t slot;

	if (!control->options.dynamic_membership ||
	    control->options.joins_running_group ||
	    !control_store_is_empty(control) || is_founded(control))
		return;
	for (slot = 1; slot <= MIN(peers->count, DY_SEATS_MAX); slot++) {
		place->seats.seats_val[slot - 1].slot = slot;
		place->seats.seats_val[slot - 1].address = peers->slots[slot];
		if (slot != control->options.slot &&
		    dy_address_equal(&peers->slots[slot], address))
			place->slot = slot;
	}
	if (!place->slot)
		return;
	place->status = DY_PLACE_LISTED;
	place->seats.seats_len = slot - 1;
}

static void fill_place(dy_control_t *control, const dy_find_t *find,
		       const dy_address_t *from, dy_place_t *place)
{
	control_leader_address(control, &place->leader);
	if (dy_raft_role(control->raft) != DY_RAFT_LEADER) {
		if (place->leader.port)
			place->status = DY_PLACE_ASK;
		else if (!find->id.identity)
			offer_listed_slot(control, from, place);
		return;
	}
	/*
	 * Also before the group serves: until it does, it needs the very
	 * control that asks.
	 */
	if (!dy_raft_has_quorum(control->raft)) {
		if (!find->id.identity)
			log_slot_refused(control, from, "no_quorum");
		return;
	}
	if (find->id.identity) {
		check_identity(control, find, place);
		return;
	}
	place->slot = choose_slot(control, from);
	if (!place->slot) {
		log_slot_refused(control, from, "no_free_slot");
		return;
	}
	place->status = DY_PLACE_GIVEN;
	control->slot_grants[place->slot].address = *from;
	control->slot_grants[place->slot].granted_ms = control_now_ms(control);
}

void control_receive_find(dy_control_t *control, const dy_sealed_t *message,
			  const struct sockaddr *from)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_PLACE };
	dy_seat_t seats[DY_SEATS_MAX];
	dy_place_t place = { 0 };
	dy_address_t address;
	dy_find_t find;
	size_t len;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_find_t, &find,
			    sizeof(find))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	if (find.group != control->options.group)
		return;
	dy_address_load(&address, from);
	place.group = find.group;
	place.echo = find.echo;
	list_members(control, &place, seats);
	fill_place(control, &find, &address, &place);
	len = dy_seal_write_call(control->seal, &head,
				 (xdrproc_t)xdr_dy_place_t, &place,
				 control->out, sizeof(control->out));
	if (len)
		dy_endpoint_send(control->endpoint, control->out, len, from);
}

/* Appends an address that is set, not listed and another's. Returns count. */
static unsigned add_address(const dy_control_t *control, dy_address_t *list,
			    unsigned count, const dy_address_t *address)
{
	unsigned i;

	if (!address->port ||
	    dy_address_equal(address, &control->options.listen))
		return count;
	for (i = 0; i < count; i++)
		if (dy_address_equal(&list[i], address))
			return count;
	list[count] = *address;
	return count + 1;
}

static unsigned add_members(const dy_control_t *control, dy_address_t *list,
			    unsigned count)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	dy_address_t address;
	unsigned i;

	for (i = 0; i < config->members.members_len; i++)
		if (!dy_address_parse(config->members.members_val[i].address,
				      &address))
			count = add_address(control, list, count, &address);
	return count;
}

/*
 * Lists the address of each slot, of each member and each seed once, but not
 * this control's own. An old address does no harm to a question.
 */
static unsigned list_addresses(const dy_control_t *control,
			       dy_address_t list[ADDRESSES_MAX])
{
	const dy_address_list_t *seeds = control->options.seeds;
	unsigned count = 0;
	uint32_t slot;
	int i;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++)
		if (slot != control->options.slot)
			count = add_address(
				control, list, count,
				&control->options.peers.slots[slot]);
	if (control->options.dynamic_membership)
		count = add_members(control, list, count);
	for (i = 0; seeds && i < seeds->count; i++)
		count = add_address(control, list, count, &seeds->items[i]);
	return count;
}

void control_each_address(dy_control_t *control, control_address_cb_t *each)
{
	dy_address_t list[ADDRESSES_MAX];
	unsigned count = list_addresses(control, list);
	unsigned i;

	for (i = 0; i < count; i++)
		each(control, &list[i]);
}

static void send_membership_query(dy_control_t *control, const dy_address_t *to)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_FIND };
	dy_find_t find = { 0 };
	size_t len;

	find.group = control->options.group;
	find.id = dy_store_id(control->store);
	find.echo = find.id.identity;
	len = dy_seal_write_call(control->seal, &head, (xdrproc_t)xdr_dy_find_t,
				 &find, control->out, sizeof(control->out));
	if (len)
		dy_endpoint_send_to(control->endpoint, control->out, len, to);
}

/* Two followers that name each other must not keep this control asking. */
static void ask_named_leader(dy_control_t *control, const dy_address_t *leader)
{
	uint64_t now = control_now_ms(control);

	if (!leader->port ||
	    now - control->leader_query_ms < MEMBERSHIP_QUERY_INTERVAL_MS)
		return;
	control->leader_query_ms = now;
	send_membership_query(control, leader);
}

/*
 * Guards against an answer that a leader of before gave, or that was late: it
 * counts only while this control knows no leader.
 */
static void use_place(dy_control_t *control, const dy_place_t *place)
{
	if (dy_raft_leader(control->raft).identity)
		return;
	if (place->status == DY_PLACE_ASK)
		ask_named_leader(control, &place->leader);
	if (place->status != DY_PLACE_LOST)
		return;
	dy_log_event(DY_LOG_WARN, "control_evicted", "slot=%u",
		     dy_store_id(control->store).slot);
	control_terminate(control, DY_CONTROL_EVICTED);
}

void control_receive_place(dy_control_t *control, const dy_sealed_t *message)
{
	dy_place_t place;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_place_t, &place,
			    sizeof(place))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	if (place.group == control->options.group &&
	    place.echo == dy_store_id(control->store).identity)
		use_place(control, &place);
	xdr_free((xdrproc_t)xdr_dy_place_t, (char *)&place);
}

/*
 * Guards against a member that was removed while it was partitioned: no control
 * sends to it any more, so it would wait for a leader indefinitely. The seeds
 * are asked too: all controls that it knows may have been replaced.
 */
void control_query_membership(dy_control_t *control)
{
	uint64_t now = control_now_ms(control);

	if (dy_raft_leader(control->raft).identity) {
		control->leader_seen_ms = now;
		return;
	}
	if (now - control->leader_seen_ms < LEADERLESS_TIMEOUT_MS ||
	    now - control->membership_query_ms < MEMBERSHIP_QUERY_INTERVAL_MS)
		return;
	control->membership_query_ms = now;
	control_each_address(control, send_membership_query);
}

/*
 * The time runs from the first request: opening the store may take seconds on a
 * busy disk.
 */
void control_check_join_timeout(dy_control_t *control)
{
	uint64_t now = control_now_ms(control);

	if (!control->join_requested_ms)
		control->join_requested_ms = now;
	if (!control->options.dynamic_membership ||
	    now - control->join_requested_ms < JOIN_TIMEOUT_MS)
		return;
	dy_log_event(DY_LOG_WARN, "control_join_timeout", "slot=%u",
		     control->options.slot);
	control_terminate(control, DY_CONTROL_JOIN_TIMED_OUT);
}
