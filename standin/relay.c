/*
 * The plain baseline of the data path: a UDP relay that passes datagrams on
 * without reading them, and an echo server behind it. Two processes of it
 * stand where a balancer and an agent stand.
 *
 *	relay --listen A --to B		pass on to B, and B's answers back
 *	relay --listen B		send each datagram back
 */

#include <stdio.h>

#include "damaskyard/loop.h"

#include "common_args.h"

typedef struct relay {
	dy_endpoint_t *front;
	dy_endpoint_t *back;
	dy_address_t to;
	dy_address_t caller; /* the one that this baseline serves */
	int echo;
} relay_t;

static void on_front(void *context, uint8_t *bytes, size_t len,
		     const struct sockaddr *from, int truncated)
{
	relay_t *relay = context;

	if (relay->echo) {
		dy_endpoint_send(relay->front, bytes, len, from);
		return;
	}
	dy_address_load(&relay->caller, from);
	dy_endpoint_send_to(relay->back, bytes, len, &relay->to);
}

static void on_back(void *context, uint8_t *bytes, size_t len,
		    const struct sockaddr *from, int truncated)
{
	relay_t *relay = context;

	dy_endpoint_send_to(relay->front, bytes, len, &relay->caller);
}

static dy_endpoint_t *bind_to(dy_loop_t *loop, const char *text,
			      dy_endpoint_cb_t *receive, relay_t *relay)
{
	dy_endpoint_t *endpoint;
	dy_address_t address;
	GError *error = NULL;

	if (dy_address_parse(text, &address))
		standin_die("%s is no IP:PORT", text);
	endpoint = dy_endpoint_create(loop, &address, receive, relay, &error);
	if (!endpoint)
		standin_die("%s", error->message);
	return endpoint;
}

int main(int argc, char **argv)
{
	char *listen = "127.0.0.1:0";
	char *to = NULL;
	char text[DY_ADDRESS_TEXT_BYTES];
	relay_t relay = { 0 };
	dy_loop_t *loop;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen,
		  "Where to listen", "IP:PORT" },
		{ "to", 0, 0, G_OPTION_ARG_STRING, &to,
		  "Where to pass datagrams on to; else echo", "IP:PORT" },
		{ NULL }
	};

	standin_parse_options(argc, argv, "Plain UDP relay.", entries);
	loop = dy_loop_create(dy_metrics_create());
	relay.echo = !to;
	relay.front = bind_to(loop, listen, on_front, &relay);
	relay.back = bind_to(loop, "127.0.0.1:0", on_back, &relay);
	if (to && dy_address_parse(to, &relay.to))
		standin_die("--to %s is no IP:PORT", to);
	printf("address=%s\n",
	       dy_address_format(dy_endpoint_address(relay.front), text));
	fflush(stdout);
	dy_loop_run(loop);
	return 0;
}
