/* The balancers and agents of a simulated service, and their messages. */

#include <string.h>

#include "damaskyard/stored_forward.h"
#include "fake_service_private.h"

#define AGENT_IP 0x0a000001u
#define BALANCER_IP 0x0a010001u
#define DOMAINS 3

static char *const domains[DOMAINS] = { "d1", "d2", "d3" };

/* Intervals of the processes' timers, in us. */
#define BALANCER_TICK_US 100000u
#define AGENT_TICK_US (DY_FLOW_REPORT_INTERVAL_MS * US_PER_MS)

/* Time of a member's change on its way through the controls, in us. */
#define NEWS_US 300000u

/* Time of a poll of the controls, in us. */
#define CONFIRMATION_US 5000u

/* Time of a check of the target's port, in us. */
#define PORT_CHECK_US 500u

/* Time of a packet between a target and its agent, in us. */
#define LOCAL_US 50u

/* The port of an address is the member's number from 1. */
static dy_address_t member_address(uint32_t first_ip, unsigned number)
{
	dy_address_t address;

	dy_address_set_ipv4(&address, first_ip + number,
			    (uint16_t)(number + 1));
	return address;
}

static unsigned member_number(const dy_address_t *address)
{
	return address->port - 1;
}

dy_address_t target_agent_address(unsigned number)
{
	return member_address(AGENT_IP, number);
}

static message_t *post_between(fake_service_t *service, const dy_address_t *to,
			       message_cb_t *run, const void *packet)
{
	return service_post(service, member_number(to),
			    service->settings.one_way_us, run, packet);
}

/* Packets of callers and to them. */

static void packet_at_balancer(fake_service_t *service, message_t *message)
{
	dy_flow_router_receive_packet(
		service->balancers[message->to].router, &message->packet,
		(uint8_t *)&message->packet, sizeof(message->packet),
		service_now_ms(service));
}

void members_send_packet(fake_service_t *service, unsigned balancer,
			 const dy_packet_t *packet)
{
	service_post(service, balancer, service->settings.caller_way_us,
		     packet_at_balancer, packet);
}

static void packet_at_caller(fake_service_t *service, message_t *message)
{
	callers_receive(service, &message->packet);
}

static void send_reset(void *context, const dy_flow_id_t *flow, uint32_t seq)
{
	balancer_t *balancer = context;
	dy_packet_t packet = { 0 };

	packet.flow = *flow;
	packet.flags = DY_PACKET_RST;
	packet.seq = seq;
	service_post(balancer->service, 0,
		     balancer->service->settings.caller_way_us,
		     packet_at_caller, &packet);
}

static void send_to_caller(void *context, const dy_flow_id_t *flow,
			   const uint8_t *bytes, size_t len)
{
	target_t *target = context;

	(void)flow;
	(void)len;
	service_post(target->service, 0,
		     target->service->settings.caller_way_us, packet_at_caller,
		     bytes);
}

/* Messages to agents. */

static void forward_at_agent(fake_service_t *service, message_t *message)
{
	dy_flow_holder_receive_forward(
		service->targets[message->to].holder, &message->forward.forward,
		&message->packet, service_now_ms(service));
}

static void send_forward(fake_service_t *service,
			 const dy_flow_forward_t *forward)
{
	message_t *message =
		post_between(service, &forward->tries.tries_val[forward->step],
			     forward_at_agent, forward->packet.packet_val);

	dy_stored_forward_set(&message->forward, forward);
}

static void forward(void *context, dy_flow_forward_t *message,
		    const dy_packet_t *packet)
{
	balancer_t *balancer = context;

	(void)packet;
	send_forward(balancer->service, message);
	dy_flow_router_note_sent(balancer->router, message,
				 service_now_ms(balancer->service));
}

static int is_waiting(void *context, const dy_flow_id_t *flow)
{
	(void)context;
	(void)flow;
	return 0;
}

static void pass_on(void *context, dy_flow_forward_t *message)
{
	target_t *target = context;

	send_forward(target->service, message);
}

static void reserve_at_agent(fake_service_t *service, message_t *message)
{
	dy_flow_holder_reserve(service->targets[message->to].holder,
			       &message->reserve, service_now_ms(service));
}

static void reserve(void *context, const dy_address_t *agent, uint32_t standing)
{
	balancer_t *balancer = context;
	dy_flow_reserve_t *message =
		&post_between(balancer->service, agent, reserve_at_agent, NULL)
			 ->reserve;

	message->balancer = member_address(BALANCER_IP, balancer->number);
	message->standing = standing;
}

