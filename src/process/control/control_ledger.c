/*
 * The ledger of open flows: lists received from agents, written to disk, and
 * sent back on request.
 */

#include <errno.h>
#include <string.h>

#include <xxhash.h>

#include "control_private.h"
#include "damaskyard/flow_ledger.h"
#include "damaskyard/log.h"
#include "dy_ledger.h"

/*
 * Minimum interval between two writes of a changed ledger. A power loss can
 * lose flows that were opened in the last two lists.
 */
#define WRITE_INTERVAL_MS 2000

/*
 * Two files are written alternately, so that one stays intact if power is lost
 * while the other is written. Each holds a header and the lists.
 */
#define FILE_COUNT 2

typedef struct file_header {
	uint64_t sequence; /* the newer file has the greater one */
	uint64_t len;
	uint64_t hash; /* of sequence, len and the lists */
} file_header_t;

struct control_ledger {
	dy_control_t *control;
	dy_flow_ledger_t *lists;
	uint64_t sequence;
	uint64_t written_ms;
	int dirty;
	dy_log_limit_t failure_limit;
	struct sockaddr_storage query_from; /* of the current query */
};

static const char *const names[FILE_COUNT] = { "flows-0", "flows-1" };

static uint64_t hash_of(const file_header_t *header, const uint8_t *bytes)
{
	return XXH3_64bits_withSeed(bytes, header->len,
				    header->sequence ^ header->len);
}

/* Returns the lists of a file, or NULL if the file is incomplete or damaged. */
static uint8_t *read_file(const dy_disk_t *disk, const char *name,
			  file_header_t *header)
{
	int handle = disk->open(disk->context, name, 0);
	uint8_t *bytes = NULL;

	if (handle < 0)
		return NULL;
	if (disk->read(disk->context, handle, 0, header, sizeof(*header)) ==
		    sizeof(*header) &&
	    header->len <= UINT32_MAX) {
		bytes = g_malloc(header->len + 1);
		if (disk->read(disk->context, handle, sizeof(*header), bytes,
			       header->len) != (int64_t)header->len ||
		    hash_of(header, bytes) != header->hash)
			g_clear_pointer(&bytes, g_free);
	}
	disk->close(disk->context, handle);
	return bytes;
}

static void load(control_ledger_t *ledger)
{
	uint8_t *bytes[FILE_COUNT];
	file_header_t headers[FILE_COUNT];
	int newest = -1;
	int i;

	for (i = 0; i < FILE_COUNT; i++) {
		bytes[i] =
			read_file(ledger->control->disk, names[i], &headers[i]);
		if (bytes[i] && headers[i].sequence > ledger->sequence) {
			ledger->sequence = headers[i].sequence;
			newest = i;
		}
	}
	if (newest >= 0)
		dy_flow_ledger_load(ledger->lists, bytes[newest],
				    headers[newest].len);
	for (i = 0; i < FILE_COUNT; i++)
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

/*
 * The lists are only a hint, so a failed write does not stop the control; a
 * failed write of the log does.
 */
static void report_write_failure(control_ledger_t *ledger)
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
	file_header_t header = { .sequence = ledger->sequence + 1 };

	g_byte_array_append(bytes, (uint8_t *)&header, sizeof(header));
	dy_flow_ledger_write(ledger->lists, bytes);
	header.len = bytes->len - sizeof(header);
	header.hash = hash_of(&header, bytes->data + sizeof(header));
	memcpy(bytes->data, &header, sizeof(header));
	if (write_file(ledger->control->disk,
		       names[header.sequence % FILE_COUNT], bytes))
		ledger->sequence = header.sequence;
	else
		report_write_failure(ledger);
	g_byte_array_unref(bytes);
}

void control_ledger_tick(control_ledger_t *ledger)
{
	uint64_t now = control_now_ms(ledger->control);

	if (!ledger->dirty || now - ledger->written_ms < WRITE_INTERVAL_MS)
		return;
	ledger->dirty = 0;
	ledger->written_ms = now;
	write_lists(ledger);
}

static void receive_part(control_ledger_t *ledger, const dy_sealed_t *message)
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

static void send_part(void *context, dy_ledger_part_t *part)
{
	control_ledger_t *ledger = context;
	dy_control_t *control = ledger->control;
	dy_seal_header_t head = { 0, DY_LEDGER_AGENT_PROGRAM, DY_LEDGER_GIVE };
	size_t len = dy_seal_write_call(control->seal, &head,
					(xdrproc_t)xdr_dy_ledger_part_t, part,
					control->out, sizeof(control->out));

	if (!len || dy_endpoint_send(control->endpoint, control->out, len,
				     (struct sockaddr *)&ledger->query_from))
		++*control->counters.unsent;
}

/* Sends an empty list, so that the agent stops asking. */
static void send_empty_list(control_ledger_t *ledger, char *agent)
{
	dy_ledger_part_t part = { .agent = agent, .target = "", .parts = 1 };

	send_part(ledger, &part);
}

static void answer_query(control_ledger_t *ledger, const dy_sealed_t *message,
			 const struct sockaddr *from)
{
	dy_ledger_ask_t query;
	dy_address_t address;

	if (!dy_sealed_load(message, (xdrproc_t)xdr_dy_ledger_ask_t, &query,
			    sizeof(query))) {
		control_count_malformed(ledger->control, message->procedure);
		return;
	}
	dy_address_load(&address, from);
	dy_address_write(&address, &ledger->query_from);
	if (!dy_flow_ledger_each_part(ledger->lists, query.agent, send_part,
				      ledger))
		send_empty_list(ledger, query.agent);
	xdr_free((xdrproc_t)xdr_dy_ledger_ask_t, (char *)&query);
}

void control_ledger_receive(control_ledger_t *ledger,
			    const dy_sealed_t *message,
			    const struct sockaddr *from)
{
	switch (message->procedure) {
	case DY_LEDGER_KEEP:
		receive_part(ledger, message);
		return;
	case DY_LEDGER_ASK:
		answer_query(ledger, message, from);
		return;
	default:
		control_count_malformed(ledger->control, message->procedure);
	}
}
