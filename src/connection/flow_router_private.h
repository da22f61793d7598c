#ifndef DAMASKYARD_FLOW_ROUTER_PRIVATE_H
#define DAMASKYARD_FLOW_ROUTER_PRIVATE_H

/*
 * Shared declarations of the flow router's files. flow_router.c handles packets
 * of known flows, flow_router_openings.c new flows, flow_router_search.c the
 * search for a flow's holder, flow_router_waiting.c the openings that wait for
 * a target, flow_router_reset.c resets, flow_router_bulk.c the uploads,
 * flow_router_pace.c the log of uneven targets, flow_router_retry.c searches
 * that go on past silent agents.
 */

#include <glib.h>

#include "damaskyard/bulk_limit.h"
#include "damaskyard/flow_router.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/opening_queue.h"
#include "damaskyard/histogram.h"
#include "damaskyard/refused_callers.h"
#include "damaskyard/search_limit.h"
#include "damaskyard/service_shortage.h"
#include "damaskyard/waiting_openings.h"

/* A search that is under way; flow_router_retry.c. */
typedef struct search_track search_track_t;

/* A cached flow. */
typedef struct flow {
	dy_list_t link; /* in by_use, ordered by used_ms */
	dy_flow_id_t id;
	dy_address_t agent;  /* port 0: unknown */
	uint64_t granted_ms; /* its opening was sent then, on a grant; or 0 */
	uint64_t waiting_since_ms; /* and waited from then on; or 0 */
	int holder_reported; /* the agent reported that it holds the flow */
	int open;	     /* the agent reported the complete handshake */
	uint64_t used_ms;
	dy_search_slot_t search;
	search_track_t *track;	  /* NULL: none */
	unsigned held_percent;	  /* time of HELD in a retried search, or 0 */
	dy_list_t not_found_link; /* in the router's list of such flows */
	uint64_t not_found_ms;	  /* when a search found no holder */
	uint32_t not_found_order; /* order of that search */
	dy_address_t not_found_agent; /* the last one asked by that search */
	unsigned agents_asked;	      /* by the latest search */
	unsigned searches;	      /* since the holder was last found */
	dy_packet_t not_found_packet; /* the packet of that search */
	dy_list_t upload_link;	      /* in the router's list of uploads */
	uint64_t upload_bytes;
	uint64_t upload_ms; /* its last packet */
} flow_t;

struct dy_flow_router {
	dy_flow_router_config_t config;
	dy_flow_targets_t *targets;
	dy_flow_rules_t *rules;
	GHashTable *flows;
	dy_list_t by_use;
	dy_list_t not_found;
	dy_search_limit_t searches;
	dy_list_t tracks; /* of searches, oldest first */
	unsigned track_count;
	unsigned parts_asked; /* parts of searches without an answer */
	uint32_t serial;      /* of the last search in parts */
	int slowness;	      /* mean time of answers, scaled */
	dy_bulk_limit_t bulk;
	dy_list_t uploads; /* that arrive, ordered by upload_ms */
	dy_opening_queue_t *waiting_uploads;
	dy_refused_callers_t *refused_uploads;
	dy_waiting_openings_t *waiting; /* for a target of their service */
	dy_service_shortage_t *shortage;
	dy_histogram_t wait_ms; /* of openings that were granted a place */
	/* Version of the search order (of members and rules); never 0. */
	uint32_t order;
	dy_log_limit_t assigned_limit;
	dy_log_limit_t reset_limit;   /* of open flows */
	dy_log_limit_t refusal_limit; /* of openings */
	dy_log_limit_t searched_limit;
	dy_log_limit_t silent_limit;
	dy_log_limit_t retried_limit;
	uint64_t *packets;
	uint64_t *opened;
	uint64_t *searched;
	uint64_t *deferred;
	uint64_t *retried; /* searches that went on in parts */
	uint64_t *parts;   /* and their messages */
	uint64_t *silent;  /* agents that did not answer them */
	uint64_t *resets;
	uint64_t *refused;
	uint64_t *no_entry;
	uint64_t *unplaced;
	uint64_t *second_chances;
	uint64_t *relayed;
	uint64_t *waited;     /* openings that wait for a target */
	uint64_t *granted;    /* of these, that were granted a place */
	uint64_t *waited_out; /* that waited for too long */
	uint64_t *unservable; /* that would have, so were refused at once */
	uint64_t *grants_unused;
	uint64_t *uploads_waited;     /* for the link */
	uint64_t *uploads_waited_out; /* of these, that waited too long */
	dy_log_limit_t path_limit;
	dy_log_limit_t waiting_limit;
	dy_log_limit_t upload_limit;
	dy_log_limit_t pace_limit;
	uint64_t *uneven;
	uint64_t *held_back;
	uint64_t *given_back;
};

