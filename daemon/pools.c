#include "failover/takeover.h"
#include "pools_core.h"
#include "subscription.h"
#include <string.h>

/* A tick that comes so much later than its interval shows that this process
   was stalled.  */
#define STALL_THRESHOLD (50 * GM_MS)
/* Half of TO_REPORT_MAX_AGE, the age at which the leader takes a report for
   out of date.  */
#define REPORT_INTERVAL (500 * GM_MS)
/* While a database looks unhealthy: an eighth of TO_ANSWER_TIMEOUT, the time
   after which a primary that does not answer is failed over.  */
#define REPORT_INTERVAL_UNHEALTHY (50 * GM_MS)
/* Database connections of a stand-in queue.  Every host on this side of a
   network partition may open such a queue, so each gets only enough for one
   transaction and single statements next to it.  */
#define STAND_IN_CONNECTIONS 2
/* A stand-in queue that no statement has asked for is closed after this.  */
#define STAND_IN_IDLE_TIMEOUT (2 * GM_SECOND)
#define TICK_MS 10 /* a fifth of the shortest service time of a statement */
/* Between ticks while no statement is queued or running.  Half of the shortest
   delay until a lost connection is opened again.  */
#define IDLE_TICK_MS 50

/* Whether POOL is a stand-in for a queue whose holder can't be reached.  */
static gboolean
is_standing_in (const Pool *pool)
{
  return pool->stand_in_asked_at != 0
         && pool_now (pool) < pool->stand_in_asked_at + STAND_IN_IDLE_TIMEOUT;
}

/* Whether POOL connects to the current group, address and incarnation of
   DATABASE.  */
static gboolean
matches_database (const Pool *pool, const CsDatabase *database)
{
  g_autofree char *address
      = g_strdup_printf ("%s:%u", pool->address.ip, pool->address.port);
  return database != NULL && pool->incarnation == database->incarnation
         && strcmp (pool->group, database->group) == 0
         && strcmp (address, database->address) == 0;
}

/* Which share of the queue of the database ID this host holds, or -1.  */
static gint
own_share (const Pools *p, const CsState *state, const char *id, guint *shares)
{
  return cs_queue_share (state, id, p->daemon->settings->host, shares);
}

static gboolean
is_held_here (const Pools *p, const CsState *state, const char *id)
{
  guint shares;
  return own_share (p, state, id, &shares) >= 0;
}

/* Sets which other copies of its group confirm that POOL's database leads.  */
static void
set_witnesses (const Pool *pool, const CsState *state)
{
  g_autoptr (GPtrArray) others = g_ptr_array_new ();
  const CsGroup *group = cs_group (state, pool->group);
  gboolean leads = group != NULL && strcmp (group->primary, pool->id) == 0;
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (strcmp (((const CsDatabase *)value)->group, pool->group) == 0
        && strcmp (key, pool->id) != 0)
      g_ptr_array_add (others, key);
  /* An acknowledged write is on two copies.  With the primary and all others
     but one asked, it is on one of these.  */
  guint needed = MAX (others->len, 2) - 1;
  pl_set_witnesses (pool->core, pool_now (pool), others, needed, leads);
}

/* Sets the ownership and the limits of POOL as STATE has them.  */
static void
update_pool (Pools *p, Pool *pool, const CsState *state,
             const CsDatabase *database)
{
  const CfGroup *group
      = cf_group_find (cs_declaration (state), database->group);
  guint64 connections = group != NULL && group->connections > 0
                            ? (guint64)group->connections
                            : database->connections;
  guint64 slots = database->slots;
  GmTime now = daemon_now (p->daemon);
  guint shares;
  gint share = own_share (p, state, database->id, &shares);
  gboolean held_here = share >= 0;
  if (held_here)
    {
      pool->stand_in_asked_at = 0;
      slots = pl_share_size (slots, (guint)share, shares);
      connections = pl_share_size (connections, (guint)share, shares);
    }
  else if (pool->stand_in_asked_at != 0)
    connections = STAND_IN_CONNECTIONS;
  const CsGroup *term = cs_group (state, database->group);
  pl_set_replaced (pool->core,
                   term != NULL && strcmp (term->primary, pool->id) != 0);
  pl_set_control_state (pool->core, now, state->version);
  pl_set_floors (pool->core, cs_declaration (state)->floor);
  if (cs_declaration (state)->customers != NULL)
    pl_set_by_customer (pool->core, shares);
  pl_set_queue_holder (pool->core, now, held_here || is_standing_in (pool));
  pl_set_limits (pool->core, now, (guint)slots, (guint)connections,
                 cs_declaration (state)->transaction_idle_ms * GM_MS);
  set_witnesses (pool, state);
  pool_pump (pool);
}

