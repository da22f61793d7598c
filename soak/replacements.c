#include "soak.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * The shape "replaced": controls are replaced for good or lose their disks, no
 * more of them at a time than the group tolerates, in chains, under storms of
 * configurations. The last fault takes the disks of as many controls as are
 * tolerated, and kills all others.
 */

/* Limits that the platform documents, in ms. */
#define CATCH_UP_MS 4000
#define RECOVERY_MS 12000
#define STABLE_MS 4000
#define ACK_TIMEOUT_MS 5000
#define SEED_LAG_MAX_MS 3000

#define LOSSES_MAX 2
#define CHAIN_MAX 4
/*
 * The first storm makes the log so long that a control which replays it does so
 * for several periods of its timers.
 */
#define FIRST_STORM_CHANGES 700
#define FIRST_STORM_MAX_MS 9000
#define GAP_MAX_MS 800
/* An election may be under way so long after another control was lost. */
#define ELECTION_MAX_MS 1500
/* From the end of the losses to the last fault: one loss, and a change. */
#define FINAL_TIMEOUT_MS 30000
#define DOWN_MIN_MS 100
#define DOWN_MAX_MS 2000
#define EARLY_KILL_MAX_MS 2000
#define EARLY_DOWN_MS 500
/*
 * Intervals of changes in the first storm and in later ones, and lengths of
 * storms and pauses. Only where later storms are as fast as the first one is
 * the log replaced by snapshots, so that a new control replays none of it.
 */
#define STORM_INTERVAL_MS 1
#define STORM_SLOW_INTERVAL_MS 40
#define STORM_MIN_MS 500
#define STORM_MAX_MS 2500
/*
 * A control that joins has a tenth of a core, as on the platform's machines:
 * for so long after its start it runs for 1 ms in each tick of 10 ms.
 */
#define SLOW_START_MS 1000
#define SLOW_RUN_US 1000
#define RELOAD_MIN_MS 50
#define RELOAD_MAX_MS 1000

typedef enum loss_kind {
	LOSS_KILLED,  /* SIGKILL, for good; the successor comes later */
	LOSS_STOPPED, /* SIGTERM, for good; the successor comes later */
	LOSS_PLANNED, /* the successor comes first, then SIGTERM */
	LOSS_WIPED,   /* SIGKILL; it returns with an empty disk */
	LOSS_KINDS
} loss_kind_t;

typedef enum aim { AIM_LEADER, AIM_NEWEST, AIM_OLDEST, AIM_LOT, AIMS } aim_t;

/* A control that is lost, until its successor has had CATCH_UP_MS. */
typedef struct loss {
	loss_kind_t kind;
	aim_t aim;
	int chain_left;
	process_t *victim;    /* NULL: none is lost */
	process_t *successor; /* victim itself if it was wiped; NULL: not yet */
	uint64_t add_at_ms;   /* start of the successor; 0: none is due */
	uint64_t end_at_ms;   /* end of a victim as planned; 0: none is due */
	uint64_t list_at_ms; /* change of the platform's list; 0: none is due */
	int slow;	     /* the successor starts slowly */
	uint64_t begun_ms;   /* when the victim was lost */
	uint64_t next_ms;    /* the next loss of the chain */
	const process_t *unchecked; /* its voters are yet to be counted */
} loss_t;

/* Answers of the controls that are asked for the voters that lack. */
typedef struct vote_check {
	const process_t *successor;
	unsigned allowed; /* other controls that are lost meanwhile */
	unsigned pending;
	unsigned answers;
	unsigned missing;
	char counts[128];
} vote_check_t;

typedef enum final_step {
	FINAL_NONE,
	FINAL_DUE, /* follows the next acknowledgement */
	FINAL_READ,
	FINAL_CHANGE,
	FINAL_DONE
} final_step_t;

static loss_t losses[LOSSES_MAX];

static struct {
	process_t *victim; /* of the kill before the first configuration */
	uint64_t at_ms;	   /* 0: none is due */
	int wiped;
	uint64_t deadline_ms; /* of the first configuration; 0: none */
} early;

