#include "fake_site.h"

#include <string.h>

#include "damaskyard/invitations.h"
#include "damaskyard/poll_pace.h"
#include "damaskyard/poll_queue.h"

#define BALANCERS_PER_TEN 3
#define MEMBERS_PER_PAGE 64
#define PAGE_BYTES 4096

/*
 * Network latency in ms, and the size of the delivery wheel in slots of 1 ms.
 */
#define LATENCY_MS 2
#define WHEEL_SLOTS 64

/* Time budget for queued polls in one loop iteration of a control, in us. */
#define ITERATION_BUDGET_US 10000

typedef enum kind {
	KIND_POLL,	 /* member to control */
	KIND_PAGE,	 /* member to control: request for an image page */
	KIND_ANSWER,	 /* control to member */
	KIND_PAGE_REPLY, /* control to member: an image page */
	KIND_INVITE
} kind_t;

typedef struct datagram {
	kind_t kind;
	unsigned member;
	unsigned control;
	uint32_t xid;
	int status; /* of an answer: 0 served, else rejected */
	int leader; /* leader named by the answer; -1: none */
	uint64_t poll_ms;
} datagram_t;

typedef struct member {
	dy_poll_pace_t pace;
	uint32_t xid;
	unsigned control;
	unsigned image_control;
	int leader_named;
	int followed_redirect;
	unsigned pages_left; /* of the image, or of the leader's answers */
	int image_begun;
	uint64_t page_sent_ms;
	int confirmed;
	int served;
	uint64_t retry_at_ms; /* with fixed_retry */
} member_t;

typedef struct control {
	fake_site_t *site;
	unsigned slot;
	GQueue inbox; /* queue of datagram_t */
	dy_poll_queue_t *queue;
	dy_invitations_t *invitations;
	uint64_t busy_until_us;
	int is_leading;
	unsigned requests; /* in the current second */
} control_t;

struct fake_site {
	fake_site_options_t options;
	fake_group_t *group;
	uint64_t started_ms;
	member_t *members;
	uint8_t *joined; /* since this start, by the log */
	control_t controls[FAKE_GROUP_MAX];
	GQueue due[WHEEL_SLOTS];
	unsigned balancers;
	fake_site_result_t result;
	uint64_t first_won;
	uint64_t elections_before;
	uint64_t quorum_lost_before;
	uint64_t current_second;
};

typedef struct request {
	control_t *control;
	unsigned member;
	uint32_t xid;
} request_t;

static uint64_t now_ms(const fake_site_t *site)
{
	return site->group->now_ms;
}

static unsigned control_count(const fake_site_t *site)
{
	return MAX(site->options.controls, 1);
}

