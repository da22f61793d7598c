#ifndef TESTS_FAKE_OPERATOR_H
#define TESTS_FAKE_OPERATOR_H

/* Operator commands on a fake cluster. */

#include "fake_cluster.h"

/*
 * Run an operator command and wait for it. The words follow "damaskyard" on the
 * command line and end with NULL; the controls and the key file are added.
 * Returns the exit code. If output is not NULL, *output is what it printed; the
 * caller frees it.
 */
int fake_operator_run(fake_cluster_t *cluster, char **output, const char *word,
		      ...) G_GNUC_NULL_TERMINATED;

/* Start a command as above as the process `name`, without waiting for it. */
void fake_operator_spawn(fake_cluster_t *cluster, const char *name,
			 const char *word, ...) G_GNUC_NULL_TERMINATED;

/*
 * Write the example document with another queue limit. Returns its path; the
 * caller frees it.
 */
char *fake_operator_write_document(fake_cluster_t *cluster, unsigned queue);

/* Submit a new document to trial and promote it to production. */
void fake_operator_change_document(fake_cluster_t *cluster);

/* Wait until the newest document is in force at every member. */
void fake_operator_await_document(fake_cluster_t *cluster);

/* Drain a member and wait until it has left. */
void fake_operator_drain(fake_cluster_t *cluster, const char *member);

/* Wait until a control, such as "control1", is a voter without lag. */
void fake_operator_await_voter(fake_cluster_t *cluster, const char *control);

/* Wait until the status shows a member in this state. */
void fake_operator_await_state(fake_cluster_t *cluster, const char *member,
			       const char *state);

#endif
