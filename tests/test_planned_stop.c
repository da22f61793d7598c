#include "damaskyard/planned_stop.h"

#include "fake_suite.h"

#define DELAY_MS 800
#define LIMIT_MS 5300

static int is_due(const dy_planned_stop_t *stop, uint64_t now_ms)
{
	return dy_planned_stop_is_due(stop, DELAY_MS, LIMIT_MS, now_ms);
}

/* Guards against an agent that ends while control takes it for serving. */
START_TEST(waits_until_control_has_learned_of_stop)
{
	dy_planned_stop_t stop = { 0 };

	ck_assert(dy_planned_stop_begin(&stop, 1000));
	ck_assert(!is_due(&stop, 1000 + DELAY_MS));
	dy_planned_stop_note_told(&stop, 3000);
	dy_planned_stop_note_told(&stop, 3500);
	ck_assert(!is_due(&stop, 3000 + DELAY_MS - 1));
	ck_assert(is_due(&stop, 3000 + DELAY_MS));
}
END_TEST

/* Guards against a stop that the platform ends by force. */
START_TEST(ends_within_its_grace_time_without_control)
{
	dy_planned_stop_t stop = { 0 };

	dy_planned_stop_begin(&stop, 1000);
	ck_assert(!dy_planned_stop_begin(&stop, 4000));
	ck_assert(!is_due(&stop, 1000 + LIMIT_MS - 1));
	ck_assert(is_due(&stop, 1000 + LIMIT_MS));
	stop.told_ms = 1000 + LIMIT_MS - 100;
	ck_assert(is_due(&stop, 1000 + LIMIT_MS));
}
END_TEST

START_TEST(process_that_was_not_told_to_stop_goes_on)
{
	dy_planned_stop_t stop = { 0 };

	ck_assert(!is_due(&stop, 1000000));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		waits_until_control_has_learned_of_stop,
		ends_within_its_grace_time_without_control,
		process_that_was_not_told_to_stop_goes_on,
		NULL,
	};

	return fake_suite_run("planned_stop", tests);
}
