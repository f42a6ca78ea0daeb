#include "cap.h"

/* Share of the burst that is kept as depth of the buckets; the rest is added
   to the rate, spread over the window.  Both count equally against a window.
   All as depth would refuse, under lasting overload, a burst in each window
   that the cap allows; all as rate would refuse short bursts.  */
#define BURST_AS_DEPTH 0.2
/* Additional depth taken from the tolerance.  Without it, a customer of a few
   operations a second, whose callers come at random times, is refused 2 of 100
   operations at 60% of its rate.  */
#define EXTRA_DEPTH_MAX 10.0
#define EXTRA_DEPTH_SHARE 0.5
/* After a change of lenders, grants of the old one can be used for so long
   after the new one started.  */
#define HANDOVER_TIME (QT_FENCE_AGE + QT_VALID_MAX + 50 * GM_MS)
/* A grant is valid for this share of the time in which a lender that lends at
   its full rate reaches the outstanding bound, if borrowers report no use.  */
#define VALID_SHARE 0.6

static double
operations_per_window (const QtRules *rules, const QtLimit *limit)
{
  return limit->rate * (double)rules->window / (double)GM_SECOND
         + limit->burst;
}

static double
tolerance (const QtRules *rules, const QtLimit *limit)
{
  return rules->overage * operations_per_window (rules, limit) + rules->slack;
}

double
qt_window_max (const QtRules *rules, const QtLimit *limit)
{
  return operations_per_window (rules, limit) + tolerance (rules, limit);
}

/* What a lender gains in TIME at RATE.  */
static double
gain_in (double rate, GmTime time)
{
  return rate * (double)time / (double)GM_SECOND;
}

void
qt_part (const QtRules *rules, const QtLimit *limit, guint parts, QtPart *part)
{
  double share = 1.0 / MAX (parts, 1);
  double tolerated = tolerance (rules, limit);
  double extra = MIN (tolerated * EXTRA_DEPTH_SHARE, EXTRA_DEPTH_MAX);
  double spread = limit->burst * (1 - BURST_AS_DEPTH)
                  / ((double)rules->window / (double)GM_SECOND);
  part->rate = (limit->rate + spread) * share;
  part->depth = MAX ((limit->burst * BURST_AS_DEPTH + extra) * share, 1);
  /* The rest of the tolerance is for grants that are not used yet, and for a
     change of lenders: then grants of the old ones are outstanding beside
     those of the new ones, which can't be more than these have gained.  */
  double rest = (tolerated - extra) * share;
  double handover = MIN (rest / 2, gain_in (part->rate, HANDOVER_TIME));
  double started = gain_in (part->rate, QT_FENCE_AGE);
  part->outstanding = MAX (rest - handover, 1);
  part->start = started > 0 ? MIN (handover / started, 1) : 0;
  part->valid = QT_VALID_MAX;
  if (part->rate > 0 && part->outstanding < part->rate)
    part->valid = (GmTime)(VALID_SHARE * part->outstanding / part->rate
                           * (double)GM_SECOND);
  part->valid = CLAMP (part->valid, QT_VALID_MIN, QT_VALID_MAX);
}
