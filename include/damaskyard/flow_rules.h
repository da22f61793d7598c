#ifndef DAMASKYARD_FLOW_RULES_H
#define DAMASKYARD_FLOW_RULES_H

/*
 * Where packet flows go: the entries of one configuration version. An entry
 * is an address and port that callers send to; its new flows go to one or
 * more services, by weight.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/packet.h"

/* Services that share one entry; a trial beside the old is two. */
#define DY_FLOW_SHARES_MAX 8

typedef struct dy_flow_share {
	char *service;
	uint32_t weight; /* relative to the entry's others */
} dy_flow_share_t;

typedef struct dy_flow_entry {
	uint32_t ip; /* IPv4, host order */
	uint16_t port;
	uint8_t repeatable; /* its requests may run more than once */
	uint8_t share_count;
	dy_flow_share_t shares[DY_FLOW_SHARES_MAX];
} dy_flow_entry_t;

typedef struct dy_flow_rules dy_flow_rules_t;

dy_flow_rules_t *dy_flow_rules_create(uint64_t version);
void dy_flow_rules_destroy(dy_flow_rules_t *rules);

/*
 * Add an entry, whose names are copied. Returns NULL, or what is wrong with
 * it: its address stands already, it has no service, or no share has a
 * weight.
 */
const char *dy_flow_rules_add(dy_flow_rules_t *rules,
			      const dy_flow_entry_t *entry);

/* Find the entry that a flow came to, or NULL. */
const dy_flow_entry_t *dy_flow_rules_find(const dy_flow_rules_t *rules,
					  uint32_t ip, uint16_t port);

/*
 * Say how many new flows in 1,000 s a target of a service bears while it is
 * cold; 0, as for services of which nothing was said: any number.
 */
void dy_flow_rules_set_cold_openings(dy_flow_rules_t *rules,
				     const char *service, uint32_t openings);
uint32_t dy_flow_rules_cold_openings(const dy_flow_rules_t *rules,
				     const char *service);

uint64_t dy_flow_rules_version(const dy_flow_rules_t *rules);
unsigned dy_flow_rules_count(const dy_flow_rules_t *rules);

/*
 * Order the entry's shares for a flow: the one that its opening packet goes
 * to first, by weight, the same in every process; the others follow in the
 * entry's order. order takes share_count positions.
 */
void dy_flow_entry_order_shares(const dy_flow_entry_t *entry,
				const dy_flow_id_t *flow,
				uint8_t order[DY_FLOW_SHARES_MAX]);

#endif
