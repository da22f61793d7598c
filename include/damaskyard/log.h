#ifndef DAMASKYARD_LOG_H
#define DAMASKYARD_LOG_H

/*
 * The event log: one line of key=value pairs for each event.
 *
 *	2026-12-02T23:40:01.123Z level=info event=member_joined name=a1 ...
 *
 * Event names and keys are stable; scripts and docs/OPERATIONS.md rely on
 * them. dy_log_quote() quotes and escapes a value that holds a space, a
 * quote, an equals sign or a control character, so that a hostile value
 * cannot forge a second event.
 */

#include <stdint.h>

typedef enum dy_log_level {
	DY_LOG_DEBUG,
	DY_LOG_INFO,
	DY_LOG_WARN,
	DY_LOG_ERROR
} dy_log_level_t;

/*
 * Set the lowest level that is written and the role of the process that every
 * line carries. role is kept by reference and may be NULL. Lines go to
 * stderr unless dy_log_set_descriptor() sets another descriptor.
 */
void dy_log_configure(dy_log_level_t min, const char *role);

/*
 * Write to a file descriptor, which stays the caller's. A line whose write
 * would block is dropped; an event=log_dropped line with the number of
 * dropped lines precedes the next line that is written.
 */
void dy_log_set_descriptor(int descriptor);

/*
 * Parse "debug", "info", "warn" or "error". Returns 0, or -1 for any other
 * name.
 */
int dy_log_parse_level(const char *name, dy_log_level_t *level);

/*
 * Write one event. pairs is a printf format such as "key=%s key=%u", or ""
 * for an event without further keys. String arguments must be plain words;
 * use dy_log_quote() for any other. A line is cut at 1024 bytes.
 */
void dy_log_event(dy_log_level_t level, const char *event, const char *pairs,
		  ...) __attribute__((format(printf, 3, 4)));

/*
 * Make a value safe for a log line. Returns one of eight static buffers in
 * turn, so one call of dy_log_event() can use at most eight. The result is
 * cut to fit 120 bytes with its NUL. NULL counts as "".
 */
const char *dy_log_quote(const char *value);

/*
 * A rate limit for one event: at most burst lines in each period of period_ms
 * milliseconds. If lines were suppressed in a period, an event=log_suppressed
 * line with their number precedes the first line of the next one.
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
 * Returns whether a line of event may be written at now_ms (monotonic), and
 * counts it as written or suppressed.
 */
int dy_log_allow(dy_log_limit_t *limit, const char *event, uint64_t now_ms);

#endif
