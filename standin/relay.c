/*
 * Baseline for measurements of the data path: a UDP relay that forwards
 * datagrams without parsing them, and an echo server behind it. One process
 * of each kind replaces a balancer and an agent.
 *
 *	relay --listen A --to B		forward to B, and return B's answers
 *	relay --listen B		echo each datagram
 */

#include <stdio.h>

#include "damaskyard/loop.h"

#include "common_args.h"

typedef struct relay {
	dy_endpoint_t *caller_endpoint;
	dy_endpoint_t *upstream_endpoint;
	dy_address_t upstream;
	dy_address_t caller; /* sender of the last datagram; answers go to it */
	int echo;
} relay_t;

static void on_caller_datagram(void *context, uint8_t *bytes, size_t len,
			       const struct sockaddr *from, int truncated)
{
	relay_t *relay = context;

	if (relay->echo) {
		dy_endpoint_send(relay->caller_endpoint, bytes, len, from);
		return;
	}
	dy_address_load(&relay->caller, from);
	dy_endpoint_send_to(relay->upstream_endpoint, bytes, len,
			    &relay->upstream);
}

static void on_upstream_datagram(void *context, uint8_t *bytes, size_t len,
				 const struct sockaddr *from, int truncated)
{
	relay_t *relay = context;

	dy_endpoint_send_to(relay->caller_endpoint, bytes, len, &relay->caller);
}

static dy_endpoint_t *create_endpoint(dy_loop_t *loop, const char *text,
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
	relay.caller_endpoint =
		create_endpoint(loop, listen, on_caller_datagram, &relay);
	relay.upstream_endpoint = create_endpoint(loop, "127.0.0.1:0",
						  on_upstream_datagram, &relay);
	if (to && dy_address_parse(to, &relay.upstream))
		standin_die("--to %s is no IP:PORT", to);
	printf("address=%s\n",
	       dy_address_format(dy_endpoint_address(relay.caller_endpoint),
				 text));
	fflush(stdout);
	dy_loop_run(loop);
	return 0;
}
