#include "core.h"
#include "base/mutant.h"
#include <string.h>

static void
witness_free (gpointer data)
{
  PlWitness *witness = data;
  g_free (witness->id);
  g_free (witness);
}

GPtrArray *
pl_witnesses_new (void)
{
  return g_ptr_array_new_with_free_func (witness_free);
}

static PlWitness *
find_witness (const PlCore *core, const char *id)
{
  for (guint i = 0; i < core->witnesses->len; i++)
    {
      PlWitness *witness = g_ptr_array_index (core->witnesses, i);
      if (strcmp (witness->id, id) == 0)
        return witness;
    }
  return NULL;
}

static void
push_witness_action (PlCore *core, PlActionType type, const char *id)
{
  pl_push_action (core, type, 0, NULL)->witness = g_strdup (id);
}

static gboolean
is_listed (const GPtrArray *ids, const char *id)
{
  for (guint i = 0; i < ids->len; i++)
    if (strcmp (g_ptr_array_index (ids, i), id) == 0)
      return TRUE;
  return FALSE;
}

void
pl_set_witnesses (PlCore *core, GmTime now, const GPtrArray *ids, guint needed,
                  gboolean leads)
{
  core->witnesses_needed = GM_MUTANT (WITNESS_UNASKED) ? 0 : needed;
  for (guint i = core->witnesses->len; i-- > 0;)
    {
      const PlWitness *witness = g_ptr_array_index (core->witnesses, i);
      if (is_listed (ids, witness->id))
        continue;
      push_witness_action (core, PL_DROP_WITNESS, witness->id);
      g_ptr_array_remove_index_fast (core->witnesses, i);
    }
  for (guint i = 0; i < ids->len; i++)
    {
      const char *id = g_ptr_array_index (ids, i);
      if (find_witness (core, id) != NULL)
        continue;
      PlWitness *witness = g_new0 (PlWitness, 1);
      witness->id = g_strdup (id);
      witness->backoff = PL_CONNECT_RETRY;
      g_ptr_array_add (core->witnesses, witness);
      /* Opens the connection before the first read needs it.  */
      if (leads)
        pl_ask_witnesses (core, now);
    }
}

void
pl_ask_witnesses (PlCore *core, GmTime now)
{
  for (guint i = 0; core->witnesses_needed > 0 && i < core->witnesses->len;
       i++)
    {
      PlWitness *witness = g_ptr_array_index (core->witnesses, i);
      if (witness->asked_at != 0
          || (witness->is_lost && now < witness->retry_at))
        continue;
      witness->asked_at = now;
      witness->waited_since = now;
      push_witness_action (core, PL_ASK_WITNESS, witness->id);
    }
}

gboolean
pl_needs_confirmation (const PlCore *core, const PlRequest *request)
{
  return core->witnesses_needed > 0
         && (request->begins == DP_BEGIN_WRITE
             || pl_needs_leader_proof (request));
}

GmTime
pl_confirmed_at (const PlCore *core, guint64 *term)
{
  GmTime newest = 0;
  *term = 0;
  for (guint i = 0; i < core->witnesses->len; i++)
    {
      const PlWitness *candidate = g_ptr_array_index (core->witnesses, i);
      guint as_new = 0;
      for (guint j = 0; j < core->witnesses->len; j++)
        {
          const PlWitness *other = g_ptr_array_index (core->witnesses, j);
          as_new += other->confirmed_at >= candidate->confirmed_at ? 1 : 0;
        }
      if (as_new >= core->witnesses_needed)
        newest = MAX (newest, candidate->confirmed_at);
      *term = MAX (*term, candidate->term);
    }
  return newest;
}

gboolean
pl_is_confirmed (const PlCore *core, const PlRequest *request)
{
  guint64 term;
  return !pl_needs_confirmation (core, request)
         || pl_confirmed_at (core, &term) >= request->base.arrived;
}

gboolean
pl_can_confirm (const PlCore *core)
{
  guint reachable = 0;
  for (guint i = 0; i < core->witnesses->len; i++)
    {
      const PlWitness *witness = g_ptr_array_index (core->witnesses, i);
      reachable += witness->is_lost ? 0 : 1;
    }
  return reachable >= core->witnesses_needed;
}

static void
mark_lost (PlWitness *witness, GmTime now)
{
  witness->asked_at = 0;
  witness->is_lost = TRUE;
  witness->retry_at = now + witness->backoff;
  witness->backoff = MIN (2 * witness->backoff, PL_CONNECT_RETRY_MAX);
}

/* Asks again if the last question was asked before the newest request that
   waits for it arrived.  */
static void
ask_again (PlCore *core, GmTime now)
{
  guint64 term;
  if (dq_length (core->queue) > 0
      && pl_confirmed_at (core, &term) < core->confirmation_wanted_at)
    pl_ask_witnesses (core, now);
}

void
pl_witness_answered (PlCore *core, GmTime now, const char *id, guint64 term)
{
  PlWitness *witness = find_witness (core, id);
  if (witness == NULL || witness->asked_at == 0)
    return;
  witness->confirmed_at = witness->asked_at;
  witness->asked_at = 0;
  witness->is_lost = FALSE;
  witness->backoff = PL_CONNECT_RETRY;
  witness->term = MAX (witness->term, term);
  ask_again (core, now);
  pl_schedule (core, now);
}

void
pl_witness_lost (PlCore *core, GmTime now, const char *id)
{
  PlWitness *witness = find_witness (core, id);
  if (witness != NULL)
    mark_lost (witness, now);
}

void
pl_expire_witnesses (PlCore *core, GmTime now)
{
  for (guint i = 0; i < core->witnesses->len; i++)
    {
      PlWitness *witness = g_ptr_array_index (core->witnesses, i);
      if (witness->asked_at == 0
          || now < witness->waited_since + PL_WITNESS_TIMEOUT)
        continue;
      /* A late answer still dates from the question.  */
      witness->is_lost = TRUE;
      if (now < witness->waited_since + PL_WITNESS_DROP_AFTER)
        continue;
      push_witness_action (core, PL_DROP_WITNESS, witness->id);
      mark_lost (witness, now);
    }
  ask_again (core, now);
}

void
pl_discount_witness_stall (PlCore *core, GmTime span)
{
  /* The time of the question itself must not change: it dates the proof.  */
  for (guint i = 0; i < core->witnesses->len; i++)
    ((PlWitness *)g_ptr_array_index (core->witnesses, i))->waited_since
        += span;
}
