#include "damaskyard/seal.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/log.h"
#include "damaskyard/rpc.h"
#include "dy_seal.h"

#define SEAL_BODY_BYTES (8 + 8 + DY_SEAL_MAC_BYTES)
#define MAC_OFFSET (SEAL_BODY_BYTES - DY_SEAL_MAC_BYTES)

/*
 * Size of the replay window of each sender, in sequence numbers. A sender has
 * one sequence for all of its receivers, so that numbers arrive with gaps. A
 * datagram that arrives after this many later numbers counts as a replay and
 * is lost, as it could be on the network.
 */
#define REPLAY_WINDOW_BITS 1024

typedef struct replay_window {
	uint64_t highest;
	uint64_t bits[REPLAY_WINDOW_BITS / 64];
} replay_window_t;

struct dy_seal {
	dy_hmac_t *hmacs[DY_SECRETS_MAX]; /* the first signs messages */
	int hmac_count;
	uint64_t sender;
	uint64_t sequence;
	uint32_t next_xid;
	GHashTable *windows;
	uint64_t *malformed;
	uint64_t *forged;
	uint64_t *replayed;
	dy_log_limit_t drop_limit;
};

dy_seal_t *dy_seal_create(const dy_secrets_t *secrets, dy_metrics_t *metrics)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(5, 10000);
	dy_seal_t *seal = g_new0(dy_seal_t, 1);
	int i;

	seal->hmac_count = secrets->count;
	for (i = 0; i < secrets->count; i++)
		seal->hmacs[i] = dy_hmac_create(secrets->secrets[i]);
	dy_random_fill(&seal->sender, sizeof(seal->sender));
	dy_random_fill(&seal->next_xid, sizeof(seal->next_xid));
	seal->windows = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, g_free);
	seal->drop_limit = limit;
	seal->malformed = dy_metrics_counter(metrics, "seal_malformed");
	seal->forged = dy_metrics_counter(metrics, "seal_forged");
	seal->replayed = dy_metrics_counter(metrics, "seal_replayed");
	return seal;
}

void dy_seal_destroy(dy_seal_t *seal)
{
	int i;

	if (!seal)
		return;
	g_hash_table_destroy(seal->windows);
	for (i = 0; i < seal->hmac_count; i++)
		dy_hmac_destroy(seal->hmacs[i]);
	g_free(seal);
}

uint64_t dy_seal_sender(const dy_seal_t *seal)
{
	return seal->sender;
}

uint32_t dy_seal_next_xid(dy_seal_t *seal)
{
	return seal->next_xid++;
}

static void write_seal_body(dy_seal_t *seal, uint8_t body[SEAL_BODY_BYTES])
{
	dy_seal_body_t fields = { 0 };
	XDR xdrs;

	fields.sender = seal->sender;
	fields.sequence = ++seal->sequence;
	xdrmem_create(&xdrs, (char *)body, SEAL_BODY_BYTES, XDR_ENCODE);
	xdr_dy_seal_body_t(&xdrs, &fields);
}

/*
 * Encode the body after the header and store the MAC over the whole message.
 * mac_offset is the position of the MAC in out, where the bytes are zero.
 */
static size_t finish_message(dy_seal_t *seal, uint8_t *out, size_t header_len,
			     size_t cap, size_t mac_offset, xdrproc_t proc,
			     void *value)
{
	uint8_t mac[DY_SECRET_BYTES];
	size_t len;
	XDR xdrs;

	if (!header_len || cap - header_len > UINT32_MAX / 2)
		return 0;
	xdrmem_create(&xdrs, (char *)out + header_len,
		      (u_int)(cap - header_len), XDR_ENCODE);
	if (!proc(&xdrs, value))
		return 0;
	len = header_len + xdr_getpos(&xdrs);
	dy_hmac_digest(seal->hmacs[0], out, len, mac);
	memcpy(out + mac_offset, mac, DY_SEAL_MAC_BYTES);
	return len;
}

