#include "raft_private.h"

/*
 * Reads confirmed by a majority (ReadIndex). A read waits for a round that
 * starts after it came: a number that every append carries and every answer
 * returns. A leader that was frozen, or cut off, and comes back believing it
 * is current finds only answers to older rounds in its sockets; the new
 * round is refused by whoever has seen the new term. Without the round it
 * would show an operator a document that was replaced long ago.
 */

dy_raft_result_t dy_raft_read(dy_raft_t *raft, dy_raft_done_cb_t *done,
			      void *context)
{
	waiting_t read = { .done = done, .context = context };

	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	/*
	 * Until an entry of its own term is committed a new leader does not
	 * know how far its predecessor had committed.
	 */
	read.index = MAX(raft->commit_index, raft->term_start_index);
	read.round = raft->round + 1;
	g_array_append_val(raft->reads, read);
	return DY_RAFT_DONE;
}

/* Start a round for the reads that wait for one, if none is under way. */
void raft_start_round(dy_raft_t *raft)
{
	const waiting_t *last;

	if (!raft->reads->len || raft->confirmed_round < raft->round)
		return;
	last = &g_array_index(raft->reads, waiting_t, raft->reads->len - 1);
	if (last->round <= raft->round)
		return;
	raft->round++;
	(*raft->counters.read_rounds)++;
}

void raft_confirm_round(dy_raft_t *raft)
{
	guint answered = raft_is_voter(raft);
	guint i;

	for (i = 0; i < raft->peers->len; i++)
		answered += raft_peer_at(raft, i)->voter &&
			    raft_peer_at(raft, i)->round >= raft->round;
	if (answered >= raft_majority(raft))
		raft->confirmed_round = raft->round;
}

void raft_finish_reads(dy_raft_t *raft)
{
	const waiting_t *read;
	guint i = 0;

	if (raft->role != DY_RAFT_LEADER)
		return;
	raft_confirm_round(raft);
	while (i < raft->reads->len) {
		read = &g_array_index(raft->reads, waiting_t, i);
		if (read->round > raft->confirmed_round ||
		    read->index > raft->applied_index) {
			i++;
			continue;
		}
		(*raft->counters.reads)++;
		raft_end(raft, read, DY_RAFT_DONE, read->index);
		g_array_remove_index(raft->reads, i);
	}
}
