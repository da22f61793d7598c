#ifndef DAMASKYARD_FAKE_AGENTS_PRIVATE_H
#define DAMASKYARD_FAKE_AGENTS_PRIVATE_H

/* Internals shared by fake_agents.c and fake_agents_calls.c. */

#include "fake_agents.h"

/* Program number of the service in the fake document. */
#define PROGRAM 0x2A000001

/* Print which invariant was violated for which call, and abort. */
void world_violation(const char *what, uint32_t id) __attribute__((noreturn));

/* Write the address of the agent with this index to *address. */
void world_address(dy_address_t *address, unsigned index);

#endif
