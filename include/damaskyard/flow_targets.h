#ifndef DAMASKYARD_FLOW_TARGETS_H
#define DAMASKYARD_FLOW_TARGETS_H

/*
 * Selection of targets for packet flows on a balancer: which agent gets a new
 * flow, and which agents may hold an open one. No I/O: members and load
 * reports are put in, lists of agent addresses are returned.
 *
 * Candidates of a flow: rendezvous hashing ranks the targets of a service for
 * each flow. Every process computes the same ranking, so a balancer that never
 * saw a flow searches the same few agents that another balancer chose from,
 * and no shared flow table is needed.
 *
 * Choice for a new flow:
 *	Load pattern: long flows that cannot move once they are open, mixed
 *	with short ones; a target that became slow or started recently; a burst
 *	of new flows between two load reports.
 *	Without it: by hash alone, the fullest of seven targets has 1.5 times
 *	the mean number of flows for as long as flows last; by the last report
 *	alone, all new flows until the next report go to one target.
 *	Mechanism: among the first DY_FLOW_CANDIDATES of the ranking, choose
 *	the target with the fewest flows per slot. Flows opened since its last
 *	report are included, and queued requests weigh more. Slots count with
 *	the weight of their target (target_pace.h).
 */

#include <stdint.h>

#include "damaskyard/flow_path.h"
#include "damaskyard/flow_silence.h"
#include "damaskyard/packet.h"
#include "damaskyard/target_pace.h"
#include "dy_control.h"

/*
 * Targets compared by load for a new flow; small services are compared as a
 * whole. Even the better of two random choices is rarely far above the mean,
 * and eight leave half of DY_FLOW_TRIES for targets that joined or left since
 * the flow was opened.
 */
#define DY_FLOW_CANDIDATES DY_TARGET_CANDIDATES

/*
 * Weight of a queued request, in flows per slot. It delays the first request
 * of a new flow by a whole service time, while an open flow is mostly idle.
 */
#define DY_FLOW_QUEUED_WEIGHT 4.0

/*
 * Weight of what a flow's own requests last longer on a slower target than on
 * the service's median one, in flows per slot and median times. Otherwise an
 * idle target would be the best one however slow it is.
 */
#define DY_FLOW_OWN_WEIGHT 1.0

/*
 * Penalty of a target outside the balancer's own failure domain, in flows per
 * slot: traffic between domains costs money. It is small against the five to
 * ten long flows per slot, so it only decides between nearly equal targets.
 * Short flows, of which there is less than one per slot, stay in the domain.
 */
#define DY_FLOW_REMOTE_PENALTY 0.3

/*
 * Factor of the load of a target outside the domain for a flow that carries one
 * large body. Its bytes are most of those between domains, and it is over soon,
 * so that targets in the domain may be half as full again as others.
 */
#define DY_FLOW_REMOTE_BULK_FACTOR 1.5

/*
 * Maximum age of a report by which an agent admits no openings, so that it is
 * ranked last.
 */
#define DY_FLOW_REFUSAL_AGE_MAX_MS 1000

/* Penalty of a target that started recently, in flows per slot. */
#define DY_FLOW_COLD_PENALTY 1.0

/*
 * Penalty of a target that is held back (target_pace.h), in flows per slot: it
 * is listed after the others, but before those that do not answer at all.
 */
#define DY_FLOW_WITHHELD_PENALTY 1e3

/*
 * Time for which a target that did not answer a new flow is ranked last: the
 * lease time of its agent, which has expired by then if the agent is gone.
 */
#define DY_FLOW_UNANSWERED_AVOID_MS 3000

/*
 * Time without a report after which a suspect agent is lost. Agents report
 * every 200 ms to balancers that send them packets, and a bad link does not
 * lose ten reports in a row. A lease expires after 3 s.
 */
#define DY_FLOW_LOST_TIMEOUT_MS 2000

