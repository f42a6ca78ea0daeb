#include "core.h"
#include "failover/takeover.h"

void
pl_note_activity (PlCore *core, GmTime now)
{
  core->last_heard = now;
  core->unanswered_since = core->running->len > 0 ? now : 0;
}

GmTime
pl_silent_time (const PlCore *core, GmTime now)
{
  GmTime since = core->unanswered_since != 0 ? core->unanswered_since : now;
  /* Without an open connection, handshakes have been unanswered since the last
     answer.  */
  if (g_hash_table_size (core->conns) == core->opening_count)
    since = MIN (since, core->last_heard);
  return MAX (now - since, 0);
}

gboolean
pl_is_silent (const PlCore *core, GmTime now)
{
  return pl_silent_time (core, now) >= PL_SILENT_AFTER;
}

gboolean
pl_may_probe (PlCore *core, GmTime now, const PlRequest *request)
{
  gboolean reads
      = request->operation == PL_READ || request->operation == PL_PROVE_LEADER;
  GmTime since
      = MAX (core->last_probe, core->unanswered_since + PL_SILENT_AFTER);
  if (now < (reads ? core->last_probe + PL_PROBE_INTERVAL
                   : since + PL_WRITE_PROBE_INTERVAL))
    return FALSE;
  core->last_probe = now;
  return TRUE;
}

void
pl_discount_stall (PlCore *core, GmTime span)
{
  core->last_heard += span;
  if (core->unanswered_since != 0)
    core->unanswered_since += span;
  core->last_confirmed += span;
  if (core->lost_writes.since != 0)
    {
      core->lost_writes.since += span;
      core->lost_writes.until += span;
    }
  pl_discount_witness_stall (core, span);
  for (guint i = 0; i < core->running->len; i++)
    ((PlRequest *)g_ptr_array_index (core->running, i))->base.started += span;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((PlConn *)value)->state == CONN_OPENING)
      ((PlConn *)value)->opened_at += span;
}

void
pl_health (const PlCore *core, GmTime now, PlHealth *health)
{
  guint up = g_hash_table_size (core->conns) - core->opening_count;
  GmTime silent = pl_silent_time (core, now);
  health->reachable = up > 0 && silent < TO_ANSWER_TIMEOUT;
  health->silent = (guint64)(silent / GM_MS);
  health->open = core->running->len + g_hash_table_size (core->transactions);
  pl_write_health (core, now, health);
}
