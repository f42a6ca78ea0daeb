#include "core.h"
#include "base/mutant.h"
#include <string.h>

/* Connections kept beyond those in use, so that a new transaction need not
   wait for a handshake.  */
#define SPARE_CONNECTIONS 2
/* Statements prepared on one connection; at this number it is reset before
   another is prepared.  */
#define PREPARED_MAX 256
#define HANDSHAKE_DIVISOR 8 /* a new time has a weight of 1/8 in the mean */

/* The slots plus enough statements to cover the round trip, so that a slot
   that becomes free finds the next statement already at the database.  */
guint
pl_in_flight_max (const PlCore *core)
{
  guint extra = core->policy.extra_in_flight;
  if (extra == 0)
    {
      GmTime hidden = (GmTime)core->slots * core->round_trip_min;
      extra = (guint)((hidden + core->service_time_mean / 2)
                      / core->service_time_mean);
    }
  return core->slots + CLAMP (extra, 1, core->slots);
}

void
pl_conn_set_state (PlConn *conn, ConnState state)
{
  conn->customer->conns[conn->state]--;
  conn->customer->conns[state]++;
  conn->state = state;
}

void
pl_conn_open (PlCore *core, GmTime now, PlCustomer *customer)
{
  PlConn *conn = g_new0 (PlConn, 1);
  conn->id = ++core->last_conn_id;
  conn->state = CONN_OPENING;
  conn->customer = customer;
  conn->opened_at = now;
  customer->conns[CONN_OPENING]++;
  conn->session_values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  conn->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (core->conns, &conn->id, conn);
  core->opening_count++;
  PlAction *action = pl_push_action (core, PL_OPEN, conn->id, NULL);
  if (*customer->name == '\0')
    return;
  action->customer = g_strdup (customer->name);
  core->opened_count++;
}

/* How many connections are kept open without a request that waits for one.  */
static guint
wanted_connections (const PlCore *core)
{
  if (core->by_customer)
    return 1; /* shows whether the database answers */
  guint wanted = pl_in_flight_max (core) + SPARE_CONNECTIONS
                 + g_hash_table_size (core->transactions);
  return MIN (wanted, core->connections_max);
}

void
pl_open_connections (PlCore *core, GmTime now)
{
  if (!core->holds_queue || now < core->connect_after)
    return;
  guint wanted = wanted_connections (core);
  while (g_hash_table_size (core->conns) < wanted
         && core->opening_count < PL_CONNECTING_MAX)
    pl_conn_open (core, now, pl_customer (core, NULL));
}

/* Scores how well the session state on CONN fits REQUEST; higher is better. */
static guint
match_score (const PlConn *conn, const PlRequest *request)
{
  guint wanted = request->values != NULL ? request->values->len / 2 : 0;
  guint same = 0;
  for (guint i = 0; i < wanted; i++)
    {
      const char *name = g_ptr_array_index (request->values, 2 * i);
      const char *value = g_ptr_array_index (request->values, 2 * i + 1);
      const char *held = g_hash_table_lookup (conn->session_values, name);
      if (held == NULL)
        continue;
      same += strcmp (held, value) == 0 ? 1 : 0;
    }
  gboolean exact
      = same == wanted && g_hash_table_size (conn->session_values) == wanted;
  gboolean ready
      = request->prepared_name == NULL
        || g_hash_table_contains (conn->prepared, request->prepared_name);
  return (exact ? 4 : 0) + (ready ? 2 : 0)
         + (g_hash_table_size (conn->session_values) == 0 ? 1 : 0);
}

PlConn *
pl_take_conn (PlCore *core, const PlRequest *request)
{
  guint best = 0, best_match = 0;
  for (guint i = core->idle_conns->len; i-- > 0;)
    {
      const PlConn *conn = g_ptr_array_index (core->idle_conns, i);
      if (!pl_fits_conn (conn, request))
        continue;
      guint m = match_score (conn, request) + 1;
      if (m > best_match)
        {
          best = i;
          best_match = m;
        }
    }
  if (best_match == 0)
    return NULL;
  return g_ptr_array_steal_index (core->idle_conns, best);
}

/* Returns whether CONN holds a value that the session of REQUEST has not
   set.  */
