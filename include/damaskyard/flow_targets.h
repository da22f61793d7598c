#ifndef DAMASKYARD_FLOW_TARGETS_H
#define DAMASKYARD_FLOW_TARGETS_H

/*
 * The targets that a balancer may send flows to, and in which order. No
 * network: members and loads go in, lists of agents come out.
 *
 * Who may hold a flow: every process orders a service's targets for a flow by
 * rendezvous hashing, so that a balancer that never saw the flow tries the
 * same few agents that another one chose from, without a table that all share.
 *
 * Whom a new flow goes to.
 *	Load pattern: long flows that cannot be moved once they are open, and
 *	short ones among them; a target that turned slow or started a short
 *	time ago; a burst of openings between two reports of load.
 *	What happens without it: by hash alone the fullest of seven targets has
 *	half as many flows again as the mean, for as long as flows last; by the
 *	last report alone all openings until the next go to one target.
 *	What is done: of the first DY_FLOW_CANDIDATES in the flow's order the
 *one with the fewest flows for its slots, those opened since its report counted
 *in, and requests that wait there counted more.
 */

#include <stdint.h>

#include "damaskyard/flow_path.h"
#include "damaskyard/packet.h"
#include "dy_control.h"

/*
 * Targets among which load decides. Of small services all are compared; of
 * two choices at random the fuller is already rarely far above the mean, and
 * eight leave half of DY_FLOW_TRIES for targets that came or went since.
 */
#define DY_FLOW_CANDIDATES 8

/*
 * Weight of a request that waits for a slot, in flows for each slot: it delays
 * the new flow's first request by a whole service time, where an open flow is
 * idle most of the time.
 */
#define DY_FLOW_QUEUED_WEIGHT 4.0

/*
 * What a target outside of the balancer's own failure domain is set back, in
 * flows for each slot: bytes between domains are paid for. Small against the
 * five to ten flows for each slot of long flows, so that it decides between
 * nearly equal targets only; short flows, below one, stay in the domain.
 */
#define DY_FLOW_REMOTE_PENALTY 0.3

/* What a target that started a short time ago is set back, likewise. */
#define DY_FLOW_COLD_PENALTY 1.0

/*
 * A target that did not answer an opening is chosen last for so long, in ms:
 * until its lease has run out, should it be gone.
 */
#define DY_FLOW_UNANSWERED_AVOID_MS 3000

/*
 * An agent reports each 200 ms to balancers that send it packets; ten reports
 * in a row are not lost by a bad link, and a lease is over after 3 s.
 */
#define DY_FLOW_LOST_TIMEOUT_MS 2000

/*
 * Between two reports of an agent to a balancer that sends it packets, in ms: a
 * fifth of a second's openings are chosen by an older one, and counted in by
 * the balancer itself.
 */
#define DY_FLOW_REPORT_INTERVAL_MS 200

/*
 * An agent that was sent packets and has said nothing for so long, in ms, is
 * unresponsive: five reports in a row are missing, while others are heard. A
 * link that loses a third of all packets loses five in a row once in 243 times.
 */
#define DY_FLOW_UNRESPONSIVE_TIMEOUT_MS 1000

typedef struct dy_flow_targets dy_flow_targets_t;

/* domain is this balancer's failure domain, kept by reference. */
dy_flow_targets_t *dy_flow_targets_create(const char *domain);
void dy_flow_targets_destroy(dy_flow_targets_t *targets);

/* Take a member of the registry; others than agents are passed over. */
void dy_flow_targets_set_member(dy_flow_targets_t *targets,
				const dy_member_t *member);

/* Say that a failure domain's targets take no new flows, or take some again. */
void dy_flow_targets_set_domain(dy_flow_targets_t *targets, const char *domain,
				int evacuated);

/* Take what the agent at that address said of its load. */
void dy_flow_targets_set_load(dy_flow_targets_t *targets,
			      const dy_address_t *agent,
			      const dy_flow_load_t *load, uint64_t now_ms);

/*
 * Take how many messages the agent counts that came straight from here, as
 * dy_flow_path_receive_report(). Returns whether its path was found to be
 * broken, or whole again.
 */
int dy_flow_targets_set_received(dy_flow_targets_t *targets,
				 const dy_address_t *agent, uint32_t heard,
				 uint64_t now_ms);

