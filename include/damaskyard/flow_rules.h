#ifndef DAMASKYARD_FLOW_RULES_H
#define DAMASKYARD_FLOW_RULES_H

/*
 * Routing rules of packet flows: the entries of one configuration version. An
 * entry is a destination address and port; its new flows are distributed over
 * one or more services by weight.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/packet.h"

/* Services per entry; a trial version next to the current one needs two. */
#define DY_FLOW_SHARES_MAX 8

typedef struct dy_flow_share {
	char *service;
	uint32_t weight; /* relative to the other shares of the entry */
} dy_flow_share_t;

typedef struct dy_flow_entry {
	uint32_t ip; /* IPv4, host byte order */
	uint16_t port;
	uint8_t repeatable;  /* its requests may run more than once */
	uint8_t upload;	     /* its requests have large bodies */
	uint8_t bulk;	     /* its requests or answers have */
	uint8_t priority;    /* of its requests; 0 is the highest */
	uint32_t aim_ms;     /* in which requests are to be answered; 0: none */
	uint32_t timeout_ms; /* after which their callers give up; 0: unknown */
	uint8_t share_count;
	dy_flow_share_t shares[DY_FLOW_SHARES_MAX];
} dy_flow_entry_t;

typedef struct dy_flow_rules dy_flow_rules_t;

/* Create an empty rule set of a configuration version. */
dy_flow_rules_t *dy_flow_rules_create(uint64_t version);

/*
 * Drop a reference to the rules, the one of dy_flow_rules_create() or one of
 * dy_flow_rules_ref(). With the last one they are freed, and each entry that no
 * other rules share. NULL is allowed.
 */
void dy_flow_rules_destroy(dy_flow_rules_t *rules);

/* Add a reference to the rules, which must not be changed then. Returns them.
 */
dy_flow_rules_t *dy_flow_rules_ref(dy_flow_rules_t *rules);

/*
 * Add a copy of entry, service names included. Returns NULL, or a static
 * error message: the address and port are already used, or the entry has no
 * service or no positive weight.
 */
const char *dy_flow_rules_add(dy_flow_rules_t *rules,
			      const dy_flow_entry_t *entry);

/*
 * Add an entry that other rules own, without a copy of it: it is freed with the
 * last rules that have it. Returns NULL, or a static error message: the address
 * and port are already used.
 */
const char *dy_flow_rules_share(dy_flow_rules_t *rules,
				const dy_flow_entry_t *entry);

/*
 * Find the entry of a destination; ip is in host byte order. Returns an entry
 * that the rules own, or NULL.
 */
const dy_flow_entry_t *dy_flow_rules_find(const dy_flow_rules_t *rules,
					  uint32_t ip, uint16_t port);

/*
 * Limit the new flows that a cold target of a service accepts, in flows per
 * 1,000 s. 0 is ignored.
 */
void dy_flow_rules_set_cold_openings(dy_flow_rules_t *rules,
				     const char *service, uint32_t openings);

/* Returns the limit of a service, or 0 if it has none. */
uint32_t dy_flow_rules_cold_openings(const dy_flow_rules_t *rules,
				     const char *service);

/* Returns the configuration version. */
uint64_t dy_flow_rules_version(const dy_flow_rules_t *rules);

/* Returns the number of entries. */
unsigned dy_flow_rules_count(const dy_flow_rules_t *rules);

/*
 * Order the shares of an entry for a flow. The first one is drawn by weight
 * from the hash of the flow, so that every process draws the same; the others
 * follow in the order of the entry. Writes entry->share_count indices.
 */
void dy_flow_entry_order_shares(const dy_flow_entry_t *entry,
				const dy_flow_id_t *flow,
				uint8_t order[DY_FLOW_SHARES_MAX]);

#endif
