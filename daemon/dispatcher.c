#include "dispatcher.h"
#include "dbapi/dbapi.h"
#include "dispatch/group.h"
#include "subscription.h"
#include <string.h>

#define TICK_MS 5
#define STATUS_BYTES_MAX 65536 /* of the rows that a status call returns */

typedef struct Group Group;

/* A database connection.  With NUMBER 0 it is the one that failover uses to
   watch the database; otherwise the dispatch core asked for it.  */
typedef struct
{
  Group *group;
  guint64 number;
  char database[DP_ID_MAX];
  DbConn *conn;
  GpAction watch_call; /* owns the strings of the watch's running call */
} Conn;

struct Group
{
  Dispatcher *dispatcher;
  GpCore *core;
  gboolean pumping;
  GHashTable *conns;   /* number -> Conn */
  GHashTable *watches; /* database -> Conn */
};

struct Dispatcher
{
  DaemonTask task;
  Daemon *daemon;
  GHashTable *groups; /* name -> Group */
  guint timer;
};

static GmTime
group_now (const Group *g)
{
  return daemon_now (g->dispatcher->daemon);
}

static void pump (Group *g);

static void
conn_free (Conn *c)
{
  if (c->conn != NULL)
    db_close (c->conn);
  gp_action_clear (&c->watch_call);
  g_free (c);
}

static void
conn_ready (DbConn *conn, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  Group *g = c->group;
  gm_count (GM_M_connections_opened_total, 1);
  if (c->number == 0)
    gp_monitor_ready (g->core, group_now (g), c->database);
  else
    dp_connected (gp_dispatch (g->core), group_now (g), c->number);
  pump (g);
}

static void
conn_done (DbConn *conn, const DpOutcome *outcome, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  Group *g = c->group;
  gboolean has_status = outcome->kind == GM_OK && outcome->has_after;
  if (c->number == 0)
    gp_monitor_call_done (g->core, group_now (g), c->database,
                          has_status ? &outcome->after : NULL);
  else
    dp_request_done (gp_dispatch (g->core), group_now (g), c->number, outcome);
  pump (g);
}

static void
conn_lost (DbConn *conn, const char *message, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  Group *g = c->group;
  guint64 number = c->number;
  g_autofree char *database = g_strdup (c->database);
  gm_count (GM_M_connections_lost_total, 1);
  gm_log (GM_EV_CONNECTION_LOST, "%s: %s", database, message);
  c->conn = NULL;
  if (number == 0)
    {
      g_hash_table_remove (g->watches, database);
      gp_monitor_lost (g->core, group_now (g), database);
    }
  else
    {
      g_hash_table_remove (g->conns, &number);
      dp_disconnected (gp_dispatch (g->core), group_now (g), number);
    }
  pump (g);
}

static const DbHandler conn_handler
    = { .ready = conn_ready, .done = conn_done, .lost = conn_lost };

static void
open_conn (Group *g, const char *database, const char *address, guint64 number,
           gsize rows_max)
{
  Conn *c = g_new0 (Conn, 1);
  DbTarget target = { .rows_max = rows_max };
  c->group = g;
  c->number = number;
  g_strlcpy (c->database, database, sizeof c->database);
  if (number == 0)
    g_hash_table_replace (g->watches, c->database, c);
  else
    g_hash_table_insert (g->conns, &c->number, c);
  if (address == NULL || !cf_address_parse (address, &target.address))
    target.address.ip = g_strdup ("127.0.0.1");
  c->conn = db_postgres_open (&target, &conn_handler, c);
  g_free (target.address.ip);
}

static void
run_request (Group *g, const DpAction *action)
{
  static const DbCallType calls[] = {
    [DP_READ] = DB_READ,       [DP_WRITE] = DB_WRITE,
    [DP_BEGIN] = DB_BEGIN,     [DP_STATEMENT] = DB_STATEMENT,
    [DP_COMMIT] = DB_COMMIT,   [DP_ROLLBACK] = DB_ROLLBACK,
    [DP_OUTCOME] = DB_OUTCOME,
  };
  const DpRequest *r = action->request;
  Conn *c = g_hash_table_lookup (g->conns, &action->connection);
  if (c == NULL || c->conn == NULL)
    return;
  DbCall call = { .type = calls[r->operation],
                  .statement = r->statement != NULL ? r->statement : "",
                  .params = r->params,
                  .request_id = r->request_id };
  db_run (c->conn, &call);
}