static struct {
	uint64_t until_ms; /* of a storm or pause */
	uint64_t begun_ms; /* of the first storm; 0: not yet */
	int first;	   /* the first storm runs; no control is lost */
	int running;
	uint64_t interval_ms; /* between two changes of a later storm */
	uint64_t reload_at_ms;
} storm;

static struct {
	final_step_t step;
	uint64_t back_ms; /* when all processes have started again */
	unsigned acked;
} final;

static uint64_t draw_ms(int min_ms, int max_ms)
{
	return (uint64_t)g_rand_int_range(soak.rand, min_ms, max_ms + 1);
}

static int draw_chance(int of)
{
	return g_rand_int_range(soak.rand, 0, of) == 0;
}

static int is_lost(const process_t *process)
{
	unsigned i;

	for (i = 0; i < soak.losses; i++)
		if (process == losses[i].victim ||
		    process == losses[i].successor)
			return 1;
	return 0;
}

static int may_fail(const process_t *process)
{
	return process->restart && process->pid && !is_lost(process);
}

static process_t *find_newest(void)
{
	process_t *newest = NULL;
	int i;

	for (i = 0; i < soak.controls; i++)
		if (may_fail(&soak.processes[i]) &&
		    (!newest || soak.processes[i].start_ms >= newest->start_ms))
			newest = &soak.processes[i];
	return newest;
}

static process_t *find_oldest(void)
{
	int i;

	for (i = 0; i < soak.controls; i++)
		if (may_fail(&soak.processes[i]))
			return &soak.processes[i];
	return NULL;
}

static process_t *choose_victim(aim_t aim)
{
	int number = operator_acknowledged_by();
	process_t *victim = NULL;
	int tries;

	if (aim == AIM_NEWEST)
		return find_newest();
	if (aim == AIM_OLDEST)
		return find_oldest();
	if (aim == AIM_LEADER && number)
		victim = &soak.processes[number - 1];
	for (tries = 0; tries < 100 && (!victim || !may_fail(victim)); tries++)
		victim = process_draw_control();
	return victim && may_fail(victim) ? victim : NULL;
}

static void set_successor(loss_t *loss, process_t *successor)
{
	loss->successor = successor;
	loss->add_at_ms = 0;
	loss->list_at_ms = soak_now_ms() + draw_ms(0, SEED_LAG_MAX_MS);
}

static void add_successor(loss_t *loss)
{
	process_t *successor = process_add_control(loss->victim);

	if (!successor)
		g_error("soak: too many controls");
	set_successor(loss, successor);
}

/*
 * Three chains of four replace the first controls until none is left, so that
 * slots have had several holders. From then on half of the chains wipe.
 */
static void draw_chain(loss_t *loss)
{
	const process_t *oldest = find_oldest();
	int is_first = oldest && oldest->number <= (int)(2 * soak.losses + 1);

	loss->chain_left = (int)draw_ms(1, CHAIN_MAX);
	loss->aim = (aim_t)draw_ms(0, AIMS - 1);
	loss->kind = (loss_kind_t)draw_ms(0, LOSS_KINDS - 1);
	if (is_first && !draw_chance(4)) {
		loss->aim = AIM_OLDEST;
		loss->kind = (loss_kind_t)draw_ms(0, LOSS_PLANNED);
	} else if (!is_first && draw_chance(2)) {
		loss->kind = LOSS_WIPED;
	}
}

static void begin_loss(loss_t *loss, uint64_t now)
{
	process_t *victim;

	if (!loss->chain_left)
		draw_chain(loss);
	victim = choose_victim(loss->aim);
	if (!victim)
		return;
	loss->chain_left--;
	loss->victim = victim;
	loss->begun_ms = now;
	loss->slow = draw_chance(2);
	soak.faults++;
	if (loss->kind == LOSS_WIPED) {
		soak.wiped++;
		loss->successor = victim;
		process_kill(victim, 1, draw_ms(DOWN_MIN_MS, DOWN_MAX_MS));
		return;
	}
	soak.replaced++;
	if (loss->kind == LOSS_PLANNED) {
		add_successor(loss);
		loss->end_at_ms = now + draw_ms(DOWN_MIN_MS, DOWN_MAX_MS);
		return;
	}
	victim->restart = 0;
	if (loss->kind == LOSS_KILLED)
		process_kill(victim, 0, 0);
	else
		process_stop(victim, 0);
	loss->add_at_ms = now + draw_ms(DOWN_MIN_MS, DOWN_MAX_MS);
}

