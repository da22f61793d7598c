#include "agent_ledger.h"

#include <string.h>

#include "damaskyard/flow_ledger.h"
#include "damaskyard/stale_flows.h"
#include "damaskyard/log.h"

/*
 * Interval between two lists, in ms, and its minimum per copy of each part,
 * which limits the traffic to 2.2 KB per second. A list that is some seconds
 * old still holds the flows that last for a minute or longer.
 */
#define LIST_INTERVAL_MS 4000
#define LIST_COPY_INTERVAL_MS 500

/*
 * Requests for stored lists begin once a control has answered a poll of this
 * agent. If all agents of a site start at once, the rate at which controls
 * answer polls thus spreads the requests. Controls that do not answer are asked
 * again after REQUEST_INTERVAL_MS, which doubles each time, until
 * REQUEST_TIMEOUT_MS have passed.
 */
#define REQUEST_INTERVAL_MS 200
#define REQUEST_TIMEOUT_MS 5000

/*
 * Maximum number of resets per tick: callers with a request on such a flow
 * reconnect at once, while the target has just started.
 */
#define RESETS_PER_TICK 32

struct agent_ledger {
	flow_member_t *member;
	const dy_flow_holder_t *holder;
	agent_ledger_reset_cb_t *reset;
	void *context;
	uint32_t first_list;  /* number before the first list sent */
	uint32_t list_number; /* of the last list sent */
	uint64_t next_list_ms;
	unsigned listed_flows;	   /* flows in the last list sent */
	uint64_t first_request_ms; /* 0: no request yet */
	uint64_t next_request_ms;
	uint64_t request_interval_ms;
	unsigned answered_controls; /* bit i: settings.seeds.items[i] */
	dy_stale_flows_t *stale;
	uint64_t *reset_counter;
};

static uint64_t now_ms(const agent_ledger_t *ledger)
{
	return dy_loop_now_ms(ledger->member->loop);
}

static uint64_t wall_clock_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

agent_ledger_t *agent_ledger_create(flow_member_t *member,
				    const dy_flow_holder_t *holder,
				    agent_ledger_reset_cb_t *reset,
				    void *context)
{
	agent_ledger_t *ledger = g_new0(agent_ledger_t, 1);

	ledger->member = member;
	ledger->holder = holder;
	ledger->reset = reset;
	ledger->context = context;
	ledger->first_list = (uint32_t)g_get_real_time();
	ledger->list_number = ledger->first_list;
	ledger->next_list_ms = now_ms(ledger) + LIST_INTERVAL_MS;
	ledger->stale = dy_stale_flows_create(holder);
	ledger->reset_counter =
		dy_metrics_counter(member->metrics, "former_flows_reset");
	return ledger;
}

void agent_ledger_destroy(agent_ledger_t *ledger)
{
	if (!ledger)
		return;
	dy_stale_flows_destroy(ledger->stale);
	g_free(ledger);
}

/* Number of controls that store each list. */
static unsigned count_copies(const agent_ledger_t *ledger)
{
	const dy_flow_settings_t *settings = &ledger->member->settings;

	return dy_flow_ledger_copies(settings->losses,
				     (unsigned)settings->seeds.count);
}

static void send_part(agent_ledger_t *ledger, dy_ledger_part_t *part)
{
	const dy_address_list_t *controls = &ledger->member->settings.seeds;
	unsigned copies = count_copies(ledger);
	unsigned first = g_str_hash(part->agent);
	unsigned i;

	for (i = 0; i < copies; i++)
		flow_member_send(ledger->member,
				 &controls->items[(first + i) %
						  (unsigned)controls->count],
				 DY_LEDGER_PROGRAM, DY_LEDGER_KEEP,
				 (xdrproc_t)xdr_dy_ledger_part_t, part);
}

static void add_flow(void *context, const dy_flow_id_t *flow, uint32_t ack)
{
	const dy_ledger_flow_t item = { *flow, ack };

	g_array_append_val((GArray *)context, item);
}

static void send_list(agent_ledger_t *ledger, const dy_target_notice_t *target)
{
	GArray *flows = g_array_new(FALSE, FALSE, sizeof(dy_ledger_flow_t));
	dy_ledger_part_t part = { 0 };
	uint32_t interval_ms;

	dy_flow_holder_each_low_rate(ledger->holder, now_ms(ledger), add_flow,
				     flows);
	part.agent = ledger->member->settings.name;
	part.target = (char *)target->id;
	part.born_ms = target->started_ms;
	part.list = ++ledger->list_number;
	part.parts = CLAMP((flows->len + DY_LEDGER_FLOWS - 1) / DY_LEDGER_FLOWS,
			   1, DY_LEDGER_PARTS_MAX);
	interval_ms = MAX(LIST_INTERVAL_MS, part.parts * count_copies(ledger) *
						    LIST_COPY_INTERVAL_MS);
	part.made_ms = wall_clock_ms();
	part.good_ms = dy_flow_ledger_ttl_ms(interval_ms);
	for (; part.part < part.parts; part.part++) {
		part.flows.flows_val = &g_array_index(
			flows, dy_ledger_flow_t, part.part * DY_LEDGER_FLOWS);
		part.flows.flows_len =
			MIN(flows->len - part.part * DY_LEDGER_FLOWS,
			    DY_LEDGER_FLOWS);
		send_part(ledger, &part);
	}
	ledger->listed_flows = flows->len;
	ledger->next_list_ms = now_ms(ledger) + interval_ms;
	g_array_free(flows, TRUE);
}

