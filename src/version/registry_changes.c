/*
 * Operators' changes. Each is decided when its log entry is applied, so that
 * every control accepts the same one of two changes with the same number.
 */

#include <string.h>

#include <rpc/xdr.h>

#include "damaskyard/invariant.h"
#include "registry_private.h"

static void free_answer(answer_t *answer)
{
	g_free(answer->result.operator_name);
	g_free(answer->result.message);
	g_free(answer);
}

void registry_drop_answers(dy_registry_t *registry)
{
	answer_t *answer;

	g_hash_table_remove_all(registry->answers_by_request);
	while ((answer = g_queue_pop_head(registry->answers)))
		free_answer(answer);
}

const dy_change_result_t *dy_registry_find_answer(const dy_registry_t *registry,
						  const char *request)
{
	answer_t *answer =
		g_hash_table_lookup(registry->answers_by_request, request);

	return answer ? &answer->result : NULL;
}

void registry_keep_answer(dy_registry_t *registry, const char *request,
			  const dy_change_result_t *result)
{
	answer_t *answer = g_new0(answer_t, 1);

	memcpy(answer->request, request, REQUEST_ID_BYTES);
	answer->result = *result;
	answer->result.operator_name = g_strdup(result->operator_name);
	answer->result.message = g_strdup(result->message);
	g_queue_push_tail(registry->answers, answer);
	g_hash_table_insert(registry->answers_by_request, answer->request,
			    answer);
	if (g_queue_get_length(registry->answers) <= DY_REGISTRY_ANSWERS_MAX)
		return;
	answer = g_queue_pop_head(registry->answers);
	g_hash_table_remove(registry->answers_by_request, answer->request);
	free_answer(answer);
}

static void refuse(dy_change_result_t *result, dy_status_t status,
		   const char *message)
{
	result->status = status;
	result->message = (char *)message;
}

static void fill_document(dy_change_result_t *result,
			  const dy_registry_document_t *document)
{
	result->number = document->number;
	memcpy(result->digest, document->digest, DY_DIGEST_BYTES);
	result->operator_name = (char *)document->operator_name;
}

/*
 * Refuses the second of two changes with the same number, which would silently
 * undo the first. The answer names the operator and document that won.
 */
static int is_conflict(const dy_registry_document_t *document,
		       const dy_change_t *change, dy_change_result_t *result)
{
	if (!change->number || change->number == document->number + 1)
		return 0;
	if (change->kind == DY_CHANGE_RAISE &&
	    change->number > document->number)
		return 0;
	fill_document(result, document);
	if (change->number <= document->number)
		refuse(result, DY_STATUS_CONFLICT,
		       "another change has this number");
	else
		refuse(result, DY_STATUS_CONFLICT,
		       "the number skips the one that is next");
	return 1;
}

static void accept_document(dy_registry_t *registry,
			    dy_environment_t environment,
			    const dy_change_t *change, const uint8_t *digest,
			    dy_change_result_t *result)
{
	dy_registry_document_t *document =
		&registry->environments[environment].document;
	const content_t *content = registry_find_content(registry, digest);
	uint64_t number = document->number + 1;

	if (change->kind == DY_CHANGE_RAISE)
		number = change->number;
	dy_assert(content && content->validated && !content->error);
	dy_assert(number > document->number);
	dy_assert(registry->index > document->changed);
	document->number = number;
	document->changed = registry->index;
	document->size = content->size;
	memmove(document->digest, digest, DY_DIGEST_BYTES);
	g_strlcpy(document->operator_name, change->operator_name,
		  sizeof(document->operator_name));
	fill_document(result, document);
	registry_emit_event(registry, DY_EVENT_DOCUMENT_ACCEPTED,
			    dy_environment_name(environment),
			    document->operator_name, number);
	registry_trim_contents(registry);
}

static void submit(dy_registry_t *registry, const dy_change_t *change,
		   dy_change_result_t *result)
{
	const uint8_t *digest = (const uint8_t *)change->digest;
	const content_t *content = registry_find_content(registry, digest);
	int environment = dy_environment_find(change->environment);

	if (environment < 0) {
		refuse(result, DY_STATUS_MALFORMED,
		       "the environment is neither trial nor production");
		return;
	}
	if (environment == DY_PRODUCTION) {
		refuse(result, DY_STATUS_NOT_TRIED,
		       "production takes only what is promoted from trial");
		return;
	}
	if (is_conflict(&registry->environments[environment].document, change,
			result))
		return;
	if (!content || !content->validated) {
		refuse(result, DY_STATUS_NOT_FOUND,
		       "the document's bytes did not arrive");
		return;
	}
	if (content->error) {
		refuse(result, DY_STATUS_MALFORMED, content->error);
		return;
	}
	accept_document(registry, environment, change, digest, result);
}

