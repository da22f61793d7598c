#include "report.h"

#include <string.h>

#include "fake_suite.h"

START_TEST(sums_counters_of_processes)
{
	report_t *report = report_create();
	report_service_t *service;

	report_add_line(report, "counter name=calls_received value=9");
	report_add_line(report, "counter name=objective_ppm:readings "
				"value=999000");
	report_add_line(report, "counter name=burn_5m_good:readings value=90");
	report_add_line(report, "counter name=burn_5m_good:readings value=8");
	report_add_line(report, "counter name=burn_5m_late:readings value=2");
	report_add_line(report, "counter name=burn_5m_good:maps value=1");
	report_sort(report);
	ck_assert_uint_eq(report->services->len, 2);
	service = g_ptr_array_index(report->services, 1);
	ck_assert_str_eq(service->name, "readings");
	ck_assert(service->objective == 99.9);
	ck_assert_uint_eq(
		service->tallies[DY_WINDOW_5M].counts[DY_OUTCOME_GOOD], 98);
	ck_assert_uint_eq(dy_tally_total(&service->tallies[DY_WINDOW_5M]), 100);
	report_destroy(report);
}
END_TEST

/*
 * Guards against a page for a burst of refusals that has ended: the long
 * window still shows it, the short one does not.
 */
START_TEST(no_alert_after_burst_has_ended)
{
	report_service_t service = { .objective = 99.9 };

	service.tallies[DY_WINDOW_1H].counts[DY_OUTCOME_GOOD] = 50;
	service.tallies[DY_WINDOW_1H].counts[DY_OUTCOME_REFUSED] = 50;
	service.tallies[DY_WINDOW_5M].counts[DY_OUTCOME_GOOD] = 10;
	ck_assert_str_eq(report_alert(&service), "none");
	service.tallies[DY_WINDOW_5M].counts[DY_OUTCOME_REFUSED] = 10;
	ck_assert_str_eq(report_alert(&service), "page");
	service.tallies[DY_WINDOW_5M].counts[DY_OUTCOME_REFUSED] = 0;
	service.tallies[DY_WINDOW_6H] = service.tallies[DY_WINDOW_1H];
	ck_assert_str_eq(report_alert(&service), "ticket");
	ck_assert(report_budget_left(&service) == 100);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sums_counters_of_processes,
		no_alert_after_burst_has_ended,
		NULL,
	};

	return fake_suite_run("report", tests);
}
