/*
 * Simulates the network between callers and balancers. It forwards every
 * datagram of a caller to a randomly chosen balancer, and can lose, duplicate
 * or reorder datagrams. It opens one socket per caller, so that an answer from
 * any balancer reaches the right caller.
 */

#include "common_args.h"
#include "common_probe.h"

#include <string.h>
#include <uv.h>

/* Interval of the NULL probes to each balancer. */
#define PROBE_INTERVAL_MS 200
/* A balancer without a ready answer for this time gets no calls. */
#define PROBE_TIMEOUT_MS 1000
/* Longest delay of a reordered datagram. */
#define REORDER_DELAY_MAX_MS 20
#define DATAGRAM_MAX_BYTES 65536

typedef struct balancer {
	struct sockaddr_in address;
	uint64_t last_ready_ms;
} balancer_t;

typedef struct fabric {
	uv_udp_t caller_socket;
	uv_udp_t probe_socket;
	uv_timer_t probe_timer;
	GRand *rand;
	balancer_t *balancers;
	unsigned balancers_count;
	GHashTable *upstreams;
	uint32_t probe_xid;
	char *balancers_file;
	char *balancers_list;
	int probe_enabled;
	int loss_percent;
	int duplicate_percent;
	int reorder_percent;
} fabric_t;

typedef struct upstream {
	uv_udp_t socket;
	fabric_t *fabric;
	struct sockaddr_in caller;
	gint64 key;
} upstream_t;

typedef struct delayed_datagram {
	uv_timer_t timer;
	uv_udp_t *socket;
	struct sockaddr_in destination;
	size_t length;
	char bytes[];
} delayed_datagram_t;

static char buffer[DATAGRAM_MAX_BYTES];

