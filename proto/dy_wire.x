/*
 * Types that several interfaces share.
 *
 * Every identifier has 64 bits, so that the upper bits can hold the number of a
 * region later without a change of the layout.
 */

#ifdef RPC_HDR
%#include <stdint.h>
#endif

/* Bytes of an IP address; IPv4 is mapped (::ffff:a.b.c.d). */
const DY_IP_BYTES = 16;

/* Largest name of a service, member, environment or failure domain. */
const DY_NAME_BYTES = 64;

/* Largest text of a target's labels, "key=value,key=value". */
const DY_LABELS_BYTES = 256;

/*
 * Largest datagram between a caller and a balancer: the limit of a stock
 * libtirpc client in both directions (its UDPMSGSIZE).
 */
const DY_DATAGRAM_BYTES = 8800;

struct dy_address_t {
	opaque ip[DY_IP_BYTES];
	unsigned int port;
};

/* Load of an agent, in each of its answers and bounces. */
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
