#ifndef TESTS_FAKE_CLUSTER_H
#define TESTS_FAKE_CLUSTER_H

/*
 * A whole deployment of the true binary on loopback, with stand-in targets,
 * fabrics and stations. Processes have names: control1.., balancer1..,
 * and of each readings target readings1.., agent1.., announce1..;
 * maps1, agent-maps1, announce-maps1; fabric-readings, fabric-maps, caller.
 * Whatever cannot be started fails the running test.
 */

#include <sys/types.h>
#include <glib.h>

#define FAKE_CONTROLS 3
#define FAKE_BALANCERS 3
#define FAKE_TARGETS 3 /* of the readings service */

/* Longest wait for anything that must come about. */
#define FAKE_WAIT_MS 25000

typedef struct fake_cluster fake_cluster_t;

typedef int (*fake_condition_cb_t)(fake_cluster_t *cluster, void *context);

/*
 * Start everything up to the fabrics, with the document in force. seed is
 * the fabrics'; lose and duplicate are percentages of datagrams.
 */
fake_cluster_t *fake_cluster_create(unsigned seed, int lose, int duplicate);

/* Kill and reap what still runs and delete the folder. */
void fake_cluster_destroy(fake_cluster_t *cluster);

/* Start a program of the build folder; no word of it may hold a blank. */
void fake_cluster_spawn(fake_cluster_t *cluster, const char *name,
			const char *format, ...) G_GNUC_PRINTF(3, 4);

/*
 * Wait for its end. Returns its exit code, -1 if it was killed; *output, if
 * wanted, is what it printed, to be freed.
 */
int fake_cluster_wait(fake_cluster_t *cluster, const char *name, char **output);

/* What a process logged, to be freed. */
char *fake_cluster_log(fake_cluster_t *cluster, const char *name);

/* The value of key in what a process printed, to be freed, or NULL. */
char *fake_cluster_value(fake_cluster_t *cluster, const char *name,
			 const char *key);

/* Start a process that was started before, with the same command line. */
void fake_cluster_start(fake_cluster_t *cluster, const char *name);

void fake_cluster_signal(fake_cluster_t *cluster, const char *name, int number);

/* Wait until a process has ended. Returns its wait status. */
int fake_cluster_join(fake_cluster_t *cluster, const char *name);

/* Kill a process at once and reap it. */
void fake_cluster_kill(fake_cluster_t *cluster, const char *name);

/* SIGTERM, and fail the test unless the process ends with 0. */
void fake_cluster_stop(fake_cluster_t *cluster, const char *name);

/* Delete the data folder of a control that does not run. */
void fake_cluster_erase(fake_cluster_t *cluster, const char *name);

/*
 * Wait until a restarted balancer listens for both services, and tell the
 * fabrics. Until then they still know its old addresses.
 */
void fake_cluster_point_fabrics(fake_cluster_t *cluster);

/* What an operator's command needs. */
const char *fake_cluster_controls(const fake_cluster_t *cluster);
const char *fake_cluster_key(const fake_cluster_t *cluster);

/* Number of the document in force, kept by fake_operator_. */
unsigned *fake_cluster_document(fake_cluster_t *cluster);

/* Path of a file in the cluster's folder, to be freed. */
char *fake_cluster_path(fake_cluster_t *cluster, const char *name);

/* Wait until condition holds; what names it if it never does. */
void fake_cluster_await(fake_cluster_t *cluster, const char *what,
			fake_condition_cb_t condition, void *context);

#endif
