#ifndef DAMASKYARD_CONTROL_PRIVATE_H
#define DAMASKYARD_CONTROL_PRIVATE_H

#include "damaskyard/control.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/raft.h"
#include "damaskyard/seal.h"
#include "damaskyard/store.h"
#include "bootstrap.h"
#include "peer_addresses.h"
#include "damaskyard/document.h"
#include "damaskyard/status_service.h"
#include "recent_documents.h"
#include "uploads.h"

/*
 * Largest datagram sent: a raft message of DY_RAFT_MESSAGE_BYTES, or 64 deltas
 * with the longest names, plus headers. Below the 65,507 bytes of UDP.
 */
#define DATAGRAM_MAX_BYTES 60000

/* Tick interval of the replicated log: three ticks per heartbeat of 30 ms. */
#define TICK_INTERVAL_MS 10

/* Interval of the review of leases, keys, joins and a pending stop. */
#define REVIEW_INTERVAL_MS 100

/* A planned stop ends after this time even if requests are still pending. */
#define STOP_TIMEOUT_MS 5000

/*
 * A control outside any group logs that after this time, and then at this
 * interval.
 */
#define JOIN_WAIT_LOG_INTERVAL_MS 10000

/* Marks proposed in one review: enough to mark a failure domain in seconds. */
#define MARKS_PER_REVIEW_MAX 256

typedef struct control_counters {
	uint64_t *polls;
	uint64_t *fetches;
	uint64_t *image_requests;
	uint64_t *images;
	uint64_t *puts;
	uint64_t *changes;
	uint64_t *inspects;
	uint64_t *proposals;
	uint64_t *malformed;
	uint64_t *truncated;
	uint64_t *unsent;
	uint64_t *not_leader;
	uint64_t *unavailable;
	uint64_t *name_taken;
	uint64_t *superseded;
	uint64_t *poll_copies;
	uint64_t *polls_shed;
	uint64_t *invitations;
	uint64_t *uploads_dropped;
	uint64_t *elections_won;
	uint64_t *groups_bootstrapped;
	uint64_t *learners_added;
	uint64_t *members_promoted;
	uint64_t *members_removed;
	uint64_t *joins_refused;
	uint64_t *disk_failures;
	uint64_t *snapshots;
	uint64_t *promoted_untried;
	uint64_t *ledger_failures;
	uint64_t *voters_missing; /* a present number, not a count */
	uint64_t *events[DY_EVENTS];
} control_counters_t;

typedef struct control_services control_services_t;
typedef struct control_publisher control_publisher_t;
typedef struct control_ledger control_ledger_t;
typedef struct control_poll_queue control_poll_queue_t;
typedef struct control_images control_images_t;

/* A slot assigned to a joining control's address. */
typedef struct slot_grant {
	dy_address_t address;
	uint64_t granted_ms; /* 0: not given */
} slot_grant_t;

struct dy_control {
	dy_control_options_t options;
	dy_loop_t *loop;
	dy_metrics_t *metrics;
	control_counters_t counters;
	dy_seal_t *seal;
	dy_endpoint_t *endpoint;
	dy_disk_t *disk;
	dy_store_t *store;
	dy_raft_t *raft;
	dy_registry_t *registry;
	uploads_t *uploads;
	recent_documents_t *recent_documents;
	control_services_t *services;
	bootstrap_t bootstrap;
	peer_addresses_t peer_addresses;
	uv_prepare_t *prepare;
	uv_check_t *check;
	dy_list_t requests;
	unsigned request_count;
	uint64_t started_ms;
	uint64_t last_review_ms;
	uint64_t stop_deadline_ms; /* 0: not stopping */
	int transferring;
	int failed;
	dy_control_exit_reason_t exit_reason;
	uint64_t join_requested_ms;   /* first request to join; 0: none */
	uint64_t leader_seen_ms;      /* last time with a known leader */
	uint64_t membership_query_ms; /* last membership query sent */
	uint64_t leader_query_ms;     /* last one to a leader that was named */
	slot_grant_t slot_grants[DY_RAFT_MEMBERS_MAX + 1]; /* by slot */
	control_publisher_t *publisher;
	control_ledger_t *ledger;
	control_poll_queue_t *poll_queue;
	control_images_t *images;
	int has_served;
	int key_step_pending;
	int tried_pending;
	/*
	 * From the options, but not shorter than the longest session idle time
	 * of the documents.
	 */
	dy_lease_times_t leases;
	dy_key_times_t keys;
	uint64_t reviewed_document_numbers;
	dy_log_limit_t event_limits[DY_EVENTS];
	dy_log_limit_t lease_limit;
	dy_log_limit_t join_limit;
	dy_log_limit_t slot_limit;
	dy_log_limit_t behind_limit;
	dy_log_limit_t waiting_limit;
	dy_log_limit_t malformed_limit;
	uint8_t out[DATAGRAM_MAX_BYTES];
};