static void send_list_if_due(agent_ledger_t *ledger)
{
	const dy_target_notice_t *target =
		dy_flow_holder_target(ledger->holder);

	if (!target || now_ms(ledger) < ledger->next_list_ms ||
	    (!ledger->listed_flows && !dy_flow_holder_count(ledger->holder)))
		return;
	send_list(ledger, target);
}

static void request_lists(agent_ledger_t *ledger)
{
	const dy_address_list_t *controls = &ledger->member->settings.seeds;
	dy_ledger_ask_t message = { ledger->member->settings.name };
	int i;

	ledger->next_request_ms = now_ms(ledger) + ledger->request_interval_ms;
	ledger->request_interval_ms *= 2;
	for (i = 0; i < controls->count; i++)
		if (!(ledger->answered_controls & 1u << i))
			flow_member_send(ledger->member, &controls->items[i],
					 DY_LEDGER_PROGRAM, DY_LEDGER_ASK,
					 (xdrproc_t)xdr_dy_ledger_ask_t,
					 &message);
}

static void request_lists_if_due(agent_ledger_t *ledger)
{
	uint64_t now = now_ms(ledger);

	if (ledger->member->settings.first_start ||
	    !ledger->member->subscriber ||
	    !dy_subscriber_incarnation(ledger->member->subscriber) ||
	    dy_flow_holder_instance_state(ledger->holder, "", 0) ==
		    DY_TARGET_INSTANCE_UNKNOWN)
		return;
	if (!ledger->first_request_ms) {
		ledger->first_request_ms = now;
		ledger->request_interval_ms = REQUEST_INTERVAL_MS;
	}
	if (now - ledger->first_request_ms < REQUEST_TIMEOUT_MS &&
	    now >= ledger->next_request_ms)
		request_lists(ledger);
}

static void mark_answered(agent_ledger_t *ledger, const struct sockaddr *from)
{
	const dy_address_list_t *controls = &ledger->member->settings.seeds;
	dy_address_t sender;
	int i;

	dy_address_load(&sender, from);
	for (i = 0; i < controls->count; i++)
		if (dy_address_equal(&sender, &controls->items[i]))
			ledger->answered_controls |= 1u << i;
}

/*
 * What this agent listed itself is in its table, or has ended before its eyes.
 */
static int is_own_list(const agent_ledger_t *ledger, uint32_t list)
{
	uint32_t sent = ledger->list_number - ledger->first_list;

	return list - ledger->first_list - 1 < sent;
}

void agent_ledger_receive(agent_ledger_t *ledger, const dy_sealed_t *message,
			  const struct sockaddr *from)
{
	dy_ledger_part_t part;

	if (message->procedure != DY_LEDGER_GIVE ||
	    !dy_sealed_load(message, (xdrproc_t)xdr_dy_ledger_part_t, &part,
			    sizeof(part)))
		return;
	mark_answered(ledger, from);
	if (!is_own_list(ledger, part.list))
		dy_stale_flows_add_part(ledger->stale, &part, wall_clock_ms());
	xdr_free((xdrproc_t)xdr_dy_ledger_part_t, (char *)&part);
}

void agent_ledger_note_packet(agent_ledger_t *ledger, const dy_flow_id_t *flow,
			      int returned)
{
	dy_stale_flows_note_packet(ledger->stale, flow, returned);
}

static void reset_stale_flows(agent_ledger_t *ledger)
{
	dy_ledger_flow_t flow;
	unsigned count = 0;

	dy_stale_flows_expire(ledger->stale, wall_clock_ms());
	while (count < RESETS_PER_TICK &&
	       dy_stale_flows_pop(ledger->stale, &flow)) {
		ledger->reset(ledger->context, &flow.flow, flow.ack);
		count++;
	}
	if (!count)
		return;
	*ledger->reset_counter += count;
	dy_log_event(DY_LOG_INFO, "former_flows_reset", "count=%u left=%u",
		     count, dy_stale_flows_count(ledger->stale));
}

void agent_ledger_tick(agent_ledger_t *ledger)
{
	send_list_if_due(ledger);
	request_lists_if_due(ledger);
	reset_stale_flows(ledger);
}