static gboolean
is_empty (const Pool *pool)
{
  PlCounts counts;
  pl_counts (pool->core, &counts);
  return counts.queued + counts.running + counts.transactions == 0;
}

/* Drops the pools whose database has changed or gone, and the empty pools that
   this host neither holds nor stands in for.  */
static void
drop_stale_pools (Pools *p, const CsState *state)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Pool *pool = value;
      if (matches_database (pool, g_hash_table_lookup (state->databases, key))
          && (is_held_here (p, state, key) || is_standing_in (pool)
              || !is_empty (pool)))
        continue;
      gm_log (GM_EV_OWNER, "the queue of %s: given up", pool->id);
      pl_drop_connections (pool->core, pool_now (pool));
      pool_pump (pool);
      g_hash_table_iter_remove (&iter);
    }
}

static gboolean tick (gpointer data);

static void
schedule_tick (Pools *p, GmTime due)
{
  g_clear_handle_id (&p->timer, g_source_remove);
  GmTime wait = MAX (due - daemon_now (p->daemon), 0);
  p->tick_due = due;
  p->timer = g_timeout_add ((guint)(wait / GM_MS), tick, p);
}

/* Ticks soon: a statement has arrived, or pools have changed.  */
static void
wake (Pools *p)
{
  GmTime due = daemon_now (p->daemon) + TICK_MS * GM_MS;
  if (p->timer == 0 || due < p->tick_due)
    schedule_tick (p, due);
}

static void
pools_state_changed (DaemonTask *task)
{
  Pools *p = (Pools *)task;
  const CsState *state = subscription_state (p->daemon->subscription);
  if (cs_declaration (state) == NULL)
    return;
  drop_stale_pools (p, state);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *database = value;
      Pool *pool = g_hash_table_lookup (p->pools, database->id);
      if (pool == NULL && is_held_here (p, state, database->id))
        pool = pool_new (p, database);
      if (pool != NULL)
        update_pool (p, pool, state, database);
    }
  if (g_hash_table_size (p->pools) > 0)
    wake (p);
}

/* Appends a SEEN record with the health of POOL's database.  Returns whether
   the database is unreachable, silent or stuck.  */
static gboolean
append_seen (const Pool *pool, GmTime now, GByteArray *out)
{
  PlHealth health;
  pl_health (pool->core, now, &health);
  WmMessage seen = { .type = WM_TYPE_SEEN,
                     .seen = { .id = pool->id,
                               .reachable = health.reachable ? 1 : 0,
                               .last_term = health.acked.term,
                               .received = health.acked.position,
                               .silent = health.silent,
                               .stuck = health.stuck,
                               .open = health.open,
                               .confirmed = health.confirmed,
                               .confirmed_state = health.confirmed_state,
                               .stuck_ended = health.stuck_ended } };
  wm_append (out, &seen);
  return !health.reachable || health.silent * GM_MS >= (guint64)TO_PROBE_AFTER
         || (health.stuck - health.stuck_ended) * GM_MS
                >= (guint64)TO_CONFIRM_TIMEOUT;
}

/* Reports the health of the pools' databases to the control leader when a
   report is due, which is sooner when a database looks unhealthy.  */
static void
send_report (Pools *p, GmTime now)
{
  GByteArray *out = g_byte_array_new ();
  gboolean unhealthy = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    unhealthy = append_seen (value, now, out) || unhealthy;
  g_autoptr (GBytes) list = g_byte_array_free_to_bytes (out);
  WmMessage m
      = { .type = WM_TYPE_REPORT,
          .report = { .host = p->daemon->settings->host, .databases = list } };
  if (unhealthy)
    p->report_due
        = MIN (p->report_due, p->last_report + REPORT_INTERVAL_UNHEALTHY);
  if (now < p->report_due || g_bytes_get_size (list) == 0)
    return;
  p->last_report = now;
  p->report_due = now + REPORT_INTERVAL;
  subscription_send (p->daemon->subscription, &m);
}

/* Closes a stand-in pool that no statement has asked for recently.  Returns
   whether the pool is to be removed from the table.  */
static gboolean
drop_idle_stand_in (gpointer id, gpointer value, gpointer now)
{
  (void)id;
  (void)now;
  Pool *pool = value;
  if (pool->stand_in_asked_at == 0 || is_standing_in (pool)
      || !is_empty (pool))
    return FALSE;
  gm_log (GM_EV_OWNER, "the queue of %s: stand-in given up", pool->id);
  pl_drop_connections (pool->core, pool_now (pool));
  pool_pump (pool);
  return TRUE;
}

