#include "group.h"
#include "base/mutant.h"
#include "base/event.h"
#include <string.h>

/* The watch over one database.  */
typedef struct
{
  char *id;
  char *address;
  guint64 incarnation;
  gboolean opened;
  gboolean ready;
  gboolean calling;
  GmTime sent;
  GmTime next;
  GmTime answered; /* the last good answer; at first, when it was added */
  gboolean known;  /* status is set */
  FoDatabase status;
} Watch;

struct GpCore
{
  char *name;
  char *host;
  DpCore *dispatch;
  gboolean owned;
  GPtrArray *watches; /* Watch * */
  /* What the control state says of the group.  */
  guint64 term;
  char *primary;
  char *primary_address;
  GmTime report_due;
  GmTime ticked;  /* when gp_tick was last called; 0: never */
  GQueue actions; /* GpAction * */
};

static void
watch_free (Watch *watch)
{
  g_free (watch->id);
  g_free (watch->address);
  g_free (watch);
}

GpCore *
gp_new (const char *name, const char *host, const DpPolicy *policy, GmTime now)
{
  GpCore *core = g_new0 (GpCore, 1);
  core->name = g_strdup (name);
  core->host = g_strdup (host);
  core->dispatch = dp_new (policy, 1);
  core->watches = g_ptr_array_new_with_free_func ((GDestroyNotify)watch_free);
  core->primary = g_strdup ("");
  core->primary_address = g_strdup ("");
  core->report_due = now;
  g_queue_init (&core->actions);
  dp_own (core->dispatch, now, FALSE);
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
  g_ptr_array_unref (core->watches);
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
  /* An entry host may not know yet that this host has started anew, with
     transaction numbers of its own.  */
  if (exec->transaction != 0 && exec->incarnation != incarnation
      && !GM_MUTANT (ANY_INCARNATION))
    return gm_fail (status, GM_TRANSACTION_LOST,
                    "the transaction ended with its dispatcher");
  if (exec->transaction == 0 && !fresh)
    return gm_fail (status, GM_STALE,
                    "not run: the dispatcher is cut off from control");
  if (cs_declaration (state) == NULL
      || cf_service_find (cs_declaration (state), exec->service) == NULL)
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

static Watch *
find_watch (const GpCore *core, const char *id)
{
  for (guint i = 0; i < core->watches->len; i++)
    {
      Watch *watch = g_ptr_array_index (core->watches, i);
      if (strcmp (watch->id, id) == 0)
        return watch;
    }
  return NULL;
}

static GpAction *
push_action (GpCore *core, GpActionType type, const Watch *watch)
{
  GpAction *action = g_new0 (GpAction, 1);
  action->type = type;
  if (watch != NULL)
    {
      g_strlcpy (action->database, watch->id, sizeof action->database);
      action->address = g_strdup (watch->address);
    }
  g_queue_push_tail (&core->actions, action);
  return action;
}

static void
close_watch (GpCore *core, Watch *watch, GmTime next)
{
  if (watch->opened)
    push_action (core, GP_WATCH_CLOSE, watch);
  watch->opened = FALSE;
  watch->ready = FALSE;
  watch->calling = FALSE;
  watch->next = next;
}

static FoCall
owed_call (const GpCore *core, const Watch *watch)
{
  CsGroup group = { core->name, core->term, core->primary, NULL };
  if (!watch->known)
    return FO_CALL_STATUS;
  FoCall call = fo_next_call (&group, watch->id, &watch->status);
  if (call == FO_CALL_FOLLOW && *core->primary_address == '\0')
    return FO_CALL_STATUS;
  return call;
}

static void
start_call (GpCore *core, GmTime now, Watch *watch)
{
  GpAction *action = push_action (core, GP_WATCH_CALL, watch);
  action->call = owed_call (core, watch);
  action->term = core->term;
  action->follow_id = g_strdup (core->primary);
  action->follow_address = g_strdup (core->primary_address);
  watch->calling = TRUE;
  watch->sent = now;
}

static void
poll_watch (GpCore *core, GmTime now, Watch *watch)
{
  watch->next = now + GP_POLL;
  if (!watch->opened)
    {
      watch->opened = TRUE;
      watch->sent = now;
      push_action (core, GP_WATCH_OPEN, watch);
    }
  else if (watch->ready && !watch->calling)
    start_call (core, now, watch);
  else
    watch->next = now + GP_POLL_FAST;
}

static void
tick_watch (GpCore *core, GmTime now, Watch *watch)
{
  gboolean waits = watch->calling || (watch->opened && !watch->ready);
  if (waits && now >= watch->sent + GP_POLL_TIMEOUT)
    {
      /* No answer: the database is frozen, cut off, or gone.  */
      close_watch (core, watch, now + GP_RECONNECT);
      dp_unreachable (core->dispatch, now, watch->id);
    }
  else if (now >= watch->next)
    poll_watch (core, now, watch);
}

void
gp_watch_ready (GpCore *core, GmTime now, const char *id)
{
  Watch *watch = find_watch (core, id);
  if (watch == NULL || !watch->opened)
    return;
  watch->ready = TRUE;
  poll_watch (core, now, watch);
}

void
gp_watch_lost (GpCore *core, GmTime now, const char *id)
{
  Watch *watch = find_watch (core, id);
  if (watch == NULL || !watch->opened)
    return;
  watch->opened = FALSE;
  close_watch (core, watch, now + GP_RECONNECT);
  dp_unreachable (core->dispatch, now, id);
}

static gboolean
is_news (const Watch *watch, const FoDatabase *status)
{
  return !watch->known || watch->status.term != status->term
         || watch->status.primary != status->primary;
}

void
gp_watch_done (GpCore *core, GmTime now, const char *id,
               const FoDatabase *status)
{
  Watch *watch = find_watch (core, id);
  if (watch == NULL || !watch->calling)
    return;
  watch->calling = FALSE;
  if (status == NULL)
    {
      /* A refused order leaves the status to be asked for anew.  */
      watch->known = FALSE;
      watch->next = now + GP_POLL_FAST;
      return;
    }
  if (is_news (watch, status))
    core->report_due = now;
  watch->status = *status;
  watch->known = TRUE;
  watch->answered = now;
  watch->next
      = owed_call (core, watch) != FO_CALL_STATUS ? now : now + GP_POLL;
  dp_status (core->dispatch, now, watch->sent, id, status);
}

static void
append_seen (const GpCore *core, const Watch *watch, GmTime now,
             GByteArray *out)
{
  gboolean reachable = watch->known && watch->ready
                       && now < watch->answered + 2 * GP_POLL_TIMEOUT;
  gboolean primary = strcmp (core->primary, watch->id) == 0;
  const FoDatabase *status = &watch->status;
  WmMessage seen
      = { .type = WM_TYPE_SEEN,
          .seen = { .id = watch->id,
                    .reachable = reachable ? 1 : 0,
                    .primary = status->primary ? 1 : 0,
                    .term = status->term,
                    .last_term = status->last_term,
                    .received = status->received,
                    .applied = status->applied,
                    .silent = (guint64)((now - watch->answered) / GM_MS),
                    .stuck = primary ? dp_stuck_ms (core->dispatch, now) : 0,
                    .open = dp_open_at (core->dispatch, watch->id) } };
  wm_append (out, &seen);
}

static void
send_report (GpCore *core, GmTime now)
{
  GByteArray *out = g_byte_array_new ();
  for (guint i = 0; i < core->watches->len; i++)
    append_seen (core, g_ptr_array_index (core->watches, i), now, out);
  GpAction *action = push_action (core, GP_REPORT_SEND, NULL);
  action->message
      = (WmMessage){ .type = WM_TYPE_REPORT,
                     .report
                     = { .host = g_strdup (core->host),
                         .group = g_strdup (core->name),
                         .term = core->term,
                         .databases = g_byte_array_free_to_bytes (out) } };
  gboolean sealing = core->term > 0 && *core->primary == '\0';
  core->report_due = now + (sealing ? GP_REPORT_SEALING : GP_REPORT);
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

/* A process that was frozen has not listened: the databases' silence begins
   anew, or the first report after the thaw would replace a good primary.  */
static void
forgive_stall (GpCore *core, GmTime now)
{
  GmTime span = core->ticked != 0 ? now - core->ticked : 0;
  core->ticked = now;
  if (span < GP_STALL)
    return;
  dp_stalled (core->dispatch, span);
  for (guint i = 0; i < core->watches->len; i++)
    {
      Watch *watch = g_ptr_array_index (core->watches, i);
      watch->answered = MIN (watch->answered + span, now);
      watch->sent = MIN (watch->sent + span, now);
    }
}

void
gp_tick (GpCore *core, GmTime now)
{
  forgive_stall (core, now);
  dp_tick (core->dispatch, now);
  /* What was begun under ownership still needs confirmed positions.  */
  gboolean watching = core->owned || has_work (core);
  for (guint i = 0; i < core->watches->len; i++)
    if (watching)
      tick_watch (core, now, g_ptr_array_index (core->watches, i));
    else
      close_watch (core, g_ptr_array_index (core->watches, i), now);
  if (core->owned && now >= core->report_due)
    send_report (core, now);
}

static void
drop_watch (GpCore *core, GmTime now, Watch *watch)
{
  close_watch (core, watch, now);
  dp_database_gone (core->dispatch, now, watch->id);
  g_ptr_array_remove (core->watches, watch);
}

static void
set_database (GpCore *core, GmTime now, const CsDatabase *database)
{
  Watch *watch = find_watch (core, database->id);
  if (watch != NULL
      && (watch->incarnation != database->incarnation
          || strcmp (watch->address, database->address) != 0))
    {
      drop_watch (core, now, watch);
      watch = NULL;
    }
  if (watch == NULL)
    {
      watch = g_new0 (Watch, 1);
      watch->id = g_strdup (database->id);
      watch->address = g_strdup (database->address);
      watch->incarnation = database->incarnation;
      watch->answered = now;
      g_ptr_array_add (core->watches, watch);
    }
  dp_database (core->dispatch, now, database->id, (guint)database->slots,
               (guint)database->connections, database->leaving);
}

static void
update_databases (GpCore *core, GmTime now, const CsState *state)
{
  for (guint i = core->watches->len; i-- > 0;)
    {
      Watch *watch = g_ptr_array_index (core->watches, i);
      if (!g_hash_table_contains (state->databases, watch->id))
        drop_watch (core, now, watch);
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
  dp_group (core->dispatch, now, group->term, group->primary);
  for (guint i = 0; changed && i < core->watches->len; i++)
    ((Watch *)g_ptr_array_index (core->watches, i))->next = now;
}

static void
update_owner (GpCore *core, GmTime now, const CsState *state)
{
  const CsHost *owner = cs_owner (state, core->name);
  gboolean owned = owner != NULL && strcmp (owner->host, core->host) == 0
                   && cs_copies (state, core->name) > 0;
  if (owned == core->owned)
    return;
  core->owned = owned;
  gm_log (GM_EV_OWNER, "%s: %s", core->name, owned ? "taken" : "given up");
  dp_own (core->dispatch, now, owned);
  for (guint i = 0; i < core->watches->len; i++)
    {
      Watch *watch = g_ptr_array_index (core->watches, i);
      /* The time before is no silence of the database.  */
      watch->answered = now;
    }
}

void
gp_update (GpCore *core, GmTime now, const CsState *state)
{
  dp_set_copies (core->dispatch, MAX (cs_copies (state, core->name), 1));
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
      Watch *watch = find_watch (core, action->dispatch.database);
      if (action->dispatch.type == DP_PROBE)
        {
          if (watch != NULL && watch->ready && !watch->calling)
            {
              poll_watch (core, now, watch);
              return gp_take_action (core, now, action);
            }
          continue;
        }
      action->type = GP_DISPATCH;
      action->address = watch != NULL ? g_strdup (watch->address) : NULL;
      return TRUE;
    }
  return FALSE;
}
