#include "failover.h"
#include "base/mutant.h"
#include <string.h>

/* The last report on one group, and the progress of its failover.  */
typedef struct
{
  GmTime received;
  guint64 term;
  GPtrArray *databases; /* WmMessage *, SEEN */
  GmTime last_proposal;
  GmTime sealing_since;
  guint64 sealing_term;
  GmTime leaving_since; /* 0: the primary is not leaving */
} Report;

struct FoCore
{
  GHashTable *reports; /* group -> Report */
  GQueue commands;     /* WmMessage * */
};

static void
seen_free (WmMessage *seen)
{
  wm_clear (seen);
  g_free (seen);
}

static void
report_free (Report *report)
{
  g_ptr_array_unref (report->databases);
  g_free (report);
}

FoCore *
fo_new (void)
{
  FoCore *core = g_new0 (FoCore, 1);
  core->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                         (GDestroyNotify)report_free);
  g_queue_init (&core->commands);
  return core;
}

gboolean
fo_take_command (FoCore *core, WmMessage *command)
{
  return wm_queue_take (&core->commands, command);
}

void
fo_lead (FoCore *core)
{
  wm_queue_clear (&core->commands);
  g_hash_table_remove_all (core->reports);
}

void
fo_free (FoCore *core)
{
  fo_lead (core);
  g_hash_table_unref (core->reports);
  g_free (core);
}

static Report *
report_of (FoCore *core, const char *group)
{
  Report *report = g_hash_table_lookup (core->reports, group);
  if (report == NULL)
    {
      report = g_new0 (Report, 1);
      report->received = G_MININT64 / 2;
      report->last_proposal = G_MININT64 / 2;
      report->databases
          = g_ptr_array_new_with_free_func ((GDestroyNotify)seen_free);
      g_hash_table_insert (core->reports, g_strdup (group), report);
    }
  return report;
}

void
fo_report (FoCore *core, GmTime now, const CsState *state,
           const struct wm_report *m)
{
  const CsHost *owner = cs_dispatcher (state, m->group);
  if (owner == NULL || strcmp (owner->host, m->host) != 0)
    return;
  Report *report = report_of (core, m->group);
  report->received = now;
  report->term = m->term;
  g_ptr_array_set_size (report->databases, 0);
  WmMessage seen;
  gsize at = 0;
  while (wm_next (m->databases, &at, &seen))
    if (seen.type == WM_TYPE_SEEN)
      g_ptr_array_add (report->databases, g_memdup2 (&seen, sizeof seen));
    else
      wm_clear (&seen);
}

static const struct wm_seen *
find_database (const Report *report, const char *id)
{
  for (guint i = 0; i < report->databases->len; i++)
    {
      const WmMessage *m = g_ptr_array_index (report->databases, i);
      if (strcmp (m->seen.id, id) == 0)
        return &m->seen;
    }
  return NULL;
}

static gboolean
is_leaving (const CsState *state, const char *id)
{
  const CsDatabase *database = g_hash_table_lookup (state->databases, id);
  return database != NULL && database->leaving;
}

/* The number of reachable copies other than EXCEPT: only these can be
   sealed.  */
static guint
reachable_copies (const Report *report, const char *except)
{
  guint count = 0;
  for (guint i = 0; i < report->databases->len; i++)
    {
      const WmMessage *m = g_ptr_array_index (report->databases, i);
      if (m->seen.reachable != 0 && strcmp (m->seen.id, except) != 0)
        count++;
    }
  return count;
}

/* Whether the primary is leaving, and has nothing in progress or used up
   FO_DRAIN_GRACE.  */
static gboolean
may_leave (const CsState *state, GmTime now, Report *report,
           const struct wm_seen *primary)
{
  if (!is_leaving (state, primary->id))
    {
      report->leaving_since = 0;
      return FALSE;
    }
  if (report->leaving_since == 0)
    report->leaving_since = now;
  return primary->open == 0 || now >= report->leaving_since + FO_DRAIN_GRACE;
}

/* The reason to replace the group's primary, or NULL.  */
static const char *
replacement_reason (const CsState *state, GmTime now, const CsGroup *group,
                    Report *report)
{
  const struct wm_seen *primary = find_database (report, group->primary);
  if (group->term == 0)
    return "the group has no primary";
  if (primary == NULL)
    return "the primary is gone";
  if (primary->silent >= FO_ANSWER_TIMEOUT_MS)
    return "the primary does not answer";
  if (primary->reachable != 0 && primary->term != group->term)
    return "the primary is not in the group's term";
  if (primary->reachable != 0 && primary->stuck >= FO_REPLICATION_TIMEOUT_MS)
    return "the primary's log reaches no replica";
  if (may_leave (state, now, report, primary))
    return "the primary is leaving";
  return NULL;
}

