/*
 * All members at control at once, in simulated time. The costs are those of a
 * control on 0.075 of a core: 0.9 ms for an answered poll (1,100 a second).
 *
 * The aim: from the controls' start to nine tenths of the balancers served one
 * second at most, one leader, and no more questions than control can answer.
 */

#include "fake_site.h"

#include "fake_suite.h"
#include "damaskyard/log.h"

#define AIM_MS 1000
#define POLLS_A_SECOND 1100

static const fake_site_options_t site = {
	.members = 300,
	.controls = 5,
	.poll_us = 900,
	.page_us = 300,
	.datagram_us = 50,
	.image_bytes = 40,
};

static fake_site_t *create(unsigned members)
{
	fake_site_options_t options = site;

	dy_log_configure(DY_LOG_ERROR, NULL);
	options.members = members;
	options.seed = 7;
	return fake_site_create(&options);
}

static void check_calm(const fake_site_result_t *result)
{
	ck_assert_uint_eq(result->elections, 0);
	ck_assert_uint_eq(result->quorum_lost, 0);
	ck_assert_uint_le(result->max_requests_per_s, POLLS_A_SECOND);
}

/*
 * All processes of a site are killed and start again within a second. Its
 * members ask control at once, in vain at first, then again and again. The
 * leader works through questions whose askers gave up, its heartbeats are late,
 * it is deposed, and the next one finds the same; callers wait for seconds.
 */
START_TEST(all_killed_at_once_are_served_within_a_second)
{
	fake_site_t *herd = create(300);
	fake_site_result_t result;

	fake_site_run(herd, 5000);
	result = fake_site_result(herd);
	ck_assert_uint_gt(result.balancers_90pct_ms, 0);
	ck_assert_uint_le(result.balancers_90pct_ms, AIM_MS);
	ck_assert_uint_eq(result.served, 300);
	check_calm(&result);
	fake_site_destroy(herd);
}
END_TEST

/* The same by the rules of before: what the test above must be able to show. */
START_TEST(all_killed_at_once_were_not_served_before)
{
	fake_site_options_t options = site;
	fake_site_result_t result;
	fake_site_t *herd;

	dy_log_configure(DY_LOG_ERROR, NULL);
	options.seed = 7;
	options.fixed_retry = 1;
	options.no_queue = 1;
	options.no_invitations = 1;
	options.no_images = 1;
	herd = fake_site_create(&options);
	fake_site_run(herd, 5000);
	result = fake_site_result(herd);
	ck_assert_uint_eq(result.balancers_90pct_ms, 0);
	fake_site_destroy(herd);
}
END_TEST

/* A small site is not made to wait for what a large one needs. */
START_TEST(small_site_is_served_at_once)
{
	fake_site_t *herd = create(20);
	fake_site_result_t result;

	fake_site_run(herd, 5000);
	result = fake_site_result(herd);
	ck_assert_uint_gt(result.members_100pct_ms, 0);
	ck_assert_uint_le(result.members_100pct_ms, AIM_MS / 2);
	check_calm(&result);
	fake_site_destroy(herd);
}
END_TEST

/*
 * A thousand members, more than the leader can answer in a second. It stays the
 * leader, nobody is forgotten, and balancers are served as one after the other
 * at its pace: two answers each, with one for an agent in eight.
 */
START_TEST(thousand_members_cannot_unseat_the_leader)
{
	fake_site_t *herd = create(1000);
	fake_site_result_t result;

	fake_site_run(herd, 8000);
	result = fake_site_result(herd);
	ck_assert_uint_gt(result.balancers_90pct_ms, 0);
	ck_assert_uint_le(result.balancers_90pct_ms, AIM_MS);
	ck_assert_uint_eq(result.served, 1000);
	check_calm(&result);
	fake_site_destroy(herd);
}
END_TEST

/* A third of the members is restarted while the others are served. */
START_TEST(third_restarted_is_served_within_a_second)
{
	fake_site_t *herd = create(300);
	fake_site_result_t result;

	fake_site_run(herd, 5000);
	fake_site_restart(herd, 33);
	fake_site_start_measurement(herd);
	fake_site_run(herd, 5000);
	result = fake_site_result(herd);
	ck_assert_uint_le(result.balancers_90pct_ms, AIM_MS);
	ck_assert_uint_eq(result.served, 300);
	ck_assert_uint_eq(result.elections, 0);
	ck_assert_uint_eq(result.quorum_lost, 0);
	fake_site_destroy(herd);
}
END_TEST

/*
 * Members of an older build, or a fault, flood the leader for ten seconds with
 * three times what it can answer. It neither loses its majority nor is it
 * deposed, and those that start meanwhile are served.
 */
START_TEST(flooded_leader_keeps_the_lead)
{
	fake_site_t *herd = create(300);
	fake_site_result_t result;

	fake_site_run(herd, 3000);
	fake_site_flood(herd, 5000, 3 * POLLS_A_SECOND);
	fake_site_restart(herd, 10);
	fake_site_start_measurement(herd);
	fake_site_flood(herd, 5000, 3 * POLLS_A_SECOND);
	result = fake_site_result(herd);
	ck_assert_uint_eq(result.served, 300);
	ck_assert_uint_eq(result.elections, 0);
	ck_assert_uint_eq(result.quorum_lost, 0);
	fake_site_destroy(herd);
}
END_TEST

/*
 * All start at once, and one of the controls is replaced by an empty one
 * meanwhile: the group goes on and is whole again, and members are served.
 */
START_TEST(control_replaced_meanwhile_changes_nothing)
{
	fake_site_t *herd = create(300);
	fake_group_t *group = fake_site_group(herd);
	fake_site_result_t result;
	fake_member_t *lost;

	fake_site_run(herd, 150);
	/* One that is at work is passed over. */
	while (!fake_group_leader(group))
		fake_site_run(herd, 1);
	lost = fake_group_other_member(group, fake_group_leader(group));
	fake_group_wipe(lost);
	fake_group_start(lost);
	fake_site_run(herd, 5000);
	result = fake_site_result(herd);
	ck_assert_uint_le(result.balancers_90pct_ms, AIM_MS);
	ck_assert_uint_eq(result.served, 300);
	ck_assert_uint_eq(result.elections, 0);
	ck_assert_uint_eq(result.quorum_lost, 0);
	fake_site_destroy(herd);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		all_killed_at_once_are_served_within_a_second,
		all_killed_at_once_were_not_served_before,
		small_site_is_served_at_once,
		thousand_members_cannot_unseat_the_leader,
		third_restarted_is_served_within_a_second,
		flooded_leader_keeps_the_lead,
		control_replaced_meanwhile_changes_nothing,
		NULL,
	};

	return fake_suite_run("herd", tests);
}
