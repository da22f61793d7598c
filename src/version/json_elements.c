#include "damaskyard/json_elements.h"

#include <stdint.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* Limit of a text, so that offsets and indices fit 32 bits. */
#define TEXT_MAX_BYTES (1U << 30)

/* Elements for which there is room at first. */
#define FIRST_CAPACITY 64

typedef struct element {
	uint32_t offset;
	uint32_t len;
	uint64_t hash; /* of the bytes */
	int32_t origin;
} element_t;

struct dy_json_elements {
	char *text;
	size_t len;
	uint32_t array;	    /* offset behind the opening bracket */
	uint32_t array_end; /* offset of the closing bracket */
	GArray *items;	    /* of element_t */
	uint32_t *slots;    /* open addressing by hash: index + 1; 0: free */
	uint32_t slot_mask;
};

/* A position in the text. end is not read. */
typedef struct cursor {
	const char *at;
	const char *end;
} cursor_t;

static int is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static void skip_space(cursor_t *cursor)
{
	while (cursor->at < cursor->end && is_space(*cursor->at))
		cursor->at++;
}

/* Skip spaces, then c. Returns 0 if something else follows. */
static int skip_char(cursor_t *cursor, char c)
{
	skip_space(cursor);
	if (cursor->at == cursor->end || *cursor->at != c)
		return 0;
	cursor->at++;
	return 1;
}

static int is_escaped(const char *quote)
{
	const char *at = quote;

	while (at[-1] == '\\')
		at--;
	return (quote - at) % 2;
}

/* Skip a string whose opening quote is at the cursor. Returns 0 if it is open.
 */
static int skip_string(cursor_t *cursor)
{
	const char *quote = cursor->at;

	do {
		quote++;
		quote = memchr(quote, '"', (size_t)(cursor->end - quote));
	} while (quote && is_escaped(quote));
	if (!quote)
		return 0;
	cursor->at = quote + 1;
	return 1;
}

/*
 * Skip an object or array whose opening bracket is at the cursor. Brackets are
 * counted, but not matched by kind: the caller parses what was skipped.
 */
static int skip_nested(cursor_t *cursor)
{
	unsigned depth = 0;

	while (cursor->at < cursor->end) {
		switch (*cursor->at) {
		case '"':
			if (!skip_string(cursor))
				return 0;
			continue;
		case '{':
		case '[':
			if (++depth > DY_JSON_ELEMENT_DEPTH_MAX)
				return 0;
			break;
		case '}':
		case ']':
			depth--;
			break;
		default:
			break;
		}
		cursor->at++;
		if (!depth)
			return 1;
	}
	return 0;
}

static int skip_scalar(cursor_t *cursor)
{
	while (cursor->at < cursor->end && *cursor->at != ',' &&
	       *cursor->at != '}')
		cursor->at++;
	return 1;
}

static int skip_value(cursor_t *cursor)
{
	skip_space(cursor);
	if (cursor->at == cursor->end)
		return 0;
	if (*cursor->at == '"')
		return skip_string(cursor);
	if (*cursor->at == '{' || *cursor->at == '[')
		return skip_nested(cursor);
	return skip_scalar(cursor);
}

/* Skip the name of a member and the colon. Returns -1 if there is none. */
static int skip_name(cursor_t *cursor, const char *key)
{
	size_t len = strlen(key);
	const char *quote;
	int is_key;

	skip_space(cursor);
	quote = cursor->at;
	if (quote == cursor->end || *quote != '"' || !skip_string(cursor))
		return -1;
	is_key = (size_t)(cursor->at - quote) == len + 2 &&
		 !memcmp(quote + 1, key, len);
	return skip_char(cursor, ':') ? is_key : -1;
}

/* Place the cursor behind the bracket that opens the array of key. */
static int find_array(cursor_t *cursor, const char *key)
{
	int is_key;

	if (!skip_char(cursor, '{'))
		return 0;
	for (;;) {
		is_key = skip_name(cursor, key);
		if (is_key < 0)
			return 0;
		if (is_key)
			return skip_char(cursor, '[');
		if (!skip_value(cursor) || !skip_char(cursor, ','))
			return 0;
	}
}

static element_t *get_item(const dy_json_elements_t *elements, unsigned index)
{
	return &g_array_index(elements->items, element_t, index);
}

static int is_at(const dy_json_elements_t *elements, const element_t *item,
		 const cursor_t *cursor)
{
	return item->len <= (size_t)(cursor->end - cursor->at) &&
	       !memcmp(elements->text + item->offset, cursor->at, item->len);
}

