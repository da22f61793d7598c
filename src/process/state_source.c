#include "state_source.h"

#include <glib.h>

#include "damaskyard/document_pack.h"
#include "damaskyard/log.h"
#include "damaskyard/poll_pace.h"
#include "document_fetch.h"
#include "image_fetch.h"

struct state_source {
	const state_source_callbacks_t *callbacks;
	void *context;
	state_source_controls_t controls;
	uint32_t control_index; /* modulo the number of controls */
	int from_leader;	/* request documents from the leader */
	document_fetch_t *document;
	image_fetch_t *image;
	const char *environment; /* whose image is fetched */
	int image_begun;
};

static const dy_address_t *selected_control(const state_source_t *source)
{
	const dy_address_list_t *known = source->controls.learned;

	if (!known->count)
		known = source->controls.configured;
	return &known->items[source->control_index % (uint32_t)known->count];
}

static uint32_t send_page_request(state_source_t *source,
				  const dy_address_t *to, dy_fetch_t *request)
{
	return source->callbacks->send(source->context, to, DY_CONTROL_FETCH,
				       (xdrproc_t)xdr_dy_fetch_t, request);
}

/* Documents. */

static uint32_t request_document_page(void *context, dy_fetch_t *request)
{
	state_source_t *source = context;

	return send_page_request(source,
				 source->from_leader ? source->controls.leader
						     : selected_control(source),
				 request);
}

static void switch_document_control(void *context)
{
	state_source_t *source = context;

	source->from_leader = !source->from_leader;
	if (!source->from_leader)
		source->control_index++;
}

static void deliver_document(void *context, const dy_document_info_t *info,
			     const uint8_t *bytes, size_t len)
{
	state_source_t *source = context;

	source->callbacks->document(source->context, info, bytes, len);
}

static const document_fetch_callbacks_t document_callbacks = {
	request_document_page,
	switch_document_control,
	deliver_document,
};

/* Images. */

static uint32_t request_image_info(void *context)
{
	state_source_t *source = context;
	dy_image_ask_t ask = { (char *)source->environment };

	return source->callbacks->send(
		source->context, selected_control(source), DY_CONTROL_IMAGE,
		(xdrproc_t)xdr_dy_image_ask_t, &ask);
}

static uint32_t request_image_page(void *context, dy_fetch_t *request)
{
	state_source_t *source = context;

	return send_page_request(source, selected_control(source), request);
}

static void switch_image_control(void *context)
{
	((state_source_t *)context)->control_index++;
}

static int decode_image(void *context, const uint8_t *bytes, size_t len)
{
	state_source_t *source = context;
	GByteArray *plain = dy_document_unpack(bytes, len, DY_DOCUMENT_BYTES);
	dy_image_t image = { 0 };
	int ok = 0;
	XDR xdrs;

	if (plain) {
		xdrmem_create(&xdrs, (char *)plain->data, plain->len,
			      XDR_DECODE);
		ok = xdr_dy_image_t(&xdrs, &image);
		g_byte_array_unref(plain);
	}
	if (ok)
		source->callbacks->image(source->context, &image);
	xdr_free((xdrproc_t)xdr_dy_image_t, (char *)&image);
	return ok;
}

static const image_fetch_callbacks_t image_callbacks = {
	request_image_info,
	request_image_page,
	switch_image_control,
	decode_image,
};

state_source_t *state_source_create(const state_source_callbacks_t *callbacks,
				    void *context,
				    const state_source_controls_t *controls,
				    uint32_t control_index)
{
	state_source_t *source = g_new0(state_source_t, 1);

	source->callbacks = callbacks;
	source->context = context;
	source->controls = *controls;
	source->control_index = control_index;
	source->document = document_fetch_create(&document_callbacks, source);
	source->image = image_fetch_create(&image_callbacks, source);
	return source;
}

void state_source_destroy(state_source_t *source)
{
	if (!source)
		return;
	document_fetch_destroy(source->document);
	image_fetch_destroy(source->image);
	g_free(source);
}

void state_source_reset(state_source_t *source)
{
	document_fetch_reset(source->document);
	source->image_begun = 0;
	/* The last control may have sent an image that is too old. */
	source->control_index++;
}

void state_source_begin_document(state_source_t *source,
				 const dy_document_info_t *info,
				 uint64_t now_ms)
{
	document_fetch_begin(source->document, info, now_ms);
}

void state_source_begin_image(state_source_t *source, const char *environment,
			      uint64_t now_ms)
{
	if (source->image_begun)
		return;
	source->image_begun = 1;
	source->environment = environment;
	image_fetch_begin(source->image, now_ms);
}

int state_source_is_image_possible(const state_source_t *source)
{
	return !source->image_begun || image_fetch_is_active(source->image);
}

static void receive_page(state_source_t *source, const dy_sealed_t *message,
			 uint64_t now_ms)
{
	dy_fetch_result_t result;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_fetch_result_t, &result,
			    sizeof(result)))
		return;
	document_fetch_receive(source->document, message->xid, &result, now_ms);
	xdr_free((xdrproc_t)xdr_dy_fetch_result_t, (char *)&result);
}

int state_source_receive(state_source_t *source, const dy_sealed_t *message,
			 uint64_t now_ms)
{
	if (document_fetch_is_pending(source->document, message->xid))
		receive_page(source, message, now_ms);
	else if (image_fetch_is_pending(source->image, message->xid))
		image_fetch_receive(source->image, message, now_ms);
	else
		return 0;
	return 1;
}

int state_source_tick(state_source_t *source, uint64_t now_ms)
{
	int was_active = image_fetch_is_active(source->image);

	image_fetch_tick(source->image, now_ms);
	document_fetch_tick(source->document, now_ms, DY_POLL_TIMEOUT_MS);
	return was_active && !image_fetch_is_active(source->image);
}

uint64_t state_source_digest_mismatches(const state_source_t *source)
{
	return document_fetch_digest_mismatches(source->document);
}
