/*
 * Status lines of the services in force, each with the number of serving agents
 * that can accept its flows. A document may define a service before its targets
 * have announced themselves and is accepted without any; the number shows that.
 */

#include <string.h>

#include "control_private.h"

/*
 * The document in force in each environment, parsed once for all inspect calls.
 */
struct control_services {
	uint8_t digests[DY_ENVIRONMENTS][DY_DIGEST_BYTES];
	dy_document_t *documents[DY_ENVIRONMENTS];
};

control_services_t *control_services_create(void)
{
	return g_new0(control_services_t, 1);
}

void control_services_destroy(control_services_t *services)
{
	int i;

	if (!services)
		return;
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		dy_document_destroy(services->documents[i]);
	g_free(services);
}

static const dy_document_t *find_document(dy_control_t *control,
					  dy_environment_t environment)
{
	control_services_t *services = control->services;
	const dy_registry_document_t *document =
		dy_registry_document(control->registry, environment);
	const uint8_t *bytes;
	uint32_t len = 0;

	if (!document->number)
		return NULL;
	if (services->documents[environment] &&
	    !memcmp(services->digests[environment], document->digest,
		    DY_DIGEST_BYTES))
		return services->documents[environment];
	bytes = dy_registry_find_content(control->registry, document->digest,
					 &len);
	dy_document_destroy(services->documents[environment]);
	services->documents[environment] =
		bytes ? dy_document_parse(bytes, len, NULL) : NULL;
	memcpy(services->digests[environment], document->digest,
	       DY_DIGEST_BYTES);
	return services->documents[environment];
}

/* Targets of each service, counted in one pass over the members. */
typedef struct tally {
	const dy_registry_t *registry;
	dy_environment_t environment;
	GHashTable *by_targets; /* GPtrArray of services by announced name */
	GHashTable *counts;	/* number of targets by service */
} tally_t;

static void count_member(void *context, const dy_registry_member_t *member)
{
	tally_t *tally = context;
	dy_member_info_t info = { 0 };
	GPtrArray *services;
	gpointer service;
	guint count;
	guint i;

	if (member->environment != tally->environment ||
	    member->kind != DY_MEMBER_AGENT ||
	    member->state != DY_MEMBER_SERVING ||
	    dy_registry_is_evacuated(tally->registry, member->domain))
		return;
	services = g_hash_table_lookup(tally->by_targets, member->service);
	info.kind = DY_MEMBER_AGENT;
	info.service = member->service;
	info.labels = member->labels;
	info.domain = member->domain;
	for (i = 0; services && i < services->len; i++) {
		service = g_ptr_array_index(services, i);
		if (!dy_service_accepts(service, &info))
			continue;
		count = GPOINTER_TO_UINT(
			g_hash_table_lookup(tally->counts, service));
		g_hash_table_insert(tally->counts, service,
				    GUINT_TO_POINTER(count + 1));
	}
}

static void index_services(tally_t *tally, const dy_document_t *document)
{
	const dy_service_t *service;
	GPtrArray *same;
	unsigned i;

	for (i = 0; i < dy_document_service_count(document); i++) {
		service = dy_document_service(document, i);
		same = g_hash_table_lookup(tally->by_targets, service->targets);
		if (!same) {
			same = g_ptr_array_new();
			g_hash_table_insert(tally->by_targets, service->targets,
					    same);
		}
		g_ptr_array_add(same, (gpointer)service);
	}
}

static void add_lines(dy_status_page_t *page, const tally_t *tally,
		      const dy_document_t *document)
{
	char address[DY_ADDRESS_TEXT_BYTES];
	const dy_service_t *service;
	unsigned i;

	for (i = 0; i < dy_document_service_count(document); i++) {
		service = dy_document_service(document, i);
		if (!dy_status_page_begin_line(page))
			continue;
		dy_status_page_add(
			page,
			"service environment=%s name=%s address=%s "
			"targets=%u",
			dy_environment_name(tally->environment), service->name,
			dy_address_format(&service->address, address),
			GPOINTER_TO_UINT(
				g_hash_table_lookup(tally->counts, service)));
	}
}

void control_services_add(dy_control_t *control, dy_status_page_t *page)
{
	const dy_document_t *document;
	tally_t tally;
	int i;

	for (i = 0; i < DY_ENVIRONMENTS; i++) {
		document = find_document(control, (dy_environment_t)i);
		if (!document)
			continue;
		tally.registry = control->registry;
		tally.environment = (dy_environment_t)i;
		tally.by_targets = g_hash_table_new_full(
			g_str_hash, g_str_equal, NULL,
			(GDestroyNotify)g_ptr_array_unref);
		tally.counts = g_hash_table_new(NULL, NULL);
		index_services(&tally, document);
		dy_registry_each_member(control->registry, count_member,
					&tally);
		add_lines(page, &tally, document);
		g_hash_table_destroy(tally.by_targets);
		g_hash_table_destroy(tally.counts);
	}
}
