/*
 * Sends heartbeats of a target to a holder, and between them damaged ones of
 * another sender. The oracle is a second holder, which gets the target's alone:
 * both must be in the same state, and send the same packets and messages.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "damaskyard/flow_holder.h"
#include "damaskyard/log.h"
#include "platform/heartbeat.h"

#define START_MS 1000000
#define STEPS_MAX 200
#define FLOWS 4
#define PACKET_TAG_MASK 0xffffff

typedef enum emitted {
	TO_TARGET,
	TO_CALLER,
	PASSED_ON,
	HELD,
	NOWHERE,
	GRANTED,
	REPORTED,
	CHANGED,
	PORT_CHECKS,
	EMITTED_COUNT
} emitted_t;

/* A holder, and how often it emitted what. */
typedef struct side {
	dy_flow_holder_t *holder;
	dy_metrics_t *metrics;
	unsigned emitted[EMITTED_COUNT];
	unsigned certain; /* forwards that say so */
	uint32_t tag;
} side_t;

typedef struct run {
	const uint8_t *bytes;
	size_t len;
	side_t both; /* gets the damaged heartbeats too */
	side_t alone;
	uint64_t now_ms;
	uint64_t born;
	uint64_t sequence;
	unsigned instance;
} run_t;

static unsigned read_below(run_t *run, unsigned limit)
{
	if (!run->len)
		return 0;
	run->len--;
	return *run->bytes++ % limit;
}

static void to_target(void *context, uint8_t *bytes, size_t len, uint32_t tag)
{
	side_t *side = context;

	(void)bytes;
	(void)len;
	side->emitted[TO_TARGET]++;
	side->tag = tag;
}

static void to_caller(void *context, const dy_flow_id_t *flow,
		      const uint8_t *bytes, size_t len)
{
	(void)flow;
	(void)bytes;
	(void)len;
	((side_t *)context)->emitted[TO_CALLER]++;
}

static void pass_on(void *context, dy_flow_forward_t *forward)
{
	side_t *side = context;

	side->emitted[PASSED_ON]++;
	side->certain += !!forward->certain;
}

static void held(void *context, const dy_address_t *balancer,
		 dy_flow_held_t *message)
{
	(void)balancer;
	(void)message;
	((side_t *)context)->emitted[HELD]++;
}

static void nowhere(void *context, const dy_address_t *balancer,
		    dy_flow_nowhere_t *message)
{
	(void)balancer;
	(void)message;
	((side_t *)context)->emitted[NOWHERE]++;
}

static void grant(void *context, const dy_address_t *balancer,
		  dy_flow_grant_t *message)
{
	(void)balancer;
	(void)message;
	((side_t *)context)->emitted[GRANTED]++;
}

static void report(void *context, const dy_address_t *balancer,
		   dy_flow_report_t *message)
{
	(void)balancer;
	(void)message;
	((side_t *)context)->emitted[REPORTED]++;
}

static void changed(void *context)
{
	((side_t *)context)->emitted[CHANGED]++;
}

static void check_port(void *context)
{
	((side_t *)context)->emitted[PORT_CHECKS]++;
}

static const dy_flow_holder_callbacks_t callbacks = {
	.to_target = to_target,
	.to_caller = to_caller,
	.pass_on = pass_on,
	.held = held,
	.nowhere = nowhere,
	.grant = grant,
	.report = report,
	.changed = changed,
	.check_port = check_port,
};

static void create_side(side_t *side)
{
	dy_flow_holder_config_t config = { 0 };

	side->metrics = dy_metrics_create();
	dy_address_set_ipv4(&config.self, 0x0a000001, 7002);
	dy_address_set_ipv4(&config.target, 0x0a000001, 8080);
	config.service = "desk";
	config.cold_overshoot = 1;
	config.metrics = side->metrics;
	config.callbacks = &callbacks;
	config.context = side;
	side->holder = dy_flow_holder_create(&config);
}

