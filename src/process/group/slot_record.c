#include "slot_record.h"

#include <string.h>

#include "store_private.h"
#include "store_record.h"

#define SLOT_NAME "slot"

static void encode_peers(dy_record_slot_t *out, const dy_peers_t *peers,
			 dy_slot_address_t list[DY_RAFT_MEMBERS_MAX],
			 char texts[][DY_ADDRESS_TEXT_BYTES])
{
	u_int count = 0;
	uint32_t slot;

	for (slot = 1; slot <= DY_RAFT_MEMBERS_MAX; slot++) {
		if (!peers->slots[slot].port)
			continue;
		list[count].slot = slot;
		list[count].address = (char *)dy_address_format(
			&peers->slots[slot], texts[count]);
		count++;
	}
	out->count = peers->count;
	out->peers.peers_len = count;
	out->peers.peers_val = list;
}

int slot_record_write(const dy_disk_t *disk, const slot_record_t *record,
		      GError **error)
{
	char texts[DY_RAFT_MEMBERS_MAX][DY_ADDRESS_TEXT_BYTES];
	dy_slot_address_t list[DY_RAFT_MEMBERS_MAX];
	dy_record_t out = { .kind = DY_RECORD_SLOT };
	dy_record_slot_t *slot = &out.dy_record_t_u.slot;
	int code;

	slot->group = record->group;
	slot->slot = record->slot;
	slot->first_start = !!record->first_start;
	encode_peers(slot, &record->peers, list, texts);
	code = store_replace_file(disk, SLOT_NAME, &out);
	if (code >= 0)
		return 0;
	g_set_error(error, DY_STORE_ERROR, DY_STORE_ERROR_IO,
		    "%s: cannot write: %s", SLOT_NAME, g_strerror(-code));
	return -1;
}

/* Returns whether all of the record is valid. */
static int decode(const dy_record_slot_t *in, slot_record_t *record)
{
	const dy_slot_address_t *peer;
	u_int i;

	memset(record, 0, sizeof(*record));
	if (!in->slot || in->slot > DY_RAFT_MEMBERS_MAX)
		return 0;
	for (i = 0; i < in->peers.peers_len; i++) {
		peer = &in->peers.peers_val[i];
		if (!peer->slot || peer->slot > DY_RAFT_MEMBERS_MAX ||
		    dy_address_parse(peer->address,
				     &record->peers.slots[peer->slot]))
			return 0;
	}
	record->group = in->group;
	record->slot = in->slot;
	record->first_start = in->first_start;
	record->peers.count = in->count;
	return 1;
}

int slot_record_read(const dy_disk_t *disk, slot_record_t *record,
		     GError **error)
{
	GError *failure = NULL;
	GByteArray *file = store_read_file(disk, SLOT_NAME, &failure);
	dy_record_t in;
	int valid = 0;

	memset(record, 0, sizeof(*record));
	if (failure) {
		g_propagate_error(error, failure);
		return -1;
	}
	if (!file)
		return 0;
	if (record_decode(file->data, file->len, 0, &in)) {
		valid = in.kind == DY_RECORD_SLOT &&
			decode(&in.dy_record_t_u.slot, record);
		record_drop(&in);
	}
	g_byte_array_free(file, TRUE);
	if (valid)
		return 1;
	memset(record, 0, sizeof(*record));
	return store_corrupt(SLOT_NAME, 0, "the record is damaged", error);
}

int slot_record_save(const char *folder, const slot_record_t *record,
		     GError **error)
{
	dy_disk_t *disk = dy_disk_create(folder, error);
	int failed = disk ? slot_record_write(disk, record, error) : -1;

	dy_disk_destroy(disk);
	return failed;
}

int slot_record_load(const char *folder, slot_record_t *record, GError **error)
{
	dy_disk_t *disk = dy_disk_create(folder, error);
	int found = disk ? slot_record_read(disk, record, error) : -1;

	dy_disk_destroy(disk);
	return found;
}
