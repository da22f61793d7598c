#include "damaskyard/flow_holder.h"

#include <string.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/opening_queue.h"
#include "fake_suite.h"

#define SERVICE "readings"
#define SELF 1
#define SLOTS 4
/* Requests that a target with so many slots is given at once. */
#define ROOM ((DY_OVERLOAD_PERCENT * SLOTS + 99) / 100)

static struct {
	dy_flow_holder_t *holder;
	dy_metrics_t *metrics;
	unsigned given; /* packets to the target */
	uint32_t note;
	unsigned answers; /* packets to callers */
	unsigned passed;
	dy_flow_forward_t forward; /* the last that was passed on */
	unsigned helds;
	dy_flow_held_t held;
	unsigned nowheres;
	dy_flow_nowhere_t nowhere;
	unsigned reports;
	dy_flow_report_t report;
	unsigned changes;
	unsigned checks; /* of the target's port */
	uint64_t now_ms;
	uint8_t bytes[34];
} world;

static void to_target(void *context, uint8_t *bytes, size_t len, uint32_t note)
{
	(void)context;
	(void)bytes;
	(void)len;
	world.given++;
	world.note = note;
}

static void to_caller(void *context, const dy_flow_id_t *flow,
		      const uint8_t *bytes, size_t len)
{
	(void)context;
	(void)flow;
	(void)bytes;
	(void)len;
	world.answers++;
}

static void pass_on(void *context, dy_flow_forward_t *forward)
{
	(void)context;
	world.passed++;
	world.forward = *forward;
}

static void held(void *context, const dy_address_t *balancer,
		 dy_flow_held_t *message)
{
	(void)context;
	(void)balancer;
	world.helds++;
	world.held = *message;
}

static void nowhere(void *context, const dy_address_t *balancer,
		    dy_flow_nowhere_t *message)
{
	(void)context;
	(void)balancer;
	world.nowheres++;
	world.nowhere = *message;
}

static void report(void *context, const dy_address_t *balancer,
		   dy_flow_report_t *message)
{
	(void)context;
	(void)balancer;
	world.reports++;
	world.report = *message;
}

static void changed(void *context)
{
	(void)context;
	world.changes++;
}

static void check_target(void *context)
{
	(void)context;
	world.checks++;
}

static const dy_flow_holder_callbacks_t callbacks = {
	to_target, to_caller, pass_on, held,
	nowhere,   report,    changed, check_target,
};

static dy_address_t address(unsigned number, uint16_t port)
{
	dy_address_t made;

	dy_address_set_ipv4(&made, 0x0a000000u + number, port);
	return made;
}

static dy_target_notice_t notice(uint64_t sequence, dy_target_state_t state)
{
	dy_target_notice_t made = { 0 };

	g_strlcpy(made.id, "t1", sizeof(made.id));
	g_strlcpy(made.service, SERVICE, sizeof(made.service));
	made.address = address(SELF, 8080);
	made.slots = SLOTS;
	made.sequence = sequence;
	made.born_ms = 5000;
	made.state = state;
	return made;
}

static int announce(uint64_t sequence, dy_target_state_t state)
{
	dy_target_notice_t made = notice(sequence, state);

	return dy_flow_holder_notice(world.holder, &made, world.now_ms);
}

static void create(void)
{
	dy_flow_holder_config_t config = { 0 };

	memset(&world, 0, sizeof(world));
	world.now_ms = 100000;
	world.metrics = dy_metrics_create();
	config.self = address(SELF, 7002);
	config.service = SERVICE;
	config.target = address(SELF, 8080);
	config.metrics = world.metrics;
	config.callbacks = &callbacks;
	world.holder = dy_flow_holder_create(&config);
}

/* An agent that was there from its target's start. */
static void begin(void)
{
	create();
	ck_assert(announce(1, DY_TARGET_READY));
}

static void end(void)
{
	dy_flow_holder_destroy(world.holder);
	dy_metrics_destroy(world.metrics);
}