static void destroy_side(side_t *side)
{
	dy_flow_holder_destroy(side->holder);
	dy_metrics_destroy(side->metrics);
}

/* What an agent does with a heartbeat. Returns whether it acknowledges it. */
static int receive(run_t *run, side_t *side, const char *id, const char *text,
		   size_t len)
{
	dy_target_notice_t notice;
	GError *error = NULL;
	int read = platform_heartbeat_parse(id, text, len, run->now_ms, &notice,
					    &error);

	if (!read == !error)
		abort();
	g_clear_error(&error);
	return read && dy_flow_holder_receive_notice(side->holder, &notice,
						     run->now_ms);
}

#define FIELDS 9

/* The field of a heartbeat that is to be replaced, by NULL if left out. */
typedef struct damage {
	unsigned field; /* FIELDS: none */
	const char *value;
} damage_t;

static char *write_heartbeat(const damage_t *damage, uint64_t born,
			     uint64_t sequence, const char *state,
			     unsigned slots, unsigned cold_ms)
{
	static const char *const names[FIELDS] = {
		"service", "address",	   "zone", "version", "slots",
		"state",   "warmupLeftMs", "seq",  "born"
	};
	char values[FIELDS][32];
	GString *text = g_string_new("{");
	const char *value;
	unsigned i;

	g_strlcpy(values[0], "\"desk\"", sizeof(values[0]));
	g_strlcpy(values[1], "\"10.0.0.1:8080\"", sizeof(values[1]));
	g_strlcpy(values[2], "\"z\"", sizeof(values[2]));
	g_strlcpy(values[3], "\"v1\"", sizeof(values[3]));
	g_snprintf(values[4], sizeof(values[4]), "%u", slots);
	g_snprintf(values[5], sizeof(values[5]), "\"%s\"", state);
	g_snprintf(values[6], sizeof(values[6]), "%u", cold_ms);
	g_snprintf(values[7], sizeof(values[7]), "%lu",
		   (unsigned long)sequence);
	g_snprintf(values[8], sizeof(values[8]), "%lu", (unsigned long)born);
	for (i = 0; i < FIELDS; i++) {
		value = i == damage->field ? damage->value : values[i];
		if (value)
			g_string_append_printf(text, "%s\"%s\":%s",
					       text->len > 1 ? "," : "",
					       names[i], value);
	}
	g_string_append_c(text, '}');
	return g_string_free(text, FALSE);
}

static char *make_id(unsigned instance)
{
	return g_strdup_printf("i-%u", instance);
}

static void send_good(run_t *run)
{
	static const damage_t none = { FIELDS, NULL };
	unsigned op = read_below(run, 16);
	const char *state = op % 4 == 3 ? "draining" : "ready";
	char *text;
	char *id;

	if (op >= 12) {
		run->instance++;
		run->born = MAX(run->born + 1, run->now_ms);
		run->sequence = 0;
	}
	id = make_id(run->instance);
	text = write_heartbeat(&none, run->born, ++run->sequence, state,
			       1 + op % 3, op % 5 ? 0 : 500);
	if (!receive(run, &run->both, id, text, strlen(text)) ||
	    !receive(run, &run->alone, id, text, strlen(text)))
		abort();
	g_free(id);
	g_free(text);
}

/* Values that no field of a heartbeat may have, whatever its name. */
static const char *const wrong_values[] = {
	NULL,
	"null",
	"true",
	"[]",
	"{}",
	"[4]",
	"\"\"",
	"-1",
	"4.5",
	"1e3",
	"1e400",
	"9223372036854775807",
	"-1.0",
	"{\"a\":1}",
	"18446744073709551617",
	"\"\\u0000\"",
	"\"desk2\"",
	"\"10.0.0.1:73616\"",
	"\"10.0.0.1:0\"",
	"\"10.0.0.1:65536\"",
};

