/* Prints free ports of 127.0.0.1, one a line, for scripts. */

#include "common_args.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 200

/*
 * Ports are taken from below those that Linux gives to whoever asks for any
 * (32768 to 60999 unless it is told otherwise). Guards against a port that was
 * free when it was printed, and is some caller's by the time that a process is
 * to listen there: that process ends, and its service has no target.
 */
#define PORT_LEAST 16384
#define PORT_MOST 32767

/* Ports tried for one that is free. */
#define TRIES_MAX 10000

static int bind_to(int type, unsigned port)
{
	struct sockaddr_in address = standin_parse_address("127.0.0.1:0");
	int fd = socket(AF_INET, type, 0);

	address.sin_port = htons((uint16_t)port);
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/* A port that is free for datagrams and for connections alike. */
static unsigned bind_port(int fds[2])
{
	unsigned port;
	int i;

	for (i = 0; i < TRIES_MAX; i++) {
		port = (unsigned)g_random_int_range(PORT_LEAST, PORT_MOST + 1);
		fds[0] = bind_to(SOCK_DGRAM, port);
		if (fds[0] < 0)
			continue;
		fds[1] = bind_to(SOCK_STREAM, port);
		if (fds[1] >= 0)
			return port;
		close(fds[0]);
	}
	standin_die("no port can be bound");
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
	for (i = 0; i < wanted; i++)
		printf("%u\n", bind_port(fds[i]));
	for (i = 0; i < wanted; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
	return 0;
}