/*
 * Interval of the requests for a report to a suspect agent that owes one, in
 * ms. Five are sent before it is lost.
 */
#define DY_FLOW_LOST_ASK_INTERVAL_MS 400

/*
 * How long the process of a suspect agent may have ended on a VM that runs, in
 * ms, before the agent counts as lost: a slow restart takes less.
 */
#define DY_FLOW_RESTART_TIMEOUT_MS 60000

/*
 * Interval of an agent's load reports to a balancer that sends it packets.
 * Until the next report the balancer adds the flows that it opened itself.
 */
#define DY_FLOW_REPORT_INTERVAL_MS 200

/*
 * Time without a report after which an agent that was sent packets is
 * unresponsive, if its silence is certain: five reports in a row are missing
 * while other agents' reports arrive.
 */
#define DY_FLOW_UNRESPONSIVE_TIMEOUT_MS 1000

typedef struct dy_flow_targets dy_flow_targets_t;

/*
 * Create an empty set. domain is the failure domain of this balancer; it is
 * not copied and must outlive the set.
 */
dy_flow_targets_t *dy_flow_targets_create(const char *domain);

/* Free the set. NULL is allowed. */
void dy_flow_targets_destroy(dy_flow_targets_t *targets);

/*
 * Add, update or remove a target by its member record. Members other than
 * agents are ignored, as are records older than the known incarnation.
 */
void dy_flow_targets_set_member(dy_flow_targets_t *targets,
				const dy_member_t *member);

/*
 * Set whether a failure domain is evacuated. Its targets then get no new
 * flows, but keep their open ones.
 */
void dy_flow_targets_set_domain(dy_flow_targets_t *targets, const char *domain,
				int evacuated);

/* Returns whether the agent admits openings, as far as its reports say. */
int dy_flow_targets_admits(const dy_flow_targets_t *targets,
			   const dy_address_t *agent, uint64_t now_ms);

/* Returns the service of the agent at an address, or NULL if unknown. */
const char *dy_flow_targets_service(const dy_flow_targets_t *targets,
				    const dy_address_t *agent);

/* Set the load that the agent at an address reported at now_ms. */
void dy_flow_targets_set_load(dy_flow_targets_t *targets,
			      const dy_address_t *agent,
			      const dy_flow_load_t *load, uint64_t now_ms);

/*
 * Set the pace that the agent at an address reported at now_ms, and compare
 * the targets of each service if the last comparison is one report old.
 */
void dy_flow_targets_set_pace(dy_flow_targets_t *targets,
			      const dy_address_t *agent,
			      const dy_flow_pace_t *pace, uint64_t now_ms);

/*
 * Called when a comparison changed what share of new flows a target gets.
 * compared is the number of targets that were compared.
 */
typedef void dy_flow_targets_pace_cb_t(void *context, const dy_address_t *agent,
				       const dy_target_pace_t *pace,
				       dy_target_pace_change_t change,
				       uint32_t median_us, unsigned compared,
				       uint64_t now_ms);

/* Set the function that is told of such changes; NULL: none. */
void dy_flow_targets_watch_pace(dy_flow_targets_t *targets,
				dy_flow_targets_pace_cb_t *changed,
				void *context);

/*
 * Set and get whether the agent accepts the short form of a forward; agents of
 * older builds do not.
 */
void dy_flow_targets_set_deliveries(dy_flow_targets_t *targets,
				    const dy_address_t *agent, int deliveries);
int dy_flow_targets_accepts_deliveries(const dy_flow_targets_t *targets,
				       const dy_address_t *agent);

/*
 * Set how many messages the agent received directly from this balancer; see
 * dy_flow_path_receive_report(). Returns whether the path became broken or
 * working again.
 */
int dy_flow_targets_set_received(dy_flow_targets_t *targets,
				 const dy_address_t *agent, uint32_t received,
				 uint64_t now_ms);

/* Returns whether messages sent directly to the agent do not arrive. */
int dy_flow_targets_is_path_broken(const dy_flow_targets_t *targets,
				   const dy_address_t *agent);

