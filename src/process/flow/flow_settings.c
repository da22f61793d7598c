#include "damaskyard/flow_settings.h"

#include <string.h>

#include "damaskyard/control.h"
#include "damaskyard/log.h"
#include "platform/contracts.h"

/*
 * Offsets from the setting inner-port. They differ so that several roles can
 * run on one VM.
 */
enum {
	PORT_OFFSET_CONTROL = 0,
	PORT_OFFSET_BALANCER = 1,
	PORT_OFFSET_AGENT = 2
};

/* Limit of factors and counts; far above any useful value. */
#define REAL_MAX 1e6

/* Default time limit of a planned stop, in seconds. */
#define DEFAULT_STOP_S 30

/* Bytes per second of a link of 1 Mbit/s. */
#define MBPS_BYTES 125000

/* Limit of losses: the group's slots must hold 2 * losses + 1 controls. */
#define LOSSES_MAX 7

typedef struct key {
	const char *group;
	const char *name;
	unsigned required_by; /* bits of the roles */
} flow_key_t;

#define BALANCER (1u << DY_FLOW_BALANCER)
#define AGENT (1u << DY_FLOW_AGENT)
#define CONTROL (1u << DY_FLOW_CONTROL)
#define ALL (BALANCER | AGENT | CONTROL)

static const flow_key_t keys[] = {
	{ "process", "name", ALL },
	{ "process", "failure-domain", ALL },
	{ "process", "data", CONTROL },
	{ "process", "first-start", 0 },
	{ "process", "log-level", 0 },
	{ "process", "stop-s", 0 },
	{ "process", "link-mbps", 0 },
	{ "listen", "packets", BALANCER | AGENT },
	{ "listen", "ready", BALANCER },
	{ "listen", "control", AGENT | CONTROL },
	{ "listen", "outbound", AGENT },
	{ "listen", "inner-port", ALL },
	{ "listen", "metrics-port", 0 },
	{ "target", "address", AGENT },
	{ "target", "service", AGENT },
	{ "target", "cold-overshoot", 0 },
	{ "target", "cold-slack", 0 },
	{ "openings", "wait-at", 0 },
	{ "platform", "contracts", 0 },
	{ "group", "seeds", ALL },
	{ "group", "key-file", 0 },
	{ "group", "losses", 0 },
	{ "group", "failure-domains", 0 },
};

static gboolean refuse(GError **error, const char *name, const char *value,
		       const char *expected)
{
	g_set_error(error, DY_SETTINGS_ERROR, DY_SETTINGS_ERROR_VALUE,
		    "%s: \"%s\" is not allowed: expected %s", name, value,
		    expected);
	return FALSE;
}

/*
 * Returns a value without surrounding spaces, to be freed, or NULL if it is
 * empty or missing.
 */
static char *load_text(GKeyFile *file, const char *group, const char *name)
{
	char *text = g_key_file_get_string(file, group, name, NULL);

	if (text && *g_strstrip(text))
		return text;
	g_free(text);
	return NULL;
}

static gboolean load_address(GKeyFile *file, const char *group,
			     const char *name, dy_address_t *address,
			     GError **error)
{
	char *text = load_text(file, group, name);
	gboolean ok = TRUE;

	if (text && (dy_address_parse(text, address) || !address->port))
		ok = refuse(error, name, text, "IP:PORT");
	g_free(text);
	return ok;
}

typedef struct range {
	uint64_t default_value;
	uint64_t min;
	uint64_t max;
} range_t;

static const range_t port_range = { 0, 1, UINT16_MAX - 3 };
/* 0: counters are not served. */
static const range_t metrics_range = { 0, 0, UINT16_MAX };
static const range_t stop_range = { DEFAULT_STOP_S, 1, 3600 };
/* 0 is the default; a platform that tolerates no loss may also write it. */
static const range_t losses_range = { 0, 0, LOSSES_MAX };

static gboolean load_number(GKeyFile *file, const char *group, const char *name,
			    const range_t *range, uint64_t *number,
			    GError **error)
{
	char *text = load_text(file, group, name);
	gboolean ok = TRUE;

	*number = range->default_value;
	if (text && !g_ascii_string_to_unsigned(text, 10, range->min,
						range->max, number, NULL))
		ok = refuse(error, name, text, "an integer in its range");
	g_free(text);
	return ok;
}

/* Read a number of min or more; *value stays if the key is missing. */
static gboolean load_real(GKeyFile *file, const char *group, const char *name,
			  double min, double *value, GError **error)
{
	char *text = load_text(file, group, name);
	gboolean ok = TRUE;
	char *end;

	if (text) {
		*value = g_ascii_strtod(text, &end);
		if (*end || !(*value >= min && *value <= REAL_MAX))
			ok = refuse(error, name, text, "a number in its range");
	}
	g_free(text);
	return ok;
}

