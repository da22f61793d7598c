#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval between two changes, and between two reads. */
#define CHANGE_INTERVAL_MS 700 /* unless operator_set_interval() is called */
#define READ_INTERVAL_MS 300

static struct {
	unsigned version;      /* the last one sent */
	unsigned acked;	       /* the highest one acknowledged */
	unsigned read_version; /* version read during recovery */
	int held;	       /* the first change waits */
	int one_more;	       /* send one change during recovery */
	uint64_t interval_ms;  /* between two changes */
	int asked;	       /* control that the last change went to */
	int acknowledged_by;
	int change_in_flight;
	char *body;
	int tries;
	char redirect[64]; /* HOST:PORT of a redirect, or empty */
	uint64_t last_change_ms;
	uint64_t last_read_ms;
	unsigned acked_at_read; /* acked when the read was sent */
	int read_in_flight;
	int read_in_recovery; /* soak.recovering when it was sent */
} operator_state;

/* What callers call; see callers_create(). */
static const struct {
	int service;
	int unsafe;
} entries[] = { { 0, 0 }, { 0, 1 }, { 1, 0 } };

static char *make_body(unsigned version)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < G_N_ELEMENTS(entries); i++)
		g_string_append_printf(
			text,
			"{\"name\":\"r%u\",\"host\":\"198.18.0.%d\","
			"\"pathPrefix\":\"/%d/\",\"routeType\":\"%s\","
			"\"timeoutMs\":%u,\"service\":\"%s\"},",
			i, entries[i].service + 1,
			entries[i].unsafe ? ENTRY_PORT_UNSAFE : ENTRY_PORT,
			entries[i].unsafe ? "unsafe" : "safe", 1000 + version,
			service_names[entries[i].service]);
	for (i = 0; i < (soak.shape == SHAPE_REPLACED ? version % 3
						      : 20 + version % 30);
	     i++)
		g_string_append_printf(
			text,
			"{\"name\":\"x%u\",\"host\":\"198.18.9.%u\","
			"\"pathPrefix\":\"/%u/\",\"timeoutMs\":9,"
			"\"service\":\"%s\"},",
			i, i, 100 + version % 7, service_names[0]);
	text->str[text->len - 1] = ']';
	g_string_append_printf(text,
			       ",\"services\":[{\"name\":\"%s\"},"
			       "{\"name\":\"%s\"}],\"limits\":{}}",
			       service_names[0], service_names[1]);
	return g_string_free(text, FALSE);
}

static void choose_control(struct sockaddr_in *to)
{
	soak_address(NET_CONTROL, process_draw_control()->number, PORT_CONTROL,
		     to);
}

/* In a storm the operator goes to the leader, and follows its redirects. */
static int in_storm(void)
{
	return operator_state.interval_ms < CHANGE_INTERVAL_MS;
}

static void send_change(void);

static void on_changed(void *context, int status, const char *body,
		       const char *location)
{
	unsigned version = GPOINTER_TO_UINT(context);

	(void)body;
	operator_state.change_in_flight = 0;
	if (status == 200) {
		/* Simulate the loss of one acknowledgement in four: resend. */
		if (g_rand_int_range(soak.rand, 0, 4)) {
			operator_state.acked =
				MAX(operator_state.acked, version);
			soak.configurations++;
			operator_state.acknowledged_by = operator_state.asked;
			if (soak.shape == SHAPE_REPLACED)
				replacements_acknowledged();
			operator_tick();
		} else {
			send_change();
		}
		return;
	}
	if (status >= 400 && status < 500)
		soak_report_violation("a valid configuration was refused",
				      "version=%u status=%d", version, status);
	g_strlcpy(operator_state.redirect, location ? location : "",
		  sizeof(operator_state.redirect));
	if (++operator_state.tries < 40)
		operator_state.last_change_ms = soak_now_ms();
	if (location && in_storm())
		send_change();
}

