/* Time and randomness as the logic sees them.

   GmTime counts microseconds on a monotonic clock.  Decision cores take the
   time as an argument; only the shells read a GmClock.  */
#pragma once
#include <glib.h>

typedef gint64 GmTime; /* microseconds */

#define GM_MS ((GmTime)1000)
#define GM_SECOND ((GmTime)1000000)

typedef struct GmClock GmClock;

/* A clock; the table of calls is its first member.  */
struct GmClock
{
  GmTime (*now) (const GmClock *clock);
  GmTime paused_at; /* only read by the paused clock */
};

/* The monotonic clock that also counts the time for which the machine was
   suspended: leases and ages rest on it.  Static.  */
const GmClock *gm_clock_system (void);
/* Makes CLOCK a paused clock that stands at AT.  */
void gm_clock_pause (GmClock *clock, GmTime at);
/* Advances a paused clock by DELTA microseconds.  */
void gm_clock_advance (GmClock *clock, GmTime delta);
/* Reads CLOCK.  */
GmTime gm_now (const GmClock *clock);

/* A small seeded generator for the cores: same seed, same numbers.  */
typedef struct
{
  guint64 state;
} GmRandom;

/* Seeds R; any SEED is allowed.  */
void gm_random_seed (GmRandom *r, guint64 seed);
/* The next 64 bits.  */
guint64 gm_random_next (GmRandom *r);
/* A number from 0 to BELOW - 1; BELOW must not be 0.  */
guint64 gm_random_below (GmRandom *r, guint64 below);
/* A number from 0 up to 1.  */
double gm_random_unit (GmRandom *r);

/* 64-bit FNV-1a hash of LENGTH bytes, used for rendezvous weights.  */
guint64 gm_hash (const void *data, gsize length, guint64 seed);
/* CRC-32 of LENGTH bytes, used on records and frames at rest.  */
guint32 gm_crc32 (const void *data, gsize length);
