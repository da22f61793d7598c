#include "fake_configuration.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

static const char *compare_entries(const dy_flow_entry_t *a,
				   const dy_flow_entry_t *b)
{
	int i;

	if (!a || !b)
		return "a route has no entry";
	if (a->ip != b->ip || a->port != b->port ||
	    a->repeatable != b->repeatable || a->upload != b->upload ||
	    a->bulk != b->bulk || a->aim_ms != b->aim_ms ||
	    a->priority != b->priority || a->timeout_ms != b->timeout_ms ||
	    a->share_count != b->share_count)
		return "an entry differs";
	for (i = 0; i < a->share_count; i++)
		if (a->shares[i].weight != b->shares[i].weight ||
		    strcmp(a->shares[i].service, b->shares[i].service) != 0)
			return "a share of an entry differs";
	return NULL;
}

static const char *compare_route(const json_t *route,
				 const dy_flow_rules_t *loaded,
				 const dy_flow_rules_t *whole)
{
	const char *host = json_string_value(json_object_get(route, "host"));
	const char *prefix =
		json_string_value(json_object_get(route, "pathPrefix"));
	struct in_addr ip;
	uint16_t port;

	inet_pton(AF_INET, host, &ip);
	port = (uint16_t)strtoul(prefix + 1, NULL, 10);
	return compare_entries(
		dy_flow_rules_find(loaded, ntohl(ip.s_addr), port),
		dy_flow_rules_find(whole, ntohl(ip.s_addr), port));
}

static const char *compare_service(const json_t *service,
				   const dy_flow_rules_t *loaded,
				   const dy_flow_rules_t *whole)
{
	const char *name = json_string_value(json_object_get(service, "name"));

	return dy_flow_rules_cold_openings(loaded, name) ==
			       dy_flow_rules_cold_openings(whole, name)
		       ? NULL
		       : "the rate of a cold target differs";
}

static const char *compare_rules(const char *text, size_t len,
				 const dy_flow_rules_t *loaded,
				 const dy_flow_rules_t *whole)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	const char *problem = NULL;
	const json_t *item;
	size_t i;

	if (dy_flow_rules_version(loaded) != dy_flow_rules_version(whole))
		problem = "the version differs";
	else if (dy_flow_rules_count(loaded) != dy_flow_rules_count(whole))
		problem = "the number of entries differs";
	json_array_foreach(json_object_get(root, "routes"), i,
			   item) if (!problem) problem =
		compare_route(item, loaded, whole);
	json_array_foreach(json_object_get(root, "services"), i,
			   item) if (!problem) problem =
		compare_service(item, loaded, whole);
	json_decref(root);
	return problem;
}

static const char *compare_results(const char *text, size_t len,
				   const dy_flow_rules_t *loaded,
				   const GError *loaded_error,
				   const dy_flow_rules_t *whole,
				   const GError *whole_error)
{
	if (!loaded != !whole)
		return "one of the two refuses the text";
	if (!loaded != !!loaded_error || !whole != !!whole_error)
		return "rules with an error, or neither";
	if (loaded)
		return compare_rules(text, len, loaded, whole);
	if (loaded_error->code != whole_error->code ||
	    strcmp(loaded_error->message, whole_error->message) != 0)
		return "the error differs";
	return NULL;
}

const char *fake_configuration_compare(platform_configuration_loader_t *loader,
				       const char *text, size_t len,
				       platform_load_t *load, int *accepted)
{
	GError *loaded_error = NULL;
	GError *whole_error = NULL;
	dy_flow_rules_t *loaded = platform_configuration_loader_load(
		loader, text, len, load, &loaded_error);
	dy_flow_rules_t *whole =
		platform_configuration_parse(text, len, &whole_error);
	const char *problem = compare_results(text, len, loaded, loaded_error,
					      whole, whole_error);

	if (accepted)
		*accepted = whole != NULL;
	dy_flow_rules_destroy(loaded);
	dy_flow_rules_destroy(whole);
	g_clear_error(&loaded_error);
	g_clear_error(&whole_error);
	return problem;
}
