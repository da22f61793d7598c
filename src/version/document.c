#include "damaskyard/document.h"

#include <stdlib.h>
#include <string.h>

#include "damaskyard/token.h"

#define SERVICE_PREFIX "service "
#define NAME_CHARACTERS "abcdefghijklmnopqrstuvwxyz0123456789._-"

struct dy_document {
	dy_priority_t weigh;
	GPtrArray *services;
	GHashTable *by_id;
};

/* The group being parsed. */
typedef struct parse {
	GKeyFile *file;
	const char *group;
	GError **error;
} parse_t;

GQuark dy_document_error_quark(void)
{
	return g_quark_from_static_string("dy-document-error");
}

static gboolean set_value_error(const parse_t *parse, dy_document_error_t code,
				const char *key, const char *value,
				const char *allowed)
{
	g_set_error(parse->error, DY_DOCUMENT_ERROR, code,
		    "[%s] %s = \"%s\" is not allowed: expected %s",
		    parse->group, key, value, allowed);
	return FALSE;
}

/* Returns the value, to be freed, or NULL if the key is missing. */
static char *find_value(const parse_t *parse, const char *key)
{
	char *value =
		g_key_file_get_value(parse->file, parse->group, key, NULL);

	return value ? g_strstrip(value) : NULL;
}

static gboolean load_number(const parse_t *parse, const char *key,
			    uint32_t default_value, uint32_t min, uint32_t *out)
{
	char *value = find_value(parse, key);
	gboolean hex;
	gboolean ok;
	guint64 number = default_value;

	if (!value) {
		*out = default_value;
		return TRUE;
	}
	hex = g_str_has_prefix(value, "0x");
	ok = g_ascii_string_to_unsigned(hex ? value + 2 : value, hex ? 16 : 10,
					min, G_MAXUINT32, &number, NULL);
	if (!ok)
		set_value_error(parse, DY_DOCUMENT_ERROR_VALUE, key, value,
				min ? "a whole number above 0"
				    : "a whole number");
	*out = (uint32_t)number;
	g_free(value);
	return ok;
}

static gboolean load_required(const parse_t *parse, const char *key,
			      uint32_t *out)
{
	if (g_key_file_has_key(parse->file, parse->group, key, NULL))
		return load_number(parse, key, 0, 1, out);
	g_set_error(parse->error, DY_DOCUMENT_ERROR, DY_DOCUMENT_ERROR_KEY,
		    "[%s] %s is missing", parse->group, key);
	return FALSE;
}

static gboolean load_address(const parse_t *parse, dy_service_t *service)
{
	char *value = find_value(parse, "address");
	gboolean ok;

	if (!value) {
		g_set_error(parse->error, DY_DOCUMENT_ERROR,
			    DY_DOCUMENT_ERROR_KEY, "[%s] address is missing",
			    parse->group);
		return FALSE;
	}
	ok = !dy_address_parse(value, &service->address);
	if (!ok)
		set_value_error(parse, DY_DOCUMENT_ERROR_VALUE, "address",
				value, "IP:PORT");
	g_free(value);
	return ok;
}

/* Loads a list of allowed words. Leaves *out as it is if there are none. */
static gboolean load_list(const parse_t *parse, const char *key,
			  gboolean (*is_allowed)(const char *word),
			  const char *allowed, char ***out)
{
	char **words;
	gsize count = 0;
	gsize i;

	words = g_key_file_get_string_list(parse->file, parse->group, key,
					   &count, NULL);
	if (!count) {
		g_strfreev(words);
		return TRUE;
	}
	for (i = 0; i < count; i++) {
		g_strstrip(words[i]);
		if (is_allowed(words[i]))
			continue;
		set_value_error(parse, DY_DOCUMENT_ERROR_VALUE, key, words[i],
				allowed);
		g_strfreev(words);
		return FALSE;
	}
	*out = words;
	return TRUE;
}

static gboolean is_name(const char *word)
{
	size_t len = strlen(word);

	return len && len < DY_NAME_BYTES &&
	       strspn(word, NAME_CHARACTERS) == len;
}

static gboolean is_label(const char *word)
{
	const char *equals = strchr(word, '=');

	return equals && equals != word && equals[1] && !strchr(word, ',') &&
	       strlen(word) < DY_LABELS_BYTES;
}

static gboolean is_procedure(const char *word)
{
	return g_ascii_string_to_unsigned(word, 10, 1, G_MAXUINT32, NULL, NULL);
}

