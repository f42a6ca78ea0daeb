#include "takeover.h"
#include "base/mutant.h"
#include <string.h>

/* What the leader knows of one database.  The positions of acknowledged writes
   are those after the write, which may be later than its own.  */
typedef struct
{
  GmTime last_heartbeat; /* when its last heartbeat came */
  gboolean claims_lead;  /* that heartbeat says that it is a primary */
  guint64 incarnation;
  GmTime last_report; /* when its pool last reported on it; 0: never */
  gboolean reachable;
  guint64 silent_ms;     /* for how long it has answered nothing */
  guint64 stuck_ms;      /* for how long no write has been confirmed */
  GArray *open_by_share; /* guint64, statements and transactions in progress */
  GmTime last_confirmed; /* when a write was last seen confirmed; 0: never */
  /* The last write that its pool saw acknowledged.  */
  guint64 acked_term;
  guint64 acked_number;
  /* After it has left: since when the leader knows, and the last write that
     the primary had acknowledged TO_DEPARTURE_GRACE later.  */
  GmTime gone_at;
  gboolean has_mark;
  guint64 mark_term;
  guint64 mark_number;

  /* The leader's own calls to it.  */
  GmTime call_started_at;
  GmTime next_call_at;
  gboolean call_in_flight;
  GmTime last_answer;   /* end of the last answered call; 0: none */
  GmTime last_failure;  /* end of the last unanswered call; 0: none */
  GmTime failing_since; /* start of the first failed call; 0: it answers */
  gboolean has_status;  /* status is set */
  GmTime status_at;     /* when status was received */
  FoDatabaseStatus status;
} DatabaseView;

/* How far the replacement of a group's primary has come.  */
typedef struct
{
  char *name;
  GmTime last_proposal;
  guint64 sealing_term;
  GmTime sealing_since;
  guint64 pending_token; /* token of the order in flight; 0: none */
  guint64 ordered_token; /* of the last order sent */
  guint64 refused_token; /* highest token that the platform refused */
  guint64 unknown_token; /* highest token whose order ended as TO_UNKNOWN */
  GmTime promoted_proposed_at; /* when CMD_PROMOTED was last proposed */
  GmTime departed_proposed_at; /* when a departed copy was last given up */
  GmTime order_sent_at;
  GmTime next_order_at;
  guint64 unsealed_term; /* term in which the replicas were unsealed */
  GmTime next_depose_at; /* when to look for replaced primaries again */
  GmTime settled_at;     /* when the last promotion was done */
} GroupProgress;

struct ToCore
{
  char *host;
  guint64 control_term; /* 0: this host is not the leader */
  GmTime leader_since;
  GHashTable *groups; /* name -> GroupProgress */
  GHashTable *views;  /* id -> DatabaseView */
  GQueue commands;    /* WmMessage * */
  GQueue actions;     /* ToAction * */
};

static void
view_free (gpointer data)
{
  DatabaseView *view = data;
  g_array_unref (view->open_by_share);
  g_free (view);
}

static void
group_free (GroupProgress *progress)
{
  g_free (progress->name);
  g_free (progress);
}

ToCore *
to_new (const char *host)
{
  ToCore *core = g_new0 (ToCore, 1);
  core->host = g_strdup (host);
  core->groups = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)group_free);
  core->views
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, view_free);
  g_queue_init (&core->commands);
  g_queue_init (&core->actions);
  return core;
}

void
to_action_clear (ToAction *action)
{
  g_free (action->group);
  g_free (action->id);
  g_free (action->address);
}

gboolean
to_take_action (ToCore *core, ToAction *action)
{
  ToAction *first = g_queue_pop_head (&core->actions);
  if (first == NULL)
    return FALSE;
  *action = *first;
  g_free (first);
  return TRUE;
}

gboolean
to_take_command (ToCore *core, WmMessage *command)
{
  return wm_queue_take (&core->commands, command);
}

static void
clear_actions (ToCore *core)
{
  ToAction action;
  while (to_take_action (core, &action))
    to_action_clear (&action);
}

void
to_free (ToCore *core)
{
  clear_actions (core);
  wm_queue_clear (&core->commands);
  g_hash_table_unref (core->groups);
  g_hash_table_unref (core->views);
  g_free (core->host);
  g_free (core);
}

