#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "command.h"
#include "operator_lines.h"
#include "report.h"

/* Timeout for all counters of one process; allows several attempts. */
#define PROCESS_TIMEOUT_MS 1500

static char *environment;
static gboolean pairs;

static const dy_setting_t settings[] = {
	OPERATOR_SETTINGS(TRUE),
	{ .flag = "environment",
	  .kind = DY_SETTING_CHOICE,
	  .value = &environment,
	  .default_text = "production",
	  .argument = DY_ENVIRONMENT_CHOICES,
	  .help = "environment; default production" },
	{ .flag = "pairs",
	  .kind = DY_SETTING_FLAG,
	  .value = &pairs,
	  .help = "print key=value lines for scripts instead of a table" },
	{ 0 },
};

static void add_member_address(void *context, const char *line)
{
	GArray *addresses = context;
	char *member_environment = operator_line_value(line, "environment");
	char *state = operator_line_value(line, "state");
	char *text = operator_line_value(line, "address");
	dy_address_t address;

	if (g_str_has_prefix(line, "member ") && member_environment && text &&
	    state && !strcmp(member_environment, environment) &&
	    strcmp(state, "left") && strcmp(state, "dead") &&
	    !dy_address_parse(text, &address))
		g_array_append_val(addresses, address);
	g_free(member_environment);
	g_free(state);
	g_free(text);
}

static void add_line(void *context, const char *line)
{
	report_add_line(context, line);
}

/* Counts the processes that do not answer within their short timeout. */
static void collect_counters(operator_t *op, const GArray *addresses,
			     report_t *report)
{
	const dy_address_t *address;
	guint i;

	for (i = 0; i < addresses->len; i++) {
		address = &g_array_index(addresses, dy_address_t, i);
		report->processes++;
		operator_set_timeout(op, PROCESS_TIMEOUT_MS);
		if (operator_fetch_process_lines(op, address, add_line, report))
			report->unanswered++;
	}
	report_sort(report);
}

static void print_pairs(const report_service_t *service)
{
	const dy_tally_t *tally;
	int window;
	int i;

	printf("service=%s objective=%g alert=%s budget_left_percent=%.1f\n",
	       service->name, service->objective, report_alert(service),
	       report_budget_left(service));
	for (window = 0; window < DY_WINDOWS; window++) {
		tally = &service->tallies[window];
		printf("service=%s window=%s calls=%" PRIu64 " burn=%.2f",
		       service->name, dy_window_name((dy_window_t)window),
		       dy_tally_total(tally),
		       dy_tally_burn_rate(tally, service->objective));
		for (i = 0; i < DY_OUTCOMES; i++)
			printf(" %s=%" PRIu64, dy_outcome_name((dy_outcome_t)i),
			       tally->counts[i]);
		putchar('\n');
	}
}

static void print_table(const report_service_t *service)
{
	const dy_tally_t *tally;
	int window;

	printf("%s: objective %g %%, budget left %.1f %%, alert %s\n",
	       service->name, service->objective, report_budget_left(service),
	       report_alert(service));
	printf("  %-6s %10s %8s %8s %8s %8s %8s\n", "window", "calls", "burn",
	       "refused", "late", "unsure", "broken");
	for (window = 0; window < DY_WINDOWS; window++) {
		tally = &service->tallies[window];
		printf("  %-6s %10" PRIu64 " %8.2f %8" PRIu64 " %8" PRIu64
		       " %8" PRIu64 " %8" PRIu64 "\n",
		       dy_window_name((dy_window_t)window),
		       dy_tally_total(tally),
		       dy_tally_burn_rate(tally, service->objective),
		       tally->counts[DY_OUTCOME_REFUSED],
		       tally->counts[DY_OUTCOME_LATE],
		       tally->counts[DY_OUTCOME_MAY_HAVE_RUN],
		       tally->counts[DY_OUTCOME_BROKEN_FLOW]);
	}
}

static void print_report(const report_t *report)
{
	guint i;

	for (i = 0; i < report->services->len; i++)
		(pairs ? print_pairs
		       : print_table)(g_ptr_array_index(report->services, i));
	if (report->unanswered)
		fprintf(stderr,
			"damaskyard report: %u of %u processes did not answer; "
			"their counters are missing\n",
			report->unanswered, report->processes);
}

int dy_command_report(int argc, char **argv)
{
	report_t *report = report_create();
	GArray *addresses = g_array_new(FALSE, FALSE, sizeof(dy_address_t));
	int code = DY_EXIT_USAGE;
	operator_t *op;

	op = operator_load(
		argc, argv,
		"Print how fast each service burns its error budget, "
		"and by which outcomes.",
		settings, NULL);
	if (op) {
		if (operator_fetch_group_lines(op, add_member_address,
					       addresses)) {
			code = operator_fail_unanswered(op);
		} else {
			collect_counters(op, addresses, report);
			print_report(report);
			code = report->unanswered ? DY_EXIT_FAILED : DY_EXIT_OK;
		}
		operator_destroy(op);
		dy_settings_clear(settings);
	}
	g_array_free(addresses, TRUE);
	report_destroy(report);
	return code;
}
