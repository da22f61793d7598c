#include "slot_claim.h"

#include <stdlib.h>
#include <string.h>

#include "damaskyard/log.h"
#include "damaskyard/loop.h"
#include "damaskyard/seal.h"
#include "damaskyard/store.h"
#include "dy_group.h"
#include "flow_member.h"
#include "slot_record.h"

/*
 * Interval between requests to the seeds, in ms: a few round trips between
 * failure domains. An election takes about 500 ms.
 */
#define REQUEST_INTERVAL_MS 200

/* A claim that still waits is logged after each so many requests. */
#define WAIT_LOG_REQUESTS 10

/*
 * Requests of a control of the first start that has not joined in time, before
 * it takes its listed slot again: a leader is found within a second.
 */
#define RETRY_REQUESTS 10

/* Size of a request with its seal. */
#define MESSAGE_BYTES 1024

typedef struct slot_claim {
	dy_control_options_t *options;
	dy_flow_settings_t *settings;
	const char *path; /* of the settings file */
	dy_loop_t *loop;
	dy_endpoint_t *endpoint;
	dy_seal_t *seal;
	uint64_t echo;
	int granted;
	int stopped;
	unsigned requests;
	unsigned max_requests; /* 0: as many as it takes */
	unsigned answers;
	dy_place_status_t status; /* of the last answer, as is leader */
	dy_address_t leader;
	dy_address_t sender; /* of the last message of the log; port 0: none */
} slot_claim_t;

static int compare_addresses(const void *a, const void *b)
{
	return memcmp(a, b, sizeof(dy_address_t));
}

