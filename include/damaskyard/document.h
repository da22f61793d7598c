#ifndef DAMASKYARD_DOCUMENT_H
#define DAMASKYARD_DOCUMENT_H

/*
 * Parser of the document that configures one environment: its services, and
 * which targets may serve each of them.
 *
 * A document is a GLib key file. Lists are separated by semicolons:
 *
 *	[document]
 *	weigh = broken_flows		; or imbalance
 *
 *	[service readings]
 *	address = 10.20.0.1:4000	; destination address of callers
 *	program = 0x2A000001		; ONC RPC program and version
 *	version = 1
 *	idempotent = 2			; list of idempotent procedures
 *	targets = readings		; service name that targets announce
 *	labels = tier=gold		; list of labels they must announce
 *	domains = d1;d2;d3		; list of allowed failure domains
 *	slots = 7			; concurrent calls per target
 *	connections = 2000		; sessions per target
 *	queue = 64			; queued calls per target
 *	deadline_ms = 2000		; deadline of a call
 *	session_idle_s = 14400		; idle timeout of a session
 *	objective = 99.9		; percent of calls answered in time
 *
 * address, program and version are required. The other keys have the defaults
 * below. An unknown key, a duplicate key and a value out of range are errors,
 * so that a misspelt limit does not pass unnoticed.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "dy_control.h"

/* Defaults of a service's keys. */
#define DY_SERVICE_DEFAULT_SLOTS 4
#define DY_SERVICE_DEFAULT_CONNECTIONS 2000
#define DY_SERVICE_DEFAULT_QUEUE 64
#define DY_SERVICE_DEFAULT_DEADLINE_MS 2000
/* Stations send readings all night; one that is silent for 4 h has gone. */
#define DY_SERVICE_DEFAULT_SESSION_IDLE_S 14400
#define DY_SERVICE_DEFAULT_OBJECTIVE_PERCENT 99.9

/* What target selection avoids first; the key "weigh" of [document]. */
typedef enum dy_priority {
	DY_PRIORITY_BROKEN_FLOWS, /* default */
	DY_PRIORITY_IMBALANCE
} dy_priority_t;

typedef struct dy_service {
	char *name;
	uint64_t id; /* dy_service_id(name) */
	dy_address_t address;
	uint32_t program;
	uint32_t program_version;
	uint32_t *idempotent; /* procedure numbers */
	unsigned idempotent_count;
	char *targets;	/* service name that targets announce */
	char **labels;	/* "key=value", NULL-terminated; NULL: any */
	char **domains; /* NULL-terminated; NULL: any */
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	uint32_t deadline_ms;
	uint32_t session_idle_s;
	double objective; /* percent */
} dy_service_t;

typedef struct dy_document dy_document_t;

typedef enum dy_document_error {
	DY_DOCUMENT_ERROR_SYNTAX,
	DY_DOCUMENT_ERROR_KEY,	   /* unknown, missing or duplicate */
	DY_DOCUMENT_ERROR_VALUE,   /* out of range or malformed */
	DY_DOCUMENT_ERROR_CONFLICT /* two services share an address or id */
} dy_document_error_t;

#define DY_DOCUMENT_ERROR (dy_document_error_quark())
GQuark dy_document_error_quark(void);

/*
 * Parse a document of len bytes. Returns a document to be freed with
 * dy_document_destroy(), or NULL with error set: a dy_document_error_t or a
 * GKeyFileError. The message names the group, the key, the value and what is
 * allowed.
 */
dy_document_t *dy_document_parse(const void *bytes, size_t len, GError **error);

/* Free a document and its services. NULL is allowed. */
void dy_document_destroy(dy_document_t *document);

/* Returns the value of the key "weigh". */
dy_priority_t dy_document_priority(const dy_document_t *document);

/* Returns the number of services. */
unsigned dy_document_service_count(const dy_document_t *document);

/*
 * Returns the service at index, in the order of the document; index must be
 * below dy_document_service_count(). The document owns it.
 */
const dy_service_t *dy_document_service(const dy_document_t *document,
					unsigned index);

/* Find a service by its id. Returns NULL if there is none. */
const dy_service_t *dy_document_find(const dy_document_t *document,
				     uint64_t service_id);

/* Compute the SHA-256 digest that identifies a document of len bytes. */
void dy_document_digest(const void *bytes, size_t len,
			uint8_t digest[DY_DIGEST_BYTES]);

/* Format a digest as 64 hexadecimal digits. Returns text. */
#define DY_DIGEST_TEXT_BYTES (2 * DY_DIGEST_BYTES + 1)
const char *dy_digest_format(const void *digest,
			     char text[DY_DIGEST_TEXT_BYTES]);

/*
 * Returns whether a procedure is idempotent, so that a call may run more than
 * once. Procedure 0 (NULL) always is.
 */
int dy_service_is_idempotent(const dy_service_t *service, uint32_t procedure);

/*
 * Returns whether a member may serve the service: it is an agent, and the
 * service name, every label and the failure domain match.
 */
int dy_service_accepts(const dy_service_t *service,
		       const dy_member_info_t *info);

#endif