static int find_equal(const dy_json_elements_t *elements, const element_t *item,
		      const char *bytes)
{
	const element_t *other;
	uint32_t slot;

	for (slot = (uint32_t)item->hash & elements->slot_mask;
	     elements->slots[slot]; slot = (slot + 1) & elements->slot_mask) {
		other = get_item(elements, elements->slots[slot] - 1);
		if (other->hash == item->hash && other->len == item->len &&
		    !memcmp(elements->text + other->offset, bytes, item->len))
			return (int)(elements->slots[slot] - 1);
	}
	return DY_JSON_NO_ORIGIN;
}

/*
 * Locate the element at the cursor. Mostly it is the one that follows the last
 * one in the previous text too. An object's bytes are never the beginning of
 * another object's, so equal bytes there are all of the element.
 */
static int read_element(cursor_t *cursor, const dy_json_elements_t *previous,
			unsigned next, element_t *item)
{
	const char *start = cursor->at;

	item->origin = DY_JSON_NO_ORIGIN;
	if (previous && next < previous->items->len &&
	    is_at(previous, get_item(previous, next), cursor)) {
		*item = *get_item(previous, next);
		item->origin = (int32_t)next;
		cursor->at += item->len;
		return 1;
	}
	if (cursor->at == cursor->end || *cursor->at != '{' ||
	    !skip_nested(cursor))
		return 0;
	item->len = (uint32_t)(cursor->at - start);
	item->hash = XXH3_64bits(start, item->len);
	if (previous)
		item->origin = find_equal(previous, item, start);
	return 1;
}

/* Locate all elements; the cursor is behind the opening bracket. */
static int read_elements(dy_json_elements_t *elements, cursor_t *cursor,
			 const dy_json_elements_t *previous)
{
	element_t item = { 0 };
	unsigned next = 0;

	if (skip_char(cursor, ']'))
		return 1;
	do {
		skip_space(cursor);
		if (!read_element(cursor, previous, next, &item))
			return 0;
		item.offset =
			(uint32_t)(cursor->at - elements->text) - item.len;
		if (item.origin != DY_JSON_NO_ORIGIN)
			next = (unsigned)item.origin + 1;
		g_array_append_val(elements->items, item);
	} while (skip_char(cursor, ','));
	return skip_char(cursor, ']');
}

static void index_items(dy_json_elements_t *elements)
{
	uint32_t count = elements->items->len;
	uint32_t size = 1;
	uint32_t slot;
	uint32_t i;

	while (size < 2 * count + 1)
		size *= 2;
	elements->slots = g_new0(uint32_t, size);
	elements->slot_mask = size - 1;
	for (i = 0; i < count; i++) {
		slot = (uint32_t)get_item(elements, i)->hash & (size - 1);
		while (elements->slots[slot])
			slot = (slot + 1) & (size - 1);
		elements->slots[slot] = i + 1;
	}
}

static int locate(dy_json_elements_t *elements, const char *key,
		  const dy_json_elements_t *previous)
{
	cursor_t cursor = { elements->text, elements->text + elements->len };

	if (!find_array(&cursor, key))
		return 0;
	elements->array = (uint32_t)(cursor.at - elements->text);
	if (!read_elements(elements, &cursor, previous))
		return 0;
	elements->array_end = (uint32_t)(cursor.at - 1 - elements->text);
	return 1;
}

dy_json_elements_t *dy_json_elements_create(const char *text, size_t len,
					    const char *key,
					    const dy_json_elements_t *previous)
{
	dy_json_elements_t *elements;

	if (!len || len > TEXT_MAX_BYTES)
		return NULL;
	elements = g_new0(dy_json_elements_t, 1);
	elements->text = g_memdup2(text, len);
	elements->len = len;
	elements->items = g_array_sized_new(FALSE, FALSE, sizeof(element_t),
					    previous ? previous->items->len + 1
						     : FIRST_CAPACITY);
	if (locate(elements, key, previous)) {
		index_items(elements);
		return elements;
	}
	dy_json_elements_destroy(elements);
	return NULL;
}

void dy_json_elements_destroy(dy_json_elements_t *elements)
{
	if (!elements)
		return;
	g_array_free(elements->items, TRUE);
	g_free(elements->slots);
	g_free(elements->text);
	g_free(elements);
}

unsigned dy_json_elements_count(const dy_json_elements_t *elements)
{
	return elements->items->len;
}

const char *dy_json_elements_get(const dy_json_elements_t *elements,
				 unsigned index, size_t *len)
{
	const element_t *item = get_item(elements, index);

	*len = item->len;
	return elements->text + item->offset;
}

int dy_json_elements_origin(const dy_json_elements_t *elements, unsigned index)
{
	return get_item(elements, index)->origin;
}

char *dy_json_elements_rest(const dy_json_elements_t *elements, size_t *len)
{
	size_t tail = elements->len - elements->array_end;
	char *rest = g_malloc(elements->array + tail);

	memcpy(rest, elements->text, elements->array);
	memcpy(rest + elements->array, elements->text + elements->array_end,
	       tail);
	*len = elements->array + tail;
	return rest;
}
