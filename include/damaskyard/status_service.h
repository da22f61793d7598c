#ifndef DAMASKYARD_STATUS_SERVICE_H
#define DAMASKYARD_STATUS_SERVICE_H

/*
 * The RPC program DY_STATUS_PROGRAM of every process. It returns the counters
 * as lines "counter name=NAME value=N", for `damaskyard status --process`.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/metrics.h"
#include "damaskyard/seal.h"

/* Maximum size in bytes of a page of lines; control's INSPECT uses it too. */
#define DY_STATUS_PAGE_BYTES 4096

/* Maximum size in bytes of an answer: a page and its headers. */
#define DY_STATUS_ANSWER_BYTES (DY_STATUS_PAGE_BYTES + 256)

/*
 * A page of text lines that starts at line number `from`. Earlier lines are
 * skipped; the page ends before the first line that does not fit.
 */
typedef struct dy_status_page {
	uint32_t from;
	uint32_t line; /* number of the next line */
	int more;      /* a line did not fit */
	size_t used;   /* bytes */
	char lines[DY_STATUS_PAGE_BYTES];
} dy_status_page_t;

void dy_status_page_init(dy_status_page_t *page, uint32_t from);

/*
 * Count the next line. Returns whether it belongs on this page; the caller
 * need not format it otherwise.
 */
int dy_status_page_begin_line(dy_status_page_t *page);

/*
 * Append a line for which dy_status_page_begin_line() returned 1. format is
 * that of printf; the newline is added. Sets more if the line does not fit.
 */
void dy_status_page_add(dy_status_page_t *page, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Answer message, which must be a call of DY_STATUS_PROGRAM. Writes the
 * sealed answer into out, which holds cap bytes. Returns its length, or 0 if
 * the call is malformed or unknown and gets no answer.
 */
size_t dy_status_service_answer(dy_seal_t *seal, const dy_metrics_t *metrics,
				const dy_sealed_t *message, uint8_t *out,
				size_t cap);

#endif
