#include "group.h"
#include "base/mutant.h"
#include "base/event.h"
#include <string.h>

/* The monitoring of one database.  */
typedef struct
{
  char *id;
  char *address;
  guint64 incarnation;
  gboolean open_requested;
  gboolean connected;
  gboolean call_pending;
  GmTime last_sent;
  GmTime next_poll;
  GmTime last_answer; /* successful; initially the time of creation */
  gboolean status_known;
  FoDatabaseStatus status;
} Monitor;

struct GpCore
{
  char *name;
  char *host;
  DpCore *dispatch;
  gboolean owned;
  GPtrArray *monitors; /* Monitor * */
  /* The group's term and primary in the control state.  */
  guint64 term;
  char *primary;
  char *primary_address;
  GmTime next_report;
  GmTime last_tick; /* 0: never */
  GQueue actions;   /* GpAction * */
};

static void
monitor_free (Monitor *monitor)
{
  g_free (monitor->id);
  g_free (monitor->address);
  g_free (monitor);
}

GpCore *
gp_new (const char *name, const char *host, const DpPolicy *policy, GmTime now)
{
  GpCore *core = g_new0 (GpCore, 1);
  core->name = g_strdup (name);
  core->host = g_strdup (host);
  core->dispatch = dp_new (policy, 1);
  core->monitors
      = g_ptr_array_new_with_free_func ((GDestroyNotify)monitor_free);
  core->primary = g_strdup ("");
  core->primary_address = g_strdup ("");
  core->next_report = now;
  g_queue_init (&core->actions);
  dp_set_owned (core->dispatch, now, FALSE);
  return core;
}

void
gp_action_clear (GpAction *action)
{
  g_free (action->address);
  g_free (action->follow_id);
  g_free (action->follow_address);
  if (action->type == GP_REPORT_SEND)
    wm_clear (&action->message);
}

void
gp_free (GpCore *core)
{
  GpAction *action;
  while ((action = g_queue_pop_head (&core->actions)) != NULL)
    {
      gp_action_clear (action);
      g_free (action);
    }
  dp_free (core->dispatch);
  g_ptr_array_unref (core->monitors);
  g_free (core->primary);
  g_free (core->primary_address);
  g_free (core->name);
  g_free (core->host);
  g_free (core);
}

DpCore *
gp_dispatch (GpCore *core)
{
  return core->dispatch;
}

gboolean
gp_owned (const GpCore *core)
{
  return core->owned;
}

GmKind
gp_check (const GpCore *core, const CsState *state, gboolean fresh,
          guint64 incarnation, const struct wm_exec *exec, GmStatus *status)
{
  if (exec->operation >= DP_OPERATION_COUNT)
    return gm_fail (status, GM_INVALID, "not run: no such operation");
  if (core == NULL)
    return gm_fail (status, GM_DRAINING,
                    "not run: this host does not dispatch for the group");
  /* The entry host may not know yet that this host has restarted, which also
     restarts its transaction numbers.  */
  if (exec->transaction != 0 && exec->incarnation != incarnation
      && !GM_MUTANT (ANY_INCARNATION))
    return gm_fail (status, GM_TRANSACTION_LOST,
                    "the transaction ended with its dispatcher");
  if (exec->transaction == 0 && !fresh)
    return gm_fail (status, GM_STALE,
                    "not run: the dispatcher is cut off from control");
  gboolean known
      = cs_declaration (state) != NULL
        && cf_service_find (cs_declaration (state), exec->service) != NULL;
  if (!known && exec->config > state->number)
    return gm_fail (status, GM_STALE,
                    "not run: the dispatcher does not know the service yet");
  if (!known)
    return gm_fail (status, GM_UNKNOWN_SERVICE, "not run: no such service");
  return gm_ok (status);
}

void
gp_submit (GpCore *core, GmTime now, const CsState *state, gpointer owner,
           const struct wm_exec *exec)
{
  const CfService *service
      = cf_service_find (cs_declaration (state), exec->service);
  DpRequest *request = dp_request_from (exec, service, now);
  request->owner = owner;
  dp_submit (core->dispatch, now, request);
}