static gboolean load_cold_limit(GKeyFile *file, dy_flow_settings_t *settings,
				GError **error)
{
	settings->cold_overshoot = 1;
	return load_real(file, "target", "cold-overshoot", 1,
			 &settings->cold_overshoot, error) &&
	       load_real(file, "target", "cold-slack", 0, &settings->cold_slack,
			 error);
}

static gboolean load_link(GKeyFile *file, dy_flow_settings_t *settings,
			  GError **error)
{
	double mbps = 0;

	if (!load_real(file, "process", "link-mbps", 0, &mbps, error))
		return FALSE;
	settings->link_bytes_per_s = (uint64_t)(mbps * MBPS_BYTES);
	return TRUE;
}

/*
 * Load where openings wait while all targets are at capacity. Without the
 * setting the platform's contracts decide.
 */
static gboolean load_wait_at(GKeyFile *file, dy_flow_settings_t *settings,
			     GError **error)
{
	char *contracts = load_text(file, "platform", "contracts");
	char *text = load_text(file, "openings", "wait-at");
	gboolean ok = TRUE;

	settings->wait_at_balancer =
		text ? !strcmp(text, "balancer")
		     : platform_contracts_name_pressure(contracts);
	if (text && !settings->wait_at_balancer && strcmp(text, "agent") != 0)
		ok = refuse(error, "wait-at", text, "agent or balancer");
	g_free(contracts);
	g_free(text);
	return ok;
}

/*
 * Add the addresses of a list to seeds, with another port. Returns the number
 * of entries that were left out, as they are malformed or too many.
 */
static unsigned add_seeds(const char *text, uint16_t port,
			  dy_address_list_t *seeds)
{
	char **parts = g_strsplit(text, ",", -1);
	unsigned skipped = 0;
	dy_address_t seed;
	int i;

	for (i = 0; parts[i]; i++) {
		if (seeds->count == DY_SETTING_ADDRESSES_MAX ||
		    dy_address_parse(g_strstrip(parts[i]), &seed)) {
			skipped++;
			continue;
		}
		seed.port = port;
		seeds->items[seeds->count++] = seed;
	}
	g_strfreev(parts);
	return skipped;
}

/*
 * Others keep the list of seeds. One damaged entry must not end every process
 * that reads it; at least one entry has to be valid.
 */
static gboolean load_seeds(GKeyFile *file, uint16_t port,
			   dy_address_list_t *seeds, unsigned *skipped,
			   GError **error)
{
	char *text = load_text(file, "group", "seeds");

	seeds->count = 0;
	*skipped = text ? add_seeds(text, port, seeds) : 0;
	if (!seeds->count)
		refuse(error, "seeds", text ? text : "", "IP:PORT,...");
	g_free(text);
	return seeds->count > 0;
}

/*
 * Load the group's key. Without a key file, messages are sealed under a public
 * key: that detects corruption and messages of other protocols, but does not
 * authenticate the sender. The network must then keep other senders out.
 */
static gboolean load_secrets(GKeyFile *file, dy_secrets_t *secrets,
			     GError **error)
{
	static const char label[DY_SECRET_BYTES] = "damaskyard without a key";
	char *path = load_text(file, "group", "key-file");
	gboolean ok = TRUE;

	if (path) {
		ok = dy_secrets_load(secrets, path, error);
		g_free(path);
		return ok;
	}
	secrets->count = 1;
	memcpy(secrets->secrets[0], label, sizeof(label));
	return TRUE;
}

/* Returns the listed failure domains, to be freed, or NULL without any. */
static char **load_domains(GKeyFile *file)
{
	char *text = load_text(file, "group", "failure-domains");
	char **domains;

	if (!text)
		return NULL;
	domains = g_strsplit(text, ",", -1);
	g_free(text);
	return domains;
}

static gboolean check_required(GKeyFile *file, dy_flow_role_t role,
			       GError **error)
{
	gboolean ok = TRUE;
	char *text;
	size_t i;

	for (i = 0; ok && i < G_N_ELEMENTS(keys); i++) {
		if (!(keys[i].required_by & 1u << role))
			continue;
		text = load_text(file, keys[i].group, keys[i].name);
		if (!text)
			ok = refuse(error, keys[i].name, "", "a value");
		g_free(text);
	}
	return ok;
}

static int is_known(const char *group, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(keys); i++)
		if (!strcmp(keys[i].group, group) &&
		    !strcmp(keys[i].name, name))
			return 1;
	return 0;
}