static dy_packet_t packet(unsigned flow, unsigned marks, uint32_t seq,
			  uint32_t ack, uint16_t data)
{
	dy_packet_t made = { 0 };

	made.flow.caller_ip = 0x64400001u;
	made.flow.caller_port = 1024 + flow;
	made.flow.entry_ip = 0xc6120001u;
	made.flow.entry_port = 443;
	made.marks = marks;
	made.seq = seq;
	made.ack = ack;
	made.copy = marks & DY_PACKET_SYN ? ack : 0;
	made.data_bytes = data;
	return made;
}

/* A balancer's forward to this agent, then to one more. */
static void forward_for(const char *service, const dy_packet_t *made,
			unsigned tries)
{
	static dy_address_t list[2];
	dy_flow_forward_t forward = { 0 };

	list[0] = address(SELF, 7002);
	list[1] = address(2, 7002);
	forward.service = (char *)service;
	forward.balancer = address(100, 7001);
	forward.tell = 1;
	forward.certain = 1;
	forward.complete = 1;
	forward.window = 1;
	forward.tries.tries_val = list;
	forward.tries.tries_len = tries;
	forward.packet.packet_val = (char *)world.bytes;
	forward.packet.packet_len = sizeof(world.bytes);
	dy_flow_holder_take(world.holder, &forward, made, world.now_ms);
}

static void from_caller(unsigned flow, unsigned marks, uint32_t ack,
			uint16_t data)
{
	dy_packet_t made = packet(flow, marks, 1, ack, data);

	forward_for(SERVICE, &made, 2);
}

static void from_target(unsigned flow, unsigned marks, uint32_t seq,
			uint16_t data)
{
	dy_packet_t made = packet(flow, marks, seq, 2, data);

	dy_flow_holder_from_target(world.holder, &made, world.bytes,
				   sizeof(world.bytes), world.now_ms);
}

static void give_back(unsigned flow, unsigned marks, uint32_t note)
{
	dy_packet_t made = packet(flow, marks | DY_PACKET_BOUNCED, 1, 2, 0);

	made.note = note;
	dy_flow_holder_from_target(world.holder, &made, world.bytes,
				   sizeof(world.bytes), world.now_ms);
}

static void open_flow(unsigned flow)
{
	from_caller(flow, DY_PACKET_SYN, 0, 0);
	from_target(flow, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	from_caller(flow, DY_PACKET_ACK, 501, 0);
}

START_TEST(flow_is_opened_and_its_balancer_told)
{
	begin();
	from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(world.given, 1);
	ck_assert_uint_eq(world.helds, 0);
	from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(world.answers, 1);
	ck_assert_uint_eq(world.helds, 1);
	ck_assert(!world.held.open);
	from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(world.given, 2);
	ck_assert_uint_eq(world.helds, 2);
	ck_assert(world.held.open);
	ck_assert_uint_eq(world.held.load.flows, 1);
	end();
}
END_TEST

/*
 * A target says that it drains, and is told that this is known. A balancer
 * that has not heard of it sends one more opening packet: what is acknowledged
 * must be in force in the same step.
 */
START_TEST(draining_is_in_force_once_acknowledged)
{
	begin();
	open_flow(1);
	ck_assert(announce(2, DY_TARGET_DRAINING));
	ck_assert(!dy_flow_holder_accepts(world.holder));
	from_caller(2, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert_uint_eq(world.given, 2);
	from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(world.given, 3);
	end();
}
END_TEST

/*
 * The notice of before the drain arrives after it. Taken as the newest it
 * would make a leaving target ready again.
 */
START_TEST(late_notice_changes_nothing)
{
	begin();
	announce(3, DY_TARGET_DRAINING);
	ck_assert(announce(2, DY_TARGET_READY));
	ck_assert(announce(3, DY_TARGET_READY));
	ck_assert(!dy_flow_holder_accepts(world.holder));
	end();
}
END_TEST

/*
 * A target has ended and another start is at its address. A notice of the
 * first, held up by a partition, arrives then.
 */
START_TEST(notice_of_an_earlier_start_changes_nothing)
{
	dy_target_notice_t later = notice(1, DY_TARGET_DRAINING);
	dy_target_notice_t held_up = notice(90, DY_TARGET_READY);

	begin();
	g_strlcpy(later.id, "t2", sizeof(later.id));
	later.born_ms = 6000;
	ck_assert(dy_flow_holder_notice(world.holder, &later, world.now_ms));
	ck_assert(dy_flow_holder_notice(world.holder, &held_up, world.now_ms));
	ck_assert(!dy_flow_holder_accepts(world.holder));
	end();
}
END_TEST

/* The clock was set back between two starts: the second has the earlier time
 * of start, and would never be believed. */
START_TEST(start_with_an_earlier_clock_is_believed_in_the_end)
{
	dy_target_notice_t later = notice(1, DY_TARGET_READY);

	begin();
	announce(2, DY_TARGET_DRAINING);
	g_strlcpy(later.id, "t2", sizeof(later.id));
	later.born_ms = 4000;
	dy_flow_holder_notice(world.holder, &later, world.now_ms);
	ck_assert(!dy_flow_holder_accepts(world.holder));
	world.now_ms += 3001;
	later.sequence = 4;
	dy_flow_holder_notice(world.holder, &later, world.now_ms);
	ck_assert(dy_flow_holder_accepts(world.holder));
	end();
}
END_TEST

/* An address is in use again by a server of another service. */
START_TEST(notice_of_another_service_or_address_is_refused)
{
	dy_target_notice_t other = notice(2, DY_TARGET_READY);

	begin();
	g_strlcpy(other.service, "maps", sizeof(other.service));
	ck_assert(!dy_flow_holder_notice(world.holder, &other, world.now_ms));
	other = notice(2, DY_TARGET_READY);
	other.address.port++;
	ck_assert(!dy_flow_holder_notice(world.holder, &other, world.now_ms));
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "notices_refused"),
			  2);
	end();
}
END_TEST