static void decline_at_agent(fake_service_t *service, message_t *message)
{
	dy_flow_holder_receive_decline(service->targets[message->to].holder,
				       &message->reserve.balancer,
				       service_now_ms(service));
}

static void decline(void *context, const dy_address_t *agent)
{
	balancer_t *balancer = context;

	post_between(balancer->service, agent, decline_at_agent, NULL)
		->reserve.balancer =
		member_address(BALANCER_IP, balancer->number);
}

static uint64_t wall_ms(void *context)
{
	const balancer_t *balancer = context;

	return service_now_ms(balancer->service);
}

/* Messages to balancers. */

static void held_at_balancer(fake_service_t *service, message_t *message)
{
	dy_flow_router_receive_held(service->balancers[message->to].router,
				    &message->held, service_now_ms(service));
}

static void send_held(void *context, const dy_address_t *balancer,
		      dy_flow_held_t *held)
{
	target_t *target = context;

	post_between(target->service, balancer, held_at_balancer, NULL)->held =
		*held;
}

static void nowhere_at_balancer(fake_service_t *service, message_t *message)
{
	message->nowhere.packet.packet_val = (char *)&message->packet;
	dy_flow_router_receive_nowhere(service->balancers[message->to].router,
				       &message->nowhere, &message->packet,
				       service_now_ms(service));
}

static void send_nowhere(void *context, const dy_address_t *balancer,
			 dy_flow_nowhere_t *nowhere)
{
	target_t *target = context;

	post_between(target->service, balancer, nowhere_at_balancer,
		     nowhere->packet.packet_val)
		->nowhere = *nowhere;
}

static void grant_at_balancer(fake_service_t *service, message_t *message)
{
	dy_flow_router_receive_grant(service->balancers[message->to].router,
				     &message->grant, service_now_ms(service));
}

static void send_grant(void *context, const dy_address_t *balancer,
		       dy_flow_grant_t *grant)
{
	target_t *target = context;

	post_between(target->service, balancer, grant_at_balancer, NULL)
		->grant = *grant;
}

static void report_at_balancer(fake_service_t *service, message_t *message)
{
	dy_flow_router_receive_report(service->balancers[message->to].router,
				      &message->report,
				      service_now_ms(service));
}

static void send_report(void *context, const dy_address_t *balancer,
			dy_flow_report_t *report)
{
	target_t *target = context;

	post_between(target->service, balancer, report_at_balancer, NULL)
		->report = *report;
}

/* No agent is ever silent, so that nobody has to ask for it. */
static void request_report(void *context, const dy_address_t *agent)
{
	(void)context;
	(void)agent;
}

static void inquire(void *context, const dy_address_t *witness,
		    const dy_address_t *agent)
{
	(void)context;
	(void)witness;
	(void)agent;
}

/* The controls' part, and checks of ports. */

static void members_confirmed(fake_service_t *service, message_t *message)
{
	dy_flow_router_set_members_confirmed(
		service->balancers[message->to].router, message->polled_ms);
}

static void confirm_members(void *context)
{
	balancer_t *balancer = context;
	fake_service_t *service = balancer->service;

	service_post(service, balancer->number, CONFIRMATION_US,
		     members_confirmed, NULL)
		->polled_ms = service_now_ms(service) + 1;
}

static void tell_member(const target_t *target, const balancer_t *balancer)
{
	dy_member_t member = { 0 };

	member.id = target->number + 1;
	member.incarnation = target->number + 1;
	member.state = dy_flow_holder_is_serving(target->holder)
			       ? DY_MEMBER_SERVING
			       : DY_MEMBER_DRAINING;
	member.info.kind = DY_MEMBER_AGENT;
	member.info.domain = domains[target->number % DOMAINS];
	member.info.service = SERVICE_NAME;
	member.info.address = target_agent_address(target->number);
	member.info.slots = target->service->settings.slots;
	dy_flow_router_set_member(balancer->router, &member);
}

static void member_changed(void *context, void *argument)
{
	fake_service_t *service = context;
	unsigned i;

	for (i = 0; i < service->settings.balancers; i++)
		tell_member(argument, &service->balancers[i]);
}

static void on_changed(void *context)
{
	target_t *target = context;

	service_add(target->service,
		    heap_now(target->service->heap) ? NEWS_US : 0,
		    member_changed, target);
}

static void port_checked(void *context, void *argument)
{
	fake_service_t *service = context;
	target_t *target = argument;

	dy_flow_holder_port_checked(target->holder,
				    target->condition.dead ? DY_PORT_REFUSED
							   : DY_PORT_LISTENING,
				    service_now_ms(service));
}

