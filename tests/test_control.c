/*
 * One control over a folder and a socket of its own, spoken to as a member
 * and as an operator. Groups are tried in test_raft.c.
 */

#include "damaskyard/control.h"

#include <stdlib.h>
#include <string.h>

#include <glib/gstdio.h>

#include "damaskyard/log.h"
#include "damaskyard/seal.h"
#include "damaskyard/status_service.h"
#include "damaskyard/document.h"
#include "fake_suite.h"

#define DOCUMENT                                         \
	"[document]\nweigh = imbalance\n"                \
	"[service readings]\naddress = 10.20.0.1:4000\n" \
	"program = 0x2A000001\nversion = 1\nidempotent = 2\n"

typedef struct bench {
	char *folder;
	dy_metrics_t *metrics;
	dy_loop_t *loop;
	dy_control_options_t options;
	dy_control_t *control;
	dy_address_t address;
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	uint8_t out[8192];
	size_t out_len;
	uint32_t xid;
	xdrproc_t proc;
	void *result;
	size_t result_size;
	int answered;
	dy_address_t member; /* of the endpoint, the same after a restart */
	int tells_address;
	unsigned invited;
} bench_t;

static void receive(void *context, uint8_t *bytes, size_t len,
		    const struct sockaddr *from, int truncated)
{
	bench_t *bench = context;
	dy_sealed_t message;

	(void)from;
	ck_assert(!truncated);
	ck_assert_int_eq(dy_seal_open(bench->seal, bytes, len, &message),
			 DY_SEAL_OK);
	if (!message.is_reply) {
		ck_assert_uint_eq(message.program, DY_MEMBER_PROGRAM);
		bench->invited++;
		dy_loop_end(bench->loop);
		return;
	}
	if (message.xid != bench->xid || bench->answered)
		return;
	ck_assert(dy_sealed_load(&message, bench->proc, bench->result,
				 bench->result_size));
	bench->answered = 1;
	dy_loop_end(bench->loop);
}

/* A free port of the loopback, found by binding one. */
static dy_address_t find_port(bench_t *bench)
{
	dy_endpoint_t *probe;
	dy_address_t address;

	dy_address_parse("127.0.0.1:0", &address);
	probe = dy_endpoint_create(bench->loop, &address, receive, bench, NULL);
	address = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	uv_run(dy_loop_uv(bench->loop), UV_RUN_NOWAIT);
	return address;
}

static void tick(void *context)
{
	bench_t *bench = context;

	if (bench->out_len)
		dy_endpoint_send_to(bench->endpoint, bench->out, bench->out_len,
				    &bench->address);
	bench->out_len = 0;
	if (bench->answered < 0 && ++bench->answered == 0)
		dy_loop_end(bench->loop);
}

static void start(bench_t *bench, unsigned peers)
{
	GError *error = NULL;
	unsigned i;

	dy_log_configure(DY_LOG_ERROR, NULL);
	bench->metrics = dy_metrics_create();
	bench->loop = dy_loop_create(bench->metrics);
	bench->address = find_port(bench);
	bench->options.group = 1;
	bench->options.slot = 1;
	bench->options.folder = bench->folder;
	bench->options.listen = bench->address;
	bench->options.peers.count = peers;
	for (i = 1; i <= peers; i++)
		bench->options.peers.slots[i] = bench->address;
	bench->options.secrets.count = 1;
	bench->options.leases.lease_ms = 60000;
	bench->options.leases.keep_ms = 60000;
	bench->options.keys.rotate_ms = 60000;
	bench->options.keys.distribute_ms = 60000;
	bench->options.keys.renew_ms = 60000;
	bench->control = dy_control_create(bench->loop, bench->metrics,
					   &bench->options, &error);
	ck_assert_ptr_nonnull(bench->control);
	if (!bench->member.port)
		dy_address_parse("127.0.0.1:0", &bench->member);
	bench->endpoint = dy_endpoint_create(bench->loop, &bench->member,
					     receive, bench, NULL);
	bench->member = *dy_endpoint_address(bench->endpoint);
	bench->seal = dy_seal_create(&bench->options.secrets, bench->metrics);
	dy_loop_every(bench->loop, 20, tick, bench);
}

