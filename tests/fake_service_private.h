#ifndef FAKE_SERVICE_PRIVATE_H
#define FAKE_SERVICE_PRIVATE_H

/* The parts of fake_service.h: callers, members and targets. */

#include <glib.h>

#include "bench/common_heap.h"
#include "damaskyard/flow_holder.h"
#include "damaskyard/flow_router.h"
#include "damaskyard/list.h"
#include "damaskyard/stored_forward.h"
#include "fake_service.h"

#define US_PER_MS 1000u

#define SERVICE_NAME "readings"
#define ENTRY_IP 0xc6120001u
#define ENTRY_PORT 443u /* of kind 0 */

typedef struct request {
	unsigned kind;
	unsigned caller;
	uint64_t asked_us;
	unsigned tries_left;
} request_t;

typedef struct
try {
	dy_flow_id_t flow;
	request_t *request;
	unsigned balancer;
	unsigned syns; /* sent so far */
	int open;
	int over;
	unsigned deliveries; /* of its data to targets */
}
try_t;

/* A balancer or an agent with its target. */
typedef struct balancer {
	fake_service_t *service;
	unsigned number;
	dy_flow_router_t *router;
} balancer_t;

typedef struct target {
	fake_service_t *service;
	unsigned number;
	dy_flow_holder_t *holder;
	fake_service_condition_t condition;
	uint64_t cold_until_us;
	unsigned life; /* number of its starts */
	uint64_t notices;
	GHashTable *flows; /* set of the try_t that it holds */
	unsigned running;
	GQueue waiting; /* queue of dy_packet_t */
} target_t;

typedef struct message message_t;

/* Receives a message, which is freed afterwards. */
typedef void message_cb_t(fake_service_t *service, message_t *message);

/* A message on its way to a balancer, an agent, a target or a caller. */
struct message {
	dy_list_t link;
	message_cb_t *run;
	unsigned to;
	dy_packet_t packet;
	union {
		dy_stored_forward_t forward;
		dy_flow_held_t held;
		dy_flow_nowhere_t nowhere;
		dy_flow_report_t report;
		dy_flow_reserve_t reserve;
		dy_flow_grant_t grant;
		uint64_t polled_ms;
		unsigned life; /* of the target that sent it */
	};
};

struct fake_service {
	fake_service_settings_t settings;
	heap_t *heap;
	dy_list_t messages; /* on their way */
	GRand *random;
	dy_metrics_t *metrics;
	balancer_t *balancers;
	target_t *targets;
	double load[FAKE_SERVICE_KINDS];
	double hot_part;
	unsigned *ports;     /* last one of each caller */
	GHashTable *tries;   /* try_t by flow */
	GPtrArray *requests; /* all, with their memory */
	GArray *windows;     /* of fake_service_result_t */
};

/* Returns the time for the modules, in ms. */
uint64_t service_now_ms(const fake_service_t *service);

/* Schedule event in after_us, with the service as its context. */
void service_add(fake_service_t *service, uint64_t after_us, event_cb_t *event,
		 void *argument);

/*
 * Send a message; packet is a dy_packet_t or NULL. Returns it for the other
 * members to be set.
 */
message_t *service_post(fake_service_t *service, unsigned to, uint64_t after_us,
			message_cb_t *run, const void *packet);

/* Returns the result of the window in which the request was issued. */
fake_service_result_t *service_window(fake_service_t *service,
				      const request_t *request);

/* Returns the mean work of a kind's requests, in us. */
unsigned service_work_us(unsigned kind);

/* Draws the work of one request, in us. */
uint64_t service_draw_work(fake_service_t *service, unsigned kind);

/* Start the issue of requests. */
void callers_start(fake_service_t *service);

/* Hand a packet to its caller. */
void callers_receive(fake_service_t *service, const dy_packet_t *packet);

/* Create the balancers and agents; destroy them. */
void members_create(fake_service_t *service);
void members_destroy(fake_service_t *service);

/* Send a caller's packet to a balancer. */
void members_send_packet(fake_service_t *service, unsigned balancer,
			 const dy_packet_t *packet);

/* Create the target beside an agent; clear it. */
void target_init(target_t *target, fake_service_t *service, unsigned number);
void target_clear(target_t *target);

/* Let the target start and announce itself. */
void target_start(target_t *target);

/* Hand a packet to the target. */
void target_receive(target_t *target, const dy_packet_t *packet);

/* Returns the address of an agent; its port is the agent's number. */
dy_address_t target_agent_address(unsigned number);

#endif
