/*
 * Compares the registry with its oracle (tests/fake_registry_run.h). Each step
 * uses four bytes; snapshots are written and loaded at random points.
 */

#include <stddef.h>
#include <stdint.h>

#include "fake_registry_run.h"

/* libFuzzer requires the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	fake_run_t *run = fake_run_create();

	for (; size >= 4; data += 4, size -= 4)
		fake_run_step(run, data);
	fake_run_destroy(run);
	return 0;
}
