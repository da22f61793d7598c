#include "raft_private.h"

#include "damaskyard/invariant.h"

/* Beyond these in a row the first elections are as far apart as all others. */
#define LOST_ELECTIONS_MOST 8u

static const dy_voter_id_t nobody;

void raft_reset_election(dy_raft_t *raft)
{
	uint32_t least = raft->options.election_ms;

	raft->election_at_ms = raft->now_ms + least +
			       g_rand_int_range(raft->rand, 0, (gint32)least);
}

/*
 * Sooner than raft_reset_election(), and later with each election that was
 * lost: where votes take long to be synced, waiting too short elects nobody.
 */
void raft_expect_leader(dy_raft_t *raft)
{
	uint32_t least = MIN(raft->options.first_election_ms << MIN(
				     raft->lost_elections, LOST_ELECTIONS_MOST),
			     raft->options.election_ms);

	raft->election_at_ms = raft->now_ms + least +
			       g_rand_int_range(raft->rand, 0, (gint32)least);
}

static void set_leader(dy_raft_t *raft, dy_voter_id_t leader)
{
	dy_assert(raft->seen_leader_term < raft->term ||
		  dy_voter_id_equal(raft->seen_leader, leader));
	raft->seen_leader_term = raft->term;
	raft->seen_leader = leader;
	raft->leader = leader;
	raft->leader_heard_ms = raft->now_ms;
}

/*
 * What waits here cannot be answered by this member any more. It is ended at
 * once, rather than held until somebody's deadline.
 */
static void end_waiting(dy_raft_t *raft)
{
	guint i;

	for (i = 0; i < raft->proposals->len; i++)
		raft_end(raft, &g_array_index(raft->proposals, waiting_t, i),
			 DY_RAFT_UNKNOWN, 0);
	for (i = 0; i < raft->reads->len; i++)
		raft_end(raft, &g_array_index(raft->reads, waiting_t, i),
			 DY_RAFT_NOT_LEADER, 0);
	g_array_set_size(raft->proposals, 0);
	g_array_set_size(raft->reads, 0);
}

void raft_step_down(dy_raft_t *raft, uint64_t term)
{
	dy_assert(term >= raft->term);
	if (term > raft->term) {
		raft->term = term;
		raft->vote = nobody;
		raft->vote_changed = 1;
		raft->leader = nobody;
	}
	if (raft->role == DY_RAFT_LEADER) {
		raft->leader = nobody;
		end_waiting(raft);
	}
	if (raft->role != DY_RAFT_FOLLOWER)
		raft_reset_election(raft);
	raft->role = DY_RAFT_FOLLOWER;
}

void raft_follow(dy_raft_t *raft, dy_voter_id_t leader)
{
	dy_assert(raft->role != DY_RAFT_LEADER);
	raft_step_down(raft, raft->term);
	set_leader(raft, leader);
	raft_reset_election(raft);
	raft_end_transfer(raft, DY_RAFT_DONE);
}

static void win(dy_raft_t *raft)
{
	uint64_t next = dy_store_last_index(raft->store) + 1;
	peer_t *peer;
	guint i;

	raft->role = DY_RAFT_LEADER;
	set_leader(raft, raft->id);
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		peer->next_index = next;
		peer->match_index = 0;
		peer->heard_ms = raft->now_ms;
		peer->round = 0;
		peer->sent_round = 0;
		peer->awaited_ms = 0;
		peer->heartbeat_ms = 0;
		peer->snapshot_index = 0;
	}
	raft->confirmed_round = raft->round;
	/*
	 * Entries of earlier terms are never committed by counting copies: a
	 * later leader might still replace them. This entry carries them.
	 */
	raft->term_start_index = raft_append(raft, DY_ENTRY_NOOP, NULL, 0);
	(*raft->counters.won)++;
	dy_log_event(DY_LOG_INFO, "raft_elected", "term=%llu index=%llu",
		     (unsigned long long)raft->term, (unsigned long long)next);
}

static void count_votes(dy_raft_t *raft)
{
	guint granted = raft_is_voter(raft);
	guint i;

	for (i = 0; i < raft->peers->len; i++)
		granted += raft_peer_at(raft, i)->voter &&
			   raft_peer_at(raft, i)->granted;
	if (granted < raft_majority(raft))
		return;
	if (raft->role == DY_RAFT_PRE_CANDIDATE)
		raft_start_election(raft, 0, 0);
	else
		win(raft);
}

/*
 * A pre-vote asks whether an election would be won, before the term grows.
 * Without it a member that returns from behind a cut carries a greater term
 * and forces the leader out for nothing.
 */
void raft_start_election(dy_raft_t *raft, int pre, int transfer)
{
	uint64_t last = dy_store_last_index(raft->store);
	dy_raft_message_t message;
	dy_raft_vote_t *vote = &message.body.dy_raft_body_t_u.vote;
	peer_t *peer;
	guint i;

	if (raft->role == DY_RAFT_CANDIDATE)
		raft->lost_elections++;
	raft->role = pre ? DY_RAFT_PRE_CANDIDATE : DY_RAFT_CANDIDATE;
	raft->leader = nobody;
	(*(pre ? raft->counters.pre_votes : raft->counters.elections))++;
	if (!pre) {
		raft->term++;
		raft->vote = raft->id;
		raft->vote_changed = 1;
	}
	/*
	 * After a loss of power the others may be starting too: ask again as
	 * soon as one that has just started would, until a leader was seen.
	 * So too where two called at once and neither won.
	 */
	if (!raft->seen_leader_term)
		raft_expect_leader(raft);
	else
		raft_reset_election(raft);
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		peer->granted = 0;
		if (!peer->voter)
			continue;
		raft_begin_message(raft, &message, DY_RAFT_VOTE, peer->id);
		vote->last_index = last;
		vote->last_term = dy_store_entry_term(raft->store, last);
		vote->pre = pre;
		vote->transfer = transfer;
		raft_queue(raft, &message);
	}
	count_votes(raft);
}

