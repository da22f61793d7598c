#include "balancer.h"

#include <string.h>

#include "damaskyard/log.h"
#include "damaskyard/loop.h"
#include "damaskyard/router.h"
#include "damaskyard/seal.h"
#include "damaskyard/status_service.h"
#include "damaskyard/subscriber.h"
#include "service_sockets.h"

/*
 * Time in ms without confirmation by a majority after which new flows are
 * refused: a document that the other side of a partition has replaced must not
 * open flows that the new one forbids. More than ten polls, and more than an
 * election takes, so that the loss of one control has no effect.
 */
#define CONFIRMATION_TIMEOUT_MS 6000

/*
 * Interval of the checks of confirmation, unanswered targets and stop, in ms.
 */
#define CHECK_INTERVAL_MS 200

/*
 * Phases of a planned stop, in ms. For STOP_UNREADY_MS the balancer serves and
 * reports to the fabric that it is not ready. Then it ends once it has
 * forwarded nothing for STOP_IDLE_MS, and after STOP_MAX_MS at the latest.
 */
#define STOP_UNREADY_MS 3000
#define STOP_IDLE_MS 1000
#define STOP_MAX_MS 30000

/* Length of the largest message to an agent. */
#define MAX_MESSAGE_BYTES (DY_DATAGRAM_BYTES + 512)

typedef struct balancer {
	const dy_balancer_settings_t *settings;
	dy_loop_t *loop;
	dy_metrics_t *metrics;
	dy_secrets_t secrets;
	dy_seal_t *seal;
	dy_keyring_t *keyring;
	GRand *rand;
	dy_endpoint_t *endpoint;
	dy_subscriber_t *subscriber;
	dy_router_t *router;
	service_sockets_t *sockets;
	dy_member_info_t info;
	int confirmed;
	int caught_up;
	int document_applied;
	uint64_t stop_started_ms; /* start of the stop; 0: not stopping */
	uint64_t forwarded_ms;	  /* last datagram, in either direction */
	uint64_t *lease_lapses;
	uint64_t *document_changes;
} balancer_t;

static void send_forward(void *context, const dy_address_t *to,
			 dy_forward_t *forward)
{
	static uint8_t out[MAX_MESSAGE_BYTES];
	dy_seal_header_t head = { 0, DY_AGENT_PROGRAM, DY_AGENT_FORWARD };
	balancer_t *balancer = context;
	size_t len;

	balancer->forwarded_ms = dy_loop_now_ms(balancer->loop);
	forward->state_version = dy_subscriber_version(balancer->subscriber);
	len = dy_seal_write_call(balancer->seal, &head,
				 (xdrproc_t)xdr_dy_forward_t, forward, out,
				 sizeof(out));
	if (len)
		dy_endpoint_send_to(balancer->endpoint, out, len, to);
}

static void send_answer(void *context, uint64_t socket,
			const dy_address_t *caller, const uint8_t *bytes,
			size_t len)
{
	balancer_t *balancer = context;

	service_sockets_send(balancer->sockets, socket, caller, bytes, len);
}

static void receive_answer(balancer_t *balancer, const dy_sealed_t *message)
{
	static char buffer[DY_DATAGRAM_BYTES];
	dy_answer_t answer = { 0 };

	answer.datagram.datagram_val = buffer;
	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_answer_t,
				     &answer))
		return;
	balancer->forwarded_ms = dy_loop_now_ms(balancer->loop);
	dy_router_receive_answer(balancer->router, &answer,
				 dy_loop_now_ms(balancer->loop));
}

static void receive_bounce(balancer_t *balancer, const dy_sealed_t *message)
{
	static char buffer[DY_DATAGRAM_BYTES];
	dy_bounce_t bounce = { 0 };

	bounce.forward.datagram.datagram_val = buffer;
	if (!dy_sealed_load_in_place(message, (xdrproc_t)xdr_dy_bounce_t,
				     &bounce))
		return;
	dy_router_receive_bounce(balancer->router, &bounce,
				 dy_loop_now_ms(balancer->loop));
}

static void answer_status(balancer_t *balancer, const dy_sealed_t *message,
			  const struct sockaddr *from)
{
	uint8_t out[DY_STATUS_ANSWER_BYTES];
	size_t len;

	len = dy_status_service_answer(balancer->seal, balancer->metrics,
				       message, out, sizeof(out));
	if (len)
		dy_endpoint_send(balancer->endpoint, out, len, from);
}

