#include "damaskyard/flow_settings.h"

#include <string.h>

#include "damaskyard/log.h"
#include "fake_suite.h"

static char *path;

static void write_settings(const char *text)
{
	if (!path)
		path = g_build_filename(g_get_tmp_dir(),
					"dy-flow-settings-test", NULL);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
}

#define PROCESS                                               \
	"[process]\nname=n1\nfailure-domain=d1\ndata=/data\n" \
	"first-start=true\nstop-s=6\nlink-mbps=4.3\n"
#define LISTEN                                               \
	"[listen]\npackets=10.0.0.1:80\nready=10.0.0.1:81\n" \
	"control=10.0.0.1:82\noutbound=10.0.0.1:83\ninner-port=7000\n"
#define TARGET "[target]\naddress=10.0.0.1:84\nservice=a\n"
#define GROUP "[group]\nseeds=10.0.0.2:82,10.0.0.3:82\n"

START_TEST(loads_settings_of_each_role)
{
	static const unsigned ports[] = { 7001, 7002, 7000 };
	dy_flow_settings_t settings;
	GError *error = NULL;
	int role;

	write_settings(PROCESS LISTEN TARGET GROUP);
	for (role = DY_FLOW_BALANCER; role <= DY_FLOW_CONTROL; role++) {
		ck_assert(dy_flow_settings_load(&settings, path, role, &error));
		ck_assert_str_eq(settings.name, "n1");
		ck_assert_uint_eq(settings.stop_ms, 6000);
		ck_assert_uint_eq(settings.link_bytes_per_s, 537500);
		ck_assert(settings.first_start);
		ck_assert_uint_eq(settings.inner.port, ports[role]);
		ck_assert_int_eq(settings.seeds.count, 2);
		ck_assert_uint_eq(settings.seeds.items[1].port, 7000);
		ck_assert_int_eq(settings.secrets.count, 1);
		dy_flow_settings_clear(&settings);
	}
}
END_TEST

/*
 * A platform renders a missing value as an empty one, and may add keys that
 * this build does not know.
 */
START_TEST(treats_empty_values_as_missing_and_ignores_unknown_keys)
{
	dy_flow_settings_t settings;

	dy_log_configure(DY_LOG_ERROR, NULL);
	write_settings("[process]\nname=n1\nfailure-domain=d1\ndata=\n"
		       "first-start=\nnew=1\n[listen]\npackets=10.0.0.1:80\n"
		       "ready=10.0.0.1:81\ncontrol=\ninner-port=7000\n"
		       "[target]\naddress=\nservice=\n" GROUP "[more]\na=b\n");
	ck_assert(
		dy_flow_settings_load(&settings, path, DY_FLOW_BALANCER, NULL));
	ck_assert_ptr_null(settings.data);
	ck_assert_uint_eq(settings.control.port, 0);
	ck_assert(!settings.first_start);
	ck_assert_uint_eq(settings.link_bytes_per_s, 0);
	dy_flow_settings_clear(&settings);
	ck_assert(!dy_flow_settings_load(&settings, path, DY_FLOW_AGENT, NULL));
	dy_flow_settings_clear(&settings);
}
END_TEST

START_TEST(refuses_invalid_values_naming_the_key)
{
	static const struct {
		const char *from;
		const char *to;
		const char *key;
	} changes[] = {
		{ "name=n1\n", "", "name" },
		{ "packets=10.0.0.1:80", "packets=host:80", "packets" },
		{ "packets=10.0.0.1:80", "packets=10.0.0.1:0", "packets" },
		{ "inner-port=7000", "inner-port=x", "inner-port" },
		{ "inner-port=7000", "inner-port=65535", "inner-port" },
		{ "inner-port=7000\n", "", "inner-port" },
		{ "stop-s=6", "stop-s=-1", "stop-s" },
		{ "link-mbps=4.3", "link-mbps=-1", "link-mbps" },
		{ "link-mbps=4.3", "link-mbps=fast", "link-mbps" },
		{ "seeds=10.0.0.2:82,10.0.0.3:82", "seeds=x", "seeds" },
		{ "seeds=10.0.0.2:82,10.0.0.3:82",
		  "seeds=x,10.0.0.3:99999,,y:1", "seeds" },
		{ "service=a\n", "", "service" },
		{ "service=a\n", "service=a\ncold-overshoot=0.5\n",
		  "cold-overshoot" },
		{ "service=a\n", "service=a\ncold-slack=x\n", "cold-slack" },
		{ "[group]", "[group", "" },
	};
	dy_flow_settings_t settings;
	GError *error = NULL;
	char **parts;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(changes); i++) {
		parts = g_strsplit(PROCESS LISTEN TARGET GROUP, changes[i].from,
				   2);
		text = g_strconcat(parts[0], changes[i].to, parts[1], NULL);
		write_settings(text);
		ck_assert(!dy_flow_settings_load(&settings, path, DY_FLOW_AGENT,
						 &error));
		ck_assert_ptr_nonnull(strstr(error->message, changes[i].key));
		g_clear_error(&error);
		dy_flow_settings_clear(&settings);
		g_free(text);
		g_strfreev(parts);
	}
}
END_TEST

