/* The loader of configurations, compared with the parse of the whole text. */

#include <pthread.h>
#include <string.h>

#include "fake_configuration.h"
#include "fake_suite.h"

#define ROUTES 20

static const char *service_names[] = { "a", "b", "c" };

/* A configuration in parts, each of which a test may change. */
typedef struct site {
	unsigned version;
	GPtrArray *routes; /* texts */
	char *services;
	char *tail;
} site_t;

static char *route(unsigned number, const char *service, const char *rest)
{
	return g_strdup_printf("{\"name\":\"r-%u\",\"host\":\"10.0.0.%u\","
			       "\"pathPrefix\":\"/443/\",\"timeoutMs\":9,"
			       "\"service\":\"%s\"%s}",
			       number, number, service, rest);
}

static void set_route(site_t *site, unsigned index, char *text)
{
	g_free(g_ptr_array_index(site->routes, index));
	g_ptr_array_index(site->routes, index) = text;
}

static void set_text(char **text, const char *value)
{
	g_free(*text);
	*text = g_strdup(value);
}

static void init_site(site_t *site)
{
	unsigned i;

	memset(site, 0, sizeof(*site));
	site->version = 1;
	site->routes = g_ptr_array_new_with_free_func(g_free);
	for (i = 0; i < ROUTES; i++)
		g_ptr_array_add(site->routes,
				route(i, service_names[i % 2], ""));
	site->services = g_strdup("{\"name\":\"a\",\"warmupPerS\":2},"
				  "{\"name\":\"b\"}");
	site->tail = g_strdup("");
}

static void clear_site(site_t *site)
{
	g_ptr_array_free(site->routes, TRUE);
	g_free(site->services);
	g_free(site->tail);
}

static char *write_site(site_t *site)
{
	char *routes;
	char *text;

	g_ptr_array_add(site->routes, NULL);
	routes = g_strjoinv(",", (char **)site->routes->pdata);
	g_ptr_array_remove_index(site->routes, site->routes->len - 1);
	text = g_strdup_printf("{\"version\":%u,\"routes\":[%s],"
			       "\"services\":[%s],\"limits\":{}%s}",
			       site->version++, routes, site->services,
			       site->tail);
	g_free(routes);
	return text;
}

/* Load the next version; returns whether it was accepted. */
static int load_text(platform_configuration_loader_t *loader, const char *text,
		     platform_load_t *load)
{
	int accepted;
	const char *problem = fake_configuration_compare(
		loader, text, strlen(text), load, &accepted);

	ck_assert_msg(!problem, "%s: %s", problem, text);
	return accepted;
}

static int load_site(platform_configuration_loader_t *loader, site_t *site,
		     platform_load_t *load)
{
	char *text = write_site(site);
	int accepted = load_text(loader, text, load);

	g_free(text);
	return accepted;
}

static void expect_parsed(platform_configuration_loader_t *loader, site_t *site,
			  unsigned parsed)
{
	platform_load_t load;

	ck_assert(load_site(loader, site, &load));
	ck_assert_int_eq(load.whole, 0);
	ck_assert_uint_eq(load.parsed, parsed);
}

/*
 * Without it a change of one route stops a balancer for a tenth of a second, or
 * a route keeps what an earlier version said of it.
 */
START_TEST(parses_only_what_changed)
{
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	site_t site;

	init_site(&site);
	expect_parsed(loader, &site, ROUTES);
	expect_parsed(loader, &site, 0);
	set_route(&site, 5, route(5, "a", ""));
	expect_parsed(loader, &site, 1);
	set_route(&site, 0, route(0, "a", ",\"routeType\":\"upload\""));
	set_route(&site, 19, route(19, "a", ",\"targetLatencyMs\":7"));
	expect_parsed(loader, &site, 2);
	g_ptr_array_insert(site.routes, 3, route(100, "a", ""));
	expect_parsed(loader, &site, 1);
	g_ptr_array_remove_index(site.routes, 10);
	expect_parsed(loader, &site, 0);
	g_ptr_array_insert(site.routes, 0,
			   g_ptr_array_steal_index(site.routes, 15));
	expect_parsed(loader, &site, 0);
	set_text(&site.services, "{\"name\":\"b\",\"warmupPerS\":9},"
				 "{\"name\":\"c\"},{\"name\":\"a\"}");
	expect_parsed(loader, &site, 0);
	g_ptr_array_set_size(site.routes, 0);
	expect_parsed(loader, &site, 0);
	clear_site(&site);
	platform_configuration_loader_destroy(loader);
}
END_TEST

