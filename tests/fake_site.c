#include "fake_site.h"

#include <string.h>

#include "damaskyard/invitations.h"
#include "damaskyard/poll_pace.h"
#include "damaskyard/poll_queue.h"

#define BALANCERS_IN_TEN 3
#define PAGE_MEMBERS 64
#define PAGE_BYTES 4096

/* A datagram's way, in ms, and how far ahead one may be due. */
#define WAY_MS 2
#define SLOTS 64

/* Polls begun in one turn of a control's loop, in us. */
#define TURN_US 10000

typedef enum kind {
	KIND_POLL,   /* member to control */
	KIND_PAGE,   /* the same: a page of the image */
	KIND_ANSWER, /* control to member */
	KIND_GIVEN,  /* the same: a page of the image */
	KIND_INVITE
} kind_t;

typedef struct datagram {
	kind_t kind;
	unsigned member;
	unsigned control;
	uint32_t xid;
	int status; /* of an answer: 0 served, else turned away */
	int leader; /* named by it; -1: none */
	uint64_t poll_ms;
} datagram_t;

typedef struct member {
	dy_poll_pace_t pace;
	uint32_t xid;
	unsigned control;
	unsigned image_control;
	int named;
	int followed;
	unsigned pages_left; /* of the image, or of the leader's pages */
	int image_begun;
	uint64_t page_sent_ms;
	int confirmed;
	int served;
	uint64_t retry_at_ms; /* with fixed_retry */
} member_t;

typedef struct control {
	fake_site_t *herd;
	unsigned slot;
	GQueue inbox; /* datagram_t */
	dy_poll_queue_t *queue;
	dy_invitations_t *invitations;
	uint64_t busy_us; /* works until then */
	int led;
	unsigned asked; /* in this second */
} control_t;

struct fake_site {
	fake_site_options_t options;
	fake_group_t *group;
	uint64_t started_ms;
	member_t *members;
	uint8_t *joined; /* in this start, as the log says */
	control_t controls[FAKE_GROUP_MAX];
	GQueue due[SLOTS];
	unsigned balancers;
	fake_site_result_t result;
	uint64_t first_won;
	uint64_t elections_before;
	uint64_t lost_before;
	uint64_t second; /* the last one that was counted */
};

typedef struct request {
	control_t *control;
	unsigned member;
	uint32_t xid;
} request_t;

static uint64_t now_ms(const fake_site_t *herd)
{
	return herd->group->now_ms;
}

static unsigned control_count(const fake_site_t *herd)
{
	return MAX(herd->options.controls, 1);
}

static int is_balancer(const fake_site_t *herd, unsigned member)
{
	return member < herd->balancers;
}

static dy_address_t address_of(unsigned member)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, 0x0a000000u + member, 7000);
	return address;
}

static unsigned member_at(const dy_address_t *address)
{
	const uint8_t *ip = (const uint8_t *)address->ip;

	return (unsigned)ip[13] << 16 | (unsigned)ip[14] << 8 | ip[15];
}

static void send_later(fake_site_t *herd, const datagram_t *datagram)
{
	g_queue_push_tail(&herd->due[(now_ms(herd) + WAY_MS) % SLOTS],
			  g_memdup2(datagram, sizeof(*datagram)));
}

/* Members. */

static unsigned page_count(const fake_site_t *herd)
{
	unsigned agents = herd->options.members - herd->balancers;

	if (herd->options.no_images)
		return (agents + PAGE_MEMBERS - 1) / PAGE_MEMBERS;
	/* The question for the image is as dear as a page. */
	return 2 + agents * herd->options.image_bytes / PAGE_BYTES;
}

