#ifndef STANDIN_COMMON_PROBE_H
#define STANDIN_COMMON_PROBE_H

/* Readiness probe of a balancer: a call of the NULL procedure. */

#include <stddef.h>
#include <stdint.h>

/* Capacity that suffices for a probe. */
#define STANDIN_PROBE_BYTES 64

/*
 * Write a NULL call with this xid to bytes. Returns its length, or 0 if it
 * cannot be encoded.
 */
size_t standin_probe_encode(uint32_t xid, char bytes[STANDIN_PROBE_BYTES]);

/*
 * Return whether the datagram is an accepted reply of status SUCCESS, which
 * a ready balancer sends. The xid is not checked.
 */
int standin_probe_is_ready(char *bytes, size_t length);

#endif
