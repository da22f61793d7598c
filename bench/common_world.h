#ifndef COMMON_WORLD_H
#define COMMON_WORLD_H

/*
 * A discrete-event simulation of callers, balancers and targets around the
 * modules that decide under load (admission, pick, rate_limit). It simulates
 * the interfaces of these modules only: no packets, no loss, no control group.
 *
 * A call travels from caller to balancer to agent and back with the delays of
 * the setting. An agent's load report travels only with its answers, so each
 * balancer sees the load with the same delay as in the product.
 */

#include <stdint.h>

#include <glib.h>

#include "common_stats.h"
#include "damaskyard/admission.h"
#include "damaskyard/pick.h"

#define WORLD_DOMAINS 3
#define WORLD_TARGETS_MAX 8

/* One service of one deployment. Delays are one way. */
typedef struct setting {
	const char *deployment;
	const char *service;
	uint64_t hop_us;     /* between failure domains */
	uint64_t caller_us;  /* between callers and balancers */
	uint64_t service_us; /* mean service time of a short call */
	uint32_t targets;
	uint32_t slots;
	uint32_t session_cap;
	uint32_t balancers;
	uint32_t flows;
	dy_pick_priority_t priority;
} setting_t;

typedef enum pick_mode {
	PICK_MODULE,
	PICK_ROUND_ROBIN,
	PICK_LEAST,   /* least loaded by report; all pick the same one */
	PICK_WEIGHTED /* random, weighted by free capacity */
} pick_mode_t;

/* Inputs withheld from the modules; each one disables a mechanism. */
enum {
	WITHHOLD_CALLER = 1 << 0,
	WITHHOLD_KEY = 1 << 1,
	WITHHOLD_DEADLINE = 1 << 2,
	WITHHOLD_IDEMPOTENCE = 1 << 3,
	WITHHOLD_SHORT_SLOT = 1 << 4,
	WITHHOLD_SESSION_RATE_LIMIT = 1 << 5,
	WITHHOLD_SLOW_START = 1 << 6,
	WITHHOLD_EJECTION = 1 << 7,
	WITHHOLD_REFUSALS = 1 << 8,
	WITHHOLD_RETRY_TIME = 1 << 9,
	WITHHOLD_PENDING = 1 << 10,
	WITHHOLD_DOMAIN = 1 << 11,
	WITHHOLD_RETRY_BUDGET = 1 << 12,
	PLAIN_FIFO = 1 << 13 /* an unlimited FIFO instead of admission */
};

/* How balancers pick targets, and which mechanisms are disabled. */
typedef struct policy {
	const char *name;
	pick_mode_t pick;
	unsigned withheld; /* WITHHOLD_..., PLAIN_FIFO */
} policy_t;

/*
 * Offered load, as a fraction of the service's capacity unless said otherwise,
 * and the event at EVENT_US.
 */
typedef struct pattern {
	const char *name;
	double submissions;
	double pulls;
	double long_pulls;   /* pulls of LONG_FACTOR times the service time */
	double hot_caller;   /* fraction of one target's capacity */
	double hot_key;	     /* pulls of one key by many callers */
	double burst_s;	     /* pulls at once, in seconds of capacity */
	double churn_per_s;  /* fraction of the flows that reopen per second */
	double slow_factor;  /* factor of target 0's service time; 0: off */
	int target_stalls;   /* target 0 never answers */
	int reports_no_load; /* target 0 reports no load */
	int flows_reopen;    /* all flows reopen at once */
	int domain_fails;    /* failure domain 0 is lost */
	int target_joins;    /* the last target joins, cold */
	int joined_target_fails; /* the joined one fails OUTAGE_US later */
	int outage;		 /* all targets fail for OUTAGE_US */
	const char *policies; /* names of those to compare, space-separated */
} pattern_t;

typedef enum call_class {
	CLASS_SUBMISSION,
	CLASS_PULL,
	CLASS_LONG,
	CLASS_HOT, /* of the hot caller, or of the hot key */
	CLASSES
} call_class_t;

typedef struct class_result {
	uint64_t issued;
	uint64_t tries;
	uint64_t good;	       /* answered before the deadline */
	uint64_t late;	       /* answered after the deadline or never */
	uint64_t refused_late; /* not run: DY_ADMISSION_LATE */
	uint64_t refused_full; /* not run: DY_ADMISSION_FULL */
	uint64_t may_have_run;
	samples_t wait_ms;    /* issue to answer, less service time */
	samples_t refusal_ms; /* from an attempt to its refusal */
} class_result_t;

typedef struct result {
	class_result_t classes[CLASSES];
	uint64_t broken_flows;	 /* established ones lost with their target */
	uint64_t opens;		 /* requests to open a flow */
	uint64_t opens_failed;	 /* unanswered, or refused at the session cap */
	uint64_t opens_deferred; /* deferred by the session rate limit */
	samples_t open_ms;	 /* from the close of a flow to its reopening */
	samples_t work_max, work_variation;
	samples_t flow_max, flow_variation;
	double joined_share; /* joined target's flows over the others' mean */
} result_t;

/* Returns the name of a class in the printed rows. */
const char *class_name(call_class_t klass);

/* Initializes an empty result; free its memory with result_clear(). */
void result_init(result_t *result);
void result_clear(result_t *result);

/* Simulated time in which calls are issued, in seconds. */
#define WORLD_SECONDS 8

/*
 * Simulates a pattern and fills *result, which result_init() initialized. The
 * same arguments give the same result.
 */
void world_run(const setting_t *setting, const pattern_t *pattern,
	       const policy_t *policy, uint32_t seed, result_t *result);

#endif
