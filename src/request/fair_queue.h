#ifndef DY_FAIR_LANE_H
#define DY_FAIR_LANE_H

/*
 * Weighted fair queueing between callers and between keys.
 *
 * Each caller and each key has a tag: the virtual time up to which it has used
 * its share. The start tag of a call is the latest of the queue's virtual time,
 * its caller's tag and its key's tag; its finish tag is the start tag plus its
 * cost. The queue is ordered by finish tag, first come first served among
 * equals: of two new callers, the one with the shorter call goes first.
 *
 * Each call that is dequeued advances the virtual time by its cost divided by
 * the number of waiting calls. Short calls therefore overtake a long call only
 * until each waiting caller has received as much service.
 */

#include <stdint.h>

#include "damaskyard/admission.h"
#include "damaskyard/list.h"

/*
 * Hash buckets for tags. 2,000 connections share 1,024 buckets, but only
 * callers with a waiting call matter (256 at most): a given caller shares its
 * bucket with one of them in about one case of five, and both then share one
 * fair share.
 */
#define DY_FAIR_QUEUE_BUCKETS 1024

typedef struct dy_fair_queue {
	dy_list_t items;
	uint32_t count;
	uint64_t queued_us; /* sum of the costs of waiting calls */
	uint64_t virtual_us;
	uint64_t seed;
	uint64_t callers[DY_FAIR_QUEUE_BUCKETS];
	uint64_t keys[DY_FAIR_QUEUE_BUCKETS];
} dy_fair_queue_t;

/* Initializes an empty queue; seed is the seed of the bucket hash. */
void dy_fair_queue_init(dy_fair_queue_t *queue, uint64_t seed);

/* Sets item->start_tag without charging the caller or key. */
void dy_fair_queue_set_start_tag(const dy_fair_queue_t *queue,
				 dy_admission_item_t *item);

/*
 * Returns the finish tag of an item whose start tag is set; lower goes first.
 */
uint64_t dy_fair_queue_finish_tag(const dy_admission_item_t *item);

/* Returns the cost of the waiting calls up to a finish tag, in us. */
uint64_t dy_fair_queue_ahead_us(const dy_fair_queue_t *queue,
				uint64_t finish_tag);

/* Enqueues an item whose start tag is set, and charges its caller and key. */
void dy_fair_queue_enqueue(dy_fair_queue_t *queue, dy_admission_item_t *item);

/* Charges an item whose start tag is set and that runs without being queued. */
void dy_fair_queue_charge(dy_fair_queue_t *queue, dy_admission_item_t *item);

/* Dequeues an item to run it, and advances the virtual time. */
void dy_fair_queue_dequeue(dy_fair_queue_t *queue, dy_admission_item_t *item);

/* Removes an item that will not run, and refunds its charge. */
void dy_fair_queue_remove(dy_fair_queue_t *queue, dy_admission_item_t *item);

/* Charges the service time of an item beyond its estimated cost. */
void dy_fair_queue_charge_extra(dy_fair_queue_t *queue,
				const dy_admission_item_t *item,
				uint64_t extra_us);

#endif
