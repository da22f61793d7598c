#include "fake_user.h"

#include <string.h>

#include "fake_registry.h"

void fake_user_change_leader(fake_user_t *user)
{
	GByteArray *saved = fake_registry_save(user->registry);

	dy_registry_destroy(user->registry);
	user->registry = fake_registry_load(NULL, saved);
	FAKE_REGISTRY_CHECK(user->registry);
	g_byte_array_unref(saved);
}

const dy_change_result_t *fake_user_change(fake_user_t *user,
					   dy_change_kind_t kind,
					   const char *who, uint8_t request,
					   uint64_t number, const char *bytes)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;

	change->kind = kind;
	change->request[0] = (char)request;
	change->operator_name = (char *)who;
	change->environment = kind == DY_CHANGE_SUBMIT ? "trial" : "";
	change->name = "";
	change->number = number;
	if (bytes)
		fake_registry_put(user->registry, bytes, strlen(bytes),
				  (uint8_t *)change->digest);
	fake_registry_apply(user->registry, &command);
	return dy_registry_find_answer(user->registry, change->request);
}

const dy_change_result_t *fake_user_change_named(fake_user_t *user,
						 dy_change_kind_t kind,
						 uint8_t request,
						 const char *name)
{
	dy_command_t command = { .kind = DY_COMMAND_CHANGE };
	dy_change_t *change = &command.dy_command_t_u.change.change;

	change->kind = kind;
	change->request[0] = (char)request;
	change->operator_name = "ann";
	change->environment = "";
	change->name = (char *)name;
	fake_registry_apply(user->registry, &command);
	return dy_registry_find_answer(user->registry, change->request);
}

void fake_user_mark_tried(fake_user_t *user)
{
	dy_command_t command = { .kind = DY_COMMAND_TRIED };

	memcpy(command.dy_command_t_u.tried.digest,
	       dy_registry_document(user->registry, DY_TRIAL)->digest,
	       DY_DIGEST_BYTES);
	fake_registry_apply(user->registry, &command);
}

dy_poll_t fake_user_member(dy_member_kind_t kind, const char *name,
			   const char *service, uint64_t boot)
{
	dy_poll_t poll = { 0 };

	poll.info.kind = kind;
	poll.info.name = (char *)name;
	poll.info.environment = "trial";
	poll.info.domain = "d1";
	poll.info.service = (char *)service;
	poll.info.labels = "tier=gold";
	/* A start with another boot number has another address. */
	poll.info.address.port = (u_int)(4000 + boot % 1000);
	poll.info.slots = 7;
	poll.boot = boot;
	poll.state = DY_MEMBER_SERVING;
	return poll;
}

dy_status_t fake_user_poll(fake_user_t *user, dy_poll_t *poll)
{
	dy_status_t status;

	memset(&user->result, 0, sizeof(user->result));
	user->result.deltas.deltas_val = user->deltas;
	status = fake_registry_poll(user->registry, poll, &user->result, NULL);
	if (status == DY_STATUS_OK) {
		poll->incarnation = user->result.incarnation;
		poll->state_version = user->result.state_version;
	}
	return status;
}

void fake_user_mark(fake_user_t *user, const dy_poll_t *poll,
		    dy_member_mark_kind_t kind)
{
	dy_command_t command = { .kind = DY_COMMAND_MARK };
	dy_member_mark_t *mark = &command.dy_command_t_u.mark;

	mark->id = dy_member_id(poll->info.environment, poll->info.kind,
				poll->info.name);
	mark->incarnation = poll->incarnation;
	mark->mark = kind;
	fake_registry_apply(user->registry, &command);
}

unsigned fake_user_count_deltas(const fake_user_t *user, dy_delta_kind_t kind)
{
	unsigned count = 0;
	unsigned i;

	for (i = 0; i < user->result.deltas.deltas_len; i++)
		count += user->deltas[i].kind == kind;
	return count;
}