void
to_lead (ToCore *core, GmTime now, guint64 round)
{
  core->control_term = round;
  core->leader_since = now;
  clear_actions (core);
  wm_queue_clear (&core->commands);
  g_hash_table_remove_all (core->groups);
  g_hash_table_remove_all (core->views);
}

static GroupProgress *
progress_of (ToCore *core, const char *name)
{
  GroupProgress *progress = g_hash_table_lookup (core->groups, name);
  if (progress == NULL)
    {
      progress = g_new0 (GroupProgress, 1);
      progress->name = g_strdup (name);
      progress->settled_at = G_MININT64 / 2;
      progress->last_proposal = G_MININT64 / 2;
      progress->promoted_proposed_at = G_MININT64 / 2;
      progress->departed_proposed_at = G_MININT64 / 2;
      g_hash_table_insert (core->groups, progress->name, progress);
    }
  return progress;
}

static DatabaseView *
view_of (ToCore *core, const char *id)
{
  DatabaseView *view = g_hash_table_lookup (core->views, id);
  if (view == NULL)
    {
      view = g_new0 (DatabaseView, 1);
      view->last_heartbeat = core->leader_since;
      view->open_by_share = g_array_new (FALSE, TRUE, sizeof (guint64));
      g_hash_table_insert (core->views, g_strdup (id), view);
    }
  return view;
}

/* Whether the position NUMBER of TERM comes after OTHER_NUMBER of
   OTHER_TERM.  */
static gboolean
is_later (guint64 term, guint64 number, guint64 other_term,
          guint64 other_number)
{
  return term > other_term || (term == other_term && number > other_number);
}

static void
update_view (ToCore *core, GmTime now, const CsState *state, const char *host,
             const struct wm_seen *m)
{
  guint shares;
  gint share = cs_queue_share (state, m->id, host, &shares);
  if (share < 0)
    return;
  DatabaseView *view = view_of (core, m->id);
  if (is_later (m->last_term, m->received, view->acked_term,
                view->acked_number))
    {
      view->acked_term = m->last_term;
      view->acked_number = m->received;
    }
  view->last_confirmed
      = MAX (view->last_confirmed,
             now - (GmTime)MIN (m->confirmed, G_MAXINT32) * GM_MS);
  g_array_set_size (view->open_by_share, shares);
  g_array_index (view->open_by_share, guint64, share) = m->open;
  /* Reachability and silence are taken from the holder of the first share:
     one holder's view is as good as another's.  */
  if (share != 0)
    return;
  view->last_report = now;
  view->reachable = m->reachable != 0;
  view->silent_ms = m->silent;
  view->stuck_ms = m->stuck;
}

/* Counts the statements and transactions in progress in all shares of the
   queue.  */
static guint64
count_open (const DatabaseView *view)
{
  guint64 open = 0;
  for (guint i = 0; i < view->open_by_share->len; i++)
    open += g_array_index (view->open_by_share, guint64, i);
  return open;
}

/* Whether no write of the first share has been confirmed for
   TO_CONFIRM_TIMEOUT, nor any write of another share: a single lost answer
   doesn't make the primary stuck.
 */
static gboolean
is_stuck (const DatabaseView *view, GmTime now)
{
  return view->stuck_ms * GM_MS >= (guint64)TO_CONFIRM_TIMEOUT
         && now >= view->last_confirmed + TO_CONFIRM_TIMEOUT;
}

void
to_report (ToCore *core, GmTime now, const CsState *state,
           const struct wm_report *report)
{
  WmMessage m;
  gsize at = 0;
  while (wm_next (report->databases, &at, &m))
    {
      if (m.type == WM_TYPE_SEEN)
        update_view (core, now, state, report->host, &m.seen);
      wm_clear (&m);
    }
}

void
to_heartbeat (ToCore *core, GmTime now, const struct wm_cmd_database *m)
{
  DatabaseView *view = view_of (core, m->id);
  if (m->incarnation < view->incarnation)
    return;
  if (m->incarnation > view->incarnation)
    view->has_status = FALSE;
  view->incarnation = m->incarnation;
  view->last_heartbeat = now;
  view->claims_lead = m->primary != 0;
}

