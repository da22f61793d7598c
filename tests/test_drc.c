#include "damaskyard/drc.h"
#include "damaskyard/loop.h"
#include "fake_suite.h"

#include <stdlib.h>

#include <rpc/rpc.h>

static const uint8_t word[4] = { 1, 2, 3, 4 };

static void run_call(dy_drc_t *drc, uint32_t xid, uint64_t now_ms)
{
	uint32_t retry_ms;

	ck_assert_int_eq(dy_drc_begin(drc, xid, now_ms, &retry_ms), DY_DRC_OK);
	dy_drc_start(drc, xid);
	dy_drc_answer(drc, xid, SUCCESS, word, sizeof(word), now_ms);
}

START_TEST(keeps_latest_answers_and_older_verdicts)
{
	dy_drc_t *drc = dy_drc_create();
	dy_drc_found_t found;
	uint32_t xid;

	for (xid = 1; xid <= DY_DRC_ANSWERS + 1; xid++)
		run_call(drc, xid, 1000);
	ck_assert_int_eq(dy_drc_find(drc, 2, &found), DY_DRC_ANSWERED);
	ck_assert_uint_eq(found.results_len, sizeof(word));
	ck_assert_mem_eq(found.results, word, sizeof(word));
	ck_assert_int_eq(dy_drc_find(drc, 1, &found), DY_DRC_ENDED);
	ck_assert_int_eq(found.refusal.verdict, DY_MAY_HAVE_RUN);
	ck_assert_int_eq(found.refusal.reason, DY_REASON_DUPLICATE);
	dy_drc_destroy(drc);
}
END_TEST

/*
 * A reading is refused because the target is full, and the caller sends it as
 * a new call. Then a duplicate of the first datagram, delayed by the network,
 * arrives. It must not run: a refusal is kept like a run.
 */
START_TEST(refuses_duplicate_of_refused_call)
{
	dy_refusal_t refusal = { DY_NOT_RUN, DY_REASON_OVERLOAD, 500 };
	dy_drc_t *drc = dy_drc_create();
	dy_drc_found_t found;
	uint32_t retry_ms;

	dy_drc_begin(drc, 7, 1000, &retry_ms);
	ck_assert_int_eq(dy_drc_find(drc, 7, &found), DY_DRC_IN_PROGRESS);
	dy_drc_refuse(drc, 7, &refusal, 1000);
	ck_assert_int_eq(dy_drc_find(drc, 7, &found), DY_DRC_ENDED);
	ck_assert_int_eq(found.refusal.verdict, DY_NOT_RUN);
	dy_drc_expire(drc, 1000 + DY_RETRANSMIT_WINDOW_MS - 1);
	ck_assert_int_eq(dy_drc_find(drc, 7, &found), DY_DRC_ENDED);
	dy_drc_expire(drc, 1000 + DY_RETRANSMIT_WINDOW_MS);
	ck_assert_int_eq(dy_drc_find(drc, 7, &found), DY_DRC_NEW);
	dy_drc_destroy(drc);
}
END_TEST

/* A caller makes 100,000 calls with consecutive xids. */
START_TEST(consecutive_calls_share_one_entry)
{
	dy_drc_t *drc = dy_drc_create();
	dy_drc_found_t found;
	uint32_t i;

	for (i = 0; i < 100000; i++)
		run_call(drc, UINT32_MAX - 50000 + i, 1000 + i);
	ck_assert_uint_eq(dy_drc_count(drc), 2); /* the xid wraps once */
	ck_assert_int_eq(dy_drc_find(drc, UINT32_MAX - 50000, &found),
			 DY_DRC_ENDED);
	ck_assert_int_eq(dy_drc_find(drc, UINT32_MAX - 50001, &found),
			 DY_DRC_NEW);
	dy_drc_destroy(drc);
}
END_TEST

/*
 * A caller uses random xids and calls without a pause. An unbounded cache would
 * exhaust the agent's memory; if entries were dropped early, a late duplicate
 * would run. New calls must be refused and recorded, so that their duplicates
 * do not run either; above the limit they are dropped without an answer.
 */