/* A balancer's list is old: a flow of the maps must not open here. */
START_TEST(opening_for_another_service_is_passed_on)
{
	dy_packet_t made = packet(1, DY_PACKET_SYN, 1, 0, 0);

	begin();
	forward_for("maps", &made, 2);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert_uint_eq(world.forward.step, 1);
	end();
}
END_TEST

/*
 * Several balancers open flows within one moment, and each knows only its own:
 * one target queues while another is idle. The agent knows, and passes on; but
 * the last choice of a balancer takes what comes, since a refusal helps nobody.
 */
START_TEST(overloaded_target_passes_openings_on)
{
	dy_packet_t made;
	unsigned i;

	begin();
	for (i = 0; i < ROOM; i++)
		from_caller(i, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(world.passed, 0);
	from_caller(50, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(world.passed, 1);
	made = packet(51, DY_PACKET_SYN, 1, 0, 0);
	forward_for(SERVICE, &made, 1);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert_uint_eq(world.nowheres, 0);
	ck_assert_uint_eq(world.given, ROOM);
	end();
}
END_TEST

/* Openings that the target has room for, each with a request. */
static void fill_target(void)
{
	unsigned i;

	for (i = 0; i < ROOM; i++) {
		open_flow(i);
		from_caller(i, DY_PACKET_ACK, 501, 90);
	}
	world.given = 0;
}

/* An opening for which this agent is the last choice. */
static void last_choice(unsigned flow, uint32_t copy)
{
	dy_packet_t made = packet(flow, DY_PACKET_SYN, 1, copy, 0);

	forward_for(SERVICE, &made, 1);
}

static void answer(unsigned flow)
{
	from_target(flow, DY_PACKET_ACK, 502, 300);
}

/*
 * All callers open flows at once, and each target has what it can answer in
 * time. The target would queue some and refuse the rest, who come back at
 * once. They wait here instead, and the youngest can still be in time.
 */
START_TEST(openings_wait_for_room_the_youngest_goes_first)
{
	begin();
	fill_target();
	last_choice(50, 0);
	ck_assert(world.helds && !world.held.open);
	last_choice(51, 0);
	last_choice(50, 1);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), ROOM);
	answer(0);
	ck_assert_uint_eq(world.given, 0);
	answer(1);
	ck_assert_uint_eq(world.given, 1);
	from_target(51, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(world.held.flow.caller_port, 1024 + 51);
	answer(2);
	ck_assert_uint_eq(world.given, 2);
	from_target(50, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(world.held.flow.caller_port, 1024 + 50);
	end();
}
END_TEST

/*
 * Power is back: hundreds of openings have waited, here or at their callers,
 * and cannot be answered in time any more. Taken as soon as there is room for
 * one they would leave none to a caller that comes now and still can be.
 */
START_TEST(room_is_left_to_an_opening_that_has_just_come)
{
	begin();
	fill_target();
	last_choice(50, 0);
	answer(0);
	from_caller(60, DY_PACKET_SYN, 2, 0);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(world.passed, 1);
	from_caller(61, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(world.given, 1);
	from_target(61, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	ck_assert_uint_eq(world.held.flow.caller_port, 1024 + 61);
	end();
}
END_TEST

/* There is no room in time: the caller is told while it has time to retry. */
START_TEST(opening_that_waits_too_long_is_refused)
{
	begin();
	fill_target();
	last_choice(50, 0);
	world.now_ms += DY_OPENING_WAIT_MS - 1;
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.nowheres, 0);
	world.now_ms++;
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.nowheres, 1);
	ck_assert_int_eq(world.nowhere.reason, DY_FLOW_REFUSED);
	answer(0);
	ck_assert_uint_eq(world.given, 0);
	end();
}
END_TEST

/*
 * The target says that it leaves while openings wait for it. Given to it
 * seconds later they would be new work for a target that was to have none.
 */
START_TEST(openings_that_wait_do_not_reach_a_draining_target)
{
	begin();
	fill_target();
	last_choice(50, 0);
	ck_assert(announce(2, DY_TARGET_DRAINING));
	answer(0);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(world.nowheres, 1);
	end();
}
END_TEST

/*
 * Callers gave their openings up while all power was gone. The target answers
 * them, nobody takes the answer up, and for seconds they seem to fill it.
 */
START_TEST(openings_given_up_leave_room)
{
	unsigned i;

	begin();
	for (i = 0; i < ROOM; i++) {
		from_caller(i, DY_PACKET_SYN, 0, 0);
		from_target(i, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	}
	last_choice(50, 0);
	ck_assert_uint_eq(world.given, ROOM);
	world.now_ms += DY_FIRST_REQUEST_MS + 1;
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.given, ROOM + 1);
	end();
}
END_TEST

/*
 * A target answers some requests never, though its health is good. Each would
 * take a place of those that it can have, until there are none.
 */
START_TEST(requests_without_an_answer_are_forgotten)
{
	begin();
	fill_target();
	world.now_ms += DY_REQUEST_FORGOTTEN_MS;
	ck_assert(announce(2, DY_TARGET_READY));
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.report.load.busy, 0);
	last_choice(50, 0);
	ck_assert_uint_eq(world.given, 1);
	end();
}
END_TEST

/* Nobody takes it: the balancer is told at once, so that it refuses. */
START_TEST(opening_that_nobody_takes_is_told)
{
	dy_packet_t made = packet(1, DY_PACKET_SYN, 1, 0, 0);

	create();
	forward_for(SERVICE, &made, 1);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(world.nowheres, 1);
	ck_assert_int_eq(world.nowhere.reason, DY_FLOW_REFUSED);
	end();
}
END_TEST

/* The target is full and gives the opening packet back. */
START_TEST(opening_that_the_target_gives_back_goes_on)
{
	begin();
	from_caller(1, DY_PACKET_SYN, 0, 0);
	give_back(1, DY_PACKET_SYN, world.note);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert_uint_eq(world.forward.step, 1);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 0);
	end();
}
END_TEST