static void log_unknown(GKeyFile *file)
{
	char **groups = g_key_file_get_groups(file, NULL);
	char **names;
	int i;
	int j;

	for (i = 0; groups[i]; i++) {
		names = g_key_file_get_keys(file, groups[i], NULL, NULL);
		for (j = 0; names && names[j]; j++)
			if (!is_known(groups[i], names[j]))
				dy_log_event(DY_LOG_WARN, "setting_unknown",
					     "group=%s key=%s",
					     dy_log_quote(groups[i]),
					     dy_log_quote(names[j]));
		g_strfreev(names);
	}
	g_strfreev(groups);
}

static gboolean load_listen(GKeyFile *file, dy_flow_settings_t *settings,
			    dy_flow_role_t role, GError **error)
{
	static const uint16_t offsets[] = { PORT_OFFSET_BALANCER,
					    PORT_OFFSET_AGENT,
					    PORT_OFFSET_CONTROL };
	uint64_t metrics_port;
	uint64_t port;

	if (!load_address(file, "listen", "packets", &settings->packets,
			  error) ||
	    !load_address(file, "listen", "ready", &settings->ready, error) ||
	    !load_address(file, "listen", "control", &settings->control,
			  error) ||
	    !load_address(file, "listen", "outbound", &settings->outbound,
			  error) ||
	    !load_number(file, "listen", "inner-port", &port_range, &port,
			 error) ||
	    !load_number(file, "listen", "metrics-port", &metrics_range,
			 &metrics_port, error))
		return FALSE;
	settings->control_port = (uint16_t)port;
	settings->inner =
		role == DY_FLOW_CONTROL ? settings->control : settings->packets;
	settings->inner.port = (u_int)port + offsets[role];
	settings->metrics = settings->inner;
	settings->metrics.port = (u_int)metrics_port;
	return TRUE;
}

static gboolean load_file(GKeyFile *file, dy_flow_settings_t *settings,
			  dy_flow_role_t role, GError **error)
{
	unsigned skipped;
	uint64_t losses;
	uint64_t stop_s;

	if (!check_required(file, role, error) ||
	    !load_listen(file, settings, role, error) ||
	    !load_address(file, "target", "address", &settings->target,
			  error) ||
	    !load_number(file, "process", "stop-s", &stop_range, &stop_s,
			 error) ||
	    !load_number(file, "group", "losses", &losses_range, &losses,
			 error) ||
	    !load_link(file, settings, error) ||
	    !load_wait_at(file, settings, error) ||
	    !load_cold_limit(file, settings, error) ||
	    !load_seeds(file, settings->control_port, &settings->seeds,
			&skipped, error) ||
	    !load_secrets(file, &settings->secrets, error))
		return FALSE;
	settings->losses = (unsigned)losses;
	settings->stop_ms = stop_s * 1000;
	settings->name = load_text(file, "process", "name");
	settings->domain = load_text(file, "process", "failure-domain");
	settings->data = load_text(file, "process", "data");
	settings->service = load_text(file, "target", "service");
	settings->domains = load_domains(file);
	settings->first_start =
		g_key_file_get_boolean(file, "process", "first-start", NULL);
	settings->log_level = load_text(file, "process", "log-level");
	if (!settings->log_level)
		settings->log_level = g_strdup("info");
	log_unknown(file);
	if (skipped)
		dy_log_event(DY_LOG_WARN, "seeds_skipped",
			     "count=%d skipped=%u", settings->seeds.count,
			     skipped);
	return TRUE;
}

gboolean dy_flow_settings_load(dy_flow_settings_t *settings, const char *path,
			       dy_flow_role_t role, GError **error)
{
	GKeyFile *file = g_key_file_new();
	gboolean ok;

	memset(settings, 0, sizeof(*settings));
	ok = g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, error) &&
	     load_file(file, settings, role, error);
	g_key_file_free(file);
	return ok;
}

void dy_flow_settings_clear(dy_flow_settings_t *settings)
{
	g_free(settings->name);
	g_free(settings->domain);
	g_free(settings->data);
	g_free(settings->service);
	g_strfreev(settings->domains);
	g_free(settings->log_level);
	memset(settings, 0, sizeof(*settings));
}

gboolean dy_flow_settings_reload_seeds(dy_flow_settings_t *settings,
				       const char *path)
{
	GKeyFile *file = g_key_file_new();
	dy_address_list_t seeds = { 0 };
	gboolean changed = FALSE;
	unsigned skipped = 0;
	GError *error = NULL;

	if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error) ||
	    !load_seeds(file, settings->control_port, &seeds, &skipped,
			&error)) {
		dy_log_event(DY_LOG_WARN, "settings_refused", "error=%s",
			     dy_log_quote(error->message));
		g_error_free(error);
	} else if (memcmp(&seeds, &settings->seeds, sizeof(seeds)) != 0) {
		settings->seeds = seeds;
		changed = TRUE;
		dy_log_event(DY_LOG_INFO, "seeds_changed",
			     "count=%d skipped=%u", seeds.count, skipped);
	}
	g_key_file_free(file);
	return changed;
}
