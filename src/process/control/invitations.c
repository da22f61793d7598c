#include "damaskyard/invitations.h"

#include <glib.h>

#include "damaskyard/list.h"

typedef struct guest {
	uint64_t member;
	uint64_t invited_ms;
	int is_invited;
	dy_list_t link; /* in the kind's line, or among the invited */
} guest_t;

struct dy_invitations {
	GHashTable *guests; /* by member */
	dy_list_t balancers;
	dy_list_t agents;
	dy_list_t invited; /* oldest first */
	unsigned invited_count;
};

dy_invitations_t *dy_invitations_create(void)
{
	dy_invitations_t *invitations = g_new0(dy_invitations_t, 1);

	invitations->guests = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    NULL, g_free);
	dy_list_init(&invitations->balancers);
	dy_list_init(&invitations->agents);
	dy_list_init(&invitations->invited);
	return invitations;
}

void dy_invitations_destroy(dy_invitations_t *invitations)
{
	if (!invitations)
		return;
	g_hash_table_destroy(invitations->guests);
	g_free(invitations);
}

void dy_invitations_clear(dy_invitations_t *invitations)
{
	g_hash_table_remove_all(invitations->guests);
	dy_list_init(&invitations->balancers);
	dy_list_init(&invitations->agents);
	dy_list_init(&invitations->invited);
	invitations->invited_count = 0;
}

void dy_invitations_add(dy_invitations_t *invitations, uint64_t member,
			int is_balancer)
{
	guest_t *guest;

	if (g_hash_table_contains(invitations->guests, &member))
		return;
	guest = g_new0(guest_t, 1);
	guest->member = member;
	dy_list_init(&guest->link);
	dy_list_append(is_balancer ? &invitations->balancers
				   : &invitations->agents,
		       &guest->link);
	g_hash_table_insert(invitations->guests, &guest->member, guest);
}

static void end_guest(dy_invitations_t *invitations, guest_t *guest)
{
	dy_list_remove(&guest->link);
	if (guest->is_invited)
		invitations->invited_count--;
	g_hash_table_remove(invitations->guests, &guest->member);
}

void dy_invitations_remove(dy_invitations_t *invitations, uint64_t member)
{
	guest_t *guest = g_hash_table_lookup(invitations->guests, &member);

	if (guest)
		end_guest(invitations, guest);
}

static guest_t *first_of(const dy_list_t *line)
{
	return dy_list_empty(line) ? NULL
				   : DY_LIST_ITEM(line->next, guest_t, link);
}

static void drop_late(dy_invitations_t *invitations, uint64_t now_ms)
{
	guest_t *guest;

	while ((guest = first_of(&invitations->invited)) &&
	       now_ms - guest->invited_ms >= DY_INVITATION_TIMEOUT_MS)
		end_guest(invitations, guest);
}

int dy_invitations_next(dy_invitations_t *invitations, uint64_t now_ms,
			uint64_t *member)
{
	guest_t *guest;

	drop_late(invitations, now_ms);
	if (invitations->invited_count >= DY_INVITATIONS_IN_FLIGHT_MAX)
		return 0;
	guest = first_of(&invitations->balancers);
	if (!guest)
		guest = first_of(&invitations->agents);
	if (!guest)
		return 0;
	guest->is_invited = 1;
	guest->invited_ms = now_ms;
	dy_list_remove(&guest->link);
	dy_list_append(&invitations->invited, &guest->link);
	invitations->invited_count++;
	*member = guest->member;
	return 1;
}

int dy_invitations_is_empty(const dy_invitations_t *invitations)
{
	return !g_hash_table_size(invitations->guests);
}
