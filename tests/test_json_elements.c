/* Location of the elements of an array in a JSON text. */

#include "damaskyard/json_elements.h"

#include <string.h>

#include <glib.h>

#include "fake_suite.h"

static dy_json_elements_t *locate(const char *text,
				  const dy_json_elements_t *previous)
{
	return dy_json_elements_create(text, strlen(text), "list", previous);
}

static void check_element(const dy_json_elements_t *elements, unsigned index,
			  const char *expected)
{
	size_t len;
	const char *bytes = dy_json_elements_get(elements, index, &len);

	ck_assert_uint_eq(len, strlen(expected));
	ck_assert_mem_eq(bytes, expected, len);
}

static void check_rest(const dy_json_elements_t *elements, const char *expected)
{
	size_t len;
	char *rest = dy_json_elements_rest(elements, &len);

	ck_assert_uint_eq(len, strlen(expected));
	ck_assert_mem_eq(rest, expected, len);
	g_free(rest);
}

/*
 * A bracket, quote or backslash in a string would end an element too early, and
 * its other half would be taken for another one.
 */
START_TEST(locates_elements_despite_brackets_in_strings)
{
	static const char *const elements[] = {
		"{}",
		"{\"a\":\"}],{\"}",
		"{\"a\":\"\\\"}\"}",
		"{\"a\\\\\":\"\\\\\"}",
		"{\"a\":[{\"b\":[[]]},1],\"list\":[{}]}",
		"{\"\\\\\\\"\":\"\"}",
	};
	char *list = g_strjoin(" ,\n\t", elements[0], elements[1], elements[2],
			       elements[3], elements[4], elements[5], NULL);
	char *text = g_strdup_printf(
		" {\"x\":{\"list\":[1]}, \"y\":-1.5e3,\"z\" : \"list\","
		"\"list\"\r: [ %s ] ,\"more\":[{}]}",
		list);
	dy_json_elements_t *found = locate(text, NULL);
	unsigned i;

	ck_assert_ptr_nonnull(found);
	ck_assert_uint_eq(dy_json_elements_count(found),
			  G_N_ELEMENTS(elements));
	for (i = 0; i < G_N_ELEMENTS(elements); i++) {
		check_element(found, i, elements[i]);
		ck_assert_int_eq(dy_json_elements_origin(found, i),
				 DY_JSON_NO_ORIGIN);
	}
	check_rest(found, " {\"x\":{\"list\":[1]}, \"y\":-1.5e3,"
			  "\"z\" : \"list\",\"list\"\r: [] ,\"more\":[{}]}");
	dy_json_elements_destroy(found);
	g_free(text);
	g_free(list);
}
END_TEST

START_TEST(empty_array_has_no_elements)
{
	dy_json_elements_t *found = locate("{\"list\":[ ]}", NULL);

	ck_assert_uint_eq(dy_json_elements_count(found), 0);
	check_rest(found, "{\"list\":[]}");
	dy_json_elements_destroy(found);
}
END_TEST

/* A changed element that is taken for the earlier one would stay in force. */
START_TEST(tells_which_elements_the_previous_text_has)
{
	static const struct {
		const char *list;
		int origins[6];
	} cases[] = {
		{ "{\"n\":1},{\"n\":2},{\"n\":3}", { 0, 1, 2 } },
		{ "{\"n\":1},{\"n\":4},{\"n\":3}", { 0, -1, 2 } },
		{ "{\"n\":1},{\"n\":3}", { 0, 2 } },
		{ "{\"n\":0},{\"n\":1},{\"n\":2},{\"n\":3}", { -1, 0, 1, 2 } },
		{ "{\"n\":3},{\"n\":1},{\"n\":2}", { 2, 0, 1 } },
		{ "{\"n\":1},{\"n\":1 },{\"n\":33}", { 0, -1, -1 } },
		{ "{\"n\":1},{\"n\":1},{\"n\":1},{\"n\":2}", { 0, 0, 0, 1 } },
		{ "", { 0 } },
	};
	dy_json_elements_t *first = locate(
		"{\"v\":1,\"list\":[{\"n\":1},{\"n\":2},{\"n\":3}]}", NULL);
	dy_json_elements_t *found;
	unsigned i;
	unsigned j;
	char *text;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		text = g_strdup_printf("{\"v\":22,\"list\":[%s]}",
				       cases[i].list);
		found = locate(text, first);
		ck_assert_ptr_nonnull(found);
		for (j = 0; j < dy_json_elements_count(found); j++)
			ck_assert_int_eq(dy_json_elements_origin(found, j),
					 cases[i].origins[j]);
		dy_json_elements_destroy(found);
		g_free(text);
	}
	dy_json_elements_destroy(first);
}
END_TEST

