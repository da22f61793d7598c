/*
 * The stand-in readings service: stations submit one reading at a time.
 *
 * SUBMIT is not idempotent: each run stores one more line. It returns the
 * sequence of its argument, so that a caller can detect the answer to another
 * call.
 */

const STANDIN_STATION_MAX = 64;

struct standin_reading_t {
	string station<STANDIN_STATION_MAX>;
	unsigned int sequence;
	int millimag;
};

typedef string standin_station_t<STANDIN_STATION_MAX>;

program STANDIN_READINGS_PROG {
	version STANDIN_READINGS_VERS {
		void STANDIN_READINGS_NULL(void) = 0;
		unsigned int STANDIN_SUBMIT(standin_reading_t) = 1;
		/* Number of stored submissions of a station. */
		unsigned int STANDIN_COUNT(standin_station_t) = 2;
	} = 1;
} = 0x2A000001;