/* Whether what is sent straight to the agent does not arrive. */
int dy_flow_targets_is_path_broken(const dy_flow_targets_t *targets,
				   const dy_address_t *agent);

/* An agent that was heard within this time, in ms, may be a relay. */
#define DY_FLOW_RELAY_AGE_MAX_MS 500

/* Agents that are looked at to find one. */
#define DY_FLOW_RELAY_CANDIDATES_MAX 64u

/*
 * Find an agent of another domain than that one's that takes messages from
 * here, one outside of this balancer's own domain if there is any. Returns 0
 * if there is none, or with relay set.
 */
int dy_flow_targets_find_relay(const dy_flow_targets_t *targets,
			       const dy_address_t *agent,
			       const dy_flow_id_t *flow, uint64_t now_ms,
			       dy_address_t *relay);

/*
 * Whether the agent at that address is lost: its lease ran out, and it has
 * said nothing to this balancer either for DY_FLOW_LOST_TIMEOUT_MS, nor since
 * this was first asked about it. An agent that is cut off from control alone is
 * not lost: what is sent to it meanwhile makes it speak.
 */
int dy_flow_targets_is_lost(dy_flow_targets_t *targets,
			    const dy_address_t *agent, uint64_t now_ms);

/*
 * Whether the agent at that address is unresponsive: its VM stands still, is
 * without power, or cut off from here, while control still takes it for
 * serving. Its flows' packets get no answer for seconds. It may come back, so
 * what cannot be repeated is better left to wait.
 */
int dy_flow_targets_is_unresponsive(const dy_flow_targets_t *targets,
				    const dy_address_t *agent, uint64_t now_ms);

/* Say that the members were confirmed by the answer to a poll of polled_ms. */
void dy_flow_targets_set_members_confirmed(dy_flow_targets_t *targets,
					   uint64_t polled_ms);

/* Note that something was sent to the agent, which makes it report. */
void dy_flow_targets_note_sent(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms);

/*
 * Whether the agent, to which no packets go as it is unresponsive, is to be
 * asked for a report now; if so it is taken for asked. Once in
 * DY_FLOW_REPORT_INTERVAL_MS.
 */
int dy_flow_targets_begin_probe(dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms);

/* Note that a flow was sent to the agent, or that it did not answer one. */
void dy_flow_targets_note_opened(dy_flow_targets_t *targets,
				 const dy_address_t *agent);
void dy_flow_targets_note_unanswered(dy_flow_targets_t *targets,
				     const dy_address_t *agent,
				     uint64_t now_ms);

/*
 * List the agents for a new flow of a service, best first. Returns how many.
 */
unsigned dy_flow_targets_choose(const dy_flow_targets_t *targets,
				const char *service, const dy_flow_id_t *flow,
				uint64_t now_ms,
				dy_address_t list[DY_FLOW_TRIES]);

/*
 * Agents that are searched for one flow at most. Each is a message, and an
 * agent passes it on within 1.5 ms: four tenths of a second for all of these,
 * which is as long as a caller's copy takes to come.
 */
#define DY_FLOW_SEARCH_MAX 256

/*
 * Where there are more agents, the first DY_FLOW_TRIES of each service that
 * the entry does not name are searched too: it may have been turned from that
 * service since the flow was opened. So many services at most; with more, only
 * those that the entry names are searched.
 */
#define DY_FLOW_SEARCH_SERVICES_MAX 8

/* Of DY_FLOW_SEARCH_MAX, what is kept for them. */
#define DY_FLOW_SEARCH_RESERVED (DY_FLOW_SEARCH_SERVICES_MAX * DY_FLOW_TRIES)

/*
 * List the agents that may hold an open flow, likeliest first: those of the
 * given services, then the others, since an entry may have named another
 * service when the flow was opened. complete tells whether these are all. The
 * order changes with the members only, so a search may go through it piece by
 * piece and asks each once. Returns how many.
 */
unsigned dy_flow_targets_search(const dy_flow_targets_t *targets,
				const char *const *services,
				unsigned service_count,
				const dy_flow_id_t *flow, int *complete,
				dy_address_t list[DY_FLOW_SEARCH_MAX]);

/* Number of agents of a service that take new flows, for logs. */
unsigned dy_flow_targets_count(const dy_flow_targets_t *targets,
			       const char *service);

#endif
