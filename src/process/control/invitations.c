#include "damaskyard/invitations.h"

#include <glib.h>

#include "damaskyard/list.h"

typedef struct invitation {
	uint64_t member;
	uint64_t sent_ms;
	int is_sent;
	dy_list_t link; /* in balancers, agents or sent */
} invitation_t;

struct dy_invitations {
	GHashTable *by_member; /* invitation_t by member, owned */
	dy_list_t balancers;
	dy_list_t agents;
	dy_list_t sent; /* oldest first */
	unsigned sent_count;
};

dy_invitations_t *dy_invitations_create(void)
{
	dy_invitations_t *invitations = g_new0(dy_invitations_t, 1);

	invitations->by_member = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, NULL, g_free);
	dy_list_init(&invitations->balancers);
	dy_list_init(&invitations->agents);
	dy_list_init(&invitations->sent);
	return invitations;
}

void dy_invitations_destroy(dy_invitations_t *invitations)
{
	if (!invitations)
		return;
	g_hash_table_destroy(invitations->by_member);
	g_free(invitations);
}

void dy_invitations_clear(dy_invitations_t *invitations)
{
	g_hash_table_remove_all(invitations->by_member);
	dy_list_init(&invitations->balancers);
	dy_list_init(&invitations->agents);
	dy_list_init(&invitations->sent);
	invitations->sent_count = 0;
}

void dy_invitations_add(dy_invitations_t *invitations, uint64_t member,
			int is_balancer)
{
	invitation_t *invitation;

	if (g_hash_table_contains(invitations->by_member, &member))
		return;
	invitation = g_new0(invitation_t, 1);
	invitation->member = member;
	dy_list_init(&invitation->link);
	dy_list_append(is_balancer ? &invitations->balancers
				   : &invitations->agents,
		       &invitation->link);
	g_hash_table_insert(invitations->by_member, &invitation->member,
			    invitation);
}

static void remove_invitation(dy_invitations_t *invitations,
			      invitation_t *invitation)
{
	dy_list_remove(&invitation->link);
	if (invitation->is_sent)
		invitations->sent_count--;
	g_hash_table_remove(invitations->by_member, &invitation->member);
}

void dy_invitations_remove(dy_invitations_t *invitations, uint64_t member)
{
	invitation_t *invitation =
		g_hash_table_lookup(invitations->by_member, &member);

	if (invitation)
		remove_invitation(invitations, invitation);
}

static invitation_t *first_of(const dy_list_t *list)
{
	return dy_list_empty(list)
		       ? NULL
		       : DY_LIST_ITEM(list->next, invitation_t, link);
}

static void drop_expired(dy_invitations_t *invitations, uint64_t now_ms)
{
	invitation_t *invitation;

	while ((invitation = first_of(&invitations->sent)) &&
	       now_ms - invitation->sent_ms >= DY_INVITATION_TIMEOUT_MS)
		remove_invitation(invitations, invitation);
}

int dy_invitations_next(dy_invitations_t *invitations, uint64_t now_ms,
			uint64_t *member)
{
	invitation_t *invitation;

	drop_expired(invitations, now_ms);
	if (invitations->sent_count >= DY_INVITATIONS_IN_FLIGHT_MAX)
		return 0;
	invitation = first_of(&invitations->balancers);
	if (!invitation)
		invitation = first_of(&invitations->agents);
	if (!invitation)
		return 0;
	invitation->is_sent = 1;
	invitation->sent_ms = now_ms;
	dy_list_remove(&invitation->link);
	dy_list_append(&invitations->sent, &invitation->link);
	invitations->sent_count++;
	*member = invitation->member;
	return 1;
}

int dy_invitations_is_empty(const dy_invitations_t *invitations)
{
	return !g_hash_table_size(invitations->by_member);
}
