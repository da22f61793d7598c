#include "damaskyard/log.h"

#include <ctype.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* Maximum size of a line: one write() keeps it whole in a shared file. */
#define LINE_BYTES 1024
#define QUOTE_BUFFERS 8
#define QUOTE_BYTES 120

static dy_log_level_t min_level = DY_LOG_INFO;
static const char *process_role;
static int descriptor = STDERR_FILENO;
static int may_block;
static uint64_t dropped_lines;

static const char *const level_names[] = { "debug", "info", "warn", "error" };

void dy_log_configure(dy_log_level_t min, const char *role)
{
	min_level = min;
	process_role = role;
}

void dy_log_set_descriptor(int to)
{
	struct stat status;

	descriptor = to;
	may_block = fstat(to, &status) || !S_ISREG(status.st_mode);
}

int dy_log_parse_level(const char *name, dy_log_level_t *level)
{
	int i;

	for (i = 0; i <= DY_LOG_ERROR; i++) {
		if (strcmp(name, level_names[i]))
			continue;
		*level = (dy_log_level_t)i;
		return 0;
	}
	return -1;
}

static size_t write_prefix(char *line, dy_log_level_t level, const char *event)
{
	struct timespec now;
	struct tm utc;
	size_t used;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &utc);
	used = strftime(line, LINE_BYTES, "%Y-%m-%dT%H:%M:%S", &utc);
	used += snprintf(line + used, LINE_BYTES - used, ".%03ldZ level=%s",
			 now.tv_nsec / 1000000, level_names[level]);
	if (process_role)
		used += snprintf(line + used, LINE_BYTES - used, " role=%s",
				 process_role);
	used += snprintf(line + used, LINE_BYTES - used, " event=%s", event);
	return used;
}

/*
 * Guards against a reader of the log that stops reading: a full pipe would
 * block the loop, and the process would serve no caller. A line that would
 * block is dropped and counted. A writable pipe accepts a whole line.
 */
static int is_writable(void)
{
	struct pollfd ready = { .fd = descriptor, .events = POLLOUT };

	return !may_block ||
	       (poll(&ready, 1, 0) == 1 && ready.revents & POLLOUT);
}

static void write_line(const char *line, size_t len)
{
	char notice[LINE_BYTES];
	size_t used;

	if (!is_writable()) {
		dropped_lines++;
		return;
	}
	if (dropped_lines) {
		used = write_prefix(notice, DY_LOG_WARN, "log_dropped");
		used += (size_t)snprintf(notice + used, sizeof(notice) - used,
					 " lines=%lu\n",
					 (unsigned long)dropped_lines);
		dropped_lines = 0;
		if (write(descriptor, notice, used) < 0 || !is_writable())
			return;
	}
	if (write(descriptor, line, len) < 0)
		dropped_lines++;
}

void dy_log_event(dy_log_level_t level, const char *event, const char *pairs,
		  ...)
{
	char line[LINE_BYTES];
	size_t used;
	va_list ap;
	int n;

	if (level < min_level)
		return;
	used = write_prefix(line, level, event);
	if (*pairs && used < LINE_BYTES - 2) {
		line[used++] = ' ';
		va_start(ap, pairs);
		n = vsnprintf(line + used, LINE_BYTES - used, pairs, ap);
		va_end(ap);
		if (n > 0)
			used += n;
	}
	if (used > LINE_BYTES - 1)
		used = LINE_BYTES - 1;
	line[used++] = '\n';
	write_line(line, used);
}

static int needs_quotes(const char *value)
{
	const char *p;

	if (!*value)
		return 1;
	for (p = value; *p; p++)
		if (!isgraph((unsigned char)*p) || strchr("\"=\\", *p))
			return 1;
	return 0;
}

static void quote_into(char *out, const char *value)
{
	size_t used = 0;
	unsigned char c;

	out[used++] = '"';
	for (; *value && used < QUOTE_BYTES - 6; value++) {
		c = (unsigned char)*value;
		if (c == '"' || c == '\\') {
			out[used++] = '\\';
			out[used++] = (char)c;
		} else if (c < ' ' || c >= 0x7f) {
			used += snprintf(out + used, 5, "\\x%02x", c);
		} else {
			out[used++] = (char)c;
		}
	}
	out[used++] = '"';
	out[used] = '\0';
}

const char *dy_log_quote(const char *value)
{
	static char buffers[QUOTE_BUFFERS][QUOTE_BYTES];
	static unsigned next;
	char *out;

	if (!value)
		value = "";
	out = buffers[next++ % QUOTE_BUFFERS];
	if (needs_quotes(value))
		quote_into(out, value);
	else
		snprintf(out, QUOTE_BYTES, "%s", value);
	return out;
}

int dy_log_allow(dy_log_limit_t *limit, const char *event, uint64_t now_ms)
{
	uint32_t suppressed;

	if (now_ms - limit->period_start_ms >= limit->period_ms) {
		suppressed = limit->suppressed;
		limit->period_start_ms = now_ms;
		limit->written = 0;
		limit->suppressed = 0;
		if (suppressed)
			dy_log_event(DY_LOG_WARN, "log_suppressed",
				     "of=%s lines=%u", event, suppressed);
	}
	if (limit->written < limit->burst) {
		limit->written++;
		return 1;
	}
	limit->suppressed++;
	return 0;
}
