/* A learner that is away for longer than the leader waits for it. */

#include <string.h>

#include "fake_control.h"
#include "fake_suite.h"

#define TEST_TIMEOUT_S 120
#define DOCUMENTS 600 /* so that the log takes several batches */
/* In ticks of 5 ms. */
#define FORM_TICKS 3000
#define AWAY_TICKS 2000
#define RETURN_TICKS 6000

/* Three voters; the third has a loop of its own, so that it can stop. */
typedef struct group {
	fake_control_t first; /* the leader */
	fake_control_t third;
	dy_control_t *second;
	char *second_folder;
} group_t;

static group_t group;

static uint64_t count(const char *name)
{
	return dy_metrics_value(group.first.metrics, name);
}

static int accept_any_document(void *context, const uint8_t *bytes, size_t size,
			       char *message, size_t message_size)
{
	(void)context;
	(void)bytes;
	(void)size;
	(void)message;
	(void)message_size;
	return 1;
}

static void run(unsigned ticks)
{
	for (; ticks; ticks--) {
		fake_control_run(&group.first, 1, NULL);
		if (group.third.control)
			fake_control_run(&group.third, 1, NULL);
	}
}

static void run_until_counted(const char *name, uint64_t value, unsigned ticks)
{
	for (; ticks && count(name) < value; ticks--)
		run(1);
	ck_assert_uint_ge(count(name), value);
}

static void on_published(void *context, dy_status_t status, const char *message)
{
	(void)message;
	*(int *)context += status == DY_STATUS_OK;
}

static void publish_documents(void)
{
	char text[16];
	int published = 0;
	int i;

	for (i = 1; i <= DOCUMENTS; i++) {
		g_snprintf(text, sizeof(text), "%d", i);
		dy_control_publish(group.first.control, (const uint8_t *)text,
				   strlen(text), (uint64_t)i, on_published,
				   &published);
		run(1);
	}
	ck_assert_int_gt(published, 0);
}

static void begin(int dynamic_membership)
{
	dy_control_options_t *options = &group.first.options;
	dy_control_options_t second;

	memset(&group, 0, sizeof(group));
	fake_control_init(&group.first);
	fake_control_init(&group.third);
	options->dynamic_membership = dynamic_membership;
	options->validate = accept_any_document;
	options->peers.count = 3;
	options->peers.slots[2] = fake_control_unused_address(&group.first);
	options->peers.slots[3] = group.third.options.listen;
	second = *options;
	second.slot = 2;
	second.listen = second.peers.slots[2];
	group.second_folder = g_dir_make_tmp("dy-learner-XXXXXX", NULL);
	second.folder = group.second_folder;
	group.third.options = *options;
	group.third.options.slot = 3;
	group.third.options.listen = options->peers.slots[3];
	group.third.options.folder = group.third.folder;
	fake_control_start(&group.first);
	group.second = dy_control_create(group.first.loop, group.first.metrics,
					 &second, NULL);
	ck_assert_ptr_nonnull(group.second);
	fake_control_start(&group.third);
	run_until_counted("control_promoted", 2, FORM_TICKS);
	publish_documents();
}

static void end(void)
{
	fake_control_stop(&group.third);
	dy_control_destroy(group.second);
	fake_control_stop(&group.first);
	fake_control_clear(&group.third);
	fake_control_remove_folder(group.second_folder);
	fake_control_clear(&group.first);
}

/* The third loses its disk and stops again while it catches up. */
static void lose_third_while_it_learns(void)
{
	uint64_t added = count("learner_added");

	fake_control_stop(&group.third);
	run(30);
	fake_control_clear(&group.third);
	group.third.folder = g_dir_make_tmp("dy-learner-XXXXXX", NULL);
	group.third.options.folder = group.third.folder;
	fake_control_start(&group.third);
	run_until_counted("learner_added", added + 1, FORM_TICKS);
	run(2);
	fake_control_stop(&group.third);
	run(AWAY_TICKS);
}

/* A learner is removed and never told so: its slot stays without a voter. */
START_TEST(learner_of_static_group_returns_after_a_long_time)
{
	uint64_t promoted;

	begin(0);
	lose_third_while_it_learns();
	promoted = count("control_promoted");
	fake_control_start(&group.third);
	run_until_counted("control_promoted", promoted + 1, RETURN_TICKS);
	end();
}
END_TEST

/* Only a follower can be asked, and it names the leader that would tell. */
START_TEST(removed_learner_asks_the_leader_that_a_follower_names)
{
	dy_address_list_t seeds = { .count = 1 };
	unsigned ticks = RETURN_TICKS;

	begin(1);
	lose_third_while_it_learns();
	ck_assert_uint_ge(count("control_removed"), 1);
	memset(group.third.options.peers.slots, 0,
	       sizeof(group.third.options.peers.slots));
	seeds.items[0] = group.first.options.peers.slots[2];
	group.third.options.seeds = &seeds;
	fake_control_start(&group.third);
	while (ticks-- && dy_control_exit_reason(group.third.control) !=
				  DY_CONTROL_EVICTED)
		run(1);
	ck_assert_int_eq(dy_control_exit_reason(group.third.control),
			 DY_CONTROL_EVICTED);
	end();
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		learner_of_static_group_returns_after_a_long_time,
		removed_learner_asks_the_leader_that_a_follower_names,
		NULL,
	};

	return fake_suite_run_for("control_learner", tests, TEST_TIMEOUT_S);
}