/* Maximum age of an agent's last report for it to be a relay. */
#define DY_FLOW_RELAY_AGE_MAX_MS 500

/* Agents examined per search for a relay. */
#define DY_FLOW_RELAY_CANDIDATES_MAX 64u

/*
 * Find an agent that can relay messages to the given agent: a reachable agent
 * of the same service in another failure domain than that agent's, preferably
 * outside this balancer's domain too. Returns 1 with relay set, or 0 if there
 * is none.
 */
int dy_flow_targets_find_relay(const dy_flow_targets_t *targets,
			       const dy_address_t *agent,
			       const dy_flow_id_t *flow, uint64_t now_ms,
			       dy_address_t *relay);

/*
 * Returns whether the agent is lost: its lease has expired, and this balancer
 * has received no report for DY_FLOW_LOST_TIMEOUT_MS, counted from the first
 * call for this suspect agent if that is later. From that call on the agent is
 * asked for reports, and witnesses whether they hear it (flow_silence.h). An
 * agent that only lost its connection to control is not lost: it answers, or
 * echoes to a witness. Nor is one whose process has ended on a VM that runs,
 * for DY_FLOW_RESTART_TIMEOUT_MS: it is being restarted.
 */
int dy_flow_targets_is_lost(dy_flow_targets_t *targets,
			    const dy_address_t *agent, uint64_t now_ms);

/* Time for which an agent that did not answer a search is quiet, in ms. */
#define DY_FLOW_QUIET_MS 500

/*
 * Record that an agent did not answer a search, or that it answered; and return
 * whether it did not, and has sent nothing since.
 */
void dy_flow_targets_set_quiet(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms);
void dy_flow_targets_end_quiet(dy_flow_targets_t *targets,
			       const dy_address_t *agent);
int dy_flow_targets_is_quiet(const dy_flow_targets_t *targets,
			     const dy_address_t *agent, uint64_t now_ms);

typedef struct dy_flow_targets_ask_callbacks {
	/* Requests a report from the agent. */
	void (*request_report)(void *context, const dy_address_t *agent);
	/* Asks the witness whether it hears the agent. */
	void (*inquire)(void *context, const dy_address_t *witness,
			const dy_address_t *agent);
} dy_flow_targets_ask_callbacks_t;

/*
 * Ask each suspect agent that is checked and owes a report, and its witnesses.
 * Call it every 100 ms: agents report only to balancers that send them
 * something, and without it a live agent would count as lost after a pause of
 * its callers. A call that is late by more than DY_FLOW_LOST_ASK_INTERVAL_MS
 * restarts all checks.
 */
void dy_flow_targets_ask_suspects(
	dy_flow_targets_t *targets, uint64_t now_ms,
	const dy_flow_targets_ask_callbacks_t *callbacks, void *context);

/*
 * Returns whether the agent is unresponsive: its VM is stalled, without power
 * or unreachable from here, while control still lists it as serving. Packets
 * of its flows get no answer for seconds. The agent may recover, so requests
 * that cannot be repeated should wait.
 */
int dy_flow_targets_is_unresponsive(const dy_flow_targets_t *targets,
				    const dy_address_t *agent, uint64_t now_ms);

/*
 * List the agents to ask whether they hear an agent that owes a report; see
 * flow_silence.h. Returns their number; 0 if none can be asked, or none has to
 * be asked now.
 */
unsigned dy_flow_targets_begin_inquiry(
	dy_flow_targets_t *targets, const dy_address_t *agent,
	const dy_flow_id_t *flow, uint64_t now_ms,
	dy_address_t witnesses[DY_FLOW_WITNESSES]);

/* Record what a witness got from the agent. */
void dy_flow_targets_set_finding(dy_flow_targets_t *targets,
				 const dy_address_t *agent,
				 const dy_address_t *witness,
				 dy_flow_answer_t answer, uint64_t now_ms);

