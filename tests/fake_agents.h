#ifndef DAMASKYARD_FAKE_AGENTS_H
#define DAMASKYARD_FAKE_AGENTS_H

/*
 * Fakes at the interfaces of the agent's core: a clock, targets whose runs
 * are counted, a network between agents that loses and doubles, control's
 * account of the members, and callers.
 *
 * A call's arguments and its answer are one word, its id, unique in the
 * world. The fakes abort where a promise is broken: a non-idempotent call
 * that runs twice, that runs after it was refused as not run, that is said
 * not to have run after it did, or an answer that is another call's.
 */

#include "damaskyard/agent.h"
#include "damaskyard/verdict.h"

#define FAKE_AGENTS 3
#define FAKE_CALLERS 4
#define FAKE_CALLS 4096
#define FAKE_SUBMIT 1	   /* not idempotent */
#define FAKE_COUNT 2	   /* idempotent */
#define FAKE_CANCEL 0xffff /* of the public cancellation program */
#define FAKE_SLOTS 2

/* What a target does with the call on a connection. */
typedef enum fake_reply {
	FAKE_OK,
	FAKE_GARBAGE,	   /* bytes that are no reply */
	FAKE_WRONG_XID,	   /* a late answer to another call */
	FAKE_PROG_UNAVAIL, /* without a verdict */
	FAKE_SHED,	   /* with the verdict not run; it did not run */
	FAKE_DENIED,
	FAKE_SYSTEM_ERR,
	FAKE_LARGE, /* more than a datagram holds */
	FAKE_REPLIES
} fake_reply_t;

typedef struct fake_world fake_world_t;

typedef struct fake_link {
	int requested; /* asked for */
	int up;
	int busy;
	int probe_pending; /* has a NULL call of the agent's own */
	uint32_t target_xid;
	uint32_t call_id; /* of the cancel link: the xid that is meant */
} fake_link_t;

typedef struct fake_agent {
	fake_world_t *world;
	dy_agent_t *agent;
	dy_keyring_t *keyring;
	dy_metrics_t *metrics;
	unsigned index;
	uint64_t incarnation;
	uint64_t target_incarnation;
	unsigned members_seen; /* of the log of members */
	int target_up;	       /* its target lives and takes connections */
	int has_left;
	int fail_sends;
	int target_frozen; /* its target takes connections and answers nothing
			    */
	fake_link_t links[DY_AGENT_LINKS];
	char name[8];
} fake_agent_t;

typedef struct fake_call {
	uint32_t xid;
	unsigned caller;
	uint32_t procedure;
	unsigned runs;
	int reported_not_run; /* it was said so */
	int answered;
	dy_verdict_t verdict; /* latest */
	dy_reason_t reason;
	uint32_t retry_ms;
	uint32_t status;
	unsigned outcomes;
	uint32_t cancelled_id; /* FAKE_CANCEL: the call's id */
	uint64_t sent_us;
	uint8_t bytes[256];
	size_t len;
	dy_token_t token; /* that it carries */
} fake_call_t;

typedef struct fake_caller {
	uint8_t token[DY_TOKEN_BYTES];
	int has_token;
	dy_token_t token_fields;
	uint32_t next_xid;
} fake_caller_t;

struct fake_world {
	uint64_t now_us;
	dy_secrets_t secrets;
	dy_document_t *document;
	fake_agent_t agents[FAKE_AGENTS];
	fake_caller_t callers[FAKE_CALLERS];
	fake_call_t calls[FAKE_CALLS];
	unsigned call_count;
	GQueue messages;    /* between agents, lost when a minute old */
	GPtrArray *members; /* control's log, of dy_member_t */
	unsigned bounces;
	dy_reason_t bounce_reason;
	dy_refusal_t cancel_result;
	int has_cancel_result;
};

fake_world_t *fake_world_create(void);
void fake_world_destroy(fake_world_t *world);

/* Start an agent and its target; returns when it serves. */
void world_start_agent(fake_world_t *world, unsigned index);
/* End an agent's process without warning. */
void world_kill_agent(fake_world_t *world, unsigned index);
void world_announce(fake_world_t *world, unsigned index, int draining);
/* Give an agent all that control's log holds. */
void world_poll_control(fake_world_t *world, unsigned index);
/* Let time pass; targets that announce go on announcing. */
void world_advance(fake_world_t *world, unsigned ms);

/* Deliver or lose the oldest message between agents. Returns 0 if none. */
int world_deliver_message(fake_world_t *world);
int world_drop_message(fake_world_t *world);
int world_duplicate_message(fake_world_t *world);
int world_reorder_message(fake_world_t *world);
/* Deliver, poll and let time pass until nothing more happens. */
void world_converge(fake_world_t *world);

/* Make a call with the caller's token, if it has one. Returns its id. */
uint32_t world_send_call(fake_world_t *world, unsigned index, unsigned caller,
			 uint32_t procedure);
/* Send the very bytes again, to any agent. */
void world_retransmit_call(fake_world_t *world, unsigned index, uint32_t id);
void world_send_cancel(fake_world_t *world, unsigned index, uint32_t id);
/* NULL, by which the caller gets a token from that agent. */
void world_open_session(fake_world_t *world, unsigned index, unsigned caller);

/* The target answers on that connection. Returns 0 if it has no call. */
int world_answer(fake_world_t *world, unsigned index, unsigned link,
		 fake_reply_t reply);
void world_answer_all(fake_world_t *world, unsigned index);
/* The target closes that connection. */
void world_close_link(fake_world_t *world, unsigned index, unsigned link);
void world_answer_cancel(fake_world_t *world, unsigned index, int granted);
/* The target starts anew. */
void world_restart_target(fake_world_t *world, unsigned index);

/* Where a balancer that knows control's whole log sends a call. */
unsigned world_route(const fake_world_t *world, const dy_token_t *token);

/* The agent whose number stands in the caller's token. */
unsigned world_token_agent(const fake_world_t *world, unsigned caller);
uint64_t world_counter(const fake_world_t *world, unsigned index,
		       const char *name);

#endif