void
to_call_done (ToCore *core, GmTime now, const char *id, gboolean answered,
              const FoDatabaseStatus *status)
{
  DatabaseView *view = view_of (core, id);
  view->call_in_flight = FALSE;
  view->next_call_at = now + TO_CALL_RETRY;
  if (answered)
    {
      view->last_answer = now;
      view->failing_since = 0;
    }
  else
    {
      view->last_failure = now;
      view->failing_since = view->failing_since != 0 ? view->failing_since
                                                     : view->call_started_at;
    }
  if (status == NULL)
    return;
  view->status = *status;
  view->has_status = TRUE;
  view->status_at = now;
  view->claims_lead = status->primary;
}

/* Proposes to record that the promotion under TOKEN is done.  */
static void
propose_promoted (ToCore *core, GmTime now, GroupProgress *progress,
                  guint64 token)
{
  if (now < progress->promoted_proposed_at + TO_PROPOSE_RETRY)
    return;
  WmMessage command
      = { .type = WM_TYPE_CMD_PROMOTED,
          .cmd_promoted = { .group = progress->name, .token = token } };
  wm_queue_put (&core->commands, &command);
  progress->promoted_proposed_at = now;
  progress->settled_at = now;
}

void
to_order_done (ToCore *core, GmTime now, const char *name, guint64 token,
               ToOrderResult end)
{
  GroupProgress *progress = progress_of (core, name);
  if (progress->pending_token != token)
    return;
  progress->pending_token = 0;
  progress->next_order_at = now + TO_ORDER_RETRY;
  if (end == TO_REFUSED)
    progress->refused_token = MAX (progress->refused_token, token);
  if (end == TO_UNKNOWN)
    progress->unknown_token = MAX (progress->unknown_token, token);
  if (end != TO_DONE)
    return;
  propose_promoted (core, now, progress, token);
  progress->next_order_at = now + TO_ORDER_TIMEOUT;
}

static ToAction *
push_action (ToCore *core, ToActionType type, const GroupProgress *progress,
             const CsDatabase *database)
{
  ToAction *action = g_new0 (ToAction, 1);
  action->type = type;
  action->group = g_strdup (progress->name);
  action->id = g_strdup (database->id);
  action->address = g_strdup (database->address);
  g_queue_push_tail (&core->actions, action);
  return action;
}

static void
start_call (ToCore *core, GmTime now, const GroupProgress *progress,
            const CsDatabase *database, FoCall what, guint64 term)
{
  DatabaseView *view = view_of (core, database->id);
  ToAction *action = push_action (core, TO_CALL, progress, database);
  action->call = what;
  action->term = term;
  view->call_in_flight = TRUE;
  view->call_started_at = now;
}

/* Whether a call to the database of VIEW may start.  */
static gboolean
may_call (DatabaseView *view, GmTime now)
{
  if (view->call_in_flight
      && now >= view->call_started_at + 2 * TO_CALL_TIMEOUT)
    view->call_in_flight = FALSE; /* the shell never reported its end */
  return !view->call_in_flight && now >= view->next_call_at;
}

static gboolean
may_propose (GroupProgress *progress, GmTime now, GmTime spacing)
{
  if (now < progress->last_proposal + spacing)
    return FALSE;
  progress->last_proposal = now;
  return TRUE;
}

/* The databases of the group NAME other than EXCEPT.  */
static GPtrArray *
databases_of (const CsState *state, const char *name, const char *except)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      if (strcmp (d->group, name) == 0 && g_strcmp0 (d->id, except) != 0)
        g_ptr_array_add (list, value);
    }
  return list;
}

/* Whether DATABASE failed to answer the leader's latest call.  Starts a status
   call, and returns FALSE, when the latest one ended too long ago.  */
static gboolean
fails_probe (ToCore *core, GmTime now, const GroupProgress *progress,
             const CsDatabase *database)
{
  DatabaseView *view = view_of (core, database->id);
  GmTime last = MAX (view->last_answer, view->last_failure);
  if (last != 0 && now < last + 2 * TO_CALL_TIMEOUT)
    return view->last_failure > view->last_answer;
  if (may_call (view, now))
    start_call (core, now, progress, database, FO_CALL_STATUS, 0);
  return FALSE;
}