static void start_member(fake_site_t *herd, unsigned index)
{
	member_t *member = &herd->members[index];
	uint32_t seed = g_rand_int(herd->group->rand);

	dy_poll_pace_clear(&member->pace);
	memset(member, 0, sizeof(*member));
	dy_poll_pace_init(&member->pace, seed);
	member->control = seed % control_count(herd);
	member->image_control = seed / 7 % control_count(herd);
	member->xid = seed;
	member->pages_left = is_balancer(herd, index) ? page_count(herd) : 0;
	herd->joined[index] = 0;
}

static void send_question(fake_site_t *herd, unsigned index, kind_t kind,
			  unsigned control)
{
	datagram_t datagram = { kind, index, control, herd->members[index].xid,
				0,    -1,    0 };

	send_later(herd, &datagram);
}

static void poll_if_due(fake_site_t *herd, unsigned index)
{
	member_t *member = &herd->members[index];
	uint64_t now = now_ms(herd);
	dy_poll_step_t step = dy_poll_pace_next(&member->pace, now);

	if (herd->options.fixed_retry && step == DY_POLL_WAIT &&
	    member->pace.in_flight && !member->confirmed &&
	    now - member->pace.last_sent_ms >= DY_POLL_FIRST_TIMEOUT_MS)
		step = DY_POLL_SEND_NEW;
	if (step == DY_POLL_WAIT)
		return;
	if (member->pace.in_flight && !member->named)
		member->control = (member->control + 1) % control_count(herd);
	if (step == DY_POLL_SEND_NEW || herd->options.fixed_retry)
		member->xid++;
	member->named = 0;
	dy_poll_pace_note_sent(&member->pace, step, now);
	send_question(herd, index, KIND_POLL, member->control);
}

static void ask_page(fake_site_t *herd, unsigned index)
{
	herd->members[index].page_sent_ms = now_ms(herd);
	send_question(herd, index, KIND_PAGE,
		      herd->members[index].image_control);
}

static void begin_image(fake_site_t *herd, unsigned index)
{
	member_t *member = &herd->members[index];

	if (!member->pages_left || member->image_begun ||
	    herd->options.no_images)
		return;
	member->image_begun = 1;
	ask_page(herd, index);
}

static void note_served(fake_site_t *herd, unsigned index)
{
	uint64_t since = now_ms(herd) - herd->started_ms;
	fake_site_result_t *result = &herd->result;

	if (herd->members[index].served)
		return;
	herd->members[index].served = 1;
	if (++result->served == herd->options.members)
		result->members_100pct_ms = since;
	if (!is_balancer(herd, index))
		return;
	result->balancers_served++;
	if (result->balancers_served == (herd->balancers + 1) / 2)
		result->balancers_50pct_ms = since;
	if (result->balancers_served == (herd->balancers * 9 + 9) / 10)
		result->balancers_90pct_ms = since;
}

static void take_served(fake_site_t *herd, unsigned index, uint64_t poll_ms)
{
	member_t *member = &herd->members[index];

	member->followed = 0;
	member->confirmed = 1;
	dy_poll_pace_note_answer(&member->pace, poll_ms);
	if (!member->pages_left) {
		note_served(herd, index);
		return;
	}
	begin_image(herd, index);
	if (!herd->options.no_images)
		return;
	member->pages_left--;
	dy_poll_pace_poll_now(&member->pace, now_ms(herd));
}

static void take_turned_away(fake_site_t *herd, unsigned index, int leader)
{
	member_t *member = &herd->members[index];

	dy_poll_pace_back_off(&member->pace, now_ms(herd));
	if (leader < 0 || (unsigned)leader == member->control) {
		member->followed = 0;
		return;
	}
	member->control = (unsigned)leader;
	member->named = 1;
	begin_image(herd, index);
	if (!member->followed)
		dy_poll_pace_poll_now(&member->pace, now_ms(herd));
	member->followed = !member->followed;
}

