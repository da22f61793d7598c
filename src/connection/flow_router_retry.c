/*
 * Searches that go on past agents that do not answer; see search_retry.h. The
 * first message of a search is that of flow_router_search.c. A copy of its
 * packet is kept until an answer arrives.
 */

#include "flow_router_private.h"

#include <string.h>

#include "damaskyard/address.h"
#include "damaskyard/search_retry.h"

/*
 * Number of a part in the window of its messages, which agents return: the
 * search's serial number, never 0, above the part's. The windows of first
 * messages are smaller.
 */
#define PART_BITS 16
#define PART_MASK ((1u << PART_BITS) - 1)

/* Precision of the mean time of answers, as a shift. */
#define SLOWNESS_SHIFT 6
#define SLOWNESS_MAX 1000u

struct search_track {
	dy_list_t link; /* in the router's list, oldest first */
	flow_t *flow;
	uint64_t began_ms;
	uint64_t sent_ms;   /* the last message of flow_router_search.c */
	uint64_t waited_ms; /* when a message last waited for the link */
	unsigned window;    /* of that message */
	unsigned asked;	    /* agents asked by that message */
	dy_address_t first[DY_FLOW_TRIES]; /* these agents */
	int shared;	   /* several packets of the flow were searched with */
	unsigned suspects; /* as in the retry's start */
	uint32_t order;
	int certain;  /* all answers so far were certain */
	int complete; /* the list has all agents */
	uint32_t serial;
	dy_search_retry_t *retry; /* NULL: the first message is under way */
	dy_address_t *agents;	  /* of the retry */
	dy_address_t last;	  /* the last one that answered */
	dy_packet_t packet;
	size_t len;
	uint8_t bytes[DY_PACKET_BYTES];
};

void flow_router_untrack(dy_flow_router_t *router, flow_t *flow)
{
	search_track_t *track = flow->track;

	if (!track)
		return;
	flow->track = NULL;
	dy_list_remove(&track->link);
	router->track_count--;
	if (track->retry)
		router->parts_asked -= dy_search_retry_asked(track->retry);
	dy_search_retry_destroy(track->retry);
	g_free(track->agents);
	g_free(track);
}

int flow_router_is_retried(const flow_t *flow)
{
	return flow->track && flow->track->retry;
}

static void keep_packet(search_track_t *track, const dy_packet_t *packet,
			const uint8_t *bytes, size_t len)
{
	if (len > sizeof(track->bytes) ||
	    (track->len && track->packet.data_bytes && !packet->data_bytes))
		return;
	track->packet = *packet;
	/* The id points into a packet that is not kept. */
	track->packet.request_id = NULL;
	track->len = len;
	memcpy(track->bytes, bytes, len);
}

void flow_router_keep_packet(flow_t *flow, const dy_packet_t *packet,
			     const uint8_t *bytes, size_t len)
{
	keep_packet(flow->track, packet, bytes, len);
}

void flow_router_track(dy_flow_router_t *router, flow_t *flow,
		       const dy_flow_forward_t *forward,
		       const dy_packet_t *packet, uint64_t now_ms)
{
	search_track_t *track = flow->track;

	if (!track) {
		if (router->track_count >= DY_SEARCHES_MAX)
			return;
		track = g_new0(search_track_t, 1);
		dy_list_init(&track->link);
		dy_list_append(&router->tracks, &track->link);
		router->track_count++;
		track->flow = flow;
		flow->track = track;
		track->began_ms = now_ms;
	}
	keep_packet(track, packet, (uint8_t *)forward->packet.packet_val,
		    forward->packet.packet_len);
	if (track->sent_ms && forward->window == 1) {
		/* The first message's timeout counts, whatever comes later. */
		track->shared = 1;
		return;
	}
	track->window = forward->window;
	track->certain = forward->certain;
	track->asked = forward->tries.tries_len;
	memcpy(track->first, forward->tries.tries_val,
	       track->asked * sizeof(*track->first));
	track->order = router->order;
	track->sent_ms = now_ms;
}

/*
 * Records the time of an answer, in percent of its timeout in an idle network.
 * The mean follows a network that becomes slow at once, so that resends do not
 * add to its load.
 */
static void note_time(dy_flow_router_t *router, uint64_t percent)
{
	int sample = (int)MIN(percent, SLOWNESS_MAX) << SLOWNESS_SHIFT;
	int change = sample - router->slowness;

	router->slowness += change > 0 ? change / 4 : change / 16;
}

