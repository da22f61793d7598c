#ifndef DAMASKYARD_FAKE_AGENTS_H
#define DAMASKYARD_FAKE_AGENTS_H

/*
 * A simulated world around the agent's core: a clock, targets that count their
 * runs, a network between agents that drops and duplicates messages, the log
 * of members at control, and callers.
 *
 * The arguments and the answer of a call are one word, the id of the call,
 * which is unique in the world. The fakes abort if an invariant is violated:
 * a non-idempotent call runs twice, runs after it was reported as not run, or
 * is reported as not run after it ran; or an answer belongs to another call.
 *
 * An agent, a caller and a connection are identified by their index. Functions
 * that take an agent's index do nothing if the agent does not run, unless
 * stated otherwise.
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

/* The reply of a target to the call on a connection. */
typedef enum fake_reply {
	FAKE_OK,
	FAKE_GARBAGE,	   /* not an RPC reply */
	FAKE_WRONG_XID,	   /* as a late answer to another call */
	FAKE_PROG_UNAVAIL, /* without a verdict */
	FAKE_SHED,	   /* with the verdict "not run", which is true */
	FAKE_DENIED,
	FAKE_SYSTEM_ERR,
	FAKE_LARGE, /* exceeds a datagram */
	FAKE_REPLIES
} fake_reply_t;

typedef struct fake_world fake_world_t;

typedef struct fake_link {
	int requested; /* requested by the agent */
	int up;
	int busy;
	int probe_pending; /* the NULL call of the agent is not answered yet */
	uint32_t target_xid;
	uint32_t call_id; /* on the cancel link: the xid to cancel */
} fake_link_t;

typedef struct fake_agent {
	fake_world_t *world;
	dy_agent_t *agent;
	dy_keyring_t *keyring;
	dy_metrics_t *metrics;
	unsigned index;
	uint64_t incarnation;
	uint64_t target_incarnation;
	unsigned members_seen; /* entries of the log of members */
	int target_up;	       /* its target runs and accepts connections */
	int has_left;
	int fail_sends;
	int target_frozen; /* accepts connections but does not answer */
	fake_link_t links[DY_AGENT_LINKS];
	char name[8];
} fake_agent_t;

typedef struct fake_call {
	uint32_t xid;
	unsigned caller;
	uint32_t procedure;
	unsigned runs;
	int reported_not_run; /* the caller was told so */
	int answered;
	dy_verdict_t verdict; /* of the last answer, as the fields below */
	dy_reason_t reason;
	uint32_t retry_ms;
	uint32_t status;
	unsigned outcomes;
	uint32_t cancelled_id; /* FAKE_CANCEL: id of the call to cancel */
	uint64_t sent_us;
	uint8_t bytes[256];
	size_t len;
	dy_token_t token; /* the token in bytes, decoded */
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
	GQueue messages;    /* between agents; dropped after a minute */
	GPtrArray *members; /* control's log: dy_member_t, oldest first */
	unsigned bounces;
	dy_reason_t bounce_reason;
	dy_refusal_t cancel_result;
	int has_cancel_result;
};

/* Create a world without a running agent, or free it. */
fake_world_t *fake_world_create(void);
void fake_world_destroy(fake_world_t *world);

/* Start an agent, or restart it, with its target; returns when it serves. */
void world_start_agent(fake_world_t *world, unsigned index);
/* Kill an agent's process. */
void world_kill_agent(fake_world_t *world, unsigned index);
/* Send one announcement of the target to its agent, which must run. */
void world_announce(fake_world_t *world, unsigned index, int draining);
/* Pass all new entries of control's log to an agent. */
void world_poll_control(fake_world_t *world, unsigned index);
/* Advance the clock by ms. Running targets announce themselves meanwhile. */
void world_advance(fake_world_t *world, unsigned ms);

/*
 * Deliver, drop, duplicate or move to the end of the queue the oldest message
 * between agents. The duplicate goes to the end. Returns 0 if there is none.
 */
int world_deliver_message(fake_world_t *world);
int world_drop_message(fake_world_t *world);
int world_duplicate_message(fake_world_t *world);
int world_reorder_message(fake_world_t *world);
/* Deliver, poll, answer calls and advance the clock for 2 s in 40 steps. */
void world_converge(fake_world_t *world);

/* Make a call with the caller's token, if it has one. Returns the call's id. */
uint32_t world_send_call(fake_world_t *world, unsigned index, unsigned caller,
			 uint32_t procedure);
/* Send the same bytes of a call again, to any agent. */
void world_retransmit_call(fake_world_t *world, unsigned index, uint32_t id);
/* Send a cancellation of the call with this id. */
void world_send_cancel(fake_world_t *world, unsigned index, uint32_t id);
/* Send NULL without a token; the caller gets a token from that agent. */
void world_open_session(fake_world_t *world, unsigned index, unsigned caller);

/*
 * Let the target answer on that connection. Returns 0 if the connection has no
 * call or the target does not answer.
 */
int world_answer(fake_world_t *world, unsigned index, unsigned link,
		 fake_reply_t reply);
/* Let the target answer all its calls with FAKE_OK. */
void world_answer_all(fake_world_t *world, unsigned index);
/* Let the target close that connection. */
void world_close_link(fake_world_t *world, unsigned index, unsigned link);
/* Let the target answer the cancellation that it has, if any. */
void world_answer_cancel(fake_world_t *world, unsigned index, int granted);
/* Restart the target of an agent, which must run. */
void world_restart_target(fake_world_t *world, unsigned index);

/*
 * Returns the agent to which a balancer that knows control's whole log sends a
 * call with this token.
 */
unsigned world_route(const fake_world_t *world, const dy_token_t *token);

/* Returns the agent that the caller's token names. */
unsigned world_token_agent(const fake_world_t *world, unsigned caller);
/* Returns the value of a counter of an agent, which must run. */
uint64_t world_counter(const fake_world_t *world, unsigned index,
		       const char *name);

#endif
