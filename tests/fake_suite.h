#ifndef DAMASKYARD_FAKE_SUITE_H
#define DAMASKYARD_FAKE_SUITE_H

/* The common main() of the test programs. */

#include <check.h>

/*
 * Run a suite of test functions and print the summary line of check. tests ends
 * with NULL. Returns the exit code: EXIT_SUCCESS if all tests passed.
 */
int fake_suite_run(const char *name, const TTest *const *tests);

/* The same with a limit in seconds for each test; 0: that of the library. */
int fake_suite_run_for(const char *name, const TTest *const *tests,
		       unsigned timeout_s);

#endif
