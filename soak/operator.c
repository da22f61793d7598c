#include "soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Between two changes, and two reads, in ms. */
#define CHANGE_MS 700
#define READ_MS 300

static struct {
	unsigned version; /* the last that was sent */
	unsigned acked;	  /* the highest that was acknowledged */
	unsigned settled; /* read back at the end */
	int sending;
	char *body;
	int tries;
	char leader[64]; /* of a redirect */
	uint64_t sent_ms;
	uint64_t read_ms;
	unsigned reading_acked; /* acknowledged when a read was sent */
	int reading;
} operator;

static char *make_body(unsigned version)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	g_string_printf(text, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < 2; i++)
		g_string_append_printf(
			text,
			"{\"name\":\"r%u\",\"host\":\"198.18.0.%u\","
			"\"pathPrefix\":\"/%d/\",\"timeoutMs\":%u,"
			"\"service\":\"%s\"},",
			i, i + 1, ENTRY_PORT, 1000 + version, service_names[i]);
	for (i = 0; i < 20 + version % 30; i++)
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

static void any_control(struct sockaddr_in *to)
{
	soak_address(NET_CONTROL, g_rand_int_range(soak.rand, 1, CONTROLS + 1),
		     PORT_CONTROL, to);
}

static void send_change(void);

static void on_changed(void *context, int status, const char *body,
		       const char *location)
{
	unsigned version = GPOINTER_TO_UINT(context);

	(void)body;
	operator.sending = 0;
	if (status == 200) {
		/* Sometimes the acknowledgement is lost, and it is resent. */
		if (g_rand_int_range(soak.rand, 0, 4)) {
			operator.acked = MAX(operator.acked, version);
			soak.configurations++;
		} else {
			send_change();
		}
		return;
	}
	if (status >= 400 && status < 500)
		soak_break("a valid configuration was refused",
			   "version=%u status=%d", version, status);
	g_strlcpy(operator.leader, location ? location : "",
		  sizeof(operator.leader));
	if (++operator.tries<40)
		operator.sent_ms = soak_now_ms();
}

static void send_change(void)
{
	struct sockaddr_in to;
	char *colon;

	any_control(&to);
	colon = strchr(operator.leader, ':');
	if (colon) {
		*colon = '\0';
		uv_ip4_addr(operator.leader, atoi(colon + 1), &to);
		operator.leader[0] = '\0';
	}
	operator.sending = 1;
	operator.sent_ms = soak_now_ms();
	http_call(&to, "PUT", "/-/config", operator.body, on_changed,
		  GUINT_TO_POINTER(operator.version));
}

static void on_read(void *context, int status, const char *body,
		    const char *location)
{
	unsigned version;

	(void)context;
	(void)location;
	operator.reading = 0;
	if (status != 200)
		return;
	version = (unsigned)strtoul(body + strlen("{\"version\":"), NULL, 10);
	if (version < operator.reading_acked)
		soak_break("an older configuration was read",
			   "version=%u acknowledged=%u",
			   version, operator.reading_acked);
	if (version ==
	    operator.version && operator.body && strcmp(body, operator.body) !=
	    0)
		soak_break("another content was read", "version=%u", version);
	if (soak.quiet && version >= operator.acked)
		operator.settled = version;
}

static void read_back(void)
{
	struct sockaddr_in to;

	any_control(&to);
	operator.reading = 1;
	operator.read_ms = soak_now_ms();
	operator.reading_acked = operator.acked;
	http_call(&to, "GET", "/-/config", NULL, on_read, NULL);
}

void operator_tick(void)
{
	uint64_t now = soak_now_ms();
	int decided = operator.acked >= operator.version;

	if (!operator.reading && now - operator.read_ms >= READ_MS)
		read_back();
	if (operator.sending)
		return;
	if (!decided && now - operator.sent_ms >= 100) {
		send_change();
		return;
	}
	if (!decided || soak.quiet || now - operator.sent_ms<CHANGE_MS)
		return;
	g_free(operator.body);
	operator.version +=(unsigned) g_rand_int_range(soak.rand, 1, 5);
	operator.body = make_body(operator.version);
	operator.tries = 0;
	send_change();
}

void operator_create(void)
{
	operator.version = 1;
	operator.body = make_body(1);
	send_change();
}

int operator_ready(void)
{
	return operator.acked> 0;
}

int operator_settled(void)
{
	return operator.settled >= operator.acked && operator.settled> 0;
}
