#ifndef DAMASKYARD_FLOW_HOLDER_PRIVATE_H
#define DAMASKYARD_FLOW_HOLDER_PRIVATE_H

/*
 * What the files of the flow holder share: flow_holder.c decides about packets,
 * flow_holder_openings.c about those that open flows, flow_holder_notice.c
 * about the target's notices, flow_holder_presence.c about whether it is there;
 * flow_holder_flows.c keeps the records.
 */

#include <glib.h>

#include "damaskyard/cold_limit.h"
#include "damaskyard/flow_holder.h"
#include "damaskyard/histogram.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/opening_queue.h"

/* Bytes of a request's id in a log line, with its terminating NUL. */
#define REQUEST_BYTES 40

typedef enum held_stage {
	STAGE_HALF, /* the target answered an opening packet, or is to */
	STAGE_OPEN,
	STAGE_ENDED,
	STAGES
} held_stage_t;

typedef struct held_flow {
	dy_list_t link; /* of its stage, ordered by used_ms */
	dy_flow_id_t id;
	held_stage_t stage;
	uint64_t noted_ms;   /* when this record was made */
	dy_address_t opener; /* the balancer that sent the opening packet */
	int answered;	     /* the target's opening packet was seen */
	uint32_t target_seq;
	uint32_t caller_ack;	     /* the last that passed */
	uint64_t open_ms;	     /* since when; 0: it is not */
	uint32_t open_ack;	     /* the caller's, then */
	int busy;		     /* a request was begun and not answered */
	dy_list_t request_link;	     /* while it is */
	uint64_t busy_ms;	     /* since when */
	char request[REQUEST_BYTES]; /* its id, for logs */
	int caller_ended;
	int target_ended;
	uint64_t used_ms;
} held_flow_t;

/* A forward whose packet was given to the target, without the packet. */
typedef struct kept_forward {
	uint32_t note;
	dy_flow_forward_t forward;
	char service[DY_NAME_BYTES + 1];
	dy_address_t tries[DY_FLOW_TRIES];
} kept_forward_t;

typedef struct balancer {
	dy_address_t address;
	uint64_t heard_ms;
	uint32_t heard; /* messages that came straight from it, and one */
} balancer_t;

struct dy_flow_holder {
	dy_flow_holder_config_t config;
	int has_target;
	int ready;
	int left; /* the target said that it has ended */
	int stopping;
	int evacuated;	   /* the failure domain takes no new flow */
	int saw_start;	   /* no flow of the target is older than this agent */
	int absent;	   /* nobody listens at its port */
	int listened;	   /* its port was seen open since its start */
	unsigned refusals; /* checks in a row that found nobody there */
	uint64_t owing_ms; /* since when it owes an answer; 0: it does not */
	dy_target_notice_t notice;
	uint64_t noticed_ms;
	uint64_t cold_until_ms;
	dy_cold_limit_t cold;
	uint64_t unseen_until_ms; /* openings of another agent may count */
	GHashTable *flows;
	dy_list_t stages[STAGES];
	unsigned counts[STAGES];
	dy_list_t requests;	     /* begun and not answered, oldest first */
	unsigned busy;		     /* how many these are */
	dy_opening_queue_t *waiting; /* openings, for room at the target */
	kept_forward_t *kept;
	uint32_t last_note;
	balancer_t balancers[DY_REPORT_BALANCERS_MAX];
	unsigned balancer_count;
	dy_log_limit_t flow_limit;
	dy_log_limit_t refused_limit;
	dy_log_limit_t request_limit;
	dy_histogram_t opening_ms; /* until the target answered an opening */
	dy_histogram_t answer_ms;  /* until it began to answer a request */
	uint64_t *opened;
	uint64_t *passed_on;
	uint64_t *refused;
	uint64_t *deferred; /* openings that had to wait */
	uint64_t *not_held;
	uint64_t *bounced;
	uint64_t *stale_notes;
	uint64_t *to_callers;
	uint64_t *notices;
	uint64_t *notices_refused;
};

/* What is done with a packet; flow_holder.c. */
/*
 * Give a forward's packet to the target, and keep the forward in case that it
 * comes back.
 */
void holder_give(dy_flow_holder_t *holder, const dy_flow_forward_t *forward,
		 const dy_packet_t *packet, uint64_t now_ms);
/*
 * It is not this agent's: the next one's, or nobody's. certain: so much is
 * sure.
 */
void holder_pass_on(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
		    const dy_packet_t *packet, int certain);
/* Tell a balancer that the flow's packets belong here. */
void holder_tell_held(dy_flow_holder_t *holder, const dy_address_t *balancer,
		      const dy_flow_id_t *flow, int open, uint64_t now_ms);
void holder_log_flow(dy_flow_holder_t *holder, const char *event,
		     const dy_flow_id_t *flow, const char *reason,
		     uint64_t now_ms);

/* flow_holder_openings.c */
/* flow is the record that there is of the flow, or NULL. */
void holder_take_opening(dy_flow_holder_t *holder, dy_flow_forward_t *forward,
			 const dy_packet_t *packet, held_flow_t *flow,
			 uint64_t now_ms);
/*
 * Openings that wait have their turn once there is room; those that waited for
 * too long, or whose target takes no more, are refused or go elsewhere.
 */
void holder_serve_waiting(dy_flow_holder_t *holder, uint64_t now_ms);

/* Records, and what is logged of requests; flow_holder_flows.c. */
held_flow_t *holder_add_flow(dy_flow_holder_t *holder, const dy_flow_id_t *id,
			     held_stage_t stage, uint64_t now_ms);
void holder_enter_stage(dy_flow_holder_t *holder, held_flow_t *flow,
			held_stage_t stage, uint64_t now_ms);
/* Note that a packet of the flow passed. */
void holder_touch(dy_flow_holder_t *holder, held_flow_t *flow, uint64_t now_ms);
/* reason is logged for a request that was not answered. */
void holder_drop_flow(dy_flow_holder_t *holder, held_flow_t *flow,
		      const char *reason, uint64_t now_ms);
void holder_drop_all(dy_flow_holder_t *holder, const char *reason,
		     uint64_t now_ms);
/* Drop the flows whose records are older than since_ms. Returns how many. */
unsigned holder_drop_older(dy_flow_holder_t *holder, uint64_t since_ms,
			   const char *reason, uint64_t now_ms);
/* Drop the flows of a stage that had no packet for after_ms. */
void holder_expire(dy_flow_holder_t *holder, held_stage_t stage,
		   uint64_t after_ms, uint64_t now_ms);
/* A caller's data where none was waiting begins a request. */
void holder_begin_request(dy_flow_holder_t *holder, held_flow_t *flow,
			  const dy_packet_t *packet, uint64_t now_ms);
void holder_end_request(dy_flow_holder_t *holder, held_flow_t *flow,
			const char *outcome, uint64_t now_ms);
/* End requests that had no answer for DY_REQUEST_TIMEOUT_MS. */
void holder_forget_requests(dy_flow_holder_t *holder, uint64_t now_ms);

/* What is known of the target's presence; flow_holder_presence.c. */
/* It was given a packet that it must answer. */
void holder_note_owing(dy_flow_holder_t *holder, uint64_t now_ms);
/* It sent a packet or a notice. */
void holder_note_alive(dy_flow_holder_t *holder);
/* Have it checked if it owes an answer for too long. */
void holder_check_presence(dy_flow_holder_t *holder, uint64_t now_ms);

/* flow_holder_notice.c */
void holder_set_ready(dy_flow_holder_t *holder, int ready, const char *reason);

#endif