/*
 * Two copies of an opening packet went to two targets, and both answered. The
 * caller acknowledges the other one's: this target would reset the flow.
 */
START_TEST(packet_of_another_targets_opening_is_passed_on)
{
	begin();
	from_caller(1, DY_PACKET_SYN, 0, 0);
	from_target(1, DY_PACKET_SYN | DY_PACKET_ACK, 500, 0);
	from_caller(1, DY_PACKET_ACK, 900001, 0);
	ck_assert_uint_eq(world.given, 1);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert(world.forward.certain);
	end();
}
END_TEST

/*
 * An agent was killed and is back; its target went on with all its flows. The
 * agent's record is empty, and what it says of flows would be wrong.
 */
START_TEST(restarted_agent_asks_its_target)
{
	create();
	announce(40, DY_TARGET_READY);
	from_caller(1, DY_PACKET_ACK, 501, 90);
	ck_assert_uint_eq(world.given, 1);
	ck_assert_uint_eq(world.nowheres + world.passed, 0);
	from_target(1, DY_PACKET_ACK, 502, 300);
	from_caller(1, DY_PACKET_ACK, 503, 0);
	ck_assert_uint_eq(world.helds, 1);
	ck_assert(world.held.open);
	from_caller(2, DY_PACKET_ACK, 7, 0);
	give_back(2, DY_PACKET_ACK, world.note);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert(world.forward.certain);
	end();
}
END_TEST