static int is_balancer(const fake_site_t *site, unsigned member)
{
	return member < site->balancers;
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

static void send_datagram(fake_site_t *site, const datagram_t *datagram)
{
	g_queue_push_tail(&site->due[(now_ms(site) + LATENCY_MS) % WHEEL_SLOTS],
			  g_memdup2(datagram, sizeof(*datagram)));
}

/* Members. */

static unsigned page_count(const fake_site_t *site)
{
	unsigned agents = site->options.members - site->balancers;

	if (site->options.no_images)
		return (agents + MEMBERS_PER_PAGE - 1) / MEMBERS_PER_PAGE;
	/* The request for the image costs as much as a page. */
	return 2 + agents * site->options.image_bytes / PAGE_BYTES;
}

static void start_member(fake_site_t *site, unsigned index)
{
	member_t *member = &site->members[index];
	uint32_t seed = g_rand_int(site->group->rand);

	dy_poll_pace_clear(&member->pace);
	memset(member, 0, sizeof(*member));
	dy_poll_pace_init(&member->pace, seed);
	member->control = seed % control_count(site);
	member->image_control = seed / 7 % control_count(site);
	member->xid = seed;
	member->pages_left = is_balancer(site, index) ? page_count(site) : 0;
	site->joined[index] = 0;
}

static void send_request(fake_site_t *site, unsigned index, kind_t kind,
			 unsigned control)
{
	datagram_t datagram = { kind, index, control, site->members[index].xid,
				0,    -1,    0 };

	send_datagram(site, &datagram);
}

static void poll_if_due(fake_site_t *site, unsigned index)
{
	member_t *member = &site->members[index];
	uint64_t now = now_ms(site);
	dy_poll_step_t step = dy_poll_pace_next(&member->pace, now);

	if (site->options.fixed_retry && step == DY_POLL_WAIT &&
	    member->pace.in_flight && !member->confirmed &&
	    now - member->pace.last_sent_ms >= DY_POLL_FIRST_TIMEOUT_MS)
		step = DY_POLL_SEND_NEW;
	if (step == DY_POLL_WAIT)
		return;
	if (member->pace.in_flight && !member->leader_named)
		member->control = (member->control + 1) % control_count(site);
	if (step == DY_POLL_SEND_NEW || site->options.fixed_retry)
		member->xid++;
	member->leader_named = 0;
	dy_poll_pace_note_sent(&member->pace, step, now);
	send_request(site, index, KIND_POLL, member->control);
}

static void request_page(fake_site_t *site, unsigned index)
{
	site->members[index].page_sent_ms = now_ms(site);
	send_request(site, index, KIND_PAGE,
		     site->members[index].image_control);
}

static void start_image(fake_site_t *site, unsigned index)
{
	member_t *member = &site->members[index];

	if (!member->pages_left || member->image_begun ||
	    site->options.no_images)
		return;
	member->image_begun = 1;
	request_page(site, index);
}

static void record_served(fake_site_t *site, unsigned index)
{
	uint64_t since = now_ms(site) - site->started_ms;
	fake_site_result_t *result = &site->result;

	if (site->members[index].served)
		return;
	site->members[index].served = 1;
	if (++result->served == site->options.members)
		result->members_100pct_ms = since;
	if (!is_balancer(site, index))
		return;
	result->balancers_served++;
	if (result->balancers_served == (site->balancers + 1) / 2)
		result->balancers_50pct_ms = since;
	if (result->balancers_served == (site->balancers * 9 + 9) / 10)
		result->balancers_90pct_ms = since;
}

static void handle_served(fake_site_t *site, unsigned index, uint64_t poll_ms)
{
	member_t *member = &site->members[index];

	member->followed_redirect = 0;
	member->confirmed = 1;
	dy_poll_pace_note_answer(&member->pace, poll_ms);
	if (!member->pages_left) {
		record_served(site, index);
		return;
	}
	start_image(site, index);
	if (!site->options.no_images)
		return;
	member->pages_left--;
	dy_poll_pace_poll_now(&member->pace, now_ms(site));
}

static void handle_redirect(fake_site_t *site, unsigned index, int leader)
{
	member_t *member = &site->members[index];

	dy_poll_pace_back_off(&member->pace, now_ms(site));
	if (leader < 0 || (unsigned)leader == member->control) {
		member->followed_redirect = 0;
		return;
	}
	member->control = (unsigned)leader;
	member->leader_named = 1;
	start_image(site, index);
	if (!member->followed_redirect)
		dy_poll_pace_poll_now(&member->pace, now_ms(site));
	member->followed_redirect = !member->followed_redirect;
}

static void receive_at_member(fake_site_t *site, const datagram_t *datagram)
{
	member_t *member = &site->members[datagram->member];

	if (datagram->kind == KIND_INVITE) {
		member->control = datagram->control;
		member->leader_named = 1;
		start_image(site, datagram->member);
		dy_poll_pace_poll_now(&member->pace, now_ms(site));
	} else if (datagram->kind == KIND_PAGE_REPLY) {
		if (!member->pages_left)
			return;
		if (--member->pages_left)
			request_page(site, datagram->member);
		else
			dy_poll_pace_note_change(&member->pace);
	} else if (!member->pace.in_flight || datagram->xid != member->xid) {
		return;
	} else if (datagram->status) {
		handle_redirect(site, datagram->member, datagram->leader);
	} else {
		handle_served(site, datagram->member, datagram->poll_ms);
	}
	poll_if_due(site, datagram->member);
}

static void tick_member(fake_site_t *site, unsigned index)
{
	member_t *member = &site->members[index];

	poll_if_due(site, index);
	if (!member->image_begun || !member->pages_left ||
	    now_ms(site) - member->page_sent_ms < 150)
		return;
	member->image_control =
		(member->image_control + 1) % control_count(site);
	request_page(site, index);
}

/* Controls. */

static dy_raft_t *raft_of(const control_t *control)
{
	return control->site->group->members[control->slot].raft;
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
				      control->site->options.members,
				      now_ms(control->site)) };

	send_datagram(control->site, &answer);
}

static void consume_cpu(control_t *control, unsigned us)
{
	uint64_t now_us = now_ms(control->site) * 1000;

	control->busy_until_us = MAX(control->busy_until_us, now_us) + us;
}