/* Runs a call on the watch's connection, which takes ownership of ACTION's
   strings.  */
static void
run_watch_call (Group *g, GpAction *action)
{
  static const DbCallType calls[] = { [FO_CALL_STATUS] = DB_STATUS,
                                      [FO_CALL_SEAL] = DB_SEAL,
                                      [FO_CALL_PROMOTE] = DB_PROMOTE,
                                      [FO_CALL_FOLLOW] = DB_FOLLOW };
  Conn *c = g_hash_table_lookup (g->watches, action->database);
  if (c == NULL || c->conn == NULL)
    {
      gp_action_clear (action);
      return;
    }
  gp_action_clear (&c->watch_call);
  c->watch_call = *action;
  DbCall call = { .type = calls[action->call],
                  .term = action->term,
                  .follow_id = action->follow_id,
                  .follow_address = action->follow_address };
  db_run (c->conn, &call);
}

static void
count_answer (const DpRequest *r)
{
  if (r->kind == GM_OK && r->original_operation == DP_READ)
    gm_count (r->replica ? GM_M_reads_replica_total : GM_M_reads_primary_total,
              1);
  else if (r->kind == GM_OK
           && (r->original_operation == DP_WRITE
               || r->original_operation == DP_COMMIT))
    gm_count (GM_M_writes_total, 1);
}

/* Answers R over the link that it came by, if that link is still up, and frees
   R.  */
static void
send_result (Dispatcher *d, DpRequest *r)
{
  LkLink *link = daemon_link (d->daemon, GPOINTER_TO_SIZE (r->owner));
  WmMessage m = { .type = WM_TYPE_RESULT };
  dp_request_result (r, &m);
  count_answer (r);
  if (link != NULL)
    lk_send (link, &m);
  dp_request_free (r);
}

static void
run_dispatch_action (Group *g, const GpAction *action)
{
  const DpAction *a = &action->dispatch;
  const CfSettings *settings = g->dispatcher->daemon->settings;
  if (a->type == DP_OPEN)
    open_conn (g, a->database, action->address, a->connection,
               (gsize)settings->answer_max);
  else if (a->type == DP_CLOSE)
    g_hash_table_remove (g->conns, &a->connection);
  else if (a->type == DP_RUN)
    run_request (g, a);
  else if (a->type == DP_ANSWER)
    send_result (g->dispatcher, a->request);
}

static void
run_action (Group *g, GpAction *action)
{
  if (action->type == GP_MONITOR_CALL)
    {
      run_watch_call (g, action);
      return;
    }
  if (action->type == GP_DISPATCH_ACTION)
    run_dispatch_action (g, action);
  else if (action->type == GP_MONITOR_OPEN)
    open_conn (g, action->database, action->address, 0, STATUS_BYTES_MAX);
  else if (action->type == GP_MONITOR_CLOSE)
    g_hash_table_remove (g->watches, action->database);
  else
    subscription_send (g->dispatcher->daemon->subscription, &action->message);
  gp_action_clear (action);
}

/* Carries out the actions that the core has queued.  */
static void
pump (Group *g)
{
  GpAction action;
  /* An action may call this function again; the outer call then takes the
     remaining actions.  */
  if (g->pumping)
    return;
  g->pumping = TRUE;
  while (gp_take_action (g->core, group_now (g), &action))
    run_action (g, &action);
  g->pumping = FALSE;
}

static void
group_free (Group *g)
{
  g_hash_table_unref (g->conns);
  g_hash_table_unref (g->watches);
  gp_free (g->core);
  g_free (g);
}

static Group *
group_new (Dispatcher *d, const char *name)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  Group *g = g_new0 (Group, 1);
  g->dispatcher = d;
  g->core = gp_new (name, d->daemon->settings->host, &policy,
                    daemon_now (d->daemon));
  g->conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                    (GDestroyNotify)conn_free);
  g->watches = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      (GDestroyNotify)conn_free);
  g_hash_table_insert (d->groups, g_strdup (name), g);
  return g;
}

