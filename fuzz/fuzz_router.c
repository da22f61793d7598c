/*
 * Runs member changes and calls through one balancer's router and compares it
 * with an oracle that has each incarnation's service, state and successors.
 * For each datagram:
 * - it is forwarded once, answered once, or dropped;
 * - it goes only to a target of its own service;
 * - a non-idempotent call goes only to the owner of its session, and is never
 *   refused as not run if it carries a token;
 * - a new flow never goes to a target that drains, has left or is dead.
 */

#include <stdlib.h>
#include <string.h>

#include <rpc/rpc.h>

#include "damaskyard/log.h"
#include "damaskyard/router.h"
#include "damaskyard/successor.h"

#define AGENTS 6
#define MEMBERS_MAX 64
#define NO_OWNER 0
#define CHECK(what)              \
	do {                     \
		if (!(what))     \
			abort(); \
	} while (0)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char document_text[] =
	"[service a]\naddress = 10.0.0.1:1\nprogram = 7\nversion = 1\n"
	"idempotent = 2\n"
	"[service b]\naddress = 10.0.0.2:1\nprogram = 7\nversion = 1\n"
	"idempotent = 2\n";

typedef struct member {
	uint64_t id;
	uint64_t incarnation;
	int service;
	dy_member_state_t state;
	uint64_t successors[2];
	unsigned successor_count;
} member_t;

typedef struct run {
	const uint8_t *data;
	size_t left;
	dy_router_t *router;
	dy_keyring_t *ring;
	member_t members[MEMBERS_MAX];
	unsigned count;
	uint64_t now_ms;
	uint32_t xid;
	unsigned forwards;
	uint64_t forwarded_to;
	dy_forward_t last_forward;
	uint8_t last_datagram[DY_DATAGRAM_BYTES];
	unsigned answers;
	int refused;
	dy_refusal_t refusal;
} run_t;

static unsigned read_below(run_t *run, unsigned limit)
{
	if (!run->left)
		return 0;
	run->left--;
	return *run->data++ % limit;
}

static void on_forward(void *context, const dy_address_t *to,
		       dy_forward_t *forward)
{
	run_t *run = context;

	(void)to;
	run->forwards++;
	run->forwarded_to = forward->incarnation;
	run->last_forward = *forward;
	memcpy(run->last_datagram, forward->datagram.datagram_val,
	       forward->datagram.datagram_len);
	run->last_forward.datagram.datagram_val = (char *)run->last_datagram;
}

static void on_answer(void *context, uint64_t socket,
		      const dy_address_t *caller, const uint8_t *bytes,
		      size_t len)
{
	dy_rpc_reply_t reply;
	run_t *run = context;

	(void)socket;
	(void)caller;
	run->answers++;
	CHECK(!dy_rpc_parse_reply(bytes, len, &reply));
	run->refused = !dy_rpc_load_refusal(&reply, &run->refusal);
}

static const char *service_name(int service)
{
	return service ? "b" : "a";
}

static member_t *find_incarnation(run_t *run, uint64_t incarnation)
{
	unsigned i;

	for (i = 0; i < run->count; i++)
		if (run->members[i].incarnation == incarnation)
			return &run->members[i];
	return NULL;
}

static member_t *find_current(run_t *run, uint64_t id)
{
	member_t *found = NULL;
	unsigned i;

	for (i = 0; i < run->count; i++)
		if (run->members[i].id == id)
			found = &run->members[i];
	return found;
}

static void update_member(run_t *run, const member_t *source)
{
	dy_member_t member = { .id = source->id,
			       .incarnation = source->incarnation,
			       .state = source->state };

	member.info.kind = DY_MEMBER_AGENT;
	member.info.name = "x";
	member.info.environment = "production";
	member.info.domain = "d1";
	member.info.labels = "";
	member.info.service = (char *)service_name(source->service);
	member.info.slots = 4;
	member.info.connections = 2000;
	member.successors.successors_len = source->successor_count;
	member.successors.successors_val = (uint64_t *)source->successors;
	dy_router_set_member(run->router, &member, run->now_ms);
}

