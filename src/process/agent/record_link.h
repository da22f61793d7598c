#ifndef DAMASKYARD_RECORD_LINK_H
#define DAMASKYARD_RECORD_LINK_H

/*
 * Connections to a target: ONC RPC over TCP with record marking (RFC 5531,
 * section 11). A connection is identified by its index, `link`, which is below
 * the count given to record_links_create().
 */

#include <uv.h>

#include "damaskyard/address.h"

/* Maximum size of a record. A larger one is reported without its bytes. */
#define RECORD_MAX_BYTES 16384

typedef struct record_links record_links_t;

typedef struct record_link_callbacks {
	/* The connection is established. */
	void (*up)(void *context, unsigned link);
	/*
	 * The connection failed or was closed by the target. Not called after
	 * record_link_close().
	 */
	void (*down)(void *context, unsigned link);
	/*
	 * A whole record was received. bytes is NULL for a record that exceeds
	 * RECORD_MAX_BYTES.
	 */
	void (*receive)(void *context, unsigned link, const uint8_t *bytes,
			size_t len);
} record_link_callbacks_t;

/*
 * Create `count` connections, all closed. loop, callbacks and context must
 * outlive the result. Never returns NULL.
 */
record_links_t *record_links_create(uv_loop_t *loop, unsigned count,
				    const record_link_callbacks_t *callbacks,
				    void *context);

/*
 * Close all connections and free links, which may be NULL. The handles are
 * freed later, when the loop runs.
 */
void record_links_destroy(record_links_t *links);

/*
 * Connect, after closing the previous connection of this index. Calls up() or
 * down() later, never from within this call.
 */
void record_link_open(record_links_t *links, unsigned link,
		      const dy_address_t *to);

/* Close a connection at once. Does nothing if it is closed. */
void record_link_close(record_links_t *links, unsigned link);

/*
 * Send one record. Returns 0, or -1 only if no byte of it was passed to the
 * socket.
 */
int record_link_send(record_links_t *links, unsigned link, const uint8_t *bytes,
		     size_t len);

/*
 * Report connections that failed or timed out while connecting. Call every
 * 50 ms.
 */
void record_links_tick(record_links_t *links);

#endif