static gboolean load_idempotent(const parse_t *parse, dy_service_t *service)
{
	char **words = NULL;
	unsigned i;

	if (!load_list(parse, "idempotent", is_procedure,
		       "procedure numbers above 0, with ;", &words))
		return FALSE;
	if (!words)
		return TRUE;
	service->idempotent_count = g_strv_length(words);
	service->idempotent = g_new(uint32_t, service->idempotent_count);
	for (i = 0; i < service->idempotent_count; i++)
		service->idempotent[i] =
			(uint32_t)g_ascii_strtoull(words[i], NULL, 10);
	g_strfreev(words);
	return TRUE;
}

static gboolean load_objective(const parse_t *parse, dy_service_t *service)
{
	char *value = find_value(parse, "objective");
	char *end = NULL;
	gboolean ok = TRUE;

	service->objective = DY_SERVICE_DEFAULT_OBJECTIVE_PERCENT;
	if (value) {
		service->objective = g_ascii_strtod(value, &end);
		ok = *value && !*end && service->objective > 0 &&
		     service->objective < 100;
		if (!ok)
			set_value_error(parse, DY_DOCUMENT_ERROR_VALUE,
					"objective", value,
					"a percentage above 0 and below 100");
		g_free(value);
	}
	return ok;
}

static gboolean load_targets(const parse_t *parse, dy_service_t *service)
{
	service->targets = find_value(parse, "targets");
	if (!service->targets)
		service->targets = g_strdup(service->name);
	if (!is_name(service->targets))
		return set_value_error(parse, DY_DOCUMENT_ERROR_VALUE,
				       "targets", service->targets,
				       "1 to 63 of a-z, 0-9, '.', '_', '-'");
	return load_list(parse, "labels", is_label, "key=value, with ;",
			 &service->labels) &&
	       load_list(parse, "domains", is_name,
			 "names of failure domains, with ;", &service->domains);
}

static gboolean load_limits(const parse_t *parse, dy_service_t *service)
{
	return load_number(parse, "slots", DY_SERVICE_DEFAULT_SLOTS, 1,
			   &service->slots) &&
	       load_number(parse, "connections", DY_SERVICE_DEFAULT_CONNECTIONS,
			   1, &service->connections) &&
	       load_number(parse, "queue", DY_SERVICE_DEFAULT_QUEUE, 0,
			   &service->queue) &&
	       load_number(parse, "deadline_ms", DY_SERVICE_DEFAULT_DEADLINE_MS,
			   1, &service->deadline_ms) &&
	       load_number(parse, "session_idle_s",
			   DY_SERVICE_DEFAULT_SESSION_IDLE_S, 1,
			   &service->session_idle_s);
}

static gboolean check_keys(const parse_t *parse, const char *const *known)
{
	char **keys;
	gboolean ok = TRUE;
	int i;

	keys = g_key_file_get_keys(parse->file, parse->group, NULL, NULL);
	for (i = 0; keys && keys[i]; i++) {
		if (g_strv_contains(known, keys[i]))
			continue;
		g_set_error(parse->error, DY_DOCUMENT_ERROR,
			    DY_DOCUMENT_ERROR_KEY, "[%s] %s is not a known key",
			    parse->group, keys[i]);
		ok = FALSE;
		break;
	}
	g_strfreev(keys);
	return ok;
}

static void destroy_service(gpointer data)
{
	dy_service_t *service = data;

	g_free(service->name);
	g_free(service->idempotent);
	g_free(service->targets);
	g_strfreev(service->labels);
	g_strfreev(service->domains);
	g_free(service);
}

static gboolean load_service(const parse_t *parse, dy_service_t *service)
{
	static const char *const known[] = {
		"address",     "program", "version",	 "idempotent",
		"targets",     "labels",  "domains",	 "slots",
		"connections", "queue",	  "deadline_ms", "session_idle_s",
		"objective",   NULL,
	};

	service->name =
		g_strstrip(g_strdup(parse->group + strlen(SERVICE_PREFIX)));
	service->id = dy_service_id(service->name);
	if (!is_name(service->name)) {
		g_set_error(parse->error, DY_DOCUMENT_ERROR,
			    DY_DOCUMENT_ERROR_VALUE,
			    "[%s]: a service's name is 1 to 63 of a-z, 0-9, "
			    "'.', '_', '-'",
			    parse->group);
		return FALSE;
	}
	return check_keys(parse, known) && load_address(parse, service) &&
	       load_required(parse, "program", &service->program) &&
	       load_required(parse, "version", &service->program_version) &&
	       load_idempotent(parse, service) &&
	       load_targets(parse, service) && load_limits(parse, service) &&
	       load_objective(parse, service);
}

