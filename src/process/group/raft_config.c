#include "damaskyard/raft.h"

#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/invariant.h"

/* Members of the largest size, each with its length words. */
#define CONFIG_MAX_BYTES (DY_RAFT_MEMBERS_MAX * (DY_RAFT_ADDRESS_MAX + 32))

int dy_voter_id_equal(dy_voter_id_t a, dy_voter_id_t b)
{
	return a.slot == b.slot && a.identity == b.identity;
}

void dy_config_copy(dy_raft_config_t *to, const dy_raft_config_t *from)
{
	uint32_t size;
	char *data = dy_config_encode(from, &size);
	int failed = dy_config_decode(to, data, size);

	dy_assert(!failed);
	g_free(data);
}

void dy_config_drop(dy_raft_config_t *config)
{
	xdr_free((xdrproc_t)xdr_dy_raft_config_t, config);
	memset(config, 0, sizeof(*config));
}

char *dy_config_encode(const dy_raft_config_t *config, uint32_t *size)
{
	char *data = g_malloc(CONFIG_MAX_BYTES);
	int coded;
	XDR xdr;

	xdrmem_create(&xdr, data, CONFIG_MAX_BYTES, XDR_ENCODE);
	coded = xdr_dy_raft_config_t(&xdr, (dy_raft_config_t *)config);
	dy_assert(coded);
	*size = xdr_getpos(&xdr);
	return data;
}

int dy_config_decode(dy_raft_config_t *config, const char *data, uint32_t size)
{
	XDR xdr;

	memset(config, 0, sizeof(*config));
	xdrmem_create(&xdr, (char *)data, size, XDR_DECODE);
	if (xdr_dy_raft_config_t(&xdr, config) && xdr_getpos(&xdr) == size)
		return 0;
	dy_config_drop(config);
	return -1;
}
