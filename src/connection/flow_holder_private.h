#ifndef DAMASKYARD_FLOW_HOLDER_PRIVATE_H
#define DAMASKYARD_FLOW_HOLDER_PRIVATE_H

/*
 * Shared declarations of the flow holder's files. flow_holder.c handles
 * packets, flow_holder_openings.c the openings, flow_holder_notice.c the
 * target's notices, flow_holder_presence.c the detection of a target that is
 * gone, flow_holder_pace.c the target's speed, and flow_holder_flows.c the flow
 * table.
 */

#include <glib.h>

#include "damaskyard/cold_limit.h"
#include "damaskyard/flow_holder.h"
#include "damaskyard/histogram.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/opening_queue.h"
#include "damaskyard/request_load.h"
#include "damaskyard/request_pace.h"
#include "damaskyard/slot_grants.h"

/* Size of a request's id in a log line, with its terminating NUL. */
#define REQUEST_ID_BYTES 40

typedef enum held_stage {
	STAGE_HALF_OPEN, /* until the caller acknowledges the target's SYN */
	STAGE_OPEN,
	STAGE_ENDED,
	STAGE_DOUBTED, /* opened before a notice of another instance came */
	STAGE_COUNT
} held_stage_t;

/* Where a complete request is in the target. */
typedef enum slot_state { SLOT_NONE, SLOT_AWAITED, SLOT_USED } slot_state_t;

typedef struct held_flow {
	dy_list_t link; /* in the list of its stage, ordered by used_ms */
	dy_flow_id_t id;
	held_stage_t stage;
	uint64_t recorded_ms; /* creation, or the last SYN while half open */
	dy_address_t opener;  /* balancer that sent the last SYN */
	int syn_answered;     /* the target's SYN was seen */
	uint32_t target_seq;
	uint32_t caller_ack;	/* last acknowledgement seen */
	int target_acked;	/* the target acknowledged something, */
	uint32_t target_ack;	/* this at last */
	uint64_t open_since_ms; /* caller's first non-SYN packet; 0: none */
	uint32_t ack_at_open;	/* caller_ack at that time */
	int busy;		/* a request has no answer yet */
	int receiving;		/* and more of its data is to come */
	dy_list_t request_link; /* in the list of requests while busy */
	uint64_t busy_since_ms; /* start of the request */
	uint64_t received_ms;	/* its last packet; 0 while receiving */
	slot_state_t slot;	/* of the request */
	dy_list_t slot_link;	/* in the list of its state */
	uint64_t slot_since_ms; /* since it has a slot; 0: it never had one */
	int slot_certain;	/* that time is known for certain */
	int counted_unanswered; /* the request has no answer in time */
	char request_id[REQUEST_ID_BYTES]; /* id of the request, for logs */
	int caller_finished;
	int target_finished;
	uint64_t used_ms;
} held_flow_t;

/* A forward whose packet was sent to the target, without the packet. */
typedef struct pending_forward {
	uint32_t tag;
	dy_flow_forward_t forward;
	char service[DY_NAME_BYTES + 1];
	dy_address_t tries[DY_FLOW_TRIES];
} pending_forward_t;

typedef struct balancer {
	dy_address_t address;
	uint64_t heard_ms;
	uint32_t received; /* messages received directly, plus one */
} balancer_t;