/* Whether all other databases of PRIMARY's group are reachable from their
   pools: unconfirmed writes are then the primary's fault.  */
static gboolean
others_reachable (ToCore *core, GmTime now, const CsState *state,
                  const CsDatabase *primary)
{
  g_autoptr (GPtrArray) others
      = databases_of (state, primary->group, primary->id);
  for (guint i = 0; i < others->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (others, i);
      const DatabaseView *view = view_of (core, d->id);
      if (!view->reachable || now >= view->last_report + TO_REPORT_MAX_AGE)
        return FALSE;
    }
  return others->len + 1 >= cs_database_count (state, primary->group);
}

/* The reason to replace PRIMARY, or NULL.  */
static const char *
replacement_reason (ToCore *core, GmTime now, const CsState *state,
                    const GroupProgress *progress, const CsDatabase *primary)
{
  if (primary == NULL)
    return "the primary is gone";
  const DatabaseView *view = view_of (core, primary->id);
  gboolean report_fresh
      = view->last_report != 0 && now < view->last_report + TO_REPORT_MAX_AGE;
  gboolean settling = now < progress->settled_at + TO_SETTLE_GRACE;
  if (primary->leaving)
    return "the primary is leaving";
  gboolean probe_failed = report_fresh
                          && view->silent_ms * GM_MS >= (guint64)TO_PROBE_AFTER
                          && fails_probe (core, now, progress, primary);
  if (probe_failed && view->silent_ms * GM_MS >= (guint64)TO_ANSWER_TIMEOUT)
    return "the primary does not answer";
  /* The host of its pool may be cut off together with the primary.  */
  if (now >= MAX (view->last_report, core->leader_since) + TO_REPORT_LATE
      && fails_probe (core, now, progress, primary)
      && now >= view->failing_since + TO_ANSWER_TIMEOUT)
    return "the primary does not answer, and nobody reports on it";
  if (report_fresh && !settling && is_stuck (view, now)
      && others_reachable (core, now, state, primary))
    return "the primary's writes are not confirmed";
  /* Missing heartbeats don't matter while the pool reaches the primary.  */
  if (now >= view->last_heartbeat + TO_HEARTBEAT_TIMEOUT
      && !(report_fresh && view->reachable)
      && fails_probe (core, now, progress, primary))
    return "no heartbeat comes from the primary";
  return NULL;
}

static guint64
next_term (ToCore *core, const CsState *state, const CsGroup *group)
{
  guint64 term = group->term;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      const DatabaseView *view = view_of (core, d->id);
      if (strcmp (d->group, group->group) != 0)
        continue;
      term = MAX (term, view->acked_term);
      if (view->has_status)
        term = MAX (term, MAX (view->status.term, view->status.sealed_term));
    }
  return term + 1;
}

static void
propose_term (ToCore *core, GmTime now, guint64 when, const CsState *state,
              const CsGroup *group, GroupProgress *progress,
              const char *reason)
{
  if (!may_propose (progress, now, TO_TERM_SPACING))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_TERM,
                        .cmd_term = { .group = group->group,
                                      .term = next_term (core, state, group),
                                      .reason = (char *)reason,
                                      .when = when } };
  wm_queue_put (&core->commands, &command);
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

/* Seals the databases of GROUP other than CHOSEN, which may be NULL, and
   renews their seals.  A primary can't be sealed and must step down first.  */
static void
seal_databases (ToCore *core, GmTime now, const CsState *state,
                const CsGroup *group, const GroupProgress *progress,
                const char *chosen)
{
  const char *last_primary = cs_present_id (state, group->avoid);
  g_autoptr (GPtrArray) all = databases_of (state, group->group, chosen);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      DatabaseView *view = view_of (core, d->id);
      if (!may_call (view, now)
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
      start_call (core, now, progress, d,
                  leads ? FO_CALL_STEP_DOWN : FO_CALL_SEAL, group->term);
    }
}

/* Unseals the replicas of a settled group: a replica that stayed sealed after
   an abandoned choice would never catch up.  Waits until the chosen database
   reports itself as primary, because an accepted order may not have taken
   effect yet and unsealed replicas would receive from the old primary.  */