static gboolean load_document_group(const parse_t *parse,
				    dy_document_t *document)
{
	static const char *const known[] = { "weigh", NULL };
	char *value;
	gboolean ok = TRUE;

	if (!check_keys(parse, known))
		return FALSE;
	value = find_value(parse, "weigh");
	if (!value || !strcmp(value, "broken_flows"))
		document->weigh = DY_PRIORITY_BROKEN_FLOWS;
	else if (!strcmp(value, "imbalance"))
		document->weigh = DY_PRIORITY_IMBALANCE;
	else
		ok = set_value_error(parse, DY_DOCUMENT_ERROR_VALUE, "weigh",
				     value, "broken_flows or imbalance");
	g_free(value);
	return ok;
}

static gboolean load_group(parse_t *parse, dy_document_t *document)
{
	dy_service_t *service;

	if (!strcmp(parse->group, "document"))
		return load_document_group(parse, document);
	if (!g_str_has_prefix(parse->group, SERVICE_PREFIX)) {
		g_set_error(parse->error, DY_DOCUMENT_ERROR,
			    DY_DOCUMENT_ERROR_KEY,
			    "[%s] is not a known group: expected [document] or "
			    "[service NAME]",
			    parse->group);
		return FALSE;
	}
	service = g_new0(dy_service_t, 1);
	g_ptr_array_add(document->services, service);
	if (!load_service(parse, service))
		return FALSE;
	if (g_hash_table_insert(document->by_id, &service->id, service))
		return TRUE;
	g_set_error(parse->error, DY_DOCUMENT_ERROR, DY_DOCUMENT_ERROR_CONFLICT,
		    "[%s]: its name has the identifier of another service; "
		    "choose another name",
		    parse->group);
	return FALSE;
}

static gboolean check_addresses(const dy_document_t *document, GError **error)
{
	char text[DY_ADDRESS_TEXT_BYTES];
	const dy_service_t *service;
	const dy_service_t *other;
	GHashTable *seen;
	char *key;
	guint i;

	seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (i = 0; i < document->services->len; i++) {
		service = g_ptr_array_index(document->services, i);
		dy_address_format(&service->address, text);
		other = g_hash_table_lookup(seen, text);
		if (other) {
			g_set_error(error, DY_DOCUMENT_ERROR,
				    DY_DOCUMENT_ERROR_CONFLICT,
				    "[service %s] address = %s is that of "
				    "[service %s] already",
				    service->name, text, other->name);
			break;
		}
		key = g_strdup(text);
		g_hash_table_insert(seen, key, (gpointer)service);
	}
	g_hash_table_destroy(seen);
	return i == document->services->len;
}

/* Counts the distinct keys of a group and the group's header line. */
static gsize count_lines(GKeyFile *file, const char *group)
{
	char **keys = g_key_file_get_keys(file, group, NULL, NULL);
	GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
	gsize lines;
	int i;

	for (i = 0; keys && keys[i]; i++)
		g_hash_table_add(set, keys[i]);
	lines = 1 + g_hash_table_size(set);
	g_hash_table_destroy(set);
	g_strfreev(keys);
	return lines;
}

/*
 * GKeyFile silently keeps the last of two equal keys and merges two groups of
 * one name, so a duplicate limit could take effect with the wrong value. Any
 * duplicate shows as a difference between the lines and the parsed keys.
 */
static gboolean check_duplicates(GKeyFile *file, const char *text,
				 GError **error)
{
	char **lines = g_strsplit(text, "\n", -1);
	char **groups = g_key_file_get_groups(file, NULL);
	gsize parsed = 0;
	gsize written = 0;
	int i;

	for (i = 0; groups[i]; i++)
		parsed += count_lines(file, groups[i]);
	for (i = 0; lines[i]; i++) {
		g_strstrip(lines[i]);
		if (*lines[i] && *lines[i] != '#')
			written++;
	}
	g_strfreev(groups);
	g_strfreev(lines);
	if (parsed == written)
		return TRUE;
	g_set_error(error, DY_DOCUMENT_ERROR, DY_DOCUMENT_ERROR_KEY,
		    "a group or key stands twice: %u lines, %u different ones",
		    (unsigned)written, (unsigned)parsed);
	return FALSE;
}