static Monitor *
find_monitor (const GpCore *core, const char *id)
{
  for (guint i = 0; i < core->monitors->len; i++)
    {
      Monitor *monitor = g_ptr_array_index (core->monitors, i);
      if (strcmp (monitor->id, id) == 0)
        return monitor;
    }
  return NULL;
}

static GpAction *
push_action (GpCore *core, GpActionType type, const Monitor *monitor)
{
  GpAction *action = g_new0 (GpAction, 1);
  action->type = type;
  if (monitor != NULL)
    {
      g_strlcpy (action->database, monitor->id, sizeof action->database);
      action->address = g_strdup (monitor->address);
    }
  g_queue_push_tail (&core->actions, action);
  return action;
}

static void
close_monitor (GpCore *core, Monitor *monitor, GmTime next)
{
  if (monitor->open_requested)
    push_action (core, GP_MONITOR_CLOSE, monitor);
  monitor->open_requested = FALSE;
  monitor->connected = FALSE;
  monitor->call_pending = FALSE;
  monitor->next_poll = next;
}

static FoCall
next_call (const GpCore *core, const Monitor *monitor)
{
  CsGroup group = { core->name, core->term, core->primary, NULL };
  if (!monitor->status_known)
    return FO_CALL_STATUS;
  FoCall call = fo_next_call (&group, monitor->id, &monitor->status);
  if (call == FO_CALL_FOLLOW && *core->primary_address == '\0')
    return FO_CALL_STATUS;
  return call;
}

static void
start_call (GpCore *core, GmTime now, Monitor *monitor)
{
  GpAction *action = push_action (core, GP_MONITOR_CALL, monitor);
  action->call = next_call (core, monitor);
  action->term = core->term;
  action->follow_id = g_strdup (core->primary);
  action->follow_address = g_strdup (core->primary_address);
  monitor->call_pending = TRUE;
  monitor->last_sent = now;
}

static void
poll_database (GpCore *core, GmTime now, Monitor *monitor)
{
  monitor->next_poll = now + GP_POLL_INTERVAL;
  if (!monitor->open_requested)
    {
      monitor->open_requested = TRUE;
      monitor->last_sent = now;
      push_action (core, GP_MONITOR_OPEN, monitor);
    }
  else if (monitor->connected && !monitor->call_pending)
    start_call (core, now, monitor);
  else
    monitor->next_poll = now + GP_POLL_RETRY_DELAY;
}

static void
tick_monitor (GpCore *core, GmTime now, Monitor *monitor)
{
  gboolean waits = monitor->call_pending
                   || (monitor->open_requested && !monitor->connected);
  if (waits && now >= monitor->last_sent + GP_POLL_TIMEOUT)
    {
      /* The database hangs, is disconnected, or was stopped.  */
      close_monitor (core, monitor, now + GP_RECONNECT_DELAY);
      dp_set_unreachable (core->dispatch, now, monitor->id);
    }
  else if (now >= monitor->next_poll)
    poll_database (core, now, monitor);
}

void
gp_monitor_ready (GpCore *core, GmTime now, const char *id)
{
  Monitor *monitor = find_monitor (core, id);
  if (monitor == NULL || !monitor->open_requested)
    return;
  monitor->connected = TRUE;
  poll_database (core, now, monitor);
}

void
gp_monitor_lost (GpCore *core, GmTime now, const char *id)
{
  Monitor *monitor = find_monitor (core, id);
  if (monitor == NULL || !monitor->open_requested)
    return;
  monitor->open_requested = FALSE;
  close_monitor (core, monitor, now + GP_RECONNECT_DELAY);
  dp_set_unreachable (core->dispatch, now, id);
}

static gboolean
role_changed (const Monitor *monitor, const FoDatabaseStatus *status)
{
  return !monitor->status_known || monitor->status.term != status->term
         || monitor->status.primary != status->primary;
}

