#include "raft_private.h"

#include "damaskyard/invariant.h"

/* By this many doublings the timeout has reached election_ms. */
#define FIRST_ELECTION_MAX_DOUBLINGS 8u

static const dy_voter_id_t no_member;

void raft_reset_election_timer(dy_raft_t *raft)
{
	uint32_t min_ms = raft->options.election_ms;

	raft->election_deadline_ms =
		raft->now_ms + min_ms +
		g_rand_int_range(raft->rand, 0, (gint32)min_ms);
}

/*
 * The timeout is shorter than that of raft_reset_election_timer() and doubles
 * with each lost election: where votes are slow to sync, a timeout that stays
 * short expires before any candidate has a majority.
 */
void raft_reset_first_election_timer(dy_raft_t *raft)
{
	uint32_t min_ms =
		MIN(raft->options.first_election_ms << MIN(
			    raft->lost_elections, FIRST_ELECTION_MAX_DOUBLINGS),
		    raft->options.election_ms);

	raft->election_deadline_ms =
		raft->now_ms + min_ms +
		g_rand_int_range(raft->rand, 0, (gint32)min_ms);
}

static void set_leader(dy_raft_t *raft, dy_voter_id_t leader)
{
	dy_assert(raft->last_leader_term < raft->term ||
		  dy_voter_id_equal(raft->last_leader, leader));
	raft->last_leader_term = raft->term;
	raft->last_leader = leader;
	raft->leader = leader;
	raft->leader_heard_ms = raft->now_ms;
}

void raft_forget_leader(dy_raft_t *raft)
{
	raft->leader = no_member;
	raft_reset_election_timer(raft);
}

/*
 * This member cannot complete its pending proposals and reads any more. They
 * fail at once, so that no caller waits until its deadline.
 */
static void fail_pending(dy_raft_t *raft)
{
	guint i;

	for (i = 0; i < raft->proposals->len; i++)
		raft_complete(raft,
			      &g_array_index(raft->proposals, pending_t, i),
			      DY_RAFT_UNKNOWN, 0);
	for (i = 0; i < raft->reads->len; i++)
		raft_complete(raft, &g_array_index(raft->reads, pending_t, i),
			      DY_RAFT_NOT_LEADER, 0);
	g_array_set_size(raft->proposals, 0);
	g_array_set_size(raft->reads, 0);
}

void raft_step_down(dy_raft_t *raft, uint64_t term)
{
	dy_assert(term >= raft->term);
	if (term > raft->term) {
		raft->term = term;
		raft->vote = no_member;
		raft->vote_changed = 1;
		raft->leader = no_member;
	}
	if (raft->role == DY_RAFT_LEADER) {
		raft->leader = no_member;
		fail_pending(raft);
	}
	if (raft->role != DY_RAFT_FOLLOWER)
		raft_reset_election_timer(raft);
	raft->role = DY_RAFT_FOLLOWER;
}

void raft_follow_leader(dy_raft_t *raft, dy_voter_id_t leader)
{
	dy_assert(raft->role != DY_RAFT_LEADER);
	raft_step_down(raft, raft->term);
	set_leader(raft, leader);
	raft_reset_election_timer(raft);
	raft_end_transfer(raft, DY_RAFT_DONE);
}

static void become_leader(dy_raft_t *raft)
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
		peer->last_reply_ms = raft->now_ms;
		peer->acked_round = 0;
		peer->sent_round = 0;
		peer->reply_deadline_ms = 0;
		peer->next_heartbeat_ms = 0;
		peer->snapshot_index = 0;
	}
	raft->confirmed_round = raft->round;
	/*
	 * Entries of earlier terms are never committed by counting replicas,
	 * since a later leader might still replace them. Committing this
	 * entry commits them.
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
			   raft_peer_at(raft, i)->vote_granted;
	if (granted < raft_majority(raft))
		return;
	if (raft->role == DY_RAFT_PRE_CANDIDATE)
		raft_start_election(raft, 0, 0);
	else
		become_leader(raft);
}

/*
 * A pre-vote finds out whether an election would be won, before the term is
 * incremented. Without it a member that returns from a partition has a greater
 * term and forces a healthy leader to step down.
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
	raft->leader = no_member;
	(*(pre ? raft->counters.pre_votes : raft->counters.elections))++;
	if (!pre) {
		raft->term++;
		raft->vote = raft->id;
		raft->vote_changed = 1;
	}
	/*
	 * Until a leader was heard, retry after the short first timeout: after
	 * a power loss the others may still be starting, or two candidates may
	 * have split the votes.
	 */
	if (!raft->last_leader_term)
		raft_reset_first_election_timer(raft);
	else
		raft_reset_election_timer(raft);
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		peer->vote_granted = 0;
		if (!peer->voter)
			continue;
		raft_init_message(raft, &message, DY_RAFT_VOTE, peer->id);
		vote->last_index = last;
		vote->last_term = dy_store_entry_term(raft->store, last);
		vote->pre = pre;
		vote->transfer = transfer;
		raft_enqueue(raft, &message);
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

