#ifndef DAMASKYARD_FAKE_AGENTS_PRIVATE_H
#define DAMASKYARD_FAKE_AGENTS_PRIVATE_H

/* What the two halves of the fake world share. */

#include "fake_agents.h"

/* Of the service in the fake document. */
#define PROGRAM 0x2A000001

/* Say which promise was broken for which call, and abort. */
void world_fail(const char *what, uint32_t id) __attribute__((noreturn));

/* The address of an agent by its index. */
void world_address(dy_address_t *address, unsigned index);

#endif