static const char *check_promotion(const dy_registry_t *registry,
				   const dy_change_t *change,
				   dy_change_result_t *result)
{
	static const char any[DY_DIGEST_BYTES];
	const dy_registry_document_t *trial =
		&registry->environments[DY_TRIAL].document;

	if (*change->environment &&
	    strcmp(change->environment, dy_environment_name(DY_PRODUCTION))) {
		result->status = DY_STATUS_MALFORMED;
		return "only production takes a promotion";
	}
	if (!trial->number) {
		result->status = DY_STATUS_NOT_FOUND;
		return "trial has no document";
	}
	if (memcmp(change->digest, any, DY_DIGEST_BYTES) &&
	    memcmp(change->digest, trial->digest, DY_DIGEST_BYTES)) {
		result->status = DY_STATUS_CONFLICT;
		fill_document(result, trial);
		return "trial has another document in force";
	}
	if (!dy_registry_is_tried(registry, trial->digest)) {
		result->status = DY_STATUS_NOT_TRIED;
		fill_document(result, trial);
		return "not yet in force on every live member of trial";
	}
	return NULL;
}

/* Puts the document in force in trial into force in production. */
static void promote(dy_registry_t *registry, const dy_change_t *change,
		    dy_change_result_t *result)
{
	const dy_registry_document_t *trial =
		&registry->environments[DY_TRIAL].document;
	const dy_registry_document_t *production =
		&registry->environments[DY_PRODUCTION].document;
	const char *reason = check_promotion(registry, change, result);

	if (reason) {
		result->message = (char *)reason;
		return;
	}
	if (production->number &&
	    !memcmp(production->digest, trial->digest, DY_DIGEST_BYTES)) {
		fill_document(result, production);
		result->message = "it is in force already";
		return;
	}
	if (!is_conflict(production, change, result))
		accept_document(registry, DY_PRODUCTION, change, trial->digest,
				result);
}

static dy_registry_member_t *find_named(const dy_registry_t *registry,
					const dy_change_t *change,
					dy_change_result_t *result)
{
	dy_registry_member_t *member = NULL;
	int matches = registry_find_named(registry, change->environment,
					  change->name, &member);

	if (matches == 1) {
		result->number = member->incarnation;
		return member;
	}
	if (!matches)
		refuse(result, DY_STATUS_NOT_FOUND,
		       "there is no member of this name");
	else
		refuse(result, DY_STATUS_CONFLICT,
		       "more than one member has this name; "
		       "name the environment");
	return NULL;
}

static void drain(dy_registry_t *registry, const dy_change_t *change,
		  dy_change_result_t *result)
{
	dy_registry_member_t *member = find_named(registry, change, result);

	if (!member)
		return;
	member->drain = 1;
	registry_emit_event(registry, DY_EVENT_DRAIN_WISHED,
			    dy_environment_name(member->environment),
			    member->name, member->incarnation);
}

static void remove_member(dy_registry_t *registry, const dy_change_t *change,
			  dy_change_result_t *result)
{
	dy_registry_member_t *member = find_named(registry, change, result);

	if (member)
		registry_declare_dead(registry, member);
}

/*
 * A request during a rotation gets the same rotation: its key has not signed
 * anything yet.
 */
static void rotate(dy_registry_t *registry, const char *salt,
		   dy_change_result_t *result)
{
	if (registry_has_pending_key(registry))
		result->message = "a rotation is under way already";
	else if (!registry_add_key(registry, salt))
		refuse(result, DY_STATUS_CONFLICT, "too many keys are in use");
	result->number = registry->last_key_id;
}

/*
 * The control has already checked that the domain exists, which may be known
 * from its settings only.
 */
static void change_domain(dy_registry_t *registry, const dy_change_t *change,
			  dy_change_result_t *result)
{
	if (!registry_change_domain(registry, change))
		refuse(result, DY_STATUS_CONFLICT,
		       "too many failure domains were evacuated");
	result->number = registry->index;
}

static void execute_change(dy_registry_t *registry,
			   const dy_operator_change_t *args,
			   dy_change_result_t *result)
{
	switch (args->change.kind) {
	case DY_CHANGE_SUBMIT:
	case DY_CHANGE_RAISE:
		submit(registry, &args->change, result);
		return;
	case DY_CHANGE_PROMOTE:
		promote(registry, &args->change, result);
		return;
	case DY_CHANGE_DRAIN:
		drain(registry, &args->change, result);
		return;
	case DY_CHANGE_REMOVE:
		remove_member(registry, &args->change, result);
		return;
	case DY_CHANGE_ROTATE:
		rotate(registry, args->salt, result);
		return;
	case DY_CHANGE_EVACUATE:
	case DY_CHANGE_READMIT:
		change_domain(registry, &args->change, result);
		return;
	}
	refuse(result, DY_STATUS_MALFORMED, "there is no such change");
}

/*
 * A change may be retransmitted because its answer was lost. It would conflict
 * with itself or be made twice, so its first answer is kept in the replicated
 * state, where a new leader finds it too.
 */
void registry_apply_change(dy_registry_t *registry,
			   const dy_operator_change_t *args)
{
	const dy_change_t *change = &args->change;
	dy_change_result_t result = { 0 };

	if (dy_registry_find_answer(registry, change->request)) {
		registry_emit_event(registry, DY_EVENT_CHANGE_RESENT,
				    change->environment, change->operator_name,
				    change->number);
		return;
	}
	result.operator_name = "";
	result.message = "";
	execute_change(registry, args, &result);
	if (result.status != DY_STATUS_OK)
		registry_emit_event(registry, DY_EVENT_CHANGE_REFUSED,
				    change->environment, change->operator_name,
				    result.status);
	registry_keep_answer(registry, change->request, &result);
}
