#ifndef DAMASKYARD_STATUS_SERVICE_H
#define DAMASKYARD_STATUS_SERVICE_H

/*
 * DY_STATUS_PROGRAM, which every process serves: its counters, as one
 * "counter name=NAME value=N" line each, for `damaskyard status --process`.
 */

#include <stddef.h>
#include <stdint.h>

#include "damaskyard/metrics.h"
#include "damaskyard/seal.h"

/* Bytes of a page of lines at most; INSPECT of control uses the same. */
#define DY_STATUS_PAGE_BYTES 4096

/* Bytes that an answer needs at most: a page and the heads around it. */
#define DY_STATUS_ANSWER_BYTES (DY_STATUS_PAGE_BYTES + 256)

/*
 * A page of lines being written, from line `from` on. Lines before it are
 * passed over; the page ends at the first line that does not fit.
 */
typedef struct dy_status_page {
	uint32_t from;
	uint32_t line;
	int more; /* a line did not fit */
	size_t used;
	char lines[DY_STATUS_PAGE_BYTES];
} dy_status_page_t;

void dy_status_page_init(dy_status_page_t *page, uint32_t from);

/*
 * Whether the next line is wanted; counts it if not. Saves formatting lines
 * that another page holds.
 */
int dy_status_page_begin_line(dy_status_page_t *page);

/* Add the line that dy_status_page_begin_line() asked for, without a newline.
 */
void dy_status_page_add(dy_status_page_t *page, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Answer a call of DY_STATUS_PROGRAM, which message must be. Returns the
 * length of the sealed answer in out, or 0 if there is none to send.
 */
size_t dy_status_service_answer(dy_seal_t *seal, const dy_metrics_t *metrics,
				const dy_sealed_t *message, uint8_t *out,
				size_t cap);

#endif