/* Rules in use, as a balancer's, must outlive the loader's next text. */
START_TEST(rules_stay_valid_after_later_loads)
{
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	dy_flow_rules_t *rules[4];
	const dy_flow_entry_t *entry;
	site_t site;
	unsigned i;
	char *text;

	init_site(&site);
	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		set_route(&site, 7, route(7, service_names[i % 2], ""));
		text = write_site(&site);
		rules[i] = platform_configuration_loader_load(
			loader, text, strlen(text), NULL, NULL);
		ck_assert_ptr_nonnull(rules[i]);
		g_free(text);
	}
	platform_configuration_loader_destroy(loader);
	for (i = 0; i < G_N_ELEMENTS(rules); i++) {
		entry = dy_flow_rules_find(rules[i], 0x0a000007, 443);
		ck_assert_str_eq(entry->shares[0].service,
				 service_names[i % 2]);
		entry = dy_flow_rules_find(rules[i], 0x0a000008, 443);
		ck_assert_str_eq(entry->shares[0].service, "a");
		ck_assert_uint_eq(dy_flow_rules_version(rules[i]), i + 1);
		dy_flow_rules_destroy(rules[i]);
	}
	clear_site(&site);
}
END_TEST

/*
 * A reused route was valid in the previous configuration, not in this one. Each
 * text is refused as by the whole parse, with the same words, and the loader
 * goes on from the last one that was accepted.
 */
START_TEST(refuses_what_the_whole_parse_refuses)
{
	static const char *const routes[] = {
		"7",
		"{",
		"{}",
		"{\"host\":\"10.0.0.5\"}",
		"{\"host\":\"10.0.0.5\",\"pathPrefix\":\"/1/\","
		"\"timeoutMs\":9,\"service\":\"c\"}",
		"{\"host\":\"10.0.0.6\",\"pathPrefix\":\"/443/\","
		"\"timeoutMs\":9,\"service\":\"a\"}",
		"{\"host\":\"10.0.0.4\",\"pathPrefix\":\"/443/\","
		"\"timeoutMs\":9,\"service\":\"a\"}",
		"{\"name\":1,\"name\":2,\"host\":\"10.0.0.5\","
		"\"pathPrefix\":\"/443/\",\"timeoutMs\":9,"
		"\"service\":\"a\"}",
		"{\"host\":\"10.0.0.5\",\"pathPrefix\":\"/443/\","
		"\"timeoutMs\":9,\"service\":\"a\",\"x\":\"\xc3\"}",
		"{\"host\":\"10.0.0.5\",\"pathPrefix\":\"/443/\","
		"\"timeoutMs\":9,\"service\":\"a\",\"x\":01}",
		"{\"host\":\"10.0.0.5\",\"pathPrefix\":\"/443/\","
		"\"timeoutMs\":9,\"service\":\"a\"]",
	};
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	site_t site;
	size_t i;

	init_site(&site);
	expect_parsed(loader, &site, ROUTES);
	for (i = 0; i < G_N_ELEMENTS(routes); i++) {
		set_route(&site, 5, g_strdup(routes[i]));
		ck_assert(!load_site(loader, &site, NULL));
		set_route(&site, 5, route(5, service_names[i % 2], ""));
		set_route(&site, 6, route(6, service_names[i % 2], ""));
		ck_assert(load_site(loader, &site, NULL));
	}
	expect_parsed(loader, &site, 0);
	clear_site(&site);
	platform_configuration_loader_destroy(loader);
}
END_TEST

/* Its routes are the same bytes as before, and no longer valid. */
START_TEST(refuses_reused_route_whose_service_is_gone)
{
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	site_t site;

	init_site(&site);
	expect_parsed(loader, &site, ROUTES);
	set_text(&site.services, "{\"name\":\"a\"}");
	ck_assert(!load_site(loader, &site, NULL));
	set_text(&site.services, "{\"name\":\"a\"},{\"name\":7}");
	ck_assert(!load_site(loader, &site, NULL));
	set_text(&site.services, "{\"name\":\"a\"},{\"name\":\"b\"}");
	expect_parsed(loader, &site, 0);
	g_ptr_array_add(site.routes, route(3, "b", ""));
	ck_assert(!load_site(loader, &site, NULL));
	clear_site(&site);
	platform_configuration_loader_destroy(loader);
}
END_TEST

/*
 * Texts with the routes at another place, twice, or written so that they cannot
 * be located. They are accepted or refused as by the whole parse.
 */
