#ifndef STANDIN_COMMON_PROBE_H
#define STANDIN_COMMON_PROBE_H

/* The NULL call by which a fabric learns whether a balancer is ready. */

#include <stddef.h>
#include <stdint.h>

/* Bytes that hold any probe. */
#define STANDIN_PROBE_BYTES 64

/* Write a NULL call of xid to bytes and return its length. */
size_t standin_probe_encode(uint32_t xid, char bytes[STANDIN_PROBE_BYTES]);

/* Whether the datagram is a reply that says ready. */
int standin_probe_is_ready(char *bytes, size_t length);

#endif
