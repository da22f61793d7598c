/*
 * Parses any bytes as a document. An accepted document must satisfy the rules
 * of documents, and a rejected one must come with an error.
 */

#include <stdlib.h>
#include <string.h>

#include "damaskyard/document.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_service(const dy_document_t *document,
			  const dy_service_t *service)
{
	const dy_service_t *other;
	unsigned i;

	if (!service->slots || !service->connections || !service->program ||
	    !service->deadline_ms || service->objective <= 0 ||
	    service->objective >= 100)
		abort();
	if (dy_document_find(document, service->id) != service)
		abort();
	for (i = 0; i < dy_document_service_count(document); i++) {
		other = dy_document_service(document, i);
		if (other != service &&
		    dy_address_equal(&other->address, &service->address))
			abort();
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	dy_document_t *document;
	GError *error = NULL;
	unsigned i;

	document = dy_document_parse(data, size, &error);
	if (!document != !!error)
		abort();
	g_clear_error(&error);
	if (!document)
		return 0;
	for (i = 0; i < dy_document_service_count(document); i++)
		check_service(document, dy_document_service(document, i));
	dy_document_destroy(document);
	return 0;
}