/* Adds to the metrics what POOL has counted since the last call.  */
static void
count_connections (Pool *pool, const PlCounts *counts)
{
  gm_count (GM_M_connections_customer_total,
            counts->opened - pool->counted.opened);
  gm_count (GM_M_connections_room_total,
            counts->made_room - pool->counted.made_room);
  gm_count (GM_M_connection_waits_total,
            counts->awaited - pool->counted.awaited);
  pool->counted = *counts;
}

/* Whether POOL has statements, which need ticks at short intervals.  */
static gboolean
has_statements (const Pool *pool)
{
  PlCounts counts;
  pl_counts (pool->core, &counts);
  return counts.queued + counts.running > 0;
}

static gboolean
tick (gpointer data)
{
  Pools *p = data;
  GHashTableIter iter;
  gpointer value;
  gboolean busy = FALSE;
  guint64 queued = 0;
  guint worst;
  g_hash_table_foreach_remove (p->pools, drop_idle_stand_in, NULL);
  GmTime now = daemon_now (p->daemon);
  GmTime late = now - p->tick_due;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pool *pool = value;
      PlCounts counts;
      if (late >= STALL_THRESHOLD)
        pl_discount_stall (pool->core, late);
      pl_tick (pool->core, pool_now (pool));
      pool_pump (pool);
      pl_counts (pool->core, &counts);
      queued += counts.queued;
      count_connections (pool, &counts);
      busy = busy || has_statements (pool);
    }
  send_report (p, now);
  gm_gauge (GM_M_queue_length, queued);
  if (sv_end_period (p->served, now, &worst))
    gm_gauge (GM_M_customers_worst_tenth, worst);
  p->timer = 0;
  if (g_hash_table_size (p->pools) > 0)
    schedule_tick (p, now + (busy ? TICK_MS : IDLE_TICK_MS) * GM_MS);
  return G_SOURCE_REMOVE;
}

/* Answers statement M with an error, without a pool.  */
static void
send_refusal (LkLink *link, const struct wm_statement *m, GmKind kind,
              const char *message)
{
  WmMessage done = { .type = WM_TYPE_STATEMENT_DONE,
                     .statement_done = { .sequence = m->sequence,
                                         .kind = kind,
                                         .message = (char *)message } };
  if (m->sequence != 0)
    lk_send (link, &done);
}

/* The pool in which statement M runs while the holder of its database's queue
   is out of reach; creates a stand-in when needed.  NULL when the database is
   not known or its address can't be parsed.  */
static Pool *
stand_in_pool (Pools *p, const struct wm_statement *m)
{
  const CsState *state = subscription_state (p->daemon->subscription);
  const CsDatabase *database
      = g_hash_table_lookup (state->databases, m->database);
  Pool *pool = g_hash_table_lookup (p->pools, m->database);
  if (database == NULL || cs_declaration (state) == NULL)
    return NULL;
  if (pool == NULL)
    pool = pool_new (p, database);
  if (pool == NULL)
    return NULL;
  if (is_held_here (p, state, database->id))
    return pool;
  gboolean is_new = !is_standing_in (pool);
  pool->stand_in_asked_at = pool_now (pool);
  if (is_new)
    update_pool (p, pool, state, database);
  return pool;
}

/* Checks whether M can be submitted to POOL; stores the reason why not in
   STATUS.  */
static GmKind
check_statement (const Pools *p, const Pool *pool,
                 const struct wm_statement *m, GmStatus *status)
{
  const CsState *state = subscription_state (p->daemon->subscription);
  if (m->operation >= PL_OPERATION_COUNT || m->begins > DP_BEGIN_WRITE)
    return gm_fail (status, GM_INVALID, "not run: no such operation");
  if (m->transaction != 0 && m->holder != p->daemon->identity.incarnation)
    return gm_fail (status, GM_TRANSACTION_LOST,
                    "the transaction was lost: its host has restarted");
  if (pool == NULL)
    return gm_fail (status, GM_DRAINING,
                    "not run: this host does not hold the database's queue");
  if (m->transaction == 0 && m->incarnation != pool->incarnation)
    return gm_fail (status, GM_UNAVAILABLE,
                    "not run: the database has restarted");
  if (!pl_has_room (m, cf_buffers_max (p->daemon->settings)))
    return gm_fail (status, GM_QUEUE_FULL,
                    "not run: too many large statements are waiting");
  CfService undeclared;
  if (pl_service_of (m, state, &undeclared) == NULL)
    return gm_fail (status, GM_UNKNOWN_SERVICE, "not run: no such service");
  return gm_ok (status);
}