/* Of these, the first texts are of the right type for zone and version. */
#define WRONG_TEXTS_FROM 16

static char *write_damaged(run_t *run, const char *state)
{
	damage_t damage = { read_below(run, FIELDS), NULL };
	unsigned is_free_text = damage.field == 2 || damage.field == 3;

	damage.value = wrong_values[read_below(
		run,
		is_free_text ? WRONG_TEXTS_FROM : G_N_ELEMENTS(wrong_values))];
	return write_heartbeat(&damage, run->now_ms + read_below(run, 3),
			       run->sequence + 1 + read_below(run, 3), state,
			       1 + read_below(run, 5), 100);
}

/* Damages that depend on no field. */
static char *write_broken(run_t *run, const char *state)
{
	static const damage_t none = { FIELDS, NULL };
	char *text = write_heartbeat(&none, run->now_ms, run->sequence + 1,
				     state, 4, 0);
	char *open = g_strnfill(1 + 10 * read_below(run, 256), '[');
	char *broken;

	switch (read_below(run, 4)) {
	case 0:
		broken = g_strndup(text, read_below(run, strlen(text) - 1));
		break;
	case 1:
		broken = g_strconcat(open, text, NULL);
		break;
	case 2:
		broken = g_strdup_printf("{\"x\":%s,%s", open, text + 1);
		break;
	default:
		broken = g_strdup_printf("{\"seq\":1,%s", text + 1);
	}
	g_free(open);
	g_free(text);
	return broken;
}

static void send_damaged(run_t *run)
{
	const char *state = read_below(run, 2) ? "draining" : "ready";
	char *id = make_id(run->instance + read_below(run, 2) * 1000);
	char *text = read_below(run, 3) ? write_damaged(run, state)
					: write_broken(run, state);

	if (receive(run, &run->both, id, text, strlen(text))) {
		fprintf(stderr, "acknowledged: %s\n", text);
		abort();
	}
	g_free(id);
	g_free(text);
}

/* Any bytes: what is read has all fields in their ranges. */
static void parse_bytes(run_t *run)
{
	size_t wanted = read_below(run, 256);
	size_t len = MIN(run->len, wanted);
	dy_target_notice_t notice;

	if (platform_heartbeat_parse("i-1", run->bytes, len, run->now_ms,
				     &notice, NULL) &&
	    (!*notice.service || !notice.slots || !notice.started_ms ||
	     !notice.address.port || notice.address.port > UINT16_MAX ||
	     notice.slots > DY_TARGET_SLOTS_MAX ||
	     notice.cold_ms > DY_TARGET_COLD_MAX_MS))
		abort();
	run->bytes += len;
	run->len -= len;
}

static dy_packet_t make_packet(run_t *run)
{
	dy_packet_t packet = { 0 };

	packet.flow.caller_ip = 0x64400001;
	packet.flow.caller_port = 1024 + read_below(run, FLOWS);
	packet.flow.entry_ip = 0xc6120001;
	packet.flow.entry_port = 443;
	packet.seq = 1;
	return packet;
}

static void forward_to(run_t *run, side_t *side, const dy_packet_t *packet)
{
	static uint8_t bytes[34];
	dy_address_t list[2];
	dy_flow_forward_t forward = { 0 };

	dy_address_set_ipv4(&list[0], 0x0a000001, 7002);
	dy_address_set_ipv4(&list[1], 0x0a000002, 7002);
	dy_address_set_ipv4(&forward.balancer, 0x0a000064, 7001);
	forward.service = (char *)"desk";
	forward.tell = 1;
	forward.certain = 1;
	forward.complete = 1;
	forward.window = 1;
	forward.tries.tries_val = list;
	forward.tries.tries_len = 2;
	forward.packet.packet_val = (char *)bytes;
	forward.packet.packet_len = sizeof(bytes);
	dy_flow_holder_receive_forward(side->holder, &forward, packet,
				       run->now_ms);
}