static void allocate(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void die_on_error(int status, const char *what)
{
	if (status < 0)
		standin_die("%s: %s", what, uv_strerror(status));
}

static void open_socket(uv_udp_t *socket, const char *text, uv_udp_recv_cb cb)
{
	struct sockaddr_in address = standin_parse_address(text);

	die_on_error(uv_udp_init(uv_default_loop(), socket), "udp");
	die_on_error(uv_udp_bind(socket, (struct sockaddr *)&address, 0), text);
	die_on_error(uv_udp_recv_start(socket, allocate, cb), text);
}

/* Drops the datagram if the socket buffer is full, as a network does. */
static void send_datagram(uv_udp_t *socket, const struct sockaddr_in *to,
			  char *bytes, size_t length)
{
	uv_buf_t buf = uv_buf_init(bytes, length);

	uv_udp_try_send(socket, &buf, 1, (const struct sockaddr *)to);
}

static void free_handle(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_delay_expired(uv_timer_t *timer)
{
	delayed_datagram_t *delayed = timer->data;

	send_datagram(delayed->socket, &delayed->destination, delayed->bytes,
		      delayed->length);
	uv_close((uv_handle_t *)timer, free_handle);
}

static void send_delayed(fabric_t *fabric, uv_udp_t *socket,
			 const struct sockaddr_in *to, const char *bytes,
			 size_t length)
{
	delayed_datagram_t *delayed = g_malloc0(sizeof(*delayed) + length);

	delayed->socket = socket;
	delayed->destination = *to;
	delayed->length = length;
	memcpy(delayed->bytes, bytes, length);
	delayed->timer.data = delayed;
	uv_timer_init(uv_default_loop(), &delayed->timer);
	uv_timer_start(
		&delayed->timer, on_delay_expired,
		g_rand_int_range(fabric->rand, 1, REORDER_DELAY_MAX_MS + 1), 0);
}

static int draw_percent(fabric_t *fabric, int percent)
{
	return percent && g_rand_int_range(fabric->rand, 0, 100) < percent;
}

static int is_ready(const fabric_t *fabric, const balancer_t *balancer)
{
	return !fabric->probe_enabled ||
	       standin_now_ms() < balancer->last_ready_ms + PROBE_TIMEOUT_MS;
}

/* If no balancer is ready, chooses any; that balancer refuses the call. */
static const struct sockaddr_in *choose_balancer(fabric_t *fabric)
{
	unsigned ready = 0;
	unsigned chosen;
	unsigned i;

	for (i = 0; i < fabric->balancers_count; i++)
		ready += is_ready(fabric, &fabric->balancers[i]);
	chosen = g_rand_int_range(fabric->rand, 0,
				  ready ? ready : fabric->balancers_count);
	for (i = 0; ready && i < fabric->balancers_count; i++) {
		if (!is_ready(fabric, &fabric->balancers[i]))
			continue;
		if (!chosen--)
			break;
	}
	return &fabric->balancers[ready ? i : chosen].address;
}

/* If to is NULL, each copy of the datagram goes to a random balancer. */
static void forward_datagram(fabric_t *fabric, uv_udp_t *socket,
			     const struct sockaddr_in *to, char *bytes,
			     size_t length)
{
	int copies = draw_percent(fabric, fabric->duplicate_percent) ? 2 : 1;

	if (draw_percent(fabric, fabric->loss_percent))
		return;
	while (copies--) {
		const struct sockaddr_in *destination =
			to ? to : choose_balancer(fabric);

		if (draw_percent(fabric, fabric->reorder_percent))
			send_delayed(fabric, socket, destination, bytes,
				     length);
		else
			send_datagram(socket, destination, bytes, length);
	}
}

static void on_answer(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned flags)
{
	upstream_t *upstream = socket->data;

	if (count > 0 && from)
		forward_datagram(upstream->fabric,
				 &upstream->fabric->caller_socket,
				 &upstream->caller, buf->base, count);
}

static upstream_t *find_upstream(fabric_t *fabric,
				 const struct sockaddr_in *caller)
{
	gint64 key = (gint64)caller->sin_addr.s_addr << 16 | caller->sin_port;
	upstream_t *upstream = g_hash_table_lookup(fabric->upstreams, &key);

	if (upstream)
		return upstream;
	upstream = g_new0(upstream_t, 1);
	upstream->fabric = fabric;
	upstream->caller = *caller;
	upstream->key = key;
	open_socket(&upstream->socket, "127.0.0.1:0", on_answer);
	upstream->socket.data = upstream;
	g_hash_table_insert(fabric->upstreams, &upstream->key, upstream);
	return upstream;
}

static void on_call(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
		    const struct sockaddr *from, unsigned flags)
{
	fabric_t *fabric = socket->data;
	upstream_t *upstream;

	if (count <= 0 || !from)
		return;
	upstream = find_upstream(fabric, (const struct sockaddr_in *)from);
	forward_datagram(fabric, &upstream->socket, NULL, buf->base, count);
}

static int same_address(const struct sockaddr_in *one,
			const struct sockaddr_in *other)
{
	return one->sin_port == other->sin_port &&
	       one->sin_addr.s_addr == other->sin_addr.s_addr;
}

static void on_probe_reply(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
			   const struct sockaddr *from, unsigned flags)
{
	const struct sockaddr_in *address = (const struct sockaddr_in *)from;
	fabric_t *fabric = socket->data;
	unsigned i;

	if (count <= 0 || !from)
		return;
	for (i = 0; i < fabric->balancers_count; i++) {
		balancer_t *balancer = &fabric->balancers[i];

		if (!same_address(&balancer->address, address))
			continue;
		balancer->last_ready_ms =
			standin_probe_is_ready(buf->base, count)
				? standin_now_ms()
				: 0;
	}
}

/* A balancer that is in both the old and the new list stays ready. */
static void set_balancers(fabric_t *fabric, const char *text)
{
	balancer_t *old = fabric->balancers;
	unsigned old_count = fabric->balancers_count;
	struct sockaddr_in *addresses =
		standin_parse_addresses(text, &fabric->balancers_count);
	unsigned i;
	unsigned j;

	fabric->balancers = g_new0(balancer_t, fabric->balancers_count);
	for (i = 0; i < fabric->balancers_count; i++) {
		fabric->balancers[i].address = addresses[i];
		for (j = 0; j < old_count; j++)
			if (same_address(&old[j].address, &addresses[i]))
				fabric->balancers[i].last_ready_ms =
					old[j].last_ready_ms;
	}
	g_free(addresses);
	g_free(old);
}

/* The file is replaced atomically whenever a balancer starts or ends. */
static void reload_balancers(fabric_t *fabric)
{
	char *text = NULL;

	if (!fabric->balancers_file ||
	    !g_file_get_contents(fabric->balancers_file, &text, NULL, NULL))
		return;
	g_strstrip(text);
	if (g_strcmp0(text, fabric->balancers_list))
		set_balancers(fabric, text);
	g_free(fabric->balancers_list);
	fabric->balancers_list = text;
}

static void on_probe_timer(uv_timer_t *timer)
{
	fabric_t *fabric = timer->data;
	char bytes[STANDIN_PROBE_BYTES];
	size_t length = standin_probe_encode(++fabric->probe_xid, bytes);
	unsigned i;

	reload_balancers(fabric);
	for (i = 0; i < fabric->balancers_count; i++)
		send_datagram(&fabric->probe_socket,
			      &fabric->balancers[i].address, bytes, length);
}

static void start(fabric_t *fabric, const char *listen_text)
{
	uv_os_fd_t fd;

	fabric->upstreams = g_hash_table_new(g_int64_hash, g_int64_equal);
	open_socket(&fabric->caller_socket, listen_text, on_call);
	fabric->caller_socket.data = fabric;
	if (fabric->probe_enabled) {
		open_socket(&fabric->probe_socket, "127.0.0.1:0",
			    on_probe_reply);
		fabric->probe_socket.data = fabric;
		uv_timer_init(uv_default_loop(), &fabric->probe_timer);
		fabric->probe_timer.data = fabric;
		uv_timer_start(&fabric->probe_timer, on_probe_timer, 0,
			       PROBE_INTERVAL_MS);
	}
	die_on_error(uv_fileno((uv_handle_t *)&fabric->caller_socket, &fd),
		     listen_text);
	standin_print_bound_address(fd);
}

int main(int argc, char **argv)
{
	fabric_t fabric = { 0 };
	char *listen_text = "127.0.0.1:0";
	char *balancers = "";
	int seed = 1;
	const GOptionEntry entries[] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, &listen_text,
		  "Where callers send", "IP:PORT" },
		{ "balancers", 0, 0, G_OPTION_ARG_STRING, &balancers,
		  "One service's address at each balancer", "IP:PORT,.." },
		{ "balancers-file", 0, 0, G_OPTION_ARG_FILENAME,
		  &fabric.balancers_file,
		  "File of that list, read again while running", "FILE" },
		{ "probe", 0, 0, G_OPTION_ARG_NONE, &fabric.probe_enabled,
		  "Pass over balancers that are unready or silent", NULL },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
		{ "lose", 0, 0, G_OPTION_ARG_INT, &fabric.loss_percent,
		  "Datagrams lost, of a hundred", "N" },
		{ "duplicate", 0, 0, G_OPTION_ARG_INT,
		  &fabric.duplicate_percent, "Datagrams doubled, of a hundred",
		  "N" },
		{ "reorder", 0, 0, G_OPTION_ARG_INT, &fabric.reorder_percent,
		  "Datagrams held back, of a hundred", "N" },
		{ NULL }
	};

	standin_parse_options(argc, argv, "A stand-in network.", entries);
	if (fabric.balancers_file)
		reload_balancers(&fabric);
	else
		set_balancers(&fabric, balancers);
	if (!fabric.balancers_count)
		standin_die("there are no balancers");
	fabric.rand = g_rand_new_with_seed(seed);
	start(&fabric, listen_text);
	uv_run(uv_default_loop(), UV_RUN_DEFAULT);
	return 0;
}
