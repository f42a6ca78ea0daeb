#include "lag.h"

/* Least lag that is expected after a replica lacked a position.  */
#define LAG_MIN (4 * GM_MS)
/* A lag that was too short is doubled, and one that was long enough is
   lowered by a 64th: of the reads that come right after their write about 3%
   come too early.  */
#define RAISE_PERCENT 200
#define LOWER_DIVISOR 64
#define LAG_MAX (60 * GM_SECOND)

void
bl_note_lag (BlLag *lag, GmTime now, GmTime at, gboolean lacked)
{
  GmTime age = MAX (now - at, 0);
  if (lacked)
    lag->lag
        = CLAMP (MAX (age, lag->lag * RAISE_PERCENT / 100), LAG_MIN, LAG_MAX);
  else if (age < lag->lag)
    lag->lag -= (lag->lag - age) / 4;
  else if (age < 2 * lag->lag)
    /* Older positions tell nothing of the lag.  */
    lag->lag -= lag->lag / LOWER_DIVISOR;
}

GmTime
bl_lag_delay (const BlLag *lag, GmTime now, GmTime at)
{
  return lag->lag > 0 ? MAX (at + lag->lag - now, 0) : 0;
}
