/* Clocks, pseudo-random numbers, hashes and checksums.

   GmTime counts microseconds on a monotonic clock.  Modules that decide take
   the time as an argument, so that tests control it; only the modules that do
   input and output read a GmClock.  */
#pragma once
#include <glib.h>

typedef gint64 GmTime; /* microseconds */

#define GM_MS ((GmTime)1000)
#define GM_SECOND ((GmTime)1000000)

typedef struct GmClock GmClock;

/* A source of time.  */
struct GmClock
{
  GmTime (*now) (const GmClock *clock);
  GmTime paused_at; /* time of a paused clock; unused by the system clock */
};

/* Returns the monotonic clock that also counts the time for which the host was
   suspended; leases and ages depend on that.  Static.  */
const GmClock *gm_clock_system (void);
/* Makes CLOCK a paused clock that reads AT until it is advanced.  */
void gm_clock_pause (GmClock *clock, GmTime at);
/* Advances the paused CLOCK by DELTA microseconds, which must not be
   negative.  */
void gm_clock_advance (GmClock *clock, GmTime delta);
/* Returns the current time of CLOCK.  */
GmTime gm_now (const GmClock *clock);

/* A seeded pseudo-random generator (SplitMix64): the same seed gives the same
   numbers, so that a test run can be repeated.  Not for secrets.  */
typedef struct
{
  guint64 state;
} GmRandom;

/* Seeds R; any SEED is allowed, also 0.  */
void gm_random_seed (GmRandom *r, guint64 seed);
/* Returns the next 64 random bits.  */
guint64 gm_random_next (GmRandom *r);
/* Returns a random number from 0 to BELOW - 1; BELOW must not be 0.  */
guint64 gm_random_below (GmRandom *r, guint64 below);
/* Returns a random number from 0 (included) to 1 (excluded).  */
double gm_random_unit (GmRandom *r);

/* Returns a seeded 64-bit FNV-1a hash of LENGTH bytes with a final mixing
   step, used for the weights of rendezvous hashing.  */
guint64 gm_hash (const void *data, gsize length, guint64 seed);
/* Returns the CRC-32 of LENGTH bytes, the checksum of stored records.  */
guint32 gm_crc32 (const void *data, gsize length);