static int can_grant_vote(const dy_raft_t *raft,
			  const dy_raft_message_t *message)
{
	/* The candidate's newer configuration may have this member as voter. */
	return (raft_is_voter(raft) ||
		message->config_index > raft_newest_config(raft)->index) &&
	       is_up_to_date(raft, &message->body.dy_raft_body_t_u.vote);
}

static int grant_vote(dy_raft_t *raft, const dy_raft_message_t *message)
{
	if (message->term != raft->term || !can_grant_vote(raft, message))
		return 0;
	if (raft->vote.identity &&
	    !dy_voter_id_equal(raft->vote, message->from))
		return 0;
	if (!raft->vote.identity) {
		raft->vote = message->from;
		raft->vote_changed = 1;
	}
	raft_reset_election_timer(raft);
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
			  can_grant_vote(raft, message);
	} else {
		/* A candidate cut off from the leader must not depose it. */
		if (alive)
			return;
		if (message->term > raft->term)
			raft_step_down(raft, message->term);
		granted = grant_vote(raft, message);
	}
	raft_init_message(raft, &reply, DY_RAFT_VOTE_REPLY, message->from);
	/* The reply has the candidate's term, which is not adopted here. */
	if (vote->pre && granted)
		reply.term = message->term;
	reply.body.dy_raft_body_t_u.vote_reply.pre = vote->pre;
	reply.body.dy_raft_body_t_u.vote_reply.granted = granted;
	raft_enqueue(raft, &reply);
}

void raft_handle_vote_reply(dy_raft_t *raft, const dy_raft_message_t *message)
{
	const dy_raft_vote_reply_t *reply =
		&message->body.dy_raft_body_t_u.vote_reply;
	peer_t *peer = raft_find_peer(raft, message->from);
	dy_raft_role_t expected_role =
		reply->pre ? DY_RAFT_PRE_CANDIDATE : DY_RAFT_CANDIDATE;

	if (!peer || !reply->granted || raft->role != expected_role)
		return;
	peer->vote_granted = 1;
	count_votes(raft);
}

void raft_handle_timeout_now(dy_raft_t *raft, const dy_raft_message_t *message)
{
	if (raft->role == DY_RAFT_LEADER || !raft_is_voter(raft) ||
	    raft->refuses_leadership ||
	    !dy_voter_id_equal(raft->leader, message->from))
		return;
	raft_start_election(raft, 0, 1);
}

void dy_raft_refuse_leadership(dy_raft_t *raft)
{
	raft->refuses_leadership = 1;
}

void raft_end_transfer(dy_raft_t *raft, dy_raft_result_t result)
{
	if (!raft->transfer.done)
		return;
	raft_complete(raft, &raft->transfer, result, 0);
	raft->transfer.done = NULL;
}

void raft_tick_transfer(dy_raft_t *raft)
{
	dy_raft_message_t message;
	const peer_t *peer;

	if (!raft->transfer.done)
		return;
	if (raft->now_ms >= raft->transfer_deadline_ms) {
		raft->transfer_failed = raft->transfer_target;
		raft_end_transfer(raft, DY_RAFT_BUSY);
		return;
	}
	peer = raft_find_peer(raft, raft->transfer_target);
	if (raft->role != DY_RAFT_LEADER || !peer ||
	    peer->match_index < dy_store_last_index(raft->store))
		return;
	raft_init_message(raft, &message, DY_RAFT_TIMEOUT_NOW, peer->id);
	raft_enqueue(raft, &message);
}

/*
 * Whether a is the better target: not the one that did not take the last
 * transfer, as one that stops too does not, then the one with the longer log.
 */
static int is_better_target(const dy_raft_t *raft, const peer_t *a,
			    const peer_t *b)
{
	int a_failed = dy_voter_id_equal(a->id, raft->transfer_failed);
	int b_failed = dy_voter_id_equal(b->id, raft->transfer_failed);

	if (a_failed != b_failed)
		return b_failed;
	return a->match_index > b->match_index;
}

dy_raft_result_t dy_raft_transfer(dy_raft_t *raft, dy_raft_done_cb_t *done,
				  void *context)
{
	pending_t transfer = { .done = done, .context = context };
	const peer_t *best = NULL;
	const peer_t *peer;
	guint i;

	if (raft->failed || raft->role != DY_RAFT_LEADER)
		return DY_RAFT_NOT_LEADER;
	if (raft->transfer.done)
		return DY_RAFT_BUSY;
	for (i = 0; i < raft->peers->len; i++) {
		peer = raft_peer_at(raft, i);
		if (peer->voter && raft_peer_is_active(raft, peer) &&
		    (!best || is_better_target(raft, peer, best)))
			best = peer;
	}
	if (!best)
		return raft->peers->len ? DY_RAFT_BUSY : DY_RAFT_REFUSED;
	raft->transfer = transfer;
	raft->transfer_target = best->id;
	raft->transfer_deadline_ms = raft->now_ms + raft->options.election_ms;
	return DY_RAFT_DONE;
}
