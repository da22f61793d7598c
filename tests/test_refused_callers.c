#include "damaskyard/refused_callers.h"

#include "fake_suite.h"

/* Guards against a caller that is taken for one that comes back much later. */
START_TEST(forgets_after_a_time)
{
	dy_refused_callers_t *callers = dy_refused_callers_create();

	ck_assert(!dy_refused_callers_has(callers, 1, 100));
	dy_refused_callers_add(callers, 1, 100);
	dy_refused_callers_add(callers, 2, 200);
	ck_assert(dy_refused_callers_has(callers, 1,
					 99 + DY_REFUSED_CALLER_TTL_MS));
	ck_assert(!dy_refused_callers_has(callers, 1,
					  100 + DY_REFUSED_CALLER_TTL_MS));
	ck_assert(dy_refused_callers_has(callers, 2,
					 100 + DY_REFUSED_CALLER_TTL_MS));
	dy_refused_callers_destroy(callers);
}
END_TEST

/* Guards against a caller that is forgotten while it is refused again. */
START_TEST(counts_from_the_last_refusal)
{
	dy_refused_callers_t *callers = dy_refused_callers_create();

	dy_refused_callers_add(callers, 1, 100);
	dy_refused_callers_add(callers, 1, 1000);
	ck_assert(dy_refused_callers_has(callers, 1,
					 999 + DY_REFUSED_CALLER_TTL_MS));
	dy_refused_callers_destroy(callers);
}
END_TEST

/* Guards against memory that grows with the callers. */
START_TEST(forgets_the_first_when_full)
{
	dy_refused_callers_t *callers = dy_refused_callers_create();
	uint32_t ip;

	for (ip = 1; ip <= DY_REFUSED_CALLERS_MAX + 1; ip++)
		dy_refused_callers_add(callers, ip, 100);
	ck_assert(!dy_refused_callers_has(callers, 1, 100));
	ck_assert(dy_refused_callers_has(callers, 2, 100));
	dy_refused_callers_destroy(callers);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		forgets_after_a_time,
		counts_from_the_last_refusal,
		forgets_the_first_when_full,
		NULL,
	};

	return fake_suite_run("refused_callers", tests);
}
