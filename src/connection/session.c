#include "damaskyard/session.h"

#include <string.h>

#include <glib.h>
#include <rpc/rpc.h>
#include <xxhash.h>

#include "damaskyard/invariant.h"
#include "damaskyard/loop.h"

struct dy_sessions {
	GHashTable *by_id;
	dy_list_t lru; /* least recently used first */
	unsigned cap;
	uint64_t idle_ms;
	uint64_t seed;
};

static void free_session(void *item)
{
	dy_session_t *session = item;

	dy_drc_destroy(session->drc);
	g_free(session->credential);
	g_free(session);
}

dy_sessions_t *dy_sessions_create(unsigned cap, uint64_t idle_ms, uint64_t seed)
{
	dy_sessions_t *sessions = g_new0(dy_sessions_t, 1);

	sessions->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_session);
	dy_list_init(&sessions->lru);
	sessions->seed = seed;
	dy_sessions_set_limits(sessions, cap, idle_ms);
	return sessions;
}

void dy_sessions_destroy(dy_sessions_t *sessions)
{
	if (!sessions)
		return;
	g_hash_table_destroy(sessions->by_id);
	g_free(sessions);
}

void dy_sessions_set_limits(dy_sessions_t *sessions, unsigned cap,
			    uint64_t idle_ms)
{
	sessions->cap = cap;
	sessions->idle_ms = MAX(idle_ms, DY_RETRANSMIT_WINDOW_MS);
}

dy_session_t *dy_sessions_find(const dy_sessions_t *sessions, uint64_t id)
{
	return g_hash_table_lookup(sessions->by_id, &id);
}

uint64_t dy_sessions_opening_id(const dy_sessions_t *sessions,
				const dy_address_t *caller, uint32_t xid)
{
	uint8_t key[DY_IP_BYTES + 8];

	memcpy(key, caller->ip, DY_IP_BYTES);
	memcpy(key + DY_IP_BYTES, &caller->port, 4);
	memcpy(key + DY_IP_BYTES + 4, &xid, 4);
	return XXH3_64bits_withSeed(key, sizeof(key), sessions->seed);
}

/*
 * The first word of an AUTH_SYS body is a stamp that differs between RPC
 * handles of one caller. The host name, user and groups follow it.
 */
uint64_t dy_sessions_caller_hash(const dy_sessions_t *sessions,
				 const dy_address_t *address,
				 const dy_rpc_auth_t *credential)
{
	uint64_t seed =
		XXH3_64bits_withSeed(address->ip, DY_IP_BYTES, sessions->seed);

	if (credential->flavor != AUTH_SYS || credential->len < 4)
		return seed;
	return XXH3_64bits_withSeed(credential->body + 4, credential->len - 4,
				    seed);
}

static dy_session_t *add_session(dy_sessions_t *sessions, uint64_t id,
				 uint32_t flavor, const uint8_t *credential,
				 size_t len)
{
	dy_session_t *session = g_new0(dy_session_t, 1);

	dy_assert(!dy_sessions_find(sessions, id));
	session->id = id;
	session->flavor = flavor;
	session->credential = g_memdup2(credential, len);
	session->credential_len = (uint16_t)len;
	dy_list_init(&session->calls);
	dy_list_append(&sessions->lru, &session->lru_link);
	g_hash_table_insert(sessions->by_id, &session->id, session);
	return session;
}

/* A token is not a credential of the caller's own. */
dy_session_t *dy_sessions_open(dy_sessions_t *sessions, uint64_t id,
			       uint64_t caller, const dy_rpc_auth_t *credential,
			       uint64_t now_ms)
{
	int has_credential = credential->flavor != AUTH_SHORT;
	dy_session_t *session;

	if (dy_sessions_count(sessions) >= sessions->cap)
		return NULL;
	session = add_session(sessions, id,
			      has_credential ? credential->flavor : AUTH_NONE,
			      has_credential ? credential->body : NULL,
			      has_credential ? credential->len : 0);
	session->caller = caller;
	session->last_use_ms = now_ms;
	return session;
}

dy_session_t *dy_sessions_receive(dy_sessions_t *sessions, uint64_t id,
				  const dy_moved_body_t *body, uint64_t now_ms)
{
	dy_drc_t *drc = dy_drc_load(body, now_ms);
	dy_session_t *session;

	if (!drc)
		return NULL;
	session = add_session(sessions, id, body->flavor,
			      (const uint8_t *)body->credential.credential_val,
			      body->credential.credential_len);
	session->caller = body->caller;
	session->last_use_ms = now_ms;
	session->received = 1;
	session->drc = drc;
	return session;
}

void dy_session_write(const dy_session_t *session, dy_moved_body_t *body,
		      uint64_t now_ms)
{
	memset(body, 0, sizeof(*body));
	body->flavor = session->flavor;
	body->credential.credential_val =
		g_memdup2(session->credential, session->credential_len);
	body->credential.credential_len = session->credential_len;
	body->caller = session->caller;
	body->idle_ms = (u_int)MIN(now_ms - session->last_use_ms, UINT32_MAX);
	dy_drc_write(session->drc, body, now_ms);
}

void dy_sessions_touch(dy_sessions_t *sessions, dy_session_t *session,
		       uint64_t now_ms)
{
	session->last_use_ms = now_ms;
	dy_list_remove(&session->lru_link);
	dy_list_append(&sessions->lru, &session->lru_link);
}

void dy_sessions_remove(dy_sessions_t *sessions, dy_session_t *session)
{
	dy_assert(dy_list_empty(&session->calls));
	dy_list_remove(&session->lru_link);
	g_hash_table_remove(sessions->by_id, &session->id);
}

unsigned dy_sessions_expire(dy_sessions_t *sessions, uint64_t now_ms,
			    unsigned max)
{
	dy_session_t *session;
	dy_list_t *pos;
	dy_list_t *tmp;
	unsigned count = 0;

	DY_LIST_EACH_SAFE(pos, tmp, &sessions->lru)
	{
		session = DY_LIST_ITEM(pos, dy_session_t, lru_link);
		if (count == max ||
		    now_ms < session->last_use_ms + sessions->idle_ms)
			break;
		if (session->state != DY_SESSION_LOCAL ||
		    !dy_list_empty(&session->calls))
			continue;
		dy_sessions_remove(sessions, session);
		count++;
	}
	return count;
}

unsigned dy_sessions_count(const dy_sessions_t *sessions)
{
	return g_hash_table_size(sessions->by_id);
}

unsigned dy_sessions_cap(const dy_sessions_t *sessions)
{
	return sessions->cap;
}

void dy_sessions_each(dy_sessions_t *sessions, dy_sessions_each_cb_t *each,
		      void *context)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &sessions->lru)
	each(context, DY_LIST_ITEM(pos, dy_session_t, lru_link));
}
