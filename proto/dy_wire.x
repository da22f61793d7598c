/*
 * Types that several of the interfaces share.
 *
 * Every identifier is 64 bits wide, so that a region's number can later
 * stand in its upper bits without a change of layout.
 */

#ifdef RPC_HDR
%#include <stdint.h>
#endif

/* Bytes of an IP number; IPv4 stands in it mapped (::ffff:a.b.c.d). */
const DY_IP_BYTES = 16;

/* Bytes of names of services, members, environments, failure domains. */
const DY_NAME_BYTES = 64;

/* Bytes of a target's labels, "key=value,key=value". */
const DY_LABELS_BYTES = 256;

/*
 * The largest datagram between a caller and a balancer, in bytes: what a
 * stock libtirpc client sends and takes (its UDPMSGSIZE).
 */
const DY_DATAGRAM_BYTES = 8800;

struct dy_address_t {
	opaque ip[DY_IP_BYTES];
	unsigned int port;
};

/* What an agent says of its load in each of its answers. */
struct dy_load_t {
	unsigned int slots;
	unsigned int in_flight;
	unsigned int queued;
	unsigned int sessions;
	unsigned int connections;
	unsigned int wait_ms;
	unsigned int refused;
	bool draining;
	bool cold;
};