int raft_leader_is_alive(const dy_raft_t *raft)
{
	return raft->role == DY_RAFT_LEADER ||
	       (raft->leader.identity && raft->now_ms - raft->leader_heard_ms <
						 raft->options.election_ms);
}

static int is_up_to_date(const dy_raft_t *raft, const dy_raft_vote_t *vote)
{
	uint64_t last = dy_store_last_index(raft->store);
	uint64_t term = dy_store_entry_term(raft->store, last);

	if (vote->last_term != term)
		return vote->last_term > term;
	return vote->last_index >= last;
}

static int may_vote(const dy_raft_t *raft, const dy_raft_message_t *message)
{
	/* One that knows more may know that this member became a voter. */
	return (raft_is_voter(raft) ||
		message->config_index > raft_newest_config(raft)->index) &&
	       is_up_to_date(raft, &message->body.dy_raft_body_t_u.vote);
}

static int grant_vote(dy_raft_t *raft, const dy_raft_message_t *message)
{
	if (message->term != raft->term || !may_vote(raft, message))
		return 0;
	if (raft->vote.identity &&
	    !dy_voter_id_equal(raft->vote, message->from))
		return 0;
	if (!raft->vote.identity) {
		raft->vote = message->from;
		raft->vote_changed = 1;
	}
	raft_reset_election(raft);
	return 1;
}

void raft_handle_vote(dy_raft_t *raft, const dy_raft_message_t *message)
{
	const dy_raft_vote_t *vote = &message->body.dy_raft_body_t_u.vote;
	int alive = raft_leader_is_alive(raft) && !vote->transfer;
	dy_raft_message_t reply;
	int granted;

	if (vote->pre) {
		granted = !alive && message->term >= raft->term &&
			  may_vote(raft, message);
	} else {
		/* One that cannot hear the leader must not depose it. */
		if (alive)
			return;
		if (message->term > raft->term)
			raft_step_down(raft, message->term);
		granted = grant_vote(raft, message);
	}
	raft_begin_message(raft, &reply, DY_RAFT_VOTE_REPLY, message->from);
	/* Answers the asker's term, which this member has not taken up. */
	if (vote->pre && granted)
		reply.term = message->term;
	reply.body.dy_raft_body_t_u.vote_reply.pre = vote->pre;
	reply.body.dy_raft_body_t_u.vote_reply.granted = granted;
	raft_queue(raft, &reply);
}

void raft_handle_vote_reply(dy_raft_t *raft, const dy_raft_message_t *message)
{
	const dy_raft_vote_reply_t *reply =
		&message->body.dy_raft_body_t_u.vote_reply;
	peer_t *peer = raft_find_peer(raft, message->from);
	dy_raft_role_t asked =
		reply->pre ? DY_RAFT_PRE_CANDIDATE : DY_RAFT_CANDIDATE;

	if (!peer || !reply->granted || raft->role != asked)
		return;
	peer->granted = 1;
	count_votes(raft);
}

void raft_handle_timeout_now(dy_raft_t *raft, const dy_raft_message_t *message)
{
	if (raft->role == DY_RAFT_LEADER || !raft_is_voter(raft) ||
	    !dy_voter_id_equal(raft->leader, message->from))
		return;
	raft_start_election(raft, 0, 1);
}

void raft_end_transfer(dy_raft_t *raft, dy_raft_result_t result)
{
	if (!raft->transfer.done)
		return;
	raft_end(raft, &raft->transfer, result, 0);
	raft->transfer.done = NULL;
}

void raft_tick_transfer(dy_raft_t *raft)
{
	dy_raft_message_t message;
	const peer_t *peer;

	if (!raft->transfer.done)
		return;
	if (raft->now_ms >= raft->transfer_until_ms) {
		raft_end_transfer(raft, DY_RAFT_BUSY);
		return;
	}
	peer = raft_find_peer(raft, raft->transfer_target);
	if (raft->role != DY_RAFT_LEADER || !peer ||
	    peer->match_index < dy_store_last_index(raft->store))
		return;
	raft_begin_message(raft, &message, DY_RAFT_TIMEOUT_NOW, peer->id);
	raft_queue(raft, &message);
}

dy_raft_result_t dy_raft_transfer(dy_raft_t *raft, dy_raft_done_cb_t *done,
				  void *context)
{
	waiting_t transfer = { .done = done, .context = context };
	const peer_t *best = NULL;
	const peer_t *peer;
	guint i;

	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	if (raft->transfer.done)
		return DY_RAFT_BUSY;
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		if (peer->voter && raft_peer_active(raft, peer) &&
		    (!best || peer->match_index > best->match_index))
			best = peer;
	}
	if (!best)
		return raft->peers->len ? DY_RAFT_BUSY : DY_RAFT_REFUSED;
	raft->transfer = transfer;
	raft->transfer_target = best->id;
	raft->transfer_until_ms = raft->now_ms + raft->options.election_ms;
	return DY_RAFT_DONE;
}