void
gp_monitor_call_done (GpCore *core, GmTime now, const char *id,
                      const FoDatabaseStatus *status)
{
  Monitor *monitor = find_monitor (core, id);
  if (monitor == NULL || !monitor->call_pending)
    return;
  monitor->call_pending = FALSE;
  if (status == NULL)
    {
      /* The status after a failed call is unknown and is fetched again.  */
      monitor->status_known = FALSE;
      monitor->next_poll = now + GP_POLL_RETRY_DELAY;
      return;
    }
  if (role_changed (monitor, status))
    core->next_report = now;
  monitor->status = *status;
  monitor->status_known = TRUE;
  monitor->last_answer = now;
  monitor->next_poll = next_call (core, monitor) != FO_CALL_STATUS
                           ? now
                           : now + GP_POLL_INTERVAL;
  dp_report_status (core->dispatch, now, monitor->last_sent, id, status);
}

static void
append_seen (const GpCore *core, const Monitor *monitor, GmTime now,
             GByteArray *out)
{
  gboolean reachable = monitor->status_known && monitor->connected
                       && now < monitor->last_answer + 2 * GP_POLL_TIMEOUT;
  gboolean primary = strcmp (core->primary, monitor->id) == 0;
  const FoDatabaseStatus *status = &monitor->status;
  WmMessage seen
      = { .type = WM_TYPE_SEEN,
          .seen
          = { .id = monitor->id,
              .reachable = reachable ? 1 : 0,
              .primary = status->primary ? 1 : 0,
              .term = status->term,
              .last_term = status->last_term,
              .received = status->received,
              .applied = status->applied,
              .silent = (guint64)((now - monitor->last_answer) / GM_MS),
              .stuck = primary ? dp_stuck_ms (core->dispatch, now) : 0,
              .open = dp_in_progress_at (core->dispatch, monitor->id) } };
  wm_append (out, &seen);
}

static void
send_report (GpCore *core, GmTime now)
{
  GByteArray *out = g_byte_array_new ();
  for (guint i = 0; i < core->monitors->len; i++)
    append_seen (core, g_ptr_array_index (core->monitors, i), now, out);
  GpAction *action = push_action (core, GP_REPORT_SEND, NULL);
  action->message
      = (WmMessage){ .type = WM_TYPE_REPORT,
                     .report
                     = { .host = g_strdup (core->host),
                         .group = g_strdup (core->name),
                         .term = core->term,
                         .databases = g_byte_array_free_to_bytes (out) } };
  gboolean sealing = core->term > 0 && *core->primary == '\0';
  core->next_report
      = now + (sealing ? GP_REPORT_INTERVAL_SEALING : GP_REPORT_INTERVAL);
}

static gboolean
has_work (const GpCore *core)
{
  DpCounts counts;
  dp_counts (core->dispatch, &counts);
  return counts.queued + counts.running + counts.confirming + counts.unresolved
             + counts.transactions
         > 0;
}

/* Detects that this process did not run for a while, and doesn't count that
   time as silence of the databases.  Otherwise the first report afterwards
   would cause the failover of a healthy primary.  */
static void
exclude_stall (GpCore *core, GmTime now)
{
  GmTime span = core->last_tick != 0 ? now - core->last_tick : 0;
  core->last_tick = now;
  if (span < GP_STALL_MIN)
    return;
  dp_exclude_stall (core->dispatch, span);
  for (guint i = 0; i < core->monitors->len; i++)
    {
      Monitor *monitor = g_ptr_array_index (core->monitors, i);
      monitor->last_answer = MIN (monitor->last_answer + span, now);
      monitor->last_sent = MIN (monitor->last_sent + span, now);
    }
}

void
gp_tick (GpCore *core, GmTime now)
{
  exclude_stall (core, now);
  dp_tick (core->dispatch, now);
  /* After ownership has moved, requests in progress still need status calls to
     confirm their positions.  */
  gboolean watching = core->owned || has_work (core);
  for (guint i = 0; i < core->monitors->len; i++)
    if (watching)
      tick_monitor (core, now, g_ptr_array_index (core->monitors, i));
    else
      close_monitor (core, g_ptr_array_index (core->monitors, i), now);
  if (core->owned && now >= core->next_report)
    send_report (core, now);
}

static void
remove_monitor (GpCore *core, GmTime now, Monitor *monitor)
{
  close_monitor (core, monitor, now);
  dp_remove_database (core->dispatch, now, monitor->id);
  g_ptr_array_remove (core->monitors, monitor);
}

