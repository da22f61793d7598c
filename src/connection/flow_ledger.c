#include "damaskyard/flow_ledger.h"

#include <string.h>

#include "damaskyard/flow_holder.h"

/* Maximum size of an encoded part with its names. */
#define PART_MAX_BYTES 2048

/* A list, complete or with parts missing. */
typedef struct list {
	char *target;
	uint64_t started_ms;
	uint64_t made_ms;
	uint32_t good_ms;
	uint32_t number;
	uint32_t parts;
	uint64_t parts_received; /* one bit per part */
	GArray *flows;		 /* of dy_ledger_flow_t */
} list_t;

typedef struct agent_lists {
	char *agent;
	list_t *complete;
	list_t *incoming;
} agent_lists_t;

/* Lists before the latest one that are known to be older by their numbers. */
#define LATE_LISTS_MAX 1000u

struct dy_flow_ledger {
	GHashTable *lists_by_agent; /* of agent_lists_t */
	unsigned flows;		    /* in complete lists */
};

static void free_list(list_t *list)
{
	if (!list)
		return;
	g_array_free(list->flows, TRUE);
	g_free(list->target);
	g_free(list);
}

static void free_agent_lists(void *data)
{
	agent_lists_t *lists = data;

	free_list(lists->complete);
	free_list(lists->incoming);
	g_free(lists->agent);
	g_free(lists);
}

unsigned dy_flow_ledger_copies(unsigned losses, unsigned controls)
{
	return MIN(MAX(losses, 1u) + 1, controls);
}

uint32_t dy_flow_ledger_ttl_ms(uint32_t interval_ms)
{
	uint32_t max_ms = (DY_RESET_WINDOW_BYTES - DY_LOW_RATE_BURST_BYTES) /
			  DY_LOW_RATE_BYTES_PER_S * 1000;

	return MIN(DY_LEDGER_TTL_INTERVALS * interval_ms, max_ms);
}

dy_flow_ledger_t *dy_flow_ledger_create(void)
{
	dy_flow_ledger_t *ledger = g_new0(dy_flow_ledger_t, 1);

	ledger->lists_by_agent = g_hash_table_new_full(g_str_hash, g_str_equal,
						       NULL, free_agent_lists);
	return ledger;
}

void dy_flow_ledger_destroy(dy_flow_ledger_t *ledger)
{
	if (!ledger)
		return;
	g_hash_table_destroy(ledger->lists_by_agent);
	g_free(ledger);
}

static agent_lists_t *get_agent_lists(dy_flow_ledger_t *ledger,
				      const char *agent)
{
	agent_lists_t *lists =
		g_hash_table_lookup(ledger->lists_by_agent, agent);

	if (lists)
		return lists;
	lists = g_new0(agent_lists_t, 1);
	lists->agent = g_strdup(agent);
	g_hash_table_insert(ledger->lists_by_agent, lists->agent, lists);
	return lists;
}

static list_t *begin_list(const dy_ledger_part_t *part)
{
	list_t *list = g_new0(list_t, 1);

	list->target = g_strdup(part->target);
	list->started_ms = part->born_ms;
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
	return list->parts_received == UINT64_MAX >> (64 - list->parts);
}

static unsigned count_flows(const list_t *list)
{
	return list ? list->flows->len : 0;
}

/* Returns 0 if the list exceeds the capacity. */
static int replace_complete(dy_flow_ledger_t *ledger, agent_lists_t *lists)
{
	unsigned flows = ledger->flows - count_flows(lists->complete) +
			 count_flows(lists->incoming);

	if (flows > DY_LEDGER_FLOWS_MAX) {
		free_list(lists->incoming);
		lists->incoming = NULL;
		return 0;
	}
	ledger->flows = flows;
	free_list(lists->complete);
	lists->complete = lists->incoming;
	lists->incoming = NULL;
	return 1;
}

/*
 * Guards against a part that was held up and completes a list that the agent
 * has replaced since. Numbers of one run of the agent follow each other; those
 * of another run are far from them.
 */
static int is_late(const list_t *complete, const dy_ledger_part_t *part)
{
	return complete && complete->number - part->list - 1 < LATE_LISTS_MAX;
}

int dy_flow_ledger_add_part(dy_flow_ledger_t *ledger,
			    const dy_ledger_part_t *part)
{
	agent_lists_t *lists;

	if (part->parts < 1 || part->parts > DY_LEDGER_PARTS_MAX ||
	    part->part >= part->parts)
		return 0;
	lists = get_agent_lists(ledger, part->agent);
	if (is_late(lists->complete, part))
		return 0;
	if (!is_part_of(lists->incoming, part)) {
		free_list(lists->incoming);
		lists->incoming = begin_list(part);
	}
	if (lists->incoming->parts_received & 1ull << part->part)
		return 0;
	lists->incoming->parts_received |= 1ull << part->part;
	g_array_append_vals(lists->incoming->flows, part->flows.flows_val,
			    part->flows.flows_len);
	return is_complete(lists->incoming) && replace_complete(ledger, lists);
}

static unsigned each_part(const agent_lists_t *lists, dy_flow_ledger_cb_t *each,
			  void *context)
{
	const list_t *list = lists->complete;
	dy_ledger_part_t part = { 0 };
	unsigned at = 0;

	if (!list)
		return 0;
	part.agent = lists->agent;
	part.target = list->target;
	part.born_ms = list->started_ms;
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
	const agent_lists_t *lists =
		g_hash_table_lookup(ledger->lists_by_agent, agent);

	return lists ? each_part(lists, each, context) : 0;
}

static void append_part(void *context, dy_ledger_part_t *part)
{
	GByteArray *bytes = context;
	char buf[PART_MAX_BYTES];
	uint32_t len;
	XDR xdr;

	xdrmem_create(&xdr, buf, sizeof(buf), XDR_ENCODE);
	if (xdr_dy_ledger_part_t(&xdr, part)) {
		len = xdr_getpos(&xdr);
		g_byte_array_append(bytes, (uint8_t *)buf, len);
	}
	xdr_destroy(&xdr);
}

void dy_flow_ledger_write(const dy_flow_ledger_t *ledger, GByteArray *bytes)
{
	GHashTableIter iter;
	gpointer lists;

	g_hash_table_iter_init(&iter, ledger->lists_by_agent);
	while (g_hash_table_iter_next(&iter, NULL, &lists))
		each_part(lists, append_part, bytes);
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
