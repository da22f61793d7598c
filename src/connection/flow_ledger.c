#include "damaskyard/flow_ledger.h"

#include <string.h>

#include "damaskyard/flow_holder.h"

/* Bytes of a part with its names at most, encoded. */
#define PART_BYTES 2048

/* A list, whole or with parts still to come. */
typedef struct list {
	char *target;
	uint64_t born_ms;
	uint64_t made_ms;
	uint32_t good_ms;
	uint32_t number;
	uint32_t parts;
	uint64_t come; /* a bit for each part */
	GArray *flows; /* of dy_ledger_flow_t */
} list_t;

typedef struct account {
	char *agent;
	list_t *whole;
	list_t *coming;
} account_t;

struct dy_flow_ledger {
	GHashTable *accounts; /* by agent */
	unsigned flows;	      /* in whole lists */
};

static void free_list(list_t *list)
{
	if (!list)
		return;
	g_array_free(list->flows, TRUE);
	g_free(list->target);
	g_free(list);
}

static void free_account(void *data)
{
	account_t *account = data;

	free_list(account->whole);
	free_list(account->coming);
	g_free(account->agent);
	g_free(account);
}

unsigned dy_flow_ledger_copies(unsigned losses, unsigned controls)
{
	return MIN(MAX(losses, 1u) + 1, controls);
}

uint32_t dy_flow_ledger_ttl_ms(uint32_t pause_ms)
{
	uint32_t most_ms = (DY_RESET_WINDOW_BYTES - DY_LOW_RATE_BURST_BYTES) /
			   DY_LOW_RATE_BYTES_PER_S * 1000;

	return MIN(DY_LEDGER_TTL_INTERVALS * pause_ms, most_ms);
}

dy_flow_ledger_t *dy_flow_ledger_create(void)
{
	dy_flow_ledger_t *ledger = g_new0(dy_flow_ledger_t, 1);

	ledger->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_account);
	return ledger;
}

void dy_flow_ledger_destroy(dy_flow_ledger_t *ledger)
{
	if (!ledger)
		return;
	g_hash_table_destroy(ledger->accounts);
	g_free(ledger);
}

static account_t *keep_account(dy_flow_ledger_t *ledger, const char *agent)
{
	account_t *account = g_hash_table_lookup(ledger->accounts, agent);

	if (account)
		return account;
	account = g_new0(account_t, 1);
	account->agent = g_strdup(agent);
	g_hash_table_insert(ledger->accounts, account->agent, account);
	return account;
}

static list_t *begin_list(const dy_ledger_part_t *part)
{
	list_t *list = g_new0(list_t, 1);

	list->target = g_strdup(part->target);
	list->born_ms = part->born_ms;
	list->made_ms = part->made_ms;
	list->good_ms = part->good_ms;
	list->number = part->list;
	list->parts = part->parts;
	list->flows = g_array_new(FALSE, FALSE, sizeof(dy_ledger_flow_t));
	return list;
}

static int is_part_of(const list_t *list, const dy_ledger_part_t *part)
{
	return list && list->number == part->list &&
	       list->parts == part->parts && list->made_ms == part->made_ms &&
	       !strcmp(list->target, part->target);
}

static int is_complete(const list_t *list)
{
	return list->come == UINT64_MAX >> (64 - list->parts);
}

static unsigned flows_of(const list_t *list)
{
	return list ? list->flows->len : 0;
}

/* Returns whether there was room. */
static int replace_whole(dy_flow_ledger_t *ledger, account_t *account)
{
	unsigned flows = ledger->flows - flows_of(account->whole) +
			 flows_of(account->coming);

	if (flows > DY_LEDGER_FLOWS_MAX) {
		free_list(account->coming);
		account->coming = NULL;
		return 0;
	}
	ledger->flows = flows;
	free_list(account->whole);
	account->whole = account->coming;
	account->coming = NULL;
	return 1;
}

int dy_flow_ledger_add_part(dy_flow_ledger_t *ledger,
			    const dy_ledger_part_t *part)
{
	account_t *account;

	if (part->parts < 1 || part->parts > DY_LEDGER_PARTS_MAX ||
	    part->part >= part->parts)
		return 0;
	account = keep_account(ledger, part->agent);
	if (!is_part_of(account->coming, part)) {
		free_list(account->coming);
		account->coming = begin_list(part);
	}
	if (account->coming->come & 1ull << part->part)
		return 0;
	account->coming->come |= 1ull << part->part;
	g_array_append_vals(account->coming->flows, part->flows.flows_val,
			    part->flows.flows_len);
	return is_complete(account->coming) && replace_whole(ledger, account);
}

static unsigned each_part(const account_t *account, dy_flow_ledger_cb_t *each,
			  void *context)
{
	const list_t *list = account->whole;
	dy_ledger_part_t part = { 0 };
	unsigned at = 0;

	if (!list)
		return 0;
	part.agent = account->agent;
	part.target = list->target;
	part.born_ms = list->born_ms;
	part.made_ms = list->made_ms;
	part.good_ms = list->good_ms;
	part.list = list->number;
	part.parts = (list->flows->len + DY_LEDGER_FLOWS - 1) / DY_LEDGER_FLOWS;
	part.parts = MAX(part.parts, 1);
	for (; part.part < part.parts; part.part++) {
		part.flows.flows_len =
			MIN(list->flows->len - at, DY_LEDGER_FLOWS);
		part.flows.flows_val =
			&g_array_index(list->flows, dy_ledger_flow_t, at);
		each(context, &part);
		at += part.flows.flows_len;
	}
	return part.parts;
}

unsigned dy_flow_ledger_each_part(const dy_flow_ledger_t *ledger,
				  const char *agent, dy_flow_ledger_cb_t *each,
				  void *context)
{
	const account_t *account = g_hash_table_lookup(ledger->accounts, agent);

	return account ? each_part(account, each, context) : 0;
}

static void append_part(void *context, dy_ledger_part_t *part)
{
	GByteArray *bytes = context;
	char room[PART_BYTES];
	uint32_t len;
	XDR xdr;

	xdrmem_create(&xdr, room, sizeof(room), XDR_ENCODE);
	if (xdr_dy_ledger_part_t(&xdr, part)) {
		len = xdr_getpos(&xdr);
		g_byte_array_append(bytes, (uint8_t *)room, len);
	}
	xdr_destroy(&xdr);
}

void dy_flow_ledger_write(const dy_flow_ledger_t *ledger, GByteArray *bytes)
{
	GHashTableIter iter;
	gpointer account;

	g_hash_table_iter_init(&iter, ledger->accounts);
	while (g_hash_table_iter_next(&iter, NULL, &account))
		each_part(account, append_part, bytes);
}

void dy_flow_ledger_load(dy_flow_ledger_t *ledger, const uint8_t *bytes,
			 size_t len)
{
	dy_ledger_part_t part;
	int readable = 1;
	XDR xdr;

	xdrmem_create(&xdr, (char *)bytes, (u_int)len, XDR_DECODE);
	while (readable && xdr_getpos(&xdr) < len) {
		memset(&part, 0, sizeof(part));
		readable = xdr_dy_ledger_part_t(&xdr, &part);
		if (readable)
			dy_flow_ledger_add_part(ledger, &part);
		xdr_free((xdrproc_t)xdr_dy_ledger_part_t, (char *)&part);
	}
	xdr_destroy(&xdr);
}
