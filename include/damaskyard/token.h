#ifndef DAMASKYARD_TOKEN_H
#define DAMASKYARD_TOKEN_H

/*
 * The routing token: what lets any packet of a flow arrive at any balancer.
 *
 * An agent makes one when a flow opens. The caller's client echoes it in
 * every later call as a credential of flavor AUTH_SHORT. It names the
 * service, the agent and its address, the agent's incarnation and the
 * session, under a MAC, so no balancer needs a flow table and none shares
 * state with another.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/rpc.h"
#include "damaskyard/secret.h"
#include "dy_agent.h"
#include "dy_control.h"

/* Bytes of a token as the caller holds it. */
#define DY_TOKEN_BYTES (4 + 4 * 8 + DY_IP_BYTES + 4 + DY_TOKEN_MAC_BYTES)

/*
 * Keys held at once: the active one, the next, and those whose tokens may
 * still be out.
 */
#define DY_TOKEN_KEYS_MAX 8

typedef enum dy_token_status {
	DY_TOKEN_OK,
	DY_TOKEN_NONE,	    /* the credential is of another flavor */
	DY_TOKEN_MALFORMED, /* of a wrong length */
	DY_TOKEN_EXPIRED,   /* made with a key that is no longer known */
	DY_TOKEN_FORGED	    /* the MAC is wrong */
} dy_token_status_t;

typedef struct dy_keyring dy_keyring_t;

/*
 * Derives token keys from the group's secrets: the first one signs, a token
 * under any of them is good.
 */
dy_keyring_t *dy_keyring_create(const dy_secrets_t *secrets);
void dy_keyring_destroy(dy_keyring_t *ring);

/*
 * Take what control says of one key: add it, make it the active one, or
 * remove it. Applying the same again changes nothing.
 */
void dy_keyring_apply(dy_keyring_t *ring, const dy_key_info_t *info);

/* Whether there is an active key. */
int dy_keyring_ready(const dy_keyring_t *ring);

/*
 * Whether a token of this key id should be replaced by one under the active
 * key at the next answer.
 */
int dy_keyring_outdated(const dy_keyring_t *ring, uint32_t key_id);

/*
 * Sign token under the active key, setting key_id and mac, and write it.
 * Returns DY_TOKEN_BYTES, or 0 if there is no active key.
 */
size_t dy_token_write(dy_keyring_t *ring, dy_token_t *token,
		      uint8_t out[DY_TOKEN_BYTES]);

/* Load and check the token in a call's credential. */
dy_token_status_t dy_token_load(dy_keyring_t *ring,
				const dy_rpc_auth_t *credential,
				dy_token_t *token);

/*
 * Bytes of the verifier body that carries a token to a stock client: an XDR
 * opaque_auth of flavor AUTH_SHORT that holds it.
 */
#define DY_TOKEN_VERIFIER_BYTES (8 + DY_TOKEN_BYTES)

/* Sign token and write such a verifier body. Returns its length or 0. */
size_t dy_token_write_verifier(dy_keyring_t *ring, dy_token_t *token,
			       uint8_t out[DY_TOKEN_VERIFIER_BYTES]);

/*
 * Identifiers: 64-bit hashes of names. Two services of one document, or two
 * members, with the same one are refused where they are accepted.
 */
uint64_t dy_service_id(const char *service);
uint64_t dy_member_id(const char *environment, uint32_t kind, const char *name);

#endif