/* Packets; flow_router.c. */
void flow_router_touch(dy_flow_router_t *router, flow_t *flow, uint64_t now_ms);
void flow_router_drop_flow(dy_flow_router_t *router, flow_t *flow);
/* Returns the flow's record, added if needed. */
flow_t *flow_router_get_flow(dy_flow_router_t *router, const dy_flow_id_t *id,
			     uint64_t now_ms);
/* Returns the entry that the flow was opened to, or NULL. */
const dy_flow_entry_t *flow_router_find_entry(const dy_flow_router_t *router,
					      const dy_flow_id_t *flow);
void flow_router_send_forward(dy_flow_router_t *router,
			      dy_flow_forward_t *forward,
			      const dy_packet_t *packet, uint8_t *bytes,
			      size_t len);
void flow_router_send_to_holder(dy_flow_router_t *router, flow_t *flow,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms);

/* Resets; flow_router_reset.c. */
/* Resets the caller of an opening; reason is logged. */
void flow_router_reset_opening(dy_flow_router_t *router,
			       const dy_packet_t *packet, const char *reason,
			       uint64_t now_ms);
/* Refuses an opening: the same, and counts it as refused. */
void flow_router_refuse(dy_flow_router_t *router, const dy_packet_t *packet,
			const char *reason, uint64_t now_ms);
/*
 * Resets the caller of an open flow and drops the flow's record. reason and
 * what is known of agent, which was asked last, are logged.
 */
void flow_router_end_flow(dy_flow_router_t *router, flow_t *flow,
			  const dy_packet_t *packet, const dy_address_t *agent,
			  const char *reason, uint64_t now_ms);

/* Openings; flow_router_openings.c. */
/* Handles a caller's SYN. */
void flow_router_route_opening(dy_flow_router_t *router,
			       const dy_packet_t *packet, uint8_t *bytes,
			       size_t len, uint64_t now_ms);

/* What is chosen for a new flow. */
typedef struct assignment {
	const dy_flow_entry_t *entry;
	const char *service;
	unsigned count;
	dy_address_t agents[DY_FLOW_TRIES]; /* best first */
	dy_flow_wait_t wait;
	uint64_t waiting_since_ms; /* of an opening that waited; or 0 */
} assignment_t;

/* Chooses service and agents for a new flow. Returns 0 if there is none. */
int flow_router_choose_agents(const dy_flow_router_t *router,
			      const dy_flow_id_t *flow, uint64_t now_ms,
			      assignment_t *assignment);
/* Chooses an agent for a new flow and sends it the opening, or queues it. */
void flow_router_open_flow(dy_flow_router_t *router, const dy_packet_t *packet,
			   uint8_t *bytes, size_t len, uint64_t now_ms);
/* Sends an opening to the agents of its assignment. */
void flow_router_send_opening(dy_flow_router_t *router,
			      const assignment_t *assignment,
			      const dy_packet_t *packet, uint8_t *bytes,
			      size_t len, uint64_t now_ms);

/* Openings that wait for a target; flow_router_waiting.c. */
uint32_t flow_router_caller_rank(const dy_flow_router_t *router,
				 const dy_flow_id_t *flow);
/* Returns how many openings of the service wait here. */
unsigned flow_router_count_waiting(const dy_flow_router_t *router,
				   const char *service);
/* What an opening is queued for. */
typedef struct waiting_place {
	const dy_flow_entry_t *entry;
	const char *service;
	const dy_address_t *agent; /* where to reserve; NULL: that is done */
	uint64_t since_ms; /* when it began to wait for the first time */
} waiting_place_t;

/* Queues an opening until it is granted a place, or refuses it. */
void flow_router_queue_opening(dy_flow_router_t *router,
			       const waiting_place_t *place,
			       const dy_packet_t *packet, uint8_t *bytes,
			       size_t len, uint64_t now_ms);
/*
 * Queues an opening that an agent returned and has reserved a place for, or
 * routes it anew if its entry does not name the agent's service any more.
 */
void flow_router_queue_returned(dy_flow_router_t *router,
				const dy_address_t *agent, uint64_t since_ms,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms);
