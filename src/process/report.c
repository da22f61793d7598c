#include "report.h"

#include <string.h>

#include "damaskyard/document.h"
#include "operator_lines.h"

#define PAGE_BURN_RATE 14.4
#define TICKET_BURN_RATE 6.0

static void destroy_service(gpointer data)
{
	report_service_t *service = data;

	g_free(service->name);
	g_free(service);
}

report_t *report_create(void)
{
	report_t *report = g_new0(report_t, 1);

	report->services = g_ptr_array_new_with_free_func(destroy_service);
	return report;
}

void report_destroy(report_t *report)
{
	if (!report)
		return;
	g_ptr_array_free(report->services, TRUE);
	g_free(report);
}

static report_service_t *find_service(report_t *report, const char *name)
{
	report_service_t *service;
	guint i;

	for (i = 0; i < report->services->len; i++) {
		service = g_ptr_array_index(report->services, i);
		if (!strcmp(service->name, name))
			return service;
	}
	service = g_new0(report_service_t, 1);
	service->name = g_strdup(name);
	service->objective = DY_SERVICE_DEFAULT_OBJECTIVE_PERCENT;
	g_ptr_array_add(report->services, service);
	return service;
}

/* counter is a name without its service, as "burn_5m_late". */
static void add_counter(report_service_t *service, const char *counter,
			guint64 value)
{
	char expected[64];
	int window;
	int outcome;

	if (!strcmp(counter, "objective_ppm")) {
		service->objective = (double)value / 10000;
		return;
	}
	for (window = 0; window < DY_WINDOWS; window++) {
		for (outcome = 0; outcome < DY_OUTCOMES; outcome++) {
			g_snprintf(expected, sizeof(expected), "burn_%s_%s",
				   dy_window_name((dy_window_t)window),
				   dy_outcome_name((dy_outcome_t)outcome));
			if (!strcmp(counter, expected))
				service->tallies[window].counts[outcome] +=
					value;
		}
	}
}

void report_add_line(report_t *report, const char *line)
{
	char *name = operator_line_value(line, "name");
	char *value = operator_line_value(line, "value");
	char *colon = name ? strchr(name, ':') : NULL;

	if (colon && value) {
		*colon = '\0';
		add_counter(find_service(report, colon + 1), name,
			    g_ascii_strtoull(value, NULL, 10));
	}
	g_free(name);
	g_free(value);
}

static gint compare_services(gconstpointer a, gconstpointer b)
{
	const report_service_t *const *first = a;
	const report_service_t *const *second = b;

	return strcmp((*first)->name, (*second)->name);
}

void report_sort(report_t *report)
{
	g_ptr_array_sort(report->services, compare_services);
}

static double burn_rate(const report_service_t *service, dy_window_t window)
{
	return dy_tally_burn_rate(&service->tallies[window],
				  service->objective);
}

const char *report_alert(const report_service_t *service)
{
	if (burn_rate(service, DY_WINDOW_5M) > PAGE_BURN_RATE &&
	    burn_rate(service, DY_WINDOW_1H) > PAGE_BURN_RATE)
		return "page";
	if (burn_rate(service, DY_WINDOW_1H) > TICKET_BURN_RATE &&
	    burn_rate(service, DY_WINDOW_6H) > TICKET_BURN_RATE)
		return "ticket";
	return "none";
}

double report_budget_left(const report_service_t *service)
{
	return 100 * (1 - burn_rate(service, DY_WINDOW_3D));
}
