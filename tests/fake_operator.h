#ifndef TESTS_FAKE_OPERATOR_H
#define TESTS_FAKE_OPERATOR_H

/* The operators of a fake cluster. */

#include "fake_cluster.h"

/*
 * Run an operator's command: NULL-ended words after "damaskyard"; the
 * controls and the key file are added. Returns its exit code; *output, if
 * wanted, is what it printed, to be freed.
 */
int fake_operator_run(fake_cluster_t *cluster, char **output, const char *word,
		      ...) G_GNUC_NULL_TERMINATED;

/* Start, without waiting for it, a command as above under a name. */
void fake_operator_spawn(fake_cluster_t *cluster, const char *name,
			 const char *word, ...) G_GNUC_NULL_TERMINATED;

/* Write the example with another queue; returns its path, to be freed. */
char *fake_operator_write_document(fake_cluster_t *cluster, unsigned queue);

/* Put a document that was not there before into trial and production. */
void fake_operator_change_document(fake_cluster_t *cluster);

/* Wait until the newest document is in force at every member. */
void fake_operator_await_document(fake_cluster_t *cluster);

/* Drain a member, and wait until it has left. */
void fake_operator_drain(fake_cluster_t *cluster, const char *member);

/* Wait until a control, "control1", votes and lacks nothing. */
void fake_operator_await_voter(fake_cluster_t *cluster, const char *control);

/* Wait until a member is in this state. */
void fake_operator_await_state(fake_cluster_t *cluster, const char *member,
			       const char *state);

#endif
