#ifndef DAMASKYARD_FAKE_SUITE_H
#define DAMASKYARD_FAKE_SUITE_H

/*
 * What every test program's main() does: run one suite of test functions,
 * print check's own closing line, and say by the exit code whether all
 * passed.
 */

#include <check.h>

/* tests ends with NULL. Returns the exit code. */
int fake_suite_run(const char *name, const TTest *const *tests);

#endif
