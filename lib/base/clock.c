#include "clock.h"
#include <time.h>

#define FNV_OFFSET G_GUINT64_CONSTANT (0xcbf29ce484222325)
#define FNV_PRIME G_GUINT64_CONSTANT (0x100000001b3)
#define CRC_POLYNOMIAL 0xedb88320U

static GmTime
read_system_clock (const GmClock *clock)
{
  (void)clock;
  struct timespec t;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return (GmTime)t.tv_sec * GM_SECOND + t.tv_nsec / 1000;
}

static GmTime
read_paused_clock (const GmClock *clock)
{
  return clock->paused_at;
}

static const GmClock system_clock = { .now = read_system_clock };

const GmClock *
gm_clock_system (void)
{
  return &system_clock;
}

void
gm_clock_pause (GmClock *clock, GmTime at)
{
  clock->now = read_paused_clock;
  clock->paused_at = at;
}

void
gm_clock_advance (GmClock *clock, GmTime delta)
{
  g_assert (delta >= 0);
  clock->paused_at += delta;
}

GmTime
gm_now (const GmClock *clock)
{
  return clock->now (clock);
}

void
gm_random_seed (GmRandom *r, guint64 seed)
{
  r->state = seed + G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
}

guint64
gm_random_next (GmRandom *r)
{
  r->state += G_GUINT64_CONSTANT (0x9e3779b97f4a7c15);
  guint64 z = r->state;
  z = (z ^ (z >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

guint64
gm_random_below (GmRandom *r, guint64 below)
{
  g_assert (below > 0);
  return gm_random_next (r) % below;
}

double
gm_random_unit (GmRandom *r)
{
  return (double)(gm_random_next (r) >> 11)
         / (double)(G_GUINT64_CONSTANT (1) << 53);
}

guint64
gm_hash (const void *data, gsize length, guint64 seed)
{
  const guint8 *p = data;
  guint64 h = FNV_OFFSET ^ seed;
  for (gsize i = 0; i < length; i++)
    h = (h ^ p[i]) * FNV_PRIME;
  h ^= h >> 32;
  h *= G_GUINT64_CONSTANT (0xd6e8feb86659fd93);
  h ^= h >> 32;
  return h;
}

guint32
gm_crc32 (const void *data, gsize length)
{
  static guint32 table[256];
  if (table[1] == 0)
    for (guint32 i = 0; i < 256; i++)
      {
        guint32 c = i;
        for (int k = 0; k < 8; k++)
          c = (c & 1) != 0 ? CRC_POLYNOMIAL ^ (c >> 1) : c >> 1;
        table[i] = c;
      }
  const guint8 *p = data;
  guint32 crc = 0xffffffffU;
  for (gsize i = 0; i < length; i++)
    crc = table[(crc ^ p[i]) & 0xff] ^ (crc >> 8);
  return crc ^ 0xffffffffU;
}