static void check_port(void *context)
{
	target_t *target = context;

	service_add(target->service, PORT_CHECK_US, port_checked, target);
}

/* Packets to targets. */

static void packet_at_target(fake_service_t *service, message_t *message)
{
	target_receive(&service->targets[message->to], &message->packet);
}

static void send_to_target(void *context, uint8_t *bytes, size_t len,
			   uint32_t tag)
{
	target_t *target = context;

	(void)len;
	service_post(target->service, target->number, LOCAL_US,
		     packet_at_target, bytes)
		->packet.tag = tag;
}

/* The processes. */

static const dy_flow_router_callbacks_t router_callbacks = {
	.forward = forward,
	.is_waiting = is_waiting,
	.reset = send_reset,
	.confirm_members = confirm_members,
	.request_report = request_report,
	.reserve = reserve,
	.decline = decline,
	.wall_ms = wall_ms,
	.inquire = inquire,
};

static const dy_flow_holder_callbacks_t holder_callbacks = {
	.to_target = send_to_target,
	.to_caller = send_to_caller,
	.pass_on = pass_on,
	.held = send_held,
	.nowhere = send_nowhere,
	.grant = send_grant,
	.report = send_report,
	.changed = on_changed,
	.check_port = check_port,
};

static void on_balancer_timer(void *context, void *argument)
{
	balancer_t *balancer = argument;

	dy_flow_router_expire(balancer->router, service_now_ms(context));
	service_add(context, BALANCER_TICK_US, on_balancer_timer, balancer);
}

static void on_agent_timer(void *context, void *argument)
{
	target_t *target = argument;

	dy_flow_holder_tick(target->holder, service_now_ms(context));
	service_add(context, AGENT_TICK_US, on_agent_timer, target);
}

static dy_flow_rules_t *create_rules(void)
{
	dy_flow_rules_t *rules = dy_flow_rules_create(1);
	dy_flow_entry_t entry = { .ip = ENTRY_IP, .share_count = 1 };
	unsigned kind;

	entry.aim_ms = FAKE_SERVICE_AIM_MS;
	entry.timeout_ms = FAKE_SERVICE_DEADLINE_MS;
	entry.shares[0].service = SERVICE_NAME;
	entry.shares[0].weight = 1;
	for (kind = 0; kind < FAKE_SERVICE_KINDS; kind++) {
		entry.port = (uint16_t)(ENTRY_PORT + kind);
		entry.priority = kind ? 1 : 2;
		dy_flow_rules_add(rules, &entry);
	}
	return rules;
}

static void create_balancer(fake_service_t *service, unsigned number)
{
	balancer_t *balancer = &service->balancers[number];
	dy_flow_router_config_t config = { 0 };

	balancer->service = service;
	balancer->number = number;
	config.self = member_address(BALANCER_IP, number);
	config.domain = domains[number % DOMAINS];
	config.wait_at_balancer = service->settings.wait_at_balancer;
	config.metrics = service->metrics;
	config.callbacks = &router_callbacks;
	config.context = balancer;
	balancer->router = dy_flow_router_create(&config);
	dy_flow_router_set_rules(balancer->router, create_rules());
	service_add(service,
		    BALANCER_TICK_US * (number + 1) /
			    service->settings.balancers,
		    on_balancer_timer, balancer);
}

static void create_agent(fake_service_t *service, unsigned number)
{
	target_t *target = &service->targets[number];
	dy_flow_holder_config_t config = { 0 };

	config.self = target_agent_address(number);
	config.service = SERVICE_NAME;
	config.target = config.self;
	config.metrics = service->metrics;
	config.callbacks = &holder_callbacks;
	config.context = target;
	target->holder = dy_flow_holder_create(&config);
	service_add(service,
		    AGENT_TICK_US * (uint64_t)(number + 1) /
			    service->settings.targets,
		    on_agent_timer, target);
}

void members_create(fake_service_t *service)
{
	unsigned i;

	service->balancers = g_new0(balancer_t, service->settings.balancers);
	for (i = 0; i < service->settings.balancers; i++)
		create_balancer(service, i);
	for (i = 0; i < service->settings.targets; i++)
		create_agent(service, i);
}

void members_destroy(fake_service_t *service)
{
	unsigned i;

	for (i = 0; i < service->settings.balancers; i++)
		dy_flow_router_destroy(service->balancers[i].router);
	for (i = 0; i < service->settings.targets; i++)
		dy_flow_holder_destroy(service->targets[i].holder);
	g_free(service->balancers);
}
