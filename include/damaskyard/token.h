#ifndef DAMASKYARD_TOKEN_H
#define DAMASKYARD_TOKEN_H

/*
 * The routing token, by which every balancer can route every packet of a flow.
 *
 * An agent issues a token when a flow opens. The caller's RPC library echoes it
 * in every later call as a credential of flavor AUTH_SHORT. The token names the
 * service, the agent and its address, the agent's incarnation and the session,
 * and is protected by a MAC. Balancers therefore need neither a flow table nor
 * shared state.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/rpc.h"
#include "damaskyard/secret.h"
#include "dy_agent.h"
#include "dy_control.h"

/* Size of an encoded token. */
#define DY_TOKEN_BYTES (4 + 4 * 8 + DY_IP_BYTES + 4 + DY_TOKEN_MAC_BYTES)

/*
 * Maximum number of keys: the active one, the next one, and those whose tokens
 * may still be in use.
 */
#define DY_TOKEN_KEYS_MAX 8

typedef enum dy_token_status {
	DY_TOKEN_OK,
	DY_TOKEN_NONE,	    /* the credential has another flavor */
	DY_TOKEN_MALFORMED, /* wrong length or encoding */
	DY_TOKEN_EXPIRED,   /* its key is no longer known */
	DY_TOKEN_FORGED	    /* the MAC is wrong */
} dy_token_status_t;

typedef struct dy_keyring dy_keyring_t;

/*
 * Creates a keyring that derives token keys from the group's secrets, which are
 * copied. The first secret signs; a token under any of them is valid.
 */
dy_keyring_t *dy_keyring_create(const dy_secrets_t *secrets);
/* Frees ring; NULL is allowed. */
void dy_keyring_destroy(dy_keyring_t *ring);

/*
 * Applies control's information on one key: adds it, activates it, or removes
 * it if it is retired. Applying the same information again changes nothing.
 */
void dy_keyring_apply(dy_keyring_t *ring, const dy_key_info_t *info);

/* Returns whether there is an active key. */
int dy_keyring_ready(const dy_keyring_t *ring);

/*
 * Returns whether a token of this key id should be replaced with the next
 * answer, because another key is active.
 */
int dy_keyring_outdated(const dy_keyring_t *ring, uint32_t key_id);

/*
 * Signs token with the active key, setting its key_id and mac, and encodes it
 * into out. Returns DY_TOKEN_BYTES, or 0 if there is no active key.
 */
size_t dy_token_write(dy_keyring_t *ring, dy_token_t *token,
		      uint8_t out[DY_TOKEN_BYTES]);

/*
 * Decodes the token of a call's credential into token and verifies it. Returns
 * DY_TOKEN_OK or the reason why it is not valid.
 */
dy_token_status_t dy_token_load(dy_keyring_t *ring,
				const dy_rpc_auth_t *credential,
				dy_token_t *token);

/*
 * Size of the verifier body that carries a token to an unmodified RPC library:
 * an XDR opaque_auth of flavor AUTH_SHORT with the token as its body.
 */
#define DY_TOKEN_VERIFIER_BYTES (8 + DY_TOKEN_BYTES)

/*
 * Signs token and encodes such a verifier body into out. Returns
 * DY_TOKEN_VERIFIER_BYTES, or 0 if there is no active key.
 */
size_t dy_token_write_verifier(dy_keyring_t *ring, dy_token_t *token,
			       uint8_t out[DY_TOKEN_VERIFIER_BYTES]);

/*
 * Return 64-bit ids, which are hashes of names. Whoever accepts services into a
 * document or members into the registry refuses two that have the same id.
 */
uint64_t dy_service_id(const char *service);
uint64_t dy_member_id(const char *environment, uint32_t kind, const char *name);

#endif
