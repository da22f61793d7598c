#ifndef FAKE_SERVICE_H
#define FAKE_SERVICE_H

/*
 * One service of packet flows in simulated time: the real routers of several
 * balancers and the real holders of several agents, joined by messages that
 * take a fixed time, with simulated callers and targets. It shows what callers
 * receive. The same settings give the same results on every machine.
 *
 * Callers: each request opens a flow through a random balancer and sends its
 * data once the flow is open. A request has three tries in its deadline; each
 * lasts an equal part of what is left of it. A caller that leaves a flow sends
 * nothing more on it and opens the next one from a new port after a pause. SYN
 * packets are retransmitted.
 *
 * Targets: requests take slots and, if all are taken, wait in a short queue.
 * Beyond it the target bounces packets. Balancers and agents take no processor
 * time, and links have no limit.
 */

#include <stdint.h>

/* Kinds of requests. Each kind has its own entry, priority and work. */
#define FAKE_SERVICE_KINDS 2

/* A request answered within this time, in ms, is in aim. */
#define FAKE_SERVICE_AIM_MS 200

/* A request not answered within this time, in ms, has failed. */
#define FAKE_SERVICE_DEADLINE_MS 1000

/* Results are counted by windows of this length, in ms. */
#define FAKE_SERVICE_WINDOW_MS 2000

typedef struct fake_service fake_service_t;

typedef struct fake_service_settings {
	uint32_t seed;
	unsigned balancers;
	unsigned targets; /* each with an agent */
	unsigned slots;	  /* of a target */
	unsigned callers;
	unsigned one_way_us;	/* between balancers and agents */
	unsigned caller_way_us; /* between them and callers */
	int wait_at_balancer;	/* openings wait at balancers, for grants */
} fake_service_settings_t;

/* What happened to the requests that were issued in some time. */
typedef struct fake_service_result {
	unsigned asked;
	unsigned in_aim;
	unsigned late;	 /* answered after the aim */
	unsigned failed; /* refused in all tries, or out of time */
	/* Tries whose caller left without SYN+ACK, reset or answer. */
	unsigned silent_tries;
	/* Tries whose caller left an open flow without reset or answer. */
	unsigned unanswered_tries;
	unsigned doubled; /* further deliveries of a try's data to targets */
} fake_service_result_t;

/* How a target works. All zero: as it should. */
typedef struct fake_service_condition {
	double slow;	  /* factor of the work, or 0 for 1 */
	double mute;	  /* part of the requests that get no answer */
	uint32_t cold_ms; /* announced from now on; see target_notice.h */
	int dead;	  /* the process ended; its agent is still there */
} fake_service_condition_t;

/* Returns the settings of a service of medium size. */
fake_service_settings_t fake_service_defaults(void);

/* Create a service whose targets are ready and whose callers are idle. */
fake_service_t *fake_service_create(const fake_service_settings_t *settings);

/* Free the service. NULL is allowed. */
void fake_service_destroy(fake_service_t *service);

/*
 * Set the rate of the requests of a kind from now on, as the part of all slots
 * that their work takes. 0 is allowed.
 */
void fake_service_set_load(fake_service_t *service, unsigned kind, double load);

/* Let one caller issue this part of all requests from now on. */
void fake_service_set_hot_caller(fake_service_t *service, double part);

/* Set how a target works from now on. One that was dead starts anew. */
void fake_service_set_target(fake_service_t *service, unsigned target,
			     const fake_service_condition_t *condition);

/* Run the simulation until the given time, in ms since its start. */
void fake_service_run(fake_service_t *service, uint64_t until_ms);

/*
 * Returns the results of the requests of a kind that were issued from from_ms
 * to to_ms, both multiples of FAKE_SERVICE_WINDOW_MS. They are final once the
 * simulation has run to to_ms plus the deadline.
 */
fake_service_result_t fake_service_result(const fake_service_t *service,
					  unsigned kind, uint64_t from_ms,
					  uint64_t to_ms);

/* Returns the part of a kind's requests in that time that were in aim. */
double fake_service_in_aim(const fake_service_t *service, unsigned kind,
			   uint64_t from_ms, uint64_t to_ms);

/*
 * Returns the work of all requests in that time that were in aim, as a part of
 * the targets' capacity.
 */
double fake_service_goodput(const fake_service_t *service, uint64_t from_ms,
			    uint64_t to_ms);

#endif