/* An id always serves the same service, as an agent's name does in practice. */
static void join_agent(run_t *run)
{
	unsigned agent = read_below(run, AGENTS);
	member_t *previous = find_current(run, agent + 1);
	member_t *member;

	if (run->count == MEMBERS_MAX)
		return;
	if (previous && previous->state != DY_MEMBER_LEFT) {
		previous->state = DY_MEMBER_DEAD;
		update_member(run, previous);
	}
	member = &run->members[run->count++];
	member->id = agent + 1;
	member->incarnation = 100 + run->count;
	member->service = (int)(agent % 2);
	member->state = DY_MEMBER_SERVING;
	update_member(run, member);
}

/* Returns an incarnation of the same service, or one that is not known yet. */
static uint64_t read_successor(run_t *run, const member_t *member)
{
	unsigned i = read_below(run, run->count + 1);

	for (; i < run->count; i++)
		if (run->members[i].service == member->service)
			return run->members[i].incarnation;
	return 101 + MEMBERS_MAX;
}

static void change_member(run_t *run)
{
	member_t *member;
	unsigned i;

	if (!run->count)
		return;
	member = &run->members[read_below(run, run->count)];
	if (member->state >= DY_MEMBER_LEFT &&
	    member->state != DY_MEMBER_SUSPECT)
		return;
	member->state = DY_MEMBER_SERVING + read_below(run, 5);
	member->successor_count = 0;
	if (member->state == DY_MEMBER_LEFT)
		member->successor_count = read_below(run, 3);
	for (i = 0; i < member->successor_count; i++)
		member->successors[i] = read_successor(run, member);
	update_member(run, member);
}

/* Returns the incarnation that may run a call with that token, or NO_OWNER. */
static uint64_t find_owner(run_t *run, uint64_t incarnation, uint64_t session)
{
	member_t *member = find_incarnation(run, incarnation);
	uint64_t next;
	int i;

	for (i = 0; member && i < 8; i++) {
		if (member->state == DY_MEMBER_DEAD)
			return NO_OWNER;
		if (member->state != DY_MEMBER_LEFT)
			return member->incarnation;
		next = dy_successor_pick(session, member->successors,
					 member->successor_count);
		member = next ? find_incarnation(run, next) : NULL;
	}
	return NO_OWNER;
}

static void check_new_flow(run_t *run, int service)
{
	member_t *member;

	if (!run->forwards)
		return;
	member = find_incarnation(run, run->forwarded_to);
	CHECK(member && member->service == service);
	CHECK(member->state == DY_MEMBER_SERVING);
}

static void check_session_call(run_t *run, const dy_token_t *token)
{
	uint64_t owner;

	CHECK(run->forwards + run->answers == 1);
	if (run->answers) {
		CHECK(run->refused);
		CHECK(run->refusal.verdict == DY_MAY_HAVE_RUN);
		return;
	}
	owner = find_owner(run, token->incarnation, token->session);
	if (!find_incarnation(run, token->incarnation))
		owner = token->incarnation;
	CHECK(run->forwarded_to == owner);
}

