#ifndef STANDIN_COMMON_MAPS_H
#define STANDIN_COMMON_MAPS_H

/* Content of the stand-in maps, for the target and for the caller. */

#include "standin_maps.h"

/* Number of pages of every stand-in map. */
#define STANDIN_MAP_PAGES 16

/*
 * Write a page of the map of this name to bytes. The content depends on name
 * and page alone. Returns the length of the page in bytes, 0 for a page beyond
 * the map.
 */
unsigned standin_map_fill(const char *name, unsigned page,
			  char bytes[STANDIN_PAGE_MAX]);

#endif