struct dy_flow_holder {
	dy_flow_holder_config_t config;
	int has_target;
	int ready;
	int left;    /* the target announced its end, and its port hasn't
			been found open since */
	int leaving; /* it announced it, and its port is checked until that is
			refused */
	int stopping;
	int evacuated;	   /* the failure domain admits no new flows */
	int saw_start;	   /* so the table has all flows of the target */
	int gone;	   /* the target is certainly gone */
	int was_listening; /* the instance's port was found open */
	unsigned refusals; /* consecutive port checks that were refused */
	uint64_t response_due_since_ms; /* 0: no response is due */
	uint64_t opening_due_since_ms;	/* the same, to an opening */
	unsigned openings_returned;  /* consecutive ones that the target bounced
					while it had capacity */
	uint64_t held_back_until_ms; /* for that; 0: not held back */
	uint64_t grants_asked_ms;    /* last message of a balancer where
					openings wait; 0: none */
	dy_target_notice_t notice;
	char former_id[DY_TARGET_ID_BYTES]; /* the instance before this one */
	uint64_t former_started_ms;
	uint64_t last_notice_ms;
	dy_target_notice_t other_notice; /* last one that was not believed */
	uint64_t other_notice_ms;	 /* its time; 0: none */
	uint64_t heard_since_ms; /* only this instance's notices since then */
	uint64_t cold_until_ms;
	dy_cold_limit_t cold;
	uint64_t cold_unknown_until_ms; /* window incomplete until then */
	GHashTable *flows;
	dy_list_t stages[STAGE_COUNT];
	unsigned counts[STAGE_COUNT];
	dy_list_t requests; /* without an answer, oldest first */
	dy_request_load_t load;
	dy_list_t slot_waiters; /* complete requests without a slot */
	dy_list_t in_slots;	/* requests with a slot, oldest first */
	unsigned slots_used;
	dy_request_pace_t pace;
	uint64_t pace_tick_ms;
	dy_opening_queue_t *queued_openings; /* wait for capacity */
	dy_slot_grants_t *grants; /* for openings that wait at balancers */
	pending_forward_t *pending_forwards;
	uint32_t last_tag;
	balancer_t balancers[DY_REPORT_BALANCERS_MAX];
	unsigned balancer_count;
	dy_log_limit_t flow_limit;
	dy_log_limit_t refused_limit;
	dy_log_limit_t request_limit;
	dy_histogram_t opening_ms; /* time to the response to an opening */
	dy_histogram_t answer_ms;  /* time to the first byte of an answer */
	uint64_t *opened;
	uint64_t *passed_on;
	uint64_t *refused;
	uint64_t *deferred; /* openings that were queued */
	uint64_t *reserved; /* that wait at their balancer */
	uint64_t *granted;
	uint64_t *grants_lapsed;
	uint64_t *not_held;
	uint64_t *bounced;
	uint64_t *unknown_bounces;
	uint64_t *to_callers;
	uint64_t *notices;
	uint64_t *notices_refused;
	uint64_t *unanswered; /* requests without an answer in time */
};

/* Packet handling; flow_holder.c. */
void holder_fill_load(const dy_flow_holder_t *holder, dy_flow_load_t *load,
		      uint64_t now_ms);
/*
 * Sends a forward's packet to the target, and keeps the forward in case the
 * target bounces the packet.
 */
void holder_send_to_target(dy_flow_holder_t *holder,
			   const dy_flow_forward_t *forward,
			   const dy_packet_t *packet, uint64_t now_ms);
/*
 * Passes the forward on to the next agent, or tells the balancer that no agent
 * is left. certain: the target certainly does not hold the flow.
 */
void holder_pass_on(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
		    const dy_packet_t *packet, int certain);
/* Tells the forward's balancer what became of its packet, and why. */
void holder_send_nowhere(dy_flow_holder_t *holder,
			 const dy_flow_forward_t *forward,
			 const dy_packet_t *packet, dy_flow_reason_t reason);
/*
 * Tells a balancer that this agent holds the flow. open: the target has the
 * complete handshake.
 */
void holder_send_held(dy_flow_holder_t *holder, const dy_address_t *balancer,
		      const dy_flow_id_t *flow, int open, uint64_t now_ms);
void holder_log_flow(dy_flow_holder_t *holder, const char *event,
		     const dy_flow_id_t *flow, const char *reason,
		     uint64_t now_ms);

/* Openings; flow_holder_openings.c. */
/*
 * Returns whether the target is held back from new work because it returns
 * openings or owes an answer to one. It is not while openings wait at agents.
 */
