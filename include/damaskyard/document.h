#ifndef DAMASKYARD_DOCUMENT_H
#define DAMASKYARD_DOCUMENT_H

/*
 * The document: what one environment offers, and which targets may serve it.
 *
 * A GLib key file:
 *
 *	[document]
 *	weigh = broken_flows		; or imbalance
 *
 *	[service readings]
 *	address = 10.20.0.1:4000	; where callers send
 *	program = 0x2A000001		; ONC RPC program and version
 *	version = 1
 *	idempotent = 2			; procedures that may run again, with ;
 *	targets = readings		; service name that a target announces
 *	labels = tier=gold		; labels it must announce, with ;
 *	domains = d1;d2;d3		; failure domains it may stand in
 *	slots = 7			; calls at once, of each target
 *	connections = 2000		; sessions, of each target
 *	queue = 64			; calls waiting, of each target
 *	deadline_ms = 2000		; of a call
 *	session_idle_s = 14400		; a session idle for longer is closed
 *	objective = 99.9		; percent of calls answered in time
 *
 * address, program and version must stand; the rest has the fallbacks of
 * the constants below. A key that is not known, that stands twice or whose
 * value is not allowed is refused: a misspelt limit must not pass unnoticed.
 */

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "damaskyard/address.h"
#include "dy_control.h"

#define DY_SERVICE_DEFAULT_SLOTS 4
#define DY_SERVICE_DEFAULT_CONNECTIONS 2000
#define DY_SERVICE_DEFAULT_QUEUE 64
#define DY_SERVICE_DEFAULT_DEADLINE_MS 2000
/* Stations stream all night: 4 h without one reading is a station gone. */
#define DY_SERVICE_DEFAULT_SESSION_IDLE_S 14400
#define DY_SERVICE_DEFAULT_OBJECTIVE_PERCENT 99.9

typedef enum dy_priority {
	DY_PRIORITY_BROKEN_FLOWS, /* keep flows whole first */
	DY_PRIORITY_IMBALANCE	  /* keep targets even first */
} dy_priority_t;

typedef struct dy_service {
	char *name;
	uint64_t id; /* dy_service_id(name) */
	dy_address_t address;
	uint32_t program;
	uint32_t program_version;
	uint32_t *idempotent;
	unsigned idempotent_count;
	char *targets;
	char **labels;	/* "key=value", NULL-ended; NULL: any */
	char **domains; /* NULL-ended; NULL: any */
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	uint32_t deadline_ms;
	uint32_t session_idle_s;
	double objective;
} dy_service_t;

typedef struct dy_document dy_document_t;

typedef enum dy_document_error {
	DY_DOCUMENT_ERROR_SYNTAX,
	DY_DOCUMENT_ERROR_KEY,	   /* unknown, missing or twice */
	DY_DOCUMENT_ERROR_VALUE,   /* not allowed */
	DY_DOCUMENT_ERROR_CONFLICT /* two services with one address or id */
} dy_document_error_t;

#define DY_DOCUMENT_ERROR (dy_document_error_quark())
GQuark dy_document_error_quark(void);

/*
 * Parse a document of len bytes. Returns NULL with error set, naming group,
 * key, value and what is allowed. Destroy what it returns.
 */
dy_document_t *dy_document_parse(const void *bytes, size_t len, GError **error);
void dy_document_destroy(dy_document_t *document);

dy_priority_t dy_document_priority(const dy_document_t *document);

/* Services stand in the document's order; they live as long as it does. */
unsigned dy_document_service_count(const dy_document_t *document);
const dy_service_t *dy_document_service(const dy_document_t *document,
					unsigned index);

/* Find a service by its id. Returns NULL if there is none. */
const dy_service_t *dy_document_find(const dy_document_t *document,
				     uint64_t service_id);

/* The digest that names a document, SHA-256 of its bytes. */
void dy_document_digest(const void *bytes, size_t len,
			uint8_t digest[DY_DIGEST_BYTES]);

/* Write a digest as 64 hexadecimal digits into text, which is returned. */
#define DY_DIGEST_TEXT_BYTES (2 * DY_DIGEST_BYTES + 1)
const char *dy_digest_format(const void *digest,
			     char text[DY_DIGEST_TEXT_BYTES]);

/* Whether a procedure may run again without harm; NULL (0) always may. */
int dy_service_is_idempotent(const dy_service_t *service, uint32_t procedure);

/*
 * Whether a target that announces this may serve the service: the service
 * name, every label and the failure domain must fit.
 */
int dy_service_accepts(const dy_service_t *service,
		       const dy_member_info_t *info);

#endif
