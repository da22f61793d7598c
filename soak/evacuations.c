#include "soak.h"

#include <string.h>

/* Between two evacuations, and how long one lasts, in ms. */
#define PAUSE_MS 1500
#define LEAST_MS 6000
#define MOST_MS 12000

/* An order that got no clear answer is sent again after so long, in ms. */
#define AGAIN_MS 100

/*
 * What an evacuation promises, in ms: later than this after its acknowledgement
 * no opening reaches a target of the domain, past an agent that ran all the
 * while beside controls that did.
 */
#define IN_FORCE_MS 5000

static struct {
	int domain;    /* number of the agent whose domain it is; 0: none */
	int evacuated; /* what was ordered last */
	int sending;
	int acknowledged;
	uint64_t sent_ms;
	uint64_t acked_ms; /* of the evacuation; 0: it was not, or is over */
	uint64_t next_ms;  /* when the next order is due */
} order;

static void send_order(void);

static void on_answered(void *context, int status, const char *body,
			const char *location)
{
	(void)context;
	(void)body;
	(void)location;
	order.sending = 0;
	if (status >= 400 && status < 500)
		soak_break("an order on a known domain was refused",
			   "domain=d%d status=%d", order.domain, status);
	/* Sometimes the acknowledgement is lost, and it is sent again. */
	if (status != 200 || !g_rand_int_range(soak.rand, 0, 4))
		return;
	order.acknowledged = 1;
	order.next_ms = soak_now_ms() + PAUSE_MS;
	if (!order.evacuated)
		return;
	soak.evacuations++;
	order.acked_ms = soak_now_ms();
	order.next_ms = soak_now_ms() + (uint64_t)g_rand_int_range(
						soak.rand, LEAST_MS, MOST_MS);
}

static void send_order(void)
{
	struct sockaddr_in to;
	char path[64];

	soak_address(NET_CONTROL, g_rand_int_range(soak.rand, 1, CONTROLS + 1),
		     PORT_CONTROL, &to);
	g_snprintf(path, sizeof(path), "/-/evacuate/d%d", order.domain);
	order.sending = 1;
	order.sent_ms = soak_now_ms();
	http_call(&to, order.evacuated ? "POST" : "DELETE", path, "",
		  on_answered, NULL);
}

/* Another service's only target is left alone. */
static void begin_order(void)
{
	order.evacuated = !order.evacuated;
	order.acknowledged = 0;
	order.acked_ms = 0;
	if (order.evacuated)
		order.domain = g_rand_int_range(soak.rand, 1, TARGETS);
	send_order();
}

void evacuations_tick(void)
{
	uint64_t now = soak_now_ms();
	int is_idle = !order.domain || order.acknowledged;

	if (order.sending)
		return;
	if (!is_idle) {
		if (now - order.sent_ms >= AGAIN_MS)
			send_order();
		return;
	}
	/* Recovery is judged with all targets. */
	if (order.evacuated ? soak.quiet || now >= order.next_ms
			    : !soak.quiet && now >= order.next_ms)
		begin_order();
}

void evacuations_opened(int target)
{
	uint64_t since = order.acked_ms;

	if (!order.acked_ms || target != order.domain)
		return;
	since = MAX(since, faults_control_ms());
	since = MAX(since, process_of_agent(target)->disturbed_ms);
	if (soak_now_ms() > since + IN_FORCE_MS)
		soak_break("an opening reached an evacuated domain",
			   "target=%d ms=%lu", target,
			   (unsigned long)(soak_now_ms() - since));
}
