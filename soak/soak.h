#ifndef SOAK_H
#define SOAK_H

/*
 * A soak of the packet path: real flow-control, flow-balancer and flow-agent
 * processes on loopback, with targets, callers, a fabric and an operator of
 * its own in this process, and faults from outside: signals, lost disks,
 * damaged files, lost, copied and late packets, heartbeats that are held up.
 * What callers, targets and the operator see is checked while it runs.
 */

#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "platform/packet.h"

#define CONTROLS 3
#define BALANCERS 3
#define TARGETS 4 /* the last is of the second service */
#define CALLERS 8
#define PROCESSES (CONTROLS + BALANCERS + TARGETS)

/* Ports, from the base that a run draws. */
enum {
	PORT_PACKETS,
	PORT_READY,
	PORT_CONTROL,
	PORT_OUTBOUND,
	PORT_APP,
	PORT_INNER
};

/* Classes of addresses: 127.NET.CLASS.NUMBER. */
enum { NET_CONTROL = 1, NET_BALANCER, NET_AGENT, NET_CALLER };

/* Where callers send: two addresses of the platform. */
#define ENTRY_IP 0xc6120001u
#define ENTRY_PORT 443

extern const char *const service_names[2];

typedef struct process {
	char name[16];
	const char *command;
	char *settings; /* path */
	char *data;	/* controls: path */
	int log;
	GPid pid; /* 0: not running */
	int paused;
	int wanted;	       /* to be started again after an exit */
	uint64_t start_at_ms;  /* when it is to be started; 0: not */
	uint64_t resume_at_ms; /* when it is to go on; 0: not paused */
	uint64_t disturbed_ms; /* the last kill, pause or start */
	int expected_end;      /* it was told to end */
} process_t;

typedef struct soak {
	uv_loop_t *loop;
	GRand *rand;
	uint32_t seed;
	uint64_t end_ms;
	int herd;  /* all are killed at once, and nothing else happens */
	int quiet; /* no faults any more: recovery is judged */
	unsigned net;
	unsigned base_port;
	char *folder;
	process_t processes[PROCESSES];
	/* Faults of the fabric, in thousandths of packets. */
	unsigned lose;
	unsigned copy;
	unsigned delay_ms;
	/* Counts for the line that is printed. */
	unsigned requests;
	unsigned answered;
	unsigned openings;
	unsigned resets;
	unsigned configurations;
	unsigned evacuations;
	unsigned faults;
	unsigned broken;
	unsigned served_since_quiet[2];
} soak_t;

extern soak_t soak;

uint64_t soak_now_ms(void);

/* A promise of the pages is broken: print which. */
void soak_break(const char *promise, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Address of a class and number as text, in one of four static buffers. */
const char *soak_ip(int class, int number);
void soak_address(int class, int number, int port, struct sockaddr_in *to);

/* processes.c */
void processes_create(void);
void processes_destroy(void);
void process_kill(process_t *process, int wipe, uint64_t back_ms);
void process_pause(process_t *process, uint64_t for_ms);
void process_stop(process_t *process, uint64_t back_ms);
/* Start, resume and reap what is due. */
void processes_tick(void);
process_t *process_of_balancer(int number);
process_t *process_of_agent(int number);

/* http.c: one call of a client; done gets status 0 if there was no answer. */
typedef void http_done_cb_t(void *context, int status, const char *body,
			    const char *location);
void http_call(const struct sockaddr_in *to, const char *method,
	       const char *path, const char *body, http_done_cb_t *done,
	       void *context);

/* packets.c: making packets, and the fabric between callers and balancers. */
#define PACKET_MAX 1300
size_t packet_make(uint8_t *bytes, const dy_flow_id_t *flow, int from_caller,
		   unsigned marks, uint32_t seq, uint32_t ack,
		   const char *data);
void fabric_create(void);
void fabric_send(uv_udp_t *from, const uint8_t *bytes, size_t len,
		 const dy_flow_id_t *flow);
void fabric_tick(void);
void udp_open(uv_udp_t *udp, int class, int number, int port,
	      uv_udp_recv_cb receive, void *data);
void udp_send(uv_udp_t *udp, const uint8_t *bytes, size_t len,
	      const struct sockaddr_in *to);

/* targets.c */
void targets_create(void);
void targets_tick(void);
/* Crash and come back with nothing; or drain, leave and be replaced. */
void target_crash(int number, uint64_t back_ms);
void target_replace(int number);
/* Hold up heartbeats of a target for so long. */
void target_hold_up(int number, uint64_t for_ms);
/* The target that holds the flow now, or -1. */
int target_of_flow(const dy_flow_id_t *flow);
/* When the target's flows last ended, or it began to leave. */
uint64_t target_disturbed_ms(int number);

/* callers.c */
void callers_create(void);
void callers_tick(void);
/* A request ran at a target of a service; checks that it may. */
void callers_ran(unsigned id, int service);

/* operator.c */
void operator_create(void);
void operator_tick(void);
/* Whether the first configuration is in force. */
int operator_ready(void);
/* Read back at the end: it must be what was acknowledged last. */
int operator_settled(void);

/* evacuations.c: the operator's orders on failure domains. */
void evacuations_tick(void);
/* A target took an opening; checks that its domain may have. */
void evacuations_opened(int target);

/* faults.c */
void faults_tick(void);
/* Until when anything was done to a control. */
uint64_t faults_control_ms(void);
/* When anything unplanned happened last. */
uint64_t faults_unplanned_ms(void);

#endif
