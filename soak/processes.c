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
	return &soak.processes[CONTROLS + number - 1];
}

process_t *process_of_agent(int number)
{
	return &soak.processes[CONTROLS + soak.balancers + number - 1];
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

static void write_settings(process_t *process, int class, int number,
			   int first_start)
{
	GString *text = g_string_new(NULL);
	int base = (int)soak.base_port;
	int i;

	g_string_printf(text,
			"[process]\nname=%s\nfailure-domain=d%d\n"
			"first-start=%s\nstop-s=4\n",
			process->name, (number - 1) % DOMAINS + 1,
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
	if (class == NET_AGENT)
		g_string_append_printf(
			text,
			"outbound=%s:%d\n[target]\naddress=%s:%d\n"
			"service=%s\n",
			soak_ip(class, number), base + PORT_OUTBOUND,
			soak_ip(class, number), base + PORT_APP,
			service_names[service_of(number)]);
	g_string_append(text, "[group]\nfailure-domains=d1,d2,d3,d4\nseeds=");
	for (i = 1; i <= CONTROLS; i++)
		g_string_append_printf(text, "%s%s:%d", i > 1 ? "," : "",
				       soak_ip(NET_CONTROL, i),
				       base + PORT_CONTROL);
	g_string_append(text, "\n");
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
	process->pid = fork();
	if (!process->pid)
		exec_child(process);
	process->start_at_ms = 0;
	process->resume_at_ms = 0;
	process->paused = 0;
	process->exit_expected = 0;
	process->last_disruption_ms = soak_now_ms();
}

static void create_process(process_t *process, const char *command, int class,
			   int number)
{
	char *path;

	g_snprintf(process->name, sizeof(process->name), "%s%d",
		   command + strlen("flow-"), number);
	process->command = command;
	process->settings =
		g_strdup_printf("%s/%s.ini", soak.directory, process->name);
	if (class == NET_CONTROL)
		process->data = g_strdup_printf("%s/%s.data", soak.directory,
						process->name);
	path = g_strdup_printf("%s/%s.log", soak.directory, process->name);
	process->log =
		open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	g_free(path);
	process->restart = 1;
	write_settings(process, class, number, 1);
	start_process(process);
}

void processes_create(void)
{
	int i;

	for (i = 1; i <= CONTROLS; i++)
		create_process(&soak.processes[i - 1], "flow-control",
			       NET_CONTROL, i);
	soak.process_count = CONTROLS + soak.balancers + soak.targets;
	for (i = 1; i <= soak.balancers; i++)
		create_process(process_of_balancer(i), "flow-balancer",
			       NET_BALANCER, i);
	for (i = 1; i <= soak.targets; i++)
		create_process(process_of_agent(i), "flow-agent", NET_AGENT, i);
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
		write_settings(process, NET_CONTROL,
			       (int)(process - soak.processes) + 1, 0);
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
		write_settings(process, NET_CONTROL,
			       (int)(process - soak.processes) + 1, 0);
	process->start_at_ms = soak_now_ms() + restart_delay_ms;
}

void processes_destroy(void)
{
	process_t *process;
	int i;

	for (i = 0; i < soak.process_count; i++) {
		process = &soak.processes[i];
		process_kill(process, 0, 0);
		close(process->log);
		g_free(process->settings);
		g_free(process->data);
	}
}
