#ifndef DAMASKYARD_CONTROL_PRIVATE_H
#define DAMASKYARD_CONTROL_PRIVATE_H

#include "damaskyard/control.h"
#include "damaskyard/list.h"
#include "damaskyard/log.h"
#include "damaskyard/raft.h"
#include "damaskyard/seal.h"
#include "damaskyard/store.h"
#include "bootstrap.h"
#include "damaskyard/document.h"
#include "damaskyard/status_service.h"
#include "recent_documents.h"
#include "uploads.h"

/*
 * Bytes of the largest datagram sent: a raft message of
 * DY_RAFT_MESSAGE_BYTES, or 64 deltas of the longest names, with the heads.
 * Below the 65,507 that UDP carries.
 */
#define DATAGRAM_BYTES 60000

/* The replicated log's clock: three in a heartbeat of 30 ms. */
#define TICK_MS 10

/* Leases, keys, joins and stops are looked at this often. */
#define REVIEW_MS 100

/* A planned stop ends by then, whatever is still waiting. */
#define STOP_MS 5000

/* A control that is in no group says so after, and then each, 10 s. */
#define WAITING_MS 10000

/* Marks proposed in one review: a failure domain is marked in seconds. */
#define MARKS_MAX 256

typedef struct control_counters {
	uint64_t *polls;
	uint64_t *fetches;
	uint64_t *image_asks;
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
	uint64_t *led;
	uint64_t *founded;
	uint64_t *learners_added;
	uint64_t *members_promoted;
	uint64_t *members_removed;
	uint64_t *joins_refused;
	uint64_t *disk_failures;
	uint64_t *snapshots;
	uint64_t *untried;
	uint64_t *ledger_failures;
	uint64_t *events[DY_EVENTS];
} control_counters_t;

typedef struct control_services control_services_t;
typedef struct control_raises control_raises_t;
typedef struct control_ledger control_ledger_t;
typedef struct control_intake control_intake_t;
typedef struct control_images control_images_t;

/* A slot that was given to an address, and when. */
typedef struct seat {
	dy_address_t address;
	uint64_t given_ms; /* 0: not given */
} seat_t;

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
	recent_documents_t *recent;
	control_services_t *services;
	bootstrap_t founding;
	uv_prepare_t *prepare;
	uv_check_t *check;
	dy_list_t requests;
	unsigned request_count;
	uint64_t started_ms;
	uint64_t reviewed_ms;
	uint64_t stop_at_ms; /* 0: not stopping */
	int transferring;
	int failed;
	dy_control_exit_reason_t end;
	uint64_t led_ms;   /* when a leader was last known */
	uint64_t asked_ms; /* about the own membership */
	seat_t seats[DY_RAFT_MEMBERS_MAX + 1]; /* given to newcomers */
	control_raises_t *raises;
	control_ledger_t *ledger;
	control_intake_t *intake;
	control_images_t *images;
	int served; /* was a majority of the peers ever voting? */
	int key_proposed;
	int tried_proposed;
	/* Options, but no shorter than the documents' longest pause. */
	dy_lease_times_t leases;
	dy_key_times_t keys;
	uint64_t idle_numbers;
	dy_log_limit_t event_limits[DY_EVENTS];
	dy_log_limit_t join_limit;
	dy_log_limit_t waiting_limit;
	dy_log_limit_t malformed_limit;
	uint8_t out[DATAGRAM_BYTES];
};

/* A call that waits for the log. */
typedef struct request {
	dy_list_t link;
	dy_control_t *control;
	struct sockaddr_storage from;
	uint32_t xid;
	xdrproc_t proc; /* of args, which it frees */
	union {
		dy_poll_t poll;
		dy_change_t change;
		dy_inspect_t inspect;
	} args;
} request_t;

/* control_counters.c; sets the limits of log lines too. */
void control_register_counters(dy_control_t *control);

/* control.c */
uint64_t control_now_ms(const dy_control_t *control);
/* Whether this control leads a group that may serve. */
int control_serves(const dy_control_t *control);
/* DONE if a request that was kept may begin. */
dy_raft_result_t control_admit(const dy_control_t *control);
/* Address of the leader; port 0 if none is known. */
void control_show_leader(const dy_control_t *control, dy_address_t *leader);
/* The status that a request ends with when the log did not take it. */
dy_status_t control_status_of(dy_control_t *control, dy_raft_result_t result);
void control_answer(dy_control_t *control, const struct sockaddr *to,
		    uint32_t xid, xdrproc_t proc, void *result);
/* Count a body that does not decode. */
void control_count_malformed(dy_control_t *control, uint32_t procedure);
dy_raft_result_t control_propose(dy_control_t *control,
				 const dy_command_t *command,
				 dy_raft_done_cb_t *done, void *context);

/* Requests. NULL: malformed, and nothing is to be done. */
request_t *control_keep_request(dy_control_t *control,
				const dy_sealed_t *message,
				const struct sockaddr *from, xdrproc_t proc,
				size_t args_size);
void control_drop_request(request_t *request);
void control_answer_request(request_t *request, xdrproc_t proc, void *result);

