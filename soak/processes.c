#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <glib/gstdio.h>

int service_of(int number)
{
	return number % DOMAINS == 0;
}

process_t *process_of_balancer(int number)
{
	return &soak.processes[CONTROLS_MAX + number - 1];
}

process_t *process_of_agent(int number)
{
	return &soak.processes[CONTROLS_MAX + soak.balancers + number - 1];
}

/*
 * Links of the balancers, in Mbit/s: one that is often full, one that is so at
 * times, one without a limit (0). Repeated if there are more balancers.
 */
static const char *const balancer_links[] = { "0.1", "0.5", "0" };

/* Where openings wait at each balancer; both ways beside each other. */
static const char *const balancer_waits[] = { "balancer", "agent", "balancer" };

static void write_balancer_settings(GString *text, int number)
{
	size_t i = (size_t)(number - 1) % G_N_ELEMENTS(balancer_links);

	g_string_append_printf(text, "link-mbps=%s\n[openings]\nwait-at=%s\n",
			       balancer_links[i], balancer_waits[i]);
}

/*
 * Writes up to three addresses of listed controls, drawn at each process in the
 * shape "replaced"; no platform lists more.
 */
static void write_seeds(GString *text)
{
	int numbers[CONTROLS_MAX];
	int count = 0;
	int i, j, number;

	for (i = 0; i < soak.controls; i++)
		if (soak.processes[i].listed)
			numbers[count++] = i + 1;
	for (i = 0; i < MIN(count, CONTROLS); i++) {
		j = count > CONTROLS && soak.seeds_vary
			    ? g_rand_int_range(soak.rand, i, count)
			    : i;
		number = numbers[j];
		numbers[j] = numbers[i];
		numbers[i] = number;
		g_string_append_printf(text, "%s%s:%d", i ? "," : "",
				       soak_ip(NET_CONTROL, number),
				       (int)soak.base_port + PORT_CONTROL);
	}
}

static void write_settings(process_t *process, int first_start)
{
	GString *text = g_string_new(NULL);
	int base = (int)soak.base_port;
	int class = process->class;
	int number = process->number;

	g_string_printf(text,
			"[process]\nname=%s\nfailure-domain=d%d\n"
			"first-start=%s\nstop-s=4\n",
			process->name, process->domain,
			first_start ? "true" : "false");
	if (process->data)
		g_string_append_printf(text, "data=%s\n", process->data);
	if (class == NET_BALANCER)
		write_balancer_settings(text, number);
	g_string_append_printf(text, "[listen]\ninner-port=%d\n",
			       base + PORT_INNER);
	if (class != NET_CONTROL)
		g_string_append_printf(
			text, "packets=%s:%d\nready=%s:%d\n",
			soak_ip(class, number), base + PORT_PACKETS,
			soak_ip(class, number), base + PORT_READY);
	if (class != NET_BALANCER)
		g_string_append_printf(text, "control=%s:%d\n",
				       soak_ip(class, number),
				       base + PORT_CONTROL);
	if (class == NET_CONTROL)
		g_string_append_printf(text, "metrics-port=%d\n",
				       base + PORT_METRICS);
	if (class == NET_AGENT)
		g_string_append_printf(
			text,
			"outbound=%s:%d\n[target]\naddress=%s:%d\n"
			"service=%s\n",
			soak_ip(class, number), base + PORT_OUTBOUND,
			soak_ip(class, number), base + PORT_APP,
			service_names[service_of(number)]);
	g_string_append(text, "[group]\nfailure-domains=d1,d2,d3,d4\nseeds=");
	write_seeds(text);
	g_string_append_printf(text, "\nlosses=%u\n", soak.losses);
	g_file_set_contents(process->settings, text->str, -1, NULL);
	g_string_free(text, TRUE);
}

static void exec_child(const process_t *process)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(process->log, STDOUT_FILENO);
	dup2(process->log, STDERR_FILENO);
	execl("build/damaskyard", "damaskyard", process->command, "--settings",
	      process->settings, (char *)NULL);
	_exit(127);
}

static void start_process(process_t *process)
{
	process->log_bytes = lseek(process->log, 0, SEEK_END);
	process->pid = fork();
	if (!process->pid)
		exec_child(process);
	process->start_at_ms = 0;
	process->resume_at_ms = 0;
	process->paused = 0;
	process->exit_expected = 0;
	process->start_ms = soak_now_ms();
	process->last_disruption_ms = soak_now_ms();
}

static void create_process(process_t *process, const char *command, int class,
			   int number, int first_start)
{
	char *path;

	g_snprintf(process->name, sizeof(process->name), "%s%d",
		   command + strlen("flow-"), number);
	process->command = command;
	process->class = class;
	process->number = number;
	if (!process->domain)
		process->domain = (number - 1) % DOMAINS + 1;
	process->settings =
		g_strdup_printf("%s/%s.ini", soak.directory, process->name);
	if (class == NET_CONTROL)
		process->data = g_strdup_printf("%s/%s.data", soak.directory,
						process->name);
	path = process_log_path(process);
	process->log =
		open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	g_free(path);
	process->restart = 1;
	write_settings(process, first_start);
	start_process(process);
}

char *process_log_path(const process_t *process)
{
	return g_strdup_printf("%s/%s.log", soak.directory, process->name);
}

