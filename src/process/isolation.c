#include "damaskyard/isolation.h"

#include <string.h>

void dy_contact_init(dy_contact_t *contact)
{
	memset(contact, 0, sizeof(*contact));
}

void dy_contact_note_heard(dy_contact_t *contact)
{
	contact->heard[contact->at]++;
	contact->quiet_ticks = 0;
	contact->asked = 0;
	contact->cut_off = 0;
}

void dy_contact_note_asked(dy_contact_t *contact)
{
	if (contact->asked)
		return;
	contact->asked = 1;
	contact->asked_ticks = 0;
	/*
	 * Guards against callers that come after a pause: nobody reported
	 * during it, and the pace of before it would make the first agent's
	 * 200 ms a silence.
	 */
	if (contact->quiet_ticks > DY_CONTACT_TICKS)
		contact->pace = 0;
}

static unsigned sum_heard(const dy_contact_t *contact)
{
	unsigned sum = 0;
	unsigned i;

	for (i = 0; i < DY_CONTACT_TICKS; i++)
		sum += contact->heard[i];
	return sum;
}

void dy_contact_tick(dy_contact_t *contact)
{
	unsigned missing;

	/* A silence must not lower the pace that it is measured by. */
	if (!contact->quiet_ticks)
		contact->pace = sum_heard(contact);
	contact->at = (contact->at + 1) % DY_CONTACT_TICKS;
	contact->heard[contact->at] = 0;
	contact->quiet_ticks++;
	contact->asked_ticks++;
	missing = contact->pace * contact->asked_ticks / DY_CONTACT_TICKS;
	if (contact->asked && contact->asked_ticks >= DY_CONTACT_QUIET_TICKS &&
	    missing >= DY_CONTACT_MISSING)
		contact->cut_off = 1;
}

int dy_contact_is_cut_off(const dy_contact_t *contact)
{
	return contact->cut_off;
}