static void member_takes(fake_site_t *herd, const datagram_t *datagram)
{
	member_t *member = &herd->members[datagram->member];

	if (datagram->kind == KIND_INVITE) {
		member->control = datagram->control;
		member->named = 1;
		begin_image(herd, datagram->member);
		dy_poll_pace_poll_now(&member->pace, now_ms(herd));
	} else if (datagram->kind == KIND_GIVEN) {
		if (!member->pages_left)
			return;
		if (--member->pages_left)
			ask_page(herd, datagram->member);
		else
			dy_poll_pace_note_change(&member->pace);
	} else if (!member->pace.in_flight || datagram->xid != member->xid) {
		return;
	} else if (datagram->status) {
		take_turned_away(herd, datagram->member, datagram->leader);
	} else {
		take_served(herd, datagram->member, datagram->poll_ms);
	}
	poll_if_due(herd, datagram->member);
}

static void tick_member(fake_site_t *herd, unsigned index)
{
	member_t *member = &herd->members[index];

	poll_if_due(herd, index);
	if (!member->image_begun || !member->pages_left ||
	    now_ms(herd) - member->page_sent_ms < 150)
		return;
	member->image_control =
		(member->image_control + 1) % control_count(herd);
	ask_page(herd, index);
}

/* Controls. */

static dy_raft_t *raft_of(const control_t *control)
{
	return control->herd->group->members[control->slot].raft;
}

static int leader_known(const control_t *control)
{
	dy_voter_id_t id = dy_raft_leader(raft_of(control));

	return id.identity ? (int)id.slot : -1;
}

static void send_answer(control_t *control, unsigned member, uint32_t xid,
			int status)
{
	datagram_t answer = { KIND_ANSWER,
			      member,
			      control->slot,
			      xid,
			      status,
			      leader_known(control),
			      dy_poll_queue_interval_ms(
				      control->queue,
				      control->herd->options.members,
				      now_ms(control->herd)) };

	send_later(control->herd, &answer);
}

static void work(control_t *control, unsigned us)
{
	uint64_t now_us = now_ms(control->herd) * 1000;

	control->busy_us = MAX(control->busy_us, now_us) + us;
}

static void invite_some(control_t *control)
{
	datagram_t invitation = { KIND_INVITE, 0, control->slot, 0, 0, -1, 0 };
	uint64_t member;

	if (!control->led || control->herd->options.no_invitations)
		return;
	while (dy_invitations_next(control->invitations, now_ms(control->herd),
				   &member)) {
		invitation.member = (unsigned)member;
		work(control, control->herd->options.datagram_us);
		send_later(control->herd, &invitation);
	}
}

static void end_request(request_t *request, int status)
{
	control_t *control = request->control;
	dy_address_t from = address_of(request->member);

	send_answer(control, request->member, request->xid, status);
	dy_poll_queue_complete(control->queue, &from, request->xid);
	if (!status) {
		dy_invitations_remove(control->invitations, request->member);
		invite_some(control);
	}
	g_free(request);
}

static void on_read(void *context, dy_raft_result_t result, uint64_t index)
{
	(void)index;
	end_request(context, result != DY_RAFT_DONE);
}

static void on_joined(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;

	(void)index;
	if (result == DY_RAFT_DONE)
		request->control->herd->joined[request->member] = 1;
	end_request(request, result != DY_RAFT_DONE);
}

/* A member that has not joined costs an entry of the log, another a read. */
static void begin_poll(control_t *control, unsigned member, uint32_t xid)
{
	fake_site_t *herd = control->herd;
	request_t *request = g_new0(request_t, 1);
	uint64_t entry[16] = { 0 };
	dy_raft_result_t result;

	work(control, herd->options.poll_us);
	request->control = control;
	request->member = member;
	request->xid = xid;
	if (herd->joined[member]) {
		result = dy_raft_read(raft_of(control), on_read, request);
	} else {
		entry[0] = ++herd->group->next_command;
		result = dy_raft_propose(raft_of(control), entry, sizeof(entry),
					 on_joined, request);
	}
	if (result != DY_RAFT_DONE)
		end_request(request, 1);
}