static void
dispatcher_state_changed (DaemonTask *task)
{
  Dispatcher *d = (Dispatcher *)task;
  const CsState *state = subscription_state (d->daemon->subscription);
  GHashTableIter iter;
  gpointer value;
  if (cs_declaration (state) == NULL)
    return;
  g_hash_table_iter_init (&iter, state->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const char *name = ((CsGroup *)value)->group;
      const CsHost *owner = cs_dispatcher (state, name);
      Group *g = g_hash_table_lookup (d->groups, name);
      gboolean owned_here
          = owner != NULL
            && strcmp (owner->host, d->daemon->settings->host) == 0;
      if (g == NULL && !owned_here)
        continue;
      if (g == NULL)
        g = group_new (d, name);
      gp_update (g->core, daemon_now (d->daemon), state);
      pump (g);
    }
}

static gboolean
tick (gpointer data)
{
  Dispatcher *d = data;
  GHashTableIter iter;
  gpointer value;
  guint64 queued = 0;
  g_hash_table_iter_init (&iter, d->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Group *g = value;
      DpCounts counts;
      gp_tick (g->core, group_now (g));
      pump (g);
      dp_counts (gp_dispatch (g->core), &counts);
      queued += counts.queued;
    }
  gm_gauge (GM_M_queue_length, queued);
  return G_SOURCE_CONTINUE;
}

/* Answers EXEC with an error over the link NUMBER, without a group.  */
static void
send_refusal (const Dispatcher *d, guint64 number, const struct wm_exec *exec,
              GmKind kind, const char *message)
{
  LkLink *link = daemon_link (d->daemon, number);
  WmMessage m = { .type = WM_TYPE_RESULT,
                  .result = { .sequence = exec->sequence,
                              .generation = exec->generation,
                              .kind = kind,
                              .message = (char *)message } };
  if (link != NULL)
    lk_send (link, &m);
}

static gboolean
dispatcher_message (DaemonTask *task, guint64 number, LkLink *link,
                    const WmMessage *message)
{
  (void)link;
  Dispatcher *d = (Dispatcher *)task;
  if (message->type != WM_TYPE_EXEC)
    return FALSE;
  const struct wm_exec *m = &message->exec;
  const Subscription *subscription = d->daemon->subscription;
  const CsState *state = subscription_state (subscription);
  Group *g = g_hash_table_lookup (d->groups, m->group);
  GmStatus status = GM_STATUS_UNSET;
  GmKind kind = gp_check (g != NULL ? g->core : NULL, state,
                          subscription_is_fresh (subscription),
                          d->daemon->identity.incarnation, m, &status);
  if (kind != GM_OK || g == NULL)
    {
      send_refusal (d, number, m, kind, status.message);
      return TRUE;
    }
  gp_submit (g->core, group_now (g), state, GSIZE_TO_POINTER (number), m);
  pump (g);
  return TRUE;
}

static guint
dispatcher_in_progress (const DaemonTask *task)
{
  const Dispatcher *d = (const Dispatcher *)task;
  GHashTableIter iter;
  gpointer value;
  guint open = 0;
  g_hash_table_iter_init (&iter, d->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DpCounts counts;
      dp_counts (gp_dispatch (((Group *)value)->core), &counts);
      open += counts.queued + counts.running + counts.confirming
              + counts.unresolved + counts.transactions;
    }
  return open;
}

static void
dispatcher_free (DaemonTask *task)
{
  Dispatcher *d = (Dispatcher *)task;
  g_source_remove (d->timer);
  g_hash_table_unref (d->groups);
  g_free (d);
}

static const DaemonTaskClass dispatcher_class
    = { .message = dispatcher_message,
        .state_changed = dispatcher_state_changed,
        .in_progress = dispatcher_in_progress,
        .free = dispatcher_free };

Dispatcher *
dispatcher_new (Daemon *daemon)
{
  Dispatcher *d = g_new0 (Dispatcher, 1);
  d->task.class = &dispatcher_class;
  d->daemon = daemon;
  d->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                     (GDestroyNotify)group_free);
  d->timer = g_timeout_add (TICK_MS, tick, d);
  daemon_add (daemon, &d->task);
  return d;
}
