#include "takeover_core.h"
#include <string.h>

DatabaseView *
to_view_of (ToCore *core, const char *id)
{
  DatabaseView *view = g_hash_table_lookup (core->views, id);
  if (view == NULL)
    {
      view = g_new0 (DatabaseView, 1);
      view->last_heartbeat = core->leader_since;
      view->shares = g_array_new (FALSE, TRUE, sizeof (ShareView));
      g_hash_table_insert (core->views, g_strdup (id), view);
    }
  return view;
}

gboolean
to_is_later (guint64 term, guint64 number, guint64 other_term,
             guint64 other_number)
{
  return term > other_term || (term == other_term && number > other_number);
}

/* The time AGE milliseconds before NOW.  */
static GmTime
before (GmTime now, guint64 age)
{
  return now - (GmTime)MIN (age, G_MAXINT32) * GM_MS;
}

static void
update_view (ToCore *core, GmTime now, const CsState *state, const char *host,
             const struct wm_seen *m)
{
  guint shares;
  gint share = cs_queue_share (state, m->id, host, &shares);
  if (share < 0)
    return;
  DatabaseView *view = to_view_of (core, m->id);
  if (to_is_later (m->last_term, m->received, view->acked_term,
                   view->acked_number))
    {
      view->acked_term = m->last_term;
      view->acked_number = m->received;
    }
  view->confirmed_state = MAX (view->confirmed_state, m->confirmed_state);
  view->last_confirmed
      = MAX (view->last_confirmed, before (now, m->confirmed));
  g_array_set_size (view->shares, shares);
  g_array_index (view->shares, ShareView, share)
      = (ShareView){ .at = now,
                     .open = m->open,
                     .stuck_since = before (now, m->stuck),
                     .stuck_until = before (now, m->stuck_ended) };
  /* Reachability and silence are taken from the holder of the first share:
     one holder's view is as good as another's.  */
  if (share != 0)
    return;
  view->last_report = now;
  view->reachable = m->reachable != 0;
  view->silent_ms = m->silent;
}

guint64
to_count_open (const DatabaseView *view)
{
  guint64 open = 0;
  for (guint i = 0; i < view->shares->len; i++)
    open += g_array_index (view->shares, ShareView, i).open;
  return open;
}

gboolean
to_is_stuck (const DatabaseView *view, GmTime now)
{
  gboolean is_stuck = FALSE;
  for (guint i = 0; i < view->shares->len; i++)
    {
      const ShareView *share = &g_array_index (view->shares, ShareView, i);
      GmTime since = MAX (share->stuck_since, view->last_confirmed);
      if (share->at == 0 || now >= share->at + TO_REPORT_MAX_AGE)
        return FALSE;
      is_stuck = is_stuck || share->stuck_until >= since + TO_CONFIRM_TIMEOUT;
    }
  return is_stuck;
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

/* Records which role the database of VIEW says that it has.  */
static void
note_role (DatabaseView *view, GmTime now, gboolean primary)
{
  view->claims_lead = primary;
  if (primary)
    view->replica_since = 0;
  else if (view->replica_since == 0)
    view->replica_since = now;
}

void
to_heartbeat (ToCore *core, GmTime now, const struct wm_cmd_database *m)
{
  DatabaseView *view = to_view_of (core, m->id);
  if (m->incarnation < view->incarnation)
    return;
  if (m->incarnation > view->incarnation)
    view->has_status = FALSE;
  view->incarnation = m->incarnation;
  view->last_heartbeat = now;
  note_role (view, now, m->primary != 0);
}

void
to_call_done (ToCore *core, GmTime now, const char *id, gboolean answered,
              const FoDatabaseStatus *status)
{
  DatabaseView *view = to_view_of (core, id);
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
  note_role (view, now, status->primary);
}

ToAction *
to_push_action (ToCore *core, ToActionType type, const GroupProgress *progress,
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

void
to_start_call (ToCore *core, GmTime now, const GroupProgress *progress,
               const CsDatabase *database, FoCall what, guint64 term)
{
  DatabaseView *view = to_view_of (core, database->id);
  ToAction *action = to_push_action (core, TO_CALL, progress, database);
  action->call = what;
  action->term = term;
  view->call_in_flight = TRUE;
  view->call_started_at = now;
}

gboolean
to_may_call (DatabaseView *view, GmTime now)
{
  if (view->call_in_flight
      && now >= view->call_started_at + 2 * TO_CALL_TIMEOUT)
    view->call_in_flight = FALSE; /* the shell never reported its end */
  return !view->call_in_flight && now >= view->next_call_at;
}

GPtrArray *
to_databases_of (const CsState *state, const char *name, const char *except)
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
