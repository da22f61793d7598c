#include "common_args.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void standin_die(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	fprintf(stderr, "%s: ", g_get_prgname());
	vfprintf(stderr, format, arguments);
	fputc('\n', stderr);
	va_end(arguments);
	exit(2);
}

void standin_parse_options(int argc, char **argv, const char *summary,
			   const GOptionEntry *entries)
{
	GOptionContext *context = g_option_context_new(NULL);
	char *name = g_path_get_basename(argv[0]);
	GError *error = NULL;

	g_set_prgname(name);
	g_free(name);
	g_option_context_set_summary(context, summary);
	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		standin_die("%s", error->message);
	if (argc > 1)
		standin_die("unexpected argument %s", argv[1]);
	g_option_context_free(context);
}

struct sockaddr_in standin_parse_address(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	const char *colon = strrchr(text, ':');
	char *ip = g_strndup(text, colon ? colon - text : 0);
	guint64 port = 0;

	if (!colon || inet_pton(AF_INET, ip, &address.sin_addr) != 1 ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
		standin_die("%s is no IP:PORT", text);
	address.sin_port = htons(port);
	g_free(ip);
	return address;
}

struct sockaddr_in *standin_parse_addresses(const char *text, unsigned *count)
{
	char **words = g_strsplit(text, ",", -1);
	unsigned words_count = g_strv_length(words);
	struct sockaddr_in *addresses;
	unsigned i;

	if (!words_count)
		standin_die("the list of addresses is empty");
	addresses = g_new0(struct sockaddr_in, words_count);
	for (i = 0; i < words_count; i++)
		addresses[i] = standin_parse_address(words[i]);
	g_strfreev(words);
	*count = words_count;
	return addresses;
}

void standin_format_address(const struct sockaddr_in *address,
			    char text[STANDIN_ADDRESS_TEXT])
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address->sin_addr, ip, sizeof(ip));
	g_snprintf(text, STANDIN_ADDRESS_TEXT, "%s:%u", ip,
		   ntohs(address->sin_port));
}

void standin_print_bound_address(int fd)
{
	struct sockaddr_in address;
	socklen_t length = sizeof(address);
	char text[STANDIN_ADDRESS_TEXT];

	if (getsockname(fd, (struct sockaddr *)&address, &length))
		standin_die("getsockname: %s", g_strerror(errno));
	standin_format_address(&address, text);
	printf("address=%s\n", text);
	fflush(stdout);
}

uint64_t standin_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}
