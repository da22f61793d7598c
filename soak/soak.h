#ifndef SOAK_H
#define SOAK_H

/*
 * A soak test of the packet path. It runs real flow-control, flow-balancer and
 * flow-agent processes on loopback. Targets, callers, the fabric between them
 * and an operator are simulated in this process. It injects faults: signals,
 * lost disks, damaged files, lost, duplicated and delayed packets, and delayed
 * heartbeats. While it runs, it checks what callers, targets and the operator
 * observe. One loop on one thread runs everything; times are of soak_now_ms().
 */

#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "platform/packet.h"

#define CONTROLS 3	/* at the start; SHAPE_REPLACED may have 5 */
#define CONTROLS_MAX 64 /* with those that replace others */
#define DOMAINS 4	/* failure domains of agents and balancers */
/* Maximum numbers; soak_t has those of the run. */
#define BALANCERS_MAX 24
#define TARGETS_MAX 120 /* each fourth one serves the second service */
#define CALLERS_MAX 240
#define PROCESSES_MAX (CONTROLS_MAX + BALANCERS_MAX + TARGETS_MAX)

/* Which faults a run injects; see faults.c. */
typedef enum soak_shape {
	SHAPE_MIXED,
	SHAPE_HERD,    /* all processes are killed at once */
	SHAPE_OUTAGE,  /* no control runs while agents are stopped as planned */
	SHAPE_REPLACED /* controls are replaced for good or lose their disks */
} soak_shape_t;

/* Ports, as offsets from soak_t.base_port. */
enum {
	PORT_PACKETS,	 /* packets to callers, balancers and agents */
	PORT_READY,	 /* readiness of balancers and agents */
	PORT_CONTROL,	 /* control API of controls and agents */
	PORT_OUTBOUND,	 /* packets from a target to its agent */
	PORT_APP,	 /* packets and health checks to a target */
	PORT_INNER,	 /* traffic between the processes */
	PORT_METRICS = 9 /* counters of a control; HTTP */
};

/* Classes of addresses of the form 127.NET.CLASS.NUMBER. */
enum { NET_CONTROL = 1, NET_BALANCER, NET_AGENT, NET_CALLER };

/* Destinations of callers: two platform addresses, ENTRY_IP + 0 and + 1. */
#define ENTRY_IP 0xc6120001u
#define ENTRY_PORT 443
#define ENTRY_PORT_UNSAFE 444 /* requests there may run only once */

/* Names of the services, by the index of the service. */
extern const char *const service_names[2];

typedef struct process {
	char name[16];
	const char *command;
	char *settings; /* path of the settings file */
	char *data;	/* data directory of a control; else NULL */
	int class;
	int number; /* in its class */
	int domain; /* N of dN */
	int listed; /* a control in the platform's list of controls */
	int log;    /* descriptor of the log file */
	GPid pid;   /* 0: not running */
	int paused;
	int restart;		     /* start again after an exit; 0: gone */
	uint64_t start_at_ms;	     /* when to start it; 0: not scheduled */
	uint64_t resume_at_ms;	     /* when to resume it; 0: not paused */
	uint64_t start_ms;	     /* last start */
	uint64_t last_disruption_ms; /* last kill, pause, resume or start */
	uint64_t last_fault_ms;	     /* last kill, pause or resume */
	int exit_expected;	     /* the soak ended it */
	off_t log_bytes;	     /* size of the log at the last start */
} process_t;

