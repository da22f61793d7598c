/*
 * The network between callers and balancers: hands every datagram to any of
 * the balancers, and may lose, double or reorder it. It keeps one socket a
 * caller, so that an answer finds back whichever balancer sends it.
 */

#include "common_args.h"
#include "common_probe.h"

#include <string.h>
#include <uv.h>

/* A NULL probe goes to each balancer this often... */
#define PROBE_MS 200
/* ...and one that was not answered for this long is passed over. */
#define SILENT_MS 1000
/* A reordered datagram is held for up to this long. */
#define REORDER_MS 20
#define DATAGRAM_BYTES 65536

typedef struct balancer {
	struct sockaddr_in address;
	uint64_t ready_ms;
} balancer_t;

typedef struct fabric {
	uv_udp_t front;
	uv_udp_t probes;
	uv_timer_t probe_timer;
	GRand *rand;
	balancer_t *balancers;
	unsigned balancers_count;
	GHashTable *upstreams;
	uint32_t probe_xid;
	char *balancers_file;
	char *balancers_text;
	int probing;
	int lose;
	int duplicate;
	int reorder;
} fabric_t;

typedef struct upstream {
	uv_udp_t socket;
	fabric_t *fabric;
	struct sockaddr_in caller;
	gint64 key;
} upstream_t;

typedef struct held {
	uv_timer_t timer;
	uv_udp_t *socket;
	struct sockaddr_in to;
	size_t length;
	char bytes[];
} held_t;

static char buffer[DATAGRAM_BYTES];

static void allocate(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void must(int status, const char *what)
{
	if (status < 0)
		standin_die("%s: %s", what, uv_strerror(status));
}

static void open_socket(uv_udp_t *socket, const char *text, uv_udp_recv_cb cb)
{
	struct sockaddr_in address = standin_parse_address(text);

	must(uv_udp_init(uv_default_loop(), socket), "udp");
	must(uv_udp_bind(socket, (struct sockaddr *)&address, 0), text);
	must(uv_udp_recv_start(socket, allocate, cb), text);
}

/* A full socket buffer loses the datagram, as a network would. */
static void send_now(uv_udp_t *socket, const struct sockaddr_in *to,
		     char *bytes, size_t length)
{
	uv_buf_t buf = uv_buf_init(bytes, length);

	uv_udp_try_send(socket, &buf, 1, (const struct sockaddr *)to);
}

static void free_handle(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void release(uv_timer_t *timer)
{
	held_t *held = timer->data;

	send_now(held->socket, &held->to, held->bytes, held->length);
	uv_close((uv_handle_t *)timer, free_handle);
}

static void hold(fabric_t *fabric, uv_udp_t *socket,
		 const struct sockaddr_in *to, const char *bytes, size_t length)
{
	held_t *held = g_malloc0(sizeof(*held) + length);

	held->socket = socket;
	held->to = *to;
	held->length = length;
	memcpy(held->bytes, bytes, length);
	held->timer.data = held;
	uv_timer_init(uv_default_loop(), &held->timer);
	uv_timer_start(&held->timer, release,
		       g_rand_int_range(fabric->rand, 1, REORDER_MS + 1), 0);
}

static int chance(fabric_t *fabric, int percent)
{
	return percent && g_rand_int_range(fabric->rand, 0, 100) < percent;
}

static int is_ready(const fabric_t *fabric, const balancer_t *balancer)
{
	return !fabric->probing ||
	       standin_now_ms() < balancer->ready_ms + SILENT_MS;
}

/* With no balancer ready any will do: it refuses by itself. */
static const struct sockaddr_in *pick(fabric_t *fabric)
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

/* to is NULL for a datagram on its way to any balancer. */
static void carry(fabric_t *fabric, uv_udp_t *socket,
		  const struct sockaddr_in *to, char *bytes, size_t length)
{
	int copies = chance(fabric, fabric->duplicate) ? 2 : 1;

	if (chance(fabric, fabric->lose))
		return;
	while (copies--) {
		const struct sockaddr_in *target = to ? to : pick(fabric);

		if (chance(fabric, fabric->reorder))
			hold(fabric, socket, target, bytes, length);
		else
			send_now(socket, target, bytes, length);
	}
}

static void take_answer(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
			const struct sockaddr *from, unsigned flags)
{
	upstream_t *upstream = socket->data;

	if (count > 0 && from)
		carry(upstream->fabric, &upstream->fabric->front,
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
	open_socket(&upstream->socket, "127.0.0.1:0", take_answer);
	upstream->socket.data = upstream;
	g_hash_table_insert(fabric->upstreams, &upstream->key, upstream);
	return upstream;
}

static void take_call(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned flags)
{
	fabric_t *fabric = socket->data;
	upstream_t *upstream;

	if (count <= 0 || !from)
		return;
	upstream = find_upstream(fabric, (const struct sockaddr_in *)from);
	carry(fabric, &upstream->socket, NULL, buf->base, count);
}

static int same_address(const struct sockaddr_in *one,
			const struct sockaddr_in *other)
{
	return one->sin_port == other->sin_port &&
	       one->sin_addr.s_addr == other->sin_addr.s_addr;
}

static void take_probe(uv_udp_t *socket, ssize_t count, const uv_buf_t *buf,
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
		balancer->ready_ms = standin_probe_is_ready(buf->base, count)
					     ? standin_now_ms()
					     : 0;
	}
}

/* A balancer that stays in the list stays ready. */
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
				fabric->balancers[i].ready_ms = old[j].ready_ms;
	}
	g_free(addresses);
	g_free(old);
}

