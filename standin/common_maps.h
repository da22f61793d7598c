#ifndef STANDIN_COMMON_MAPS_H
#define STANDIN_COMMON_MAPS_H

/* The content of maps, the same for the target and for who checks it. */

#include "standin_maps.h"

/* Pages of every stand-in map. */
#define STANDIN_MAP_PAGES 16

/*
 * Write page of map name to bytes. Returns its length; a page beyond the map
 * is empty.
 */
unsigned standin_map_fill(const char *name, unsigned page,
			  char bytes[STANDIN_PAGE_MAX]);

#endif
