#ifndef DAMASKYARD_METRICS_PAGE_H
#define DAMASKYARD_METRICS_PAGE_H

/*
 * A process's counters over HTTP, for monitoring: GET /metrics returns one line
 * "NAME VALUE" per counter.
 */

#include "damaskyard/http.h"

typedef struct metrics_page metrics_page_t;

/* Returns NULL with error set if the address cannot be bound. */
metrics_page_t *metrics_page_create(dy_loop_t *loop, dy_metrics_t *metrics,
				    const dy_address_t *listen, GError **error);
void metrics_page_destroy(metrics_page_t *page);

#endif
