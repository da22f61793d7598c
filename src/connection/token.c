#include "damaskyard/token.h"

#include <string.h>

#include <rpc/rpc.h>
#include <xxhash.h>

#define MAC_OFFSET (DY_TOKEN_BYTES - DY_TOKEN_MAC_BYTES)

/*
 * Cache of verified tokens, so that a packet of a busy flow costs one
 * comparison instead of one HMAC. 4,096 entries of 96 bytes take 400 KB.
 */
#define CACHE_SLOTS 4096

typedef struct token_key {
	uint32_t id;
	dy_hmac_t *hmacs[DY_SECRETS_MAX]; /* one per secret */
} token_key_t;

struct dy_keyring {
	dy_hmac_t *secrets[DY_SECRETS_MAX]; /* for deriving keys */
	int secret_count;
	token_key_t keys[DY_TOKEN_KEYS_MAX];
	int count;
	uint32_t active_id;
	int has_active;
	uint8_t cache[CACHE_SLOTS][DY_TOKEN_BYTES];
};

dy_keyring_t *dy_keyring_create(const dy_secrets_t *secrets)
{
	dy_keyring_t *ring = g_new0(dy_keyring_t, 1);
	int i;

	ring->secret_count = secrets->count;
	for (i = 0; i < secrets->count; i++)
		ring->secrets[i] = dy_hmac_create(secrets->secrets[i]);
	return ring;
}

static void clear_key(token_key_t *key)
{
	int i;

	for (i = 0; i < DY_SECRETS_MAX; i++)
		dy_hmac_destroy(key->hmacs[i]);
	memset(key, 0, sizeof(*key));
}

void dy_keyring_destroy(dy_keyring_t *ring)
{
	int i;

	if (!ring)
		return;
	for (i = 0; i < ring->count; i++)
		clear_key(&ring->keys[i]);
	for (i = 0; i < ring->secret_count; i++)
		dy_hmac_destroy(ring->secrets[i]);
	g_free(ring);
}

static token_key_t *find_key(dy_keyring_t *ring, uint32_t id)
{
	int i;

	for (i = 0; i < ring->count; i++)
		if (ring->keys[i].id == id)
			return &ring->keys[i];
	return NULL;
}

static void remove_key(dy_keyring_t *ring, uint32_t id)
{
	token_key_t *key = find_key(ring, id);

	if (!key)
		return;
	clear_key(key);
	*key = ring->keys[--ring->count];
	if (ring->has_active && ring->active_id == id)
		ring->has_active = 0;
	memset(ring->cache, 0, sizeof(ring->cache));
}

/* A full keyring drops its oldest key; key ids only increase. */
static void evict_key_if_full(dy_keyring_t *ring)
{
	uint32_t oldest = UINT32_MAX;
	int i;

	if (ring->count < DY_TOKEN_KEYS_MAX)
		return;
	for (i = 0; i < ring->count; i++)
		if (ring->keys[i].id < oldest)
			oldest = ring->keys[i].id;
	remove_key(ring, oldest);
}

static void add_key(dy_keyring_t *ring, const dy_key_info_t *info)
{
	uint8_t material[DY_SALT_BYTES + 4];
	uint8_t bytes[DY_SECRET_BYTES];
	token_key_t *key;
	uint32_t id = htonl(info->id);
	int i;

	evict_key_if_full(ring);
	memcpy(material, info->salt, DY_SALT_BYTES);
	memcpy(material + DY_SALT_BYTES, &id, sizeof(id));
	key = &ring->keys[ring->count++];
	key->id = info->id;
	for (i = 0; i < ring->secret_count; i++) {
		dy_hmac_digest(ring->secrets[i], material, sizeof(material),
			       bytes);
		key->hmacs[i] = dy_hmac_create(bytes);
	}
	memset(bytes, 0, sizeof(bytes));
}

void dy_keyring_apply(dy_keyring_t *ring, const dy_key_info_t *info)
{
	if (info->retired) {
		remove_key(ring, info->id);
		return;
	}
	if (!find_key(ring, info->id))
		add_key(ring, info);
	if (info->active) {
		ring->active_id = info->id;
		ring->has_active = 1;
	}
}

int dy_keyring_ready(const dy_keyring_t *ring)
{
	return ring->has_active;
}

