/*
 * Stations that submit readings, each over its own flow. A reading that did
 * not run is submitted again; one that may have run is not, as SUBMIT is not
 * idempotent. Every event is appended to the account file, one line each:
 *
 *	STATION SEQUENCE MILLIMAG sent|answered|not_run|may_have_run|mismatched
 */

#include "common_args.h"
#include "common_caller.h"
#include "standin_readings.h"

#include <errno.h>
#include <signal.h>
#include <stdio.h>

/* Stations share no sequence, so that an answer to another is detected. */
#define SEQUENCES_PER_STATION 1000000
/* Delay before a reading that did not run is submitted again. */
#define RETRY_DELAY_MS 100
/* A flow whose calls are refused for this time is reopened. */
#define REFUSED_REOPEN_MS 8000

typedef struct options {
	struct sockaddr_in address;
	char *prefix;
	int stations;
	int readings;
	int pace_ms;
	int retry_ms;
	int timeout_ms;
	int give_up_ms;
	int verify_count;
} options_t;

typedef enum total {
	TOTAL_SENT,
	TOTAL_ANSWERED,
	TOTAL_NOT_RUN,
	TOTAL_MAY_HAVE_RUN,
	TOTAL_MISMATCHED,
	TOTAL_GAVE_UP,
	TOTAL_BROKEN_FLOWS,
	TOTAL_BROKEN_REFUSED,
	TOTAL_BROKEN_TOKEN,
	TOTAL_BROKEN_ERROR,
	TOTAL_BROKEN_TIMEOUT,
	TOTALS
} total_t;

static const char *const total_names[TOTALS] = {
	"sent",		"answered",	"not_run",	  "may_have_run",
	"mismatched",	"gave_up",	"broken_flows",	  "broken_refused",
	"broken_token", "broken_error", "broken_timeout",
};

static options_t options = {
	.prefix = "station",
	.stations = 4,
	.readings = 50,
	.retry_ms = 300,
	.timeout_ms = 6000,
	.give_up_ms = 30000,
};
static FILE *account_file;
static GMutex lock; /* guards account and totals */
static unsigned totals[TOTALS];
static volatile sig_atomic_t stopping;

typedef struct station {
	char *name;
	unsigned index;
	unsigned answered;
	int was_reopened;
	standin_flow_t flow;
	GThread *thread;
} station_t;

static void on_stop_signal(int number)
{
	stopping = 1;
}

static void add_total(total_t total)
{
	g_mutex_lock(&lock);
	totals[total]++;
	g_mutex_unlock(&lock);
}

static void record_event(const standin_reading_t *reading, total_t total)
{
	g_mutex_lock(&lock);
	totals[total]++;
	fprintf(account_file, "%s %u %d %s\n", reading->station,
		reading->sequence, reading->millimag, total_names[total]);
	fflush(account_file);
	g_mutex_unlock(&lock);
}

/* Returns 0, or -1 if no flow could be opened. */
static int reopen(station_t *station, total_t cause)
{
	add_total(TOTAL_BROKEN_FLOWS);
	add_total(cause);
	station->was_reopened = 1;
	return standin_flow_open(&station->flow, options.give_up_ms);
}

static standin_outcome_t send_reading(station_t *station,
				      standin_reading_t *reading)
{
	unsigned answer = 0;
	standin_outcome_t outcome;

	record_event(reading, TOTAL_SENT);
	outcome = standin_flow_call(&station->flow, STANDIN_SUBMIT,
				    (xdrproc_t)xdr_standin_reading_t, reading,
				    (xdrproc_t)xdr_u_int, &answer);
	if (outcome == STANDIN_ANSWERED && answer != reading->sequence)
		outcome = STANDIN_BAD_ANSWER;
	return outcome;
}

/* Returns 1, or 0 if the reading did not run and is to be submitted again. */
static int record_outcome(station_t *station, const standin_reading_t *reading,
			  standin_outcome_t outcome)
{
	switch (outcome) {
	case STANDIN_ANSWERED:
		station->answered++;
		record_event(reading, TOTAL_ANSWERED);
		return 1;
	case STANDIN_NOT_RUN:
		record_event(reading, TOTAL_NOT_RUN);
		return 0;
	case STANDIN_NO_TOKEN:
		record_event(reading, TOTAL_NOT_RUN);
		reopen(station, TOTAL_BROKEN_TOKEN);
		return 0;
	case STANDIN_MAY_HAVE_RUN:
		record_event(reading, TOTAL_MAY_HAVE_RUN);
		reopen(station, TOTAL_BROKEN_ERROR);
		return 1;
	case STANDIN_TIMED_OUT:
		record_event(reading, TOTAL_MAY_HAVE_RUN);
		reopen(station, TOTAL_BROKEN_TIMEOUT);
		return 1;
	default:
		record_event(reading, TOTAL_MISMATCHED);
		return 1;
	}
}