/*
 * The target crashed and was started again: its flows are gone. The callers'
 * packets need not be given to it to know that.
 */
START_TEST(flows_end_with_their_targets_start)
{
	dy_target_notice_t next = notice(3, DY_TARGET_READY);

	begin();
	open_flow(1);
	g_strlcpy(next.id, "t2", sizeof(next.id));
	next.born_ms = 9000;
	dy_flow_holder_notice(world.holder, &next, world.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 0);
	world.given = 0;
	from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert(world.forward.certain);
	end();
}
END_TEST

/*
 * The target is gone without a word. A search that is given to it ends there,
 * and the agents behind it are never asked. The flow may have been there.
 */
START_TEST(search_goes_past_a_silent_target)
{
	create();
	announce(40, DY_TARGET_READY);
	world.now_ms += DY_TARGET_SILENT_MS + 1;
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert(!dy_flow_holder_accepts(world.holder));
	from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(world.given, 0);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert(!world.forward.certain);
	end();
}
END_TEST

/* A tick after the target has owed an answer for too long. */
static void owe(void)
{
	world.now_ms += DY_TARGET_OWING_MS;
	dy_flow_holder_tick(world.holder, world.now_ms);
}

static void check_says(dy_port_state_t state)
{
	dy_flow_holder_checked(world.holder, state, world.now_ms);
}

/*
 * A target crashes with open flows. Callers of idempotent requests would wait
 * for their deadlines, and new flows be opened into the void until its notices
 * are missed. Its port is checked once it owes an answer, and then again.
 */
START_TEST(crashed_target_loses_its_flows_at_once)
{
	begin();
	ck_assert_uint_eq(world.checks, 1);
	check_says(DY_PORT_LISTENING);
	open_flow(1);
	from_caller(1, DY_PACKET_ACK, 502, 90);
	owe();
	ck_assert_uint_eq(world.checks, 2);
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(world.holder));
	owe();
	ck_assert_uint_eq(world.checks, 3);
	check_says(DY_PORT_REFUSED);
	ck_assert(!dy_flow_holder_accepts(world.holder));
	ck_assert(dy_flow_holder_is_empty(world.holder));
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 0);
	from_caller(1, DY_PACKET_ACK, 502, 90);
	ck_assert_uint_eq(world.passed, 1);
	ck_assert(world.forward.certain);
	end();
}
END_TEST

/*
 * A target that never listened at its port was stopped for seconds, with all
 * callers: the refusals say nothing, and its open flows must not be reset.
 */
START_TEST(target_that_never_listened_is_not_taken_for_gone)
{
	unsigned i;

	begin();
	open_flow(1);
	from_caller(1, DY_PACKET_ACK, 502, 90);
	for (i = 0; i < 5; i++) {
		owe();
		check_says(DY_PORT_REFUSED);
	}
	ck_assert(dy_flow_holder_accepts(world.holder));
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 1);
	end();
}
END_TEST

/*
 * A busy target takes a second to answer. It listens, so its flows stay and it
 * is asked again only when it has owed an answer for as long once more.
 */