START_TEST(agrees_with_whole_parse_on_unusual_texts)
{
#define LIST                                                \
	"[{\"host\":\"10.0.0.1\",\"pathPrefix\":\"/443/\"," \
	"\"timeoutMs\":9,\"service\":\"a\"}]"
#define REST "\"version\":3,\"services\":[{\"name\":\"a\"}]"
	static const struct {
		const char *text;
		int accepted;
		int whole;
	} cases[] = {
		{ "{" REST ",\"routes\":" LIST "}", 1, 0 },
		{ "\n{\"routes\" :\t" LIST "," REST "}\n", 1, 0 },
		{ "{\"r\\u006futes\":" LIST "," REST "}", 1, 1 },
		{ "{\"x\":{\"routes\":[7]},\"routes\":" LIST "," REST "}", 1,
		  0 },
		{ "{\"routes\":" LIST "," REST ",\"routes\":[]}", 0, 0 },
		{ "{\"routes\":" LIST "," REST ",\"r\\u006futes\":[]}", 0, 0 },
		{ "{\"routes\":" LIST "," REST "}}", 0, 0 },
		{ "{\"routes\":" LIST "," REST "} 7", 0, 0 },
		{ "{\"routes\":" LIST "," REST ",}", 0, 0 },
		{ "{\"routes\":" LIST, 0, 0 },
		{ "[" LIST "]", 0, 0 },
		{ "", 0, 0 },
	};
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	platform_load_t load;
	int pass;
	size_t i;

	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < G_N_ELEMENTS(cases); i++) {
			load.whole = 0;
			ck_assert_int_eq(
				load_text(loader, cases[i].text, &load),
				cases[i].accepted);
			ck_assert_int_eq(load.whole, cases[i].whole);
		}
	}
	platform_configuration_loader_destroy(loader);
}
END_TEST

/* The parser's limit of nesting counts from the start of the whole text. */
START_TEST(agrees_with_whole_parse_on_deep_nesting)
{
	static const unsigned depths[] = { 40, 100, 2000, 2045, 2046, 2047 };
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	char *open;
	char *close;
	char *rest;
	site_t site;
	size_t i;

	init_site(&site);
	for (i = 0; i < G_N_ELEMENTS(depths); i++) {
		open = g_strnfill(depths[i], '[');
		close = g_strnfill(depths[i], ']');
		rest = g_strdup_printf(",\"x\":%s%s", open, close);
		set_route(&site, 4, route(4, "a", rest));
		load_site(loader, &site, NULL);
		set_route(&site, 4, route(4, "a", ""));
		set_text(&site.tail, rest);
		load_site(loader, &site, NULL);
		set_text(&site.tail, "");
		g_free(open);
		g_free(close);
		g_free(rest);
	}
	clear_site(&site);
	platform_configuration_loader_destroy(loader);
}
END_TEST

#define STACK_BYTES (1 << 20)
#define LARGE_TEXT_BYTES (4 << 20)

/* Returns text with a member that holds part so often that it has size bytes.
 */
static char *fill_text(const char *part, size_t size)
{
	GString *text = g_string_new("{\"version\":1,\"routes\":[],"
				     "\"services\":[],\"x\":[");

	while (text->len + strlen(part) + 8 < size)
		g_string_append(text, part);
	g_string_append(text, "1]}");
	return g_string_free(text, FALSE);
}

/*
 * Guards against a control that is killed for its memory by one configuration,
 * which its operator then sends to the next control.
 */
START_TEST(refuses_more_values_than_memory_can_hold)
{
	static const char *const parts[] = { "{},", "[],", "1,", "{\"a\":1}," };
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	GError *error = NULL;
	char *text;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(parts); i++) {
		text = fill_text(parts[i], LARGE_TEXT_BYTES);
		ck_assert_ptr_null(platform_configuration_loader_load(
			loader, text, strlen(text), NULL, &error));
		ck_assert(g_error_matches(error, PLATFORM_ERROR,
					  PLATFORM_ERROR_UNREADABLE));
		g_clear_error(&error);
		ck_assert_ptr_null(
			platform_configuration_parse(text, strlen(text), NULL));
		g_free(text);
	}
	platform_configuration_loader_destroy(loader);
}
END_TEST

