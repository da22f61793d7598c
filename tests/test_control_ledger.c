#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "damaskyard/flow_ledger.h"
#include "damaskyard/seal.h"
#include "fake_control.h"
#include "fake_suite.h"

/* Ticks of 5 ms within which anything comes about. */
#define TICKS_MAX 4000

/* An agent's endpoint beside a control. */
static struct {
	fake_control_t fake;
	dy_seal_t *seal;
	dy_endpoint_t *endpoint;
	int answered;
	unsigned flows;
	uint32_t list;
} world;

static void on_message(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	dy_ledger_part_t part;
	dy_sealed_t message;

	(void)context;
	(void)from;
	ck_assert(!truncated);
	if (dy_seal_open(world.seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.program != DY_LEDGER_AGENT_PROGRAM)
		return;
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_ledger_part_t,
				 &part, sizeof(part)));
	world.answered = 1;
	world.flows = part.flows.flows_len;
	world.list = part.list;
	xdr_free((xdrproc_t)xdr_dy_ledger_part_t, (char *)&part);
}

static void start(void)
{
	dy_address_t any;

	dy_address_parse("127.0.0.1:0", &any);
	fake_control_start(&world.fake);
	world.seal =
		dy_seal_create(&world.fake.options.secrets, world.fake.metrics);
	world.endpoint = dy_endpoint_create(world.fake.loop, &any, on_message,
					    NULL, NULL);
	ck_assert_ptr_nonnull(world.endpoint);
}

static void stop(void)
{
	dy_endpoint_destroy(world.endpoint);
	dy_seal_destroy(world.seal);
	fake_control_stop(&world.fake);
}

static void begin(void)
{
	memset(&world, 0, sizeof(world));
	fake_control_init(&world.fake);
	start();
}

static void end(void)
{
	stop();
	fake_control_clear(&world.fake);
}

static void send_message(uint32_t procedure, xdrproc_t proc, void *args)
{
	dy_seal_header_t head = { 0, DY_LEDGER_PROGRAM, procedure };
	uint8_t out[2048];
	size_t len = dy_seal_write_call(world.seal, &head, proc, args, out,
					sizeof(out));

	ck_assert_uint_gt(len, 0);
	dy_endpoint_send_to(world.endpoint, out, len,
			    &world.fake.options.listen);
}

static char *path_of(const char *name)
{
	return g_build_filename(world.fake.folder, name, NULL);
}

/* The sequence that a file begins with; 0 if it is not there. */
static uint64_t sequence_of(const char *name)
{
	char *path = path_of(name);
	uint64_t sequence = 0;
	char *bytes = NULL;
	gsize len = 0;

	if (g_file_get_contents(path, &bytes, &len, NULL) &&
	    len >= sizeof(sequence))
		memcpy(&sequence, bytes, sizeof(sequence));
	g_free(bytes);
	g_free(path);
	return sequence;
}

/* Keep a list of so many flows, until the control has written it. */
static void keep(uint32_t list, unsigned count)
{
	uint64_t before = MAX(sequence_of("flows-0"), sequence_of("flows-1"));
	dy_ledger_flow_t flows[DY_LEDGER_FLOWS] = { 0 };
	dy_ledger_part_t part = { .list = list, .parts = 1 };
	unsigned i;

	part.agent = (char *)"a1";
	part.target = (char *)"t1";
	part.flows.flows_val = flows;
	part.flows.flows_len = count;
	send_message(DY_LEDGER_KEEP, (xdrproc_t)xdr_dy_ledger_part_t, &part);
	for (i = 0; i < TICKS_MAX; i++) {
		fake_control_run(&world.fake, 1, NULL);
		if (MAX(sequence_of("flows-0"), sequence_of("flows-1")) >
		    before)
			return;
	}
	ck_abort_msg("the list was not written");
}

static void ask(const char *agent)
{
	dy_ledger_ask_t message = { (char *)agent };

	world.answered = 0;
	send_message(DY_LEDGER_ASK, (xdrproc_t)xdr_dy_ledger_ask_t, &message);
	fake_control_run(&world.fake, TICKS_MAX, &world.answered);
	ck_assert(world.answered);
}

/*
 * All power is lost. The control that comes back is asked which flows were
 * open, and has nothing but its disk.
 */
START_TEST(lists_outlive_a_restart)
{
	begin();
	ask("a1");
	ck_assert_uint_eq(world.flows, 0);
	keep(1, 3);
	keep(2, 5);
	stop();
	start();
	ask("a1");
	ck_assert_uint_eq(world.flows, 5);
	ck_assert_uint_eq(world.list, 2);
	ask("a2");
	ck_assert_uint_eq(world.flows, 0);
	end();
}
END_TEST

/* Power is lost while a file is written: the one before is read. */
START_TEST(torn_file_is_passed_over)
{
	char *path;
	char *bytes;
	gsize len;

	begin();
	keep(1, 3);
	keep(2, 5);
	stop();
	path = path_of(sequence_of("flows-0") > sequence_of("flows-1")
			       ? "flows-0"
			       : "flows-1");
	ck_assert(g_file_get_contents(path, &bytes, &len, NULL));
	bytes[len - 1] ^= 1;
	ck_assert(g_file_set_contents(path, bytes, (gssize)len, NULL));
	start();
	ask("a1");
	ck_assert_uint_eq(world.flows, 3);
	ck_assert_uint_eq(world.list, 1);
	g_free(bytes);
	g_free(path);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		lists_outlive_a_restart,
		torn_file_is_passed_over,
		NULL,
	};

	return fake_suite_run("control_ledger", tests);
}
