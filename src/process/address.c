#include "damaskyard/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

static const unsigned char mapped_prefix[12] = { 0, 0, 0, 0, 0,	   0,
						 0, 0, 0, 0, 0xff, 0xff };

static int is_mapped(const dy_address_t *address)
{
	return !memcmp(address->ip, mapped_prefix, sizeof(mapped_prefix));
}

static int parse_port(const char *text, unsigned *port)
{
	char *end;
	unsigned long value;

	if (!g_ascii_isdigit(*text))
		return -1;
	value = strtoul(text, &end, 10);
	if (*end || value > 65535)
		return -1;
	*port = (unsigned)value;
	return 0;
}

static int parse_ip(const char *text, dy_address_t *address)
{
	if (inet_pton(AF_INET, text, address->ip + sizeof(mapped_prefix)) ==
	    1) {
		memcpy(address->ip, mapped_prefix, sizeof(mapped_prefix));
		return 0;
	}
	return inet_pton(AF_INET6, text, address->ip) == 1 ? 0 : -1;
}

void dy_address_set_ipv4(dy_address_t *address, uint32_t ip, uint16_t port)
{
	uint32_t wire = htonl(ip);

	memcpy(address->ip, mapped_prefix, sizeof(mapped_prefix));
	memcpy(address->ip + sizeof(mapped_prefix), &wire, sizeof(wire));
	address->port = port;
}

int dy_address_parse(const char *text, dy_address_t *address)
{
	char ip[DY_ADDRESS_TEXT_BYTES];
	const char *colon = strrchr(text, ':');
	const char *start = text;
	size_t len;

	if (!colon)
		return -1;
	len = colon - text;
	if (*text == '[') {
		if (len < 2 || text[len - 1] != ']')
			return -1;
		start++;
		len -= 2;
	} else if (memchr(text, ':', len)) {
		return -1;
	}
	if (!len || len >= sizeof(ip))
		return -1;
	memcpy(ip, start, len);
	ip[len] = '\0';
	memset(address, 0, sizeof(*address));
	if (parse_ip(ip, address))
		return -1;
	return parse_port(colon + 1, &address->port);
}

const char *dy_address_format(const dy_address_t *address,
			      char text[DY_ADDRESS_TEXT_BYTES])
{
	char ip[INET6_ADDRSTRLEN];

	if (is_mapped(address)) {
		inet_ntop(AF_INET, address->ip + sizeof(mapped_prefix), ip,
			  sizeof(ip));
		snprintf(text, DY_ADDRESS_TEXT_BYTES, "%s:%u", ip,
			 address->port);
	} else {
		inet_ntop(AF_INET6, address->ip, ip, sizeof(ip));
		snprintf(text, DY_ADDRESS_TEXT_BYTES, "[%s]:%u", ip,
			 address->port);
	}
	return text;
}

void dy_address_load(dy_address_t *address, const struct sockaddr *from)
{
	const struct sockaddr_in6 *in6;
	const struct sockaddr_in *in;

	if (from->sa_family == AF_INET) {
		in = (const struct sockaddr_in *)(const void *)from;
		memcpy(address->ip, mapped_prefix, sizeof(mapped_prefix));
		memcpy(address->ip + sizeof(mapped_prefix), &in->sin_addr, 4);
		address->port = ntohs(in->sin_port);
	} else {
		in6 = (const struct sockaddr_in6 *)(const void *)from;
		memcpy(address->ip, &in6->sin6_addr, DY_IP_BYTES);
		address->port = ntohs(in6->sin6_port);
	}
}

void dy_address_write(const dy_address_t *address, struct sockaddr_storage *to)
{
	struct sockaddr_in6 *in6;
	struct sockaddr_in *in;

	memset(to, 0, sizeof(*to));
	if (is_mapped(address)) {
		in = (struct sockaddr_in *)to;
		in->sin_family = AF_INET;
		in->sin_port = htons(address->port);
		memcpy(&in->sin_addr, address->ip + sizeof(mapped_prefix), 4);
	} else {
		in6 = (struct sockaddr_in6 *)to;
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(address->port);
		memcpy(&in6->sin6_addr, address->ip, DY_IP_BYTES);
	}
}

int dy_address_equal(const dy_address_t *a, const dy_address_t *b)
{
	return a->port == b->port && !memcmp(a->ip, b->ip, DY_IP_BYTES);
}

int dy_address_parse_list(const char *text, dy_address_t *addresses, int max)
{
	char **parts = g_strsplit(text, ",", -1);
	int count = 0;
	int i;

	for (i = 0; parts[i]; i++) {
		if (count == max ||
		    dy_address_parse(parts[i], &addresses[count])) {
			count = -1;
			break;
		}
		count++;
	}
	g_strfreev(parts);
	return count;
}