/* Routes the openings anew whose entry does not name their service any more. */
void flow_router_reroute_waiting(dy_flow_router_t *router);
/*
 * Queues an opening that an agent refused and reserves a place at another one,
 * or refuses it if there is no other.
 */
void flow_router_wait_elsewhere(dy_flow_router_t *router,
				const dy_address_t *agent, uint64_t since_ms,
				const dy_packet_t *packet, uint8_t *bytes,
				size_t len, uint64_t now_ms);
/* Refuses openings that waited too long, and renews reservations. */
void flow_router_serve_waiting(dy_flow_router_t *router, uint64_t now_ms);

/* Uploads; flow_router_bulk.c. */
/*
 * Returns 1 if an opening to an entry for uploads has to wait, or was refused,
 * because the link has no room for it.
 */
int flow_router_defer_upload(dy_flow_router_t *router,
			     const dy_flow_entry_t *entry,
			     const dy_packet_t *packet, uint8_t *bytes,
			     size_t len, uint64_t now_ms);
/* Records the opening of an upload, and packets of any flow. */
void flow_router_begin_upload(dy_flow_router_t *router, flow_t *flow,
			      uint64_t now_ms);
void flow_router_update_upload(dy_flow_router_t *router, flow_t *flow,
			       const dy_packet_t *packet, uint64_t now_ms);
/* Records that a flow is dropped. */
void flow_router_abort_upload(dy_flow_router_t *router, flow_t *flow);
/*
 * Opens the uploads that have waited while there is room, and refuses those
 * that have waited too long.
 */
void flow_router_serve_uploads(dy_flow_router_t *router, uint64_t now_ms);

/* The log of targets that get another share; flow_router_pace.c. */
void flow_router_watch_pace(dy_flow_router_t *router);

/* The search for a flow's holder; flow_router_search.c. */
/* Starts to send a packet along the agents that may hold its flow. */
void flow_router_search(dy_flow_router_t *router, const dy_packet_t *packet,
			uint8_t *bytes, size_t len, uint64_t now_ms);
/*
 * Lists the agents that may hold a flow, without those of the first windows
 * and those that are lost. Sets *complete to whether the search order has all
 * agents. Returns their number.
 */
unsigned flow_router_list_agents(dy_flow_router_t *router,
				 const dy_flow_id_t *flow, unsigned windows,
				 int *complete,
				 dy_address_t list[DY_FLOW_SEARCH_MAX],
				 uint64_t now_ms);
/* Ends a search in which no agent turned out to be the holder. */
void flow_router_end_search(dy_flow_router_t *router, flow_t *flow,
			    const dy_flow_nowhere_t *nowhere,
			    const dy_packet_t *packet, uint64_t now_ms);

/* Searches past silent agents; flow_router_retry.c. */
/* Records a message of a search; it is retried if no answer arrives. */
void flow_router_track(dy_flow_router_t *router, flow_t *flow,
		       const dy_flow_forward_t *forward,
		       const dy_packet_t *packet, uint64_t now_ms);
/* Records that the flow's search has ended. */
void flow_router_untrack(dy_flow_router_t *router, flow_t *flow);
/* Returns whether the flow is searched for in parts. */
int flow_router_is_retried(const flow_t *flow);
/* Keeps a packet for the flow's search if it matters more than the last. */
void flow_router_keep_packet(flow_t *flow, const dy_packet_t *packet,
			     const uint8_t *bytes, size_t len);
/*
 * Searches in parts instead of sending forward, if an agent in it was silent
 * recently or the search takes long. Returns 0 if not.
 */
int flow_router_search_in_parts(dy_flow_router_t *router, flow_t *flow,
				const dy_flow_forward_t *forward,
				const dy_packet_t *packet, uint64_t now_ms);
/* Records how long a search's first message took until an answer. */
void flow_router_note_answer(dy_flow_router_t *router, const flow_t *flow,
			     uint64_t now_ms);
void flow_router_note_held(dy_flow_router_t *router, flow_t *flow,
			   uint64_t now_ms);
/* Returns whether the message is about a part of a search. */
int flow_router_is_part(const dy_flow_nowhere_t *nowhere);
/* Processes it; flow may be NULL. */
void flow_router_receive_part(dy_flow_router_t *router, flow_t *flow,
			      const dy_flow_nowhere_t *nowhere,
			      uint64_t now_ms);
/* Processes the late answer to the first message of a search in parts. */
void flow_router_receive_late(dy_flow_router_t *router, flow_t *flow,
			      const dy_flow_nowhere_t *nowhere,
			      uint64_t now_ms);

#endif
