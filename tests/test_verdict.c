#include "damaskyard/verdict.h"
#include "fake_suite.h"

/*
 * A caller that receives "not run" sends its reading once more. If a byte of
 * the first call had reached the target, the reading would be stored twice.
 * Once a call was sent, only the target's own report may give that verdict.
 */
START_TEST(sent_call_is_not_run_only_if_target_reports_it)
{
	dy_decision_t decision;
	int event;

	for (event = 0; event < DY_EVENTS; event++) {
		decision = dy_verdict_decide(DY_STAGE_SENT, event);
		if (event != DY_EVENT_SHED_NOT_RUN &&
		    event != DY_EVENT_CANCEL_GRANTED)
			ck_assert_int_ne(decision.verdict, DY_NOT_RUN);
	}
}
END_TEST

/* A call that was never sent is refused as not run, whatever the event. */
START_TEST(unsent_call_is_not_run)
{
	dy_decision_t decision;
	int stage;
	int event;

	for (stage = 0; stage < DY_STAGE_SENT; stage++) {
		for (event = 0; event < DY_EVENTS; event++) {
			decision = dy_verdict_decide(stage, event);
			ck_assert_int_eq(decision.verdict, DY_NOT_RUN);
			ck_assert_int_eq(decision.forward_answer, 0);
			ck_assert_int_eq(decision.final,
					 event >= DY_EVENT_TARGET_LOST);
		}
	}
}
END_TEST

START_TEST(event_after_end_is_not_final)
{
	int event;

	for (event = 0; event < DY_EVENTS; event++)
		ck_assert_int_eq(dy_verdict_decide(DY_STAGE_DONE, event).final,
				 0);
}
END_TEST

START_TEST(decides_each_event_of_sent_call)
{
	static const struct {
		dy_call_event_t event;
		int final;
		int pass;
		dy_verdict_t verdict;
		dy_reason_t reason;
	} rows[] = {
		{ DY_EVENT_ANSWERED, 1, 1, DY_RAN, DY_REASON_NONE },
		{ DY_EVENT_ANSWERED_ERROR, 1, 1, DY_RAN, DY_REASON_NONE },
		{ DY_EVENT_ANSWERED_FAULT, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_BAD_ANSWER },
		{ DY_EVENT_DENIED, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_BAD_ANSWER },
		{ DY_EVENT_SHED_NOT_RUN, 1, 0, DY_NOT_RUN, DY_REASON_SHED },
		{ DY_EVENT_SHED_MAY_HAVE_RUN, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_SHED },
		{ DY_EVENT_BAD_ANSWER, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_BAD_ANSWER },
		{ DY_EVENT_ANSWER_TOO_LARGE, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_TOO_LARGE },
		{ DY_EVENT_TARGET_LOST, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_TARGET_LOST },
		{ DY_EVENT_DEADLINE, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_DEADLINE },
		{ DY_EVENT_OVERLOAD, 0, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_OVERLOAD },
		{ DY_EVENT_CANCEL, 0, 0, DY_MAY_HAVE_RUN, DY_REASON_CANCELLED },
		{ DY_EVENT_CANCEL_GRANTED, 1, 0, DY_NOT_RUN,
		  DY_REASON_CANCELLED },
		{ DY_EVENT_STOPPING, 1, 0, DY_MAY_HAVE_RUN,
		  DY_REASON_DRAINING },
	};
	dy_decision_t decision;
	unsigned i;

	ck_assert_uint_eq(sizeof(rows) / sizeof(rows[0]), DY_EVENTS);
	for (i = 0; i < DY_EVENTS; i++) {
		decision = dy_verdict_decide(DY_STAGE_SENT, rows[i].event);
		ck_assert_int_eq(rows[i].event, i);
		ck_assert_int_eq(decision.final, rows[i].final);
		ck_assert_int_eq(decision.forward_answer, rows[i].pass);
		ck_assert_int_eq(decision.verdict, rows[i].verdict);
		ck_assert_int_eq(decision.reason, rows[i].reason);
	}
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		sent_call_is_not_run_only_if_target_reports_it,
		unsent_call_is_not_run,
		event_after_end_is_not_final,
		decides_each_event_of_sent_call,
		NULL,
	};

	return fake_suite_run("verdict", tests);
}
