#include "damaskyard/settings.h"

#include <stdlib.h>
#include <string.h>

#include "fake_suite.h"

static struct {
	char *name;
	char *text;
	uint64_t number;
	gboolean flag;
	dy_address_t address;
	dy_address_list_t addresses;
} values;

static const dy_setting_t settings[] = {
	{ .flag = "name",
	  .kind = DY_SETTING_NAME,
	  .value = &values.name,
	  .required = TRUE,
	  .argument = "NAME" },
	{ .flag = "some-text", .kind = DY_SETTING_TEXT, .value = &values.text },
	{ .flag = "number",
	  .kind = DY_SETTING_NUMBER,
	  .value = &values.number,
	  .default_text = "7",
	  .min = 2,
	  .max = 100 },
	{ .flag = "flag", .kind = DY_SETTING_FLAG, .value = &values.flag },
	{ .flag = "address",
	  .kind = DY_SETTING_ADDRESS,
	  .value = &values.address },
	{ .flag = "addresses",
	  .kind = DY_SETTING_ADDRESSES_LIST,
	  .value = &values.addresses },
	{ 0 },
};

static gboolean load(const char *line, GError **error)
{
	char **argv = g_strsplit(line, " ", -1);
	gboolean ok;

	memset(&values, 0, sizeof(values));
	ok = dy_settings_load((int)g_strv_length(argv), argv, "", settings,
			      NULL, error);
	g_strfreev(argv);
	return ok;
}

static void expect_error(const char *line, const char *part)
{
	GError *error = NULL;

	ck_assert(!load(line, &error));
	ck_assert_msg(strstr(error->message, part) != NULL, "%s",
		      error->message);
	g_error_free(error);
	dy_settings_clear(settings);
}

START_TEST(flag_precedes_variable_and_default)
{
	g_setenv("DAMASKYARD_SOME_TEXT", "of the environment", TRUE);
	g_setenv("DAMASKYARD_NUMBER", "8", TRUE);
	ck_assert(load("x --name a1 --number 9 --flag --address [::1]:5 "
		       "--addresses 127.0.0.1:1,127.0.0.1:2",
		       NULL));
	ck_assert_str_eq(values.name, "a1");
	ck_assert_str_eq(values.text, "of the environment");
	ck_assert_uint_eq(values.number, 9);
	ck_assert(values.flag);
	ck_assert_uint_eq(values.address.port, 5);
	ck_assert_int_eq(values.addresses.count, 2);
	dy_settings_clear(settings);
	g_unsetenv("DAMASKYARD_NUMBER");
	ck_assert(load("x --name a1", NULL));
	ck_assert_uint_eq(values.number, 7);
	ck_assert(!values.flag);
	dy_settings_clear(settings);
}
END_TEST

/*
 * Guards against a limit with a typing error that is read as another number
 * or ignored, and shows only under peak load. Each error must name the
 * setting, its value and what is allowed.
 */
START_TEST(error_names_wrong_setting)
{
	expect_error("x", "--name (or DAMASKYARD_NAME) is missing");
	expect_error("x --name A", "--name: \"A\" is not allowed");
	expect_error("x --name a --number 7x", "--number: \"7x\"");
	expect_error("x --name a --number 1", "from 2 to 100");
	expect_error("x --name a --number 101", "from 2 to 100");
	expect_error("x --name a --number -3", "--number");
	expect_error("x --name a --address host:1", "expected IP:PORT");
	expect_error("x --name a --addresses 127.0.0.1:1,", "--addresses");
	expect_error("x --name a --nmae b", "--nmae");
	expect_error("x --name a operand", "\"operand\" is not expected here");
	g_setenv("DAMASKYARD_FLAG", "yes", TRUE);
	expect_error("x --name a", "--flag: \"yes\"");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		flag_precedes_variable_and_default,
		error_names_wrong_setting,
		NULL,
	};

	return fake_suite_run("settings", tests);
}
