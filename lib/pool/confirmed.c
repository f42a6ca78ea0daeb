#include "core.h"
#include "base/mutant.h"
#include "failover/takeover.h"

void
pl_set_control_state (PlCore *core, GmTime now, guint64 version)
{
  PlKnownState *known = &core->known_state;
  pl_settled_state (core, now);
  known->newest = version;
  if (known->next == known->settled && version > known->settled)
    {
      known->next = version;
      known->next_since = now;
    }
}

guint64
pl_settled_state (PlCore *core, GmTime now)
{
  PlKnownState *known = &core->known_state;
  if (known->next > known->settled
      && now >= known->next_since + TO_DEPARTURE_GRACE)
    {
      known->settled = known->next;
      known->next = known->newest;
      known->next_since = now;
    }
  return known->settled;
}

/* Whether REQUEST is answered only once another copy has received its write.
   A COMMIT of a transaction that only read is answered without one.  */
static gboolean
needs_other_copy (const PlRequest *request)
{
  gboolean ends_write
      = request->operation == PL_WRITE || request->operation == PL_COMMIT;
  return ends_write && (request->writes || GM_MUTANT (COMMIT_CONFIRMS));
}

void
pl_note_confirmed (PlCore *core, GmTime now, const PlRequest *request,
                   const DpOutcome *outcome)
{
  /* A database may give a write up by itself.  One that it refuses says
     nothing of the other copies.  */
  if (outcome->kind == GM_OUTCOME_UNKNOWN)
    pl_note_given_up (core, now, request);
  if (!needs_other_copy (request) || outcome->kind != GM_OK)
    return;
  core->last_confirmed = now;
  core->lost_writes = (PlLostRun){ 0 };
  if (tk_point_compare (outcome->point, core->acked_position) > 0)
    core->acked_position = outcome->point;
  /* A write is as old as its sending: a copy that has left since may be the
     one that confirmed it.  */
  if (!core->replaced)
    core->confirmed_state = MAX (core->confirmed_state, request->known_state);
}

void
pl_note_given_up (PlCore *core, GmTime now, const PlRequest *request)
{
  PlLostRun *run = &core->lost_writes;
  GmTime started = MAX (request->base.started, core->last_confirmed);
  if (!needs_other_copy (request))
    return;
  if (run->since == 0 || started > run->until + PL_RUN_GAP)
    run->since = started;
  run->since = MIN (run->since, started);
  run->until = now;
}

void
pl_write_health (const PlCore *core, GmTime now, PlHealth *health)
{
  const PlLostRun *run = &core->lost_writes;
  GmTime running = now;
  for (guint i = 0; i < core->running->len; i++)
    {
      const PlRequest *r = g_ptr_array_index (core->running, i);
      if (needs_other_copy (r))
        running = MIN (running, MAX (r->base.started, core->last_confirmed));
    }
  gboolean lost = run->since != 0 && running <= run->until + PL_RUN_GAP;
  GmTime since = lost ? MIN (run->since, running) : running;
  GmTime until = lost && running == now ? run->until : now;
  health->stuck = (guint64)(MAX (now - since, 0) / GM_MS);
  health->stuck_ended = (guint64)(MAX (now - until, 0) / GM_MS);
  health->confirmed = (guint64)(MAX (now - core->last_confirmed, 0) / GM_MS);
  health->acked = core->acked_position;
  health->confirmed_state = core->confirmed_state;
}