static void on_message(void *context, uint8_t *bytes, size_t len,
		       const struct sockaddr *from, int truncated)
{
	balancer_t *balancer = context;
	dy_sealed_t message;

	if (truncated ||
	    dy_seal_open(balancer->seal, bytes, len, &message) != DY_SEAL_OK)
		return;
	if (dy_subscriber_receive(balancer->subscriber, &message))
		return;
	if (message.program == DY_STATUS_PROGRAM)
		answer_status(balancer, &message, from);
	else if (message.program != DY_BALANCER_PROGRAM)
		return;
	else if (message.procedure == DY_BALANCER_ANSWER)
		receive_answer(balancer, &message);
	else if (message.procedure == DY_BALANCER_BOUNCE)
		receive_bounce(balancer, &message);
}

/*
 * The balancer is ready only if a majority has confirmed its state recently,
 * the document is applied completely, and all members of the group's state have
 * been received.
 */
static void update_ready(balancer_t *balancer)
{
	int ready = balancer->confirmed && balancer->caught_up &&
		    balancer->document_applied && !balancer->stop_started_ms &&
		    dy_keyring_ready(balancer->keyring);

	dy_router_set_confirmed(balancer->router,
				balancer->confirmed && balancer->caught_up);
	dy_router_set_ready(balancer->router, ready);
}

static void on_document(void *context, const dy_document_info_t *info,
			const uint8_t *bytes, size_t len)
{
	balancer_t *balancer = context;
	char digest[DY_DIGEST_TEXT_BYTES];
	dy_document_t *document;
	GError *error = NULL;
	unsigned failed;

	document = dy_document_parse(bytes, len, &error);
	if (!document) {
		dy_log_event(DY_LOG_ERROR, "document_refused",
			     "number=%lu error=%s", (unsigned long)info->number,
			     dy_log_quote(error->message));
		g_error_free(error);
		return;
	}
	failed = service_sockets_apply(balancer->sockets, document);
	dy_router_set_document(balancer->router, document,
			       dy_loop_now_ms(balancer->loop));
	balancer->document_applied = !failed;
	++*balancer->document_changes;
	dy_log_event(DY_LOG_INFO, "document_in_force",
		     "number=%lu digest=%s services=%u not_bound=%u",
		     (unsigned long)info->number,
		     dy_digest_format(info->digest, digest),
		     dy_document_service_count(document), failed);
	if (!failed)
		dy_subscriber_set_document(balancer->subscriber, info->number);
	update_ready(balancer);
}

static void on_member(void *context, const dy_member_t *member)
{
	balancer_t *balancer = context;

	dy_router_set_member(balancer->router, member,
			     dy_loop_now_ms(balancer->loop));
}

static void on_key(void *context, const dy_key_info_t *key)
{
	balancer_t *balancer = context;

	dy_keyring_apply(balancer->keyring, key);
	update_ready(balancer);
}

static void on_granted(void *context, uint64_t incarnation)
{
	(void)context;
	(void)incarnation;
}

static void on_caught_up(void *context)
{
	balancer_t *balancer = context;

	balancer->caught_up = 1;
}

static void begin_stop(void *context)
{
	balancer_t *balancer = context;

	if (balancer->stop_started_ms)
		return;
	balancer->stop_started_ms = dy_loop_now_ms(balancer->loop);
	dy_log_event(DY_LOG_INFO, "stop_begun", "");
	dy_subscriber_set_state(balancer->subscriber, DY_MEMBER_DRAINING, NULL,
				0);
	update_ready(balancer);
}

static void on_refused(void *context, dy_status_t status)
{
	balancer_t *balancer = context;

	if (status == DY_STATUS_SUPERSEDED)
		begin_stop(balancer);
}

static void on_domain(void *context, const dy_domain_info_t *domain)
{
	balancer_t *balancer = context;

	dy_router_set_domain(balancer->router, domain->name, domain->evacuated,
			     dy_loop_now_ms(balancer->loop));
}

static const dy_subscriber_callbacks_t subscriber_callbacks = {
	.document = on_document,
	.member = on_member,
	.key = on_key,
	.domain = on_domain,
	.granted = on_granted,
	.caught_up = on_caught_up,
	.drain = begin_stop,
	.refused = on_refused,
};

static const dy_router_callbacks_t router_callbacks = {
	send_forward,
	send_answer,
};

static void check_lease(balancer_t *balancer)
{
	int confirmed;

	confirmed = dy_subscriber_confirmation_age_ms(balancer->subscriber) <
		    CONFIRMATION_TIMEOUT_MS;
	if (confirmed == balancer->confirmed)
		return;
	balancer->confirmed = confirmed;
	if (confirmed) {
		dy_log_event(DY_LOG_INFO, "lease_confirmed", "version=%lu",
			     (unsigned long)dy_subscriber_version(
				     balancer->subscriber));
	} else {
		++*balancer->lease_lapses;
		dy_log_event(DY_LOG_WARN, "lease_lapsed", "ms=%d",
			     CONFIRMATION_TIMEOUT_MS);
	}
}