static gboolean load_groups(GKeyFile *file, dy_document_t *document,
			    GError **error)
{
	parse_t parse = { file, NULL, error };
	char **groups = g_key_file_get_groups(file, NULL);
	gboolean ok = TRUE;
	int i;

	for (i = 0; groups[i] && ok; i++) {
		parse.group = groups[i];
		ok = load_group(&parse, document);
	}
	g_strfreev(groups);
	if (ok && !document->services->len) {
		g_set_error(error, DY_DOCUMENT_ERROR, DY_DOCUMENT_ERROR_KEY,
			    "the document has no [service NAME]");
		ok = FALSE;
	}
	return ok && check_addresses(document, error);
}

static gboolean check_no_nul(const char *text, size_t len, GError **error)
{
	if (strlen(text) == len)
		return TRUE;
	g_set_error(error, DY_DOCUMENT_ERROR, DY_DOCUMENT_ERROR_SYNTAX,
		    "the document holds a NUL byte at offset %u",
		    (unsigned)strlen(text));
	return FALSE;
}

dy_document_t *dy_document_parse(const void *bytes, size_t len, GError **error)
{
	dy_document_t *document = g_new0(dy_document_t, 1);
	GKeyFile *file = g_key_file_new();
	char *text = g_strndup(bytes, len);
	gboolean ok;

	document->services = g_ptr_array_new_with_free_func(destroy_service);
	document->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ok = check_no_nul(text, len, error) &&
	     g_key_file_load_from_data(file, text, len, G_KEY_FILE_NONE,
				       error) &&
	     check_duplicates(file, text, error) &&
	     load_groups(file, document, error);
	g_key_file_free(file);
	g_free(text);
	if (ok)
		return document;
	dy_document_destroy(document);
	return NULL;
}

void dy_document_destroy(dy_document_t *document)
{
	if (!document)
		return;
	g_hash_table_destroy(document->by_id);
	g_ptr_array_free(document->services, TRUE);
	g_free(document);
}

dy_priority_t dy_document_priority(const dy_document_t *document)
{
	return document->weigh;
}

unsigned dy_document_service_count(const dy_document_t *document)
{
	return document->services->len;
}

const dy_service_t *dy_document_service(const dy_document_t *document,
					unsigned index)
{
	return g_ptr_array_index(document->services, index);
}

const dy_service_t *dy_document_find(const dy_document_t *document,
				     uint64_t service_id)
{
	return g_hash_table_lookup(document->by_id, &service_id);
}

void dy_document_digest(const void *bytes, size_t len,
			uint8_t digest[DY_DIGEST_BYTES])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize digest_len = DY_DIGEST_BYTES;

	g_checksum_update(checksum, bytes, (gssize)len);
	g_checksum_get_digest(checksum, digest, &digest_len);
	g_checksum_free(checksum);
}

const char *dy_digest_format(const void *digest,
			     char text[DY_DIGEST_TEXT_BYTES])
{
	const uint8_t *bytes = digest;
	int i;

	for (i = 0; i < DY_DIGEST_BYTES; i++)
		g_snprintf(text + 2 * i, 3, "%02x", bytes[i]);
	return text;
}

int dy_service_is_idempotent(const dy_service_t *service, uint32_t procedure)
{
	unsigned i;

	if (!procedure)
		return 1;
	for (i = 0; i < service->idempotent_count; i++)
		if (service->idempotent[i] == procedure)
			return 1;
	return 0;
}

static int has_labels(char **wanted, const char *announced)
{
	char **labels;
	int ok = 1;
	int i;

	if (!wanted)
		return 1;
	labels = g_strsplit(announced, ",", -1);
	for (i = 0; wanted[i] && ok; i++)
		ok = g_strv_contains((const char *const *)labels, wanted[i]);
	g_strfreev(labels);
	return ok;
}

int dy_service_accepts(const dy_service_t *service,
		       const dy_member_info_t *info)
{
	if (info->kind != DY_MEMBER_AGENT ||
	    strcmp(service->targets, info->service))
		return 0;
	if (service->domains &&
	    !g_strv_contains((const char *const *)service->domains,
			     info->domain))
		return 0;
	return has_labels(service->labels, info->labels);
}
