#include "fake_cluster.h"
#include "fake_operator.h"
#include "fake_process.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

/* Two ports for each control, balancer and agent, and some spare ones. */
#define PORT_COUNT 32

struct fake_cluster {
	char *folder;
	char *build;
	char *key_file;
	char *controls;
	char *peers;
	unsigned ports[PORT_COUNT];
	unsigned ports_used;
	unsigned document_number; /* number of the one in force */
	GHashTable *processes;	  /* fake_process_t by name */
};

static fake_process_t *find(fake_cluster_t *cluster, const char *name)
{
	fake_process_t *process = g_hash_table_lookup(cluster->processes, name);

	ck_assert_msg(process != NULL, "no process %s", name);
	return process;
}

char *fake_cluster_path(fake_cluster_t *cluster, const char *name)
{
	return g_build_filename(cluster->folder, name, NULL);
}

static char *address(unsigned port)
{
	return g_strdup_printf("127.0.0.1:%u", port);
}

static char *free_address(fake_cluster_t *cluster)
{
	ck_assert_uint_lt(cluster->ports_used, PORT_COUNT);
	return address(cluster->ports[cluster->ports_used++]);
}

/* command is split at spaces; no word of it may contain one. */
static void start(fake_cluster_t *cluster, const char *name,
		  const char *command)
{
	fake_process_t *process =
		fake_process_create(cluster->folder, name, command);

	g_hash_table_replace(cluster->processes, g_strdup(name), process);
	fake_process_start(process);
}

void fake_cluster_spawn(fake_cluster_t *cluster, const char *name,
			const char *format, ...)
{
	va_list arguments;
	char *rest;
	char *command;

	va_start(arguments, format);
	rest = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	command = g_strdup_printf("%s/%s", cluster->build, rest);
	start(cluster, name, command);
	g_free(command);
	g_free(rest);
}

void fake_cluster_start(fake_cluster_t *cluster, const char *name)
{
	fake_process_start(find(cluster, name));
}

void fake_cluster_signal(fake_cluster_t *cluster, const char *name, int number)
{
	fake_process_signal(find(cluster, name), number);
}

int fake_cluster_join(fake_cluster_t *cluster, const char *name)
{
	return fake_process_join(find(cluster, name), FAKE_TIMEOUT_MS);
}

void fake_cluster_kill(fake_cluster_t *cluster, const char *name)
{
	fake_cluster_signal(cluster, name, SIGKILL);
	fake_cluster_join(cluster, name);
}

void fake_cluster_stop(fake_cluster_t *cluster, const char *name)
{
	int status;

	fake_cluster_signal(cluster, name, SIGTERM);
	status = fake_cluster_join(cluster, name);
	ck_assert_msg(WIFEXITED(status) && WEXITSTATUS(status) == 0,
		      "%s ended with wait status %d", name, status);
}

static void remove_tree(const char *path)
{
	GDir *folder = g_dir_open(path, 0, NULL);
	const char *name;

	while (folder && (name = g_dir_read_name(folder))) {
		char *child = g_build_filename(path, name, NULL);

		remove_tree(child);
		g_free(child);
	}
	if (folder)
		g_dir_close(folder);
	remove(path);
}

void fake_cluster_erase_data(fake_cluster_t *cluster, const char *name)
{
	char *path = g_strdup_printf("%s/data-%s", cluster->folder, name);

	remove_tree(path);
	g_free(path);
}

void fake_cluster_await(fake_cluster_t *cluster, const char *what,
			fake_condition_cb_t condition, void *context)
{
	gint64 end_us = g_get_monotonic_time() + FAKE_TIMEOUT_MS * 1000LL;

	while (!condition(cluster, context)) {
		ck_assert_msg(g_get_monotonic_time() < end_us,
			      "%s: timed out after %d ms; see %s", what,
			      FAKE_TIMEOUT_MS, cluster->folder);
		g_usleep(20000);
	}
}