/* What a balancer knows of an agent, for logs. */
typedef struct dy_flow_agent_facts {
	const char *state; /* "serving", "suspect", "other", "unknown" */
	/* Age in ms, or -1 if there was none. */
	int64_t report_age_ms;	   /* of the agent's last report */
	int64_t unanswered_age_ms; /* of the first message sent since then */
	int64_t confirmed_age_ms;  /* of the poll that confirmed the members */
	/* Witnesses that confirm its silence now; port 0: none. */
	dy_address_t witnesses[DY_FLOW_WITNESSES];
} dy_flow_agent_facts_t;

/* Fill facts with what is known at now_ms of the agent at an address. */
void dy_flow_targets_load_facts(const dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms,
				dy_flow_agent_facts_t *facts);

/* Record that a poll sent at polled_ms was answered: members are current. */
void dy_flow_targets_set_members_confirmed(dy_flow_targets_t *targets,
					   uint64_t polled_ms);

/* Record a message sent to the agent, which makes the agent report. */
void dy_flow_targets_note_sent(dy_flow_targets_t *targets,
			       const dy_address_t *agent, uint64_t now_ms);

/*
 * Returns whether to send a probe now to an unresponsive agent, which gets no
 * packets otherwise. At most once per DY_FLOW_REPORT_INTERVAL_MS; 1 records
 * the probe as sent.
 */
int dy_flow_targets_begin_probe(dy_flow_targets_t *targets,
				const dy_address_t *agent, uint64_t now_ms);

/* Record a new flow sent to the agent. */
void dy_flow_targets_note_opened(dy_flow_targets_t *targets,
				 const dy_address_t *agent);

/* Record that the agent did not answer a new flow. */
void dy_flow_targets_note_unanswered(dy_flow_targets_t *targets,
				     const dy_address_t *agent,
				     uint64_t now_ms);

/*
 * List the agents to try for a new flow of a service, best first;
 * prefer_domain: weigh targets outside the domain by
 * DY_FLOW_REMOTE_BULK_FACTOR. Returns their number; 0 if none accepts new
 * flows.
 */
unsigned dy_flow_targets_choose(const dy_flow_targets_t *targets,
				const char *service, const dy_flow_id_t *flow,
				int prefer_domain, uint64_t now_ms,
				dy_address_t list[DY_FLOW_TRIES]);

/*
 * Maximum number of agents searched for one flow. Each costs one message,
 * which the agent passes on within 1.5 ms. The whole list takes 0.4 s, the
 * time after which a caller retransmits.
 */
#define DY_FLOW_SEARCH_MAX 256

/*
 * If there are more agents than DY_FLOW_SEARCH_MAX, the first DY_FLOW_TRIES of
 * each service that the entry does not name are searched too, since the entry
 * may have named another service when the flow was opened. With more services
 * than this, only those that the entry names are searched.
 */
#define DY_FLOW_SEARCH_SERVICES_MAX 8

/* Part of DY_FLOW_SEARCH_MAX reserved for those other services. */
#define DY_FLOW_SEARCH_RESERVED (DY_FLOW_SEARCH_SERVICES_MAX * DY_FLOW_TRIES)

/*
 * List the agents that may hold an open flow, most likely first: those of the
 * given services, then those of other services, since the entry may have named
 * another service when the flow was opened. Sets *complete to whether the list
 * holds all agents. The order depends on the members only, so a search can
 * process the list in parts and query each agent once. Returns the length.
 */
unsigned dy_flow_targets_search(const dy_flow_targets_t *targets,
				const char *const *services,
				unsigned service_count,
				const dy_flow_id_t *flow, int *complete,
				dy_address_t list[DY_FLOW_SEARCH_MAX]);

/* Returns the number of a service's agents that accept new flows, for logs. */
unsigned dy_flow_targets_count(const dy_flow_targets_t *targets,
			       const char *service);

#endif