static void send_invitations(control_t *control)
{
	datagram_t invitation = { KIND_INVITE, 0, control->slot, 0, 0, -1, 0 };
	uint64_t member;

	if (!control->is_leading || control->site->options.no_invitations)
		return;
	while (dy_invitations_next(control->invitations, now_ms(control->site),
				   &member)) {
		invitation.member = (unsigned)member;
		consume_cpu(control, control->site->options.datagram_us);
		send_datagram(control->site, &invitation);
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
		send_invitations(control);
	}
	g_free(request);
}

static void on_read(void *context, dy_raft_result_t result, uint64_t index)
{
	(void)index;
	end_request(context, result != DY_RAFT_DONE);
}

static void on_join_committed(void *context, dy_raft_result_t result,
			      uint64_t index)
{
	request_t *request = context;

	(void)index;
	if (result == DY_RAFT_DONE)
		request->control->site->joined[request->member] = 1;
	end_request(request, result != DY_RAFT_DONE);
}

/* A member that has not joined costs a log entry, any other member a read. */
static void start_poll(control_t *control, unsigned member, uint32_t xid)
{
	fake_site_t *site = control->site;
	request_t *request = g_new0(request_t, 1);
	uint64_t entry[16] = { 0 };
	dy_raft_result_t result;

	consume_cpu(control, site->options.poll_us);
	request->control = control;
	request->member = member;
	request->xid = xid;
	if (site->joined[member]) {
		result = dy_raft_read(raft_of(control), on_read, request);
	} else {
		entry[0] = ++site->group->next_command;
		result = dy_raft_propose(raft_of(control), entry, sizeof(entry),
					 on_join_committed, request);
	}
	if (result != DY_RAFT_DONE)
		end_request(request, 1);
}

static void receive_at_control(control_t *control, const datagram_t *datagram)
{
	fake_site_t *site = control->site;
	dy_address_t from = address_of(datagram->member);
	datagram_t page = *datagram;

	control->requests++;
	if (datagram->kind == KIND_PAGE) {
		consume_cpu(control, site->options.page_us);
		page.kind = KIND_PAGE_REPLY;
		if (dy_raft_is_current(raft_of(control)))
			send_datagram(site, &page);
	} else if (site->options.no_queue) {
		start_poll(control, datagram->member, datagram->xid);
	} else {
		consume_cpu(control, site->options.datagram_us);
		dy_poll_queue_enqueue(control->queue, &from, datagram->xid,
				      is_balancer(site, datagram->member),
				      (const uint8_t *)"", 1, now_ms(site));
	}
}

static void process_queue(control_t *control)
{
	uint64_t end_us = control->busy_until_us + ITERATION_BUDGET_US;
	dy_queued_poll_t poll;

	while (control->busy_until_us < end_us &&
	       dy_poll_queue_dequeue(control->queue, now_ms(control->site),
				     &poll)) {
		g_free(poll.bytes);
		start_poll(control, member_at(&poll.from), poll.xid);
	}
}

static void update_leadership(control_t *control)
{
	int leads = dy_raft_role(raft_of(control)) == DY_RAFT_LEADER &&
		    dy_raft_is_current(raft_of(control));
	unsigned i;

	if (leads == control->is_leading)
		return;
	control->is_leading = leads;
	dy_invitations_clear(control->invitations);
	if (!leads)
		return;
	for (i = 0; i < control->site->options.members; i++)
		dy_invitations_add(control->invitations, i,
				   is_balancer(control->site, i));
}

/*
 * One loop iteration of a control: drains its socket, then processes queued
 * polls within the time budget.
 */
static void run_control(control_t *control)
{
	fake_member_t *member = &control->site->group->members[control->slot];
	uint64_t now_us = now_ms(control->site) * 1000;
	datagram_t *datagram;

	member->paused = control->busy_until_us > now_us;
	if (member->paused || !member->raft)
		return;
	control->busy_until_us = now_us;
	update_leadership(control);
	send_invitations(control);
	while ((datagram = g_queue_pop_head(&control->inbox))) {
		receive_at_control(control, datagram);
		g_free(datagram);
	}
	process_queue(control);
}

/* The simulation. */

static void count_second(fake_site_t *site)
{
	uint64_t second = (now_ms(site) - site->started_ms) / 1000;
	unsigned i;

	if (second == site->current_second)
		return;
	for (i = 0; i < site->options.controls; i++) {
		if (site->current_second)
			site->result.max_requests_per_s =
				MAX(site->result.max_requests_per_s,
				    site->controls[i].requests);
		site->controls[i].requests = 0;
	}
	site->current_second = second;
}