static void
unseal_replicas (ToCore *core, GmTime now, const CsState *state,
                 const CsGroup *group, const CsDatabase *primary,
                 GroupProgress *progress)
{
  if (primary == NULL || progress->unsealed_term == group->term
      || progress->sealing_term != group->term)
    return;
  DatabaseView *chosen = view_of (core, primary->id);
  /* The chosen database was a replica when it was sealed, so this status is
     newer.  */
  gboolean leads = chosen->has_status && chosen->status.primary;
  if (!leads && !GM_MUTANT (UNSEAL_EARLY))
    {
      if (may_call (chosen, now))
        start_call (core, now, progress, primary, FO_CALL_STATUS, 0);
      return;
    }
  g_autoptr (GPtrArray) others
      = databases_of (state, group->group, group->primary);
  progress->unsealed_term = group->term;
  for (guint i = 0; i < others->len; i++)
    start_call (core, now, progress, g_ptr_array_index (others, i),
                FO_CALL_UNSEAL, group->term);
}

/* Tells primaries of earlier terms to step down: one that was cut off from its
   successor does not know that it was replaced.  */
static void
depose_old_primaries (ToCore *core, GmTime now, const CsState *state,
                      const CsGroup *group, GroupProgress *progress)
{
  gboolean replaced_here = progress->unsealed_term == group->term;
  if (now < progress->next_depose_at)
    return;
  progress->next_depose_at = now + TO_DEPOSE_INTERVAL;
  g_autoptr (GPtrArray) others
      = databases_of (state, group->group, group->primary);
  for (guint i = 0; i < others->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (others, i);
      DatabaseView *view = view_of (core, d->id);
      gboolean is_replica = view->has_status && !view->status.primary;
      if ((view->claims_lead || (replaced_here && !is_replica))
          && may_call (view, now))
        start_call (core, now, progress, d, FO_CALL_STEP_DOWN, group->term);
    }
}

/* Gives up the copies of databases that have left once PRIMARY has had a write
   acknowledged by another copy since: that one has everything before it too.
 */
static void
clear_departed (ToCore *core, GmTime now, const CsState *state,
                const CsGroup *group, GroupProgress *progress,
                const CsDatabase *primary)
{
  const DatabaseView *leads = view_of (core, primary->id);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->missing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsMissing *missing = value;
      if (!missing->left || strcmp (missing->group, group->group) != 0)
        continue;
      DatabaseView *view = view_of (core, missing->key);
      view->gone_at = view->gone_at != 0 ? view->gone_at : now;
      if (now < view->gone_at + TO_DEPARTURE_GRACE)
        continue;
      if (!view->has_mark)
        {
          view->has_mark = TRUE;
          view->mark_term = leads->acked_term;
          view->mark_number = leads->acked_number;
        }
      if (!is_later (leads->acked_term, leads->acked_number, view->mark_term,
                     view->mark_number)
          || now < progress->departed_proposed_at + TO_PROPOSE_RETRY)
        continue;
      progress->departed_proposed_at = now;
      WmMessage command
          = { .type = WM_TYPE_CMD_DATABASE_LOST,
              .cmd_database_lost
              = { .id = missing->id, .incarnation = missing->incarnation } };
      wm_queue_put (&core->commands, &command);
    }
}

