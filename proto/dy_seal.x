/*
 * The credential of a message between the system's own processes.
 */

const DY_AUTH_SEAL = 0x64790003;
const DY_SEAL_MAC_BYTES = 16;

/* The MAC is over the whole message with these bytes zero. */
struct dy_seal_body_t {
	unsigned hyper sender;		/* random, new at each start */
	unsigned hyper sequence;
	opaque mac[DY_SEAL_MAC_BYTES];
};