static void stop(bench_t *bench)
{
	dy_control_destroy(bench->control);
	dy_endpoint_destroy(bench->endpoint);
	dy_loop_destroy(bench->loop);
	dy_seal_destroy(bench->seal);
	dy_metrics_destroy(bench->metrics);
}

static bench_t *open_bench(unsigned peers)
{
	bench_t *bench = g_new0(bench_t, 1);

	bench->folder = g_dir_make_tmp("dy-control-XXXXXX", NULL);
	start(bench, peers);
	return bench;
}

static void close_bench(bench_t *bench)
{
	const char *name;
	char *path;
	GDir *dir;

	stop(bench);
	dir = g_dir_open(bench->folder, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(bench->folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(bench->folder);
	g_free(bench->folder);
	g_free(bench);
}

static void call(bench_t *bench, uint32_t program, uint32_t procedure,
		 xdrproc_t args_proc, void *args, xdrproc_t proc, void *result,
		 size_t size)
{
	dy_seal_header_t head = { dy_seal_next_xid(bench->seal), program,
				  procedure };

	bench->xid = head.xid;
	bench->proc = proc;
	bench->result = result;
	bench->result_size = size;
	bench->answered = 0;
	bench->out_len = dy_seal_write_call(bench->seal, &head, args_proc, args,
					    bench->out, sizeof(bench->out));
	ck_assert_uint_gt(bench->out_len, 0);
	while (!bench->answered)
		dy_loop_run(bench->loop);
}

/* Run for a few ticks without waiting for an answer. */
static void settle(bench_t *bench)
{
	bench->answered = -5;
	while (bench->answered < 0)
		dy_loop_run(bench->loop);
}

/* Send bytes that are no good call; nothing may come back. */
static void send_bad(bench_t *bench, size_t len)
{
	bench->xid = 0;
	bench->out_len = len;
	settle(bench);
}

static dy_poll_result_t poll(bench_t *bench, const char *name, uint64_t boot)
{
	dy_poll_result_t result;
	dy_poll_t args = { 0 };

	args.info.kind = DY_MEMBER_BALANCER;
	args.info.name = (char *)name;
	args.info.environment = "trial";
	args.info.domain = "d1";
	if (bench->tells_address)
		args.info.address = bench->member;
	args.info.service = "";
	args.info.labels = "";
	args.boot = boot;
	args.state = DY_MEMBER_SERVING;
	call(bench, DY_CONTROL_PROGRAM, DY_CONTROL_POLL,
	     (xdrproc_t)xdr_dy_poll_t, &args, (xdrproc_t)xdr_dy_poll_result_t,
	     &result, sizeof(result));
	return result;
}

/* Polls until the control serves, as a member would. */
static dy_poll_result_t poll_served(bench_t *bench, const char *name)
{
	dy_poll_result_t result = poll(bench, name, 1);

	while (result.status == DY_STATUS_NOT_LEADER ||
	       result.status == DY_STATUS_UNAVAILABLE) {
		xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
		settle(bench);
		result = poll(bench, name, 1);
	}
	return result;
}

static dy_change_result_t submit(bench_t *bench, uint8_t request,
				 const char *text)
{
	dy_change_result_t result;
	dy_change_t args = { .kind = DY_CHANGE_SUBMIT };

	args.request[0] = (char)request;
	args.operator_name = "ann";
	args.environment = "trial";
	args.name = "";
	dy_document_digest(text, strlen(text), (uint8_t *)args.digest);
	call(bench, DY_CONTROL_PROGRAM, DY_CONTROL_CHANGE,
	     (xdrproc_t)xdr_dy_change_t, &args,
	     (xdrproc_t)xdr_dy_change_result_t, &result, sizeof(result));
	return result;
}

static void put(bench_t *bench, const char *text)
{
	dy_status_t status;
	dy_put_t args = { .size = (u_int)strlen(text) };

	dy_document_digest(text, strlen(text), (uint8_t *)args.digest);
	args.page.page_val = (char *)text;
	args.page.page_len = args.size;
	call(bench, DY_CONTROL_PROGRAM, DY_CONTROL_PUT, (xdrproc_t)xdr_dy_put_t,
	     &args, (xdrproc_t)xdr_dy_status_t, &status, sizeof(status));
	ck_assert_int_eq(status, DY_STATUS_OK);
}

static char *inspect(bench_t *bench, uint32_t program, uint32_t procedure)
{
	GString *lines = g_string_new(NULL);
	dy_inspect_result_t result;
	dy_inspect_t args = { 0 };
	const char *p;
	int more;

	do {
		call(bench, program, procedure, (xdrproc_t)xdr_dy_inspect_t,
		     &args, (xdrproc_t)xdr_dy_inspect_result_t, &result,
		     sizeof(result));
		ck_assert_int_eq(result.status, DY_STATUS_OK);
		g_string_append(lines, result.lines);
		for (p = result.lines; *p; p++)
			args.from += *p == '\n';
		more = result.more;
		xdr_free((xdrproc_t)xdr_dy_inspect_result_t, (char *)&result);
	} while (more);
	return g_string_free(lines, FALSE);
}

static void drop_change(dy_change_result_t *result)
{
	xdr_free((xdrproc_t)xdr_dy_change_result_t, (char *)result);
}

START_TEST(member_is_granted_its_place_and_the_keys)
{
	bench_t *bench = open_bench(1);
	dy_poll_result_t result = poll_served(bench, "b1");

	ck_assert_int_eq(result.status, DY_STATUS_OK);
	ck_assert_uint_gt(result.incarnation, 0);
	ck_assert_uint_eq(result.lease_ms, 60000);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	result = poll(bench, "b1", 2);
	ck_assert_int_eq(result.status, DY_STATUS_NAME_TAKEN);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	close_bench(bench);
}
END_TEST

/*
 * An operator's answer is lost, the control is restarted, and the command
 * sends the change again. It is told of a conflict with itself, or the
 * document that it was told is accepted is gone.
 */
START_TEST(accepted_change_outlives_a_restart)
{
	bench_t *bench = open_bench(1);
	dy_poll_result_t joined = poll_served(bench, "b1");
	dy_change_result_t result = submit(bench, 1, DOCUMENT);
	char *lines;

	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	ck_assert_int_eq(result.status, DY_STATUS_NOT_FOUND);
	drop_change(&result);
	put(bench, DOCUMENT);
	result = submit(bench, 1, DOCUMENT);
	ck_assert_int_eq(result.status, DY_STATUS_OK);
	drop_change(&result);
	stop(bench);
	start(bench, 1);
	joined = poll_served(bench, "b1");
	ck_assert_uint_gt(joined.deltas.deltas_len, 0);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	result = submit(bench, 1, DOCUMENT);
	ck_assert_int_eq(result.status, DY_STATUS_OK);
	ck_assert_uint_eq(result.number, 1);
	drop_change(&result);
	put(bench, "[document]\nwiegh = x\n");
	result = submit(bench, 2, "[document]\nwiegh = x\n");
	ck_assert_int_eq(result.status, DY_STATUS_MALFORMED);
	drop_change(&result);
	lines = inspect(bench, DY_CONTROL_PROGRAM, DY_CONTROL_INSPECT);
	ck_assert_ptr_nonnull(strstr(lines, "group leader=1 "));
	ck_assert_ptr_nonnull(
		strstr(lines, "document environment=trial number=1 digest="));
	ck_assert_ptr_nonnull(strstr(lines, "in_force=0/1 tried=0"));
	ck_assert_ptr_nonnull(strstr(lines, "member name=b1 kind=balancer"));
	g_free(lines);
	close_bench(bench);
}
END_TEST

/* A document of several pages reaches a member as it was put. */
START_TEST(documents_are_fetched_in_pages)
{
	char *comment = g_strnfill(9000, 'x');
	char *text = g_strconcat(DOCUMENT "#", comment, "\n", NULL);
	bench_t *bench = open_bench(1);
	dy_poll_result_t joined = poll_served(bench, "b1");
	dy_put_t put_args = { .size = (u_int)strlen(text) };
	dy_fetch_t args = { .environment = "trial" };
	dy_change_result_t changed;
	dy_fetch_result_t result;
	GString *got = g_string_new(NULL);
	dy_status_t status;

	dy_document_digest(text, strlen(text), (uint8_t *)args.digest);
	memcpy(put_args.digest, args.digest, DY_DIGEST_BYTES);
	for (; put_args.offset < put_args.size; put_args.offset += 4096) {
		put_args.page.page_val = text + put_args.offset;
		put_args.page.page_len =
			MIN(4096, put_args.size - put_args.offset);
		call(bench, DY_CONTROL_PROGRAM, DY_CONTROL_PUT,
		     (xdrproc_t)xdr_dy_put_t, &put_args,
		     (xdrproc_t)xdr_dy_status_t, &status, sizeof(status));
		ck_assert_int_eq(status, DY_STATUS_OK);
	}
	changed = submit(bench, 1, text);
	ck_assert_int_eq(changed.status, DY_STATUS_OK);
	drop_change(&changed);
	do {
		args.offset = (u_int)got->len;
		call(bench, DY_CONTROL_PROGRAM, DY_CONTROL_FETCH,
		     (xdrproc_t)xdr_dy_fetch_t, &args,
		     (xdrproc_t)xdr_dy_fetch_result_t, &result, sizeof(result));
		ck_assert_int_eq(result.status, DY_STATUS_OK);
		g_string_append_len(got, result.page.page_val,
				    result.page.page_len);
		xdr_free((xdrproc_t)xdr_dy_fetch_result_t, (char *)&result);
	} while (got->len < strlen(text));
	ck_assert_str_eq(got->str, text);
	g_string_free(got, TRUE);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	g_free(comment);
	g_free(text);
	close_bench(bench);
}
END_TEST

/*
 * Noise, a forged call, a replay and a body that does not decode each are
 * counted and dropped, and the control serves on.
 */
START_TEST(bad_datagrams_are_counted_and_dropped)
{
	bench_t *bench = open_bench(1);
	dy_poll_result_t joined = poll_served(bench, "b1");
	dy_put_t args = { 0 };
	dy_seal_header_t head = { 7, DY_CONTROL_PROGRAM, DY_CONTROL_POLL };
	size_t len;

	memset(args.digest, 0xff, sizeof(args.digest));
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	memset(bench->out, 0xa5, 100);
	send_bad(bench, 100);
	ck_assert_uint_eq(dy_metrics_value(bench->metrics, "seal_malformed"),
			  1);
	len = dy_seal_write_call(bench->seal, &head, (xdrproc_t)xdr_dy_put_t,
				 &args, bench->out, sizeof(bench->out));
	send_bad(bench, len);
	ck_assert_uint_eq(
		dy_metrics_value(bench->metrics, "control_calls_malformed"), 1);
	send_bad(bench, len);
	ck_assert_uint_eq(dy_metrics_value(bench->metrics, "seal_replayed"), 1);
	bench->out[len - 1] ^= 1;
	send_bad(bench, len);
	ck_assert_uint_eq(dy_metrics_value(bench->metrics, "seal_forged"), 1);
	joined = poll(bench, "b1", 1);
	ck_assert_int_eq(joined.status, DY_STATUS_OK);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	close_bench(bench);
}
END_TEST

/*
 * One control of three comes up alone. It founds a group of its own, takes
 * members and changes in, and the other two found another.
 */
START_TEST(one_of_three_alone_serves_nobody)
{
	bench_t *bench = open_bench(3);
	dy_poll_result_t result;
	int i;

	for (i = 0; i < 5; i++) {
		result = poll(bench, "b1", 1);
		ck_assert_int_eq(result.status, DY_STATUS_NOT_LEADER);
		xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
		settle(bench);
	}
	ck_assert_uint_eq(dy_metrics_value(bench->metrics, "group_founded"), 0);
	close_bench(bench);
}
END_TEST

/*
 * Power is back everywhere. The log names the members, and a leader that waits
 * until each has found it by asking around lets callers wait too.
 */
START_TEST(leader_invites_the_members_it_finds)
{
	bench_t *bench = open_bench(1);
	dy_poll_result_t joined;

	bench->tells_address = 1;
	joined = poll_served(bench, "b1");
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	ck_assert_uint_eq(bench->invited, 0);
	stop(bench);
	start(bench, 1);
	while (!bench->invited)
		dy_loop_run(bench->loop);
	ck_assert_uint_eq(
		dy_metrics_value(bench->metrics, "control_invitations"), 1);
	close_bench(bench);
}
END_TEST

static dy_image_result_t ask_image(bench_t *bench)
{
	dy_image_ask_t ask = { "trial" };
	dy_image_result_t result;

	call(bench, DY_CONTROL_PROGRAM, DY_CONTROL_IMAGE,
	     (xdrproc_t)xdr_dy_image_ask_t, &ask,
	     (xdrproc_t)xdr_dy_image_result_t, &result, sizeof(result));
	return result;
}

/*
 * A control that knows of no leader does not know what of its log was
 * acknowledged: a member that started from its image would be sent an old state
 * and all that came since.
 */
START_TEST(image_is_given_once_the_state_is_known)
{
	bench_t *bench = open_bench(3);
	dy_image_result_t result = ask_image(bench);
	dy_poll_result_t joined;

	ck_assert_int_eq(result.status, DY_STATUS_UNAVAILABLE);
	xdr_free((xdrproc_t)xdr_dy_image_result_t, (char *)&result);
	close_bench(bench);
	bench = open_bench(1);
	joined = poll_served(bench, "b1");
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	result = ask_image(bench);
	ck_assert_int_eq(result.status, DY_STATUS_OK);
	ck_assert_uint_ge(result.info.number, joined.incarnation);
	ck_assert_uint_gt(result.info.size, 0);
	xdr_free((xdrproc_t)xdr_dy_image_result_t, (char *)&result);
	close_bench(bench);
}
END_TEST

/* Every counter can be read from outside, page by page. */
START_TEST(counters_are_paged)
{
	bench_t *bench = open_bench(1);
	char *lines = inspect(bench, DY_STATUS_PROGRAM, DY_STATUS_COUNTERS);

	ck_assert_ptr_nonnull(strstr(lines, "counter name=stalls value=0\n"));
	ck_assert_ptr_nonnull(strstr(lines, "counter name=key_retired "));
	g_free(lines);
	close_bench(bench);
}
END_TEST

/* The planned stop ends the loop, and says that it was no failure. */
START_TEST(planned_stop_ends_the_loop)
{
	bench_t *bench = open_bench(1);
	dy_poll_result_t joined = poll_served(bench, "b1");

	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	dy_control_stop(bench->control);
	dy_loop_run(bench->loop);
	ck_assert_int_eq(dy_control_exit_reason(bench->control),
			 DY_CONTROL_STOPPED);
	close_bench(bench);
}
END_TEST

/* A page ends before the line that does not fit, which begins the next. */
START_TEST(pages_hold_whole_lines)
{
	dy_status_page_t page;
	char line[1001];
	unsigned from = 0;
	unsigned pages = 0;
	unsigned i;

	memset(line, 'x', 1000);
	line[1000] = '\0';
	do {
		dy_status_page_init(&page, from);
		for (i = 0; i < 10; i++)
			if (dy_status_page_begin_line(&page))
				dy_status_page_add(&page, "%s", line);
		ck_assert_uint_eq(page.used % 1001, 0);
		from += (unsigned)page.used / 1001;
		pages++;
	} while (page.more);
	ck_assert_uint_eq(from, 10);
	ck_assert_uint_eq(pages, 3);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		member_is_granted_its_place_and_the_keys,
		accepted_change_outlives_a_restart,
		documents_are_fetched_in_pages,
		bad_datagrams_are_counted_and_dropped,
		one_of_three_alone_serves_nobody,
		leader_invites_the_members_it_finds,
		image_is_given_once_the_state_is_known,
		counters_are_paged,
		planned_stop_ends_the_loop,
		pages_hold_whole_lines,
		NULL,
	};

	return fake_suite_run("control", tests);
}