static unsigned parse_missing(const char *body)
{
	const char *line = strstr(body, "control_voters_missing ");

	return line ? (unsigned)strtoul(strchr(line, ' '), NULL, 10) : 0;
}

static void report_vote(vote_check_t *check)
{
	if (!check->answers || check->missing > check->allowed)
		soak_report_violation(
			"a control did not vote within the catch-up time",
			"control=%s answers=%u missing=%u lost=%u at=%s",
			check->successor->name, check->answers, check->missing,
			check->allowed, check->counts);
	g_free(check);
}

static void on_counters(void *context, int status, const char *body,
			const char *location)
{
	vote_check_t *check = context;
	unsigned missing;

	(void)location;
	if (status == 200) {
		missing = parse_missing(body);
		check->answers++;
		check->missing = MAX(check->missing, missing);
	}
	if (--check->pending == 0)
		report_vote(check);
}

/*
 * Asks all controls that are not lost: the leader counts the voters, another
 * one that knows no leader misses all of them.
 */
static void check_vote(const process_t *successor)
{
	vote_check_t *check = g_new0(vote_check_t, 1);
	struct sockaddr_in to;
	unsigned i;
	int n;

	check->successor = successor;
	check->pending = 1;
	for (i = 0; i < soak.losses; i++)
		check->allowed += losses[i].victim != NULL;
	for (n = 0; n < soak.controls; n++) {
		if (!may_fail(&soak.processes[n]))
			continue;
		check->pending++;
		soak_address(NET_CONTROL, n + 1, PORT_METRICS, &to);
		http_call(&to, "GET", "/metrics", NULL, on_counters, check);
	}
	if (--check->pending == 0)
		report_vote(check);
}

/* The log has the identity that a control has now, and its promotion. */
static void check_promotion(const process_t *control)
{
	char *path = process_log_path(control);
	char *text = NULL;
	char *last = NULL;
	char *next;
	char *promotion = NULL;
	int promoted = 0;
	int i;

	g_file_get_contents(path, &text, NULL, NULL);
	g_free(path);
	for (next = text; next && (next = strstr(next, "control_started "));
	     next++)
		last = next;
	if (last)
		last = strstr(last, "identity=");
	if (last)
		promotion = g_strndup(last, strcspn(last, " "));
	g_free(text);
	for (i = 0; promotion && !promoted && i < soak.controls; i++) {
		path = process_log_path(&soak.processes[i]);
		text = NULL;
		g_file_get_contents(path, &text, NULL, NULL);
		for (next = text;
		     next && (next = strstr(next, "event=control_promoted "));
		     next++) {
			last = strchr(next, '\n');
			if (last && g_strstr_len(next, last - next, promotion))
				promoted = 1;
		}
		g_free(text);
		g_free(path);
	}
	if (!promoted)
		soak_report_violation(
			"a control did not vote within the catch-up time",
			"control=%s %s", control->name,
			promotion ? promotion : "identity=none");
	g_free(promotion);
}

/* Counts the voters, but not while another loss makes the group elect. */
static void check_when_calm(loss_t *loss, uint64_t now)
{
	unsigned i;

	for (i = 0; i < soak.losses; i++)
		if (losses[i].victim &&
		    now - losses[i].begun_ms < ELECTION_MAX_MS)
			return;
	check_vote(loss->unchecked);
	loss->unchecked = NULL;
}

static void end_loss(loss_t *loss, uint64_t now)
{
	process_t *successor = loss->successor;

	loss->victim = NULL;
	loss->successor = NULL;
	loss->next_ms = now + draw_ms(0, GAP_MAX_MS);
	check_promotion(successor);
	loss->unchecked = successor;
	check_when_calm(loss, now);
}

static void list_successor(loss_t *loss)
{
	unsigned i;
	int n;

	loss->list_at_ms = 0;
	loss->victim->listed = loss->victim->restart;
	loss->successor->listed = 1;
	processes_turn_seeds_over();
	/* Some platforms signal the change, some leave it to be read. */
	if (draw_chance(2))
		return;
	for (n = 0; n < soak.process_count; n++)
		if (draw_chance(2))
			process_reload(&soak.processes[n]);
	for (i = 0; i < soak.losses; i++)
		if (losses[i].successor && draw_chance(2))
			process_reload(losses[i].successor);
}

