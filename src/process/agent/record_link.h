#ifndef DAMASKYARD_RECORD_LINK_H
#define DAMASKYARD_RECORD_LINK_H

/*
 * Connections to a target: ONC RPC over TCP with record marking (RFC 5531,
 * section 11), by number.
 */

#include <uv.h>

#include "damaskyard/address.h"

/* Bytes of a record at most; a larger one is reported without its bytes. */
#define RECORD_BYTES 16384

typedef struct record_links record_links_t;

typedef struct record_link_callbacks {
	void (*up)(void *context, unsigned link);
	/* Not called for a connection that record_link_close() closed. */
	void (*down)(void *context, unsigned link);
	/* bytes is NULL for a record that is too large. */
	void (*receive)(void *context, unsigned link, const uint8_t *bytes,
			size_t len);
} record_link_callbacks_t;

record_links_t *record_links_create(uv_loop_t *loop, unsigned count,
				    const record_link_callbacks_t *callbacks,
				    void *context);

/* Close all connections. The loop frees what is left as it runs on. */
void record_links_destroy(record_links_t *links);

/* Connect. up() or down() follows, never from within this call. */
void record_link_open(record_links_t *links, unsigned link,
		      const dy_address_t *to);

void record_link_close(record_links_t *links, unsigned link);

/*
 * Send one record. Returns 0, or -1 only if no byte of it was handed to the
 * socket.
 */
int record_link_send(record_links_t *links, unsigned link, const uint8_t *bytes,
		     size_t len);

/* Report connections that could not be made in time. Call every 50 ms. */
void record_links_tick(record_links_t *links);

#endif