START_TEST(slow_target_keeps_its_flows)
{
	begin();
	open_flow(1);
	from_caller(1, DY_PACKET_ACK, 502, 90);
	owe();
	check_says(DY_PORT_LISTENING);
	dy_flow_holder_tick(world.holder, world.now_ms + 1);
	ck_assert_uint_eq(world.checks, 2);
	owe();
	ck_assert_uint_eq(world.checks, 3);
	check_says(DY_PORT_UNKNOWN);
	ck_assert(dy_flow_holder_accepts(world.holder));
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 1);
	end();
}
END_TEST

/*
 * A target's last answer arrives between two checks, or another start of it
 * does: one refusal before it counts for nothing.
 */
START_TEST(sign_of_life_between_checks_counts)
{
	begin();
	check_says(DY_PORT_LISTENING);
	open_flow(1);
	from_caller(1, DY_PACKET_ACK, 502, 90);
	owe();
	check_says(DY_PORT_REFUSED);
	from_target(1, DY_PACKET_ACK, 502, 300);
	from_caller(1, DY_PACKET_ACK, 503, 90);
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(world.holder));
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 1);
	ck_assert(announce(2, DY_TARGET_READY));
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_accepts(world.holder));
	end();
}
END_TEST

/*
 * A VM whose target left is started again with all others after a loss of
 * power, and taken away for good seconds later. While it was there, balancers
 * searched it for each flow, and afterwards their searches ended at it.
 */
START_TEST(agent_without_a_target_is_empty)
{
	create();
	ck_assert(!dy_flow_holder_is_empty(world.holder));
	check_says(DY_PORT_REFUSED);
	ck_assert(dy_flow_holder_is_empty(world.holder));
	from_caller(1, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(world.given, 0);
	ck_assert(world.forward.certain);
	ck_assert(announce(40, DY_TARGET_READY));
	ck_assert(!dy_flow_holder_is_empty(world.holder));
	ck_assert(dy_flow_holder_accepts(world.holder));
	from_caller(2, DY_PACKET_ACK, 501, 0);
	ck_assert_uint_eq(world.given, 0);
	end();
}
END_TEST

static unsigned steady_port;

static void on_steady(void *context, const dy_flow_id_t *flow, uint32_t ack)
{
	unsigned *count = context;

	++*count;
	steady_port = flow->caller_port;
	ck_assert_uint_gt(ack, 501);
}

static unsigned count_steady(void)
{
	unsigned count = 0;

	dy_flow_holder_each_steady(world.holder, world.now_ms, on_steady,
				   &count);
	return count;
}

/*
 * A reset that is made from a list names the byte that the caller acknowledged
 * when it was listed. For a download that is too far from the last one.
 */
START_TEST(downloads_are_not_steady)
{
	begin();
	open_flow(1);
	open_flow(2);
	from_caller(1, DY_PACKET_ACK, 502, 90);
	ck_assert_uint_eq(count_steady(), 0);
	world.now_ms += DY_STEADY_MS;
	from_caller(1, DY_PACKET_ACK, 501 + DY_STEADY_BYTES, 90);
	from_caller(2, DY_PACKET_ACK,
		    502 + DY_STEADY_BYTES + DY_STEADY_BYTES_A_SECOND, 90);
	ck_assert_uint_eq(count_steady(), 1);
	ck_assert_uint_eq(steady_port, 1025);
	end();
}
END_TEST

/* What comes back after its forward was forgotten is counted, not guessed. */
START_TEST(bounce_that_is_not_known_is_dropped)
{
	begin();
	give_back(1, DY_PACKET_ACK, 12345);
	give_back(1, DY_PACKET_ACK, 0);
	ck_assert_uint_eq(world.passed + world.nowheres, 0);
	ck_assert_uint_eq(dy_metrics_value(world.metrics, "bounces_unknown"),
			  2);
	end();
}
END_TEST

/*
 * Health endpoints lag. What passes here does not: a request was begun, its
 * answer was begun.
 */
START_TEST(load_is_learned_from_what_passes)
{
	begin();
	open_flow(1);
	open_flow(2);
	from_caller(1, DY_PACKET_ACK, 501, 900);
	from_caller(1, DY_PACKET_ACK, 501, 900);
	from_caller(2, DY_PACKET_ACK, 501, 900);
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.report.load.busy, 2);
	ck_assert_uint_eq(world.report.load.flows, 2);
	from_target(1, DY_PACKET_ACK, 600, 1200);
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.report.load.busy, 1);
	from_caller(2, DY_PACKET_RST, 501, 0);
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.report.load.busy, 0);
	ck_assert_uint_eq(world.report.load.flows, 1);
	end();
}
END_TEST