/* Set slot and peers. Returns whether this control is one of the seeds. */
static int claim_seed_slot(dy_control_options_t *options,
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

static void send_find(slot_claim_t *claim, const dy_address_t *to)
{
	dy_seal_header_t head = { 0, DY_GROUP_PROGRAM, DY_GROUP_FIND };
	uint8_t out[MESSAGE_BYTES];
	dy_find_t find = { 0 };
	size_t len;

	find.group = claim->options->group;
	find.echo = claim->echo;
	len = dy_seal_write_call(claim->seal, &head, (xdrproc_t)xdr_dy_find_t,
				 &find, out, sizeof(out));
	if (len)
		dy_endpoint_send_to(claim->endpoint, out, len, to);
}

/* Tells why a control has no slot: nobody answers, or nobody decides. */
static void log_wait(const slot_claim_t *claim)
{
	char text[DY_ADDRESS_TEXT_BYTES];

	dy_log_event(
		DY_LOG_WARN, "slot_awaited",
		"ms=%u seeds=%d answers=%u status=%d leader=%s",
		claim->requests * REQUEST_INTERVAL_MS,
		claim->settings->seeds.count, claim->answers, claim->status,
		claim->leader.port ? dy_address_format(&claim->leader, text)
				   : "none");
}

static void on_request_timer(void *context)
{
	slot_claim_t *claim = context;
	const dy_address_list_t *seeds = &claim->settings->seeds;
	int i;

	if (claim->requests && claim->requests % WAIT_LOG_REQUESTS == 0)
		log_wait(claim);
	if (claim->max_requests && claim->requests >= claim->max_requests)
		dy_loop_end(claim->loop);
	claim->requests++;
	for (i = 0; i < seeds->count; i++)
		if (!dy_address_equal(&seeds->items[i],
				      &claim->options->listen))
			send_find(claim, &seeds->items[i]);
	if (claim->sender.port)
		send_find(claim, &claim->sender);
}

static void take_slot(slot_claim_t *claim, const dy_place_t *place)
{
	dy_control_options_t *options = claim->options;
	dy_peers_t *peers = &options->peers;
	const dy_seat_t *seat;
	u_int i;

	memset(peers->slots, 0, sizeof(peers->slots));
	for (i = 0; i < place->seats.seats_len; i++) {
		seat = &place->seats.seats_val[i];
		if (seat->slot <= DY_RAFT_MEMBERS_MAX)
			peers->slots[seat->slot] = seat->address;
	}
	peers->slots[place->slot] = options->listen;
	options->slot = place->slot;
	options->joins_running_group = place->status == DY_PLACE_GIVEN;
	peers->count = options->joins_running_group
			       ? (unsigned)claim->settings->seeds.count
			       : place->seats.seats_len;
	claim->granted = 1;
	dy_log_event(DY_LOG_INFO, "slot_assigned",
		     "slot=%u members=%u first_start=%d", place->slot,
		     place->seats.seats_len, !options->joins_running_group);
}

/* A control that has a listed slot already needs one from a leader. */
static int is_offer(const slot_claim_t *claim, const dy_place_t *place)
{
	return place->slot && place->slot <= DY_RAFT_MEMBERS_MAX &&
	       (place->status == DY_PLACE_GIVEN ||
		(place->status == DY_PLACE_LISTED && !claim->max_requests));
}

static void receive_place(slot_claim_t *claim, const dy_place_t *place)
{
	claim->answers++;
	claim->status = place->status;
	claim->leader = place->leader;
	if (place->status == DY_PLACE_ASK && place->leader.port)
		send_find(claim, &place->leader);
	if (!is_offer(claim, place))
		return;
	take_slot(claim, place);
	dy_loop_end(claim->loop);
}

static void on_datagram(void *context, uint8_t *bytes, size_t len,
			const struct sockaddr *from, int truncated)
{
	slot_claim_t *claim = context;
	dy_sealed_t message;
	dy_place_t place;

	if (truncated ||
	    dy_seal_open(claim->seal, bytes, len, &message) != DY_SEAL_OK ||
	    message.is_reply || message.program != DY_GROUP_PROGRAM)
		return;
	/* A leader sends to the identity that this address had before. */
	if (message.procedure == DY_GROUP_RAFT)
		dy_address_load(&claim->sender, from);
	if (message.procedure != DY_GROUP_PLACE ||
	    !dy_sealed_load(&message, (xdrproc_t)xdr_dy_place_t, &place,
			    sizeof(place)))
		return;
	if (place.group == claim->options->group && place.echo == claim->echo &&
	    !claim->granted)
		receive_place(claim, &place);
	xdr_free((xdrproc_t)xdr_dy_place_t, (char *)&place);
}

static void on_stop(void *context)
{
	slot_claim_t *claim = context;

	claim->stopped = 1;
	dy_loop_end(claim->loop);
}

/* Changed seeds are asked at once: those of before may all be gone. */
static void on_settings(void *context)
{
	slot_claim_t *claim = context;

	if (dy_flow_settings_reload_seeds(claim->settings, claim->path) &&
	    !claim->granted)
		on_request_timer(claim);
}

typedef enum claim_result {
	CLAIM_FAILED = -1,
	CLAIM_STOPPED = 0,
	CLAIM_GRANTED = 1,
	CLAIM_UNANSWERED = 2 /* after max_requests */
} claim_result_t;

static claim_result_t claim_result(const slot_claim_t *claim)
{
	if (!claim->endpoint)
		return CLAIM_FAILED;
	if (claim->stopped)
		return CLAIM_STOPPED;
	return claim->granted ? CLAIM_GRANTED : CLAIM_UNANSWERED;
}

static claim_result_t request_slot(dy_control_options_t *options,
				   dy_flow_settings_t *settings,
				   const char *path, unsigned max_requests,
				   GError **error)
{
	dy_metrics_t *metrics = dy_metrics_create();
	claim_result_t result;
	slot_claim_t claim = { .options = options,
			       .settings = settings,
			       .path = path,
			       .max_requests = max_requests };

	dy_random_fill(&claim.echo, sizeof(claim.echo));
	claim.loop = dy_loop_create(metrics);
	claim.seal = dy_seal_create(&options->secrets, metrics);
	claim.endpoint = dy_endpoint_create(claim.loop, &options->listen,
					    on_datagram, &claim, error);
	if (claim.endpoint) {
		dy_loop_on_stop(claim.loop, on_stop, &claim);
		dy_loop_on_reload(claim.loop, on_settings, &claim);
		dy_loop_every(claim.loop, FLOW_SETTINGS_RELOAD_INTERVAL_MS,
			      on_settings, &claim);
		dy_loop_every(claim.loop, REQUEST_INTERVAL_MS, on_request_timer,
			      &claim);
		dy_log_event(DY_LOG_INFO, "slot_requested", "seeds=%d",
			     settings->seeds.count);
		on_request_timer(&claim);
		dy_loop_run(claim.loop);
	}
	result = claim_result(&claim);
	dy_endpoint_destroy(claim.endpoint);
	dy_loop_destroy(claim.loop);
	dy_seal_destroy(claim.seal);
	dy_metrics_destroy(metrics);
	return result;
}

/* Returns whether there is a valid record of this group. */
static int load_record(const dy_control_options_t *options,
		       slot_record_t *record)
{
	GError *error = NULL;
	int found = slot_record_load(options->folder, record, &error);

	if (error) {
		dy_log_event(DY_LOG_WARN, "slot_record_damaged", "error=%s",
			     dy_log_quote(error->message));
		g_error_free(error);
	}
	return found > 0 && record->group == options->group;
}

/* Make what was told durable, so that a restart goes on with it. */
static int save_record(const dy_control_options_t *options, GError **error)
{
	slot_record_t record = { 0 };

	record.group = options->group;
	record.slot = options->slot;
	record.first_start = !options->joins_running_group;
	record.peers = options->peers;
	return slot_record_save(options->folder, &record, error) ? -1 : 1;
}

static void use_record(dy_control_options_t *options,
		       const slot_record_t *record)
{
	unsigned count = options->peers.count;

	options->slot = record->slot;
	options->joins_running_group = !record->first_start;
	options->peers = record->peers;
	if (!record->first_start)
		options->peers.count = count;
	options->peers.slots[record->slot] = options->listen;
	dy_log_event(DY_LOG_INFO, "slot_restored", "slot=%u first_start=%d",
		     record->slot, record->first_start);
}

/*
 * The data folder has a member. If nothing tells its peers, they are those of
 * its log, and until it has any, the seeds are asked.
 */
static void restore_member(dy_control_options_t *options,
			   const dy_flow_settings_t *settings,
			   const slot_record_t *record)
{
	dy_control_options_t seed = *options;

	if (record->slot == options->slot) {
		use_record(options, record);
		return;
	}
	dy_log_event(DY_LOG_INFO, "slot_record_missing", "slot=%u",
		     options->slot);
	if (settings->first_start && claim_seed_slot(&seed, settings) &&
	    seed.slot == options->slot)
		options->peers = seed.peers;
}

/* Claim a slot from a leader, and give up the member of the folder for it. */
static int replace_member(dy_control_options_t *options,
			  dy_flow_settings_t *settings, const char *path,
			  unsigned max_requests, GError **error)
{
	claim_result_t result =
		request_slot(options, settings, path, max_requests, error);

	if (result != CLAIM_GRANTED)
		return result;
	return dy_store_clear(options->folder, error)
		       ? -1
		       : save_record(options, error);
}

/*
 * The member of the folder has not joined in time. A control of the first start
 * asks first: the group may have been founded, and its slot be another's by
 * now. If nobody gives one, the first start goes on, with the list that it
 * began with: founded from another list, the group could be a second one.
 */
static int retry_claim(dy_control_options_t *options,
		       dy_flow_settings_t *settings, const char *path,
		       const slot_record_t *record, GError **error)
{
	unsigned max_requests = record->first_start ? RETRY_REQUESTS : 0;
	int result =
		replace_member(options, settings, path, max_requests, error);

	if (result != CLAIM_UNANSWERED)
		return result;
	use_record(options, record);
	return 1;
}

int slot_claim_run(dy_control_options_t *options, dy_flow_settings_t *settings,
		   const char *path, int retry, GError **error)
{
	int found = dy_store_find_slot(options->folder, &options->slot, error);
	slot_record_t record;
	int claimed;

	options->peers.count = (unsigned)settings->seeds.count;
	if (found < 0)
		return -1;
	if (!load_record(options, &record))
		memset(&record, 0, sizeof(record));
	if (found && retry)
		return retry_claim(options, settings, path, &record, error);
	if (found) {
		restore_member(options, settings, &record);
		return 1;
	}
	if (record.first_start) {
		use_record(options, &record);
		return 1;
	}
	if (!record.slot && settings->first_start &&
	    claim_seed_slot(options, settings))
		return save_record(options, error);
	claimed = request_slot(options, settings, path, 0, error);
	return claimed > 0 ? save_record(options, error) : claimed;
}