static void send_call(run_t *run)
{
	uint8_t bytes[512];
	uint8_t signed_token[DY_TOKEN_BYTES];
	dy_router_datagram_t datagram = { 0 };
	dy_rpc_call_t message = { .program = 7, .program_version = 1 };
	dy_token_t token = { 0 };
	int service = (int)read_below(run, 2);
	int has_token = (int)read_below(run, 2);

	message.procedure = read_below(run, 3);
	message.xid = ++run->xid;
	token.agent = 1 + read_below(run, AGENTS);
	token.incarnation = 101 + read_below(run, MEMBERS_MAX);
	token.session = read_below(run, 8);
	token.service = dy_service_id(service_name((int)(token.agent - 1) % 2));
	if (find_incarnation(run, token.incarnation))
		token.agent = find_incarnation(run, token.incarnation)->id;
	if (has_token) {
		message.credential.flavor = AUTH_SHORT;
		message.credential.body = signed_token;
		message.credential.len = (uint32_t)dy_token_write(
			run->ring, &token, signed_token);
	}
	datagram.service = dy_service_id(service_name(service));
	datagram.bytes = bytes;
	datagram.len = dy_rpc_write_call(&message, bytes, sizeof(bytes));
	run->forwards = 0;
	run->answers = 0;
	run->refused = 0;
	dy_router_receive(run->router, &datagram, run->now_ms);
	CHECK(run->forwards + run->answers <= 1);
	if (has_token && token.service != datagram.service)
		CHECK(run->forwards + run->answers == 0);
	else if (has_token && message.procedure == 1)
		check_session_call(run, &token);
	else if (message.procedure == 1)
		CHECK(!run->forwards && run->answers == 1 && !run->refused);
	else if (!has_token)
		check_new_flow(run, service);
	else
		CHECK(run->forwards + run->answers == 1);
}

/* The agent that received the last forward answers or bounces it. */
static void answer_last_forward(run_t *run)
{
	dy_bounce_t bounce = { 0 };
	dy_answer_t answer = { 0 };
	uint8_t out[DY_RPC_MAX_HEADER_BYTES];
	dy_refusal_t refusal = { DY_NOT_RUN, DY_REASON_OVERLOAD, 1 };

	if (!run->forwards)
		return;
	run->forwards = 0;
	run->answers = 0;
	if (read_below(run, 2)) {
		bounce.forward = run->last_forward;
		bounce.load.draining = (bool_t)read_below(run, 2);
		dy_router_receive_bounce(run->router, &bounce, run->now_ms);
		CHECK(run->forwards + run->answers == 1);
		return;
	}
	answer.service = run->last_forward.service;
	answer.incarnation = run->last_forward.incarnation;
	answer.load.slots = read_below(run, 9);
	answer.load.in_flight = read_below(run, 9);
	answer.load.sessions = read_below(run, 9) * 400;
	answer.datagram.datagram_val = (char *)out;
	answer.datagram.datagram_len = (u_int)dy_rpc_write_refusal(
		run->xid, &refusal, out, sizeof(out));
	dy_router_receive_answer(run->router, &answer, run->now_ms);
	CHECK(run->answers == 1);
}

static void operate(run_t *run)
{
	switch (read_below(run, 6)) {
	case 0:
		join_agent(run);
		break;
	case 1:
		change_member(run);
		break;
	case 2:
		answer_last_forward(run);
		break;
	case 3:
		run->now_ms += read_below(run, 255) * 20;
		dy_router_expire(run->router, run->now_ms);
		break;
	default:
		send_call(run);
		break;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const dy_router_callbacks_t callbacks = { on_forward,
							 on_answer };
	static const dy_secrets_t secrets = { { { 1 } }, 1 };
	dy_key_info_t key = { .id = 1, .active = TRUE };
	dy_metrics_t *metrics = dy_metrics_create();
	GRand *rand = g_rand_new_with_seed(1);
	dy_router_config_t config = { 0 };
	run_t *run = g_new0(run_t, 1);

	dy_log_configure(DY_LOG_ERROR, NULL);
	run->data = data;
	run->left = size;
	run->now_ms = 1000000;
	run->ring = dy_keyring_create(&secrets);
	dy_keyring_apply(run->ring, &key);
	config.keyring = run->ring;
	config.metrics = metrics;
	config.rand = rand;
	config.domain = "d1";
	config.callbacks = &callbacks;
	config.context = run;
	run->router = dy_router_create(&config);
	dy_router_set_document(
		run->router,
		dy_document_parse(document_text, strlen(document_text), NULL),
		run->now_ms);
	dy_router_set_confirmed(run->router, 1);
	while (run->left)
		operate(run);
	dy_router_destroy(run->router);
	dy_keyring_destroy(run->ring);
	dy_metrics_destroy(metrics);
	g_rand_free(rand);
	g_free(run);
	return 0;
}
