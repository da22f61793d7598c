#include "damaskyard/flow_prober.h"

#include <glib.h>

#include "damaskyard/address.h"
#include "damaskyard/list.h"

typedef struct inquiry {
	dy_list_t link;
	dy_address_t balancer;
	dy_address_t agent;
	unsigned probes; /* sent so far */
	int accepted;	 /* reported that the port accepted a connection */
	uint64_t last_probe_ms;
} inquiry_t;

struct dy_flow_prober {
	const dy_flow_prober_callbacks_t *callbacks;
	void *context;
	dy_list_t inquiries;
	unsigned count;
};

dy_flow_prober_t *dy_flow_prober_create(
	const dy_flow_prober_callbacks_t *callbacks, void *context)
{
	dy_flow_prober_t *prober = g_new0(dy_flow_prober_t, 1);

	prober->callbacks = callbacks;
	prober->context = context;
	dy_list_init(&prober->inquiries);
	return prober;
}

static void end_inquiry(dy_flow_prober_t *prober, inquiry_t *inquiry)
{
	dy_list_remove(&inquiry->link);
	prober->count--;
	g_slice_free(inquiry_t, inquiry);
}

void dy_flow_prober_destroy(dy_flow_prober_t *prober)
{
	if (!prober)
		return;
	while (!dy_list_empty(&prober->inquiries))
		end_inquiry(prober, DY_LIST_ITEM(prober->inquiries.next,
						 inquiry_t, link));
	g_free(prober);
}

static void send_probe(dy_flow_prober_t *prober, inquiry_t *inquiry,
		       uint64_t now_ms)
{
	inquiry->probes++;
	inquiry->last_probe_ms = now_ms;
	prober->callbacks->probe(prober->context, &inquiry->agent);
	prober->callbacks->check_port(prober->context, &inquiry->agent);
}

static int is_in_progress(const dy_flow_prober_t *prober,
			  const dy_address_t *balancer,
			  const dy_address_t *agent)
{
	const inquiry_t *inquiry;
	const dy_list_t *pos;

	DY_LIST_EACH(pos, &prober->inquiries)
	{
		inquiry = DY_LIST_ITEM(pos, inquiry_t, link);
		if (dy_address_equal(&inquiry->balancer, balancer) &&
		    dy_address_equal(&inquiry->agent, agent))
			return 1;
	}
	return 0;
}

void dy_flow_prober_begin(dy_flow_prober_t *prober,
			  const dy_address_t *balancer,
			  const dy_address_t *agent, uint64_t now_ms)
{
	inquiry_t *inquiry;

	if (prober->count >= DY_FLOW_INQUIRIES_MAX ||
	    is_in_progress(prober, balancer, agent))
		return;
	inquiry = g_slice_new0(inquiry_t);
	inquiry->balancer = *balancer;
	inquiry->agent = *agent;
	dy_list_append(&prober->inquiries, &inquiry->link);
	prober->count++;
	send_probe(prober, inquiry, now_ms);
}

static void report(dy_flow_prober_t *prober, const inquiry_t *inquiry,
		   dy_flow_answer_t answer)
{
	prober->callbacks->finding(prober->context, &inquiry->balancer,
				   &inquiry->agent, answer);
}

/* Returns whether the inquiry has to be told of the answer. */
static int concerns(const inquiry_t *inquiry, const dy_address_t *agent,
		    dy_flow_answer_t answer)
{
	return dy_address_equal(&inquiry->agent, agent) &&
	       (answer != DY_FLOW_ACCEPTED || !inquiry->accepted);
}

/*
 * Tells all who asked about an agent what it answered. Returns their number. A
 * process that runs echoes soon after its port has accepted a connection, so
 * that inquiries go on then.
 */
static unsigned report_answer(dy_flow_prober_t *prober,
			      const dy_address_t *agent,
			      dy_flow_answer_t answer)
{
	inquiry_t *inquiry;
	dy_list_t *pos;
	dy_list_t *tmp;
	unsigned count = 0;

	DY_LIST_EACH_SAFE(pos, tmp, &prober->inquiries)
	{
		inquiry = DY_LIST_ITEM(pos, inquiry_t, link);
		if (!concerns(inquiry, agent, answer))
			continue;
		report(prober, inquiry, answer);
		inquiry->accepted = answer == DY_FLOW_ACCEPTED;
		if (!inquiry->accepted)
			end_inquiry(prober, inquiry);
		count++;
	}
	return count;
}

void dy_flow_prober_receive_echo(dy_flow_prober_t *prober,
				 const dy_address_t *agent)
{
	report_answer(prober, agent, DY_FLOW_ECHOED);
}

unsigned dy_flow_prober_receive_port_state(dy_flow_prober_t *prober,
					   const dy_address_t *agent,
					   dy_port_state_t state)
{
	switch (state) {
	case DY_PORT_LISTENING:
		return report_answer(prober, agent, DY_FLOW_ACCEPTED);
	case DY_PORT_REFUSED:
		return report_answer(prober, agent, DY_FLOW_REFUSED_PORT);
	default:
		return 0;
	}
}

/*
 * Guards against a witness that stood still itself: the echoes to its probes
 * may wait in its socket while its timer runs first.
 */
static int stood_still(const inquiry_t *inquiry, uint64_t now_ms)
{
	return now_ms - inquiry->last_probe_ms > 2 * DY_FLOW_PROBE_INTERVAL_MS;
}

void dy_flow_prober_tick(dy_flow_prober_t *prober, uint64_t now_ms)
{
	inquiry_t *inquiry;
	dy_list_t *pos;
	dy_list_t *tmp;

	DY_LIST_EACH_SAFE(pos, tmp, &prober->inquiries)
	{
		inquiry = DY_LIST_ITEM(pos, inquiry_t, link);
		if (now_ms - inquiry->last_probe_ms < DY_FLOW_PROBE_INTERVAL_MS)
			continue;
		if (inquiry->probes < DY_FLOW_PROBES ||
		    stood_still(inquiry, now_ms)) {
			send_probe(prober, inquiry, now_ms);
			continue;
		}
		if (!inquiry->accepted)
			report(prober, inquiry, DY_FLOW_NO_ANSWER);
		end_inquiry(prober, inquiry);
	}
}