static void submit_reading(station_t *station, standin_reading_t *reading)
{
	uint64_t start_ms = standin_now_ms();
	uint64_t refused_ms = start_ms;

	while (!record_outcome(station, reading,
			       send_reading(station, reading))) {
		uint64_t now_ms = standin_now_ms();

		if (now_ms > start_ms + options.give_up_ms) {
			add_total(TOTAL_GAVE_UP);
			return;
		}
		if (now_ms > refused_ms + REFUSED_REOPEN_MS) {
			reopen(station, TOTAL_BROKEN_REFUSED);
			refused_ms = standin_now_ms();
		}
		g_usleep(RETRY_DELAY_MS * 1000);
	}
}

/*
 * A flow that was never reopened had one target, which must have stored as
 * many readings as it answered.
 */
static void verify_count(station_t *station)
{
	unsigned count = 0;

	if (!options.verify_count || station->was_reopened)
		return;
	if (standin_flow_call(&station->flow, STANDIN_COUNT,
			      (xdrproc_t)xdr_standin_station_t, &station->name,
			      (xdrproc_t)xdr_u_int,
			      &count) != STANDIN_ANSWERED ||
	    count != station->answered)
		add_total(TOTAL_MISMATCHED);
}

static void *run_station(void *context)
{
	station_t *station = context;
	standin_reading_t reading = { .station = station->name };
	int i;

	if (standin_flow_open(&station->flow, options.give_up_ms)) {
		add_total(TOTAL_GAVE_UP);
		return NULL;
	}
	for (i = 0; i < options.readings && !stopping; i++) {
		reading.sequence = station->index * SEQUENCES_PER_STATION + i;
		reading.millimag = 18000 + (int)(reading.sequence % 4000);
		submit_reading(station, &reading);
		g_usleep(options.pace_ms * 1000);
	}
	verify_count(station);
	standin_flow_close(&station->flow);
	return NULL;
}

static void run_stations(void)
{
	station_t *stations = g_new0(station_t, options.stations);
	int i;

	for (i = 0; i < options.stations; i++) {
		station_t *station = &stations[i];

		station->index = i;
		station->name = g_strdup_printf("%s%d", options.prefix, i);
		station->flow.address = options.address;
		station->flow.program = STANDIN_READINGS_PROG;
		station->flow.version = STANDIN_READINGS_VERS;
		station->flow.retry_interval_ms = options.retry_ms;
		station->flow.timeout_ms = options.timeout_ms;
		station->thread =
			g_thread_new(station->name, run_station, station);
	}
	for (i = 0; i < options.stations; i++) {
		g_thread_join(stations[i].thread);
		g_free(stations[i].name);
	}
	g_free(stations);
}

static void print_totals(void)
{
	int i;

	for (i = 0; i < TOTALS; i++)
		printf("%s%s=%u", i ? " " : "", total_names[i], totals[i]);
	putchar('\n');
}

int main(int argc, char **argv)
{
	char *address = "";
	char *path = NULL;
	const GOptionEntry entries[] = {
		{ "address", 0, 0, G_OPTION_ARG_STRING, &address,
		  "Address of the readings service", "IP:PORT" },
		{ "account", 0, 0, G_OPTION_ARG_FILENAME, &path,
		  "File of what was sent and what became of it", "FILE" },
		{ "prefix", 0, 0, G_OPTION_ARG_STRING, &options.prefix,
		  "Start of the stations' names", "WORD" },
		{ "stations", 0, 0, G_OPTION_ARG_INT, &options.stations,
		  "Stations", "N" },
		{ "readings", 0, 0, G_OPTION_ARG_INT, &options.readings,
		  "Readings of each station", "N" },
		{ "pace-ms", 0, 0, G_OPTION_ARG_INT, &options.pace_ms,
		  "Pause between readings of a station", "MS" },
		{ "retry-ms", 0, 0, G_OPTION_ARG_INT, &options.retry_ms,
		  "Time after which a call is sent again", "MS" },
		{ "timeout-ms", 0, 0, G_OPTION_ARG_INT, &options.timeout_ms,
		  "Time after which a call is given up on", "MS" },
		{ "give-up-ms", 0, 0, G_OPTION_ARG_INT, &options.give_up_ms,
		  "Time after which a refused reading is given up on", "MS" },
		{ "verify-count", 0, 0, G_OPTION_ARG_NONE,
		  &options.verify_count,
		  "Ask the target at last how many it stored", NULL },
		{ NULL }
	};

	standin_parse_options(argc, argv, "Stand-in stations.", entries);
	options.address = standin_parse_address(address);
	account_file = path ? fopen(path, "a") : NULL;
	if (!account_file)
		standin_die("--account: %s",
			    path ? g_strerror(errno) : "missing");
	signal(SIGTERM, on_stop_signal);
	signal(SIGINT, on_stop_signal);
	run_stations();
	print_totals();
	fclose(account_file);
	return totals[TOTAL_MISMATCHED] || totals[TOTAL_GAVE_UP];
}
