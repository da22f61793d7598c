#include "fake_suite.h"

#include <stdlib.h>

int fake_suite_run(const char *name, const TTest *const *tests)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	int failures;

	for (; *tests; tests++)
		tcase_add_test(tcase, *tests);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
