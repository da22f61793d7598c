#include "damaskyard/slot_grants.h"

#include <glib.h>

#include "damaskyard/list.h"

/* A reservation, or a grant whose opening has not arrived. */
typedef struct place {
	dy_list_t link;
	dy_address_t balancer;
	uint32_t standing;
	uint64_t expires_ms;
} place_t;

struct dy_slot_grants {
	dy_list_t wanted;  /* lowest standing first */
	dy_list_t granted; /* oldest first */
	unsigned wanted_count;
	unsigned granted_count;
};

dy_slot_grants_t *dy_slot_grants_create(void)
{
	dy_slot_grants_t *grants = g_new0(dy_slot_grants_t, 1);

	dy_list_init(&grants->wanted);
	dy_list_init(&grants->granted);
	return grants;
}

static void drop(place_t *place, unsigned *count)
{
	dy_list_remove(&place->link);
	g_free(place);
	--*count;
}

static place_t *item(dy_list_t *link)
{
	return DY_LIST_ITEM(link, place_t, link);
}

static void drop_all(dy_list_t *list, unsigned *count)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, list)
	drop(item(pos), count);
}

void dy_slot_grants_destroy(dy_slot_grants_t *grants)
{
	if (!grants)
		return;
	drop_all(&grants->wanted, &grants->wanted_count);
	drop_all(&grants->granted, &grants->granted_count);
	g_free(grants);
}

/* Inserts behind all places of the same or a lower standing. */
static void insert_by_standing(dy_list_t *list, place_t *place)
{
	dy_list_t *pos = list->prev;

	while (pos != list && item(pos)->standing > place->standing)
		pos = pos->prev;
	dy_list_append(pos->next, &place->link);
}

void dy_slot_grants_reserve(dy_slot_grants_t *grants,
			    const dy_address_t *balancer, uint32_t standing,
			    uint64_t now_ms)
{
	place_t *place = g_new0(place_t, 1);

	place->balancer = *balancer;
	place->standing = standing;
	place->expires_ms = now_ms + DY_RESERVATION_TTL_MS;
	insert_by_standing(&grants->wanted, place);
	if (++grants->wanted_count > DY_RESERVATIONS_MAX)
		drop(item(grants->wanted.prev), &grants->wanted_count);
}

static void expire(dy_list_t *list, unsigned *count, uint64_t now_ms)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, list)
	if (item(pos)->expires_ms <= now_ms)
		drop(item(pos), count);
}

int dy_slot_grants_next(dy_slot_grants_t *grants, uint64_t now_ms,
			dy_address_t *balancer)
{
	place_t *place;

	expire(&grants->wanted, &grants->wanted_count, now_ms);
	if (dy_list_empty(&grants->wanted))
		return 0;
	place = item(grants->wanted.next);
	dy_list_remove(&place->link);
	grants->wanted_count--;
	place->expires_ms = now_ms + DY_GRANT_TTL_MS;
	dy_list_append(&grants->granted, &place->link);
	grants->granted_count++;
	*balancer = place->balancer;
	return 1;
}

static place_t *find_place(dy_list_t *list, const dy_address_t *balancer)
{
	dy_list_t *pos;

	DY_LIST_EACH(pos, list)
	if (dy_address_equal(&item(pos)->balancer, balancer))
		return item(pos);
	return NULL;
}

/* Drops the places of one balancer. Returns their number. */
static unsigned drop_places(dy_list_t *list, unsigned *count,
			    const dy_address_t *balancer)
{
	unsigned before = *count;
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, list)
	if (dy_address_equal(&item(pos)->balancer, balancer))
		drop(item(pos), count);
	return before - *count;
}

int dy_slot_grants_use(dy_slot_grants_t *grants, const dy_address_t *balancer)
{
	place_t *place = find_place(&grants->granted, balancer);

	if (!place)
		return 0;
	drop(place, &grants->granted_count);
	return 1;
}

void dy_slot_grants_decline(dy_slot_grants_t *grants,
			    const dy_address_t *balancer)
{
	drop_places(&grants->granted, &grants->granted_count, balancer);
	drop_places(&grants->wanted, &grants->wanted_count, balancer);
}

unsigned dy_slot_grants_return(dy_slot_grants_t *grants, dy_address_t *balancer)
{
	if (dy_list_empty(&grants->wanted))
		return 0;
	*balancer = item(grants->wanted.next)->balancer;
	return drop_places(&grants->wanted, &grants->wanted_count, balancer);
}

unsigned dy_slot_grants_expire(dy_slot_grants_t *grants, uint64_t now_ms)
{
	unsigned granted = grants->granted_count;

	expire(&grants->wanted, &grants->wanted_count, now_ms);
	expire(&grants->granted, &grants->granted_count, now_ms);
	return granted - grants->granted_count;
}

unsigned dy_slot_grants_pending(const dy_slot_grants_t *grants)
{
	return grants->granted_count;
}

unsigned dy_slot_grants_wanted(const dy_slot_grants_t *grants)
{
	return grants->wanted_count;
}
