#include "damaskyard/service_shortage.h"

#include "fake_suite.h"

static dy_service_shortage_t *shortage;
static dy_shortage_report_t report;

static void note(unsigned priority, dy_opening_outcome_t outcome,
		 uint64_t now_ms)
{
	dy_service_shortage_note(shortage, "readings", priority, outcome,
				 now_ms);
}

/* Guards against an operator who cannot see which requests were refused. */
START_TEST(reports_outcomes_by_priority)
{
	shortage = dy_service_shortage_create();
	note(2, DY_OPENING_WAITED, 100);
	note(2, DY_OPENING_WAITED, 110);
	note(1, DY_OPENING_WAITED, 120);
	note(2, DY_OPENING_WAITED_OUT, 350);
	note(1, DY_OPENING_GRANTED, 130);
	note(99, DY_OPENING_UNSERVABLE, 400);
	ck_assert(!dy_service_shortage_next(shortage, 1099, &report));
	ck_assert(dy_service_shortage_next(shortage, 1100, &report));
	ck_assert_str_eq(report.service, "readings");
	ck_assert_uint_eq(report.short_ms, 1000);
	ck_assert_uint_eq(report.counts[2][DY_OPENING_WAITED], 2);
	ck_assert_uint_eq(report.counts[1][DY_OPENING_GRANTED], 1);
	ck_assert_uint_eq(
		report.counts[DY_PRIORITY_LOWEST][DY_OPENING_UNSERVABLE], 1);
	ck_assert_uint_eq(dy_shortage_report_sum(&report, DY_OPENING_WAITED),
			  3);
	ck_assert(!dy_service_shortage_next(shortage, 1100, &report));
	dy_service_shortage_destroy(shortage);
}
END_TEST

/* Guards against a line a second for each service that was ever short. */
START_TEST(ends_with_a_last_report)
{
	shortage = dy_service_shortage_create();
	note(2, DY_OPENING_WAITED, 100);
	ck_assert(dy_service_shortage_next(shortage, 1100, &report));
	ck_assert(dy_service_shortage_next(shortage, 2100, &report));
	ck_assert_uint_eq(dy_shortage_report_sum(&report, DY_OPENING_WAITED),
			  0);
	ck_assert_uint_eq(report.short_ms, 2000);
	ck_assert_str_eq(report.service, "readings");
	ck_assert(!dy_service_shortage_next(shortage, 9000, &report));
	dy_service_shortage_destroy(shortage);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		reports_outcomes_by_priority,
		ends_with_a_last_report,
		NULL,
	};

	return fake_suite_run("service_shortage", tests);
}
