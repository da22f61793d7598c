/*
 * One control with its own folder and socket, called as a member and as an
 * operator. test_raft.c tests groups.
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

typedef struct fixture {
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
	dy_address_t member; /* of the endpoint; the same after a restart */
	int sends_address;
	unsigned invited;
} fixture_t;

static void receive(void *context, uint8_t *bytes, size_t len,
		    const struct sockaddr *from, int truncated)
{
	fixture_t *fixture = context;
	dy_sealed_t message;

	(void)from;
	ck_assert(!truncated);
	ck_assert_int_eq(dy_seal_open(fixture->seal, bytes, len, &message),
			 DY_SEAL_OK);
	if (!message.is_reply) {
		ck_assert_uint_eq(message.program, DY_MEMBER_PROGRAM);
		fixture->invited++;
		dy_loop_end(fixture->loop);
		return;
	}
	if (message.xid != fixture->xid || fixture->answered)
		return;
	ck_assert(dy_sealed_load(&message, fixture->proc, fixture->result,
				 fixture->result_size));
	fixture->answered = 1;
	dy_loop_end(fixture->loop);
}

/* Finds an unused loopback port by binding one. */
static dy_address_t find_port(fixture_t *fixture)
{
	dy_endpoint_t *probe;
	dy_address_t address;

	dy_address_parse("127.0.0.1:0", &address);
	probe = dy_endpoint_create(fixture->loop, &address, receive, fixture,
				   NULL);
	address = *dy_endpoint_address(probe);
	dy_endpoint_destroy(probe);
	uv_run(dy_loop_uv(fixture->loop), UV_RUN_NOWAIT);
	return address;
}

static void tick(void *context)
{
	fixture_t *fixture = context;

	if (fixture->out_len)
		dy_endpoint_send_to(fixture->endpoint, fixture->out,
				    fixture->out_len, &fixture->address);
	fixture->out_len = 0;
	if (fixture->answered < 0 && ++fixture->answered == 0)
		dy_loop_end(fixture->loop);
}

static void start(fixture_t *fixture, unsigned peers)
{
	GError *error = NULL;
	unsigned i;

	dy_log_configure(DY_LOG_ERROR, NULL);
	fixture->metrics = dy_metrics_create();
	fixture->loop = dy_loop_create(fixture->metrics);
	fixture->address = find_port(fixture);
	fixture->options.group = 1;
	fixture->options.slot = 1;
	fixture->options.folder = fixture->folder;
	fixture->options.listen = fixture->address;
	fixture->options.peers.count = peers;
	for (i = 1; i <= peers; i++)
		fixture->options.peers.slots[i] = fixture->address;
	fixture->options.secrets.count = 1;
	fixture->options.leases.lease_ms = 60000;
	fixture->options.leases.keep_ms = 60000;
	fixture->options.keys.rotate_ms = 60000;
	fixture->options.keys.distribute_ms = 60000;
	fixture->options.keys.renew_ms = 60000;
	fixture->control = dy_control_create(fixture->loop, fixture->metrics,
					     &fixture->options, &error);
	ck_assert_ptr_nonnull(fixture->control);
	if (!fixture->member.port)
		dy_address_parse("127.0.0.1:0", &fixture->member);
	fixture->endpoint = dy_endpoint_create(fixture->loop, &fixture->member,
					       receive, fixture, NULL);
	fixture->member = *dy_endpoint_address(fixture->endpoint);
	fixture->seal =
		dy_seal_create(&fixture->options.secrets, fixture->metrics);
	dy_loop_every(fixture->loop, 20, tick, fixture);
}

static void stop(fixture_t *fixture)
{
	dy_control_destroy(fixture->control);
	dy_endpoint_destroy(fixture->endpoint);
	dy_loop_destroy(fixture->loop);
	dy_seal_destroy(fixture->seal);
	dy_metrics_destroy(fixture->metrics);
}

static fixture_t *open_fixture(unsigned peers)
{
	fixture_t *fixture = g_new0(fixture_t, 1);

	fixture->folder = g_dir_make_tmp("dy-control-XXXXXX", NULL);
	start(fixture, peers);
	return fixture;
}

