#ifndef DAMASKYARD_ROUTE_TABLE_H
#define DAMASKYARD_ROUTE_TABLE_H

/*
 * A balancer's table: the services of one document, and behind each the
 * targets that may serve it, with this balancer's view of their load.
 */

#include <glib.h>

#include "damaskyard/document.h"
#include "damaskyard/pick.h"
#include "dy_control.h"

/* Successors of a chain of planned stops that a packet is sent along. */
#define ROUTE_SUCCESSOR_HOPS_MAX 8

/* Longer than the longest idle time that a document is expected to allow. */
#define ROUTE_ENDED_TTL_MS (24 * 3600 * UINT64_C(1000))

typedef struct route_member {
	uint64_t ended_ms;    /* since when it is LEFT or DEAD; 0: it is not */
	uint64_t incarnation; /* the key: one for each start of an agent */
	uint64_t id;
	dy_address_t address;
	uint8_t state; /* a dy_member_state_t */
	uint8_t successor_count;
	uint8_t evacuated; /* its domain is */
	uint16_t domain;
	uint32_t slots;
	uint32_t connections;
	char *service; /* what its target announced; interned */
	char *labels;
	char *domain_name;
	uint64_t *successors;
} route_member_t;

typedef struct route_service {
	const dy_service_t *service;
	dy_pick_target_t *loads; /* both arrays in step */
	route_member_t **members;
	unsigned count;
	unsigned capacity;
} route_service_t;

typedef struct route_table route_table_t;

route_table_t *route_table_create(void);
void route_table_destroy(route_table_t *table);

/* Takes the document over; targets keep their view of load. */
void route_table_set_document(route_table_t *table, dy_document_t *document,
			      uint64_t now_ms);
const dy_document_t *route_table_document(const route_table_t *table);

void route_table_set_member(route_table_t *table, const dy_member_t *member,
			    uint64_t now_ms);

/*
 * Forget members that have been over for ROUTE_ENDED_TTL_MS: control does, and
 * no session of them is left by then.
 */
void route_table_expire(route_table_t *table, uint64_t now_ms);

/* Each returns NULL if there is none. */
route_service_t *route_table_find_service(route_table_t *table,
					  uint64_t service);
route_member_t *route_table_find_incarnation(route_table_t *table,
					     uint64_t incarnation);
route_member_t *route_table_find_current(route_table_t *table, uint64_t id);

/* This balancer's view of a member behind a service, or NULL. */
dy_pick_target_t *route_service_find(route_service_t *service,
				     const route_member_t *member);

/* Whether targets of a failure domain are to take no new sessions. */
void route_table_set_domain(route_table_t *table, const char *name,
			    int evacuated, uint64_t now_ms);

/* Index of a failure domain by its name; the same name, the same index. */
uint16_t route_table_domain_index(route_table_t *table, const char *name);

/* Balancers that serve, this one included. */
unsigned route_table_balancer_count(const route_table_t *table);

#endif
