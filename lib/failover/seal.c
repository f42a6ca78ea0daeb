#include "takeover_core.h"
#include "base/mutant.h"
#include <string.h>

void
to_begin_sealing (GmTime now, const CsGroup *group, GroupProgress *progress)
{
  if (progress->sealing_term == group->term)
    return;
  progress->sealing_term = group->term;
  progress->sealing_since = now;
  progress->last_proposal = G_MININT64 / 2;
}

/* Whether the database of VIEW is sealed for TERM.  A restart of the replica
   ends its seal, so a status counts for TO_SEAL_MAX_AGE only.  */
static gboolean
is_sealed (const DatabaseView *view, GmTime now, guint64 term)
{
  return view->has_status && !view->status.primary
         && view->status.sealed_term >= term
         && now < view->status_at + TO_SEAL_MAX_AGE;
}

static int
compare_positions (const FoDatabaseStatus *a, const FoDatabaseStatus *b)
{
  if (a->last_term != b->last_term)
    return a->last_term < b->last_term ? -1 : 1;
  if (a->received != b->received)
    return a->received < b->received ? -1 : 1;
  return 0;
}

void
to_seal_databases (ToCore *core, GmTime now, const CsState *state,
                   const CsGroup *group, const GroupProgress *progress,
                   const char *chosen)
{
  const char *last_primary = cs_present_id (state, group->avoid);
  g_autoptr (GPtrArray) all = to_databases_of (state, group->group, chosen);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      DatabaseView *view = to_view_of (core, d->id);
      if (!to_may_call (view, now)
          || (is_sealed (view, now, group->term)
              && now < view->status_at + TO_SEAL_RENEWAL))
        continue;
      gboolean led = strcmp (d->id, last_primary) == 0;
      gboolean is_replica = view->has_status && !view->status.primary
                            && view->status_at >= progress->sealing_since;
      gboolean leads
          = led ? !is_replica : view->has_status && view->status.primary;
      if (led && !leads
          && now < progress->sealing_since + TO_OLD_PRIMARY_DELAY)
        continue;
      to_start_call (core, now, progress, d,
                     leads ? FO_CALL_STEP_DOWN : FO_CALL_SEAL, group->term);
    }
}

/* The copies of a group that are sealed for its term.  */
typedef struct
{
  guint others;           /* copies other than the last primary */
  const CsDatabase *best; /* of those, the one with the highest position */
  const CsDatabase *led;  /* the last primary, or NULL if it is not sealed */
} SealedCopies;

static SealedCopies
find_sealed (ToCore *core, GmTime now, const CsState *state,
             const CsGroup *group)
{
  SealedCopies sealed = { 0 };
  const char *last_primary = cs_present_id (state, group->avoid);
  g_autoptr (GPtrArray) all = to_databases_of (state, group->group, NULL);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      const DatabaseView *view = to_view_of (core, d->id);
      if (!is_sealed (view, now, group->term))
        continue;
      if (strcmp (d->id, last_primary) == 0)
        {
          sealed.led = d;
          continue;
        }
      sealed.others++;
      const DatabaseView *best
          = sealed.best != NULL ? to_view_of (core, sealed.best->id) : NULL;
      int order = best != NULL
                      ? compare_positions (&view->status, &best->status)
                      : 1;
      if (GM_MUTANT (PROMOTE_LOWEST) && best != NULL)
        order = -order;
      if (order > 0 || (order == 0 && sealed.best->leaving && !d->leaving))
        sealed.best = d;
    }
  return sealed;
}

const CsDatabase *
to_complete_copy (ToCore *core, GmTime now, const CsState *state,
                  const CsGroup *group)
{
  SealedCopies sealed = find_sealed (core, now, state, group);
  guint needed = cs_other_copies (state, group->group, group->avoid);
  if (GM_MUTANT (COUNT_DECLARED))
    needed = cs_database_count (state, group->group) - 1;
  if (sealed.best == NULL || sealed.others >= needed || GM_MUTANT (SEAL_ONE))
    return sealed.best;
  if (sealed.led == NULL)
    return NULL;
  const FoDatabaseStatus *led = &to_view_of (core, sealed.led->id)->status;
  /* An empty log is no evidence of having everything that was acknowledged:
     the last primary may have started again without its log, next to another
     copy that is empty.  */
  if (led->received == 0)
    return NULL;
  int order
      = compare_positions (led, &to_view_of (core, sealed.best->id)->status);
  if (order < 0)
    return NULL;
  return order == 0 ? sealed.best : sealed.led;
}

ChoiceState
to_check_choice (ToCore *core, GmTime now, const CsState *state,
                 const CsGroup *group, const CsDatabase *chosen)
{
  const DatabaseView *view = to_view_of (core, chosen->id);
  const CsDatabase *complete = to_complete_copy (core, now, state, group);
  if (GM_MUTANT (SEALS_LAPSE))
    return CHOICE_HOLDS;
  if (complete == NULL || !view->has_status || view->status.primary)
    return CHOICE_UNKNOWN;
  return compare_positions (&view->status,
                            &to_view_of (core, complete->id)->status)
                 < 0
             ? CHOICE_VOID
             : CHOICE_HOLDS;
}