static void deliver_due(fake_site_t *site)
{
	GQueue *due = &site->due[now_ms(site) % WHEEL_SLOTS];
	datagram_t *datagram;

	while ((datagram = g_queue_pop_head(due))) {
		if (datagram->kind <= KIND_PAGE) {
			g_queue_push_tail(
				&site->controls[datagram->control].inbox,
				datagram);
			continue;
		}
		receive_at_member(site, datagram);
		g_free(datagram);
	}
}

static void step(fake_site_t *site)
{
	unsigned i;

	fake_group_step(site->group, 1);
	count_second(site);
	deliver_due(site);
	for (i = 0; i < site->options.controls; i++)
		run_control(&site->controls[i]);
	for (i = 0; i < site->options.members; i++)
		tick_member(site, i);
	if (!site->result.leader_ms && fake_group_leader(site->group)) {
		site->result.leader_ms = now_ms(site) - site->started_ms;
		site->elections_before =
			fake_group_counter(site->group, "raft_elections");
		site->quorum_lost_before =
			fake_group_counter(site->group, "raft_quorum_lost");
	}
}

fake_site_t *fake_site_create(const fake_site_options_t *options)
{
	fake_site_t *site = g_new0(fake_site_t, 1);
	control_t *control;
	unsigned i;

	site->options = *options;
	site->balancers = options->members * BALANCERS_PER_TEN / 10;
	site->members = g_new0(member_t, options->members);
	site->joined = g_malloc0(options->members);
	site->group =
		fake_group_create_formed(options->seed, options->controls);
	site->group->first_election_ms = 75;
	for (i = 0; i < WHEEL_SLOTS; i++)
		g_queue_init(&site->due[i]);
	for (i = 0; i < options->controls; i++) {
		control = &site->controls[i];
		control->site = site;
		control->slot = i;
		g_queue_init(&control->inbox);
		control->queue = dy_poll_queue_create();
		control->invitations = dy_invitations_create();
		fake_group_crash(&site->group->members[i], 0);
		fake_group_start(&site->group->members[i]);
	}
	fake_site_start_measurement(site);
	fake_site_restart(site, 100);
	return site;
}

void fake_site_destroy(fake_site_t *site)
{
	unsigned i;

	/* Ends the requests that wait for the log. */
	fake_group_destroy(site->group);
	for (i = 0; i < site->options.controls; i++) {
		g_queue_clear_full(&site->controls[i].inbox, g_free);
		dy_poll_queue_destroy(site->controls[i].queue);
		dy_invitations_destroy(site->controls[i].invitations);
	}
	for (i = 0; i < WHEEL_SLOTS; i++)
		g_queue_clear_full(&site->due[i], g_free);
	for (i = 0; i < site->options.members; i++)
		dy_poll_pace_clear(&site->members[i].pace);
	g_free(site->members);
	g_free(site->joined);
	g_free(site);
}

void fake_site_run(fake_site_t *site, uint32_t ms)
{
	uint64_t end = now_ms(site) + ms;

	while (now_ms(site) < end)
		step(site);
}

static void send_flood_poll(fake_site_t *site)
{
	const fake_member_t *leader = fake_group_leader(site->group);
	datagram_t poll = { KIND_POLL, 0, 0, 0, 0, -1, 0 };

	if (!leader)
		return;
	poll.control = leader->slot;
	poll.member = g_rand_int(site->group->rand) % site->options.members;
	poll.xid = g_rand_int(site->group->rand);
	send_datagram(site, &poll);
}

void fake_site_flood(fake_site_t *site, uint32_t ms, unsigned polls_per_second)
{
	uint64_t end = now_ms(site) + ms;
	uint64_t due = 0;

	while (now_ms(site) < end) {
		for (due += polls_per_second; due >= 1000; due -= 1000)
			send_flood_poll(site);
		step(site);
	}
}

void fake_site_restart(fake_site_t *site, unsigned percent)
{
	unsigned i;

	for (i = 0; i < site->options.members; i++)
		if (i % 100 < percent)
			start_member(site, i);
}

void fake_site_start_measurement(fake_site_t *site)
{
	unsigned i;

	memset(&site->result, 0, sizeof(site->result));
	site->started_ms = now_ms(site);
	site->current_second = 0;
	for (i = 0; i < site->options.members; i++)
		site->members[i].served = 0;
}

fake_site_result_t fake_site_result(const fake_site_t *site)
{
	fake_site_result_t result = site->result;

	result.balancers = site->balancers;
	result.elections = fake_group_counter(site->group, "raft_elections") -
			   site->elections_before;
	result.quorum_lost =
		fake_group_counter(site->group, "raft_quorum_lost") -
		site->quorum_lost_before;
	return result;
}

fake_group_t *fake_site_group(fake_site_t *site)
{
	return site->group;
}
