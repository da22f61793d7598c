#ifndef DAMASKYARD_LOG_H
#define DAMASKYARD_LOG_H

/*
 * One line of key=value pairs for each event.
 *
 *	2026-12-02T23:40:01.123Z level=info event=member_joined name=a1 ...
 *
 * Event names and keys are stable: scripts and docs/OPERATIONS.md rely on
 * them. A value that holds a space, a quote, an equals sign or a control
 * character is quoted and escaped, so that a hostile value cannot forge a
 * second event.
 */

#include <stdint.h>

typedef enum dy_log_level {
	DY_LOG_DEBUG,
	DY_LOG_INFO,
	DY_LOG_WARN,
	DY_LOG_ERROR
} dy_log_level_t;

/*
 * Set the least level that is written and the process name that every line
 * carries. role is kept by reference and may be NULL. Lines go to
 * stderr, or where dy_log_set_descriptor() says.
 */
void dy_log_configure(dy_log_level_t least, const char *role);

/*
 * Write to descriptor from now on. A line that would block is dropped and
 * counted; the next that is written is preceded by event=log_dropped.
 */
void dy_log_set_descriptor(int descriptor);

/*
 * Parse "debug", "info", "warn" or "error". Returns 0, or -1 if name is none
 * of them.
 */
int dy_log_parse_level(const char *name, dy_log_level_t *level);

/*
 * Write one event. pairs is a printf format of "key=%s key=%u" pairs whose
 * string arguments are plain words; use dy_log_quote() for any other. pairs
 * may be "" for an event with no further keys.
 */
void dy_log_event(dy_log_level_t level, const char *event, const char *pairs,
		  ...) __attribute__((format(printf, 3, 4)));

/*
 * Make a value safe for a log line. Returns one of eight static buffers in
 * turn, so at most eight may stand in one call; a value of more than 120
 * bytes is cut.
 */
const char *dy_log_quote(const char *value);

/*
 * A limit on lines of one event: at most `burst` lines in each period of
 * `period_ms` milliseconds. The next line let through after some were held
 * back is preceded by one `event=log_suppressed` line with their number.
 */
typedef struct dy_log_limit {
	uint32_t burst;
	uint32_t period_ms;
	uint64_t period_start_ms;
	uint32_t written;
	uint32_t suppressed;
} dy_log_limit_t;

#define DY_LOG_LIMIT_INIT(burst, period_ms)   \
	{                                     \
		(burst), (period_ms), 0, 0, 0 \
	}

/*
 * Whether a line may be written at now_ms (milliseconds, monotonic). Counts
 * the line when it may.
 */
int dy_log_allow(dy_log_limit_t *limit, const char *event, uint64_t now_ms);

#endif