static void slow_start(process_t *successor, uint64_t now)
{
	uint64_t age_ms = now - successor->start_ms;

	if (!successor->pid || age_ms >= SLOW_START_MS)
		return;
	if (!successor->paused) {
		process_pause(successor, SLOW_START_MS - age_ms);
		return;
	}
	kill(successor->pid, SIGCONT);
	g_usleep(SLOW_RUN_US);
	kill(successor->pid, SIGSTOP);
}

static void tick_loss(loss_t *loss, uint64_t now)
{
	process_t *successor = loss->successor;

	if (loss->add_at_ms && now >= loss->add_at_ms)
		add_successor(loss);
	if (loss->end_at_ms && now >= loss->end_at_ms) {
		loss->end_at_ms = 0;
		loss->begun_ms = now;
		loss->victim->restart = 0;
		process_stop(loss->victim, 0);
	}
	if (loss->list_at_ms && now >= loss->list_at_ms &&
	    !loss->victim->restart)
		list_successor(loss);
	if (successor && loss->slow)
		slow_start(successor, now);
	if (!successor || !successor->pid || loss->end_at_ms ||
	    loss->list_at_ms || successor->exit_expected ||
	    now - successor->start_ms < CATCH_UP_MS)
		return;
	end_loss(loss, now);
}

static int losses_pending(void)
{
	unsigned i;

	for (i = 0; i < soak.losses; i++)
		if (losses[i].victim || losses[i].unchecked)
			return 1;
	return 0;
}

static void tick_losses(uint64_t now)
{
	unsigned i;

	for (i = 0; i < soak.losses; i++) {
		if (!losses[i].next_ms)
			losses[i].next_ms = now + draw_ms(1, GAP_MAX_MS);
		if (losses[i].victim)
			tick_loss(&losses[i], now);
		else if (losses[i].unchecked)
			check_when_calm(&losses[i], now);
		else if (now < soak.end_ms && now >= losses[i].next_ms)
			begin_loss(&losses[i], now);
	}
}

/* One of two signals goes to a control that is joining, if there is one. */
static void reload_one(void)
{
	process_t *process;
	unsigned i;

	for (i = 0; i < soak.losses; i++)
		if (losses[i].successor && draw_chance(2)) {
			process_reload(losses[i].successor);
			return;
		}
	process = &soak.processes[g_rand_int_range(soak.rand, 0,
						   soak.process_count)];
	process_reload(process->settings ? process : process_draw_control());
}

/* The time of the first storm is not part of that of the faults. */
static void tick_first_storm(uint64_t now)
{
	if (!storm.begun_ms) {
		storm.begun_ms = now;
		storm.first = 1;
		operator_set_interval(STORM_INTERVAL_MS);
	}
	if (soak.configurations < FIRST_STORM_CHANGES &&
	    now < storm.begun_ms + FIRST_STORM_MAX_MS)
		return;
	storm.first = 0;
	storm.running = 1;
	soak.end_ms += now - storm.begun_ms;
}

static void tick_storm(uint64_t now)
{
	if (now >= storm.until_ms) {
		storm.until_ms = now + draw_ms(STORM_MIN_MS, STORM_MAX_MS);
		storm.running = !storm.running;
		operator_set_interval(storm.running ? storm.interval_ms : 0);
	}
	if (now >= storm.reload_at_ms) {
		storm.reload_at_ms =
			now + draw_ms(RELOAD_MIN_MS, RELOAD_MAX_MS);
		reload_one();
	}
}

