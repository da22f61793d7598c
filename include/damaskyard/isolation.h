#ifndef DAMASKYARD_ISOLATION_H
#define DAMASKYARD_ISOLATION_H

/*
 * Detects that this process is cut off from all other processes, from the
 * messages that it receives. Uses no network and no clock.
 *
 * Load pattern: the VM of a balancer loses its network to agents and controls,
 * while the fabric still reaches it and keeps sending it packets.
 * What happens without it: the balancer stays ready until the confirmation of
 * the controls expires. That takes seconds, because controls may be away while
 * agents go on serving. All packets until then are lost, and callers wait
 * until they time out.
 * What is done: an agent that receives packets reports several times a second,
 * so the rate of the last second gives the number of messages that a silence
 * should have contained. Once more are missing than packet loss explains, the
 * process is cut off, until it receives a message again.
 *
 * Silence is counted in ticks, not by the clock. A process that was suspended
 * counts one tick when it resumes, with its queued messages still unread.
 */

/* Interval of dy_isolation_tick(), in ms. */
#define DY_ISOLATION_TICK_MS 100

/* Window of the message rate, in ticks: five reports of one agent. */
#define DY_ISOLATION_WINDOW_TICKS 10

/*
 * Shorter silences are ignored, in ticks. Agents whose reports happen to
 * coincide are all silent in every second tick.
 */
#define DY_ISOLATION_MIN_SILENT_TICKS 3

/*
 * Missing messages from which the process is cut off. A link that loses half
 * of all packets loses twelve in a row once in 4,096 times.
 */
#define DY_ISOLATION_MIN_MISSING 12

/* State of the detector. The fields are private to isolation.c. */
typedef struct dy_isolation {
	/* Messages of each tick in the window: a ring. */
	unsigned received[DY_ISOLATION_WINDOW_TICKS];
	unsigned tick_index;	/* of the current tick in the ring */
	unsigned rate;		/* messages per window before the silence */
	unsigned silent_ticks;	/* since the last message */
	unsigned waiting_ticks; /* since the first packet after that message */
	int waiting;		/* a packet was sent after the last message */
	int cut_off;
} dy_isolation_t;

/* Start without any message: not cut off. */
void dy_isolation_init(dy_isolation_t *isolation);

/* Record a message that was received from an agent or a control. */
void dy_isolation_record_received(dy_isolation_t *isolation);

/* Record a packet that was sent to an agent; the agent reports in return. */
void dy_isolation_record_sent(dy_isolation_t *isolation);

/* End the current tick. Call it every DY_ISOLATION_TICK_MS. */
void dy_isolation_tick(dy_isolation_t *isolation);

/* Returns 1 if too many expected messages are missing, 0 otherwise. */
int dy_isolation_is_cut_off(const dy_isolation_t *isolation);

#endif