START_TEST(full_cache_refuses_and_records_calls)
{
	dy_refusal_t refusal = { DY_NOT_RUN, DY_REASON_SESSION_LIMIT, 1 };
	dy_drc_t *drc = dy_drc_create();
	dy_drc_found_t found;
	uint32_t retry_ms = 0;
	uint32_t xid;

	for (xid = 0; xid < 2 * DY_DRC_ENTRIES; xid += 2)
		run_call(drc, xid, 1000);
	for (; xid < 2 * DY_DRC_ENTRIES_MAX; xid += 2) {
		ck_assert_int_eq(dy_drc_begin(drc, xid, 2000, &retry_ms),
				 DY_DRC_FULL);
		ck_assert_uint_eq(retry_ms, DY_RETRANSMIT_WINDOW_MS - 1000);
		dy_drc_refuse(drc, xid, &refusal, 2000);
		ck_assert_int_eq(dy_drc_find(drc, xid, &found), DY_DRC_ENDED);
	}
	ck_assert_int_eq(dy_drc_begin(drc, xid, 2000, &retry_ms),
			 DY_DRC_OVERFLOW);
	ck_assert_int_eq(dy_drc_find(drc, xid, &found), DY_DRC_NEW);
	ck_assert_int_eq(dy_drc_begin(drc, xid, 1000 + DY_RETRANSMIT_WINDOW_MS,
				      &retry_ms),
			 DY_DRC_FULL);
	dy_drc_destroy(drc);
}
END_TEST

/* A second start of the same xid must abort the process. */
START_TEST(second_start_aborts)
{
	dy_drc_t *drc = dy_drc_create();
	uint32_t retry_ms;

	dy_drc_begin(drc, 1, 0, &retry_ms);
	dy_drc_start(drc, 1);
	dy_drc_start(drc, 1);
}
END_TEST

START_TEST(loads_written_cache_and_rejects_malformed)
{
	dy_drc_t *drc = dy_drc_create();
	dy_moved_body_t body = { 0 };
	dy_drc_found_t found;
	dy_drc_t *moved;

	run_call(drc, 5, 1000);
	run_call(drc, 9, 4000);
	dy_drc_write(drc, &body, 5000);
	moved = dy_drc_load(&body, 900000);
	ck_assert_int_eq(dy_drc_find(moved, 5, &found), DY_DRC_ANSWERED);
	ck_assert_mem_eq(found.results, word, sizeof(word));
	dy_drc_expire(moved, 900000 + DY_RETRANSMIT_WINDOW_MS - 4000);
	ck_assert_int_eq(dy_drc_find(moved, 5, &found), DY_DRC_NEW);
	ck_assert_int_eq(dy_drc_find(moved, 9, &found), DY_DRC_ANSWERED);
	dy_drc_destroy(moved);
	body.calls.calls_val[1].first = 5;
	ck_assert_ptr_null(dy_drc_load(&body, 1));
	body.calls.calls_val[1].first = 9;
	body.answers.answers_val[0].xid = 6;
	ck_assert_ptr_null(dy_drc_load(&body, 1));
	xdr_free((xdrproc_t)xdr_dy_moved_body_t, (char *)&body);
	dy_drc_destroy(drc);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("drc");
	TCase *tcase = tcase_create("drc");
	SRunner *runner = srunner_create(suite);
	int failures;

	suite_add_tcase(suite, tcase);
	tcase_add_test(tcase, keeps_latest_answers_and_older_verdicts);
	tcase_add_test(tcase, refuses_duplicate_of_refused_call);
	tcase_add_test(tcase, consecutive_calls_share_one_entry);
	tcase_add_test(tcase, full_cache_refuses_and_records_calls);
	tcase_add_test_raise_signal(tcase, second_start_aborts, 6);
	tcase_add_test(tcase, loads_written_cache_and_rejects_malformed);
	srunner_run_all(runner, CK_NORMAL);
	failures = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}