int holder_is_held_back(const dy_flow_holder_t *holder, uint64_t now_ms);
/* Records that the target returned an opening, or answered one. */
void holder_note_opening_returned(dy_flow_holder_t *holder, uint64_t now_ms);
void holder_note_opening_answered(dy_flow_holder_t *holder);
/* flow is the flow's record, or NULL. */
void holder_handle_opening(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			   const dy_packet_t *packet, held_flow_t *flow,
			   uint64_t now_ms);
/*
 * Admits queued openings while there is capacity, and grants places to
 * balancers. Openings that waited too long are passed on, and all of them if
 * the target no longer admits any.
 */
void holder_serve_queue(dy_flow_holder_t *holder, uint64_t now_ms);

/* The flow table, and logging of requests; flow_holder_flows.c. */
held_flow_t *holder_add_flow(dy_flow_holder_t *holder, const dy_flow_id_t *id,
			     held_stage_t stage, uint64_t now_ms);
void holder_enter_stage(dy_flow_holder_t *holder, held_flow_t *flow,
			held_stage_t stage, uint64_t now_ms);
/* Records activity of the flow. */
void holder_touch(dy_flow_holder_t *holder, held_flow_t *flow, uint64_t now_ms);
/* reason is logged if a request of the flow has no answer. */
void holder_drop_flow(dy_flow_holder_t *holder, held_flow_t *flow,
		      const char *reason, uint64_t now_ms);
void holder_drop_all(dy_flow_holder_t *holder, const char *reason,
		     uint64_t now_ms);
/*
 * Doubts the flows that were recorded before since_ms: they don't count, and
 * the target is asked for each of them by its next packet. Returns their
 * number.
 */
unsigned holder_doubt_older(dy_flow_holder_t *holder, uint64_t since_ms,
			    const char *reason, uint64_t now_ms);
/* Drops the flows of a stage that were idle for timeout_ms. */
void holder_expire_stage(dy_flow_holder_t *holder, held_stage_t stage,
			 uint64_t timeout_ms, uint64_t now_ms);
/*
 * Records the caller's data: it starts a request, or goes on with the one that
 * has no answer yet.
 */
void holder_receive_data(dy_flow_holder_t *holder, held_flow_t *flow,
			 const dy_packet_t *packet, uint64_t now_ms);
void holder_end_request(dy_flow_holder_t *holder, held_flow_t *flow,
			const char *outcome, uint64_t now_ms);
/* Ends the requests that have had no answer for DY_REQUEST_TIMEOUT_MS. */
void holder_expire_requests(dy_flow_holder_t *holder, uint64_t now_ms);

/* The target's speed; flow_holder_pace.c. */
/* Records that a request is complete. */
void holder_pace_begin(dy_flow_holder_t *holder, held_flow_t *flow,
		       uint64_t now_ms);
/* Records the answer to a request. */
void holder_pace_answer(dy_flow_holder_t *holder, held_flow_t *flow,
			uint64_t now_ms);
/* Records that the target does not answer the flow's request, if it has one. */
void holder_pace_unanswered(dy_flow_holder_t *holder, held_flow_t *flow);
/* Records the end of a request, whatever its outcome. */
void holder_pace_end(dy_flow_holder_t *holder, held_flow_t *flow,
		     uint64_t now_ms);
/* Counts the requests that have no answer in time. */
void holder_pace_tick(dy_flow_holder_t *holder, uint64_t now_ms);
void holder_pace_fill(const dy_flow_holder_t *holder, dy_flow_pace_t *pace,
		      uint64_t now_ms);

/* Detection of a target that is gone; flow_holder_presence.c. */
/* Call this when the target receives a packet that it has to respond to. */
void holder_expect_response(dy_flow_holder_t *holder, uint64_t now_ms);
/* Call this when the target sent a packet or a notice. */
void holder_confirm_alive(dy_flow_holder_t *holder);
/* Starts a port check if a response is overdue. */
void holder_check_presence(dy_flow_holder_t *holder, uint64_t now_ms);

/* The target's notices; flow_holder_notice.c. */
void holder_set_ready(dy_flow_holder_t *holder, int ready, const char *reason);

#endif
