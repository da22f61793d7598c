/*
 * Commands of the control group's state machine, as stored in its log, and the
 * records of its snapshot. Internal to control.
 */

#ifdef RPC_HDR
%#include "dy_control.h"
#endif
#ifdef RPC_XDR
%#include "dy_control.h"
#endif

/* Bytes of a document in one log entry, below DY_RAFT_ENTRY_BYTES. */
const DY_CONTENT_PAGE_BYTES = 30720;

const DY_REGISTRY_FORMAT = 1;

/*
 * A page of a document's content. Pages of one content arrive in order. A page
 * that is present already is a retransmission and changes nothing.
 */
struct dy_content_page_t {
	opaque digest[DY_DIGEST_BYTES];
	unsigned int size;
	unsigned int offset;
	opaque bytes<DY_CONTENT_PAGE_BYTES>;
};

/* salt is that of the new key, for DY_CHANGE_ROTATE. */
struct dy_operator_change_t {
	dy_change_t change;
	opaque salt[DY_SALT_BYTES];
};

struct dy_member_join_t {
	dy_member_info_t info;
	unsigned hyper boot;
	dy_member_state_t state;
};

struct dy_member_update_t {
	unsigned hyper incarnation;
	dy_member_state_t state;
	dy_member_info_t info;
	unsigned hyper successors<DY_SUCCESSORS_MAX>;
};

enum dy_member_mark_kind_t {
	DY_MARK_SUSPECT = 1,	/* its lease expired */
	DY_MARK_DEAD = 2,	/* it was suspect for too long */
	DY_MARK_FORGET = 3	/* drop the record of a gone member */
};

struct dy_member_mark_t {
	unsigned hyper id;
	unsigned hyper incarnation;
	dy_member_mark_kind_t mark;
};

enum dy_key_step_kind_t {
	DY_KEY_ADD = 1,
	DY_KEY_ACTIVATE = 2,
	DY_KEY_RETIRE = 3
};

struct dy_key_step_t {
	dy_key_step_kind_t step;
	unsigned int id;		/* not with DY_KEY_ADD */
	opaque salt[DY_SALT_BYTES];	/* with DY_KEY_ADD */
};

/* Every live member of trial has this content in force. */
struct dy_content_tried_t {
	opaque digest[DY_DIGEST_BYTES];
};

enum dy_command_kind_t {
	DY_COMMAND_PAGE = 1,
	DY_COMMAND_CHANGE = 2,
	DY_COMMAND_JOIN = 3,
	DY_COMMAND_UPDATE = 4,
	DY_COMMAND_MARK = 5,
	DY_COMMAND_KEY = 6,
	DY_COMMAND_TRIED = 7
};

union dy_command_t switch (dy_command_kind_t kind) {
case DY_COMMAND_PAGE:
	dy_content_page_t page;
case DY_COMMAND_CHANGE:
	dy_operator_change_t change;
case DY_COMMAND_JOIN:
	dy_member_join_t join;
case DY_COMMAND_UPDATE:
	dy_member_update_t update;
case DY_COMMAND_MARK:
	dy_member_mark_t mark;
case DY_COMMAND_KEY:
	dy_key_step_t key;
case DY_COMMAND_TRIED:
	dy_content_tried_t tried;
};

enum dy_saved_kind_t {
	DY_SAVED_HEAD = 1,
	DY_SAVED_CONTENT = 2,
	DY_SAVED_DOCUMENT = 3,
	DY_SAVED_TRIED = 4,
	DY_SAVED_KEY = 5,
	DY_SAVED_MEMBER = 6,
	DY_SAVED_ANSWER = 7,
	DY_SAVED_END = 8,
	DY_SAVED_DOMAIN = 9
};

struct dy_saved_head_t {
	unsigned int format;
	unsigned hyper index;
	unsigned hyper forgotten;
	unsigned int last_key;
};

struct dy_saved_document_t {
	dy_document_info_t info;
	unsigned hyper changed;
	string operator_name<DY_NAME_BYTES>;
};

struct dy_saved_key_t {
	dy_key_info_t info;
	unsigned hyper changed;
};

struct dy_saved_member_t {
	dy_member_t member;
	unsigned hyper boot;
	unsigned hyper changed;
	bool drain;
	bool current;
};

struct dy_saved_domain_t {
	dy_domain_info_t info;
	unsigned hyper changed;
	string operator_name<DY_NAME_BYTES>;
};

struct dy_saved_answer_t {
	opaque request[16];
	dy_change_result_t result;
};

union dy_saved_t switch (dy_saved_kind_t kind) {
case DY_SAVED_HEAD:
	dy_saved_head_t head;
case DY_SAVED_CONTENT:
	dy_content_page_t content;
case DY_SAVED_DOCUMENT:
	dy_saved_document_t document;
case DY_SAVED_TRIED:
	dy_content_tried_t tried;
case DY_SAVED_KEY:
	dy_saved_key_t key;
case DY_SAVED_MEMBER:
	dy_saved_member_t member;
case DY_SAVED_ANSWER:
	dy_saved_answer_t answer;
case DY_SAVED_END:
	void;
case DY_SAVED_DOMAIN:
	dy_saved_domain_t domain;
};
