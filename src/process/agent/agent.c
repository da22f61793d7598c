#include "agent_private.h"

#include <string.h>

/* Maximum number of idle sessions that expire in one tick. */
#define EXPIRE_BATCH_MAX 64

/* In ms. The reports read windows of minutes and more. */
#define BURN_PUBLISH_INTERVAL_MS 1000

/* Limit of sessions until a document sets one. */
#define INITIAL_SESSIONS_MAX 2000

static dy_admission_t *create_admission(dy_agent_t *agent)
{
	dy_admission_config_t config;

	dy_admission_config_init(&config, agent->links_up);
	if (agent->service.known) {
		config.queue_limit = agent->service.queue;
		config.default_budget_us = agent->service.deadline_ms * 1000ULL;
	}
	return dy_admission_create(&config, agent->rand);
}

dy_agent_t *dy_agent_create(const dy_agent_config_t *config)
{
	dy_agent_t *agent = g_new0(dy_agent_t, 1);

	agent->config = *config;
	agent->id = dy_member_id(config->environment, DY_MEMBER_AGENT,
				 config->name);
	agent->state = DY_MEMBER_JOINING;
	agent->rand = g_rand_new_with_seed((guint32)config->seed);
	agent->next_xid = g_rand_int(agent->rand);
	agent->members = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	agent->departed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	agent->sessions = dy_sessions_create(
		INITIAL_SESSIONS_MAX,
		DY_SERVICE_DEFAULT_SESSION_IDLE_S * 1000ULL, config->seed);
	agent->admission = create_admission(agent);
	agent->burn = dy_burn_create();
	g_queue_init(&agent->awaiting_link);
	g_queue_init(&agent->cancels);
	agent_event_init(agent);
	return agent;
}

void dy_agent_destroy(dy_agent_t *agent)
{
	if (!agent)
		return;
	agent_call_drop_all(agent);
	agent_cancel_drop_all(agent);
	dy_sessions_destroy(agent->sessions);
	dy_burn_destroy(agent->burn);
	dy_admission_destroy(agent->admission);
	g_hash_table_destroy(agent->members);
	g_hash_table_destroy(agent->departed);
	g_rand_free(agent->rand);
	g_free(agent->service.idempotent);
	g_free(agent);
}

uint64_t agent_now_us(const dy_agent_t *agent)
{
	return agent->config.callbacks->now_us(agent->config.context);
}

uint64_t agent_now_ms(const dy_agent_t *agent)
{
	return agent_now_us(agent) / 1000;
}

void dy_agent_set_incarnation(dy_agent_t *agent, uint64_t incarnation)
{
	agent->incarnation = incarnation;
	if (agent->state == DY_MEMBER_JOINING)
		agent->state = DY_MEMBER_SERVING;
}

/*
 * Without a lease the agent may be partitioned from control, and its name may
 * have been given to another process. Existing sessions go on: no other agent
 * can run their calls, and ending them would cause an outage that control did
 * not order. New flows go to agents with a lease, so that an agent that is
 * about to be replaced gets no more sessions.
 */
void dy_agent_set_lease(dy_agent_t *agent, int held)
{
	if (agent->lease_held == held)
		return;
	agent->lease_held = held;
	agent_log_event(agent, EVENT_CONTROL_LEASE, "held=%d", held);
}

void dy_agent_set_evacuated(dy_agent_t *agent, int evacuated)
{
	agent->evacuated = evacuated;
}

void dy_agent_supersede(dy_agent_t *agent)
{
	if (agent->superseded)
		return;
	agent->superseded = 1;
	agent_call_refuse_unsent(agent, DY_EVENT_STOPPING);
	agent_log_event(agent, EVENT_SUPERSEDED, "incarnation=%lu",
			(unsigned long)agent->incarnation);
}

static void describe_target(const dy_agent_t *agent, dy_member_info_t *info)
{
	memset(info, 0, sizeof(*info));
	info->kind = DY_MEMBER_AGENT;
	info->name = (char *)agent->config.name;
	info->environment = (char *)agent->config.environment;
	info->domain = (char *)agent->config.domain;
	info->service = (char *)agent->target.service;
	info->labels = (char *)agent->target.labels;
	info->slots = agent->target.slots;
	info->connections = agent->target.connections;
}

static const dy_service_t *choose_service(const dy_agent_t *agent,
					  const dy_document_t *document)
{
	const dy_service_t *service;
	dy_member_info_t info;
	unsigned i;

	describe_target(agent, &info);
	for (i = 0; i < dy_document_service_count(document); i++) {
		service = dy_document_service(document, i);
		if (dy_service_accepts(service, &info))
			return service;
	}
	return NULL;
}

