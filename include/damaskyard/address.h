#ifndef DAMASKYARD_ADDRESS_H
#define DAMASKYARD_ADDRESS_H

/*
 * IP addresses with a port, in the form that messages carry: 16 bytes of
 * IPv6 (IPv4 as an IPv4-mapped address) and a port. There is no name lookup:
 * settings hold numeric addresses only.
 */

#include <netinet/in.h>
#include <stddef.h>

#include "dy_wire.h"

/* Size in bytes of a text "[IPv6]:PORT" with its NUL, rounded up. */
#define DY_ADDRESS_TEXT_BYTES 64

/*
 * Parse "1.2.3.4:80" or "[::1]:80". Returns 0, or -1 if text has another
 * form; address is undefined then.
 */
int dy_address_parse(const char *text, dy_address_t *address);

/* Format address into text, in the form that is parsed. Returns text. */
const char *dy_address_format(const dy_address_t *address,
			      char text[DY_ADDRESS_TEXT_BYTES]);

/* Convert from and to a socket address. from must be IPv4 or IPv6. */
void dy_address_load(dy_address_t *address, const struct sockaddr *from);
void dy_address_write(const dy_address_t *address, struct sockaddr_storage *to);

/* Set address from an IPv4 address and a port, both in host byte order. */
void dy_address_set_ipv4(dy_address_t *address, uint32_t ip, uint16_t port);

/* Returns whether both have the same IP address and port. */
int dy_address_equal(const dy_address_t *a, const dy_address_t *b);

/*
 * Parse a list separated by commas into addresses, which holds max entries.
 * Returns the number of addresses, or -1 if one is malformed or there are
 * more than max.
 */
int dy_address_parse_list(const char *text, dy_address_t *addresses, int max);

#endif