static void close_fixture(fixture_t *fixture)
{
	const char *name;
	char *path;
	GDir *dir;

	stop(fixture);
	dir = g_dir_open(fixture->folder, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		path = g_build_filename(fixture->folder, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(fixture->folder);
	g_free(fixture->folder);
	g_free(fixture);
}

static void call(fixture_t *fixture, uint32_t program, uint32_t procedure,
		 xdrproc_t args_proc, void *args, xdrproc_t proc, void *result,
		 size_t size)
{
	dy_seal_header_t head = { dy_seal_next_xid(fixture->seal), program,
				  procedure };

	fixture->xid = head.xid;
	fixture->proc = proc;
	fixture->result = result;
	fixture->result_size = size;
	fixture->answered = 0;
	fixture->out_len =
		dy_seal_write_call(fixture->seal, &head, args_proc, args,
				   fixture->out, sizeof(fixture->out));
	ck_assert_uint_gt(fixture->out_len, 0);
	while (!fixture->answered)
		dy_loop_run(fixture->loop);
}

/* Runs for a few ticks without waiting for an answer. */
static void settle(fixture_t *fixture)
{
	fixture->answered = -5;
	while (fixture->answered < 0)
		dy_loop_run(fixture->loop);
}

/* Sends the first len bytes of out, an invalid call that must get no answer. */
static void send_invalid(fixture_t *fixture, size_t len)
{
	fixture->xid = 0;
	fixture->out_len = len;
	settle(fixture);
}

static dy_poll_result_t poll(fixture_t *fixture, const char *name,
			     uint64_t boot)
{
	dy_poll_result_t result;
	dy_poll_t args = { 0 };

	args.info.kind = DY_MEMBER_BALANCER;
	args.info.name = (char *)name;
	args.info.environment = "trial";
	args.info.domain = "d1";
	if (fixture->sends_address)
		args.info.address = fixture->member;
	args.info.service = "";
	args.info.labels = "";
	args.boot = boot;
	args.state = DY_MEMBER_SERVING;
	call(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_POLL,
	     (xdrproc_t)xdr_dy_poll_t, &args, (xdrproc_t)xdr_dy_poll_result_t,
	     &result, sizeof(result));
	return result;
}

/* Polls until the control serves, as a member does. */
static dy_poll_result_t poll_served(fixture_t *fixture, const char *name)
{
	dy_poll_result_t result = poll(fixture, name, 1);

	while (result.status == DY_STATUS_NOT_LEADER ||
	       result.status == DY_STATUS_UNAVAILABLE) {
		xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
		settle(fixture);
		result = poll(fixture, name, 1);
	}
	return result;
}

static dy_change_result_t submit(fixture_t *fixture, uint8_t request,
				 const char *text)
{
	dy_change_result_t result;
	dy_change_t args = { .kind = DY_CHANGE_SUBMIT };

	args.request[0] = (char)request;
	args.operator_name = "ann";
	args.environment = "trial";
	args.name = "";
	dy_document_digest(text, strlen(text), (uint8_t *)args.digest);
	call(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_CHANGE,
	     (xdrproc_t)xdr_dy_change_t, &args,
	     (xdrproc_t)xdr_dy_change_result_t, &result, sizeof(result));
	return result;
}

static void put(fixture_t *fixture, const char *text)
{
	dy_status_t status;
	dy_put_t args = { .size = (u_int)strlen(text) };

	dy_document_digest(text, strlen(text), (uint8_t *)args.digest);
	args.page.page_val = (char *)text;
	args.page.page_len = args.size;
	call(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_PUT,
	     (xdrproc_t)xdr_dy_put_t, &args, (xdrproc_t)xdr_dy_status_t,
	     &status, sizeof(status));
	ck_assert_int_eq(status, DY_STATUS_OK);
}

static char *inspect(fixture_t *fixture, uint32_t program, uint32_t procedure)
{
	GString *lines = g_string_new(NULL);
	dy_inspect_result_t result;
	dy_inspect_t args = { 0 };
	const char *p;
	int more;

	do {
		call(fixture, program, procedure, (xdrproc_t)xdr_dy_inspect_t,
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

START_TEST(grants_incarnation_and_rejects_second_process_of_name)
{
	fixture_t *fixture = open_fixture(1);
	dy_poll_result_t result = poll_served(fixture, "b1");

	ck_assert_int_eq(result.status, DY_STATUS_OK);
	ck_assert_uint_gt(result.incarnation, 0);
	ck_assert_uint_eq(result.lease_ms, 60000);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	result = poll(fixture, "b1", 2);
	ck_assert_int_eq(result.status, DY_STATUS_NAME_TAKEN);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
	close_fixture(fixture);
}
END_TEST

/*
 * Guards against a lost change: an operator's answer is lost, the control
 * restarts, and the command sends the change again. The retry must not get a
 * conflict with itself, and the accepted document must still be there.
 */
START_TEST(keeps_accepted_change_across_restart)
{
	fixture_t *fixture = open_fixture(1);
	dy_poll_result_t joined = poll_served(fixture, "b1");
	dy_change_result_t result = submit(fixture, 1, DOCUMENT);
	char *lines;

	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	ck_assert_int_eq(result.status, DY_STATUS_NOT_FOUND);
	drop_change(&result);
	put(fixture, DOCUMENT);
	result = submit(fixture, 1, DOCUMENT);
	ck_assert_int_eq(result.status, DY_STATUS_OK);
	drop_change(&result);
	stop(fixture);
	start(fixture, 1);
	joined = poll_served(fixture, "b1");
	ck_assert_uint_gt(joined.deltas.deltas_len, 0);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	result = submit(fixture, 1, DOCUMENT);
	ck_assert_int_eq(result.status, DY_STATUS_OK);
	ck_assert_uint_eq(result.number, 1);
	drop_change(&result);
	put(fixture, "[document]\nwiegh = x\n");
	result = submit(fixture, 2, "[document]\nwiegh = x\n");
	ck_assert_int_eq(result.status, DY_STATUS_MALFORMED);
	drop_change(&result);
	lines = inspect(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_INSPECT);
	ck_assert_ptr_nonnull(strstr(lines, "group leader=1 "));
	ck_assert_ptr_nonnull(
		strstr(lines, "document environment=trial number=1 digest="));
	ck_assert_ptr_nonnull(strstr(lines, "in_force=0/1 tried=0"));
	ck_assert_ptr_nonnull(strstr(lines, "member name=b1 kind=balancer"));
	g_free(lines);
	close_fixture(fixture);
}
END_TEST

/* Guards against a document of several pages that arrives altered. */
START_TEST(fetches_document_in_pages)
{
	char *comment = g_strnfill(9000, 'x');
	char *text = g_strconcat(DOCUMENT "#", comment, "\n", NULL);
	fixture_t *fixture = open_fixture(1);
	dy_poll_result_t joined = poll_served(fixture, "b1");
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
		call(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_PUT,
		     (xdrproc_t)xdr_dy_put_t, &put_args,
		     (xdrproc_t)xdr_dy_status_t, &status, sizeof(status));
		ck_assert_int_eq(status, DY_STATUS_OK);
	}
	changed = submit(fixture, 1, text);
	ck_assert_int_eq(changed.status, DY_STATUS_OK);
	drop_change(&changed);
	do {
		args.offset = (u_int)got->len;
		call(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_FETCH,
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
	close_fixture(fixture);
}
END_TEST

/*
 * A malformed datagram, a forged call, a replay and a body that does not decode
 * are each counted and dropped, and the control continues to serve.
 */
START_TEST(counts_and_drops_invalid_datagrams)
{
	fixture_t *fixture = open_fixture(1);
	dy_poll_result_t joined = poll_served(fixture, "b1");
	dy_put_t args = { 0 };
	dy_seal_header_t head = { 7, DY_CONTROL_PROGRAM, DY_CONTROL_POLL };
	size_t len;

	memset(args.digest, 0xff, sizeof(args.digest));
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	memset(fixture->out, 0xa5, 100);
	send_invalid(fixture, 100);
	ck_assert_uint_eq(dy_metrics_value(fixture->metrics, "seal_malformed"),
			  1);
	len = dy_seal_write_call(fixture->seal, &head, (xdrproc_t)xdr_dy_put_t,
				 &args, fixture->out, sizeof(fixture->out));
	send_invalid(fixture, len);
	ck_assert_uint_eq(
		dy_metrics_value(fixture->metrics, "control_calls_malformed"),
		1);
	send_invalid(fixture, len);
	ck_assert_uint_eq(dy_metrics_value(fixture->metrics, "seal_replayed"),
			  1);
	fixture->out[len - 1] ^= 1;
	send_invalid(fixture, len);
	ck_assert_uint_eq(dy_metrics_value(fixture->metrics, "seal_forged"), 1);
	joined = poll(fixture, "b1", 1);
	ck_assert_int_eq(joined.status, DY_STATUS_OK);
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	close_fixture(fixture);
}
END_TEST

/*
 * Guards against a split group: one control of three starts alone, bootstraps a
 * group, and accepts members and changes, while the other two bootstrap
 * another.
 */
START_TEST(single_control_of_three_does_not_serve)
{
	fixture_t *fixture = open_fixture(3);
	dy_poll_result_t result;
	int i;

	for (i = 0; i < 5; i++) {
		result = poll(fixture, "b1", 1);
		ck_assert_int_eq(result.status, DY_STATUS_NOT_LEADER);
		xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&result);
		settle(fixture);
	}
	ck_assert_uint_eq(dy_metrics_value(fixture->metrics, "group_founded"),
			  0);
	close_fixture(fixture);
}
END_TEST

/*
 * Guards against a slow start after a loss of all power: the log contains the
 * members, and a leader that waits until each has found it by retrying delays
 * callers.
 */
START_TEST(leader_invites_members_of_log_after_restart)
{
	fixture_t *fixture = open_fixture(1);
	dy_poll_result_t joined;

	fixture->sends_address = 1;
	joined = poll_served(fixture, "b1");
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	ck_assert_uint_eq(fixture->invited, 0);
	stop(fixture);
	start(fixture, 1);
	while (!fixture->invited)
		dy_loop_run(fixture->loop);
	ck_assert_uint_eq(
		dy_metrics_value(fixture->metrics, "control_invitations"), 1);
	close_fixture(fixture);
}
END_TEST

static dy_image_result_t request_image(fixture_t *fixture)
{
	dy_image_ask_t args = { "trial" };
	dy_image_result_t result;

	call(fixture, DY_CONTROL_PROGRAM, DY_CONTROL_IMAGE,
	     (xdrproc_t)xdr_dy_image_ask_t, &args,
	     (xdrproc_t)xdr_dy_image_result_t, &result, sizeof(result));
	return result;
}

/*
 * A control without a leader cannot tell how much of its log is committed. A
 * member that started from its image would get an old state and all later
 * deltas.
 */
START_TEST(refuses_image_until_leader_is_known)
{
	fixture_t *fixture = open_fixture(3);
	dy_image_result_t result = request_image(fixture);
	dy_poll_result_t joined;

	ck_assert_int_eq(result.status, DY_STATUS_UNAVAILABLE);
	xdr_free((xdrproc_t)xdr_dy_image_result_t, (char *)&result);
	close_fixture(fixture);
	fixture = open_fixture(1);
	joined = poll_served(fixture, "b1");
	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	result = request_image(fixture);
	ck_assert_int_eq(result.status, DY_STATUS_OK);
	ck_assert_uint_ge(result.info.number, joined.incarnation);
	ck_assert_uint_gt(result.info.size, 0);
	xdr_free((xdrproc_t)xdr_dy_image_result_t, (char *)&result);
	close_fixture(fixture);
}
END_TEST

/* Every counter can be read remotely, page by page. */
START_TEST(returns_counters_in_pages)
{
	fixture_t *fixture = open_fixture(1);
	char *lines = inspect(fixture, DY_STATUS_PROGRAM, DY_STATUS_COUNTERS);

	ck_assert_ptr_nonnull(strstr(lines, "counter name=stalls value=0\n"));
	ck_assert_ptr_nonnull(strstr(lines, "counter name=key_retired "));
	g_free(lines);
	close_fixture(fixture);
}
END_TEST

/* The planned stop ends the loop and reports that it was no failure. */
START_TEST(planned_stop_ends_loop)
{
	fixture_t *fixture = open_fixture(1);
	dy_poll_result_t joined = poll_served(fixture, "b1");

	xdr_free((xdrproc_t)xdr_dy_poll_result_t, (char *)&joined);
	dy_control_stop(fixture->control);
	dy_loop_run(fixture->loop);
	ck_assert_int_eq(dy_control_exit_reason(fixture->control),
			 DY_CONTROL_STOPPED);
	close_fixture(fixture);
}
END_TEST

/*
 * A page ends before the line that does not fit; that line starts the next
 * page.
 */
START_TEST(status_pages_contain_whole_lines)
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
		grants_incarnation_and_rejects_second_process_of_name,
		keeps_accepted_change_across_restart,
		fetches_document_in_pages,
		counts_and_drops_invalid_datagrams,
		single_control_of_three_does_not_serve,
		leader_invites_members_of_log_after_restart,
		refuses_image_until_leader_is_known,
		returns_counters_in_pages,
		planned_stop_ends_loop,
		status_pages_contain_whole_lines,
		NULL,
	};

	return fake_suite_run("control", tests);
}
