#include "soak.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib/gstdio.h>

/* The system is founded and serves by then, in ms, on a busy machine too. */
#define FOUNDED_MS 60000

/* After the last fault callers are served and the operator reads back. */
#define RECOVERED_MS 60000

#define TICK_MS 10

const char *const service_names[2] = { "readings", "maps" };

soak_t soak;

static uint64_t started_ms;
static uint64_t phase_ms;
static unsigned seconds;

uint64_t soak_now_ms(void)
{
	return uv_now(soak.loop) - started_ms;
}

void soak_break(const char *promise, const char *format, ...)
{
	va_list ap;

	soak.broken++;
	if (soak.broken > 20)
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

	g_snprintf(text, sizeof(texts[0]), "127.%u.%d.%d", soak.net, class,
		   number);
	return text;
}

void soak_address(int class, int number, int port, struct sockaddr_in *to)
{
	uv_ip4_addr(soak_ip(class, number), (int)soak.base_port + port, to);
}

static void end(void)
{
	uv_stop(soak.loop);
}

/* Founding, then faults, then quiet in which recovery is judged. */
static void advance(uint64_t now)
{
	if (!phase_ms) {
		if (operator_ready()) {
			phase_ms = now;
			soak.end_ms = now + (uint64_t)seconds * 1000;
		} else if (now > 10000 + FOUNDED_MS) {
			soak_break("the group was not founded", "ms=%lu",
				   (unsigned long)now);
			end();
		}
		return;
	}
	if (!soak.quiet && now >= soak.end_ms) {
		soak.quiet = 1;
		phase_ms = now;
	}
	if (!soak.quiet)
		return;
	if (soak.served_since_quiet[0] > 50 &&
	    soak.served_since_quiet[1] > 10 && operator_settled()) {
		end();
	} else if (now - phase_ms > RECOVERED_MS) {
		soak_break("it did not recover", "served=%u,%u settled=%d",
			   soak.served_since_quiet[0],
			   soak.served_since_quiet[1], operator_settled());
		end();
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
	if (phase_ms)
		evacuations_tick();
	if (phase_ms)
		faults_tick();
	advance(now);
}

static void remove_folder(void)
{
	char *command[] = { "rm", "-rf", soak.folder, NULL };

	g_spawn_sync(NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL,
		     NULL, NULL, NULL);
}

static int run(uint32_t seed, int herd)
{
	uv_timer_t tick;

	memset(&soak, 0, sizeof(soak));
	soak.seed = seed;
	soak.herd = herd;
	soak.rand = g_rand_new_with_seed(seed);
	soak.loop = uv_default_loop();
	/* Not from 0: many times mean never by it. */
	started_ms = uv_now(soak.loop) - 10000;
	soak.net = 64 + (unsigned)getpid() % 150;
	soak.base_port = 20000 + (unsigned)getpid() % 1000 * 10;
	soak.folder = g_dir_make_tmp("dy-soak-XXXXXX", NULL);
	fabric_create();
	processes_create();
	targets_create();
	callers_create();
	operator_create();
	uv_timer_init(soak.loop, &tick);
	uv_timer_start(&tick, on_tick, TICK_MS, TICK_MS);
	uv_run(soak.loop, UV_RUN_DEFAULT);
	processes_destroy();
	printf("soak seed=%u shape=%s seconds=%u faults=%u requests=%u answered=%u "
	       "openings=%u resets=%u configurations=%u evacuations=%u "
	       "broken=%u result=%s\n",
	       seed, herd ? "herd" : "mixed", seconds, soak.faults,
	       soak.requests, soak.answered, soak.openings, soak.resets,
	       soak.configurations, soak.evacuations, soak.broken,
	       soak.broken ? "failed" : "passed");
	if (soak.broken)
		printf("soak seed=%u logs=%s\n", seed, soak.folder);
	else
		remove_folder();
	return soak.broken ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	int herd = argc == 4 && !strcmp(argv[3], "herd");

	if (argc != 3 && !herd) {
		fputs("usage: soak SEED SECONDS [herd]\n"
		      "One run of the packet path under faults; see docs/SOAK.md\n",
		      stderr);
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	seconds = (unsigned)strtoul(argv[2], NULL, 10);
	return run((uint32_t)strtoul(argv[1], NULL, 10), herd);
}
