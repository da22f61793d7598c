#ifndef DAMASKYARD_INVARIANT_H
#define DAMASKYARD_INVARIANT_H

/*
 * Assertions that are checked in every build. After a failed one the state of
 * the process may be wrong, so it logs one event and aborts before it sends
 * wrong state to others. The group goes on with its other members.
 */

#include <stdlib.h>

#include "damaskyard/log.h"

#define dy_assert(condition)                                                   \
	do {                                                                   \
		if (!(condition)) {                                            \
			dy_log_event(DY_LOG_ERROR, "invariant_failed",         \
				     "file=%s line=%d condition=%s", __FILE__, \
				     __LINE__, dy_log_quote(#condition));      \
			abort();                                               \
		}                                                              \
	} while (0)

#endif