/* A call that waits for the log. */
typedef struct request {
	dy_list_t link;
	dy_control_t *control;
	struct sockaddr_storage from;
	uint32_t xid;
	xdrproc_t proc; /* codec of args; also frees it */
	union {
		dy_poll_t poll;
		dy_change_t change;
		dy_inspect_t inspect;
	} args;
} request_t;

/* control_counters.c: registers the counters and sets the log rate limits. */
void control_register_counters(dy_control_t *control);

/* control.c */
uint64_t control_now_ms(const dy_control_t *control);
/* Returns whether this control leads a group with enough voters to serve. */
int control_serves(const dy_control_t *control);
/*
 * Returns DONE if a request may start, NOT_LEADER, or BUSY if the group has too
 * few voters.
 */
dy_raft_result_t control_admit(const dy_control_t *control);
/* Sets leader to the leader's address; port 0 if none is known. */
void control_leader_address(const dy_control_t *control, dy_address_t *leader);
/*
 * Returns the status of a request whose log operation had this result, and
 * counts failures.
 */
dy_status_t control_status_from_result(dy_control_t *control,
				       dy_raft_result_t result);
/* Sends the reply to a call; proc encodes result. */
void control_answer(dy_control_t *control, const struct sockaddr *to,
		    uint32_t xid, xdrproc_t proc, void *result);
/* Counts and logs a message body that does not decode. */
void control_count_malformed(dy_control_t *control, uint32_t procedure);
/* Proposes a command to the log. done is called only if this returns DONE. */
dy_raft_result_t control_propose(dy_control_t *control,
				 const dy_command_t *command,
				 dy_raft_done_cb_t *done, void *context);

/*
 * Decodes a message into a pending request. Returns NULL if the message is
 * malformed; the caller then does nothing more. The request is freed by
 * control_drop_request(), also through control_answer_request().
 */
request_t *control_keep_request(dy_control_t *control,
				const dy_sealed_t *message,
				const struct sockaddr *from, xdrproc_t proc,
				size_t args_size);
void control_drop_request(request_t *request);
void control_answer_request(request_t *request, xdrproc_t proc, void *result);

/* control_poll.c and control_change.c: one call each. */
/* Poll interval and lease duration at the current group size. */
uint32_t control_poll_interval_ms(const dy_control_t *control);
uint64_t control_lease_ms(const dy_control_t *control);

/*
 * Starts a poll. Returns 1 if it became a pending request, which removes it
 * from the poll queue when it ends, or 0 if the message is malformed.
 */
int control_poll(dy_control_t *control, const dy_sealed_t *message,
		 const struct sockaddr *from);
void control_change(dy_control_t *control, const dy_sealed_t *message,
		    const struct sockaddr *from);
void control_put(dy_control_t *control, const dy_sealed_t *message,
		 const struct sockaddr *from);
void control_fetch(dy_control_t *control, const dy_sealed_t *message,
		   const struct sockaddr *from);
/*
 * Proposes the bytes of a document that the registry does not hold. They
 * precede the change in the log, so that every control has them when it applies
 * the change.
 */
dy_raft_result_t control_propose_content(dy_control_t *control,
					 const char *digest,
					 const uint8_t *bytes, uint32_t size);

/* control_publish.c */
control_publisher_t *control_publisher_create(dy_control_t *control);
/* Finishes waiting publications as UNAVAILABLE and starts no more. */
void control_publisher_close(control_publisher_t *publisher);
/* Call it after the log has finished the publications in progress. */
void control_publisher_destroy(control_publisher_t *publisher);

/* control_domain.c */
/*
 * Returns whether the settings, a member or an earlier change name the failure
 * domain.
 */
int control_has_domain(const dy_control_t *control, const char *domain);
/* Logs how many targets of each service remain after a committed evacuation. */
void control_log_evacuation(dy_control_t *control, const char *domain);

/* control_ledger.c */
control_ledger_t *control_ledger_create(dy_control_t *control);
void control_ledger_destroy(control_ledger_t *ledger);
void control_ledger_receive(control_ledger_t *ledger,
			    const dy_sealed_t *message,
			    const struct sockaddr *from);
