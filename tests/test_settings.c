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

static void expect_wrong(const char *line, const char *part)
{
	GError *error = NULL;

	ck_assert(!load(line, &error));
	ck_assert_msg(strstr(error->message, part) != NULL, "%s",
		      error->message);
	g_error_free(error);
	dy_settings_clear(settings);
}

START_TEST(flags_go_before_variables_and_fallbacks)
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
 * A limit with a typing error that is read as another number, or passed
 * over, would show itself at dusk. Each wrong setting names itself, the
 * value and what is allowed.
 */
START_TEST(wrong_settings_name_themselves)
{
	expect_wrong("x", "--name (or DAMASKYARD_NAME) is missing");
	expect_wrong("x --name A", "--name: \"A\" is not allowed");
	expect_wrong("x --name a --number 7x", "--number: \"7x\"");
	expect_wrong("x --name a --number 1", "from 2 to 100");
	expect_wrong("x --name a --number 101", "from 2 to 100");
	expect_wrong("x --name a --number -3", "--number");
	expect_wrong("x --name a --address host:1", "expected IP:PORT");
	expect_wrong("x --name a --addresses 127.0.0.1:1,", "--addresses");
	expect_wrong("x --name a --nmae b", "--nmae");
	expect_wrong("x --name a operand", "\"operand\" is not expected here");
	g_setenv("DAMASKYARD_FLAG", "yes", TRUE);
	expect_wrong("x --name a", "--flag: \"yes\"");
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		flags_go_before_variables_and_fallbacks,
		wrong_settings_name_themselves,
		NULL,
	};

	return fake_suite_run("settings", tests);
}
