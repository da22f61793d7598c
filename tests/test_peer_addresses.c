#include "peer_addresses.h"

#include <string.h>

#include "damaskyard/raft.h"
#include "fake_suite.h"

static peer_addresses_t addresses;
static dy_address_t first;
static dy_address_t second;

static void begin(void)
{
	memset(&addresses, 0, sizeof(addresses));
	ck_assert(!dy_address_parse("127.0.0.1:1", &first));
	ck_assert(!dy_address_parse("127.0.0.2:2", &second));
}

/* Finds by a configuration in which identity 21 holds slot 2 at `second`. */
static int find(uint64_t identity, dy_address_t *address)
{
	dy_raft_member_t member = { { 2, 21 }, DY_MEMBER_VOTER, "127.0.0.2:2" };
	dy_raft_config_t config = { { 1, &member } };
	dy_voter_id_t id = { 2, identity };

	return peer_addresses_find(&addresses, &config, id, address);
}

/* The next holder of a slot is sent to the VM of the one before. */
START_TEST(address_of_slot_is_not_that_of_another_holder)
{
	dy_address_t address;

	begin();
	ck_assert_int_eq(find(22, &address), -1);
	ck_assert_uint_eq(address.port, 0);
	ck_assert_int_eq(find(21, &address), 0);
	ck_assert(dy_address_equal(&address, &second));
}
END_TEST

/* An old configuration replaces the address that a member answers from. */
START_TEST(source_address_precedes_configuration)
{
	dy_address_t address;
	dy_voter_id_t id = { 2, 21 };

	begin();
	peer_addresses_note_source(&addresses, id, &first, 1);
	ck_assert_int_eq(find(21, &address), 0);
	ck_assert(dy_address_equal(&address, &first));
	peer_addresses_note_source(&addresses, id, &second, 2);
	ck_assert_int_eq(find(21, &address), 0);
	ck_assert(dy_address_equal(&address, &second));
}
END_TEST

/* After many replacements, the present leader has no room and is not found. */
START_TEST(identity_silent_longest_makes_room)
{
	dy_address_t address;
	uint64_t now = 1;
	unsigned i;

	begin();
	for (i = 0; i <= PEER_ADDRESSES_MAX; i++) {
		peer_addresses_note_source(&addresses,
					   (dy_voter_id_t){ 3, i + 1 }, &second,
					   now++);
		peer_addresses_note_source(&addresses, (dy_voter_id_t){ 2, 22 },
					   &first, now++);
	}
	ck_assert_int_eq(find(22, &address), 0);
	ck_assert(dy_address_equal(&address, &first));
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		address_of_slot_is_not_that_of_another_holder,
		source_address_precedes_configuration,
		identity_silent_longest_makes_room,
		NULL,
	};

	return fake_suite_run("peer_addresses", tests);
}
