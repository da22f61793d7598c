#include "soak.h"

#include <string.h>

/* Pause between two evacuations, and the duration range of one. */
#define EVACUATION_PAUSE_MS 1500
#define EVACUATION_MIN_MS 6000
#define EVACUATION_MAX_MS 12000

/* Retry delay of an order that was not acknowledged. */
#define ORDER_RETRY_DELAY_MS 100

/*
 * Documented time limit of an evacuation: no opening reaches a target of the
 * domain later than this after the acknowledgement, provided that the agent
 * and the controls have run without a fault for that time.
 */
#define EVACUATION_TIMEOUT_MS 5000

static struct {
	int domain;   /* N of dN, the domain of agent N; 0: none yet */
	int evacuate; /* last order: 1 evacuate, 0 readmit */
	int in_flight;
	int acknowledged;
	uint64_t sent_ms;
	uint64_t evacuation_acked_ms; /* 0: no evacuation is acknowledged */
	uint64_t next_order_ms;	      /* when the next order is due */
} order;

static void send_order(void);

static void on_order_answer(void *context, int status, const char *body,
			    const char *location)
{
	(void)context;
	(void)body;
	(void)location;
	order.in_flight = 0;
	if (status >= 400 && status < 500)
		soak_report_violation("an order on a known domain was refused",
				      "domain=d%d status=%d", order.domain,
				      status);
	/* Simulate the loss of one acknowledgement in four: resend. */
	if (status != 200 || !g_rand_int_range(soak.rand, 0, 4))
		return;
	order.acknowledged = 1;
	order.next_order_ms = soak_now_ms() + EVACUATION_PAUSE_MS;
	if (!order.evacuate)
		return;
	soak.evacuations++;
	order.evacuation_acked_ms = soak_now_ms();
	order.next_order_ms =
		soak_now_ms() + (uint64_t)g_rand_int_range(soak.rand,
							   EVACUATION_MIN_MS,
							   EVACUATION_MAX_MS);
}

static void send_order(void)
{
	struct sockaddr_in to;
	char path[64];

	soak_address(NET_CONTROL, process_draw_control()->number, PORT_CONTROL,
		     &to);
	g_snprintf(path, sizeof(path), "/-/evacuate/d%d", order.domain);
	order.in_flight = 1;
	order.sent_ms = soak_now_ms();
	http_call(&to, order.evacuate ? "POST" : "DELETE", path, "",
		  on_order_answer, NULL);
}

/* Never evacuates the last target, the only one of its service. */
static void start_next_order(void)
{
	order.evacuate = !order.evacuate;
	order.acknowledged = 0;
	order.evacuation_acked_ms = 0;
	if (order.evacuate)
		order.domain = g_rand_int_range(soak.rand, 1, DOMAINS);
	send_order();
}

void evacuations_tick(void)
{
	uint64_t now = soak_now_ms();
	int is_idle = !order.domain || order.acknowledged;

	if (order.in_flight)
		return;
	if (!is_idle) {
		if (now - order.sent_ms >= ORDER_RETRY_DELAY_MS)
			send_order();
		return;
	}
	/* Recovery needs all targets, so the domain is readmitted at once. */
	if (order.evacuate ? soak.recovering || now >= order.next_order_ms
			   : !soak.recovering && now >= order.next_order_ms)
		start_next_order();
}

void evacuations_check_opening(int target)
{
	uint64_t since_ms = order.evacuation_acked_ms;

	if (!order.evacuation_acked_ms || target != order.domain)
		return;
	since_ms = MAX(since_ms, faults_control_until_ms());
	since_ms = MAX(since_ms, process_of_agent(target)->last_disruption_ms);
	if (soak_now_ms() > since_ms + EVACUATION_TIMEOUT_MS)
		soak_report_violation(
			"an opening reached an evacuated domain",
			"target=%d ms=%lu", target,
			(unsigned long)(soak_now_ms() - since_ms));
}