static void send_change(void)
{
	struct sockaddr_in to;
	char *colon;

	if (in_storm() && !operator_state.tries &&
	    operator_state.acknowledged_by)
		soak_address(NET_CONTROL, operator_state.acknowledged_by,
			     PORT_CONTROL, &to);
	else
		choose_control(&to);
	colon = strchr(operator_state.redirect, ':');
	if (colon) {
		*colon = '\0';
		uv_ip4_addr(operator_state.redirect, atoi(colon + 1), &to);
		operator_state.redirect[0] = '\0';
	}
	operator_state.asked = (int)(ntohl(to.sin_addr.s_addr) & 0xff);
	operator_state.change_in_flight = 1;
	operator_state.last_change_ms = soak_now_ms();
	http_call(&to, "PUT", "/-/config", operator_state.body, on_changed,
		  GUINT_TO_POINTER(operator_state.version));
}

static void on_read(void *context, int status, const char *body,
		    const char *location)
{
	unsigned version;

	(void)context;
	(void)location;
	operator_state.read_in_flight = 0;
	if (status != 200)
		return;
	version = (unsigned)strtoul(body + strlen("{\"version\":"), NULL, 10);
	if (version < operator_state.acked_at_read)
		soak_report_violation("an older configuration was read",
				      "version=%u acknowledged=%u", version,
				      operator_state.acked_at_read);
	if (version == operator_state.version && operator_state.body &&
	    strcmp(body, operator_state.body) != 0)
		soak_report_violation("another content was read", "version=%u",
				      version);
	if (operator_state.read_in_recovery && version >= operator_state.acked)
		operator_state.read_version = version;
}

static void read_configuration(void)
{
	struct sockaddr_in to;

	choose_control(&to);
	operator_state.read_in_flight = 1;
	operator_state.read_in_recovery = soak.recovering;
	operator_state.last_read_ms = soak_now_ms();
	operator_state.acked_at_read = operator_state.acked;
	http_call(&to, "GET", "/-/config", NULL, on_read, NULL);
}

void operator_tick(void)
{
	uint64_t now = soak_now_ms();
	int acknowledged = operator_state.acked >= operator_state.version;

	if (!operator_state.read_in_flight &&
	    now - operator_state.last_read_ms >= READ_INTERVAL_MS)
		read_configuration();
	if (operator_state.change_in_flight || operator_state.held)
		return;
	if (!acknowledged && now - operator_state.last_change_ms >= 100) {
		send_change();
		return;
	}
	if (!acknowledged || (soak.recovering && !operator_state.one_more) ||
	    now - operator_state.last_change_ms < operator_state.interval_ms)
		return;
	operator_state.one_more = 0;
	g_free(operator_state.body);
	operator_state.version += (unsigned)g_rand_int_range(soak.rand, 1, 5);
	operator_state.body = make_body(operator_state.version);
	operator_state.tries = 0;
	send_change();
}

void operator_create(void)
{
	operator_state.version = 1;
	operator_state.interval_ms = CHANGE_INTERVAL_MS;
	operator_state.body = make_body(1);
	if (!operator_state.held)
		send_change();
}

void operator_hold(void)
{
	operator_state.held = 1;
}

void operator_release(void)
{
	operator_state.held = 0;
}

void operator_set_interval(uint64_t interval_ms)
{
	operator_state.interval_ms =
		interval_ms ? interval_ms : CHANGE_INTERVAL_MS;
}

void operator_send_one_more(void)
{
	operator_state.one_more = 1;
}

int operator_acknowledged_by(void)
{
	return operator_state.acknowledged_by;
}

unsigned operator_acknowledged(void)
{
	return operator_state.acked;
}

int operator_ready(void)
{
	return operator_state.acked > 0;
}

int operator_has_read_back(void)
{
	return operator_state.read_version >= operator_state.acked &&
	       operator_state.read_version > 0;
}