/* Lose the disks of as many as are tolerated, and kill all others. */
static void inject_final_fault(uint64_t now)
{
	aim_t aim = (aim_t)draw_ms(0, AIMS - 1);
	int members_too = draw_chance(2);
	uint64_t delay_ms;
	process_t *process;
	unsigned i;
	int n;

	soak.faults++;
	soak.recovering = 1;
	final.acked = operator_acknowledged();
	final.back_ms = now;
	for (i = 0; i < soak.losses; i++) {
		process = choose_victim(aim);
		if (!process)
			break;
		delay_ms = draw_ms(DOWN_MIN_MS, GAP_MAX_MS);
		final.back_ms = MAX(final.back_ms, now + delay_ms);
		process_kill(process, 1, delay_ms);
		soak.wiped++;
	}
	for (n = 0; n < soak.process_count; n++) {
		process = &soak.processes[n];
		if (!process->restart || !process->pid ||
		    (!process->data && !members_too))
			continue;
		delay_ms = draw_ms(DOWN_MIN_MS, GAP_MAX_MS);
		final.back_ms = MAX(final.back_ms, now + delay_ms);
		process_kill(process, 0, delay_ms);
	}
}

void replacements_acknowledged(void)
{
	if (final.step != FINAL_DUE)
		return;
	final.step = FINAL_READ;
	inject_final_fault(soak_now_ms());
}

static void tick_final(uint64_t now)
{
	if (final.step == FINAL_NONE && now >= soak.end_ms &&
	    !losses_pending()) {
		operator_set_interval(0);
		final.step = FINAL_DUE;
	} else if (final.step <= FINAL_DUE &&
		   now > soak.end_ms + FINAL_TIMEOUT_MS) {
		soak_report_violation("the last fault found no calm group",
				      "pending=%d acknowledged=%u",
				      losses_pending(),
				      operator_acknowledged());
		soak.recovering = 1;
		final.step = FINAL_DONE;
	} else if (final.step == FINAL_READ && operator_has_read_back()) {
		final.step = FINAL_CHANGE;
		operator_send_one_more();
	} else if (final.step == FINAL_READ &&
		   now > final.back_ms + RECOVERY_MS) {
		soak_report_violation("the configuration was not read back",
				      "acknowledged=%u", final.acked);
		final.step = FINAL_DONE;
	} else if (final.step == FINAL_CHANGE &&
		   operator_acknowledged() > final.acked) {
		final.step = FINAL_DONE;
	} else if (final.step == FINAL_CHANGE &&
		   now > final.back_ms + 2 * STABLE_MS + ACK_TIMEOUT_MS) {
		soak_report_violation("no change was acknowledged at the end",
				      "acknowledged=%u", final.acked);
		final.step = FINAL_DONE;
	}
}

int replacements_finished(void)
{
	return final.step == FINAL_DONE;
}

void replacements_tick(void)
{
	uint64_t now = soak_now_ms();

	soak.seeds_vary = 1;
	early.deadline_ms = 0;
	if (!storm.begun_ms || storm.first) {
		tick_first_storm(now);
		return;
	}
	if (final.step == FINAL_NONE)
		tick_storm(now);
	tick_losses(now);
	tick_final(now);
}

/* The kill within the first two seconds of the group's first start. */
void replacements_start_tick(void)
{
	uint64_t now = soak_now_ms();

	if (!early.victim)
		early.victim = process_draw_control();
	if (early.at_ms && now >= early.at_ms) {
		early.at_ms = 0;
		soak.faults++;
		soak.wiped += (unsigned)early.wiped;
		process_kill(early.victim, early.wiped, EARLY_DOWN_MS);
		operator_release();
		early.deadline_ms = now + EARLY_DOWN_MS + RECOVERY_MS;
	}
	if (early.deadline_ms && now > early.deadline_ms) {
		early.deadline_ms = 0;
		soak_report_violation(
			"the first configuration was not acknowledged",
			"killed=%s wiped=%d", early.victim->name, early.wiped);
	}
}

void replacements_create(void)
{
	storm.interval_ms =
		draw_chance(4) ? STORM_INTERVAL_MS : STORM_SLOW_INTERVAL_MS;
	if (draw_chance(3)) {
		soak.losses = LOSSES_MAX;
		soak.controls = 2 * LOSSES_MAX + 1;
	}
	if (draw_chance(2)) {
		/* The processes start at about 10 s; see soak_now_ms(). */
		early.at_ms = 10000 + draw_ms(0, EARLY_KILL_MAX_MS);
		early.wiped = draw_chance(2);
		operator_hold();
	}
}
