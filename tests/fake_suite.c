#include "fake_suite.h"

#include <stdlib.h>

int fake_suite_run_for(const char *name, const TTest *const *tests,
		       unsigned timeout_s)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	int failures;

	for (; *tests; tests++)
		tcase_add_test(tcase, *tests);
	if (timeout_s)
		tcase_set_timeout(tcase, timeout_s);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}

int fake_suite_run(const char *name, const TTest *const *tests)
{
	return fake_suite_run_for(name, tests, 0);
}
