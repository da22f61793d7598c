#include "agent_ledger.h"

#include <string.h>

#include "damaskyard/flow_ledger.h"
#include "damaskyard/stale_flows.h"
#include "damaskyard/log.h"

/*
 * Between two lists, in ms, and for each copy of a part of them: 2.2 KB in a
 * second at the most. Flows that last for a minute and more stand in a list
 * that is some seconds old.
 */
#define LIST_MS 4000
#define LIST_COPY_MS 500

/*
 * Controls are asked from when one of them first answered a poll of this agent,
 * which spreads the agents of a site that all start at once by the pace that
 * control keeps; then each again after this time, in ms, doubled each time,
 * until all have answered or for so long.
 */
#define ASK_MS 200
#define ASK_FOR_MS 5000

/*
 * Resets in a turn: callers whose request waits on such a flow come back at
 * once, and the target has just started.
 */
#define RESETS 32

struct agent_ledger {
	flow_member_t *member;
	const dy_flow_holder_t *holder;
	agent_ledger_reset_cb_t *reset;
	void *context;
	uint32_t list; /* number of the last one */
	uint64_t next_list_ms;
	unsigned listed;      /* flows in it */
	uint64_t ask_from_ms; /* 0: not begun */
	uint64_t ask_at_ms;
	uint64_t ask_again_ms;
	unsigned answered; /* a bit for each control of the settings */
	dy_stale_flows_t *former;
	uint64_t *resets;
};

static uint64_t now_ms(const agent_ledger_t *ledger)
{
	return dy_loop_now_ms(ledger->member->loop);
}

static uint64_t time_of_day_ms(void)
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
	ledger->list = (uint32_t)g_get_real_time();
	ledger->next_list_ms = now_ms(ledger) + LIST_MS;
	ledger->former = dy_stale_flows_create(holder);
	ledger->resets =
		dy_metrics_counter(member->metrics, "former_flows_reset");
	return ledger;
}

void agent_ledger_destroy(agent_ledger_t *ledger)
{
	if (!ledger)
		return;
	dy_stale_flows_destroy(ledger->former);
	g_free(ledger);
}

/* Lists. */

/* Controls that get each list. */
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
	uint32_t pause_ms;

	dy_flow_holder_each_low_rate(ledger->holder, now_ms(ledger), add_flow,
				     flows);
	part.agent = ledger->member->settings.name;
	part.target = (char *)target->id;
	part.born_ms = target->born_ms;
	part.list = ++ledger->list;
	part.parts = CLAMP((flows->len + DY_LEDGER_FLOWS - 1) / DY_LEDGER_FLOWS,
			   1, DY_LEDGER_PARTS_MAX);
	pause_ms =
		MAX(LIST_MS, part.parts * count_copies(ledger) * LIST_COPY_MS);
	part.made_ms = time_of_day_ms();
	part.good_ms = dy_flow_ledger_ttl_ms(pause_ms);
	for (; part.part < part.parts; part.part++) {
		part.flows.flows_val = &g_array_index(
			flows, dy_ledger_flow_t, part.part * DY_LEDGER_FLOWS);
		part.flows.flows_len =
			MIN(flows->len - part.part * DY_LEDGER_FLOWS,
			    DY_LEDGER_FLOWS);
		send_part(ledger, &part);
	}
	ledger->listed = flows->len;
	ledger->next_list_ms = now_ms(ledger) + pause_ms;
	g_array_free(flows, TRUE);
}

static void list_flows(agent_ledger_t *ledger)
{
	const dy_target_notice_t *target =
		dy_flow_holder_target(ledger->holder);

	if (!target || now_ms(ledger) < ledger->next_list_ms ||
	    (!ledger->listed && !dy_flow_holder_count(ledger->holder)))
		return;
	send_list(ledger, target);
}

/* What was open before. */

static void ask(agent_ledger_t *ledger)
{
	const dy_address_list_t *controls = &ledger->member->settings.seeds;
	dy_ledger_ask_t message = { ledger->member->settings.name };
	int i;

	ledger->ask_at_ms = now_ms(ledger) + ledger->ask_again_ms;
	ledger->ask_again_ms *= 2;
	for (i = 0; i < controls->count; i++)
		if (!(ledger->answered & 1u << i))
			flow_member_send(ledger->member, &controls->items[i],
					 DY_LEDGER_PROGRAM, DY_LEDGER_ASK,
					 (xdrproc_t)xdr_dy_ledger_ask_t,
					 &message);
}

static void ask_in_time(agent_ledger_t *ledger)
{
	uint64_t now = now_ms(ledger);

	if (ledger->member->settings.first_start ||
	    !ledger->member->subscriber ||
	    !dy_subscriber_incarnation(ledger->member->subscriber) ||
	    dy_flow_holder_instance_state(ledger->holder, "", 0) ==
		    DY_TARGET_INSTANCE_UNKNOWN)
		return;
	if (!ledger->ask_from_ms) {
		ledger->ask_from_ms = now;
		ledger->ask_again_ms = ASK_MS;
	}
	if (now - ledger->ask_from_ms < ASK_FOR_MS && now >= ledger->ask_at_ms)
		ask(ledger);
}

static void note_answered(agent_ledger_t *ledger, const struct sockaddr *from)
{
	const dy_address_list_t *controls = &ledger->member->settings.seeds;
	dy_address_t sender;
	int i;

	dy_address_load(&sender, from);
	for (i = 0; i < controls->count; i++)
		if (dy_address_equal(&sender, &controls->items[i]))
			ledger->answered |= 1u << i;
}

void agent_ledger_receive(agent_ledger_t *ledger, const dy_sealed_t *message,
			  const struct sockaddr *from)
{
	dy_ledger_part_t part;

	if (message->procedure != DY_LEDGER_GIVE ||
	    !dy_sealed_load(message, (xdrproc_t)xdr_dy_ledger_part_t, &part,
			    sizeof(part)))
		return;
	note_answered(ledger, from);
	dy_stale_flows_add_part(ledger->former, &part, time_of_day_ms());
	xdr_free((xdrproc_t)xdr_dy_ledger_part_t, (char *)&part);
}

static void reset_former(agent_ledger_t *ledger)
{
	dy_ledger_flow_t flow;
	unsigned count = 0;

	while (count < RESETS && dy_stale_flows_pop(ledger->former, &flow)) {
		ledger->reset(ledger->context, &flow.flow, flow.ack);
		count++;
	}
	if (!count)
		return;
	*ledger->resets += count;
	dy_log_event(DY_LOG_INFO, "former_flows_reset", "count=%u left=%u",
		     count, dy_stale_flows_count(ledger->former));
}

void agent_ledger_tick(agent_ledger_t *ledger)
{
	list_flows(ledger);
	ask_in_time(ledger);
	reset_former(ledger);
}
