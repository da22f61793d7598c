#include "damaskyard/log.h"
#include "damaskyard/metrics.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fake_suite.h"

START_TEST(quote_keeps_plain_word)
{
	ck_assert_str_eq(dy_log_quote("127.0.0.1:80"), "127.0.0.1:80");
}
END_TEST

/*
 * Guards against a forged event: a target announces a name that holds a line
 * break and the text of an event, and an operator sees an event that never
 * happened. The value must be written as one quoted word.
 */
START_TEST(quote_escapes_forged_event)
{
	const char *quoted = dy_log_quote("x\nlevel=error");

	ck_assert_str_eq(quoted, "\"x\\x0alevel=error\"");
	ck_assert_ptr_null(strchr(quoted, '\n'));
}
END_TEST

START_TEST(limit_suppresses_until_next_period)
{
	dy_log_limit_t limit = DY_LOG_LIMIT_INIT(2, 1000);

	ck_assert(dy_log_allow(&limit, "e", 5000));
	ck_assert(dy_log_allow(&limit, "e", 5001));
	ck_assert(!dy_log_allow(&limit, "e", 5002));
	ck_assert_uint_eq(limit.suppressed, 1);
	ck_assert(dy_log_allow(&limit, "e", 6001));
}
END_TEST

START_TEST(registers_counter_once)
{
	dy_metrics_t *metrics = dy_metrics_create();
	uint64_t *counter = dy_metrics_counter(metrics, "calls_forwarded");

	*counter += 3;
	ck_assert_ptr_eq(dy_metrics_counter(metrics, "calls_forwarded"),
			 counter);
	ck_assert_uint_eq(dy_metrics_value(metrics, "calls_forwarded"), 3);
	dy_metrics_destroy(metrics);
}
END_TEST

/*
 * Guards against a reader of the log that stops reading. The process would
 * block in a write and serve no caller, or lose lines without a log event.
 */
START_TEST(drops_lines_when_reader_stops)
{
	static char text[1 << 17];
	int ends[2];
	ssize_t len;
	int i;

	ck_assert(!pipe(ends));
	dy_log_configure(DY_LOG_INFO, "test");
	dy_log_set_descriptor(ends[1]);
	for (i = 0; i < 5000; i++)
		dy_log_event(DY_LOG_INFO, "filler", "number=%d", i);
	len = read(ends[0], text, sizeof(text) - 1);
	ck_assert_int_gt(len, 10000);
	dy_log_event(DY_LOG_INFO, "after", "");
	len = read(ends[0], text, sizeof(text) - 1);
	ck_assert_int_gt(len, 0);
	text[len] = '\0';
	ck_assert_ptr_nonnull(strstr(text, "event=log_dropped lines="));
	ck_assert_ptr_nonnull(strstr(text, "event=after"));
	dy_log_set_descriptor(STDERR_FILENO);
	close(ends[0]);
	close(ends[1]);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		quote_keeps_plain_word,
		quote_escapes_forged_event,
		limit_suppresses_until_next_period,
		drops_lines_when_reader_stops,
		registers_counter_once,
		NULL,
	};

	return fake_suite_run("log", tests);
}