static void
set_database (GpCore *core, GmTime now, const CsDatabase *database)
{
  Monitor *monitor = find_monitor (core, database->id);
  if (monitor != NULL
      && (monitor->incarnation != database->incarnation
          || strcmp (monitor->address, database->address) != 0))
    {
      remove_monitor (core, now, monitor);
      monitor = NULL;
    }
  if (monitor == NULL)
    {
      monitor = g_new0 (Monitor, 1);
      monitor->id = g_strdup (database->id);
      monitor->address = g_strdup (database->address);
      monitor->incarnation = database->incarnation;
      monitor->last_answer = now;
      g_ptr_array_add (core->monitors, monitor);
    }
  dp_set_database (core->dispatch, now, database->id, (guint)database->slots,
                   (guint)database->connections, database->leaving);
}

static void
update_databases (GpCore *core, GmTime now, const CsState *state)
{
  for (guint i = core->monitors->len; i-- > 0;)
    {
      Monitor *monitor = g_ptr_array_index (core->monitors, i);
      if (!g_hash_table_contains (state->databases, monitor->id))
        remove_monitor (core, now, monitor);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((CsDatabase *)value)->group, core->name) == 0)
      set_database (core, now, value);
}

static void
update_term (GpCore *core, GmTime now, const CsState *state)
{
  const CsGroup *group = cs_group (state, core->name);
  if (group == NULL)
    return;
  const CsDatabase *primary
      = g_hash_table_lookup (state->databases, group->primary);
  gboolean changed = core->term != group->term
                     || strcmp (core->primary, group->primary) != 0;
  core->term = group->term;
  g_free (core->primary);
  g_free (core->primary_address);
  core->primary = g_strdup (group->primary);
  core->primary_address = g_strdup (primary != NULL ? primary->address : "");
  dp_set_term (core->dispatch, now, group->term, group->primary);
  for (guint i = 0; changed && i < core->monitors->len; i++)
    ((Monitor *)g_ptr_array_index (core->monitors, i))->next_poll = now;
}

static void
update_owner (GpCore *core, GmTime now, const CsState *state)
{
  const CsHost *owner = cs_dispatcher (state, core->name);
  gboolean owned = owner != NULL && strcmp (owner->host, core->host) == 0
                   && cs_database_count (state, core->name) > 0;
  if (owned == core->owned)
    return;
  core->owned = owned;
  gm_log (GM_EV_OWNER, "%s: %s", core->name, owned ? "taken" : "given up");
  dp_set_owned (core->dispatch, now, owned);
  for (guint i = 0; i < core->monitors->len; i++)
    {
      Monitor *monitor = g_ptr_array_index (core->monitors, i);
      /* The monitor may have been idle; don't count that time as silence.  */
      monitor->last_answer = now;
    }
}

void
gp_update (GpCore *core, GmTime now, const CsState *state)
{
  dp_set_copies (core->dispatch,
                 MAX (cs_database_count (state, core->name), 1));
  if (cs_declaration (state) != NULL)
    dp_set_floors (core->dispatch, cs_declaration (state)->floor);
  update_databases (core, now, state);
  update_term (core, now, state);
  update_owner (core, now, state);
}

gboolean
gp_take_action (GpCore *core, GmTime now, GpAction *action)
{
  GpAction *first = g_queue_pop_head (&core->actions);
  if (first != NULL)
    {
      *action = *first;
      g_free (first);
      return TRUE;
    }
  memset (action, 0, sizeof *action);
  while (dp_take_action (core->dispatch, &action->dispatch))
    {
      Monitor *monitor = find_monitor (core, action->dispatch.database);
      if (action->dispatch.type == DP_PROBE)
        {
          if (monitor != NULL && monitor->connected && !monitor->call_pending)
            {
              poll_database (core, now, monitor);
              return gp_take_action (core, now, action);
            }
          continue;
        }
      action->type = GP_DISPATCH_ACTION;
      action->address = monitor != NULL ? g_strdup (monitor->address) : NULL;
      return TRUE;
    }
  return FALSE;
}