static void
watch_primary (ToCore *core, GmTime now, guint64 when, const CsState *state,
               const CsGroup *group, GroupProgress *progress)
{
  const CsDatabase *primary
      = g_hash_table_lookup (state->databases, group->primary);
  /* An accepted order takes effect some time later.  */
  if (primary != NULL && progress->sealing_term == group->term
      && progress->unsealed_term != group->term && !GM_MUTANT (SEALS_LAPSE))
    seal_databases (core, now, state, group, progress, primary->id);
  unseal_replicas (core, now, state, group, primary, progress);
  depose_old_primaries (core, now, state, group, progress);
  if (primary != NULL)
    clear_departed (core, now, state, group, progress, primary);
  const char *reason
      = replacement_reason (core, now, state, progress, primary);
  if (reason == NULL)
    return;
  g_autoptr (GPtrArray) others
      = databases_of (state, group->group, group->primary);
  /* Without a replica to promote, wait for the primary to come back.  */
  if (others->len == 0)
    return;
  propose_term (core, now, when, state, group, progress, reason);
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
  g_autoptr (GPtrArray) all = databases_of (state, group->group, NULL);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      const DatabaseView *view = view_of (core, d->id);
      if (!is_sealed (view, now, group->term))
        continue;
      if (strcmp (d->id, last_primary) == 0)
        {
          sealed.led = d;
          continue;
        }
      sealed.others++;
      const DatabaseView *best
          = sealed.best != NULL ? view_of (core, sealed.best->id) : NULL;
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

/* The sealed copy of GROUP that holds every acknowledged write, or NULL while
   none is known to.

   A write that the last primary acknowledged is on that primary and on one
   other copy, which may be any.  Once all other copies are sealed, the one
   with the highest position has every acknowledged write.  While one of them
   can't be sealed, the last primary itself has every such write, unless it
   has lost its log: then it is behind another copy.  */
static const CsDatabase *
complete_copy (ToCore *core, GmTime now, const CsState *state,
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
  int order = compare_positions (&view_of (core, sealed.led->id)->status,
                                 &view_of (core, sealed.best->id)->status);
  if (order < 0)
    return NULL;
  return order == 0 ? sealed.best : sealed.led;
}

static void
propose_primary (ToCore *core, GmTime now, guint64 when, const CsGroup *group,
                 GroupProgress *progress, const CsDatabase *best)
{
  if (!may_propose (progress, now, TO_PROPOSE_RETRY))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_PRIMARY,
                        .cmd_primary = { .group = group->group,
                                         .term = group->term,
                                         .id = best->id,
                                         .when = when,
                                         .holder = core->host,
                                         .round = core->control_term } };
  wm_queue_put (&core->commands, &command);
}

/* Whether a database is already primary in the group's term or a later one.
   Its replicas can't be sealed for this term.  */
static gboolean
has_primary_in_term (ToCore *core, const CsState *state, const CsGroup *group)
{
  g_autoptr (GPtrArray) all = databases_of (state, group->group, NULL);
  for (guint i = 0; i < all->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (all, i);
      const DatabaseView *view = view_of (core, d->id);
      if (view->has_status && view->status.primary
          && view->status.term >= group->term)
        return TRUE;
    }
  return FALSE;
}

/* Notes that this leader seals the databases of GROUP for its term.  */
static void
begin_sealing (GmTime now, const CsGroup *group, GroupProgress *progress)
{
  if (progress->sealing_term == group->term)
    return;
  progress->sealing_term = group->term;
  progress->sealing_since = now;
  progress->last_proposal = G_MININT64 / 2;
}

static void
choose_primary (ToCore *core, GmTime now, guint64 when, const CsState *state,
                const CsGroup *group, GroupProgress *progress)
{
  begin_sealing (now, group, progress);
  const CsDatabase *old = g_hash_table_lookup (state->databases, group->avoid);
  const DatabaseView *old_view = view_of (core, group->avoid);
  /* Transactions at a leaving primary get time to end.  */
  if (old != NULL && old->leaving && old_view->reachable
      && count_open (old_view) > 0
      && now < progress->sealing_since + TO_DRAIN_GRACE)
    return;
  if (has_primary_in_term (core, state, group))
    {
      propose_term (core, now, when, state, group, progress,
                    "an earlier order was carried out late");
      return;
    }
  seal_databases (core, now, state, group, progress, NULL);
  const CsDatabase *best = complete_copy (core, now, state, group);
  if (best != NULL)
    propose_primary (core, now, when, group, progress, best);
}

/* Whether CHOSEN reports itself as primary; calls it if not.  CHOSEN was a
   replica when it was chosen, so a primary there shows that an order was
   carried out, even if its answer was lost.  Before the order is sent, the
   call renews its seal as well.  */
static gboolean
confirms_promotion (ToCore *core, GmTime now, const CsGroup *group,
                    const GroupProgress *progress, const CsDatabase *chosen)
{
  DatabaseView *view = view_of (core, chosen->id);
  if (view->has_status && view->status.primary)
    return TRUE;
  if (may_call (view, now))
    start_call (core, now, progress, chosen,
                progress->ordered_token == group->decided ? FO_CALL_STATUS
                                                          : FO_CALL_SEAL,
                group->term);
  return FALSE;
}

