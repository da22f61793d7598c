#include <stdlib.h>
#include <string.h>

#include "damaskyard/control.h"
#include "damaskyard/settings.h"

static gboolean refuse(const char *text, const char *expected, GError **error)
{
	g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_VALUE,
		    "--peers: \"%s\" is not allowed: expected %s", text,
		    expected);
	return FALSE;
}

static gboolean add_peer(dy_peers_t *peers, const char *item, GError **error)
{
	dy_address_t address;
	unsigned long slot;
	unsigned i;
	char *end;

	slot = strtoul(item, &end, 10);
	if (end == item || *end != '=' || !slot || slot > DY_RAFT_MEMBERS_MAX ||
	    dy_address_parse(end + 1, &address) || !address.port)
		return refuse(item, "ID=IP:PORT with an ID from 1 to 16",
			      error);
	if (peers->slots[slot].port)
		return refuse(item, "each ID once", error);
	for (i = 1; i <= DY_RAFT_MEMBERS_MAX; i++)
		if (peers->slots[i].port &&
		    dy_address_equal(&peers->slots[i], &address))
			return refuse(item, "each address once", error);
	peers->slots[slot] = address;
	peers->count++;
	return TRUE;
}

gboolean dy_peers_parse(dy_peers_t *peers, const char *text, GError **error)
{
	char **items = g_strsplit(text, ",", -1);
	gboolean ok = TRUE;
	int i;

	memset(peers, 0, sizeof(*peers));
	for (i = 0; ok && items[i]; i++)
		ok = add_peer(peers, items[i], error);
	g_strfreev(items);
	if (ok && !peers->count)
		return refuse(text, "ID=IP:PORT,...", error);
	return ok;
}

uint32_t dy_peers_lowest_slot(const dy_peers_t *peers)
{
	uint32_t slot;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++)
		if (peers->slots[slot].port)
			return slot;
	return 0;
}