int fake_cluster_wait(fake_cluster_t *cluster, const char *name, char **output)
{
	fake_process_t *process = find(cluster, name);
	int status = fake_process_join(process, FAKE_TIMEOUT_MS);

	if (output)
		*output = fake_process_output(process);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

const char *fake_cluster_controls(const fake_cluster_t *cluster)
{
	return cluster->controls;
}

unsigned *fake_cluster_document_number(fake_cluster_t *cluster)
{
	return &cluster->document_number;
}

const char *fake_cluster_key_file(const fake_cluster_t *cluster)
{
	return cluster->key_file;
}

static void load_ports(fake_cluster_t *cluster)
{
	char *output = NULL;
	char **lines;
	unsigned i;

	fake_cluster_spawn(cluster, "ports", "standin/ports --count %d",
			   PORT_COUNT);
	ck_assert_int_eq(fake_cluster_wait(cluster, "ports", &output), 0);
	lines = g_strsplit(output, "\n", -1);
	for (i = 0; i < PORT_COUNT; i++)
		cluster->ports[i] = atoi(lines[i]);
	g_strfreev(lines);
	g_free(output);
}

char *fake_cluster_log(fake_cluster_t *cluster, const char *name)
{
	return fake_process_log(find(cluster, name));
}

char *fake_cluster_value(fake_cluster_t *cluster, const char *name,
			 const char *key)
{
	return fake_process_value(find(cluster, name), key);
}

static int has_address(fake_cluster_t *cluster, void *name)
{
	char *value = fake_process_value(find(cluster, name), "address");
	int found = value != NULL;

	g_free(value);
	return found;
}

static char *await_address(fake_cluster_t *cluster, char *name)
{
	fake_cluster_await(cluster, name, has_address, name);
	return fake_process_value(find(cluster, name), "address");
}

/*
 * Returns the addresses of all balancers for a service, separated by commas, or
 * NULL if a balancer does not listen yet.
 */
static char *list_balancers(fake_cluster_t *cluster, const char *service)
{
	GString *list = g_string_new(NULL);
	unsigned i;

	for (i = 1; i <= FAKE_BALANCERS; i++) {
		char name[32];
		char *found;

		g_snprintf(name, sizeof(name), "balancer%u", i);
		found = fake_process_service_address(find(cluster, name),
						     service);
		if (!found) {
			g_string_free(list, TRUE);
			return NULL;
		}
		g_string_append_printf(list, "%s%s", i > 1 ? "," : "", found);
		g_free(found);
	}
	return g_string_free(list, FALSE);
}

static int write_balancer_files(fake_cluster_t *cluster, void *context)
{
	static const char *const services[] = { "readings", "maps" };
	unsigned i;

	for (i = 0; i < G_N_ELEMENTS(services); i++) {
		char *list = list_balancers(cluster, services[i]);
		char *path = g_strdup_printf("%s/balancers-%s", cluster->folder,
					     services[i]);

		if (list)
			g_file_set_contents(path, list, -1, NULL);
		g_free(path);
		g_free(list);
		if (!list)
			return 0;
	}
	return 1;
}

void fake_cluster_update_fabrics(fake_cluster_t *cluster)
{
	fake_cluster_await(cluster, "balancers listen", write_balancer_files,
			   NULL);
}

static void start_controls(fake_cluster_t *cluster)
{
	char *addresses[FAKE_CONTROLS + 1] = { NULL };
	GString *peers = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < FAKE_CONTROLS; i++) {
		addresses[i] = free_address(cluster);
		g_string_append_printf(peers, "%s%u=%s", i ? "," : "", i + 1,
				       addresses[i]);
	}
	cluster->controls = g_strjoinv(",", addresses);
	cluster->peers = g_string_free(peers, FALSE);
	for (i = 0; i < FAKE_CONTROLS; i++) {
		char name[32];

		g_snprintf(name, sizeof(name), "control%u", i + 1);
		fake_cluster_spawn(
			cluster, name,
			"damaskyard control --id %u --data %s/data-%s "
			"--listen %s --peers %s --key-file %s "
			"--key-distribute-s 1",
			i + 1, cluster->folder, name, addresses[i],
			cluster->peers, cluster->key_file);
		g_free(addresses[i]);
	}
}

static void start_balancers(fake_cluster_t *cluster)
{
	unsigned i;

	for (i = 1; i <= FAKE_BALANCERS; i++) {
		char *listen = free_address(cluster);
		char name[32];

		g_snprintf(name, sizeof(name), "balancer%u", i);
		fake_cluster_spawn(
			cluster, name,
			"damaskyard balancer --name b%u --environment "
			"production --controls %s --listen %s --bind-host "
			"127.0.0.1 --domain d%u --key-file %s",
			i, cluster->controls, listen, i, cluster->key_file);
		g_free(listen);
	}
}