static void take_datagram(control_t *control, const datagram_t *datagram)
{
	fake_site_t *herd = control->herd;
	dy_address_t from = address_of(datagram->member);
	datagram_t page = *datagram;

	control->asked++;
	if (datagram->kind == KIND_PAGE) {
		work(control, herd->options.page_us);
		page.kind = KIND_GIVEN;
		if (dy_raft_is_current(raft_of(control)))
			send_later(herd, &page);
	} else if (herd->options.no_queue) {
		begin_poll(control, datagram->member, datagram->xid);
	} else {
		work(control, herd->options.datagram_us);
		dy_poll_queue_enqueue(control->queue, &from, datagram->xid,
				      is_balancer(herd, datagram->member),
				      (const uint8_t *)"", 1, now_ms(herd));
	}
}

static void begin_some(control_t *control)
{
	uint64_t end_us = control->busy_us + TURN_US;
	dy_queued_poll_t poll;

	while (control->busy_us < end_us &&
	       dy_poll_queue_dequeue(control->queue, now_ms(control->herd),
				     &poll)) {
		g_free(poll.bytes);
		begin_poll(control, member_at(&poll.from), poll.xid);
	}
}

static void check_lead(control_t *control)
{
	int leads = dy_raft_role(raft_of(control)) == DY_RAFT_LEADER &&
		    dy_raft_is_current(raft_of(control));
	unsigned i;

	if (leads == control->led)
		return;
	control->led = leads;
	dy_invitations_clear(control->invitations);
	if (!leads)
		return;
	for (i = 0; i < control->herd->options.members; i++)
		dy_invitations_add(control->invitations, i,
				   is_balancer(control->herd, i));
}

/* One turn of a control's loop: its socket, then as much as a turn allows. */
static void run_control(control_t *control)
{
	fake_member_t *member = &control->herd->group->members[control->slot];
	uint64_t now_us = now_ms(control->herd) * 1000;
	datagram_t *datagram;

	member->paused = control->busy_us > now_us;
	if (member->paused || !member->raft)
		return;
	control->busy_us = now_us;
	check_lead(control);
	invite_some(control);
	while ((datagram = g_queue_pop_head(&control->inbox))) {
		take_datagram(control, datagram);
		g_free(datagram);
	}
	begin_some(control);
}

/* The run. */

static void note_second(fake_site_t *herd)
{
	uint64_t second = (now_ms(herd) - herd->started_ms) / 1000;
	unsigned i;

	if (second == herd->second)
		return;
	for (i = 0; i < herd->options.controls; i++) {
		if (herd->second)
			herd->result.max_requests_per_s =
				MAX(herd->result.max_requests_per_s,
				    herd->controls[i].asked);
		herd->controls[i].asked = 0;
	}
	herd->second = second;
}

static void deliver_due(fake_site_t *herd)
{
	GQueue *due = &herd->due[now_ms(herd) % SLOTS];
	datagram_t *datagram;

	while ((datagram = g_queue_pop_head(due))) {
		if (datagram->kind <= KIND_PAGE) {
			g_queue_push_tail(
				&herd->controls[datagram->control].inbox,
				datagram);
			continue;
		}
		member_takes(herd, datagram);
		g_free(datagram);
	}
}

static void step(fake_site_t *herd)
{
	unsigned i;

	fake_group_step(herd->group, 1);
	note_second(herd);
	deliver_due(herd);
	for (i = 0; i < herd->options.controls; i++)
		run_control(&herd->controls[i]);
	for (i = 0; i < herd->options.members; i++)
		tick_member(herd, i);
	if (!herd->result.leader_ms && fake_group_leader(herd->group)) {
		herd->result.leader_ms = now_ms(herd) - herd->started_ms;
		herd->elections_before =
			fake_group_counter(herd->group, "raft_elections");
		herd->lost_before =
			fake_group_counter(herd->group, "raft_quorum_lost");
	}
}

