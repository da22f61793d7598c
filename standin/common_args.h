#ifndef STANDIN_COMMON_ARGS_H
#define STANDIN_COMMON_ARGS_H

/* Command line options, addresses and the clock for all stand-ins. */

#include <stdint.h>
#include <netinet/in.h>
#include <glib.h>

/* Bytes of the longest address text, "255.255.255.255:65535" and its NUL. */
#define STANDIN_ADDRESS_TEXT 22

/*
 * Parse the command line into the variables of entries. Exits with status 2
 * if an option is invalid or an operand is left over.
 */
void standin_parse_options(int argc, char **argv, const char *summary,
			   const GOptionEntry *entries);

/* Print the message as one line on standard error and exit with status 2. */
void standin_die(const char *format, ...)
	__attribute__((format(printf, 1, 2), noreturn));

/* Parse "IP:PORT". Exits with status 2 if text is not an address. */
struct sockaddr_in standin_parse_address(const char *text);

/*
 * Parse "IP:PORT,IP:PORT,..". Returns an array of *count addresses, which the
 * caller frees with g_free(). Exits with status 2 if the list is empty or an
 * address is invalid.
 */
struct sockaddr_in *standin_parse_addresses(const char *text, unsigned *count);

/* Write address as "IP:PORT" to text, with a NUL. */
void standin_format_address(const struct sockaddr_in *address,
			    char text[STANDIN_ADDRESS_TEXT]);

/*
 * Print "address=IP:PORT", the local address of socket fd, and flush standard
 * output. Exits with status 2 if the address cannot be read.
 */
void standin_print_bound_address(int fd);

/* Return the time of the monotonic clock in ms. */
uint64_t standin_now_ms(void);

#endif