process_t *process_add_control(const process_t *predecessor)
{
	process_t *process = &soak.processes[soak.controls];

	if (soak.controls == CONTROLS_MAX)
		return NULL;
	soak.controls++;
	process->domain = predecessor->domain;
	create_process(process, "flow-control", NET_CONTROL, soak.controls, 0);
	return process;
}

process_t *process_draw_control(void)
{
	int number = 0;
	int i;

	for (i = 0; i < soak.controls; i++)
		number += soak.processes[i].restart;
	number = g_rand_int_range(soak.rand, 0, number);
	for (i = 0; !soak.processes[i].restart || number--;)
		i++;
	return &soak.processes[i];
}

void processes_turn_seeds_over(void)
{
	int i;

	for (i = 0; i < soak.process_count; i++)
		if (soak.processes[i].restart)
			write_settings(&soak.processes[i], 0);
}

/*
 * Not before the first line of the log: until then a process is being loaded,
 * and any signal ends it.
 */
void process_reload(process_t *process)
{
	if (process->pid && !process->exit_expected &&
	    lseek(process->log, 0, SEEK_END) > process->log_bytes)
		kill(process->pid, SIGHUP);
}

void processes_create(void)
{
	int i;

	for (i = 0; i < soak.controls; i++)
		soak.processes[i].listed = 1;
	for (i = 1; i <= soak.controls; i++)
		create_process(&soak.processes[i - 1], "flow-control",
			       NET_CONTROL, i, 1);
	soak.process_count = CONTROLS_MAX + soak.balancers + soak.targets;
	for (i = 1; i <= soak.balancers; i++)
		create_process(process_of_balancer(i), "flow-balancer",
			       NET_BALANCER, i, 1);
	for (i = 1; i <= soak.targets; i++)
		create_process(process_of_agent(i), "flow-agent", NET_AGENT, i,
			       1);
}

static void reap(process_t *process)
{
	int status;

	if (!process->pid || waitpid(process->pid, &status, WNOHANG) <= 0)
		return;
	process->pid = 0;
	if (process->exit_expected)
		return;
	soak_report_violation("a process ended by itself",
			      "process=%s status=%d", process->name, status);
	process->start_at_ms = soak_now_ms() + 200;
}

void processes_tick(void)
{
	uint64_t now = soak_now_ms();
	process_t *process;
	int i;

	for (i = 0; i < soak.process_count; i++) {
		process = &soak.processes[i];
		reap(process);
		if (process->resume_at_ms && now >= process->resume_at_ms) {
			process->resume_at_ms = 0;
			process->paused = 0;
			process->last_disruption_ms = now;
			process->last_fault_ms = now;
			kill(process->pid, SIGCONT);
		}
		if (!process->pid && process->restart && process->start_at_ms &&
		    now >= process->start_at_ms)
			start_process(process);
	}
}

static void erase_data(const process_t *process)
{
	const char *name;
	char *path;
	GDir *dir = g_dir_open(process->data, 0, NULL);

	while (dir && (name = g_dir_read_name(dir))) {
		path = g_build_filename(process->data, name, NULL);
		g_unlink(path);
		g_free(path);
	}
	if (dir)
		g_dir_close(dir);
}

/* Flips one bit in a log file, as disk corruption does. */
static void damage_log(const process_t *process)
{
	GDir *dir = g_dir_open(process->data, 0, NULL);
	char *path = NULL;
	const char *name;
	uint8_t byte;
	int file;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_prefix(name, "log-")) {
			g_free(path);
			path = g_build_filename(process->data, name, NULL);
		}
	if (dir)
		g_dir_close(dir);
	file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
	if (file >= 0 && pread(file, &byte, 1, 40) == 1) {
		byte ^= 0x40;
		if (pwrite(file, &byte, 1, 40) != 1)
			fprintf(stderr, "soak: %s was not damaged\n", path);
	}
	if (file >= 0)
		close(file);
	g_free(path);
}

void process_kill(process_t *process, int disk_fault, uint64_t restart_delay_ms)
{
	int status;

	if (!process->pid)
		return;
	process->exit_expected = 1;
	kill(process->pid, SIGKILL);
	waitpid(process->pid, &status, 0);
	process->pid = 0;
	process->paused = 0;
	process->resume_at_ms = 0;
	process->last_disruption_ms = soak_now_ms();
	process->last_fault_ms = soak_now_ms();
	process->start_at_ms = soak_now_ms() + restart_delay_ms;
	if (process->data)
		write_settings(process, 0);
	if (disk_fault == 1)
		erase_data(process);
	else if (disk_fault == 2)
		damage_log(process);
}

void process_pause(process_t *process, uint64_t duration_ms)
{
	if (!process->pid || process->paused)
		return;
	kill(process->pid, SIGSTOP);
	process->paused = 1;
	process->last_disruption_ms = soak_now_ms();
	process->last_fault_ms = soak_now_ms();
	process->resume_at_ms = soak_now_ms() + duration_ms;
}

void process_stop(process_t *process, uint64_t restart_delay_ms)
{
	if (!process->pid || process->paused)
		return;
	process->exit_expected = 1;
	kill(process->pid, SIGTERM);
	if (process->data)
		write_settings(process, 0);
	process->start_at_ms = soak_now_ms() + restart_delay_ms;
}

void processes_destroy(void)
{
	process_t *process;
	int i;

	for (i = 0; i < soak.process_count; i++) {
		process = &soak.processes[i];
		if (!process->settings)
			continue;
		process_kill(process, 0, 0);
		close(process->log);
		g_free(process->settings);
		g_free(process->data);
	}
}
