#include "damaskyard/stored_forward.h"

#include <string.h>

#include <glib.h>

void dy_stored_forward_set(dy_stored_forward_t *stored,
			   const dy_flow_forward_t *forward)
{
	stored->forward = *forward;
	g_strlcpy(stored->service, forward->service, sizeof(stored->service));
	if (forward->tries.tries_len)
		memcpy(stored->tries, forward->tries.tries_val,
		       forward->tries.tries_len * sizeof(stored->tries[0]));
	memcpy(stored->bytes, forward->packet.packet_val,
	       forward->packet.packet_len);
	stored->forward.service = stored->service;
	stored->forward.tries.tries_val = stored->tries;
	stored->forward.packet.packet_val = (char *)stored->bytes;
}