static void set_service(dy_agent_t *agent, const dy_service_t *from)
{
	agent_service_t *service = &agent->service;

	g_free(service->idempotent);
	memset(service, 0, sizeof(*service));
	service->known = 1;
	g_strlcpy(service->name, from->name, sizeof(service->name));
	service->id = from->id;
	service->program = from->program;
	service->program_version = from->program_version;
	service->idempotent =
		g_memdup2(from->idempotent,
			  from->idempotent_count * sizeof(*from->idempotent));
	service->idempotent_count = from->idempotent_count;
	service->slots = from->slots;
	service->connections = from->connections;
	service->objective = from->objective;
	service->queue = from->queue;
	service->deadline_ms = from->deadline_ms;
	service->session_idle_s = from->session_idle_s;
}

void agent_apply_limits(dy_agent_t *agent)
{
	const agent_service_t *service = &agent->service;
	const agent_target_t *target = &agent->target;

	if (!service->known) {
		agent_target_set_slots(agent);
		return;
	}
	dy_sessions_set_limits(agent->sessions,
			       MIN(service->connections, target->connections),
			       service->session_idle_s * 1000ULL);
	agent_target_set_slots(agent);
	if (agent->slots == agent->rate_limit_slots)
		return;
	agent->rate_limit_slots = agent->slots;
	dy_session_rate_limit_init(&agent->session_rate_limit, agent->slots,
				   agent_now_ms(agent));
}

static void start_service(dy_agent_t *agent, const dy_service_t *service)
{
	int first = !agent->service.known;

	set_service(agent, service);
	if (first) {
		dy_admission_destroy(agent->admission);
		agent->admission = create_admission(agent);
	}
	agent_apply_limits(agent);
	dy_log_event(DY_LOG_INFO, "service_taken",
		     "service=%s slots=%u connections=%u deadline_ms=%u",
		     agent->service.name, agent->slots,
		     dy_sessions_cap(agent->sessions),
		     agent->service.deadline_ms);
}

void dy_agent_set_document(dy_agent_t *agent, const dy_document_t *document)
{
	const dy_service_t *service;

	if (!agent->target.known)
		return;
	service = choose_service(agent, document);
	if (agent->service.known &&
	    (!service || service->id != agent->service.id)) {
		dy_agent_drain(agent, "document", 0);
		return;
	}
	if (service)
		start_service(agent, service);
}

static void publish_burn(dy_agent_t *agent)
{
	uint64_t now = agent_now_ms(agent);
	char name[2 * DY_NAME_BYTES];

	if (!agent->service.known ||
	    now - agent->burn_published_ms < BURN_PUBLISH_INTERVAL_MS)
		return;
	agent->burn_published_ms = now;
	dy_burn_publish(agent->burn, agent->config.metrics, agent->service.name,
			now);
	g_snprintf(name, sizeof(name), "objective_ppm:%s", agent->service.name);
	*dy_metrics_counter(agent->config.metrics, g_intern_string(name)) =
		(uint64_t)(agent->service.objective * 10000);
}

static void adapt_session_rate_limit(dy_agent_t *agent)
{
	dy_admission_load_t load;

	dy_admission_load(agent->admission, agent_now_us(agent), &load);
	dy_session_rate_limit_adapt(&agent->session_rate_limit,
				    load.expected_wait_us / 1000,
				    agent_now_ms(agent));
}

void dy_agent_tick(dy_agent_t *agent)
{
	unsigned expired;

	agent_target_tick(agent);
	agent_call_expire_admitted(agent);
	agent_cancel_tick(agent);
	agent_call_dispatch(agent);
	adapt_session_rate_limit(agent);
	publish_burn(agent);
	expired = dy_sessions_expire(agent->sessions, agent_now_ms(agent),
				     EXPIRE_BATCH_MAX);
	if (expired) {
		agent_log_event(agent, EVENT_SESSIONS_EXPIRED, "count=%u",
				expired);
		*agent->counters[EVENT_SESSIONS_EXPIRED] += expired - 1;
	}
	agent_drain_tick(agent);
}

dy_member_state_t dy_agent_state(const dy_agent_t *agent)
{
	return agent->state;
}

unsigned dy_agent_session_count(const dy_agent_t *agent)
{
	return dy_sessions_count(agent->sessions);
}

uint64_t dy_agent_id(const dy_agent_t *agent)
{
	return agent->id;
}

const char *dy_agent_service(const dy_agent_t *agent)
{
	return agent->service.known ? agent->service.name : NULL;
}

void dy_agent_load(const dy_agent_t *agent, dy_load_t *load)
{
	dy_admission_load_t from;

	dy_admission_load(agent->admission, agent_now_us(agent), &from);
	load->slots = from.slots;
	load->in_flight = from.in_flight;
	load->queued = from.queued;
	load->wait_ms = (u_int)(from.expected_wait_us / 1000);
	load->sessions = dy_sessions_count(agent->sessions);
	load->connections = dy_sessions_cap(agent->sessions);
	load->refused = (u_int)*agent->counters[EVENT_CALLS_NOT_RUN];
	load->draining = agent->state != DY_MEMBER_SERVING;
	load->cold = agent->target.cold;
}