/* Returns timeouts in percent of those in an idle network. */
static unsigned timeout_percent(const dy_flow_router_t *router)
{
	return MAX(100, 2u * ((unsigned)router->slowness >> SLOWNESS_SHIFT));
}

static uint64_t first_timeout_ms(const search_track_t *track)
{
	return DY_SEARCH_PART_TIMEOUT_MS(track->asked);
}

/* Returns the time since the first message, in percent as above. */
static unsigned elapsed_percent(const search_track_t *track, uint64_t now_ms)
{
	return (unsigned)MIN((now_ms - track->sent_ms) * 100 /
				     first_timeout_ms(track),
			     SLOWNESS_MAX);
}

void flow_router_note_answer(dy_flow_router_t *router, const flow_t *flow,
			     uint64_t now_ms)
{
	const search_track_t *track = flow->track;

	if (track && !track->shared && (!track->retry || track->suspects))
		note_time(router, elapsed_percent(track, now_ms));
}

/*
 * After a retry, HELD may answer either message. If a second HELD follows, both
 * arrived, so the first message was not lost but slow.
 */
void flow_router_note_held(dy_flow_router_t *router, flow_t *flow,
			   uint64_t now_ms)
{
	if (flow_router_is_retried(flow)) {
		flow->held_percent = elapsed_percent(flow->track, now_ms);
		return;
	}
	flow_router_note_answer(router, flow, now_ms);
	if (!flow->track && flow->held_percent)
		note_time(router, flow->held_percent);
	flow->held_percent = 0;
}

/* Moves the agents that were silent recently to the end. Returns the rest. */
static unsigned move_quiet(const dy_flow_router_t *router, dy_address_t *list,
			   unsigned first, unsigned total, uint64_t now_ms)
{
	dy_address_t quiet[DY_FLOW_SEARCH_MAX];
	unsigned quiet_count = 0;
	unsigned count = first;
	unsigned i;

	for (i = first; i < total; i++)
		if (dy_flow_targets_is_quiet(router->targets, &list[i], now_ms))
			quiet[quiet_count++] = list[i];
		else
			list[count++] = list[i];
	memcpy(&list[count], quiet, quiet_count * sizeof(*quiet));
	return count;
}

/*
 * Lists the agents of a part. A single agent that does not hear this balancer
 * is asked through another one.
 */
static unsigned list_part(const dy_flow_router_t *router,
			  const search_track_t *track,
			  const dy_search_part_t *part, uint64_t now_ms,
			  dy_address_t tries[DY_FLOW_TRIES])
{
	const dy_address_t *agents = &track->agents[part->first];
	unsigned before = 0;

	if (part->count == 1 &&
	    dy_flow_targets_is_path_broken(router->targets, agents) &&
	    dy_flow_targets_find_relay(router->targets, agents,
				       &track->flow->id, now_ms, tries))
		before = 1;
	memcpy(&tries[before], agents, part->count * sizeof(*tries));
	return before + part->count;
}

static void send_part(dy_flow_router_t *router, search_track_t *track,
		      unsigned number, const dy_search_part_t *part,
		      uint64_t now_ms)
{
	dy_flow_forward_t forward = { 0 };
	dy_address_t tries[DY_FLOW_TRIES];

	++*router->parts;
	forward.tell = 1;
	forward.window = track->serial << PART_BITS | number;
	forward.certain = 1;
	forward.tries.tries_val = tries;
	forward.tries.tries_len = list_part(router, track, part, now_ms, tries);
	flow_router_send_forward(router, &forward, &track->packet, track->bytes,
				 track->len);
}

static int is_waiting(const dy_flow_router_t *router,
		      const search_track_t *track)
{
	return router->config.callbacks->is_waiting(router->config.context,
						    &track->flow->id);
}

static void send_parts(dy_flow_router_t *router, search_track_t *track,
		       uint64_t now_ms)
{
	dy_search_part_t part;
	unsigned number;
	int in_turn;

	/* A message that waits would be replaced by the next one. */
	while (!is_waiting(router, track)) {
		in_turn = router->parts_asked + router->searches.count >
			  DY_SEARCHES_MAX;
		if (!dy_search_retry_next(track->retry,
					  now_ms - track->began_ms, in_turn,
					  now_ms, &number, &part))
			return;
		router->parts_asked++;
		send_part(router, track, number, &part, now_ms);
	}
	track->waited_ms = now_ms;
}

