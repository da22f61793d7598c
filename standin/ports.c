/* Prints free ports of 127.0.0.1, one a line, for scripts. */

#include "common_args.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 200

/* A port that is free for datagrams and for connections alike. */
static unsigned bind_port(int fds[2])
{
	struct sockaddr_in address = standin_parse_address("127.0.0.1:0");
	socklen_t length = sizeof(address);

	fds[0] = socket(AF_INET, SOCK_DGRAM, 0);
	fds[1] = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(fds[0], (struct sockaddr *)&address, length) ||
	    getsockname(fds[0], (struct sockaddr *)&address, &length))
		standin_die("no port can be bound");
	if (bind(fds[1], (struct sockaddr *)&address, length)) {
		close(fds[0]);
		close(fds[1]);
		return 0;
	}
	return ntohs(address.sin_port);
}

int main(int argc, char **argv)
{
	int fds[PORTS_MAX][2];
	int wanted = 1;
	int i;
	const GOptionEntry entries[] = { { "count", 0, 0, G_OPTION_ARG_INT,
					   &wanted, "Number of ports", "N" },
					 { NULL } };

	standin_parse_options(argc, argv, "Prints free ports of 127.0.0.1.",
			      entries);
	if (wanted < 1 || wanted > PORTS_MAX)
		standin_die("--count %d is not 1 to %d", wanted, PORTS_MAX);
	for (i = 0; i < wanted;) {
		unsigned port = bind_port(fds[i]);

		if (!port)
			continue;
		printf("%u\n", port);
		i++;
	}
	for (i = 0; i < wanted; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
	return 0;
}
