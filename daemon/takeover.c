#include "takeover.h"
#include <string.h>

#define STATUS_BYTES_MAX 4096 /* a status is one short row */
/* A connection that has been idle for this long is closed: a change of primary
   has ended by then.  */
#define IDLE_TIMEOUT (3 * GM_SECOND)

/* The connection to one database, and its running call.  */
typedef struct
{
  Takeover *takeover;
  char *id;
  char *address;
  DbConn *conn;
  gboolean ready;
  gboolean calling;
  FoCall call;
  guint64 term;
  GmTime call_started;
  GmTime last_used;
} DatabaseConn;

/* A promotion order that the platform has not answered yet.  */
typedef struct
{
  Takeover *takeover; /* NULL once the takeover has been freed */
  char *group;
  guint64 token;
} Order;

struct Takeover
{
  Daemon *daemon;
  ToCore *core;
  TakeoverDriver driver;
  GHashTable *conns; /* id -> DatabaseConn */
  GPtrArray *orders; /* Order * */
};

static void
conn_free (DatabaseConn *line)
{
  if (line->conn != NULL)
    db_close (line->conn);
  g_free (line->id);
  g_free (line->address);
  g_free (line);
}

static GmTime
takeover_now (const Takeover *t)
{
  return daemon_now (t->daemon);
}

static void
run_call (DatabaseConn *line)
{
  static const DbCallType calls[]
      = { [FO_CALL_STATUS] = DB_STATUS,   [FO_CALL_SEAL] = DB_SEAL,
          [FO_CALL_PROMOTE] = DB_PROMOTE, [FO_CALL_FOLLOW] = DB_FOLLOW,
          [FO_CALL_UNSEAL] = DB_UNSEAL,   [FO_CALL_STEP_DOWN] = DB_STEP_DOWN };
  DbCall call = { .type = calls[line->call], .term = line->term };
  db_run (line->conn, &call);
}

static void
conn_ready (DbConn *conn, gpointer owner)
{
  (void)conn;
  DatabaseConn *line = owner;
  line->ready = TRUE;
  if (line->calling)
    run_call (line);
}

/* Reports the end of the running call, if there is one, to the core.  */
static void
end_call (DatabaseConn *line, gboolean answered,
          const FoDatabaseStatus *status)
{
  Takeover *t = line->takeover;
  if (!line->calling)
    return;
  line->calling = FALSE;
  line->last_used = takeover_now (t);
  to_call_done (t->core, takeover_now (t), line->id, answered, status);
}

static void
conn_done (DbConn *conn, const DpOutcome *outcome, gpointer owner)
{
  (void)conn;
  gboolean has_status = outcome->kind == GM_OK && outcome->has_after;
  end_call (owner, TRUE, has_status ? &outcome->after : NULL);
}

static void
conn_lost (DbConn *conn, const char *message, gpointer owner)
{
  (void)conn;
  DatabaseConn *line = owner;
  Takeover *t = line->takeover;
  gm_log (GM_EV_CONNECTION_LOST, "%s, for a change of primary: %s", line->id,
          message);
  line->conn = NULL;
  end_call (line, FALSE, NULL);
  g_hash_table_remove (t->conns, line->id);
}

static const DbHandler conn_handler
    = { .ready = conn_ready, .done = conn_done, .lost = conn_lost };

/* The connection to the database of ACTION, opened anew when the address has
   changed; NULL when the address can't be parsed.  */
static DatabaseConn *
get_conn (Takeover *t, const ToAction *action)
{
  DatabaseConn *line = g_hash_table_lookup (t->conns, action->id);
  if (line != NULL && strcmp (line->address, action->address) == 0)
    return line;
  DbTarget target = { .rows_max = STATUS_BYTES_MAX,
                      .group = action->group,
                      .id = action->id };
  if (!cf_address_parse (action->address, &target.address))
    return NULL;
  line = g_new0 (DatabaseConn, 1);
  line->takeover = t;
  line->id = g_strdup (action->id);
  line->address = g_strdup (action->address);
  g_hash_table_replace (t->conns, line->id, line);
  line->conn = t->driver.open (&target, &conn_handler, line);
  g_free (target.address.ip);
  return line;
}

static void
start_call (Takeover *t, const ToAction *action)
{
  DatabaseConn *line = get_conn (t, action);
  if (line == NULL || line->calling)
    {
      to_call_done (t->core, takeover_now (t), action->id, FALSE, NULL);
      return;
    }
  line->calling = TRUE;
  line->call = action->call;
  line->term = action->term;
  line->call_started = takeover_now (t);
  line->last_used = line->call_started;
  if (line->ready)
    run_call (line);
}

static void
order_ended (ToOrderResult end, gpointer data)
{
  static const char *const texts[] = { [TO_DONE] = "done",
                                       [TO_REFUSED] = "refused",
                                       [TO_UNKNOWN] = "without an answer" };
  Order *order = data;
  Takeover *t = order->takeover;
  gm_log (GM_EV_PROMOTION, "%s: token %u: %s", order->group,
          (guint)order->token, texts[end]);
  if (t != NULL)
    {
      g_ptr_array_remove_fast (t->orders, order);
      to_order_done (t->core, takeover_now (t), order->group, order->token,
                     end);
    }
  g_free (order->group);
  g_free (order);
}

static void
start_order (Takeover *t, const ToAction *action)
{
  Order *order = g_new0 (Order, 1);
  order->takeover = t;
  order->group = g_strdup (action->group);
  order->token = action->token;
  g_ptr_array_add (t->orders, order);
  gm_log (GM_EV_PROMOTION, "%s: token %u: ordered for %s", action->group,
          (guint)action->token, action->id);
  t->driver.order (t->driver.data, action->group, action->id,
                   t->daemon->settings->host, action->token, order_ended,
                   order);
}

/* Whether a connection is to be closed: its call has timed out, which is then
   reported, or it has been idle for too long.  */
static gboolean
is_expired (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  DatabaseConn *line = value;
  GmTime now = takeover_now (data);
  if (line->calling && now >= line->call_started + TO_CALL_TIMEOUT)
    {
      end_call (line, FALSE, NULL);
      return TRUE;
    }
  return !line->calling && now >= line->last_used + IDLE_TIMEOUT;
}

void
takeover_pump (Takeover *t)
{
  ToAction action;
  g_hash_table_foreach_remove (t->conns, is_expired, t);
  while (to_take_action (t->core, &action))
    {
      if (action.type == TO_CALL)
        start_call (t, &action);
      else
        start_order (t, &action);
      to_action_clear (&action);
    }
}

Takeover *
takeover_new (Daemon *daemon, ToCore *core, const TakeoverDriver *driver)
{
  Takeover *t = g_new0 (Takeover, 1);
  t->daemon = daemon;
  t->core = core;
  t->driver = *driver;
  t->conns = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)conn_free);
  t->orders = g_ptr_array_new ();
  return t;
}

void
takeover_free (Takeover *t)
{
  if (t == NULL)
    return;
  for (guint i = 0; i < t->orders->len; i++)
    ((Order *)g_ptr_array_index (t->orders, i))->takeover = NULL;
  g_ptr_array_unref (t->orders);
  g_hash_table_unref (t->conns);
  g_free (t);
}
