#include "takeover.h"
#include <string.h>

#define ROWS_MAX 4096 /* bytes; a status is one short row */
#define IDLE                                                                  \
  (3 * GM_SECOND) /* then a connection is closed: a change of                 \
                     primary is over by then */

/* The connection to one database.  */
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
  GmTime started;
  GmTime used;
} Line;

/* An order on its way.  */
typedef struct
{
  Takeover *takeover; /* NULL once that is gone */
  char *group;
  guint64 token;
} Order;

struct Takeover
{
  Daemon *daemon;
  ToCore *core;
  TakeoverDriver driver;
  GHashTable *lines; /* id -> Line */
  GPtrArray *orders; /* Order * */
};

static void
line_free (Line *line)
{
  if (line->conn != NULL)
    db_close (line->conn);
  g_free (line->id);
  g_free (line->address);
  g_free (line);
}

static GmTime
now_of (const Takeover *t)
{
  return daemon_now (t->daemon);
}

static void
run (Line *line)
{
  static const DbCallType calls[] = { [FO_CALL_STATUS] = DB_STATUS,
                                      [FO_CALL_SEAL] = DB_SEAL,
                                      [FO_CALL_PROMOTE] = DB_PROMOTE,
                                      [FO_CALL_FOLLOW] = DB_FOLLOW,
                                      [FO_CALL_UNSEAL] = DB_UNSEAL };
  DbCall call = { .type = calls[line->call], .term = line->term };
  db_run (line->conn, &call);
}

static void
line_ready (DbConn *conn, gpointer owner)
{
  (void)conn;
  Line *line = owner;
  line->ready = TRUE;
  if (line->calling)
    run (line);
}

static void
end_call (Line *line, gboolean answered, const FoDatabase *status)
{
  Takeover *t = line->takeover;
  if (!line->calling)
    return;
  line->calling = FALSE;
  line->used = now_of (t);
  to_called (t->core, now_of (t), line->id, answered, status);
}

static void
line_done (DbConn *conn, const DpOutcome *outcome, gpointer owner)
{
  (void)conn;
  gboolean good = outcome->kind == GM_OK && outcome->has_after;
  end_call (owner, TRUE, good ? &outcome->after : NULL);
}

static void
line_lost (DbConn *conn, const char *message, gpointer owner)
{
  (void)conn;
  Line *line = owner;
  Takeover *t = line->takeover;
  gm_log (GM_EV_CONNECTION_LOST, "%s, for a change of primary: %s", line->id,
          message);
  line->conn = NULL;
  end_call (line, FALSE, NULL);
  g_hash_table_remove (t->lines, line->id);
}

static const DbHandler line_handler
    = { .ready = line_ready, .done = line_done, .lost = line_lost };

static Line *
line_to (Takeover *t, const ToAction *action)
{
  Line *line = g_hash_table_lookup (t->lines, action->id);
  if (line != NULL && strcmp (line->address, action->address) == 0)
    return line;
  DbTarget target
      = { .rows_max = ROWS_MAX, .group = action->group, .id = action->id };
  if (!cf_address_parse (action->address, &target.address))
    return NULL;
  line = g_new0 (Line, 1);
  line->takeover = t;
  line->id = g_strdup (action->id);
  line->address = g_strdup (action->address);
  g_hash_table_replace (t->lines, line->id, line);
  line->conn = t->driver.open (&target, &line_handler, line);
  g_free (target.address.ip);
  return line;
}

static void
start_call (Takeover *t, const ToAction *action)
{
  Line *line = line_to (t, action);
  if (line == NULL || line->calling)
    {
      to_called (t->core, now_of (t), action->id, FALSE, NULL);
      return;
    }
  line->calling = TRUE;
  line->call = action->call;
  line->term = action->term;
  line->started = now_of (t);
  line->used = line->started;
  if (line->ready)
    run (line);
}

static void
order_ended (ToOrderEnd end, gpointer data)
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
      to_ordered (t->core, now_of (t), order->group, order->token, end);
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

static gboolean
is_over (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  Line *line = value;
  GmTime now = now_of (data);
  if (line->calling && now >= line->started + TO_CALL_TIME)
    {
      end_call (line, FALSE, NULL);
      return TRUE;
    }
  return !line->calling && now >= line->used + IDLE;
}

void
takeover_pump (Takeover *t)
{
  ToAction action;
  g_hash_table_foreach_remove (t->lines, is_over, t);
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
  t->lines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)line_free);
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
  g_hash_table_unref (t->lines);
  g_free (t);
}
