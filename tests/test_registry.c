#include "damaskyard/registry.h"

#include <stdlib.h>
#include <string.h>

#include "damaskyard/log.h"
#include "fake_registry.h"
#include "fake_suite.h"

START_TEST(random_run_agrees_with_the_oracle)
{
	GRand *rand = g_rand_new_with_seed((guint32)_i + 1);
	fake_run_t *run = fake_run_create();
	uint8_t choice[4];
	int step;
	int i;

	for (step = 0; step < 4000; step++) {
		for (i = 0; i < 4; i++)
			choice[i] = (uint8_t)g_rand_int(rand);
		fake_run_step(run, choice);
	}
	ck_assert_uint_gt(fake_run_effects(run), 500);
	fake_run_destroy(run);
	g_rand_free(rand);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("registry");
	TCase *tcase = tcase_create("registry");
	SRunner *runner;
	int failures;

	tcase_add_loop_test(tcase, random_run_agrees_with_the_oracle, 0, 20);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