typedef enum
{
  CHOICE_UNKNOWN, /* the seals don't tell */
  CHOICE_HOLDS,
  CHOICE_VOID /* another copy has more */
} ChoiceState;

/* Whether CHOSEN still holds every acknowledged write, by the seals as they
   are now.  */
static ChoiceState
check_choice (ToCore *core, GmTime now, const CsState *state,
              const CsGroup *group, const CsDatabase *chosen)
{
  const DatabaseView *view = view_of (core, chosen->id);
  const CsDatabase *complete = complete_copy (core, now, state, group);
  if (GM_MUTANT (SEALS_LAPSE))
    return CHOICE_HOLDS;
  if (complete == NULL || !view->has_status || view->status.primary)
    return CHOICE_UNKNOWN;
  return compare_positions (&view->status,
                            &view_of (core, complete->id)->status)
                 < 0
             ? CHOICE_VOID
             : CHOICE_HOLDS;
}

/* Sends the promotion order under the token of the choice.  An order without a
   clear answer may still be carried out, so each token is sent once and a
   retry needs a new choice with a higher token.  */
static void
send_order (ToCore *core, GmTime now, guint64 when, const CsGroup *group,
            GroupProgress *progress, const CsDatabase *chosen)
{
  /* An order for an earlier choice may still be carried out; that of the
     present choice fences it off, so it must not wait.  */
  gboolean is_obsolete = progress->pending_token != group->decided
                         && !GM_MUTANT (ORDERS_IN_TURN);
  if (progress->pending_token != 0
      && (is_obsolete || now >= progress->order_sent_at + TO_ORDER_TIMEOUT))
    {
      progress->unknown_token
          = MAX (progress->unknown_token, progress->pending_token);
      progress->pending_token = 0;
    }
  if (progress->pending_token != 0 || now < progress->next_order_at)
    return;
  if (progress->unknown_token >= group->decided)
    {
      propose_primary (core, now, when, group, progress, chosen);
      return;
    }
  progress->pending_token = group->decided;
  progress->ordered_token = group->decided;
  progress->order_sent_at = now;
  push_action (core, TO_ORDER, progress, chosen)->token = group->decided;
}

/* Orders the promotion that this leader chose in its control term.  Renews a
   choice that another leader left unfinished.  */
static void
order_promotion (ToCore *core, GmTime now, guint64 when, const CsState *state,
                 const CsGroup *group, GroupProgress *progress)
{
  const CsDatabase *chosen
      = g_hash_table_lookup (state->databases, group->primary);
  gboolean is_own_choice = strcmp (group->holder, core->host) == 0
                           && group->round == core->control_term;
  if (chosen == NULL || progress->refused_token >= group->decided)
    {
      propose_term (core, now, when, state, group, progress,
                    "the chosen database can't be promoted");
      return;
    }
  if (!is_own_choice && !GM_MUTANT (TOKEN_SHARED))
    {
      propose_primary (core, now, when, group, progress, chosen);
      return;
    }
  if (confirms_promotion (core, now, group, progress, chosen))
    {
      propose_promoted (core, now, progress, group->decided);
      return;
    }
  begin_sealing (now, group, progress);
  if (!GM_MUTANT (SEALS_LAPSE))
    seal_databases (core, now, state, group, progress, chosen->id);
  ChoiceState choice = check_choice (core, now, state, group, chosen);
  if (choice == CHOICE_VOID)
    propose_term (core, now, when, state, group, progress,
                  "another copy has received more than the chosen one");
  else if (choice == CHOICE_HOLDS || progress->pending_token == group->decided)
    send_order (core, now, when, group, progress, chosen);
}

void
to_tick (ToCore *core, GmTime now, guint64 when, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  if (core->control_term == 0)
    return;
  g_hash_table_iter_init (&iter, state->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsGroup *group = value;
      GroupProgress *progress = progress_of (core, group->group);
      if (group->term == 0 || cs_database_count (state, group->group) == 0)
        continue;
      if (*group->primary == '\0')
        choose_primary (core, now, when, state, group, progress);
      else if (!group->settled)
        order_promotion (core, now, when, state, group, progress);
      else
        watch_primary (core, now, when, state, group, progress);
    }
}
