#include "balance.h"
#include <math.h>

/* Age at which a report counts half, the average the other half: two service
   times.  The queue that a report shows is served by then.  */
#define RETURN_TIME (50 * GM_MS)
/* Age at which the average of a queue's wait counts half: a burst is over, and
   without news nothing else would bring statements back to the share.  */
#define QUEUE_LIFE (2 * GM_SECOND)
/* Reports older than this show nothing for sure: a statement goes to find out
   what the queue is now.  */
#define SURE_AGE_MAX (500 * GM_MS)
/* Weight of a report in the moving average.  With 8, the noise of the reports
   moved more statements than differences of load did at 200 ms delay; 40 gives
   a tenth less wait in a steady state, but is too slow for waves of 15 s.  */
#define MEAN_DIVISOR 20
/* The preferred candidate is left by half of the hosts at this difference,
   about a statement's time.  */
#define LEAVE_SCALE (15 * GM_MS)
/* Above any expected time, so that candidates differ by weight and health.  */
#define NO_LIMIT (3600 * GM_SECOND)

GmTime
bl_estimate (const BlEstimate *e, GmTime now)
{
  if (e->at == 0)
    return 0;
  double age = (double)MAX (now - e->at, 0);
  double fresh = 1.0 / (1.0 + age / (double)RETURN_TIME);
  return e->mean + (GmTime)(fresh * (double)(e->last - e->mean));
}

static void
estimate_update (BlEstimate *e, GmTime now, GmTime value)
{
  e->mean = e->at == 0 ? value : e->mean + (value - e->mean) / MEAN_DIVISOR;
  e->last = value;
  e->at = now;
}

void
bl_report (BlShare *share, GmTime now, const BlReport *report)
{
  /* The report was made before the answer's trip.  */
  GmTime made = now - report->network_time;
  share->network_time = report->network_time;
  share->sent = 0;
  if (report->slots == 0)
    return;
  share->slots = report->slots;
  estimate_update (&share->waits[MIN (report->rank, BL_RANKS - 1)], made,
                   report->wait);
  estimate_update (&share->running, made, report->running / report->slots);
  GmTime *cost = &share->costs[MIN (report->rank, BL_RANKS - 1)];
  *cost = *cost == 0 ? report->cost
                     : *cost + (report->cost - *cost) / MEAN_DIVISOR;
}

void
bl_sent (BlShare *share)
{
  share->sent++;
}

static GmTime
fading_estimate (const BlEstimate *e, GmTime now)
{
  double age = (double)MAX (now - e->at, 0);
  return (GmTime)((double)bl_estimate (e, now)
                  / (1.0 + age / (double)QUEUE_LIFE));
}

GmTime
bl_queue_wait (const BlShare *share, GmTime now, guint rank)
{
  /* What waits for a higher rank waits for this one as well.  */
  GmTime wait = 0;
  for (guint i = 0; i <= MIN (rank, BL_RANKS - 1); i++)
    wait = MAX (wait, fading_estimate (&share->waits[i], now));
  return wait;
}

GmTime
bl_sure_wait (const BlShare *share, GmTime now, guint rank)
{
  GmTime wait = 0;
  for (guint i = 0; i <= MIN (rank, BL_RANKS - 1); i++)
    {
      const BlEstimate *e = &share->waits[i];
      GmTime age = now - e->at;
      if (e->at != 0 && age <= SURE_AGE_MAX)
        wait = MAX (wait, e->last - age);
    }
  return wait;
}

GmTime
bl_cost (const BlShare *share, guint rank)
{
  return share->costs[MIN (rank, BL_RANKS - 1)];
}

GmTime
bl_work_ahead (const BlShare *share, GmTime now, guint rank)
{
  return bl_queue_wait (share, now, rank) + bl_estimate (&share->running, now)
         + (GmTime)share->sent * bl_cost (share, rank) / MAX (share->slots, 1);
}

/* Draws one of the CANDIDATES with a probability in proportion to its weight,
   its health and its advantage over LIMIT.  */
static guint
draw_better (const BlCandidate *candidates, guint count, GmTime limit,
             GmRandom *random)
{
  double shares[BL_CANDIDATES_MAX] = { 0 };
  double total = 0;
  guint last = count;
  for (guint i = 0; i < count; i++)
    if (candidates[i].weight > 0 && candidates[i].time < limit)
      {
        shares[i] = candidates[i].weight * candidates[i].health
                    * (double)(limit - candidates[i].time);
        total += shares[i];
        last = i;
      }
  double drawn = gm_random_unit (random) * total;
  for (guint i = 0; i < last; i++)
    {
      drawn -= shares[i];
      if (shares[i] > 0 && drawn < 0)
        return i;
    }
  return last;
}

/* Whether PREFERRED is left because another candidate is healthier: it keeps
   the part of its load that its health is of the best.  */
static gboolean
is_too_ill (const BlCandidate *candidates, guint count, guint preferred,
            GmRandom *random)
{
  double best = candidates[preferred].health;
  for (guint i = 0; i < count; i++)
    if (candidates[i].weight > 0)
      best = MAX (best, candidates[i].health);
  return best > candidates[preferred].health
         && gm_random_unit (random) >= candidates[preferred].health / best;
}

guint
bl_choose (const BlCandidate *candidates, guint count, guint preferred,
           GmTime margin, GmRandom *random)
{
  GmTime best = G_MAXINT64;
  g_assert (count <= BL_CANDIDATES_MAX);
  for (guint i = 0; i < count; i++)
    if (candidates[i].weight > 0)
      best = MIN (best, candidates[i].time);
  if (best == G_MAXINT64)
    return count;
  if (preferred >= count || candidates[preferred].weight <= 0
      || is_too_ill (candidates, count, preferred, random))
    return draw_better (candidates, count, NO_LIMIT, random);
  GmTime limit = candidates[preferred].time - margin;
  if (best >= limit)
    return preferred;
  double excess = (double)(limit - best);
  if (gm_random_unit (random) >= excess / (excess + (double)LEAVE_SCALE))
    return preferred;
  return draw_better (candidates, count, limit, random);
}
