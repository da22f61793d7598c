/*
 * Failure domains evacuated by operators. Their targets get no new flows.
 */

#include <string.h>

#include "registry_private.h"

static dy_registry_domain_t *find_domain(const dy_registry_t *registry,
					 const char *name)
{
	unsigned i;

	for (i = 0; i < registry->domain_count; i++)
		if (!strcmp(registry->domains[i].name, name))
			return (dy_registry_domain_t *)&registry->domains[i];
	return NULL;
}

static dy_registry_domain_t *add_domain(dy_registry_t *registry,
					const char *name)
{
	dy_registry_domain_t *domain;

	if (registry->domain_count == DY_REGISTRY_DOMAINS_MAX)
		return NULL;
	domain = &registry->domains[registry->domain_count++];
	memset(domain, 0, sizeof(*domain));
	g_strlcpy(domain->name, name, sizeof(domain->name));
	return domain;
}

int registry_change_domain(dy_registry_t *registry, const dy_change_t *change)
{
	int evacuated = change->kind == DY_CHANGE_EVACUATE;
	dy_registry_domain_t *domain = find_domain(registry, change->name);

	if (!domain && !evacuated)
		return 1;
	if (!domain)
		domain = add_domain(registry, change->name);
	if (!domain)
		return 0;
	/* A repeated change is not announced to members again. */
	if (domain->evacuated == evacuated)
		return 1;
	domain->evacuated = evacuated;
	domain->changed = registry->index;
	g_strlcpy(domain->operator_name, change->operator_name,
		  sizeof(domain->operator_name));
	registry_emit_event(registry,
			    evacuated ? DY_EVENT_DOMAIN_EVACUATED
				      : DY_EVENT_DOMAIN_READMITTED,
			    "", domain->name, registry->index);
	return 1;
}

void registry_fill_domain(const dy_registry_domain_t *domain, dy_delta_t *delta)
{
	delta->kind = DY_DELTA_DOMAIN;
	delta->dy_delta_t_u.domain.name = (char *)domain->name;
	delta->dy_delta_t_u.domain.evacuated = domain->evacuated;
}

int registry_restore_domain(dy_registry_t *registry,
			    const dy_saved_domain_t *saved)
{
	dy_registry_domain_t *domain = add_domain(registry, saved->info.name);

	if (!domain)
		return -1;
	domain->evacuated = saved->info.evacuated;
	domain->changed = saved->changed;
	g_strlcpy(domain->operator_name, saved->operator_name,
		  sizeof(domain->operator_name));
	return 0;
}

const dy_registry_domain_t *dy_registry_domains(const dy_registry_t *registry,
						unsigned *count)
{
	*count = registry->domain_count;
	return registry->domains;
}

int dy_registry_is_evacuated(const dy_registry_t *registry, const char *domain)
{
	const dy_registry_domain_t *record = find_domain(registry, domain);

	return record && record->evacuated;
}

int dy_registry_has_domain(const dy_registry_t *registry, const char *domain)
{
	const dy_registry_member_t *member;
	dy_list_t *pos;
	int i;

	if (find_domain(registry, domain))
		return 1;
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		DY_LIST_EACH(pos, &registry->environments[i].members)
		{
			member = DY_LIST_ITEM(pos, dy_registry_member_t,
					      environment_link);
			if (!strcmp(member->domain, domain))
				return 1;
		}
	return 0;
}