/*
 * Guards against processes that end at each start, or stop following the list,
 * because of one damaged entry among the seeds.
 */
START_TEST(uses_valid_seeds_beside_damaged_ones)
{
	static const char *const damaged[] = {
		"x",
		"10.0.0.3:99999",
		"10.0.0.3:65536",
		"10.0.0.3:-1",
		"10.0.0.3:",
		"10.0.0.3",
		"",
		"[[[[[[[[",
		"10.0.0.300:82",
		"[::1",
		"10.0.0.3:99999999999999999999999",
	};
	dy_flow_settings_t settings;
	char *text;
	size_t i;

	dy_log_configure(DY_LOG_ERROR, NULL);
	for (i = 0; i < G_N_ELEMENTS(damaged); i++) {
		text = g_strdup_printf(PROCESS LISTEN TARGET
				       "[group]\nseeds=10.0.0.2:82,%s,"
				       " 10.0.0.4:82\n",
				       damaged[i]);
		write_settings(text);
		ck_assert_msg(dy_flow_settings_load(&settings, path,
						    DY_FLOW_AGENT, NULL),
			      "refused because of %s", damaged[i]);
		ck_assert_int_eq(settings.seeds.count, 2);
		ck_assert_uint_eq(settings.seeds.items[1].ip[15], 4);
		ck_assert_uint_eq(settings.seeds.items[1].port, 7000);
		write_settings(PROCESS LISTEN TARGET GROUP);
		ck_assert(dy_flow_settings_reload_seeds(&settings, path));
		write_settings(text);
		ck_assert(dy_flow_settings_reload_seeds(&settings, path));
		ck_assert_int_eq(settings.seeds.count, 2);
		ck_assert(!dy_flow_settings_reload_seeds(&settings, path));
		dy_flow_settings_clear(&settings);
		g_free(text);
	}
}
END_TEST

/* Seeds change while the process runs; then the file is only half written. */
START_TEST(reloads_changed_seeds_and_keeps_them_if_file_is_broken)
{
	dy_flow_settings_t settings;

	dy_log_configure(DY_LOG_ERROR, NULL);
	write_settings(PROCESS LISTEN TARGET GROUP);
	ck_assert(dy_flow_settings_load(&settings, path, DY_FLOW_AGENT, NULL));
	ck_assert(!dy_flow_settings_reload_seeds(&settings, path));
	write_settings(PROCESS LISTEN TARGET "[group]\nseeds=10.0.0.9:82\n");
	ck_assert(dy_flow_settings_reload_seeds(&settings, path));
	ck_assert_int_eq(settings.seeds.count, 1);
	write_settings(PROCESS "[group]\nseeds=");
	ck_assert(!dy_flow_settings_reload_seeds(&settings, path));
	ck_assert_int_eq(settings.seeds.count, 1);
	dy_flow_settings_clear(&settings);
}
END_TEST

/*
 * Without the list, a failure domain could not be evacuated before a member
 * has joined from it.
 */
START_TEST(loads_list_of_failure_domains)
{
	dy_flow_settings_t settings;

	write_settings(PROCESS LISTEN TARGET GROUP
		       "failure-domains=d1,d2,d3\n");
	ck_assert(
		dy_flow_settings_load(&settings, path, DY_FLOW_CONTROL, NULL));
	ck_assert_uint_eq(g_strv_length(settings.domains), 3);
	ck_assert_str_eq(settings.domains[2], "d3");
	dy_flow_settings_clear(&settings);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		loads_settings_of_each_role,
		treats_empty_values_as_missing_and_ignores_unknown_keys,
		refuses_invalid_values_naming_the_key,
		uses_valid_seeds_beside_damaged_ones,
		reloads_changed_seeds_and_keeps_them_if_file_is_broken,
		loads_list_of_failure_domains,
		NULL,
	};

	return fake_suite_run("flow_settings", tests);
}
