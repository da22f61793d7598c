/*
 * Token keys. A key is added, activated after every member has received it,
 * and retired a long time after the next one became active, so every member
 * has the key of each token that it may receive.
 */

#include <string.h>

#include "damaskyard/invariant.h"
#include "registry_private.h"

const dy_registry_key_t *dy_registry_keys(const dy_registry_t *registry,
					  unsigned *count)
{
	*count = registry->key_count;
	return registry->keys;
}

/*
 * Exactly one key is active once there is any. Otherwise processes could sign
 * with different keys.
 */
void registry_check_keys(const dy_registry_t *registry)
{
	unsigned active = 0;
	unsigned i;

	for (i = 0; i < registry->key_count; i++) {
		dy_assert(!registry->keys[i].info.active ||
			  !registry->keys[i].info.retired);
		active += !!registry->keys[i].info.active;
	}
	dy_assert(active == (registry->key_count ? 1 : 0));
}

static void record_key_change(dy_registry_t *registry, dy_registry_key_t *key,
			      dy_registry_event_t event)
{
	key->changed = registry->index;
	key->since_ms = registry->now_ms;
	registry_emit_event(registry, event, "", "", key->info.id);
}

static dy_registry_key_t *find_key(dy_registry_t *registry, uint32_t id)
{
	unsigned i;

	for (i = 0; i < registry->key_count; i++)
		if (registry->keys[i].info.id == id)
			return &registry->keys[i];
	return NULL;
}

/* Drops the oldest retired key if there are too many. */
static void trim_retired(dy_registry_t *registry)
{
	unsigned retired = 0;
	unsigned i;

	for (i = 0; i < registry->key_count; i++)
		retired += !!registry->keys[i].info.retired;
	if (retired <= DY_REGISTRY_RETIRED_MAX)
		return;
	for (i = 0; !registry->keys[i].info.retired; i++)
		;
	registry->key_count--;
	memmove(&registry->keys[i], &registry->keys[i + 1],
		(registry->key_count - i) * sizeof(registry->keys[0]));
}

static int is_pending(const dy_registry_key_t *key)
{
	return !key->info.active && !key->info.retired;
}

/* The newest key is pending if it is not the active one. */
static const dy_registry_key_t *newest_key(const dy_registry_t *registry)
{
	return registry->key_count ? &registry->keys[registry->key_count - 1]
				   : NULL;
}

int registry_has_pending_key(const dy_registry_t *registry)
{
	const dy_registry_key_t *newest = newest_key(registry);

	return newest && is_pending(newest);
}

int registry_add_key(dy_registry_t *registry, const char *salt)
{
	const dy_registry_key_t *newest = newest_key(registry);
	dy_registry_key_t *key;
	unsigned in_use = 0;
	unsigned i;

	for (i = 0; i < registry->key_count; i++)
		in_use += !registry->keys[i].info.retired;
	if (in_use >= DY_TOKEN_KEYS_MAX || registry_has_pending_key(registry))
		return 0;
	dy_assert(registry->key_count < KEYS_MAX);
	key = &registry->keys[registry->key_count++];
	memset(key, 0, sizeof(*key));
	key->info.id = ++registry->last_key_id;
	memcpy(key->info.salt, salt, DY_SALT_BYTES);
	record_key_change(registry, key, DY_EVENT_KEY_ADDED);
	/* No token exists yet, so the first key signs without distribution. */
	if (!newest) {
		key->info.active = TRUE;
		record_key_change(registry, key, DY_EVENT_KEY_ACTIVE);
	}
	return 1;
}

static void activate_key(dy_registry_t *registry, uint32_t id)
{
	dy_registry_key_t *key = find_key(registry, id);
	unsigned i;

	if (!key || !is_pending(key) || key != newest_key(registry))
		return;
	for (i = 0; i < registry->key_count; i++) {
		if (!registry->keys[i].info.active)
			continue;
		registry->keys[i].info.active = FALSE;
		registry->keys[i].changed = registry->index;
		registry->keys[i].since_ms = registry->now_ms;
	}
	key->info.active = TRUE;
	record_key_change(registry, key, DY_EVENT_KEY_ACTIVE);
}

static void retire_key(dy_registry_t *registry, uint32_t id)
{
	dy_registry_key_t *key = find_key(registry, id);

	if (!key || !is_pending(key) || key == newest_key(registry))
		return;
	key->info.retired = TRUE;
	record_key_change(registry, key, DY_EVENT_KEY_RETIRED);
	trim_retired(registry);
}

void registry_apply_key_step(dy_registry_t *registry, const dy_key_step_t *step)
{
	switch (step->step) {
	case DY_KEY_ADD:
		registry_add_key(registry, step->salt);
		return;
	case DY_KEY_ACTIVATE:
		activate_key(registry, step->id);
		return;
	case DY_KEY_RETIRE:
		retire_key(registry, step->id);
		return;
	}
}

static int has_elapsed(const dy_registry_t *registry,
		       const dy_registry_key_t *key, uint64_t after_ms)
{
	return key->since_ms + after_ms <= registry->now_ms;
}

int dy_registry_next_key_step(const dy_registry_t *registry,
			      const dy_key_times_t *times, dy_key_step_t *step)
{
	const dy_registry_key_t *newest = newest_key(registry);
	unsigned i;

	memset(step, 0, sizeof(*step));
	if (!newest || (newest->info.active &&
			has_elapsed(registry, newest, times->rotate_ms))) {
		step->step = DY_KEY_ADD;
		return 1;
	}
	if (is_pending(newest) &&
	    has_elapsed(registry, newest, times->distribute_ms)) {
		step->step = DY_KEY_ACTIVATE;
		step->id = newest->info.id;
		return 1;
	}
	for (i = 0; i + 1 < registry->key_count; i++) {
		if (!is_pending(&registry->keys[i]) ||
		    !has_elapsed(registry, &registry->keys[i], times->renew_ms))
			continue;
		step->step = DY_KEY_RETIRE;
		step->id = registry->keys[i].info.id;
		return 1;
	}
	return 0;
}
