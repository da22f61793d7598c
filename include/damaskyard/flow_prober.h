#ifndef DAMASKYARD_FLOW_PROBER_H
#define DAMASKYARD_FLOW_PROBER_H

/*
 * An agent's probes of other agents on behalf of balancers; flow_silence.h
 * says what for. No I/O.
 *
 * An agent whose core is busy for a second answers no probe in time, nor does
 * one that is being restarted, and its target serves on. Beside each probe its
 * liveness port is therefore checked (liveness_port.h). If the port accepts a
 * connection the agent is late; if it refuses one, the process has ended. In
 * both cases the VM runs, and the agent is reported as one that answered: no
 * flow may be reset for it. Control need not know that it stops.
 */

#include <stdint.h>

#include "damaskyard/port_check.h"
#include "dy_flow.h"

/* Probes sent to an agent, and the interval between them in ms. */
#define DY_FLOW_PROBES 3
#define DY_FLOW_PROBE_INTERVAL_MS 100

/*
 * Maximum number of probed agents at one time; further inquiries are ignored.
 * 300 balancers that lost the same agent ask two of hundreds of agents each.
 */
#define DY_FLOW_INQUIRIES_MAX 256

typedef struct dy_flow_prober dy_flow_prober_t;

typedef struct dy_flow_prober_callbacks {
	/* Sends a probe to the agent. */
	void (*probe)(void *context, const dy_address_t *agent);
	/* Begins to check the agent's liveness port, unless a check runs. */
	void (*check_port)(void *context, const dy_address_t *agent);
	/*
	 * Sends a result of an inquiry to the balancer. DY_FLOW_ACCEPTED may be
	 * followed by DY_FLOW_ECHOED.
	 */
	void (*finding)(void *context, const dy_address_t *balancer,
			const dy_address_t *agent, dy_flow_answer_t answer);
} dy_flow_prober_callbacks_t;

/*
 * Create a prober, to free with dy_flow_prober_destroy(). callbacks and what
 * context points to must outlive it.
 */
dy_flow_prober_t *dy_flow_prober_create(
	const dy_flow_prober_callbacks_t *callbacks, void *context);
void dy_flow_prober_destroy(dy_flow_prober_t *prober);

/* Start to probe an agent for a balancer, unless that is in progress. */
void dy_flow_prober_begin(dy_flow_prober_t *prober,
			  const dy_address_t *balancer,
			  const dy_address_t *agent, uint64_t now_ms);

/* Handle the echo of a probed agent: all who asked are told. */
void dy_flow_prober_receive_echo(dy_flow_prober_t *prober,
				 const dy_address_t *agent);

/*
 * Handle the result of a check of a probed agent's liveness port: all who asked
 * are told if the VM runs. Returns their number; 0 if the state is unknown, or
 * if the agent had answered before.
 */
unsigned dy_flow_prober_receive_port_state(dy_flow_prober_t *prober,
					   const dy_address_t *agent,
					   dy_port_state_t state);

/*
 * Send the probes that are due, and report the agents that answered none of
 * theirs. Call it every 50 ms. An agent whose own process stood still probes
 * once more before it reports.
 */
void dy_flow_prober_tick(dy_flow_prober_t *prober, uint64_t now_ms);

#endif
