/*
 * Images of the state, from which new members start.
 *
 * Load pattern: all balancers start at once, and each needs every agent's
 * record. Without images the leader encodes and seals all records for each
 * balancer, page by page, and the time to the first service grows with the
 * number of balancers times the number of agents. An image is encoded and
 * compressed once for all members, and any control can send it, so the leader
 * is asked only for a confirmation.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/document_pack.h"

/*
 * Time to live of an image while the state changes: the leader's poll answers
 * continue from the image's version, and creating an image costs as much as
 * some tens of these answers.
 */
#define IMAGE_TTL_MS 100

/* The newest image and the one before, whose pages members still request. */
#define CACHED_IMAGES 2

typedef struct image {
	uint64_t version; /* 0: none */
	uint64_t created_ms;
	uint8_t digest[DY_DIGEST_BYTES];
	GByteArray *bytes;
} image_t;

struct control_images {
	dy_control_t *control;
	image_t cache[DY_ENVIRONMENTS][CACHED_IMAGES]; /* newest first */
};

control_images_t *control_images_create(dy_control_t *control)
{
	control_images_t *images = g_new0(control_images_t, 1);

	images->control = control;
	return images;
}

static void clear_image(image_t *image)
{
	if (image->bytes)
		g_byte_array_unref(image->bytes);
	memset(image, 0, sizeof(*image));
}

void control_images_destroy(control_images_t *images)
{
	int i;
	int k;

	if (!images)
		return;
	for (i = 0; i < DY_ENVIRONMENTS; i++)
		for (k = 0; k < CACHED_IMAGES; k++)
			clear_image(&images->cache[i][k]);
	g_free(images);
}

/* Returns NULL if the state is larger than DY_DOCUMENT_BYTES. */
static GByteArray *pack_state(dy_control_t *control,
			      dy_environment_t environment, uint64_t version)
{
	GArray *deltas = g_array_new(FALSE, FALSE, sizeof(dy_delta_t));
	dy_image_t image = { .state_version = version };
	GByteArray *packed = NULL;
	unsigned long size;
	char *plain;
	XDR xdrs;

	dy_registry_fill_image(control->registry, environment, deltas);
	image.deltas.deltas_len = deltas->len;
	image.deltas.deltas_val = (dy_delta_t *)(void *)deltas->data;
	size = xdr_sizeof((xdrproc_t)xdr_dy_image_t, &image);
	if (size <= DY_DOCUMENT_BYTES) {
		plain = g_malloc(size);
		xdrmem_create(&xdrs, plain, (u_int)size, XDR_ENCODE);
		if (xdr_dy_image_t(&xdrs, &image))
			packed = dy_document_pack(plain, size);
		g_free(plain);
	}
	g_array_free(deltas, TRUE);
	return packed;
}

static void create_image(control_images_t *images, dy_environment_t environment)
{
	dy_control_t *control = images->control;
	uint64_t version = dy_registry_index(control->registry);
	GByteArray *bytes = pack_state(control, environment, version);
	image_t *cache = images->cache[environment];

	if (!bytes)
		return;
	clear_image(&cache[CACHED_IMAGES - 1]);
	memmove(&cache[1], &cache[0], (CACHED_IMAGES - 1) * sizeof(*cache));
	cache[0].version = version;
	cache[0].created_ms = control_now_ms(control);
	cache[0].bytes = bytes;
	dy_document_digest(bytes->data, bytes->len, cache[0].digest);
	++*control->counters.images;
}

/*
 * A control that has just started cannot tell yet how much of its log is
 * committed. An image of it would be old and followed by many deltas.
 */
static const image_t *find_current(control_images_t *images,
				   dy_environment_t environment)
{
	dy_control_t *control = images->control;
	const image_t *newest = &images->cache[environment][0];

	if (!dy_raft_is_current(control->raft))
		return NULL;
	if (!newest->version ||
	    (newest->version != dy_registry_index(control->registry) &&
	     control_now_ms(control) - newest->created_ms >= IMAGE_TTL_MS))
		create_image(images, environment);
	return newest->version ? newest : NULL;
}

static void fill_result(control_images_t *images, const dy_image_ask_t *request,
			dy_image_result_t *result)
{
	int environment = dy_environment_find(request->environment);
	const image_t *image;

	result->status = DY_STATUS_UNAVAILABLE;
	result->info.environment = request->environment;
	if (environment < 0)
		return;
	image = find_current(images, (dy_environment_t)environment);
	if (!image)
		return;
	result->status = DY_STATUS_OK;
	result->info.number = image->version;
	result->info.size = image->bytes->len;
	memcpy(result->info.digest, image->digest, DY_DIGEST_BYTES);
}

void control_images_answer(control_images_t *images, const dy_sealed_t *message,
			   const struct sockaddr *from)
{
	dy_control_t *control = images->control;
	dy_image_result_t result = { 0 };
	dy_image_ask_t request;

	++*control->counters.image_requests;
	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_image_ask_t, &request,
			    sizeof(request))) {
		control_count_malformed(control, message->procedure);
		return;
	}
	fill_result(images, &request, &result);
	control_answer(control, from, message->xid,
		       (xdrproc_t)xdr_dy_image_result_t, &result);
	xdr_free((xdrproc_t)xdr_dy_image_ask_t, (char *)&request);
}

const uint8_t *control_images_find(const control_images_t *images,
				   const void *digest, uint32_t *len)
{
	const image_t *image;
	int i;
	int k;

	for (i = 0; i < DY_ENVIRONMENTS; i++)
		for (k = 0; k < CACHED_IMAGES; k++) {
			image = &images->cache[i][k];
			if (!image->version ||
			    memcmp(image->digest, digest, DY_DIGEST_BYTES) != 0)
				continue;
			*len = image->bytes->len;
			return image->bytes->data;
		}
	return NULL;
}
