/*
 * The status lines that `damaskyard status` prints, one line per item:
 *
 *	group leader=1 term=4 commit=812 version=810
 *	control id=1 address=IP:PORT role=voter lag=0 heard_ms=12
 *	document environment=trial number=3 digest=HEX in_force=8/8 tried=1
 *		operator=NAME
 *	service environment=trial name=readings address=IP:PORT targets=7
 *	key id=2 active=1 retired=0
 *	domain name=d1 evacuated=1 operator=NAME
 *	member name=a1 kind=agent environment=trial service=readings
 *		state=serving incarnation=70 address=IP:PORT domain=d1
 *		document=3 drain=0 heard_ms=140
 *
 * Each item is printed on one line. lag is the number of log entries that a
 * control lacks. document and heard_ms of a member are as reported to this
 * leader.
 */

#include <string.h>

#include "control_private.h"
#include "damaskyard/document.h"
#include "damaskyard/status_service.h"

static void add_group(const dy_control_t *control, dy_status_page_t *page)
{
	if (dy_status_page_begin_line(page))
		dy_status_page_add(
			page, "group leader=%u term=%lu commit=%lu version=%lu",
			dy_raft_leader(control->raft).slot,
			(unsigned long)dy_raft_term(control->raft),
			(unsigned long)dy_raft_commit_index(control->raft),
			(unsigned long)dy_registry_index(control->registry));
}

static void add_control(const dy_control_t *control, dy_status_page_t *page,
			const dy_raft_member_t *member)
{
	int self = dy_voter_id_equal(member->id, dy_raft_id(control->raft));
	uint64_t heard_ms = 0;
	uint64_t lag = 0;

	if (!self)
		lag = dy_raft_member_lag(control->raft, member->id, &heard_ms);
	dy_status_page_add(page,
			   "control id=%u address=%s role=%s lag=%lu "
			   "heard_ms=%lu",
			   member->id.slot, member->address,
			   member->role == DY_MEMBER_VOTER ? "voter"
							   : "learner",
			   (unsigned long)lag, (unsigned long)heard_ms);
}

static void add_controls(const dy_control_t *control, dy_status_page_t *page)
{
	const dy_raft_config_t *config = dy_raft_config(control->raft);
	unsigned i;

	for (i = 0; i < config->members.members_len; i++)
		if (dy_status_page_begin_line(page))
			add_control(control, page,
				    &config->members.members_val[i]);
}

static void add_document(const dy_control_t *control, dy_status_page_t *page,
			 dy_environment_t environment)
{
	const dy_registry_document_t *document =
		dy_registry_document(control->registry, environment);
	char digest[DY_DIGEST_TEXT_BYTES];
	unsigned in_force;
	unsigned live;

	if (!document->number || !dy_status_page_begin_line(page))
		return;
	dy_registry_count_in_force(control->registry, environment, &live,
				   &in_force);
	dy_status_page_add(
		page,
		"document environment=%s number=%lu digest=%s in_force=%u/%u "
		"tried=%d operator=%s",
		dy_environment_name(environment),
		(unsigned long)document->number,
		dy_digest_format(document->digest, digest), in_force, live,
		dy_registry_is_tried(control->registry, document->digest),
		dy_log_quote(document->operator_name));
}

static void add_keys(const dy_control_t *control, dy_status_page_t *page)
{
	const dy_registry_key_t *keys;
	unsigned count;
	unsigned i;

	keys = dy_registry_keys(control->registry, &count);
	for (i = 0; i < count; i++)
		if (dy_status_page_begin_line(page))
			dy_status_page_add(
				page, "key id=%u active=%d retired=%d",
				keys[i].info.id, !!keys[i].info.active,
				!!keys[i].info.retired);
}

static void add_domains(const dy_control_t *control, dy_status_page_t *page)
{
	const dy_registry_domain_t *domains;
	unsigned count;
	unsigned i;

	domains = dy_registry_domains(control->registry, &count);
	for (i = 0; i < count; i++)
		if (domains[i].evacuated && dy_status_page_begin_line(page))
			dy_status_page_add(
				page, "domain name=%s evacuated=1 operator=%s",
				dy_log_quote(domains[i].name),
				dy_log_quote(domains[i].operator_name));
}

typedef struct member_lines {
	dy_status_page_t *page;
	uint64_t now_ms;
} member_lines_t;

static void add_member(void *context, const dy_registry_member_t *member)
{
	const member_lines_t *lines = context;
	char text[DY_ADDRESS_TEXT_BYTES];
	dy_address_t address;

	if (!dy_status_page_begin_line(lines->page))
		return;
	memcpy(address.ip, member->ip, DY_IP_BYTES);
	address.port = member->port;
	dy_status_page_add(
		lines->page,
		"member name=%s kind=%s environment=%s service=%s state=%s "
		"incarnation=%lu address=%s domain=%s document=%lu drain=%d "
		"heard_ms=%lu",
		dy_log_quote(member->name),
		member->kind == DY_MEMBER_AGENT ? "agent" : "balancer",
		dy_environment_name(member->environment),
		*member->service ? dy_log_quote(member->service) : "-",
		dy_member_state_name(member->state),
		(unsigned long)member->incarnation,
		dy_address_format(&address, text), dy_log_quote(member->domain),
		(unsigned long)member->document, member->drain,
		(unsigned long)(lines->now_ms - member->heard_ms));
}

static void answer_inspect(request_t *request, dy_status_t status)
{
	dy_control_t *control = request->control;
	dy_inspect_result_t result = { 0 };
	dy_status_page_t page;
	member_lines_t lines = { &page, control_now_ms(control) };
	int i;

	dy_status_page_init(&page, request->args.inspect.from);
	if (status == DY_STATUS_OK) {
		add_group(control, &page);
		add_controls(control, &page);
		for (i = 0; i < DY_ENVIRONMENTS; i++)
			add_document(control, &page, i);
		control_services_add(control, &page);
		add_keys(control, &page);
		add_domains(control, &page);
		dy_registry_each_member(control->registry, add_member, &lines);
	}
	result.status = status;
	result.more = page.more;
	result.lines = page.lines;
	control_leader_address(control, &result.leader);
	control_answer_request(request, (xdrproc_t)xdr_dy_inspect_result_t,
			       &result);
}

static void on_confirmed(void *context, dy_raft_result_t result, uint64_t index)
{
	request_t *request = context;

	(void)index;
	answer_inspect(request,
		       control_status_from_result(request->control, result));
}

void control_inspect(dy_control_t *control, const dy_sealed_t *message,
		     const struct sockaddr *from)
{
	dy_raft_result_t result;
	request_t *request;

	++*control->counters.inspects;
	request = control_keep_request(control, message, from,
				       (xdrproc_t)xdr_dy_inspect_t,
				       sizeof(dy_inspect_t));
	if (!request)
		return;
	/*
	 * Answered also while the group does not serve yet, so that operators
	 * can see why.
	 */
	result = dy_raft_read(control->raft, on_confirmed, request);
	if (result != DY_RAFT_DONE)
		answer_inspect(request,
			       control_status_from_result(control, result));
}
