#ifndef DAMASKYARD_JSON_ELEMENTS_H
#define DAMASKYARD_JSON_ELEMENTS_H

/*
 * The elements of one array of a JSON text, as byte ranges. They are located
 * without parsing, and compared with those of the previous text.
 *
 * Load pattern: an operator changes a few entries of a document several times
 * a second, and sends all of it each time. To parse 2,000 entries takes a
 * process with a tenth of a core a tenth of a second, in which it does nothing
 * else. Equal bytes have equal meaning, so only new elements need be parsed.
 *
 * The caller must parse the rest of the text and each new element. If all of
 * them are valid JSON, the text is, and its array has these elements.
 */

#include <stddef.h>

/* Nesting of an element from which the text is refused. */
#define DY_JSON_ELEMENT_DEPTH_MAX 64

/* The origin of an element that the previous text does not have. */
#define DY_JSON_NO_ORIGIN (-1)

typedef struct dy_json_elements dy_json_elements_t;

/*
 * Copy len bytes of text, and locate the elements of the array that is the
 * value of the member key of the text's outermost object. previous are the
 * elements of an earlier text, or NULL; they are not kept. Returns NULL if the
 * array or the limits of its elements cannot be told for certain, which says
 * nothing of the text's validity: there is no such member, or its name has
 * escapes; an element is not an object, or nested too deeply; the text is
 * damaged, or larger than 1 GB.
 */
dy_json_elements_t *dy_json_elements_create(const char *text, size_t len,
					    const char *key,
					    const dy_json_elements_t *previous);

/* Free the elements and the copy of the text; NULL is allowed. */
void dy_json_elements_destroy(dy_json_elements_t *elements);

/* Return the number of elements. */
unsigned dy_json_elements_count(const dy_json_elements_t *elements);

/*
 * Return the bytes of an element, which the elements own, and their number in
 * len. index is below the count.
 */
const char *dy_json_elements_get(const dy_json_elements_t *elements,
				 unsigned index, size_t *len);

/*
 * Return the index of an element of the previous text that has the same bytes,
 * or DY_JSON_NO_ORIGIN. index is below the count.
 */
int dy_json_elements_origin(const dy_json_elements_t *elements, unsigned index);

/*
 * Return the text with the array emptied, to be freed with g_free(), and its
 * bytes in len.
 */
char *dy_json_elements_rest(const dy_json_elements_t *elements, size_t *len);

#endif
