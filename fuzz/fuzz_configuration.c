/*
 * Changes a configuration step by step and loads each version by one loader,
 * which must agree with the parse of the whole text: rules, errors, and which
 * of the two. Each step uses three bytes: the kind of change and two operands.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#include "fake_configuration.h"

/* Routes at most; more only slow the fuzzer down. */
#define ROUTES_MAX 12

/* Steps at most of one input. */
#define STEPS_MAX 60

#define SERVICES 4

static const char *const service_names[SERVICES] = { "a", "b", "c", "d\\n" };
static const char *const types[] = { "safe", "unsafe", "upload", "download" };
static const char *const separators[] = { ",", " ,", ",\n\t", " , " };
static const char *const members[] = {
	"",
	"\"x\":{\"routes\":[]},",
	"\"x\":[\"routes\",\"}\"],",
	"\"r\\u006futes\":[],",
	"\"routes\":[],",
	"\"x\":\"\\\"routes\\\":[\",",
	"\"y\":-1.5e3 ,\"\\\\\":null,",
};
static const char damage[] = "\"\\{}[],:0a \x80\xc3";

typedef struct site {
	platform_configuration_loader_t *loader;
	GPtrArray *routes;   /* of GString */
	unsigned services;   /* bits */
	unsigned warm_per_s; /* of the first service */
	unsigned version;
	unsigned separator;
	unsigned head;
	unsigned tail;
	int routes_last;
} site_t;

static void free_route(void *route)
{
	g_string_free(route, TRUE);
}

static GString *make_route(unsigned a, unsigned b)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text,
			       "{\"host\":\"10.0.0.%u\",\"pathPrefix\":"
			       "\"/%u/\",\"routeType\":\"%s\",\"timeoutMs\":%u,"
			       "\"targetLatencyMs\":%u,\"priority\":%u,",
			       a % 8, 1 + a / 8 % 4, types[b % 4], b / 4 % 8, b,
			       a / 32);
	if (b % 3)
		g_string_append_printf(text, "\"service\":\"%s\"}",
				       service_names[a % SERVICES]);
	else
		g_string_append_printf(
			text,
			"\"backends\":[{\"service\":\"%s\",\"weight\":%u},"
			"{\"service\":\"%s\",\"weight\":1}]}",
			service_names[a % SERVICES], b / 3,
			service_names[b % SERVICES]);
	return text;
}

static void write_services(const site_t *site, GString *text)
{
	const char *separator = "";
	int i;

	g_string_append(text, "\"services\":[");
	for (i = 0; i < SERVICES; i++) {
		if (!(site->services >> i & 1))
			continue;
		g_string_append_printf(
			text, "%s{\"name\":\"%s\",\"warmupPerS\":%u}",
			separator, service_names[i], i ? 1 : site->warm_per_s);
		separator = ",";
	}
	g_string_append(text, "]");
}

static void write_routes(const site_t *site, GString *text)
{
	const GString *route;
	guint i;

	g_string_append(text, "\"routes\":[");
	for (i = 0; i < site->routes->len; i++) {
		route = g_ptr_array_index(site->routes, i);
		if (i)
			g_string_append(text, separators[site->separator]);
		g_string_append_len(text, route->str, (gssize)route->len);
	}
	g_string_append(text, "]");
}

static GString *write_site(const site_t *site)
{
	GString *text = g_string_new(NULL);

	g_string_append_printf(text, "{\"version\":%u,%s", site->version,
			       members[site->head]);
	if (site->routes_last)
		write_services(site, text);
	else
		write_routes(site, text);
	g_string_append_printf(text, ",%s", members[site->tail]);
	if (site->routes_last)
		write_routes(site, text);
	else
		write_services(site, text);
	g_string_append(text, "}");
	return text;
}

static void add_route(site_t *site, unsigned a, unsigned b)
{
	if (site->routes->len < ROUTES_MAX)
		g_ptr_array_insert(site->routes,
				   (gint)(b % (site->routes->len + 1)),
				   make_route(a, b));
}

static void change_routes(site_t *site, unsigned kind, unsigned a, unsigned b)
{
	unsigned index = a % site->routes->len;
	GString *route = g_ptr_array_index(site->routes, index);

	switch (kind) {
	case 0:
		g_ptr_array_remove_index(site->routes, index);
		break;
	case 1:
		g_string_free(route, TRUE);
		g_ptr_array_index(site->routes, index) = make_route(a, b);
		break;
	case 2:
		route = g_ptr_array_steal_index(site->routes, index);
		g_ptr_array_insert(site->routes,
				   (gint)(b % (site->routes->len + 1)), route);
		break;
	case 3:
		if (site->routes->len < ROUTES_MAX)
			g_ptr_array_add(site->routes,
					g_string_new_len(route->str,
							 (gssize)route->len));
		break;
	case 4:
		if (route->len)
			route->str[b % route->len] =
				damage[a % (sizeof(damage) - 1)];
		break;
	default:
		if (route->len)
			g_string_erase(route, (gssize)(b % route->len), 1);
	}
}

static void change_rest(site_t *site, unsigned kind, unsigned a)
{
	switch (kind) {
	case 0:
		site->services ^= 1U << a % SERVICES;
		break;
	case 1:
		site->warm_per_s = a;
		break;
	case 2:
		site->separator = a % G_N_ELEMENTS(separators);
		break;
	case 3:
		site->head = a % G_N_ELEMENTS(members);
		break;
	case 4:
		site->tail = a % G_N_ELEMENTS(members);
		break;
	default:
		site->routes_last = (int)(a % 2);
	}
}

/* Changes of this version's text only. */
static void damage_text(GString *text, unsigned kind, unsigned a, unsigned b)
{
	size_t at = (a << 8 | b) % text->len;

	if (kind == 0)
		text->str[at] = damage[b % (sizeof(damage) - 1)];
	else if (kind == 1)
		g_string_erase(text, (gssize)at, 1);
	else if (kind == 2)
		g_string_truncate(text, at);
	else
		g_string_insert_c(text, (gssize)at,
				  damage[b % (sizeof(damage) - 1)]);
}

static void load(site_t *site, const GString *text)
{
	const char *problem = fake_configuration_compare(
		site->loader, text->str, text->len, NULL, NULL);

	if (!problem)
		return;
	fprintf(stderr, "%s: %.*s\n", problem, (int)text->len, text->str);
	abort();
}

static void run_step(site_t *site, const uint8_t *step)
{
	unsigned kind = step[0] % 20;
	GString *text;

	site->version++;
	if (kind < 4 || !site->routes->len)
		add_route(site, step[1], step[2]);
	else if (kind < 10)
		change_routes(site, kind - 4, step[1], step[2]);
	else if (kind < 16)
		change_rest(site, kind - 10, step[1]);
	text = write_site(site);
	if (kind >= 16)
		damage_text(text, kind - 16, step[1], step[2]);
	load(site, text);
	g_string_free(text, TRUE);
}

/* libFuzzer requires the name. NOLINTNEXTLINE(readability-identifier-naming) */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	site_t site = { 0 };
	unsigned steps;

	site.loader = platform_configuration_loader_create();
	site.routes = g_ptr_array_new_with_free_func(free_route);
	site.services = (1U << SERVICES) - 1;
	for (steps = 0; size >= 3 && steps < STEPS_MAX; steps++) {
		run_step(&site, data);
		data += 3;
		size -= 3;
	}
	g_ptr_array_free(site.routes, TRUE);
	platform_configuration_loader_destroy(site.loader);
	return 0;
}