static void send_from_caller(run_t *run)
{
	dy_packet_t packet = make_packet(run);

	packet.flags = read_below(run, 2) ? DY_PACKET_SYN : DY_PACKET_ACK;
	packet.ack = packet.flags & DY_PACKET_ACK ? 501 : 0;
	packet.data_bytes = packet.flags & DY_PACKET_ACK ? 90 : 0;
	forward_to(run, &run->both, &packet);
	forward_to(run, &run->alone, &packet);
}

static void answer_at(run_t *run, side_t *side, dy_packet_t *packet,
		      int bounced)
{
	uint8_t bytes[34] = { 0 };

	if (bounced) {
		packet->flags |= DY_PACKET_BOUNCED;
		packet->tag = side->tag & PACKET_TAG_MASK;
	}
	dy_flow_holder_receive_packet(side->holder, packet, bytes,
				      sizeof(bytes), run->now_ms);
}

static void send_from_target(run_t *run)
{
	dy_packet_t packet = make_packet(run);
	unsigned op = read_below(run, 3);

	packet.flags = op ? DY_PACKET_SYN | DY_PACKET_ACK : DY_PACKET_ACK;
	packet.seq = 500;
	packet.ack = 2;
	answer_at(run, &run->both, &packet, op == 2);
	answer_at(run, &run->alone, &packet, op == 2);
}

static void check_target(run_t *run)
{
	dy_port_state_t state =
		read_below(run, 2) ? DY_PORT_LISTENING : DY_PORT_REFUSED;

	dy_flow_holder_port_checked(run->both.holder, state, run->now_ms);
	dy_flow_holder_port_checked(run->alone.holder, state, run->now_ms);
}

static void advance(run_t *run)
{
	static const unsigned steps_ms[] = { 1, 50, 1200, 3001, 4001 };

	run->now_ms += steps_ms[read_below(run, G_N_ELEMENTS(steps_ms))];
	dy_flow_holder_tick(run->both.holder, run->now_ms);
	dy_flow_holder_tick(run->alone.holder, run->now_ms);
}

static void compare(const side_t *a, const side_t *b)
{
	if (dy_flow_holder_accepts(a->holder) !=
		    dy_flow_holder_accepts(b->holder) ||
	    dy_flow_holder_slots(a->holder) !=
		    dy_flow_holder_slots(b->holder) ||
	    dy_flow_holder_count(a->holder) !=
		    dy_flow_holder_count(b->holder) ||
	    dy_flow_holder_has_target_ended(a->holder) !=
		    dy_flow_holder_has_target_ended(b->holder) ||
	    dy_flow_holder_is_target_gone(a->holder) !=
		    dy_flow_holder_is_target_gone(b->holder) ||
	    memcmp(a->emitted, b->emitted, sizeof(a->emitted)) != 0 ||
	    a->certain != b->certain || a->tag != b->tag) {
		fprintf(stderr, "a damaged heartbeat had an effect\n");
		abort();
	}
}

static void step(run_t *run)
{
	switch (read_below(run, 8)) {
	case 0:
		send_good(run);
		break;
	case 1:
	case 2:
		send_damaged(run);
		break;
	case 3:
		send_from_caller(run);
		break;
	case 4:
		send_from_target(run);
		break;
	case 5:
		check_target(run);
		break;
	case 6:
		advance(run);
		break;
	default:
		parse_bytes(run);
	}
	compare(&run->both, &run->alone);
}

/* libFuzzer requires the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	run_t run = { data, size };
	unsigned steps = 0;

	dy_log_configure(DY_LOG_ERROR, NULL);
	run.now_ms = START_MS;
	run.born = START_MS - 1000;
	create_side(&run.both);
	create_side(&run.alone);
	while (run.len && steps++ < STEPS_MAX)
		step(&run);
	destroy_side(&run.both);
	destroy_side(&run.alone);
	return 0;
}