int dy_keyring_outdated(const dy_keyring_t *ring, uint32_t key_id)
{
	return ring->has_active && ring->active_id != key_id;
}

size_t dy_token_write(dy_keyring_t *ring, dy_token_t *token,
		      uint8_t out[DY_TOKEN_BYTES])
{
	uint8_t mac[DY_SECRET_BYTES];
	token_key_t *key;
	XDR xdrs;

	if (!ring->has_active)
		return 0;
	key = find_key(ring, ring->active_id);
	if (!key)
		return 0;
	token->key_id = key->id;
	xdrmem_create(&xdrs, (char *)out, DY_TOKEN_BYTES, XDR_ENCODE);
	if (!xdr_dy_token_t(&xdrs, token))
		return 0;
	dy_hmac_digest(key->hmacs[0], out, MAC_OFFSET, mac);
	memcpy(token->mac, mac, DY_TOKEN_MAC_BYTES);
	memcpy(out + MAC_OFFSET, mac, DY_TOKEN_MAC_BYTES);
	return DY_TOKEN_BYTES;
}

/*
 * Any secret of the key file is valid for signing, so that tokens remain valid
 * while the processes switch to a new file one by one.
 */
static int has_mac(const dy_keyring_t *ring, const token_key_t *key,
		   const uint8_t *bytes)
{
	uint8_t mac[DY_SECRET_BYTES];
	int i;

	for (i = 0; i < ring->secret_count; i++) {
		dy_hmac_digest(key->hmacs[i], bytes, MAC_OFFSET, mac);
		if (dy_mac_equal(mac, bytes + MAC_OFFSET, DY_TOKEN_MAC_BYTES))
			return 1;
	}
	return 0;
}

static int check_mac(dy_keyring_t *ring, const token_key_t *key,
		     const uint8_t *bytes)
{
	uint8_t *cached;

	cached = ring->cache[XXH3_64bits(bytes, DY_TOKEN_BYTES) % CACHE_SLOTS];
	if (!memcmp(cached, bytes, DY_TOKEN_BYTES))
		return 1;
	if (!has_mac(ring, key, bytes))
		return 0;
	memcpy(cached, bytes, DY_TOKEN_BYTES);
	return 1;
}

dy_token_status_t dy_token_load(dy_keyring_t *ring,
				const dy_rpc_auth_t *credential,
				dy_token_t *token)
{
	token_key_t *key;
	XDR xdrs;

	if (credential->flavor != AUTH_SHORT)
		return DY_TOKEN_NONE;
	if (credential->len != DY_TOKEN_BYTES)
		return DY_TOKEN_MALFORMED;
	xdrmem_create(&xdrs, (char *)credential->body, DY_TOKEN_BYTES,
		      XDR_DECODE);
	if (!xdr_dy_token_t(&xdrs, token))
		return DY_TOKEN_MALFORMED;
	key = find_key(ring, token->key_id);
	if (!key)
		return DY_TOKEN_EXPIRED;
	return check_mac(ring, key, credential->body) ? DY_TOKEN_OK
						      : DY_TOKEN_FORGED;
}

size_t dy_token_write_verifier(dy_keyring_t *ring, dy_token_t *token,
			       uint8_t out[DY_TOKEN_VERIFIER_BYTES])
{
	uint32_t head[2] = { htonl(AUTH_SHORT), htonl(DY_TOKEN_BYTES) };

	memcpy(out, head, sizeof(head));
	if (!dy_token_write(ring, token, out + sizeof(head)))
		return 0;
	return DY_TOKEN_VERIFIER_BYTES;
}

uint64_t dy_service_id(const char *service)
{
	return XXH3_64bits(service, strlen(service));
}

uint64_t dy_member_id(const char *environment, uint32_t kind, const char *name)
{
	XXH3_state_t *state = XXH3_createState();
	uint32_t wire_kind = htonl(kind);
	uint64_t id;

	XXH3_64bits_reset(state);
	XXH3_64bits_update(state, &wire_kind, sizeof(wire_kind));
	XXH3_64bits_update(state, environment, strlen(environment) + 1);
	XXH3_64bits_update(state, name, strlen(name));
	id = XXH3_64bits_digest(state);
	XXH3_freeState(state);
	return id;
}