typedef struct soak {
	uv_loop_t *loop;
	GRand *rand;
	uint32_t seed;
	uint64_t end_ms; /* end of the faults */
	soak_shape_t shape;
	int controls;	 /* controls so far, with those that are gone */
	unsigned losses; /* controls that may be lost at the same time */
	int seeds_vary;	 /* each settings file lists controls of its own */
	int balancers;
	int targets;
	int callers;
	int recovering;	    /* faults have ended; recovery is checked */
	unsigned net_octet; /* NET of 127.NET.CLASS.NUMBER */
	unsigned base_port;
	char *directory; /* settings, data and logs of the processes */
	process_t processes[PROCESSES_MAX];
	int process_count;
	/* Faults of the fabric; rates are per 1000 packets. */
	unsigned loss_per_mille;
	unsigned duplicate_per_mille;
	unsigned delay_max_ms; /* of one packet in four; 0: no delay */
	/* Counters of the result line. */
	unsigned requests;
	unsigned answered;
	unsigned openings;
	unsigned resets;
	unsigned configurations;
	unsigned evacuations;
	unsigned faults;
	unsigned replaced; /* controls replaced for good */
	unsigned wiped;	   /* controls whose disk was lost */
	unsigned violations;
	unsigned answered_in_recovery[2]; /* per service */
} soak_t;

extern soak_t soak;

/*
 * Return the time in ms since about 10 s before the start, so that 0 can stand
 * for "never".
 */
uint64_t soak_now_ms(void);

/*
 * Count a violation of a documented promise and print it with the details of
 * format. Prints the first 20 of a run.
 */