/* Drops the statement SEQUENCE of the link NUMBER, whose caller has gone.  */
static void
withdraw (Pools *p, guint64 number, guint64 sequence)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Pool *pool = value;
      PlRequest *r
          = pl_withdraw (pool->core, GSIZE_TO_POINTER (number), sequence);
      if (r == NULL)
        continue;
      gm_count (GM_M_statements_withdrawn_total, 1);
      gm_trace (GM_EV_STATEMENT_WITHDRAWN, r->id, TRUE,
                "%s: waited %" G_GINT64_FORMAT " ms", pool->id,
                (pool_now (pool) - r->base.arrived) / GM_MS);
      pl_request_free (r);
    }
}

/* Rolls back TRANSACTION, whose service is gone: its entry host takes the
   refusal of any of its statements for its end.  */
static void
roll_back (Pools *p, Pool *pool, guint64 transaction)
{
  g_hash_table_remove (pool->transaction_links, &transaction);
  pl_abort_transaction (pool->core, pool_now (pool), transaction);
  pool_pump (pool);
  wake (p);
}

static gboolean
pools_message (DaemonTask *task, guint64 number, LkLink *link,
               const WmMessage *message)
{
  Pools *p = (Pools *)task;
  const struct wm_statement *m = &message->statement;
  if (message->type == WM_TYPE_PING)
    {
      WmMessage pong = { .type = WM_TYPE_PONG,
                         .pong = { .number = message->ping.number } };
      lk_send (link, &pong);
      return TRUE;
    }
  if (message->type == WM_TYPE_WITHDRAW)
    withdraw (p, number, message->withdraw.sequence);
  if (message->type != WM_TYPE_STATEMENT)
    return message->type == WM_TYPE_WITHDRAW;
  Pool *pool = m->stand_in != 0 ? stand_in_pool (p, m)
                                : g_hash_table_lookup (p->pools, m->database);
  GmStatus status = GM_STATUS_UNSET;
  if (check_statement (p, pool, m, &status) != GM_OK)
    {
      if (status.kind == GM_UNKNOWN_SERVICE && m->transaction != 0)
        roll_back (p, pool, m->transaction);
      send_refusal (link, m, status.kind, status.message);
      return TRUE;
    }
  const CsState *state = subscription_state (p->daemon->subscription);
  CfService undeclared;
  PlRequest *request = pl_request_from_message (
      m, pl_service_of (m, state, &undeclared), pool_now (pool));
  request->owner = GSIZE_TO_POINTER (number);
  pl_submit (pool->core, pool_now (pool), request);
  pool_pump (pool);
  wake (p);
  return TRUE;
}

/* Abandons the transactions of POOL that came by the link NUMBER.  */
static void
abandon_transactions (Pool *pool, guint64 number)
{
  g_autoptr (GArray) abandoned = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, pool->transaction_links);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (GPOINTER_TO_SIZE (value) == number)
      {
        g_array_append_vals (abandoned, key, 1);
        g_hash_table_iter_remove (&iter);
      }
  for (guint i = 0; i < abandoned->len; i++)
    pl_abort_transaction (pool->core, pool_now (pool),
                          g_array_index (abandoned, guint64, i));
}

static void
pools_link_down (DaemonTask *task, guint64 number)
{
  Pools *p = (Pools *)task;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      abandon_transactions (value, number);
      pool_pump (value);
    }
}

static guint
pools_in_progress (const DaemonTask *task)
{
  const Pools *p = (const Pools *)task;
  GHashTableIter iter;
  gpointer value;
  guint open = 0;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      PlCounts counts;
      pl_counts (((Pool *)value)->core, &counts);
      open += counts.queued + counts.running + counts.transactions;
    }
  return open;
}

static void
pools_free (DaemonTask *task)
{
  Pools *p = (Pools *)task;
  g_clear_handle_id (&p->timer, g_source_remove);
  g_hash_table_unref (p->pools);
  sv_free (p->served);
  g_free (p);
}

static const DaemonTaskClass pools_class
    = { .message = pools_message,
        .link_down = pools_link_down,
        .state_changed = pools_state_changed,
        .in_progress = pools_in_progress,
        .free = pools_free };

Pools *
pools_new (Daemon *daemon, DbOpen open)
{
  Pools *p = g_new0 (Pools, 1);
  p->task.class = &pools_class;
  p->daemon = daemon;
  p->open = open;
  p->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)pool_free);
  p->served = sv_new ();
  gm_gauge (GM_M_customers_worst_tenth, 1000);
  daemon_add (daemon, &p->task);
  return p;
}
