#ifndef DAMASKYARD_ISOLATION_H
#define DAMASKYARD_ISOLATION_H

/*
 * Whether this process is cut off from all others, told by what it hears. No
 * network.
 *
 * Load pattern: the VM of a balancer is cut off from agents and controls, while
 * the fabric reaches it and goes on handing it packets.
 * What happens without it: control's confirmation has to grow old first, which
 * takes seconds, as controls may be away while agents go on serving. All that
 * the fabric hands over until then is lost; callers wait until they give up.
 * What is done: an agent that is sent packets reports some times a second, so
 * the messages of the last second tell how many should have come in a silence.
 * Once so many are missing that loss does not explain it, the process is cut
 * off, until it hears anything again.
 *
 * Silence is counted in ticks, not by the clock: a process that stood still
 * finds one tick gone by when it goes on, and its messages still to be read.
 */

/* Between two ticks, in ms. */
#define DY_CONTACT_TICK_MS 100

/* Ticks from which the pace of messages is taken: five reports of an agent. */
#define DY_CONTACT_TICKS 10

/*
 * A silence counts from so many ticks on: agents whose reports happen to fall
 * together speak each second tick.
 */
#define DY_CONTACT_QUIET_TICKS 3

/*
 * Messages that must be missing. A link that loses half of all packets loses
 * twelve in a row once in 4,096 times.
 */
#define DY_CONTACT_MISSING 12

typedef struct dy_contact {
	unsigned heard[DY_CONTACT_TICKS]; /* messages in each of the last */
	unsigned at;			  /* the tick that is filled */
	unsigned pace;			  /* their sum, at the last message */
	unsigned quiet_ticks;		  /* since the last message */
	unsigned asked_ticks;		  /* since the first packet after it */
	int asked;
	int cut_off;
} dy_contact_t;

void dy_contact_init(dy_contact_t *contact);

/* A message came from an agent or a control. */
void dy_contact_note_heard(dy_contact_t *contact);

/* A packet was sent to an agent, which makes it report. */
void dy_contact_note_asked(dy_contact_t *contact);

/* Call it each DY_CONTACT_TICK_MS. */
void dy_contact_tick(dy_contact_t *contact);

/* Whether nobody is heard who should be. */
int dy_contact_is_cut_off(const dy_contact_t *contact);

#endif