static gboolean
holds_foreign_value (const PlConn *conn, const PlRequest *request)
{
  guint wanted = request->values != NULL ? request->values->len / 2 : 0;
  guint found = 0;
  for (guint i = 0; i < wanted; i++)
    if (g_hash_table_contains (conn->session_values,
                               g_ptr_array_index (request->values, 2 * i)))
      found++;
  return g_hash_table_size (conn->session_values) > found;
}

static void
sync_session_values (PlConn *conn, const PlRequest *request, PlAction *action)
{
  action->values_to_set = g_ptr_array_new_with_free_func (g_free);
  guint wanted = request->values != NULL ? request->values->len / 2 : 0;
  for (guint i = 0; i < wanted; i++)
    {
      const char *name = g_ptr_array_index (request->values, 2 * i);
      const char *value = g_ptr_array_index (request->values, 2 * i + 1);
      if (g_strcmp0 (g_hash_table_lookup (conn->session_values, name), value)
          == 0)
        continue;
      g_hash_table_replace (conn->session_values, g_strdup (name),
                            g_strdup (value));
      g_ptr_array_add (action->values_to_set, g_strdup (name));
      g_ptr_array_add (action->values_to_set, g_strdup (value));
    }
}

void
pl_sync_conn_state (PlConn *conn, const PlRequest *request, PlAction *action)
{
  gboolean too_many_prepared
      = request->prepared_name != NULL
        && g_hash_table_size (conn->prepared) >= PREPARED_MAX;
  /* The connection of a transaction already has the state of its session,
     which can only gain values meanwhile, so it is never reset.  */
  if (conn->transaction == NULL
      && (holds_foreign_value (conn, request) || too_many_prepared)
      && !GM_MUTANT (VALUES_KEPT))
    {
      action->reset = TRUE;
      g_hash_table_remove_all (conn->session_values);
      g_hash_table_remove_all (conn->prepared);
    }
  sync_session_values (conn, request, action);
  if (request->prepared_name != NULL
      && !g_hash_table_contains (conn->prepared, request->prepared_name))
    {
      g_hash_table_add (conn->prepared, g_strdup (request->prepared_name));
      action->prepare = g_strdup (request->prepared);
    }
}

void
pl_conn_drop (PlCore *core, PlConn *conn)
{
  g_ptr_array_remove (core->idle_conns, conn);
  if (conn->state == CONN_OPENING)
    core->opening_count--;
  if (conn->transaction != NULL)
    conn->transaction->conn = NULL;
  conn->customer->conns[conn->state]--;
  g_hash_table_remove (core->conns, &conn->id);
}

void
pl_conn_close (PlCore *core, GmTime now, PlConn *conn)
{
  pl_push_action (core, PL_CLOSE, conn->id, NULL);
  pl_conn_drop (core, conn);
  pl_open_connections (core, now);
}

void
pl_expire_handshakes (PlCore *core, GmTime now)
{
  if (core->opening_count == 0)
    return;
  g_autoptr (GList) all = g_hash_table_get_values (core->conns);
  for (GList *l = all; l != NULL; l = l->next)
    {
      PlConn *conn = l->data;
      if (conn->state != CONN_OPENING
          || now < conn->opened_at + PL_HANDSHAKE_TIMEOUT)
        continue;
      pl_push_action (core, PL_CLOSE, conn->id, NULL);
      pl_conn_drop (core, conn);
    }
}

void
pl_conn_release (PlCore *core, GmTime now, PlConn *conn)
{
  conn->request = NULL;
  if (conn->transaction != NULL)
    {
      pl_conn_set_state (conn, CONN_PINNED);
      return;
    }
  pl_conn_set_state (conn, CONN_IDLE);
  if (!core->holds_queue)
    pl_conn_close (core, now, conn);
  else
    g_ptr_array_add (core->idle_conns, conn);
}

void
pl_connected (PlCore *core, GmTime now, guint64 id)
{
  PlConn *conn = g_hash_table_lookup (core->conns, &id);
  if (conn == NULL || conn->state != CONN_OPENING)
    return;
  core->opening_count--;
  core->connect_backoff = PL_CONNECT_RETRY;
  core->handshake_mean
      += (now - conn->opened_at - core->handshake_mean) / HANDSHAKE_DIVISOR;
  conn->customer->refused = 0;
  pl_note_activity (core, now);
  pl_conn_release (core, now, conn);
  pl_schedule (core, now);
}