/* A flow counts until both of its ends have ended it. */
START_TEST(flow_that_both_ended_counts_no_more)
{
	begin();
	open_flow(1);
	from_caller(1, DY_PACKET_ACK | DY_PACKET_FIN, 501, 0);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 1);
	from_target(1, DY_PACKET_ACK | DY_PACKET_FIN, 501, 0);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 0);
	from_caller(1, DY_PACKET_ACK, 502, 0);
	ck_assert_uint_eq(world.passed, 0);
	end();
}
END_TEST

/* Callers that vanish leave half-open and idle flows. */
START_TEST(flows_without_packets_are_forgotten)
{
	begin();
	from_caller(1, DY_PACKET_SYN, 0, 0);
	open_flow(2);
	world.now_ms += DY_HALF_OPEN_MS;
	announce(2, DY_TARGET_READY);
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 1);
	world.now_ms += DY_HELD_IDLE_MS;
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(dy_flow_holder_count(world.holder), 0);
	end();
}
END_TEST

/* A balancer that went away is not told of the load for ever. */
START_TEST(only_balancers_that_send_are_told_of_the_load)
{
	begin();
	from_caller(1, DY_PACKET_SYN, 0, 0);
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.reports, 1);
	world.now_ms += DY_REPORTED_MS + 1;
	dy_flow_holder_tick(world.holder, world.now_ms);
	ck_assert_uint_eq(world.reports, 1);
	end();
}
END_TEST

/* A planned stop: new flows go elsewhere, and the target is no longer there
 * once it said so. */
START_TEST(stopping_agent_takes_no_opening)
{
	begin();
	ck_assert(!dy_flow_holder_is_over(world.holder, world.now_ms));
	dy_flow_holder_stop(world.holder);
	from_caller(1, DY_PACKET_SYN, 0, 0);
	ck_assert_uint_eq(world.passed, 1);
	dy_flow_holder_leave(world.holder, "another");
	ck_assert(!dy_flow_holder_is_over(world.holder, world.now_ms));
	dy_flow_holder_leave(world.holder, "t1");
	ck_assert(dy_flow_holder_is_over(world.holder, world.now_ms));
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		flow_is_opened_and_its_balancer_told,
		draining_is_in_force_once_acknowledged,
		late_notice_changes_nothing,
		notice_of_an_earlier_start_changes_nothing,
		start_with_an_earlier_clock_is_believed_in_the_end,
		notice_of_another_service_or_address_is_refused,
		opening_for_another_service_is_passed_on,
		overloaded_target_passes_openings_on,
		openings_wait_for_room_the_youngest_goes_first,
		room_is_left_to_an_opening_that_has_just_come,
		opening_that_waits_too_long_is_refused,
		openings_that_wait_do_not_reach_a_draining_target,
		openings_given_up_leave_room,
		requests_without_an_answer_are_forgotten,
		opening_that_nobody_takes_is_told,
		opening_that_the_target_gives_back_goes_on,
		packet_of_another_targets_opening_is_passed_on,
		restarted_agent_asks_its_target,
		flows_end_with_their_targets_start,
		search_goes_past_a_silent_target,
		crashed_target_loses_its_flows_at_once,
		target_that_never_listened_is_not_taken_for_gone,
		slow_target_keeps_its_flows,
		sign_of_life_between_checks_counts,
		agent_without_a_target_is_empty,
		downloads_are_not_steady,
		bounce_that_is_not_known_is_dropped,
		load_is_learned_from_what_passes,
		flow_that_both_ended_counts_no_more,
		flows_without_packets_are_forgotten,
		only_balancers_that_send_are_told_of_the_load,
		stopping_agent_takes_no_opening,
		NULL,
	};

	return fake_suite_run("flow_holder", tests);
}
