#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "damaskyard/flow_ledger.h"
#include "damaskyard/seal.h"
#include "fake_control.h"
#include "fake_suite.h"

/* Limit for every wait, in ticks of 5 ms. */
#define TICKS_MAX 4000

/* A control and the endpoint of an agent. */
static struct {
	fake_control_t fake;
	dy_seal_t *seal;
	dy_endpoint_t *endpoint;
	int answered;
	unsigned flows;
	uint32_t list;
} fixture;

static void on_message(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	dy_ledger_part_t part;
	dy_sealed_t message;

	(void)context;
	(void)from;
	ck_assert(!truncated);
	if (dy_seal_open(fixture.seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.program != DY_LEDGER_AGENT_PROGRAM)
		return;
	ck_assert(dy_sealed_load(&message, (xdrproc_t)xdr_dy_ledger_part_t,
				 &part, sizeof(part)));
	fixture.answered = 1;
	fixture.flows = part.flows.flows_len;
	fixture.list = part.list;
	xdr_free((xdrproc_t)xdr_dy_ledger_part_t, (char *)&part);
}

static void start(void)
{
	dy_address_t any;

	dy_address_parse("127.0.0.1:0", &any);
	fake_control_start(&fixture.fake);
	fixture.seal = dy_seal_create(&fixture.fake.options.secrets,
				      fixture.fake.metrics);
	fixture.endpoint = dy_endpoint_create(fixture.fake.loop, &any,
					      on_message, NULL, NULL);
	ck_assert_ptr_nonnull(fixture.endpoint);
}

static void stop(void)
{
	dy_endpoint_destroy(fixture.endpoint);
	dy_seal_destroy(fixture.seal);
	fake_control_stop(&fixture.fake);
}

static void begin(void)
{
	memset(&fixture, 0, sizeof(fixture));
	fake_control_init(&fixture.fake);
	start();
}

static void end(void)
{
	stop();
	fake_control_clear(&fixture.fake);
}

static void send_message(uint32_t procedure, xdrproc_t proc, void *args)
{
	dy_seal_header_t head = { 0, DY_LEDGER_PROGRAM, procedure };
	uint8_t out[2048];
	size_t len = dy_seal_write_call(fixture.seal, &head, proc, args, out,
					sizeof(out));

	ck_assert_uint_gt(len, 0);
	dy_endpoint_send_to(fixture.endpoint, out, len,
			    &fixture.fake.options.listen);
}

static char *path_of(const char *name)
{
	return g_build_filename(fixture.fake.folder, name, NULL);
}

/* Returns the sequence number at the start of a file; 0 if there is no file. */
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

/* Sends a list of count flows and waits until the control has written it. */
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
		fake_control_run(&fixture.fake, 1, NULL);
		if (MAX(sequence_of("flows-0"), sequence_of("flows-1")) >
		    before)
			return;
	}
	ck_abort_msg("the list was not written");
}

static void query_ledger(const char *agent)
{
	dy_ledger_ask_t message = { (char *)agent };

	fixture.answered = 0;
	send_message(DY_LEDGER_ASK, (xdrproc_t)xdr_dy_ledger_ask_t, &message);
	fake_control_run(&fixture.fake, TICKS_MAX, &fixture.answered);
	ck_assert(fixture.answered);
}

/*
 * Guards against lost lists: after a loss of all power, the restarted control
 * is asked which flows were open and has only its disk.
 */
START_TEST(keeps_lists_across_restart)
{
	begin();
	query_ledger("a1");
	ck_assert_uint_eq(fixture.flows, 0);
	keep(1, 3);
	keep(2, 5);
	stop();
	start();
	query_ledger("a1");
	ck_assert_uint_eq(fixture.flows, 5);
	ck_assert_uint_eq(fixture.list, 2);
	query_ledger("a2");
	ck_assert_uint_eq(fixture.flows, 0);
	end();
}
END_TEST

/*
 * Guards against a file that is torn by a power loss: the previous file is
 * read.
 */
START_TEST(reads_previous_file_if_newest_is_torn)
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
	query_ledger("a1");
	ck_assert_uint_eq(fixture.flows, 3);
	ck_assert_uint_eq(fixture.list, 1);
	g_free(bytes);
	g_free(path);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		keeps_lists_across_restart,
		reads_previous_file_if_newest_is_torn,
		NULL,
	};

	return fake_suite_run("control_ledger", tests);
}