/* Writes the lists to disk if they have changed; call it at each tick. */
void control_ledger_tick(control_ledger_t *ledger);

/* control_poll_queue.c */
control_poll_queue_t *control_poll_queue_create(dy_control_t *control);
void control_poll_queue_destroy(control_poll_queue_t *queue);
/* Queues a poll or a ledger query. Returns 0 if the datagram is neither. */
int control_poll_queue_put(control_poll_queue_t *queue, const uint8_t *bytes,
			   size_t len, const struct sockaddr *from);
/*
 * Marks a request as finished: if it was a poll, a retransmission of it is
 * queued again instead of being dropped as a duplicate.
 */
void control_poll_queue_finish(control_poll_queue_t *queue,
			       const struct sockaddr *from, uint32_t xid);
/* Call it when this leader has answered a member's poll. */
void control_poll_queue_poll_answered(control_poll_queue_t *queue,
				      uint64_t member);
/* Call it when this control becomes the leader or a follower. */
void control_poll_queue_set_leading(control_poll_queue_t *queue, int leads);
/*
 * Returns the poll interval in ms at which this control can serve that many
 * members, from the measured cost of polls.
 */
uint64_t control_poll_queue_interval_ms(const control_poll_queue_t *queue,
					unsigned members);
void control_poll_queue_tick(control_poll_queue_t *queue);
/* Returns whether controls may join now. */
int control_poll_queue_allows_joins(const control_poll_queue_t *queue);

/* control_images.c: the state from which a new member starts. */
control_images_t *control_images_create(dy_control_t *control);
void control_images_destroy(control_images_t *images);
void control_images_answer(control_images_t *images, const dy_sealed_t *message,
			   const struct sockaddr *from);
/* Returns the bytes of the image with this digest, or NULL. */
const uint8_t *control_images_find(const control_images_t *images,
				   const void *digest, uint32_t *len);

/* control_services.c: a status line for each service in force. */
control_services_t *control_services_create(void);
void control_services_destroy(control_services_t *services);
void control_services_add(dy_control_t *control, dy_status_page_t *page);

/* control_inspect.c */
void control_inspect(dy_control_t *control, const dy_sealed_t *message,
		     const struct sockaddr *from);

/* control_group.c */
void control_receive_group(dy_control_t *control, const dy_sealed_t *message,
			   const struct sockaddr *from);
/* control.c: ends the loop, and with it the control, for the given reason. */
void control_terminate(dy_control_t *control, dy_control_exit_reason_t reason);

/* control_membership.c: groups with dynamic membership. */
/* Sets the slots' addresses from the log's configuration. */
void control_refresh_peers(dy_control_t *control);
/*
 * Sets address to where a control of the group is reached. Returns 0, or -1 if
 * that is not known; address then has port 0.
 */
int control_find_address(const dy_control_t *control, dy_voter_id_t id,
			 dy_address_t *address);
/*
 * Records the address of a control with an empty store whose slot no member
 * holds.
 */
void control_record_joiner(dy_control_t *control, const dy_hello_t *hello,
			   const dy_address_t *from);
void control_receive_find(dy_control_t *control, const dy_sealed_t *message,
			  const struct sockaddr *from);
void control_receive_place(dy_control_t *control, const dy_sealed_t *message);
void control_query_membership(dy_control_t *control);
/* Calls each for each address of another control that this one knows. */
typedef void control_address_cb_t(dy_control_t *control,
				  const dy_address_t *address);
void control_each_address(dy_control_t *control, control_address_cb_t *each);
/* Ends a control with an empty store that has not been added in time. */
void control_check_join_timeout(dy_control_t *control);

/* control_voters.c */
/* Returns whether the group needs one more voter. */
int control_needs_voter(dy_control_t *control);
/*
 * Returns 1 with id set to an unresponsive voter that can be removed, else 0.
 */
int control_find_surplus_voter(dy_control_t *control, dy_voter_id_t *id);
/*
 * Sets the metric of missing voters and logs the members that are behind; call
 * it at each review.
 */
void control_report_voters(dy_control_t *control);

/* control_group.c */
void control_send_raft(void *control, const dy_raft_message_t *message);
void control_review_group(dy_control_t *control);
int control_store_is_empty(const dy_control_t *control);
unsigned control_count_voters(const dy_control_t *control);

/* control_review.c: the leader's periodic tasks. */
void control_review(dy_control_t *control);
/*
 * Proposes to record that the document of environment `trial` was in force at
 * all live members, if it was. promoting: an operator is about to promote it.
 */
void control_propose_tried(dy_control_t *control, int promoting);

#endif