static guint64
highest_term (const CsGroup *group, const Report *report)
{
  guint64 term = group->term;
  for (guint i = 0; i < report->databases->len; i++)
    {
      const WmMessage *m = g_ptr_array_index (report->databases, i);
      term = MAX (term, m->seen.term);
    }
  return term;
}

static void
propose_term (FoCore *core, guint64 when, const CsGroup *group,
              const Report *report, const char *reason)
{
  WmMessage command = { .type = WM_TYPE_CMD_TERM,
                        .cmd_term = { .group = group->group,
                                      .term = highest_term (group, report) + 1,
                                      .reason = (char *)reason,
                                      .when = when } };
  wm_queue_put (&core->commands, &command);
}

static gboolean
may_propose (Report *report, GmTime now, GmTime spacing)
{
  if (now < report->last_proposal + spacing)
    return FALSE;
  report->last_proposal = now;
  return TRUE;
}

static void
watch_primary (FoCore *core, GmTime now, guint64 when, const CsState *state,
               const CsGroup *group, Report *report)
{
  guint needed = cs_database_count (state, group->group) / 2 + 1;
  const char *reason = replacement_reason (state, now, group, report);
  if (reason == NULL || reachable_copies (report, group->primary) < needed)
    return;
  if (may_propose (report, now, FO_TERM_SPACING))
    propose_term (core, when, group, report, reason);
}

static gboolean
is_better (const struct wm_seen *a, const struct wm_seen *b)
{
  if (GM_MUTANT (PROMOTE_LOWEST) && b != NULL)
    return a->received < b->received;
  if (b == NULL || a->last_term != b->last_term)
    return b == NULL || a->last_term > b->last_term;
  return a->received > b->received;
}

/* The copy with the highest position among those sealed under TERM, without
   EXCEPT.  Stores their number in COUNT.  */
static const struct wm_seen *
best_sealed (const CsState *state, const Report *report, guint64 term,
             const char *except, guint *count)
{
  const struct wm_seen *best = NULL;
  *count = 0;
  for (guint i = 0; i < report->databases->len; i++)
    {
      const WmMessage *m = g_ptr_array_index (report->databases, i);
      if (m->seen.reachable == 0 || m->seen.term != term
          || g_strcmp0 (m->seen.id, except) == 0)
        continue;
      (*count)++;
      gboolean tie = best != NULL && !is_better (&m->seen, best)
                     && !is_better (best, &m->seen);
      if (is_better (&m->seen, best)
          || (tie && is_leaving (state, best->id)
              && !is_leaving (state, m->seen.id)))
        best = &m->seen;
    }
  return best;
}

static void
choose_primary (FoCore *core, GmTime now, guint64 when, const CsState *state,
                const CsGroup *group, Report *report)
{
  if (report->sealing_term != group->term)
    {
      report->sealing_term = group->term;
      report->sealing_since = now;
    }
  if (report->term != group->term)
    return;
  guint needed = cs_database_count (state, group->group) / 2 + 1;
  guint count;
  const struct wm_seen *best
      = best_sealed (state, report, group->term, group->avoid, &count);
  /* The replaced primary is eligible again only if there is no majority
     without it.  */
  if (count < needed && now >= report->sealing_since + FO_AVOID_TIMEOUT)
    best = best_sealed (state, report, group->term, NULL, &count);
  if (GM_MUTANT (SEAL_ONE) && count > 0)
    needed = 1;
  if (count < needed || !may_propose (report, now, FO_TERM_SPACING / 10))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_PRIMARY,
                        .cmd_primary = { .group = group->group,
                                         .term = group->term,
                                         .id = best->id,
                                         .when = when } };
  wm_queue_put (&core->commands, &command);
}

void
fo_tick (FoCore *core, GmTime now, guint64 when, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsGroup *group = value;
      Report *report = report_of (core, group->group);
      if (now >= report->received + FO_REPORT_MAX_AGE
          || cs_database_count (state, group->group) == 0)
        continue;
      if (*group->primary == '\0' && group->term > 0)
        choose_primary (core, now, when, state, group, report);
      else
        watch_primary (core, now, when, state, group, report);
    }
}

FoCall
fo_next_call (const CsGroup *group, const char *id,
              const FoDatabaseStatus *seen)
{
  if (group == NULL || group->term == 0 || seen->term > group->term)
    return FO_CALL_STATUS;
  if (*group->primary == '\0')
    return seen->term < group->term ? FO_CALL_SEAL : FO_CALL_STATUS;
  /* A primary that is not in the group's term has lost its log: promoting it
     would replace the group's log by an empty one.  */
  if (strcmp (group->primary, id) == 0)
    return !seen->primary && seen->term == group->term ? FO_CALL_PROMOTE
                                                       : FO_CALL_STATUS;
  if (seen->primary || seen->term < group->term
      || strcmp (seen->following, group->primary) != 0)
    return FO_CALL_FOLLOW;
  return FO_CALL_STATUS;
}
