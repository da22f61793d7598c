#ifndef STANDIN_COMMON_ARGS_H
#define STANDIN_COMMON_ARGS_H

/* Command lines, addresses and the clock, as every stand-in needs them. */

#include <stdint.h>
#include <netinet/in.h>
#include <glib.h>

/* Longest "255.255.255.255:65535" with its closing NUL. */
#define STANDIN_ADDRESS_TEXT 22

/* Parse the command line by entries; a wrong one ends the program with 2. */
void standin_parse_options(int argc, char **argv, const char *summary,
			   const GOptionEntry *entries);

/* Print the message as one line on standard error and end with 2. */
void standin_die(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));

/* Parse "IP:PORT"; a wrong one ends the program with 2. */
struct sockaddr_in standin_parse_address(const char *text);

/*
 * Parse "IP:PORT,IP:PORT,..". Returns an array of *count addresses, to be
 * freed with g_free(); an empty list ends the program with 2.
 */
struct sockaddr_in *standin_parse_addresses(const char *text, unsigned *count);

/* Write address as "IP:PORT" to text. */
void standin_format_address(const struct sockaddr_in *address,
			    char text[STANDIN_ADDRESS_TEXT]);

/* Print "address=IP:PORT", where socket fd is bound, and flush. */
void standin_print_bound(int fd);

/* Milliseconds of the monotonic clock. */
uint64_t standin_now_ms(void);

#endif
