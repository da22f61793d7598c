#include "raft_private.h"

/*
 * Reads confirmed by a majority (ReadIndex). A read waits for a round that
 * starts after it was requested. A round is a number that every append carries
 * and every reply returns. A leader that was paused or partitioned and has not
 * noticed that it was replaced finds only replies to older rounds in its
 * socket, and members that have seen the new term refuse the new round.
 * Without rounds it would show an operator a document that was replaced since.
 */

dy_raft_result_t dy_raft_read(dy_raft_t *raft, dy_raft_done_cb_t *done,
			      void *context)
{
	pending_t read = { .done = done, .context = context };

	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	/*
	 * The commit index of the previous leader is unknown until an entry
	 * of this leader's own term is committed.
	 */
	read.index = MAX(raft->commit_index, raft->term_start_index);
	read.round = raft->round + 1;
	g_array_append_val(raft->reads, read);
	return DY_RAFT_DONE;
}

void raft_start_read_round(dy_raft_t *raft)
{
	const pending_t *last;

	if (!raft->reads->len || raft->confirmed_round < raft->round)
		return;
	last = &g_array_index(raft->reads, pending_t, raft->reads->len - 1);
	if (last->round <= raft->round)
		return;
	raft->round++;
	(*raft->counters.read_rounds)++;
}

void raft_confirm_read_round(dy_raft_t *raft)
{
	guint answered = raft_is_voter(raft);
	guint i;

	for (i = 0; i < raft->peers->len; i++)
		answered += raft_peer_at(raft, i)->voter &&
			    raft_peer_at(raft, i)->acked_round >= raft->round;
	if (answered >= raft_majority(raft))
		raft->confirmed_round = raft->round;
}

void raft_complete_reads(dy_raft_t *raft)
{
	const pending_t *read;
	guint i = 0;

	if (raft->role != DY_RAFT_LEADER)
		return;
	raft_confirm_read_round(raft);
	while (i < raft->reads->len) {
		read = &g_array_index(raft->reads, pending_t, i);
		if (read->round > raft->confirmed_round ||
		    read->index > raft->applied_index) {
			i++;
			continue;
		}
		(*raft->counters.reads)++;
		raft_complete(raft, read, DY_RAFT_DONE, read->index);
		g_array_remove_index(raft->reads, i);
	}
}
