#ifndef COMMON_WORLD_H
#define COMMON_WORLD_H

/*
 * Small fakes of callers, balancers and targets around the pure modules of
 * the decisions under load (admission, pick, budget), driven by timed events.
 * A fake at these interfaces only: no packet, no loss, no control group.
 *
 * A call travels caller - balancer - agent and back by the delays of the
 * setting; an agent's load report travels with its answers alone, so each
 * balancer's view lags as it does in the product.
 */

#include <stdint.h>

#include <glib.h>

#include "common_stats.h"
#include "damaskyard/admission.h"
#include "damaskyard/pick.h"

#define WORLD_DOMAINS 3
#define WORLD_TARGETS_MAX 8

/* One service of one deployment. */
typedef struct setting {
	const char *deployment;
	const char *service;
	uint64_t hop_us;     /* one way between failure domains */
	uint64_t client_us;  /* one way to clients */
	uint64_t service_us; /* mean of a short call */
	uint32_t targets;
	uint32_t slots;
	uint32_t session_cap;
	uint32_t balancers;
	uint32_t flows;
	dy_pick_priority_t weigh;
} setting_t;

typedef enum pick_mode {
	PICK_MODULE,
	PICK_ROUND_ROBIN,
	PICK_LEAST,   /* the least loaded by report: herds */
	PICK_WEIGHTED /* all at random, weighted by what is free */
} pick_mode_t;

/* What a policy withholds from the modules, each for one mechanism. */
enum {
	HIDE_CALLER = 1 << 0,
	HIDE_KEY = 1 << 1,
	HIDE_DEADLINE = 1 << 2,
	HIDE_KIND = 1 << 3,
	HIDE_SHORT_SLOT = 1 << 4,
	HIDE_CROWD = 1 << 5,
	HIDE_SLOW_START = 1 << 6,
	HIDE_EJECTION = 1 << 7,
	HIDE_TRUST = 1 << 8,
	HIDE_RETRY_TIME = 1 << 9,
	HIDE_OWN_COUNT = 1 << 10,
	HIDE_DOMAIN = 1 << 11,
	HIDE_RETRY_BUDGET = 1 << 12,
	PLAIN_FIFO = 1 << 13
};

typedef struct policy {
	const char *name;
	pick_mode_t pick;
	unsigned hide;
} policy_t;

/* Offered load in parts of the service's capacity, and what goes wrong. */
typedef struct pattern {
	const char *name;
	double submissions;
	double pulls;
	double longs;	   /* pulls of LONG_FACTOR times the service time */
	double hot_caller; /* in parts of one target's capacity */
	double hot_key;	   /* pulls of one key by many callers */
	double burst;	   /* pulls at once, in seconds of capacity */
	double churn;	   /* part of the flows that open anew each second */
	double slow;	   /* target 0 takes so many times as long; 0 off */
	int stalls;	   /* target 0 never answers */
	int lies;	   /* target 0 reports no load */
	int reopen;	   /* all flows open anew */
	int domain_gone;   /* failure domain 0 goes */
	int joins;	   /* the last target joins, cold */
	int young_fails;   /* ... and goes again OUTAGE_US later */
	int outage;	   /* all targets go, and are back OUTAGE_US later */
	const char *policies;
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
	uint64_t late;	       /* answered, or never, after it */
	uint64_t refused_late; /* not run: answers of the agent */
	uint64_t refused_full;
	uint64_t may_have_run;
	samples_t wait_ms;    /* answer - issue - service time */
	samples_t refusal_ms; /* from a try to its refusal */
} class_result_t;

typedef struct result {
	class_result_t classes[CLASSES];
	uint64_t broken_flows;	 /* established, lost with their target */
	uint64_t opens;		 /* openings sent */
	uint64_t opens_failed;	 /* unanswered, or refused at the cap */
	uint64_t opens_deferred; /* told to come back */
	samples_t open_ms;	 /* until a flow was open again */
	samples_t work_max, work_variation;
	samples_t flow_max, flow_variation;
	double joined_share; /* flows of the joined target over the mean */
} result_t;

const char *class_name(call_class_t klass);

void result_init(result_t *result);
void result_clear(result_t *result);

/* Run a pattern for WORLD_SECONDS of its own time. */
#define WORLD_SECONDS 8

void world_run(const setting_t *setting, const pattern_t *pattern,
	       const policy_t *policy, uint32_t seed, result_t *result);

#endif