/* control_poll.c, control_change.c, control_inspect.c: one call each. */
/* How often members poll, and how long a lease lasts, at the size of now. */
uint32_t control_poll_ms(const dy_control_t *control);
uint64_t control_lease_ms(const dy_control_t *control);

/* Begin a poll. Returns whether it will be ended as a request. */
int control_poll(dy_control_t *control, const dy_sealed_t *message,
		 const struct sockaddr *from);
void control_change(dy_control_t *control, const dy_sealed_t *message,
		    const struct sockaddr *from);
void control_put(dy_control_t *control, const dy_sealed_t *message,
		 const struct sockaddr *from);
void control_fetch(dy_control_t *control, const dy_sealed_t *message,
		   const struct sockaddr *from);
/*
 * Propose the bytes of a document that the registry does not hold. They stand
 * before the change in the log, so every control has them when it applies it.
 */
dy_raft_result_t control_propose_content(dy_control_t *control,
					 const char *digest,
					 const uint8_t *bytes, uint32_t size);

/* control_raise.c */
control_raises_t *control_raises_create(dy_control_t *control);
/* End what waits as UNAVAILABLE, and begin nothing more. */
void control_raises_close(control_raises_t *raises);
/* After the log has ended what is under way. */
void control_raises_destroy(control_raises_t *raises);

/* control_domain.c */
/* Whether settings, a member or an earlier order name the failure domain. */
int control_knows_domain(const dy_control_t *control, const char *domain);
/* Log what an evacuation that was just committed leaves of each service. */
void control_log_evacuation(dy_control_t *control, const char *domain);

/* control_ledger.c */
control_ledger_t *control_ledger_create(dy_control_t *control);
void control_ledger_destroy(control_ledger_t *ledger);
void control_ledger_receive(control_ledger_t *ledger,
			    const dy_sealed_t *message,
			    const struct sockaddr *from);
/* Write the lists if they have changed; call it at each tick. */
void control_ledger_tick(control_ledger_t *ledger);

/* control_intake.c */
control_intake_t *control_intake_create(dy_control_t *control);
void control_intake_destroy(control_intake_t *intake);
/* Put a poll, or a question for a list, aside. Returns whether it was one. */
int control_intake_take(control_intake_t *intake, const uint8_t *bytes,
			size_t len, const struct sockaddr *from);
/* A request ended; if it was a poll, its copies may come again. */
void control_intake_end(control_intake_t *intake, const struct sockaddr *from,
			uint32_t xid);
/* A member's poll was answered by this leader. */
void control_intake_heard(control_intake_t *intake, uint64_t member);
/* This control begins to lead, or follows. */
void control_intake_lead(control_intake_t *intake, int leads);
/* Time between polls of that many members, in ms, by what polls cost here. */
uint64_t control_intake_pace_ms(const control_intake_t *intake,
				unsigned members);
void control_intake_tick(control_intake_t *intake);
/* Whether controls may be taken in now. */
int control_intake_allows_joins(const control_intake_t *intake);

/* control_images.c: the state that a member starts from. */
control_images_t *control_images_create(dy_control_t *control);
void control_images_destroy(control_images_t *images);
void control_images_ask(control_images_t *images, const dy_sealed_t *message,
			const struct sockaddr *from);
/* The bytes of one by its digest, or NULL. */
const uint8_t *control_images_find(const control_images_t *images,
				   const void *digest, uint32_t *len);

/* control_services.c: a line for each service in force. */
control_services_t *control_services_create(void);
void control_services_destroy(control_services_t *services);
void control_services_add(dy_control_t *control, dy_status_page_t *page);

void control_inspect(dy_control_t *control, const dy_sealed_t *message,
		     const struct sockaddr *from);

/* control_group.c */
void control_receive_group(dy_control_t *control, const dy_sealed_t *message,
			   const struct sockaddr *from);
/* End the loop, and with it the control's life. */
void control_end(dy_control_t *control, dy_control_exit_reason_t end);

/* control_place.c: an open group. */
void control_refresh_peers(dy_control_t *control);
/* Note the address of an empty control that holds a slot of no member. */
void control_note_newcomer(dy_control_t *control, const dy_hello_t *hello,
			   const dy_address_t *from);
void control_receive_find(dy_control_t *control, const dy_sealed_t *message,
			  const struct sockaddr *from);
void control_receive_place(dy_control_t *control, const dy_sealed_t *message);
void control_ask_membership(dy_control_t *control);
/* Give up a slot that an empty control waits in, in vain. */
void control_check_waiting(dy_control_t *control);
/* Whether an open group has a place for one more voter. */
int control_wants_voter(dy_control_t *control);
/* Whether there is a silent voter to let go; id is set to it. */
int control_find_surplus(dy_control_t *control, dy_voter_id_t *id);

void control_send_raft(void *control, const dy_raft_message_t *message);
void control_review_group(dy_control_t *control);
unsigned control_count_voters(const dy_control_t *control);

/* control_review.c: what the leader does by time. */
void control_review(dy_control_t *control);
/* Whether the log now says that trial's document was in force everywhere. */
void control_try_document(dy_control_t *control, int promoting);

#endif
