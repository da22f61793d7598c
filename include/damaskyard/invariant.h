#ifndef DAMASKYARD_INVARIANT_H
#define DAMASKYARD_INVARIANT_H

/*
 * Invariants that hold in every build. One that fails means that state may
 * be wrong already: the process writes one event and aborts, rather than
 * spread it. The group carries on with its other members.
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