/* Guards against a limit that refuses a large configuration of usual routes. */
START_TEST(accepts_large_configuration_of_usual_routes)
{
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	platform_load_t load;
	site_t site;
	unsigned i;

	init_site(&site);
	for (i = ROUTES; i < 12000; i++)
		g_ptr_array_add(
			site.routes,
			g_strdup_printf(
				"{\"name\":\"r-%u\",\"host\":\"10.1.%u.%u\","
				"\"pathPrefix\":\"/443/\",\"routeType\":"
				"\"safe\",\"timeoutMs\":2500,"
				"\"targetLatencyMs\":150,\"priority\":2,"
				"\"backends\":[{\"service\":\"a\",\"weight\":"
				"90},{\"service\":\"b\",\"weight\":10}],"
				"\"maxAttempts\":2}",
				i, i / 256, i % 256));
	ck_assert(load_site(loader, &site, &load));
	ck_assert_uint_eq(load.parsed, 12000);
	clear_site(&site);
	platform_configuration_loader_destroy(loader);
}
END_TEST

static void *load_deep_text(void *argument)
{
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	const char *text = argument;
	dy_flow_rules_t *rules = platform_configuration_loader_load(
		loader, text, strlen(text), NULL, NULL);
	void *accepted = rules ? argument : NULL;

	dy_flow_rules_destroy(rules);
	platform_configuration_loader_destroy(loader);
	return accepted;
}

/* Returns a configuration with a value that is nested, closed to full depth. */
static char *nest_text(const char *open, const char *close, unsigned depth)
{
	GString *text = g_string_new("{\"version\":1,\"routes\":[],"
				     "\"services\":[],\"x\":");
	unsigned i;

	for (i = 0; i < depth; i++)
		g_string_append(text, open);
	g_string_append(text, "1");
	for (i = 0; i < depth; i++)
		g_string_append(text, close);
	g_string_append(text, "}");
	return g_string_free(text, FALSE);
}

/* Guards against a stack that nested values use up. */
START_TEST(deep_nesting_fits_a_small_stack)
{
	static const unsigned depths[] = { 10, 1000, 2000, 100000 };
	pthread_attr_t attributes;
	pthread_t thread;
	void *accepted;
	char *text;
	size_t i;

	pthread_attr_init(&attributes);
	ck_assert(!pthread_attr_setstacksize(&attributes, STACK_BYTES));
	for (i = 0; i < 2 * G_N_ELEMENTS(depths); i++) {
		text = nest_text(i % 2 ? "{\"a\":" : "[", i % 2 ? "}" : "]",
				 depths[i / 2]);
		ck_assert(!pthread_create(&thread, &attributes, load_deep_text,
					  text));
		ck_assert(!pthread_join(thread, &accepted));
		ck_assert_int_eq(!!accepted, depths[i / 2] <= 2000);
		g_free(text);
	}
	pthread_attr_destroy(&attributes);
}
END_TEST

/* Any byte that is changed, lost, or the last that came. */
START_TEST(agrees_with_whole_parse_on_damaged_texts)
{
	static const char damage[] = "\"\\{}[],:0a \x80";
	platform_configuration_loader_t *loader =
		platform_configuration_loader_create();
	site_t site;
	char *text;
	char *changed;
	size_t len;
	size_t i;
	size_t j;

	init_site(&site);
	g_ptr_array_set_size(site.routes, 3);
	text = write_site(&site);
	len = strlen(text);
	ck_assert(load_text(loader, text, NULL));
	for (i = 0; i < len; i++) {
		changed = g_strndup(text, i);
		load_text(loader, changed, NULL);
		g_free(changed);
		changed = g_strdup_printf("%.*s%s", (int)i, text, text + i + 1);
		load_text(loader, changed, NULL);
		for (j = 0; j < sizeof(damage) - 1; j++) {
			g_free(changed);
			changed = g_strdup(text);
			changed[i] = damage[j];
			load_text(loader, changed, NULL);
		}
		g_free(changed);
		ck_assert(load_text(loader, text, NULL));
	}
	g_free(text);
	clear_site(&site);
	platform_configuration_loader_destroy(loader);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		parses_only_what_changed,
		rules_stay_valid_after_later_loads,
		refuses_what_the_whole_parse_refuses,
		refuses_reused_route_whose_service_is_gone,
		agrees_with_whole_parse_on_unusual_texts,
		agrees_with_whole_parse_on_deep_nesting,
		agrees_with_whole_parse_on_damaged_texts,
		refuses_more_values_than_memory_can_hold,
		accepts_large_configuration_of_usual_routes,
		deep_nesting_fits_a_small_stack,
		NULL,
	};

	return fake_suite_run("configuration_loader", tests);
}
