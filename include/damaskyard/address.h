#ifndef DAMASKYARD_ADDRESS_H
#define DAMASKYARD_ADDRESS_H

/*
 * Addresses as messages carry them: an IP number of 16 bytes, IPv4 mapped,
 * and a port. Names are never looked up: a process learns its addresses from
 * its settings, as numbers.
 */

#include <netinet/in.h>
#include <stddef.h>

#include "dy_wire.h"

/* Bytes of "[IPv6]:PORT" with its terminating NUL, rounded up. */
#define DY_ADDRESS_TEXT_BYTES 64

/*
 * Parse "1.2.3.4:80" or "[::1]:80". Returns 0, or -1 if text is not such an
 * address.
 */
int dy_address_parse(const char *text, dy_address_t *address);

/* Write address into text, which is returned. */
const char *dy_address_format(const dy_address_t *address,
			      char text[DY_ADDRESS_TEXT_BYTES]);

/* Convert from and to the C library's form. */
void dy_address_load(dy_address_t *address, const struct sockaddr *from);
void dy_address_write(const dy_address_t *address, struct sockaddr_storage *to);

/* Set from an IPv4 number and a port, both in host order. */
void dy_address_set_ipv4(dy_address_t *address, uint32_t ip, uint16_t port);

/* Whether both name the same IP number and port. */
int dy_address_equal(const dy_address_t *a, const dy_address_t *b);

/*
 * Parse a list separated by commas. Returns the number of addresses, at most
 * max, or -1 if one is malformed or there are more than max.
 */
int dy_address_parse_list(const char *text, dy_address_t *addresses, int max);

#endif
