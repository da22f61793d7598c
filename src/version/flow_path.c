#include "damaskyard/flow_path.h"

void dy_flow_path_note_sent(dy_flow_path_t *path, uint64_t now_ms)
{
	if (!path->sent)
		path->first_sent_ms = now_ms;
	path->sent++;
}

int dy_flow_path_receive_report(dy_flow_path_t *path, uint32_t received,
				uint64_t now_ms)
{
	int was_broken = path->broken;

	if (received != path->received || !received) {
		path->received = received;
		path->sent = 0;
		path->broken = 0;
		return was_broken;
	}
	if (path->sent >= DY_FLOW_PATH_LOST_MIN &&
	    now_ms - path->first_sent_ms >= DY_FLOW_PATH_AGE_MIN_MS)
		path->broken = 1;
	return path->broken != was_broken;
}
