#ifndef TESTS_FAKE_CLUSTER_H
#define TESTS_FAKE_CLUSTER_H

/*
 * A deployment of the real binary on loopback, with simulated targets, fabrics
 * and stations from standin/. Processes are identified by name: control1..,
 * balancer1.., for each readings target readings1.., agent1.., announce1..;
 * maps1, agent-maps1, announce-maps1; fabric-readings, fabric-maps, caller.
 * A process that cannot be started fails the running test.
 */

#include <sys/types.h>
#include <glib.h>

#define FAKE_CONTROLS 3
#define FAKE_BALANCERS 3
#define FAKE_TARGETS 3 /* of the readings service */

/* Timeout of every wait, in ms; the test then fails. */
#define FAKE_TIMEOUT_MS 25000

typedef struct fake_cluster fake_cluster_t;

/* Returns whether the condition holds. */
typedef int (*fake_condition_cb_t)(fake_cluster_t *cluster, void *context);

/*
 * Start all processes but the callers, with a document in force. seed is for
 * the fabrics; lose and duplicate are percentages of datagrams.
 */
fake_cluster_t *fake_cluster_create(unsigned seed, int lose, int duplicate);

/*
 * Kill and reap the processes that still run and delete the folder, unless
 * DY_KEEP_FOLDER is set.
 */
void fake_cluster_destroy(fake_cluster_t *cluster);

/*
 * Start a program of the build folder. The formatted command line is split at
 * spaces.
 */
void fake_cluster_spawn(fake_cluster_t *cluster, const char *name,
			const char *format, ...) G_GNUC_PRINTF(3, 4);

/*
 * Wait for a process to end. Returns its exit code, or -1 if a signal ended it.
 * If output is not NULL, *output is what it printed; the caller frees it.
 */
int fake_cluster_wait(fake_cluster_t *cluster, const char *name, char **output);

/* Returns what a process has logged; the caller frees it. */
char *fake_cluster_log(fake_cluster_t *cluster, const char *name);

/*
 * Returns the value of key in what a process has printed, or NULL. The caller
 * frees it.
 */
char *fake_cluster_value(fake_cluster_t *cluster, const char *name,
			 const char *key);

/* Start an ended process again, with the same command line. */
void fake_cluster_start(fake_cluster_t *cluster, const char *name);

/* Send a signal to a running process. */
void fake_cluster_signal(fake_cluster_t *cluster, const char *name, int number);

/* Wait until a process has ended. Returns its wait status. */
int fake_cluster_join(fake_cluster_t *cluster, const char *name);

/* Kill a process at once and reap it. */
void fake_cluster_kill(fake_cluster_t *cluster, const char *name);

/* Send SIGTERM and fail the test unless the process exits with 0. */
void fake_cluster_stop(fake_cluster_t *cluster, const char *name);

/* Delete the data folder of a control, which must not run. */
void fake_cluster_erase_data(fake_cluster_t *cluster, const char *name);

/*
 * Wait until all balancers listen for both services and update the fabrics.
 * Until then the fabrics use the old addresses of a restarted balancer.
 */
void fake_cluster_update_fabrics(fake_cluster_t *cluster);

/* Returns the addresses of the controls and the path of the key file. */
const char *fake_cluster_controls(const fake_cluster_t *cluster);
const char *fake_cluster_key_file(const fake_cluster_t *cluster);

/* Returns the number of the document in force, which fake_operator.c sets. */
unsigned *fake_cluster_document_number(fake_cluster_t *cluster);

/* Returns the path of a file in the cluster's folder; the caller frees it. */
char *fake_cluster_path(fake_cluster_t *cluster, const char *name);

/* Wait until condition holds. what names it in the message of a failure. */
void fake_cluster_await(fake_cluster_t *cluster, const char *what,
			fake_condition_cb_t condition, void *context);

#endif
