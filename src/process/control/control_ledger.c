/*
 * The ledger of open flows: taken from agents, written to disk, given back.
 */

#include <errno.h>
#include <string.h>

#include <xxhash.h>

#include "control_private.h"
#include "damaskyard/flow_ledger.h"
#include "damaskyard/log.h"
#include "dy_ledger.h"

/*
 * The ledger is written so often at most, in ms, if it has changed: a flow is
 * missing after a loss of power that was opened in the last two lists.
 */
#define WRITE_MS 2000

/*
 * Two files take turns, so that one is whole if power is lost while the other
 * is written. Each is a head and the lists.
 */
#define FILES 2

typedef struct head {
	uint64_t sequence; /* the greater is the newer */
	uint64_t len;
	uint64_t hash; /* of sequence, len and the lists */
} head_t;

struct control_ledger {
	dy_control_t *control;
	dy_flow_ledger_t *lists;
	uint64_t sequence;
	uint64_t written_ms;
	int dirty;
	dy_log_limit_t failure_limit;
	struct sockaddr_storage asker; /* of the list that is given */
};

static const char *const names[FILES] = { "flows-0", "flows-1" };

static uint64_t hash_of(const head_t *head, const uint8_t *bytes)
{
	return XXH3_64bits_withSeed(bytes, head->len,
				    head->sequence ^ head->len);
}

/* The lists of a file, or NULL if it is not whole. */
static uint8_t *read_file(const dy_disk_t *disk, const char *name, head_t *head)
{
	int handle = disk->open(disk->context, name, 0);
	uint8_t *bytes = NULL;

	if (handle < 0)
		return NULL;
	if (disk->read(disk->context, handle, 0, head, sizeof(*head)) ==
		    sizeof(*head) &&
	    head->len <= UINT32_MAX) {
		bytes = g_malloc(head->len + 1);
		if (disk->read(disk->context, handle, sizeof(*head), bytes,
			       head->len) != (int64_t)head->len ||
		    hash_of(head, bytes) != head->hash)
			g_clear_pointer(&bytes, g_free);
	}
	disk->close(disk->context, handle);
	return bytes;
}

static void load(control_ledger_t *ledger)
{
	uint8_t *bytes[FILES];
	head_t heads[FILES];
	int newest = -1;
	int i;

	for (i = 0; i < FILES; i++) {
		bytes[i] =
			read_file(ledger->control->disk, names[i], &heads[i]);
		if (bytes[i] && heads[i].sequence > ledger->sequence) {
			ledger->sequence = heads[i].sequence;
			newest = i;
		}
	}
	if (newest >= 0)
		dy_flow_ledger_load(ledger->lists, bytes[newest],
				    heads[newest].len);
	for (i = 0; i < FILES; i++)
		g_free(bytes[i]);
}

control_ledger_t *control_ledger_create(dy_control_t *control)
{
	static const dy_log_limit_t limit = DY_LOG_LIMIT_INIT(3, 10000);
	control_ledger_t *ledger = g_new0(control_ledger_t, 1);

	ledger->failure_limit = limit;
	ledger->control = control;
	ledger->lists = dy_flow_ledger_create();
	load(ledger);
	return ledger;
}

void control_ledger_destroy(control_ledger_t *ledger)
{
	if (!ledger)
		return;
	dy_flow_ledger_destroy(ledger->lists);
	g_free(ledger);
}

static int write_file(const dy_disk_t *disk, const char *name,
		      const GByteArray *bytes)
{
	int handle = disk->open(disk->context, name, 1);
	int ok;

	if (handle < 0)
		return 0;
	ok = disk->write(disk->context, handle, 0, bytes->data, bytes->len) ==
		     (int64_t)bytes->len &&
	     !disk->sync(disk->context, handle);
	disk->close(disk->context, handle);
	return ok;
}

/* The lists are a hint, so the control goes on; the log's failure ends it. */
static void note_failure(control_ledger_t *ledger)
{
	++*ledger->control->counters.ledger_failures;
	if (dy_log_allow(&ledger->failure_limit, "ledger_not_written",
			 control_now_ms(ledger->control)))
		dy_log_event(DY_LOG_WARN, "ledger_not_written", "error=%s",
			     dy_log_quote(g_strerror(errno)));
}

static void write_lists(control_ledger_t *ledger)
{
	GByteArray *bytes = g_byte_array_new();
	head_t head = { .sequence = ledger->sequence + 1 };

	g_byte_array_append(bytes, (uint8_t *)&head, sizeof(head));
	dy_flow_ledger_write(ledger->lists, bytes);
	head.len = bytes->len - sizeof(head);
	head.hash = hash_of(&head, bytes->data + sizeof(head));
	memcpy(bytes->data, &head, sizeof(head));
	if (write_file(ledger->control->disk, names[head.sequence % FILES],
		       bytes))
		ledger->sequence = head.sequence;
	else
		note_failure(ledger);
	g_byte_array_unref(bytes);
}

void control_ledger_tick(control_ledger_t *ledger)
{
	uint64_t now = control_now_ms(ledger->control);

	if (!ledger->dirty || now - ledger->written_ms < WRITE_MS)
		return;
	ledger->dirty = 0;
	ledger->written_ms = now;
	write_lists(ledger);
}

static void keep_part(control_ledger_t *ledger, const dy_sealed_t *message)
{
	dy_ledger_part_t part;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_ledger_part_t, &part,
			    sizeof(part))) {
		control_count_malformed(ledger->control, message->procedure);
		return;
	}
	if (dy_flow_ledger_add_part(ledger->lists, &part))
		ledger->dirty = 1;
	xdr_free((xdrproc_t)xdr_dy_ledger_part_t, (char *)&part);
}

static void give_part(void *context, dy_ledger_part_t *part)
{
	control_ledger_t *ledger = context;
	dy_control_t *control = ledger->control;
	dy_seal_header_t head = { 0, DY_LEDGER_AGENT_PROGRAM, DY_LEDGER_GIVE };
	size_t len = dy_seal_write_call(control->seal, &head,
					(xdrproc_t)xdr_dy_ledger_part_t, part,
					control->out, sizeof(control->out));

	if (!len || dy_endpoint_send(control->endpoint, control->out, len,
				     (struct sockaddr *)&ledger->asker))
		++*control->counters.unsent;
}

/* So that it asks no more. */
static void give_nothing(control_ledger_t *ledger, char *agent)
{
	dy_ledger_part_t part = { .agent = agent, .target = "", .parts = 1 };

	give_part(ledger, &part);
}

static void give_list(control_ledger_t *ledger, const dy_sealed_t *message,
		      const struct sockaddr *from)
{
	dy_ledger_ask_t ask;
	dy_address_t address;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_ledger_ask_t, &ask,
			    sizeof(ask))) {
		control_count_malformed(ledger->control, message->procedure);
		return;
	}
	dy_address_load(&address, from);
	dy_address_write(&address, &ledger->asker);
	if (!dy_flow_ledger_each_part(ledger->lists, ask.agent, give_part,
				      ledger))
		give_nothing(ledger, ask.agent);
	xdr_free((xdrproc_t)xdr_dy_ledger_ask_t, (char *)&ask);
}

void control_ledger_receive(control_ledger_t *ledger,
			    const dy_sealed_t *message,
			    const struct sockaddr *from)
{
	switch (message->procedure) {
	case DY_LEDGER_KEEP:
		keep_part(ledger, message);
		return;
	case DY_LEDGER_ASK:
		give_list(ledger, message, from);
		return;
	default:
		control_count_malformed(ledger->control, message->procedure);
	}
}