/* suffix is part of the names of the target's processes: "1", "-maps1". */
static void start_target(fake_cluster_t *cluster, const char *service,
			 const char *suffix, unsigned domain, char *target)
{
	char *listen = free_address(cluster);
	char *announce = free_address(cluster);
	char *name = g_strdup_printf("agent%s", suffix);

	fake_cluster_spawn(
		cluster, name,
		"damaskyard agent --name agent%s --environment production "
		"--controls %s --listen %s --announce %s --domain d%u "
		"--key-file %s",
		suffix, cluster->controls, listen, announce, domain,
		cluster->key_file);
	g_free(name);
	name = g_strdup_printf("announce%s", suffix);
	fake_cluster_spawn(
		cluster, name,
		"damaskyard announce --agent %s --service %s --target %s "
		"--slots 7 --connections 2000",
		announce, service, target);
	g_free(name);
	g_free(announce);
	g_free(listen);
	g_free(target);
}

static void start_targets(fake_cluster_t *cluster)
{
	unsigned i;

	for (i = 1; i <= FAKE_TARGETS; i++) {
		char *listen = free_address(cluster);
		char name[32];

		g_snprintf(name, sizeof(name), "readings%u", i);
		fake_cluster_spawn(cluster, name,
				   "standin/readings_target --listen %s --file "
				   "%s/stored%u --delay-ms 5",
				   listen, cluster->folder, i);
		g_free(listen);
		start_target(cluster, "readings", strpbrk(name, "0123456789"),
			     i, await_address(cluster, name));
	}
	fake_cluster_spawn(cluster, "maps1", "standin/maps_target");
	start_target(cluster, "maps", "-maps1", 1,
		     await_address(cluster, "maps1"));
}

static void start_fabrics(fake_cluster_t *cluster, unsigned seed, int lose,
			  int duplicate)
{
	fake_cluster_update_fabrics(cluster);
	fake_cluster_spawn(
		cluster, "fabric-readings",
		"standin/fabric --balancers-file %s/balancers-readings "
		"--probe --seed %u --lose %d --duplicate %d --reorder %d",
		cluster->folder, seed, lose, duplicate, duplicate);
	fake_cluster_spawn(
		cluster, "fabric-maps",
		"standin/fabric --balancers-file %s/balancers-maps --probe "
		"--seed %u",
		cluster->folder, seed);
	g_free(await_address(cluster, "fabric-readings"));
	g_free(await_address(cluster, "fabric-maps"));
}

static void destroy_process(void *process)
{
	fake_process_destroy(process);
}

fake_cluster_t *fake_cluster_create(unsigned seed, int lose, int duplicate)
{
	fake_cluster_t *cluster = g_new0(fake_cluster_t, 1);
	const char *build = g_getenv("DY_BUILD");

	cluster->build = g_strdup(build ? build : "build");
	cluster->folder = g_dir_make_tmp("damaskyard-XXXXXX", NULL);
	ck_assert_ptr_nonnull(cluster->folder);
	cluster->processes = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, destroy_process);
	cluster->key_file = fake_cluster_path(cluster, "key");
	g_file_set_contents(cluster->key_file,
			    "000102030405060708090a0b0c0d0e0f"
			    "101112131415161718191a1b1c1d1e1f\n",
			    -1, NULL);
	load_ports(cluster);
	start_controls(cluster);
	fake_operator_change_document(cluster);
	start_balancers(cluster);
	start_targets(cluster);
	start_fabrics(cluster, seed, lose, duplicate);
	return cluster;
}

void fake_cluster_destroy(fake_cluster_t *cluster)
{
	g_hash_table_destroy(cluster->processes);
	if (!g_getenv("DY_KEEP_FOLDER"))
		remove_tree(cluster->folder);
	g_free(cluster->folder);
	g_free(cluster->build);
	g_free(cluster->key_file);
	g_free(cluster->controls);
	g_free(cluster->peers);
	g_free(cluster);
}