/* Offsets of the body of a call's credential and of a reply's verifier. */
#define CALL_SEAL_OFFSET (8 * BYTES_PER_XDR_UNIT)
#define REPLY_SEAL_OFFSET (5 * BYTES_PER_XDR_UNIT)

size_t dy_seal_write_call(dy_seal_t *seal, const dy_seal_header_t *head,
			  xdrproc_t proc, void *args, uint8_t *out, size_t cap)
{
	uint8_t body[SEAL_BODY_BYTES];
	dy_rpc_call_t call = { 0 };

	write_seal_body(seal, body);
	call.xid = head->xid;
	call.program = head->program;
	call.program_version = 1;
	call.procedure = head->procedure;
	call.credential.flavor = DY_AUTH_SEAL;
	call.credential.len = sizeof(body);
	call.credential.body = body;
	return finish_message(seal, out, dy_rpc_write_call(&call, out, cap),
			      cap, CALL_SEAL_OFFSET + MAC_OFFSET, proc, args);
}

size_t dy_seal_write_reply(dy_seal_t *seal, uint32_t xid, xdrproc_t proc,
			   void *results, uint8_t *out, size_t cap)
{
	uint8_t body[SEAL_BODY_BYTES];
	dy_rpc_reply_t reply = { 0 };

	write_seal_body(seal, body);
	reply.xid = xid;
	reply.verifier.flavor = DY_AUTH_SEAL;
	reply.verifier.len = sizeof(body);
	reply.verifier.body = body;
	return finish_message(seal, out, dy_rpc_write_reply(&reply, out, cap),
			      cap, REPLY_SEAL_OFFSET + MAC_OFFSET, proc,
			      results);
}

static int parse_message(const uint8_t *bytes, size_t len, dy_sealed_t *message,
			 dy_rpc_auth_t *auth)
{
	dy_rpc_call_t call;
	dy_rpc_reply_t reply;

	if (!dy_rpc_parse_call(bytes, len, &call)) {
		message->is_reply = 0;
		message->xid = call.xid;
		message->program = call.program;
		message->procedure = call.procedure;
		message->body = call.args;
		message->body_len = call.args_len;
		*auth = call.credential;
		return call.program_version == 1 ? 0 : -1;
	}
	if (dy_rpc_parse_reply(bytes, len, &reply) || reply.denied ||
	    reply.status != SUCCESS)
		return -1;
	message->is_reply = 1;
	message->xid = reply.xid;
	message->program = 0;
	message->procedure = 0;
	message->body = reply.results;
	message->body_len = reply.results_len;
	*auth = reply.verifier;
	return 0;
}

/* The MAC was computed with its own bytes set to zero. */
static int check_mac(dy_seal_t *seal, const uint8_t *bytes, size_t len,
		     const dy_rpc_auth_t *auth)
{
	uint8_t mac[DY_SECRET_BYTES];
	uint8_t received[DY_SEAL_MAC_BYTES];
	uint8_t *mac_field = (uint8_t *)auth->body + MAC_OFFSET;
	int ok = 0;
	int i;

	memcpy(received, mac_field, sizeof(received));
	memset(mac_field, 0, sizeof(received));
	for (i = 0; i < seal->hmac_count && !ok; i++) {
		dy_hmac_digest(seal->hmacs[i], bytes, len, mac);
		ok = dy_mac_equal(mac, received, sizeof(received));
	}
	memcpy(mac_field, received, sizeof(received));
	return ok;
}

static replay_window_t *find_window(dy_seal_t *seal, uint64_t sender)
{
	replay_window_t *window;
	gint64 *key;

	window = g_hash_table_lookup(seal->windows, &sender);
	if (window)
		return window;
	window = g_new0(replay_window_t, 1);
	key = g_new(gint64, 1);
	memcpy(key, &sender, sizeof(*key));
	g_hash_table_insert(seal->windows, key, window);
	return window;
}