static void log_retried(dy_flow_router_t *router, const search_track_t *track,
			const dy_search_start_t *start, uint64_t now_ms)
{
	char text[DY_FLOW_TEXT_BYTES];

	if (dy_log_allow(&router->retried_limit, "search_retried", now_ms))
		dy_log_event(DY_LOG_INFO, "search_retried",
			     "flow=%s agents=%u unanswered=%u quiet=%u ms=%lu",
			     dy_flow_id_format(&track->flow->id, text),
			     start->total, start->suspects,
			     start->total - start->quiet,
			     (unsigned long)(now_ms - track->began_ms));
}

/*
 * Continues the search of a flow in parts, which begin with the window after
 * that of start.
 */
static void begin_retry(dy_flow_router_t *router, search_track_t *track,
			dy_search_start_t *start, uint64_t now_ms)
{
	dy_address_t list[DY_FLOW_SEARCH_MAX + DY_FLOW_TRIES];
	flow_t *flow = track->flow;

	memcpy(list, track->first, start->suspects * sizeof(*list));
	start->total = start->suspects +
		       flow_router_list_agents(router, &flow->id, start->ended,
					       &track->complete,
					       &list[start->suspects], now_ms);
	if (!start->total) {
		++*router->unplaced;
		dy_search_limit_end(&router->searches, &flow->search);
		flow_router_untrack(router, flow);
		return;
	}
	++*router->retried;
	start->quiet =
		move_quiet(router, list, start->suspects, start->total, now_ms);
	log_retried(router, track, start, now_ms);
	router->serial = router->serial % PART_MASK + 1;
	track->serial = router->serial;
	track->agents = g_memdup2(list, start->total * sizeof(*list));
	track->suspects = start->suspects;
	track->retry = dy_search_retry_create(start);
	send_parts(router, track, now_ms);
}

/* Continues a search whose message got no answer. */
static void retry(dy_flow_router_t *router, search_track_t *track,
		  uint64_t now_ms)
{
	dy_search_start_t start = { 0 };

	if (track->order == router->order) {
		start.suspects = track->asked;
		start.ended = track->window;
	} else {
		/* The next windows of another order would leave agents out. */
		track->order = router->order;
		track->certain = 1;
	}
	begin_retry(router, track, &start, now_ms);
}

static int has_quiet(const dy_flow_router_t *router,
		     const dy_flow_forward_t *forward, uint64_t now_ms)
{
	unsigned i;

	for (i = 0; i < forward->tries.tries_len; i++)
		if (dy_flow_targets_is_quiet(router->targets,
					     &forward->tries.tries_val[i],
					     now_ms))
			return 1;
	return 0;
}

int flow_router_search_in_parts(dy_flow_router_t *router, flow_t *flow,
				const dy_flow_forward_t *forward,
				const dy_packet_t *packet, uint64_t now_ms)
{
	search_track_t *track = flow->track;
	dy_search_start_t start = { 0 };
	int is_old = track && !forward->complete &&
		     now_ms - track->began_ms >= DY_SEARCH_PARALLEL_AGE_MS;

	start.ended = forward->window - 1;
	if (!has_quiet(router, forward, now_ms) &&
	    !(is_old && forward->window > 1))
		return 0;
	flow_router_track(router, flow, forward, packet, now_ms);
	if (!flow->track)
		return 0;
	flow->track->order = router->order;
	flow->track->certain = forward->certain;
	begin_retry(router, flow->track, &start, now_ms);
	return 1;
}

int flow_router_is_part(const dy_flow_nowhere_t *nowhere)
{
	return nowhere->window >> PART_BITS != 0;
}

/* Ends a search that asked all agents, some of which may not have answered. */
static void finish(dy_flow_router_t *router, search_track_t *track,
		   dy_search_outcome_t outcome, uint64_t now_ms)
{
	dy_flow_nowhere_t nowhere = { 0 };
	dy_packet_t packet = track->packet;
	flow_t *flow = track->flow;

	nowhere.flow = flow->id;
	nowhere.agent = track->last;
	nowhere.order = track->order;
	nowhere.complete = track->complete && outcome == DY_SEARCH_COMPLETE;
	nowhere.certain = track->certain;
	flow_router_untrack(router, flow);
	flow_router_end_search(router, flow, &nowhere, &packet, now_ms);
}

