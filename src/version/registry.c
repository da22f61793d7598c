#include "damaskyard/registry.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/invariant.h"
#include "dy_raft.h"
#include "registry_private.h"

static const char *const environment_names[] = { "trial", "production" };

const char *dy_environment_name(dy_environment_t environment)
{
	return environment_names[environment];
}

int dy_environment_find(const char *name)
{
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++)
		if (!strcmp(environment_names[i], name))
			return i;
	return -1;
}

const char *dy_registry_event_name(dy_registry_event_t event)
{
	static const char *const names[DY_EVENTS] = {
		"member_joined",     "member_changed",	 "member_draining",
		"member_left",	     "member_suspect",	 "member_back",
		"member_dead",	     "member_forgotten", "member_refused",
		"drain_wished",	     "domain_evacuated", "domain_readmitted",
		"document_accepted", "document_tried",	 "content_damaged",
		"change_refused",    "change_resent",	 "key_added",
		"key_active",	     "key_retired",	 "command_malformed",
	};

	return names[event];
}

void registry_emit_event(const dy_registry_t *registry,
			 dy_registry_event_t event, const char *environment,
			 const char *name, uint64_t number)
{
	if (registry->callbacks.event)
		registry->callbacks.event(registry->callbacks.context, event,
					  environment, name, number);
}

static guint hash_request(gconstpointer request)
{
	guint hash;

	memcpy(&hash, request, sizeof(hash));
	return hash;
}

static gboolean equal_request(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, REQUEST_ID_BYTES);
}

static void free_service(gpointer value)
{
	service_t *service = value;

	g_ref_string_release(service->name);
	g_free(service);
}

dy_registry_t *dy_registry_create(const dy_registry_callbacks_t *callbacks)
{
	dy_registry_t *registry = g_new0(dy_registry_t, 1);
	environment_t *environment;
	int i;

	if (callbacks)
		registry->callbacks = *callbacks;
	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		environment = &registry->environments[i];
		dy_list_init(&environment->members);
		dy_list_init(&environment->ended);
		environment->services = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL, free_service);
	}
	registry->members = g_hash_table_new(g_int64_hash, g_int64_equal);
	dy_list_init(&registry->live);
	dy_list_init(&registry->suspect);
	dy_list_init(&registry->contents);
	registry->answers_by_request =
		g_hash_table_new(hash_request, equal_request);
	registry->answers = g_queue_new();
	return registry;
}

void dy_registry_destroy(dy_registry_t *registry)
{
	int i;

	if (!registry)
		return;
	registry_drop_members(registry);
	registry_drop_contents(registry);
	registry_drop_answers(registry);
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		g_hash_table_destroy(registry->environments[i].services);
	g_hash_table_destroy(registry->members);
	g_hash_table_destroy(registry->answers_by_request);
	g_queue_free(registry->answers);
	g_free(registry);
}

static void apply_command(dy_registry_t *registry, const dy_command_t *command)
{
	switch (command->kind) {
	case DY_COMMAND_PAGE:
		registry_add_page(registry, &command->dy_command_t_u.page);
		return;
	case DY_COMMAND_CHANGE:
		registry_apply_change(registry,
				      &command->dy_command_t_u.change);
		return;
	case DY_COMMAND_JOIN:
		registry_apply_join(registry, &command->dy_command_t_u.join);
		return;
	case DY_COMMAND_UPDATE:
		registry_apply_update(registry,
				      &command->dy_command_t_u.update);
		return;
	case DY_COMMAND_MARK:
		registry_apply_mark(registry, &command->dy_command_t_u.mark);
		return;
	case DY_COMMAND_KEY:
		registry_apply_key_step(registry, &command->dy_command_t_u.key);
		return;
	case DY_COMMAND_TRIED:
		registry_mark_tried(
			registry,
			(uint8_t *)command->dy_command_t_u.tried.digest);
		return;
	}
}

/*
 * The index must increase: a command that is applied twice or out of order
 * would make the states of the controls diverge.
 */
void dy_registry_apply(dy_registry_t *registry, const void *data, uint32_t size,
		       uint64_t index)
{
	dy_command_t command = { 0 };
	XDR xdrs;

	dy_assert(index > registry->index);
	registry->index = index;
	xdrmem_create(&xdrs, (char *)data, size, XDR_DECODE);
	if (xdr_dy_command_t(&xdrs, &command) && xdr_getpos(&xdrs) == size)
		apply_command(registry, &command);
	else
		registry_emit_event(registry, DY_EVENT_COMMAND_MALFORMED, "",
				    "", index);
	xdr_free((xdrproc_t)xdr_dy_command_t, (char *)&command);
	registry_check_keys(registry);
}

uint64_t dy_registry_index(const dy_registry_t *registry)
{
	return registry->index;
}

void *dy_command_encode(const dy_command_t *command, uint32_t *size)
{
	char *data = g_malloc(DY_RAFT_ENTRY_BYTES);
	XDR xdrs;

	xdrmem_create(&xdrs, data, DY_RAFT_ENTRY_BYTES, XDR_ENCODE);
	if (!xdr_dy_command_t(&xdrs, (dy_command_t *)command)) {
		g_free(data);
		return NULL;
	}
	*size = xdr_getpos(&xdrs);
	return g_realloc(data, *size);
}

void dy_registry_set_clock(dy_registry_t *registry, uint64_t now_ms)
{
	registry->now_ms = now_ms;
}

const dy_registry_document_t *dy_registry_document(
	const dy_registry_t *registry, dy_environment_t environment)
{
	return &registry->environments[environment].document;
}
