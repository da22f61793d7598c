#include <math.h>
#include <string.h>

#include "fake_service_private.h"

/* The modules' clocks do not start at 0, which some take for "never". */
#define START_MS 100000u

/* Spread of the log-normal distribution of work. */
#define WORK_SPREAD 0.5

/* Uniform numbers whose sum, less half their number, is nearly normal. */
#define NORMAL_TERMS 12

fake_service_settings_t fake_service_defaults(void)
{
	fake_service_settings_t settings = { 0 };

	settings.seed = 1;
	settings.balancers = 15;
	settings.targets = 40;
	settings.slots = 2;
	settings.callers = 2000;
	settings.one_way_us = 700;
	settings.caller_way_us = 3000;
	return settings;
}

uint64_t service_now_ms(const fake_service_t *service)
{
	return START_MS + heap_now(service->heap) / US_PER_MS;
}

void service_add(fake_service_t *service, uint64_t after_us, event_cb_t *event,
		 void *argument)
{
	heap_add(service->heap, heap_now(service->heap) + after_us, event,
		 service, argument);
}

static void run_message(void *context, void *argument)
{
	message_t *message = argument;

	message->run(context, message);
	dy_list_remove(&message->link);
	g_free(message);
}

message_t *service_post(fake_service_t *service, unsigned to, uint64_t after_us,
			message_cb_t *run, const void *packet)
{
	message_t *message = g_new(message_t, 1);

	message->run = run;
	message->to = to;
	if (packet)
		memcpy(&message->packet, packet, sizeof(message->packet));
	dy_list_init(&message->link);
	dy_list_append(&service->messages, &message->link);
	service_add(service, after_us, run_message, message);
	return message;
}

unsigned service_work_us(unsigned kind)
{
	return kind ? 29000 : 22000;
}

uint64_t service_draw_work(fake_service_t *service, unsigned kind)
{
	double normal = -NORMAL_TERMS / 2.0;
	int i;

	for (i = 0; i < NORMAL_TERMS; i++)
		normal += g_rand_double(service->random);
	return (uint64_t)(service_work_us(kind) *
			  exp(WORK_SPREAD * normal -
			      WORK_SPREAD * WORK_SPREAD / 2));
}

fake_service_t *fake_service_create(const fake_service_settings_t *settings)
{
	fake_service_t *service = g_new0(fake_service_t, 1);
	unsigned i;

	service->settings = *settings;
	service->heap = heap_create();
	dy_list_init(&service->messages);
	service->random = g_rand_new_with_seed(settings->seed);
	service->metrics = dy_metrics_create();
	service->ports = g_new0(unsigned, settings->callers);
	service->tries = g_hash_table_new_full(
		dy_flow_id_table_hash, dy_flow_id_table_equal, NULL, g_free);
	service->requests = g_ptr_array_new_with_free_func(g_free);
	service->windows =
		g_array_new(FALSE, TRUE, sizeof(fake_service_result_t));
	service->targets = g_new0(target_t, settings->targets);
	for (i = 0; i < settings->targets; i++)
		target_init(&service->targets[i], service, i);
	members_create(service);
	for (i = 0; i < settings->targets; i++)
		target_start(&service->targets[i]);
	callers_start(service);
	return service;
}

void fake_service_destroy(fake_service_t *service)
{
	dy_list_t *pos;
	dy_list_t *tmp;
	unsigned i;

	if (!service)
		return;
	heap_destroy(service->heap);
	DY_LIST_EACH_SAFE(pos, tmp, &service->messages)
	g_free(DY_LIST_ITEM(pos, message_t, link));
	members_destroy(service);
	for (i = 0; i < service->settings.targets; i++)
		target_clear(&service->targets[i]);
	g_free(service->targets);
	g_array_free(service->windows, TRUE);
	g_ptr_array_free(service->requests, TRUE);
	g_hash_table_destroy(service->tries);
	g_free(service->ports);
	dy_metrics_destroy(service->metrics);
	g_rand_free(service->random);
	g_free(service);
}

void fake_service_set_load(fake_service_t *service, unsigned kind, double load)
{
	service->load[kind] = load;
}

void fake_service_set_hot_caller(fake_service_t *service, double part)
{
	service->hot_part = part;
}

void fake_service_run(fake_service_t *service, uint64_t until_ms)
{
	heap_run(service->heap, until_ms * US_PER_MS);
}

fake_service_result_t *service_window(fake_service_t *service,
				      const request_t *request)
{
	uint64_t window =
		request->asked_us / US_PER_MS / FAKE_SERVICE_WINDOW_MS;
	unsigned i = (unsigned)window * FAKE_SERVICE_KINDS + request->kind;

	if (i >= service->windows->len)
		g_array_set_size(service->windows, i + 1);
	return &g_array_index(service->windows, fake_service_result_t, i);
}

static void add_result(fake_service_result_t *sum,
		       const fake_service_result_t *result)
{
	sum->asked += result->asked;
	sum->in_aim += result->in_aim;
	sum->late += result->late;
	sum->failed += result->failed;
	sum->silent_tries += result->silent_tries;
	sum->unanswered_tries += result->unanswered_tries;
	sum->doubled += result->doubled;
}

fake_service_result_t fake_service_result(const fake_service_t *service,
					  unsigned kind, uint64_t from_ms,
					  uint64_t to_ms)
{
	fake_service_result_t sum = { 0 };
	uint64_t window;
	uint64_t i;

	for (window = from_ms / FAKE_SERVICE_WINDOW_MS;
	     window < to_ms / FAKE_SERVICE_WINDOW_MS; window++) {
		i = window * FAKE_SERVICE_KINDS + kind;
		if (i < service->windows->len)
			add_result(&sum,
				   &g_array_index(service->windows,
						  fake_service_result_t, i));
	}
	return sum;
}

double fake_service_in_aim(const fake_service_t *service, unsigned kind,
			   uint64_t from_ms, uint64_t to_ms)
{
	fake_service_result_t result =
		fake_service_result(service, kind, from_ms, to_ms);

	return result.asked ? (double)result.in_aim / result.asked : 1;
}

double fake_service_goodput(const fake_service_t *service, uint64_t from_ms,
			    uint64_t to_ms)
{
	double slots =
		(double)service->settings.targets * service->settings.slots;
	double work_us = 0;
	unsigned kind;

	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++)
		work_us += (double)service_work_us(kind) *
			   fake_service_result(service, kind, from_ms, to_ms)
				   .in_aim;
	return work_us / (slots * (double)(to_ms - from_ms) * US_PER_MS);
}
