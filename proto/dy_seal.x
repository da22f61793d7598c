/*
 * Credential of messages between the system's own processes.
 */

const DY_AUTH_SEAL = 0x64790003;
const DY_SEAL_MAC_BYTES = 16;

/* The MAC covers the whole message, with the bytes of mac set to zero. */
struct dy_seal_body_t {
	unsigned hyper sender;		/* random, new at each start */
	unsigned hyper sequence;
	opaque mac[DY_SEAL_MAC_BYTES];
};
