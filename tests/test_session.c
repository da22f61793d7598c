#include "damaskyard/loop.h"
#include "damaskyard/session.h"
#include "fake_suite.h"

#include <malloc.h>
#include <stdio.h>
#include <string.h>

#include <rpc/rpc.h>

#define SESSIONS 100000

/*
 * The size that session.h states, with a margin for other allocators' rounding.
 */
#define BYTES_MAX 260

static uint8_t body[40] = { 1 };
static const dy_rpc_auth_t credential = { AUTH_SYS, sizeof(body), body };

static dy_session_t *open_at(dy_sessions_t *sessions, uint64_t id,
			     uint64_t now_ms)
{
	return dy_sessions_open(sessions, id, 1, &credential, now_ms);
}

START_TEST(refuses_session_when_full_but_accepts_handover)
{
	dy_sessions_t *sessions =
		dy_sessions_create(2, DY_RETRANSMIT_WINDOW_MS, 1);
	dy_moved_body_t moved = { 0 };

	ck_assert_ptr_nonnull(open_at(sessions, 1, 0));
	ck_assert_ptr_nonnull(open_at(sessions, 2, 0));
	ck_assert_ptr_null(open_at(sessions, 3, 0));
	ck_assert_ptr_nonnull(dy_sessions_find(sessions, 1));
	/* A session that is handed over is accepted all the same. */
	ck_assert_ptr_nonnull(dy_sessions_receive(sessions, 4, &moved, 0));
	dy_sessions_destroy(sessions);
}
END_TEST

/*
 * Guards against a session that expires before the last retransmission of its
 * calls, which would then run as a new call.
 */
START_TEST(keeps_idle_session_for_retransmissions)
{
	dy_sessions_t *sessions = dy_sessions_create(9, 1, 1);
	dy_session_t *session = open_at(sessions, 1, 0);

	open_at(sessions, 2, 0);
	dy_sessions_touch(sessions, session, 1000);
	ck_assert_uint_eq(
		dy_sessions_expire(sessions, DY_RETRANSMIT_WINDOW_MS - 1, 9),
		0);
	ck_assert_uint_eq(
		dy_sessions_expire(sessions, DY_RETRANSMIT_WINDOW_MS, 9), 1);
	ck_assert_ptr_nonnull(dy_sessions_find(sessions, 1));
	ck_assert_ptr_null(dy_sessions_find(sessions, 2));
	dy_sessions_destroy(sessions);
}
END_TEST

START_TEST(derives_distinct_opening_ids_per_caller)
{
	dy_sessions_t *sessions = dy_sessions_create(9, 1, 1);
	dy_address_t a;
	dy_address_t b;
	uint64_t id;

	dy_address_parse("10.0.0.1:5000", &a);
	dy_address_parse("10.0.0.1:5001", &b);
	id = dy_sessions_opening_id(sessions, &a, 7);
	ck_assert_uint_eq(id, dy_sessions_opening_id(sessions, &a, 7));
	ck_assert_uint_ne(id, dy_sessions_opening_id(sessions, &a, 8));
	ck_assert_uint_ne(id, dy_sessions_opening_id(sessions, &b, 7));
	ck_assert_uint_eq(dy_sessions_caller_hash(sessions, &a, &credential),
			  dy_sessions_caller_hash(sessions, &b, &credential));
	dy_sessions_destroy(sessions);
}
END_TEST

/* Includes mapped blocks: the table is large enough to be mapped. */
static size_t bytes_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

START_TEST(limits_memory_per_session)
{
	dy_sessions_t *sessions = dy_sessions_create(SESSIONS, 1, 1);
	size_t before = bytes_in_use();
	size_t each;
	uint64_t i;

	for (i = 1; i <= SESSIONS; i++)
		open_at(sessions, i, 0);
	each = (bytes_in_use() - before) / SESSIONS;
	printf("measure name=session_bytes sessions=%d bytes=%zu\n", SESSIONS,
	       each);
	ck_assert_uint_lt(each, BYTES_MAX);
#ifndef __SANITIZE_ADDRESS__ /* whose allocator counts nothing here */
	ck_assert_uint_ge(each, sizeof(dy_session_t));
#endif
	dy_sessions_destroy(sessions);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		refuses_session_when_full_but_accepts_handover,
		keeps_idle_session_for_retransmissions,
		derives_distinct_opening_ids_per_caller,
		limits_memory_per_session,
		NULL,
	};

	return fake_suite_run("session", tests);
}
