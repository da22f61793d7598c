#ifndef FAKE_CONFIGURATION_H
#define FAKE_CONFIGURATION_H

/* The whole parse of a configuration as the oracle of its loader. */

#include "platform/configuration.h"

/*
 * Load len bytes of text by the loader and parse them whole, and compare
 * version, routes, rates of cold targets, and the error. Returns NULL if they
 * are equal, or a static message. load is set if the text was accepted;
 * accepted tells whether it was. Both may be NULL.
 */
const char *fake_configuration_compare(platform_configuration_loader_t *loader,
				       const char *text, size_t len,
				       platform_load_t *load, int *accepted);

#endif
