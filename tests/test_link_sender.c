#include "link_sender.h"

#include <string.h>

#include "damaskyard/address.h"
#include "fake_suite.h"

/* Rate of the link, on which some of the forwards have to wait. */
#define LINK_BYTES_PER_S 20000
#define FORWARDS 30
#define WAIT_MAX_MS 10000

static struct {
	flow_member_t member;
	dy_flow_router_t *router;
	dy_endpoint_t *packets;
	dy_endpoint_t *agent;
	link_sender_t *sender;
	unsigned received;
	uint64_t ends_ms;
} fake;

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	unsigned *received = context;

	(void)bytes;
	(void)len;
	(void)from;
	(void)truncated;
	++*received;
}

static dy_endpoint_t *open_endpoint(unsigned *received)
{
	dy_endpoint_t *endpoint;
	dy_address_t any;

	dy_address_parse("127.0.0.1:0", &any);
	endpoint = dy_endpoint_create(fake.member.loop, &any, on_datagram,
				      received, NULL);
	ck_assert_ptr_nonnull(endpoint);
	return endpoint;
}

static void setup(void)
{
	static const dy_flow_router_callbacks_t callbacks = { 0 };
	static unsigned ignored;
	dy_flow_router_config_t config = { 0 };

	memset(&fake, 0, sizeof(fake));
	fake.member.metrics = dy_metrics_create();
	fake.member.loop = dy_loop_create(fake.member.metrics);
	fake.member.settings.secrets.count = 1;
	fake.member.settings.link_bytes_per_s = LINK_BYTES_PER_S;
	fake.member.seal = dy_seal_create(&fake.member.settings.secrets,
					  fake.member.metrics);
	fake.member.inner = open_endpoint(&ignored);
	fake.packets = open_endpoint(&ignored);
	fake.agent = open_endpoint(&fake.received);
	config.domain = "d1";
	config.metrics = fake.member.metrics;
	config.callbacks = &callbacks;
	fake.router = dy_flow_router_create(&config);
	fake.sender =
		link_sender_create(&fake.member, fake.packets, fake.router);
}

static void teardown(void)
{
	link_sender_destroy(fake.sender);
	dy_flow_router_destroy(fake.router);
	dy_endpoint_destroy(fake.agent);
	dy_endpoint_destroy(fake.packets);
	dy_endpoint_destroy(fake.member.inner);
	dy_loop_destroy(fake.member.loop);
	dy_seal_destroy(fake.member.seal);
	dy_metrics_destroy(fake.member.metrics);
}

static void send_forwards(const dy_address_t *agent)
{
	char bytes[64] = { 0 };
	char service[] = "";
	dy_address_t tries[1] = { *agent };
	dy_flow_forward_t forward = { 0 };
	dy_packet_t packet = { 0 };
	unsigned i;

	forward.service = service;
	forward.tries.tries_val = tries;
	forward.tries.tries_len = 1;
	forward.packet.packet_val = bytes;
	forward.packet.packet_len = sizeof(bytes);
	for (i = 0; i < FORWARDS; i++) {
		packet.flow.caller_port = 1024 + i;
		packet.flags = DY_PACKET_ACK;
		packet.seq = i;
		link_sender_send(fake.sender, &forward, &packet);
	}
}

static void end_when_received(void *context)
{
	(void)context;
	if (fake.received == FORWARDS ||
	    dy_loop_now_ms(fake.member.loop) >= fake.ends_ms)
		dy_loop_end(fake.member.loop);
}

static void run_until_received(void)
{
	fake.ends_ms = dy_loop_now_ms(fake.member.loop) + WAIT_MAX_MS;
	dy_loop_every(fake.member.loop, 20, end_when_received, NULL);
	dy_loop_run(fake.member.loop);
}

/* Guards against a link that is charged for good for sends that failed. */
START_TEST(sends_on_after_failed_sends)
{
	dy_address_t unreachable;

	setup();
	/* The socket is of the other address family, so that sends fail. */
	dy_address_parse("[2001:db8::1]:9", &unreachable);
	send_forwards(&unreachable);
	send_forwards(dy_endpoint_address(fake.agent));
	run_until_received();
	ck_assert_uint_eq(fake.received, FORWARDS);
	teardown();
}
END_TEST

/* Guards against a planned stop that drops forwards that wait. */
START_TEST(is_idle_only_once_no_forward_waits)
{
	setup();
	ck_assert(link_sender_is_idle(fake.sender));
	send_forwards(dy_endpoint_address(fake.agent));
	ck_assert(!link_sender_is_idle(fake.sender));
	run_until_received();
	ck_assert_uint_eq(fake.received, FORWARDS);
	ck_assert(link_sender_is_idle(fake.sender));
	teardown();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sends_on_after_failed_sends,
		is_idle_only_once_no_forward_waits,
		NULL,
	};

	return fake_suite_run("link_sender", tests);
}
