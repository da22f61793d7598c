#ifndef DY_FAIR_LANE_H
#define DY_FAIR_LANE_H

/*
 * A queue that is fair between callers and between keys: weighted fair
 * queueing. Each caller and each key has a tag, the virtual time up to which
 * it has had its share; a call starts at the latest of the lane's virtual
 * time, its caller's tag and its key's tag, and finishes its cost later. The
 * lane is kept in the order of the finish tags, first come first served among
 * equals: of two callers that come anew, the shorter call goes first. The
 * virtual time moves on by the cost of each call taken out, shared among those
 * that wait, so a long call is passed by short ones only until each caller
 * that waits has had as much.
 */

#include <stdint.h>

#include "damaskyard/admission.h"
#include "damaskyard/list.h"

/*
 * Places for tags, found by hash. 2,000 connections share 1,024 places, but
 * only those with a call that waits (256 at most) matter: a given caller
 * shares its place with one of them in about one case of five, and then two
 * callers have one share.
 */
#define DY_FAIR_PLACES 1024

typedef struct dy_fair_lane {
	dy_list_t items;
	uint32_t count;
	uint64_t queued_us; /* sum of the costs that wait */
	uint64_t virtual_us;
	uint64_t seed;
	uint64_t callers[DY_FAIR_PLACES];
	uint64_t keys[DY_FAIR_PLACES];
} dy_fair_lane_t;

void dy_fair_lane_init(dy_fair_lane_t *lane, uint64_t seed);

/* Set item->start_tag; charges nothing. */
void dy_fair_lane_place(const dy_fair_lane_t *lane, dy_admission_item_t *item);

/* The place of an item that was placed: lower goes first. */
uint64_t dy_fair_lane_finish_tag(const dy_admission_item_t *item);

/* Sum of the costs that wait before a finish tag. */
uint64_t dy_fair_lane_ahead_us(const dy_fair_lane_t *lane, uint64_t finish_tag);

/* Queue an item that was placed, and charge its caller and key. */
void dy_fair_lane_add(dy_fair_lane_t *lane, dy_admission_item_t *item);

/* Charge an item that was placed and runs at once. */
void dy_fair_lane_charge(dy_fair_lane_t *lane, dy_admission_item_t *item);

/* Take an item out to run it: the lane's virtual time moves on to it. */
void dy_fair_lane_take(dy_fair_lane_t *lane, dy_admission_item_t *item);

/* Take an item out that won't run, and give back what it was charged. */
void dy_fair_lane_remove(dy_fair_lane_t *lane, dy_admission_item_t *item);

/* Charge what an item took above its cost, once that is known. */
void dy_fair_lane_correct(dy_fair_lane_t *lane, const dy_admission_item_t *item,
			  uint64_t extra_us);

#endif
