#ifndef DAMASKYARD_ROUTE_TABLE_H
#define DAMASKYARD_ROUTE_TABLE_H

/*
 * Routing table of a balancer: the services of one document and, for each, the
 * targets that may serve it, with their load as this balancer sees it.
 */

#include <glib.h>

#include "damaskyard/document.h"
#include "damaskyard/pick.h"
#include "dy_control.h"

/* Maximum hops from an agent that left along its chain of successors. */
#define ROUTE_SUCCESSOR_HOPS_MAX 8

/* Longer than any session idle timeout that a document should set. */
#define ROUTE_ENDED_TTL_MS (24 * 3600 * UINT64_C(1000))

typedef struct route_member {
	uint64_t ended_ms;    /* when it became LEFT or DEAD; 0: neither */
	uint64_t incarnation; /* key; one per start of an agent */
	uint64_t id;
	dy_address_t address;
	uint8_t state; /* a dy_member_state_t */
	uint8_t successor_count;
	uint8_t evacuated; /* its domain is evacuated */
	uint16_t domain;
	uint32_t slots;
	uint32_t connections;
	char *service; /* announced by its target; interned */
	char *labels;
	char *domain_name;
	uint64_t *successors;
} route_member_t;

typedef struct route_service {
	const dy_service_t *service;
	dy_pick_target_t *loads; /* parallel to members */
	route_member_t **members;
	unsigned count;
	unsigned capacity;
} route_service_t;

typedef struct route_table route_table_t;

/* Create an empty table. */
route_table_t *route_table_create(void);

/* Free the table and its document. NULL is allowed. */
void route_table_destroy(route_table_t *table);

/*
 * Replace the document, whose ownership passes to the table, and free the old
 * one. Targets that remain behind a service keep their load.
 */
void route_table_set_document(route_table_t *table, dy_document_t *document,
			      uint64_t now_ms);

/* Returns the document, which the table owns, or NULL if there is none. */
const dy_document_t *route_table_document(const route_table_t *table);

/* Add or update a member by its record; a balancer is only counted. */
void route_table_set_member(route_table_t *table, const dy_member_t *member,
			    uint64_t now_ms);

/*
 * Remove members that ended ROUTE_ENDED_TTL_MS ago. Control drops their records
 * too, and their sessions have expired by then.
 */
void route_table_expire(route_table_t *table, uint64_t now_ms);

/*
 * Find a service by id, an agent by incarnation, or the newest incarnation of
 * an agent by member id. Each returns NULL if there is none.
 */
route_service_t *route_table_find_service(route_table_t *table,
					  uint64_t service);
route_member_t *route_table_find_incarnation(route_table_t *table,
					     uint64_t incarnation);
route_member_t *route_table_find_current(route_table_t *table, uint64_t id);

/* Returns the load of a member as a target of a service, or NULL. */
dy_pick_target_t *route_service_find(route_service_t *service,
				     const route_member_t *member);

/* Set whether a failure domain is evacuated and gets no new sessions. */
void route_table_set_domain(route_table_t *table, const char *name,
			    int evacuated, uint64_t now_ms);

/* Returns the index of a failure domain, which is added if it is new. */
uint16_t route_table_domain_index(route_table_t *table, const char *name);

/* Returns the number of serving balancers, at least 1 (this one). */
unsigned route_table_balancer_count(const route_table_t *table);

#endif
