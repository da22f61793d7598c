#include "slot_claim.h"

#include <stdlib.h>
#include <string.h>

#include "damaskyard/log.h"
#include "damaskyard/loop.h"
#include "damaskyard/seal.h"
#include "damaskyard/store.h"
#include "dy_group.h"

/*
 * Between two rounds of questions, in ms: a few round trips between failure
 * domains; a leader is elected in some 500.
 */
#define ASK_MS 200

/* Bytes of a question with its seal. */
#define MESSAGE_BYTES 1024

typedef struct asker {
	dy_control_options_t *options;
	const dy_flow_settings_t *settings;
	dy_loop_t *loop;
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	uint64_t echo;
	int given;
} asker_t;

static int compare_addresses(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(dy_address_t));
}

/* Whether this control is one of the founders; sets its slot and peers. */
static int take_founders_place(dy_control_options_t *options,
			       const dy_flow_settings_t *settings)
{
	dy_address_list_t seeds = settings->seeds;
	int i;

	qsort(seeds.items, (size_t)seeds.count, sizeof(seeds.items[0]),
	      compare_addresses);
	options->peers.count = (unsigned)seeds.count;
	for (i = 0; i < seeds.count; i++) {
		options->peers.slots[i + 1] = seeds.items[i];
		if (dy_address_equal(&seeds.items[i], &options->listen))
			options->slot = (uint32_t)i + 1;
	}
	return options->slot != 0;
}

static void ask(asker_t *asker, const dy_address_t *to)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_FIND };
	uint8_t out[MESSAGE_BYTES];
	dy_find_t find = { 0 };
	size_t len;

	find.group = asker->options->group;
	find.echo = asker->echo;
	len = dy_seal_write_call(asker->seal, &head, (xdrproc_t)xdr_dy_find_t,
				 &find, out, sizeof(out));
	if (len)
		dy_endpoint_send_to(asker->endpoint, out, len, to);
}

static void on_ask(void *context)
{
	asker_t *asker = context;
	const dy_address_list_t *seeds = &asker->settings->seeds;
	int i;

	for (i = 0; i < seeds->count; i++)
		if (!dy_address_equal(&seeds->items[i],
				      &asker->options->listen))
			ask(asker, &seeds->items[i]);
}

static void take_place(asker_t *asker, const dy_place_t *place)
{
	dy_peers_t *peers = &asker->options->peers;
	u_int i;

	if (place->status == DY_PLACE_ASK && place->leader.port)
		ask(asker, &place->leader);
	if (place->status != DY_PLACE_GIVEN || !place->slot ||
	    place->slot > DY_RAFT_MEMBERS_MAX)
		return;
	memset(peers->slots, 0, sizeof(peers->slots));
	for (i = 0; i < place->seats.seats_len; i++)
		if (place->seats.seats_val[i].slot <= DY_RAFT_MEMBERS_MAX)
			peers->slots[place->seats.seats_val[i].slot] =
				place->seats.seats_val[i].address;
	peers->slots[place->slot] = asker->options->listen;
	asker->options->slot = place->slot;
	asker->given = 1;
	dy_log_event(DY_LOG_INFO, "place_given", "slot=%u members=%u",
		     place->slot, place->seats.seats_len);
	dy_loop_end(asker->loop);
}

static void on_answer(void *context, uint8_t *bytes, size_t len,
		      const struct sockaddr *from, int truncated)
{
	asker_t *asker = context;
	dy_sealed_t message;
	dy_place_t place;

	(void)from;
	if (truncated ||
	    dy_seal_open(asker->seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.is_reply || message.program != DY_GROUP_PROGRAM ||
	    message.procedure != DY_GROUP_PLACE ||
	    !dy_sealed_load(&message, (xdrproc_t)xdr_dy_place_t, &place,
			    sizeof(place)))
		return;
	if (place.group == asker->options->group && place.echo == asker->echo &&
	    !asker->given)
		take_place(asker, &place);
	xdr_free((xdrproc_t)xdr_dy_place_t, (char *)&place);
}

static void on_stop(void *context)
{
	asker_t *asker = context;

	dy_loop_end(asker->loop);
}

static int ask_for_place(dy_control_options_t *options,
			 const dy_flow_settings_t *settings, GError **error)
{
	dy_metrics_t *metrics = dy_metrics_create();
	asker_t asker = { .options = options, .settings = settings };

	dy_random_fill(&asker.echo, sizeof(asker.echo));
	asker.loop = dy_loop_create(metrics);
	asker.seal = dy_seal_create(&options->secrets, metrics);
	asker.endpoint = dy_endpoint_create(asker.loop, &options->listen,
					    on_answer, &asker, error);
	if (asker.endpoint) {
		dy_loop_on_stop(asker.loop, on_stop, &asker);
		dy_loop_every(asker.loop, ASK_MS, on_ask, &asker);
		dy_log_event(DY_LOG_INFO, "place_wanted", "seeds=%d",
			     settings->seeds.count);
		on_ask(&asker);
		dy_loop_run(asker.loop);
	}
	dy_endpoint_destroy(asker.endpoint);
	dy_loop_destroy(asker.loop);
	dy_seal_destroy(asker.seal);
	dy_metrics_destroy(metrics);
	if (asker.given)
		return 1;
	return asker.endpoint ? 0 : -1;
}

int slot_claim_run(dy_control_options_t *options,
		   const dy_flow_settings_t *settings, GError **error)
{
	int held = dy_store_find_slot(options->folder, &options->slot, error);

	options->peers.count = (unsigned)settings->seeds.count;
	if (held < 0)
		return -1;
	if (held)
		return 1;
	if (settings->first_start && take_founders_place(options, settings))
		return 1;
	return ask_for_place(options, settings, error);
}