/* Ends or continues a search. Returns 0 if it has ended. */
static int serve_retry(dy_flow_router_t *router, search_track_t *track,
		       uint64_t now_ms)
{
	dy_search_outcome_t outcome = dy_search_retry_outcome(track->retry);

	if (outcome == DY_SEARCH_RUNS &&
	    now_ms - track->began_ms >= DY_SEARCH_RETRY_MAX_MS)
		outcome = DY_SEARCH_INCOMPLETE;
	if (outcome != DY_SEARCH_RUNS) {
		finish(router, track, outcome, now_ms);
		return 0;
	}
	send_parts(router, track, now_ms);
	return 1;
}

static void update_asked(dy_flow_router_t *router, const search_track_t *track,
			 unsigned before)
{
	router->parts_asked += dy_search_retry_asked(track->retry) - before;
}

void flow_router_receive_part(dy_flow_router_t *router, flow_t *flow,
			      const dy_flow_nowhere_t *nowhere, uint64_t now_ms)
{
	search_track_t *track = flow ? flow->track : NULL;
	unsigned before;
	int percent;

	dy_flow_targets_end_quiet(router->targets, &nowhere->agent);
	if (!track || !track->retry ||
	    nowhere->window >> PART_BITS != track->serial)
		return;
	before = dy_search_retry_asked(track->retry);
	percent = dy_search_retry_answer(track->retry,
					 nowhere->window & PART_MASK, now_ms);
	if (percent < 0)
		return;
	note_time(router, (uint64_t)percent);
	update_asked(router, track, before);
	track->last = nowhere->agent;
	track->certain = track->certain && nowhere->certain && nowhere->order;
	serve_retry(router, track, now_ms);
}

void flow_router_receive_late(dy_flow_router_t *router, flow_t *flow,
			      const dy_flow_nowhere_t *nowhere, uint64_t now_ms)
{
	search_track_t *track = flow->track;
	unsigned before = dy_search_retry_asked(track->retry);

	if (track->shared || nowhere->window != track->window ||
	    nowhere->order != track->order || !track->suspects)
		return;
	dy_search_retry_answer_agents(track->retry, 0, track->suspects);
	update_asked(router, track, before);
	track->last = nowhere->agent;
	track->certain = track->certain && nowhere->certain;
	serve_retry(router, track, now_ms);
}

typedef struct silent_context {
	dy_flow_router_t *router;
	const search_track_t *track;
	uint64_t now_ms;
} silent_context_t;

static void on_silent(void *context, unsigned agent)
{
	silent_context_t *silent = context;
	dy_flow_router_t *router = silent->router;
	const dy_address_t *address = &silent->track->agents[agent];
	char flow[DY_FLOW_TEXT_BYTES];
	char text[DY_ADDRESS_TEXT_BYTES];

	++*router->silent;
	dy_flow_targets_set_quiet(router->targets, address, silent->now_ms);
	if (dy_log_allow(&router->silent_limit, "search_silent",
			 silent->now_ms))
		dy_log_event(DY_LOG_INFO, "search_silent", "flow=%s agent=%s",
			     dy_flow_id_format(&silent->track->flow->id, flow),
			     dy_address_format(address, text));
}

static void serve_track(dy_flow_router_t *router, search_track_t *track,
			uint64_t now_ms)
{
	silent_context_t context = { router, track, now_ms };
	unsigned percent = timeout_percent(router);
	unsigned before;

	if (is_waiting(router, track))
		track->waited_ms = now_ms;
	if (!track->retry) {
		if (now_ms - MAX(track->sent_ms, track->waited_ms) >=
		    first_timeout_ms(track) * percent / 100)
			retry(router, track, now_ms);
		return;
	}
	before = dy_search_retry_asked(track->retry);
	dy_search_retry_expire(track->retry, percent, track->waited_ms, now_ms,
			       on_silent, &context);
	update_asked(router, track, before);
	serve_retry(router, track, now_ms);
}

unsigned dy_flow_router_serve_searches(dy_flow_router_t *router,
				       uint64_t now_ms)
{
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &router->tracks)
	serve_track(router, DY_LIST_ITEM(pos, search_track_t, link), now_ms);
	return router->track_count;
}

unsigned dy_flow_router_searches(const dy_flow_router_t *router)
{
	return router->track_count;
}