/* The file is replaced whole whenever a balancer comes or goes. */
static void reload_balancers(fabric_t *fabric)
{
	char *text = NULL;

	if (!fabric->balancers_file ||
	    !g_file_get_contents(fabric->balancers_file, &text, NULL, NULL))
		return;
	g_strstrip(text);
	if (g_strcmp0(text, fabric->balancers_text))
		set_balancers(fabric, text);
	g_free(fabric->balancers_text);
	fabric->balancers_text = text;
}

static void probe(uv_timer_t *timer)
{
	fabric_t *fabric = timer->data;
	char bytes[STANDIN_PROBE_BYTES];
	size_t length = standin_probe_encode(++fabric->probe_xid, bytes);
	unsigned i;

	reload_balancers(fabric);
	for (i = 0; i < fabric->balancers_count; i++)
		send_now(&fabric->probes, &fabric->balancers[i].address, bytes,
			 length);
}

static void start(fabric_t *fabric, const char *listen_text)
{
	uv_os_fd_t fd;

	fabric->upstreams = g_hash_table_new(g_int64_hash, g_int64_equal);
	open_socket(&fabric->front, listen_text, take_call);
	fabric->front.data = fabric;
	if (fabric->probing) {
		open_socket(&fabric->probes, "127.0.0.1:0", take_probe);
		fabric->probes.data = fabric;
		uv_timer_init(uv_default_loop(), &fabric->probe_timer);
		fabric->probe_timer.data = fabric;
		uv_timer_start(&fabric->probe_timer, probe, 0, PROBE_MS);
	}
	must(uv_fileno((uv_handle_t *)&fabric->front, &fd), listen_text);
	standin_print_bound(fd);
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
		{ "probe", 0, 0, G_OPTION_ARG_NONE, &fabric.probing,
		  "Pass over balancers that are unready or silent", NULL },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed", "N" },
		{ "lose", 0, 0, G_OPTION_ARG_INT, &fabric.lose,
		  "Datagrams lost, of a hundred", "N" },
		{ "duplicate", 0, 0, G_OPTION_ARG_INT, &fabric.duplicate,
		  "Datagrams doubled, of a hundred", "N" },
		{ "reorder", 0, 0, G_OPTION_ARG_INT, &fabric.reorder,
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