fake_site_t *fake_site_create(const fake_site_options_t *options)
{
	fake_site_t *herd = g_new0(fake_site_t, 1);
	control_t *control;
	unsigned i;

	herd->options = *options;
	herd->balancers = options->members * BALANCERS_IN_TEN / 10;
	herd->members = g_new0(member_t, options->members);
	herd->joined = g_malloc0(options->members);
	herd->group =
		fake_group_create_formed(options->seed, options->controls);
	herd->group->first_election_ms = 75;
	for (i = 0; i < SLOTS; i++)
		g_queue_init(&herd->due[i]);
	for (i = 0; i < options->controls; i++) {
		control = &herd->controls[i];
		control->herd = herd;
		control->slot = i;
		g_queue_init(&control->inbox);
		control->queue = dy_poll_queue_create();
		control->invitations = dy_invitations_create();
		fake_group_crash(&herd->group->members[i], 0);
		fake_group_start(&herd->group->members[i]);
	}
	fake_site_start_measurement(herd);
	fake_site_restart(herd, 100);
	return herd;
}

void fake_site_destroy(fake_site_t *herd)
{
	unsigned i;

	/* Ends the requests that wait for the log. */
	fake_group_destroy(herd->group);
	for (i = 0; i < herd->options.controls; i++) {
		g_queue_clear_full(&herd->controls[i].inbox, g_free);
		dy_poll_queue_destroy(herd->controls[i].queue);
		dy_invitations_destroy(herd->controls[i].invitations);
	}
	for (i = 0; i < SLOTS; i++)
		g_queue_clear_full(&herd->due[i], g_free);
	for (i = 0; i < herd->options.members; i++)
		dy_poll_pace_clear(&herd->members[i].pace);
	g_free(herd->members);
	g_free(herd->joined);
	g_free(herd);
}

void fake_site_run(fake_site_t *herd, uint32_t ms)
{
	uint64_t end = now_ms(herd) + ms;

	while (now_ms(herd) < end)
		step(herd);
}

static void flood_one(fake_site_t *herd)
{
	const fake_member_t *leader = fake_group_leader(herd->group);
	datagram_t poll = { KIND_POLL, 0, 0, 0, 0, -1, 0 };

	if (!leader)
		return;
	poll.control = leader->slot;
	poll.member = g_rand_int(herd->group->rand) % herd->options.members;
	poll.xid = g_rand_int(herd->group->rand);
	send_later(herd, &poll);
}

void fake_site_flood(fake_site_t *herd, uint32_t ms, unsigned polls_a_second)
{
	uint64_t end = now_ms(herd) + ms;
	uint64_t due = 0;

	while (now_ms(herd) < end) {
		for (due += polls_a_second; due >= 1000; due -= 1000)
			flood_one(herd);
		step(herd);
	}
}

void fake_site_restart(fake_site_t *herd, unsigned percent)
{
	unsigned i;

	for (i = 0; i < herd->options.members; i++)
		if (i % 100 < percent)
			start_member(herd, i);
}

void fake_site_start_measurement(fake_site_t *herd)
{
	unsigned i;

	memset(&herd->result, 0, sizeof(herd->result));
	herd->started_ms = now_ms(herd);
	herd->second = 0;
	for (i = 0; i < herd->options.members; i++)
		herd->members[i].served = 0;
}

fake_site_result_t fake_site_result(const fake_site_t *herd)
{
	fake_site_result_t result = herd->result;

	result.balancers = herd->balancers;
	result.elections = fake_group_counter(herd->group, "raft_elections") -
			   herd->elections_before;
	result.quorum_lost =
		fake_group_counter(herd->group, "raft_quorum_lost") -
		herd->lost_before;
	return result;
}

fake_group_t *fake_site_group(fake_site_t *herd)
{
	return herd->group;
}
