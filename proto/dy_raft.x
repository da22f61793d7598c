/*
 * Messages of the control group's replicated log, and the records that its
 * members store on disk. Every array is bounded. A sender keeps the data of
 * one message below DY_RAFT_BATCH_BYTES, so that a message with all its
 * headers stays below DY_RAFT_MESSAGE_BYTES and fits one datagram.
 */

const DY_RAFT_MEMBERS_MAX = 16;
const DY_RAFT_ADDRESS_MAX = 64;
const DY_RAFT_ENTRY_BYTES = 32768;
const DY_RAFT_BATCH_ENTRIES = 64;
const DY_RAFT_BATCH_BYTES = 32768;
const DY_RAFT_CHUNK_BYTES = 16384;
const DY_RAFT_MESSAGE_BYTES = 49152;

/* Id of a control in its group, voter or learner. Identity 0 is no control. */
struct dy_voter_id_t {
	unsigned int slot;
	unsigned hyper identity;
};

enum dy_member_role_t {
	DY_MEMBER_VOTER = 1,
	DY_MEMBER_LEARNER = 2
};

struct dy_raft_member_t {
	dy_voter_id_t id;
	dy_member_role_t role;
	string address<DY_RAFT_ADDRESS_MAX>;
};

struct dy_raft_config_t {
	dy_raft_member_t members<DY_RAFT_MEMBERS_MAX>;
};

enum dy_entry_type_t {
	DY_ENTRY_NOOP = 1,
	DY_ENTRY_COMMAND = 2,
	DY_ENTRY_CONFIG = 3
};

/* data is an encoded command or an encoded dy_raft_config_t. */
struct dy_raft_entry_t {
	unsigned hyper index;
	unsigned hyper term;
	dy_entry_type_t type;
	opaque data<DY_RAFT_ENTRY_BYTES>;
};

enum dy_raft_kind_t {
	DY_RAFT_VOTE = 1,
	DY_RAFT_VOTE_REPLY = 2,
	DY_RAFT_APPEND = 3,
	DY_RAFT_APPEND_REPLY = 4,
	DY_RAFT_SNAPSHOT = 5,
	DY_RAFT_SNAPSHOT_REPLY = 6,
	DY_RAFT_TIMEOUT_NOW = 7,
	DY_RAFT_REFUSAL = 8
};

/* A pre-vote is for the term after the sender's and changes no state. */
struct dy_raft_vote_t {
	unsigned hyper last_index;
	unsigned hyper last_term;
	bool pre;
	bool transfer;
};

struct dy_raft_vote_reply_t {
	bool pre;
	bool granted;
};

struct dy_raft_append_t {
	unsigned hyper prev_index;
	unsigned hyper prev_term;
	unsigned hyper commit;
	unsigned hyper round;
	dy_raft_entry_t entries<DY_RAFT_BATCH_ENTRIES>;
};

/* After a conflict, conflict_index is the index that the leader tries next. */
struct dy_raft_append_reply_t {
	bool accepted;
	unsigned hyper prev_index;
	unsigned hyper match_index;
	unsigned hyper conflict_index;
	unsigned hyper conflict_term;
	unsigned hyper round;
};

struct dy_raft_snapshot_t {
	unsigned hyper last_index;
	unsigned hyper last_term;
	unsigned hyper config_index;
	dy_raft_config_t config;
	unsigned hyper size;
	unsigned hyper offset;
	opaque data<DY_RAFT_CHUNK_BYTES>;
	unsigned hyper round;
};

struct dy_raft_snapshot_reply_t {
	unsigned hyper last_index;
	unsigned hyper next_offset;
	bool installed;
	unsigned hyper round;
};

union dy_raft_body_t switch (dy_raft_kind_t kind) {
case DY_RAFT_VOTE:
	dy_raft_vote_t vote;
case DY_RAFT_VOTE_REPLY:
	dy_raft_vote_reply_t vote_reply;
case DY_RAFT_APPEND:
	dy_raft_append_t append;
case DY_RAFT_APPEND_REPLY:
	dy_raft_append_reply_t append_reply;
case DY_RAFT_SNAPSHOT:
	dy_raft_snapshot_t snapshot;
case DY_RAFT_SNAPSHOT_REPLY:
	dy_raft_snapshot_reply_t snapshot_reply;
case DY_RAFT_TIMEOUT_NOW:
	void;
case DY_RAFT_REFUSAL:
	void;
};

/* config_index is the index of the newest configuration of the sender. */
struct dy_raft_message_t {
	unsigned hyper group;
	dy_voter_id_t from;
	dy_voter_id_t to;
	unsigned hyper term;
	unsigned hyper config_index;
	dy_raft_body_t body;
};

/*
 * Records on disk. synced_index is the last index that was synced when the
 * record was written. Recovery tells a torn batch from a corrupt record by it.
 */
enum dy_record_kind_t {
	DY_RECORD_SEGMENT = 1,
	DY_RECORD_ENTRY = 2,
	DY_RECORD_IDENTITY = 3,
	DY_RECORD_VOTE = 4,
	DY_RECORD_SYNCED = 5,
	DY_RECORD_SNAPSHOT = 6,
	DY_RECORD_CHUNK = 7,
	DY_RECORD_SLOT = 8
};

struct dy_record_identity_t {
	unsigned hyper group;
	dy_voter_id_t id;
};

struct dy_record_vote_t {
	dy_voter_id_t id;
	unsigned hyper term;
	dy_voter_id_t voted_for;
};

struct dy_record_entry_t {
	unsigned hyper synced_index;
	dy_raft_entry_t entry;
};

struct dy_record_segment_t {
	unsigned hyper first_index;
	dy_voter_id_t id;
};

struct dy_record_snapshot_t {
	unsigned hyper last_index;
	unsigned hyper last_term;
	unsigned hyper config_index;
	dy_raft_config_t config;
	unsigned hyper size;
};

struct dy_record_chunk_t {
	unsigned hyper offset;
	opaque data<DY_RAFT_CHUNK_BYTES>;
};

/* Address of a slot's control. */
struct dy_slot_address_t {
	unsigned int slot;
	string address<DY_RAFT_ADDRESS_MAX>;
};

/*
 * What a control was told when it claimed its slot. first_start: the group was
 * being founded, by this number of controls; else a leader gave the slot.
 */
struct dy_record_slot_t {
	unsigned hyper group;
	unsigned int slot;
	bool first_start;
	unsigned int count;
	dy_slot_address_t peers<DY_RAFT_MEMBERS_MAX>;
};

union dy_record_t switch (dy_record_kind_t kind) {
case DY_RECORD_SEGMENT:
	dy_record_segment_t segment;
case DY_RECORD_ENTRY:
	dy_record_entry_t entry;
case DY_RECORD_IDENTITY:
	dy_record_identity_t identity;
case DY_RECORD_VOTE:
	dy_record_vote_t vote;
case DY_RECORD_SYNCED:
	unsigned hyper synced_index;
case DY_RECORD_SNAPSHOT:
	dy_record_snapshot_t snapshot;
case DY_RECORD_CHUNK:
	dy_record_chunk_t chunk;
case DY_RECORD_SLOT:
	dy_record_slot_t slot;
};
