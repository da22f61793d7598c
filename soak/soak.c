#include "soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

/* Time limit of the first configuration, with reserve for a busy machine. */
#define START_TIMEOUT_MS 60000

/*
 * Time limit after the last fault, by which callers must be served and the
 * operator must read back the last acknowledged configuration.
 */
#define RECOVERY_TIMEOUT_MS 60000

#define TICK_INTERVAL_MS 10

const char *const service_names[2] = { "readings", "maps" };

static const char *const shape_names[] = { "mixed", "herd", "outage",
					   "replaced" };

/* Processes and callers without numbers on the command line. */
static const struct {
	int balancers;
	int targets;
	int callers;
} sizes[] = { { 3, 4, 8 }, { 3, 4, 8 }, { 3, 12, 48 }, { 3, 4, 8 } };

soak_t soak;

static uint64_t clock_origin_ms;
static uint64_t phase_started_ms;
static unsigned seconds;

uint64_t soak_now_ms(void)
{
	return uv_now(soak.loop) - clock_origin_ms;
}

void soak_report_violation(const char *promise, const char *format, ...)
{
	va_list ap;

	soak.violations++;
	if (soak.violations > 20)
		return;
	printf("broken seed=%u ms=%lu promise=\"%s\" ", soak.seed,
	       (unsigned long)soak_now_ms(), promise);
	va_start(ap, format);
	vprintf(format, ap);
	va_end(ap);
	putchar('\n');
}

const char *soak_ip(int class, int number)
{
	static char texts[4][32];
	static unsigned next;
	char *text = texts[next++ % 4];

	g_snprintf(text, sizeof(texts[0]), "127.%u.%d.%d", soak.net_octet,
		   class, number);
	return text;
}

void soak_address(int class, int number, int port, struct sockaddr_in *to)
{
	uv_ip4_addr(soak_ip(class, number), (int)soak.base_port + port, to);
}

static void stop_loop(void)
{
	uv_stop(soak.loop);
}

static int has_recovered(void)
{
	if (soak.shape == SHAPE_REPLACED)
		return replacements_finished();
	return operator_has_read_back();
}

/* Phases: start of the group, faults, then recovery without faults. */
static void advance_phase(uint64_t now)
{
	if (!phase_started_ms) {
		if (operator_ready()) {
			phase_started_ms = now;
			soak.end_ms = now + (uint64_t)seconds * 1000;
		} else if (now > 10000 + START_TIMEOUT_MS) {
			soak_report_violation("the group was not founded",
					      "ms=%lu", (unsigned long)now);
			stop_loop();
		}
		return;
	}
	/* The final fault of the shape "replaced" begins the recovery. */
	if (!soak.recovering && now >= soak.end_ms &&
	    soak.shape != SHAPE_REPLACED) {
		soak.recovering = 1;
		phase_started_ms = now;
	}
	if (!soak.recovering)
		return;
	if (soak.answered_in_recovery[0] > 50 &&
	    soak.answered_in_recovery[1] > 10 && has_recovered()) {
		stop_loop();
	} else if (now - phase_started_ms > RECOVERY_TIMEOUT_MS) {
		soak_report_violation(
			"it did not recover", "served=%u,%u settled=%d",
			soak.answered_in_recovery[0],
			soak.answered_in_recovery[1], has_recovered());
		stop_loop();
	}
}

static void on_tick(uv_timer_t *timer)
{
	uint64_t now = soak_now_ms();

	(void)timer;
	processes_tick();
	fabric_tick();
	targets_tick();
	operator_tick();
	callers_tick();
	if (phase_started_ms && soak.shape != SHAPE_OUTAGE &&
	    soak.shape != SHAPE_REPLACED)
		evacuations_tick();
	if (phase_started_ms)
		faults_tick();
	else if (soak.shape == SHAPE_REPLACED)
		replacements_start_tick();
	advance_phase(now);
}

static void remove_directory(void)
{
	char *command[] = { "rm", "-rf", soak.directory, NULL };

	g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL,
		     NULL, NULL, NULL);
}

/* scale multiplies the numbers of balancers, targets and callers. */
static int run_soak(uint32_t seed, soak_shape_t shape, int scale)
{
	uv_timer_t tick;

	memset(&soak, 0, sizeof(soak));
	soak.seed = seed;
	soak.shape = shape;
	soak.balancers = MIN(sizes[shape].balancers * scale, BALANCERS_MAX);
	soak.targets = MIN(sizes[shape].targets * scale, TARGETS_MAX);
	soak.callers = MIN(sizes[shape].callers * scale, CALLERS_MAX);
	soak.rand = g_rand_new_with_seed(seed);
	soak.controls = CONTROLS;
	soak.losses = 1;
	if (shape == SHAPE_REPLACED)
		replacements_create();
	soak.loop = uv_default_loop();
	/* Starts at 10 s, as many variables use time 0 for "never". */
	clock_origin_ms = uv_now(soak.loop) - 10000;
	soak.net_octet = 64 + (unsigned)getpid() % 150;
	soak.base_port = 20000 + (unsigned)getpid() % 1000 * 10;
	soak.directory = g_dir_make_tmp("dy-soak-XXXXXX", NULL);
	fabric_create();
	processes_create();
	targets_create();
	callers_create();
	operator_create();
	uv_timer_init(soak.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
	uv_run(soak.loop, UV_RUN_DEFAULT);
	processes_destroy();
	printf("soak seed=%u shape=%s seconds=%u faults=%u requests=%u answered=%u "
	       "openings=%u resets=%u configurations=%u evacuations=%u "
	       "replaced=%u wiped=%u broken=%u result=%s\n",
	       seed, shape_names[shape], seconds, soak.faults, soak.requests,
	       soak.answered, soak.openings, soak.resets, soak.configurations,
	       soak.evacuations, soak.replaced, soak.wiped, soak.violations,
	       soak.violations ? "failed" : "passed");
	if (soak.violations)
		printf("soak seed=%u logs=%s\n", seed, soak.directory);
	else
		remove_directory();
	return soak.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}

static int find_shape(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(shape_names); i++)
		if (!strcmp(name, shape_names[i]))
			return (int)i;
	return -1;
}

int main(int argc, char **argv)
{
	int shape = argc > 3 ? find_shape(argv[3]) : SHAPE_MIXED;
	int scale = argc > 4 ? (int)strtol(argv[4], NULL, 10) : 1;

	if (argc < 3 || argc > 5 || shape < 0 || scale < 1) {
		fputs("usage: soak SEED SECONDS [mixed|herd|outage|replaced [SCALE]]\n"
		      "One run of the packet path under faults; see docs/SOAK.md\n",
		      stderr);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	seconds = (unsigned)strtoul(argv[2], NULL, 10);
	return run_soak((uint32_t)strtoul(argv[1], NULL, 10),
			(soak_shape_t)shape, scale);
}