void soak_report_violation(const char *promise, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Return the IP of a class and number as text. The text is in one of four
 * static buffers that are reused in turn.
 */
const char *soak_ip(int class, int number);
/* Write the address of a class, number and port offset to *to. */
void soak_address(int class, int number, int port, struct sockaddr_in *to);

/* processes.c: the processes under test. */

/* Start all processes. */
void processes_create(void);
/* Kill all processes and free their paths. */
void processes_destroy(void);
/*
 * Kill with SIGKILL and start again after restart_delay_ms. disk_fault applies
 * to controls: 1 erases the data, 2 flips a bit in a log file, 0
 * leaves the disk as it is. Does nothing if the process does not run.
 */
void process_kill(process_t *process, int disk_fault,
		  uint64_t restart_delay_ms);
/* Pause with SIGSTOP. Does nothing if it does not run or is paused already. */
void process_pause(process_t *process, uint64_t duration_ms);
/*
 * Stop with SIGTERM and start again after restart_delay_ms, or after the exit
 * if that is later. Does nothing if it does not run or is paused.
 */
void process_stop(process_t *process, uint64_t restart_delay_ms);
/* Start and resume the processes that are due, and reap those that ended. */
void processes_tick(void);
/* Return the index of the service of a target or caller, from 1 on. */
int service_of(int number);

/*
 * Start a control at a new address, with an empty disk and in the failure
 * domain of predecessor. Return it, or NULL if there are too many.
 */
process_t *process_add_control(const process_t *predecessor);
/* Write the settings files anew, each with seeds drawn from those listed. */
void processes_turn_seeds_over(void);
/* Return the path of a process's log, to be freed. */
char *process_log_path(const process_t *process);
/* Send SIGHUP to a process that runs and has begun to log. */
void process_reload(process_t *process);
/* Return a control drawn from those that are not gone. */
process_t *process_draw_control(void);

/* Process of a balancer or agent; number starts at 1. */
process_t *process_of_balancer(int number);
process_t *process_of_agent(int number);

/* http.c: an HTTP client of the control API. */

/*
 * End of a call. status is the HTTP status, or 0 if no answer arrived within
 * 1 s. location is the HOST:PORT of a Location header, or NULL. body and
 * location are valid during the callback only.
 */
typedef void http_done_cb_t(void *context, int status, const char *body,
			    const char *location);
/*
 * Send a request; body may be NULL. Calls done once, possibly before it
 * returns. The arguments are copied, except context.
 */
void http_call(const struct sockaddr_in *to, const char *method,
	       const char *path, const char *body, http_done_cb_t *done,
	       void *context);

/* packets.c: packets, and the fabric between callers and balancers. */

#define PACKET_MAX 1300 /* bytes */
/*
 * Write a packet of the flow to bytes (PACKET_MAX) and return its length.
 * flags are those of dy_packet_t.flags.
 */
size_t packet_make(uint8_t *bytes, const dy_flow_id_t *flow, int from_caller,
		   unsigned flags, uint32_t seq, uint32_t ack,
		   const char *data);
/* Reset the health of the balancers; none is in rotation. */
void fabric_create(void);
/*
 * Send a copy of bytes to the balancer that the flow's hash selects, with the
 * faults of the fabric.
 */
void fabric_send(uv_udp_t *from, const uint8_t *bytes, size_t len,
		 const dy_flow_id_t *flow);
/* Probe the readiness of the balancers. */
void fabric_tick(void);
/*
 * Bind udp to an address and receive datagrams. data becomes udp->data. Aborts
 * if the address is in use.
 */
void udp_open(uv_udp_t *udp, int class, int number, int port,
	      uv_udp_recv_cb receive, void *data);
/* Send a datagram at once; it is lost if the socket buffer is full. */
void udp_send(uv_udp_t *udp, const uint8_t *bytes, size_t len,
	      const struct sockaddr_in *to);

/* targets.c: simulated targets, numbered from 1. */

/* Start all targets. */
void targets_create(void);
/* Restart, remove and send heartbeats of targets that are due. */
void targets_tick(void);
/* Crash a target; it restarts after restart_delay_ms without its flows. */
void target_crash(int number, uint64_t restart_delay_ms);
/* Drain a target; it leaves afterwards and a new instance replaces it. */
void target_replace(int number);
/* Send no heartbeats of a target for duration_ms. */
void target_delay_heartbeats(int number, uint64_t duration_ms);
/* Return the number of the target that has the flow established, or -1. */
int target_of_flow(const dy_flow_id_t *flow);
/* Return when the target last started, crashed or left; its flows ended. */
uint64_t target_last_disruption_ms(int number);

/* callers.c: simulated callers. */

/* Open the sockets of all callers. */
void callers_create(void);
/* Open flows, send requests and retransmit what is due. */
void callers_tick(void);
/*
 * Check a request that ran at a target of a service: a caller sent it, to this
 * service, and it did not run before if it is unsafe.
 */
void callers_check_run(unsigned id, int service);

/* operator.c: an operator that changes and reads the configuration. */

/* Send the first configuration. */
void operator_create(void);
/* Send, retry and read configurations that are due. */
void operator_tick(void);
/* Set the interval between two changes; 0: the usual one. */
void operator_set_interval(uint64_t interval_ms);
/* Hold back the first configuration until operator_release(). */
void operator_hold(void);
void operator_release(void);
/* Send one more change, although the faults have ended. */
void operator_send_one_more(void);
/* Number of the control that acknowledged last, or 0. */
int operator_acknowledged_by(void);
/* Return the highest acknowledged version. */
unsigned operator_acknowledged(void);
/* Return whether the first configuration was acknowledged. */
int operator_ready(void);
/*
 * Return whether, after the end of the faults, a read returned at least the
 * last acknowledged version.
 */
int operator_has_read_back(void);

/* evacuations.c: the operator's orders to evacuate failure domains. */

/* Send the order that is due: evacuate a domain, or readmit it. */
void evacuations_tick(void);
/* Check that the domain of a target that accepted a flow is not evacuated. */
void evacuations_check_opening(int target);

/* replacements.c: the faults of SHAPE_REPLACED. */

/* Draw the tolerance and the early kill; before the processes start. */
void replacements_create(void);
/* Inject what is due before the first configuration is acknowledged. */
void replacements_start_tick(void);
/* Inject the faults that are due, and check that controls vote again. */
void replacements_tick(void);
/* A change was acknowledged; the final fault follows at once if it is due. */
void replacements_acknowledged(void);
/* Return whether the final fault was survived and all was checked. */
int replacements_finished(void);

/* faults.c: fault injection. */

/* Inject the faults that are due. */
void faults_tick(void);
/* Return the time until which faults affect a control. */
uint64_t faults_control_until_ms(void);

#endif