static void advance_window(replay_window_t *window, uint64_t sequence)
{
	uint64_t step = sequence - window->highest;
	uint64_t i;

	if (step >= REPLAY_WINDOW_BITS)
		memset(window->bits, 0, sizeof(window->bits));
	else
		for (i = window->highest + 1; i <= sequence; i++)
			window->bits[i % REPLAY_WINDOW_BITS / 64] &=
				~(1ULL << (i % 64));
	window->highest = sequence;
}

/*
 * Guards against a message that was recorded on the network and sent again:
 * its sequence number is either marked in the window or older than it.
 */
static int accept_sequence(replay_window_t *window, uint64_t sequence)
{
	uint64_t *word = &window->bits[sequence % REPLAY_WINDOW_BITS / 64];
	uint64_t bit = 1ULL << (sequence % 64);

	if (!sequence)
		return 0;
	if (sequence > window->highest)
		advance_window(window, sequence);
	else if (window->highest - sequence >= REPLAY_WINDOW_BITS ||
		 (*word & bit))
		return 0;
	*word |= bit;
	return 1;
}

static dy_seal_status_t count_drop(dy_seal_t *seal, dy_seal_status_t status,
				   uint64_t sender)
{
	uint64_t now_ms = (uint64_t)g_get_monotonic_time() / 1000;
	const char *event = "seal_malformed";
	uint64_t *counter = seal->malformed;

	if (status == DY_SEAL_FORGED) {
		event = "seal_forged";
		counter = seal->forged;
	} else if (status == DY_SEAL_REPLAYED) {
		event = "seal_replayed";
		counter = seal->replayed;
	}
	++*counter;
	if (dy_log_allow(&seal->drop_limit, event, now_ms))
		dy_log_event(DY_LOG_WARN, event, "sender=%016lx",
			     (unsigned long)sender);
	return status;
}

dy_seal_status_t dy_seal_open(dy_seal_t *seal, const uint8_t *bytes, size_t len,
			      dy_sealed_t *message)
{
	dy_seal_body_t fields;
	dy_rpc_auth_t auth;
	XDR xdrs;

	if (parse_message(bytes, len, message, &auth) ||
	    auth.flavor != DY_AUTH_SEAL || auth.len != SEAL_BODY_BYTES) {
		return count_drop(seal, DY_SEAL_MALFORMED, 0);
	}
	xdrmem_create(&xdrs, (char *)auth.body, SEAL_BODY_BYTES, XDR_DECODE);
	if (!xdr_dy_seal_body_t(&xdrs, &fields)) {
		return count_drop(seal, DY_SEAL_MALFORMED, 0);
	}
	if (!check_mac(seal, bytes, len, &auth)) {
		return count_drop(seal, DY_SEAL_FORGED, fields.sender);
	}
	if (!accept_sequence(find_window(seal, fields.sender),
			     fields.sequence)) {
		return count_drop(seal, DY_SEAL_REPLAYED, fields.sender);
	}
	message->sender = fields.sender;
	return DY_SEAL_OK;
}

/*
 * Zero bytes appended to a body, for fields that an older sender does not
 * have: 16 numbers of 64 bits, or as many empty strings.
 */
#define PADDING_BYTES 128

/* Maximum size of a UDP datagram. */
#define BODY_MAX_BYTES 65536

int dy_sealed_load_in_place(const dy_sealed_t *message, xdrproc_t proc,
			    void *value)
{
	static uint8_t padded[BODY_MAX_BYTES + PADDING_BYTES];
	XDR xdrs;

	if (message->body_len > BODY_MAX_BYTES)
		return 0;
	if (message->body_len)
		memcpy(padded, message->body, message->body_len);
	memset(padded + message->body_len, 0, PADDING_BYTES);
	xdrmem_create(&xdrs, (char *)padded,
		      (u_int)message->body_len + PADDING_BYTES, XDR_DECODE);
	return proc(&xdrs, value);
}

int dy_sealed_load(const dy_sealed_t *message, xdrproc_t proc, void *value,
		   size_t value_size)
{
	memset(value, 0, value_size);
	if (dy_sealed_load_in_place(message, proc, value))
		return 1;
	xdr_free(proc, value);
	return 0;
}
