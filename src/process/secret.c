#include "damaskyard/secret.h"

#include <string.h>
#include <sys/random.h>

static int parse_hex(const char *text, uint8_t *out, size_t len)
{
	size_t i;
	int high;
	int low;

	if (strlen(text) != 2 * len)
		return -1;
	for (i = 0; i < len; i++) {
		high = g_ascii_xdigit_value(text[2 * i]);
		low = g_ascii_xdigit_value(text[2 * i + 1]);
		if (high < 0 || low < 0)
			return -1;
		out[i] = (uint8_t)(high << 4 | low);
	}
	return 0;
}

static gboolean parse_lines(dy_secrets_t *secrets, char **lines,
			    const char *path, GError **error)
{
	int i;

	secrets->count = 0;
	for (i = 0; lines[i]; i++) {
		g_strstrip(lines[i]);
		if (!*lines[i])
			continue;
		if (secrets->count == DY_SECRETS_MAX ||
		    parse_hex(lines[i], secrets->secrets[secrets->count],
			      DY_SECRET_BYTES)) {
			g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
				    "key file %s, line %d: expected at most %d "
				    "lines of %d hexadecimal digits",
				    path, i + 1, DY_SECRETS_MAX,
				    2 * DY_SECRET_BYTES);
			return FALSE;
		}
		secrets->count++;
	}
	if (secrets->count)
		return TRUE;
	g_set_error(error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
		    "key file %s holds no key", path);
	return FALSE;
}

gboolean dy_secrets_load(dy_secrets_t *secrets, const char *path,
			 GError **error)
{
	char *text = NULL;
	char **lines;
	gboolean ok;

	if (!g_file_get_contents(path, &text, NULL, error))
		return FALSE;
	lines = g_strsplit(text, "\n", -1);
	ok = parse_lines(secrets, lines, path, error);
	g_strfreev(lines);
	g_free(text);
	return ok;
}

struct dy_hmac {
	GHmac *keyed;
};

dy_hmac_t *dy_hmac_create(const uint8_t key[DY_SECRET_BYTES])
{
	dy_hmac_t *hmac = g_new0(dy_hmac_t, 1);

	hmac->keyed = g_hmac_new(G_CHECKSUM_SHA256, key, DY_SECRET_BYTES);
	return hmac;
}

void dy_hmac_destroy(dy_hmac_t *hmac)
{
	if (!hmac)
		return;
	g_hmac_unref(hmac->keyed);
	g_free(hmac);
}

void dy_hmac_digest(const dy_hmac_t *hmac, const void *data, size_t len,
		    uint8_t mac[DY_SECRET_BYTES])
{
	GHmac *copy = g_hmac_copy(hmac->keyed);
	gsize mac_len = DY_SECRET_BYTES;

	g_hmac_update(copy, data, (gssize)len);
	g_hmac_get_digest(copy, mac, &mac_len);
	g_hmac_unref(copy);
}

int dy_mac_equal(const uint8_t *a, const uint8_t *b, size_t len)
{
	uint8_t differ = 0;
	size_t i;

	for (i = 0; i < len; i++)
		differ |= a[i] ^ b[i];
	return !differ;
}

void dy_random_fill(void *bytes, size_t len)
{
	uint8_t *pos = bytes;
	ssize_t n;

	while (len) {
		n = getrandom(pos, len, 0);
		if (n <= 0)
			g_error("no random bytes from the kernel");
		pos += n;
		len -= (size_t)n;
	}
}
