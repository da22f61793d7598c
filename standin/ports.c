/* Prints free ports of 127.0.0.1 for scripts, one per line. */

#include "common_args.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORTS_MAX 200

/*
 * The range lies below the ephemeral ports of Linux (32768 to 60999 by
 * default). An ephemeral port may be free when it is printed and be assigned
 * to a caller's socket before the process that is to listen on it starts. That
 * process then exits, and its service has no target.
 */
#define PORT_MIN 16384
#define PORT_MAX 32767

/* Random ports to try before giving up. */
#define BIND_TRIES_MAX 10000

static int bind_loopback(int type, unsigned port)
{
	struct sockaddr_in address = standin_parse_address("127.0.0.1:0");
	int fd = socket(AF_INET, type, 0);

	address.sin_port = htons((uint16_t)port);
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/* Bind a random port that is free for both UDP and TCP. */
static unsigned bind_port(int fds[2])
{
	unsigned port;
	int i;

	for (i = 0; i < BIND_TRIES_MAX; i++) {
		port = (unsigned)g_random_int_range(PORT_MIN, PORT_MAX + 1);
		fds[0] = bind_loopback(SOCK_DGRAM, port);
		if (fds[0] < 0)
			continue;
		fds[1] = bind_loopback(SOCK_STREAM, port);
		if (fds[1] >= 0)
			return port;
		close(fds[0]);
	}
	standin_die("no port can be bound");
}

int main(int argc, char **argv)
{
	int fds[PORTS_MAX][2];
	int count = 1;
	int i;
	const GOptionEntry entries[] = { { "count", 0, 0, G_OPTION_ARG_INT,
					   &count, "Number of ports", "N" },
					 { NULL } };

	standin_parse_options(argc, argv, "Prints free ports of 127.0.0.1.",
			      entries);
	if (count < 1 || count > PORTS_MAX)
		standin_die("--count %d is not 1 to %d", count, PORTS_MAX);
	for (i = 0; i < count; i++)
		printf("%u\n", bind_port(fds[i]));
	for (i = 0; i < count; i++) {
		close(fds[i][0]);
		close(fds[i][1]);
	}
	return 0;
}
