#include "core.h"
#include "base/mutant.h"
#include <string.h>

/* Free connections beyond those in use, so that a transaction that begins
   needs no handshake.  */
#define WARM_SPARE 2
/* Shapes that a connection keeps prepared; beyond them it is reset.  */
#define PREPARED_MAX 256

/* The slots, and as many more as hide the round trip: a slot that ends a
   statement must find the next one waiting.  */
guint
pl_in_flight_max (const PlCore *core)
{
  guint extra = core->policy.extra;
  if (extra == 0)
    {
      GmTime hidden = (GmTime)core->slots * core->trip;
      extra = (guint)((hidden + core->service / 2) / core->service);
    }
  return core->slots + CLAMP (extra, 1, core->slots);
}

static void
open_conn (PlCore *core)
{
  PlConn *conn = g_new0 (PlConn, 1);
  conn->id = ++core->next_conn;
  conn->state = CONN_OPENING;
  conn->values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  conn->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (core->conns, &conn->id, conn);
  core->opening++;
  pl_push (core, PL_OPEN, conn->id, NULL);
}

void
pl_keep_warm (PlCore *core, GmTime now)
{
  if (!core->owned || now < core->connect_after)
    return;
  guint wanted = pl_in_flight_max (core) + WARM_SPARE
                 + g_hash_table_size (core->transactions);
  wanted = MIN (wanted, core->budget);
  while (g_hash_table_size (core->conns) < wanted
         && core->opening < PL_CONNECTING_MAX)
    open_conn (core);
}

/* How little CONN needs for REQUEST: the less, the higher.  */
static guint
match (const PlConn *conn, const PlRequest *request)
{
  guint wanted = request->values != NULL ? request->values->len / 2 : 0;
  guint same = 0;
  for (guint i = 0; i < wanted; i++)
    {
      const char *name = g_ptr_array_index (request->values, 2 * i);
      const char *value = g_ptr_array_index (request->values, 2 * i + 1);
      const char *held = g_hash_table_lookup (conn->values, name);
      if (held == NULL)
        continue;
      same += strcmp (held, value) == 0 ? 1 : 0;
    }
  gboolean exact
      = same == wanted && g_hash_table_size (conn->values) == wanted;
  gboolean ready
      = request->prepared == NULL
        || g_hash_table_contains (conn->prepared, request->prepared);
  return (exact ? 4 : 0) + (ready ? 2 : 0)
         + (g_hash_table_size (conn->values) == 0 ? 1 : 0);
}

PlConn *
pl_take_conn (PlCore *core, const PlRequest *request)
{
  guint best = 0, best_match = 0;
  if (core->free->len == 0)
    return NULL;
  for (guint i = core->free->len; i-- > 0;)
    {
      guint m = match (g_ptr_array_index (core->free, i), request) + 1;
      if (m > best_match)
        {
          best = i;
          best_match = m;
        }
    }
  return g_ptr_array_steal_index (core->free, best);
}

/* Whether CONN holds a value that REQUEST's session doesn't have.  */
static gboolean
holds_foreign_value (const PlConn *conn, const PlRequest *request)
{
  guint wanted = request->values != NULL ? request->values->len / 2 : 0;
  guint found = 0;
  for (guint i = 0; i < wanted; i++)
    if (g_hash_table_contains (conn->values,
                               g_ptr_array_index (request->values, 2 * i)))
      found++;
  return g_hash_table_size (conn->values) > found;
}

static void
bring_values (PlConn *conn, const PlRequest *request, PlAction *action)
{
  action->set = g_ptr_array_new_with_free_func (g_free);
  guint wanted = request->values != NULL ? request->values->len / 2 : 0;
  for (guint i = 0; i < wanted; i++)
    {
      const char *name = g_ptr_array_index (request->values, 2 * i);
      const char *value = g_ptr_array_index (request->values, 2 * i + 1);
      if (g_strcmp0 (g_hash_table_lookup (conn->values, name), value) == 0)
        continue;
      g_hash_table_replace (conn->values, g_strdup (name), g_strdup (value));
      g_ptr_array_add (action->set, g_strdup (name));
      g_ptr_array_add (action->set, g_strdup (value));
    }
}

void
pl_bring_state (PlConn *conn, const PlRequest *request, PlAction *action)
{
  gboolean crowded = request->prepared != NULL
                     && g_hash_table_size (conn->prepared) >= PREPARED_MAX;
  /* A transaction's connection has its session's state; what the session sets
     meanwhile is added to it.  */
  if (conn->transaction == NULL
      && (holds_foreign_value (conn, request) || crowded)
      && !GM_MUTANT (VALUES_KEPT))
    {
      action->reset = TRUE;
      g_hash_table_remove_all (conn->values);
      g_hash_table_remove_all (conn->prepared);
    }
  bring_values (conn, request, action);
  if (request->prepared != NULL
      && !g_hash_table_contains (conn->prepared, request->prepared))
    {
      g_hash_table_add (conn->prepared, g_strdup (request->prepared));
      action->prepare = g_strdup (request->prepared);
    }
}

void
pl_conn_drop (PlCore *core, PlConn *conn)
{
  g_ptr_array_remove (core->free, conn);
  if (conn->state == CONN_OPENING)
    core->opening--;
  if (conn->transaction != NULL)
    conn->transaction->conn = NULL;
  g_hash_table_remove (core->conns, &conn->id);
}

void
pl_conn_close (PlCore *core, GmTime now, PlConn *conn)
{
  pl_push (core, PL_CLOSE, conn->id, NULL);
  pl_conn_drop (core, conn);
  pl_keep_warm (core, now);
}

void
pl_conn_release (PlCore *core, GmTime now, PlConn *conn)
{
  conn->request = NULL;
  if (conn->transaction != NULL)
    {
      conn->state = CONN_PINNED;
      return;
    }
  conn->state = CONN_IDLE;
  if (!core->owned)
    pl_conn_close (core, now, conn);
  else
    g_ptr_array_add (core->free, conn);
}

void
pl_connected (PlCore *core, GmTime now, guint64 id)
{
  PlConn *conn = g_hash_table_lookup (core->conns, &id);
  if (conn == NULL || conn->state != CONN_OPENING)
    return;
  core->opening--;
  core->connect_backoff = PL_CONNECT_RETRY;
  pl_heard (core, now);
  pl_conn_release (core, now, conn);
  pl_schedule (core, now);
}