/* Ends a planned stop once callers have moved to other balancers. */
static void check_stop(balancer_t *balancer)
{
	uint64_t now = dy_loop_now_ms(balancer->loop);
	uint64_t since;

	if (!balancer->stop_started_ms)
		return;
	since = now - balancer->stop_started_ms;
	if (since < STOP_UNREADY_MS)
		return;
	if (now - balancer->forwarded_ms < STOP_IDLE_MS && since < STOP_MAX_MS)
		return;
	dy_log_event(DY_LOG_INFO, "stop_ended", "ms=%lu", (unsigned long)since);
	dy_loop_end(balancer->loop);
}

static void on_check(void *context)
{
	balancer_t *balancer = context;

	check_lease(balancer);
	update_ready(balancer);
	dy_router_expire(balancer->router, dy_loop_now_ms(balancer->loop));
	service_sockets_expire(balancer->sockets);
	check_stop(balancer);
}

static void create_components(balancer_t *balancer)
{
	const dy_balancer_settings_t *settings = balancer->settings;
	dy_router_config_t router = { 0 };
	uint32_t seed;

	dy_random_fill(&seed, sizeof(seed));
	balancer->rand = g_rand_new_with_seed(seed);
	balancer->metrics = dy_metrics_create();
	balancer->lease_lapses =
		dy_metrics_counter(balancer->metrics, "lease_lapses");
	balancer->document_changes =
		dy_metrics_counter(balancer->metrics, "document_changes");
	balancer->loop = dy_loop_create(balancer->metrics);
	balancer->seal = dy_seal_create(&balancer->secrets, balancer->metrics);
	balancer->keyring = dy_keyring_create(&balancer->secrets);
	router.keyring = balancer->keyring;
	router.metrics = balancer->metrics;
	router.rand = balancer->rand;
	router.domain = settings->member.domain;
	router.callbacks = &router_callbacks;
	router.context = balancer;
	balancer->router = dy_router_create(&router);
	balancer->sockets = service_sockets_create(
		balancer->loop, balancer->router, settings->bind_host);
}

static void subscribe(balancer_t *balancer)
{
	dy_subscriber_config_t config = { 0 };
	char address[DY_ADDRESS_TEXT_BYTES];

	config.loop = balancer->loop;
	config.endpoint = balancer->endpoint;
	config.seal = balancer->seal;
	config.metrics = balancer->metrics;
	config.controls = &balancer->settings->member.controls;
	config.callbacks = &subscriber_callbacks;
	config.context = balancer;
	balancer->subscriber = dy_subscriber_create(&config);
	balancer->info.kind = DY_MEMBER_BALANCER;
	balancer->info.name = balancer->settings->member.name;
	balancer->info.environment = balancer->settings->member.environment;
	balancer->info.domain = balancer->settings->member.domain;
	balancer->info.address = *dy_endpoint_address(balancer->endpoint);
	balancer->info.service = "";
	balancer->info.labels = "";
	dy_subscriber_set_info(balancer->subscriber, &balancer->info);
	dy_log_event(DY_LOG_INFO, "balancer_listening", "address=%s",
		     dy_address_format(&balancer->info.address, address));
}

static void destroy_components(balancer_t *balancer)
{
	service_sockets_destroy(balancer->sockets);
	dy_endpoint_destroy(balancer->endpoint);
	dy_subscriber_destroy(balancer->subscriber);
	dy_loop_destroy(balancer->loop);
	dy_router_destroy(balancer->router);
	dy_keyring_destroy(balancer->keyring);
	dy_seal_destroy(balancer->seal);
	dy_metrics_destroy(balancer->metrics);
	if (balancer->rand)
		g_rand_free(balancer->rand);
}

gboolean dy_balancer_run(const dy_balancer_settings_t *settings, GError **error)
{
	balancer_t balancer = { 0 };

	balancer.settings = settings;
	if (!dy_secrets_load(&balancer.secrets, settings->member.key_file,
			     error))
		return FALSE;
	create_components(&balancer);
	balancer.endpoint =
		dy_endpoint_create(balancer.loop, &settings->member.listen,
				   on_message, &balancer, error);
	if (balancer.endpoint) {
		subscribe(&balancer);
		dy_loop_on_stop(balancer.loop, begin_stop, &balancer);
		dy_loop_every(balancer.loop, CHECK_INTERVAL_MS, on_check,
			      &balancer);
		dy_loop_run(balancer.loop);
	}
	destroy_components(&balancer);
	return balancer.endpoint != NULL;
}