/* The previous text may be freed, and is so while later ones are in use. */
START_TEST(elements_outlive_the_previous_ones)
{
	dy_json_elements_t *found = NULL;
	dy_json_elements_t *next;
	char expected[32];
	GString *text;
	unsigned version;
	unsigned i;

	for (version = 0; version < 40; version++) {
		text = g_string_new("{\"list\":[");
		for (i = 0; i <= version; i++)
			g_string_append_printf(text, "%s{\"n\":%u}",
					       i ? "," : "",
					       i == version / 2 ? 100 : i);
		g_string_append(text, "]}");
		next = locate(text->str, found);
		dy_json_elements_destroy(found);
		found = next;
		g_string_free(text, TRUE);
		for (i = 0; i <= version; i++) {
			g_snprintf(expected, sizeof(expected), "{\"n\":%u}",
				   i == version / 2 ? 100 : i);
			check_element(found, i, expected);
		}
	}
	dy_json_elements_destroy(found);
}
END_TEST

/* If one of these were accepted, part of the text might never be parsed. */
START_TEST(refuses_what_it_cannot_tell)
{
	static const char *const texts[] = {
		" ",
		"[]",
		"{}",
		"7",
		"{\"list\":7}",
		"{\"list\":{}}",
		"{\"list\"}",
		"{\"list\" [{}]}",
		"{\"l\\u0069st\":[{}]}",
		"{\"x\":{\"list\":[{}]}}",
		"{\"x\":[\"list\",[{}]]}",
		"{\"list\":[1]}",
		"{\"list\":[{},1]}",
		"{\"list\":[{},]}",
		"{\"list\":[{}{}]}",
		"{\"list\":[{},,{}]}",
		"{\"list\":[\"{}\"]}",
		"{\"list\":[[{}]]}",
		"{\"list\":[{}}",
		"{\"list\":[{\"a\":\"}]}",
		"{\"list\":[{\"a\":1]}",
		"x{\"list\":[{}]}",
		"{x,\"list\":[{}]}",
		"{,\"list\":[{}]}",
	};
	dy_json_elements_t *first = locate("{\"list\":[{},{\"a\":1}]}", NULL);
	size_t i;

	ck_assert_ptr_nonnull(first);
	ck_assert_ptr_null(dy_json_elements_create(NULL, 0, "list", NULL));
	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		ck_assert_ptr_null(locate(texts[i], NULL));
		ck_assert_ptr_null(locate(texts[i], first));
	}
	dy_json_elements_destroy(first);
}
END_TEST

/* A text that ends early must not be read beyond its end. */
START_TEST(refuses_truncated_text)
{
	static const char text[] =
		"{\"v\":[1,{\"a\":\"\\\"\"}],\"list\":[{\"a\":\"b\\\"\"},{}]";
	dy_json_elements_t *first = locate(text, NULL);
	char *exact;
	size_t len;

	ck_assert_ptr_nonnull(first);
	for (len = 0; len < sizeof(text) - 1; len++) {
		exact = g_memdup2(text, len);
		ck_assert_ptr_null(
			dy_json_elements_create(exact, len, "list", first));
		g_free(exact);
	}
	dy_json_elements_destroy(first);
}
END_TEST

static char *nest(unsigned depth)
{
	char *open = g_strnfill(depth - 1, '[');
	char *close = g_strnfill(depth - 1, ']');
	char *text = g_strdup_printf("{\"list\":[{\"a\":%s%s}]}", open, close);

	g_free(open);
	g_free(close);
	return text;
}

/* The parser limits the nesting of a whole text, not that of an element. */
START_TEST(refuses_deeply_nested_element)
{
	char *text = nest(DY_JSON_ELEMENT_DEPTH_MAX);
	dy_json_elements_t *found = locate(text, NULL);

	ck_assert_ptr_nonnull(found);
	dy_json_elements_destroy(found);
	g_free(text);
	text = nest(DY_JSON_ELEMENT_DEPTH_MAX + 1);
	ck_assert_ptr_null(locate(text, NULL));
	g_free(text);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		locates_elements_despite_brackets_in_strings,
		empty_array_has_no_elements,
		tells_which_elements_the_previous_text_has,
		elements_outlive_the_previous_ones,
		refuses_what_it_cannot_tell,
		refuses_truncated_text,
		refuses_deeply_nested_element,
		NULL,
	};

	return fake_suite_run("json_elements", tests);
}
