#include "pools.h"
#include "base/histogram.h"
#include "failover/takeover.h"
#include "pool/pool.h"
#include "subscription.h"
#include <string.h>

/* A gap between two ticks by which this process stood still: six of them.  */
#define STALL (60 * GM_MS)
#define REPORT (500 * GM_MS)        /* half of the age at which it is old */
#define REPORT_TROUBLE (50 * GM_MS) /* an eighth of TO_SILENT */
/* Connections of a queue that stands in for its holder's: as many as let a
   transaction and single statements run, since all hosts on this side of a cut
   may have one.  */
#define STAND_IN_CONNECTIONS 2
#define STAND_IN_IDLE (2 * GM_SECOND) /* then it is given up */
#define TICK_MS 10 /* a fifth of the shortest service time seen at a slot */

typedef struct Pool Pool;

typedef struct
{
  Pool *pool;
  guint64 number;
  DbConn *conn;
  GmTime opened;
  /* Arguments of the running exchange.  */
  PlAction action;
  DbExchange exchange;
  char *prepare_name;
  char *execute_name;
} Conn;

struct Pool
{
  Pools *pools;
  PlCore *core;
  char *id;
  char *group;
  CfAddress address;
  guint64 incarnation;
  gboolean pumping;
  GmTime stood_in;          /* when last asked to; 0: it is this host's own */
  GHashTable *conns;        /* number -> Conn */
  GHashTable *transactions; /* number -> link number of its entry host */
};

struct Pools
{
  DaemonTask task;
  Daemon *daemon;
  DbOpen open;
  GHashTable *pools;    /* database id -> Pool */
  guint64 transactions; /* begun, by all pools ever */
  GmTime ticked;
  GmTime report_due;
  GmTime reported;
  guint timer;
};

static void pump (Pool *pool);

static GmTime
now_of (const Pool *pool)
{
  return daemon_now (pool->pools->daemon);
}

static void
call_clear (Conn *c)
{
  pl_action_clear (&c->action);
  g_clear_pointer (&c->prepare_name, g_free);
  g_clear_pointer (&c->execute_name, g_free);
}

static void
conn_free (Conn *c)
{
  if (c->conn != NULL)
    db_close (c->conn);
  call_clear (c);
  g_free (c);
}

static void
pool_free (Pool *pool)
{
  g_hash_table_unref (pool->conns);
  g_hash_table_unref (pool->transactions);
  pl_free (pool->core);
  g_free (pool->id);
  g_free (pool->group);
  g_free (pool->address.ip);
  g_free (pool);
}

static void
conn_ready (DbConn *conn, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  gm_count (GM_M_connections_opened_total, 1);
  hg_observe (HG_connect_seconds, c->pool->id, now_of (c->pool) - c->opened);
  pl_connected (c->pool->core, now_of (c->pool), c->number);
  pump (c->pool);
}

static void
conn_done (DbConn *conn, const DpOutcome *outcome, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  Pool *pool = c->pool;
  call_clear (c);
  pl_done (pool->core, now_of (pool), c->number, outcome);
  pump (pool);
}

static void
conn_lost (DbConn *conn, const char *message, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  Pool *pool = c->pool;
  guint64 number = c->number;
  gm_count (GM_M_connections_lost_total, 1);
  gm_log (GM_EV_CONNECTION_LOST, "%s: %s", pool->id, message);
  c->conn = NULL;
  g_hash_table_remove (pool->conns, &number);
  pl_disconnected (pool->core, now_of (pool), number);
  pump (pool);
}

static const DbHandler conn_handler
    = { .ready = conn_ready, .done = conn_done, .lost = conn_lost };

static void
open_conn (Pool *pool, guint64 number)
{
  const Daemon *daemon = pool->pools->daemon;
  Conn *c = g_new0 (Conn, 1);
  DbTarget target = { .address = pool->address,
                      .rows_max = (gsize)daemon->settings->answer_max,
                      .group = pool->group,
                      .id = pool->id };
  c->pool = pool;
  c->number = number;
  c->opened = now_of (pool);
  g_hash_table_insert (pool->conns, &c->number, c);
  c->conn = pool->pools->open (&target, &conn_handler, c);
}

/* Runs ACTION, whose strings its connection takes.  */
static void
run (Pool *pool, PlAction *action)
{
  Conn *c = g_hash_table_lookup (pool->conns, &action->connection);
  const PlRequest *r = action->request;
  if (c == NULL || c->conn == NULL)
    {
      pl_action_clear (action);
      return;
    }
  c->action = *action;
  c->prepare_name
      = action->prepare != NULL ? pl_prepared_name (action->prepare) : NULL;
  c->execute_name
      = r->prepared != NULL ? pl_prepared_name (r->prepared) : NULL;
  c->exchange = (DbExchange){ .reset = action->reset,
                              .values = action->set,
                              .prepare_name = c->prepare_name,
                              .prepare_shape = action->prepare,
                              .begin = action->begin,
                              .after = r->after,
                              .id = r->id,
                              .text = r->text,
                              .execute_name = c->execute_name,
                              .arguments = r->arguments,
                              .roll_back = action->roll_back };
  DbCall call = { .type = DB_EXCHANGE, .exchange = &c->exchange };
  db_run (c->conn, &call);
}

static void
trace_answer (const Pool *pool, const PlRequest *r)
{
  GmTime now = now_of (pool);
  gboolean failed = r->kind != GM_OK;
  if (r->id == NULL || (!failed && !gm_is_sampled (r->id)))
    return;
  PlCounts counts;
  pl_counts (pool->core, &counts);
  gboolean ran = r->base.started != 0;
  gm_trace (GM_EV_STATEMENT_RAN, r->id, failed,
            "%s: %s%s%s; waited %" G_GINT64_FORMAT " ms, ran %" G_GINT64_FORMAT
            " ms%s; %u queued, %u running",
            pool->id, gm_kind_text (r->kind), failed ? ": " : "", r->message,
            ((ran ? r->base.started : now) - r->base.arrived) / GM_MS,
            ran ? (now - r->base.started) / GM_MS : 0,
            r->base.late ? ", late" : "", counts.queued, counts.running);
}

/* Answers over the link that the request came by, if it is still up.  A
   transaction whose entry host has gone is given up.  */
static void
answer (Pool *pool, PlRequest *r)
{
  LkLink *link
      = daemon_link (pool->pools->daemon, GPOINTER_TO_SIZE (r->owner));
  WmMessage m;
  trace_answer (pool, r);
  if (r->base.started != 0)
    {
      hg_observe (HG_queue_seconds, pool->id,
                  r->base.started - r->base.arrived);
      hg_observe (HG_database_seconds, pool->id,
                  now_of (pool) - r->base.started);
    }
  pl_request_done (pool->core, r, now_of (pool),
                   pool->pools->daemon->identity.incarnation, &m);
  if (r->transaction != 0 && !r->open)
    g_hash_table_remove (pool->transactions, &r->transaction);
  else if (r->transaction != 0 && link != NULL)
    g_hash_table_insert (pool->transactions,
                         g_memdup2 (&r->transaction, sizeof r->transaction),
                         r->owner);
  else if (r->transaction != 0)
    pl_abandon (pool->core, now_of (pool), r->transaction);
  if (link != NULL && r->sequence != 0)
    lk_send (link, &m);
  pl_request_free (r);
}

static void
pump (Pool *pool)
{
  PlAction action;
  /* An action may lead back here; the outer call goes on with the rest.  */
  if (pool->pumping)
    return;
  pool->pumping = TRUE;
  while (pl_take_action (pool->core, &action))
    if (action.type == PL_OPEN)
      open_conn (pool, action.connection);
    else if (action.type == PL_CLOSE)
      g_hash_table_remove (pool->conns, &action.connection);
    else if (action.type == PL_RUN)
      run (pool, &action);
    else
      answer (pool, action.request);
  pool->pumping = FALSE;
}

/* Whether POOL stands in for one that this host can't reach.  */
static gboolean
stands_in (const Pool *pool)
{
  return pool->stood_in != 0 && now_of (pool) < pool->stood_in + STAND_IN_IDLE;
}

static Pool *
pool_new (Pools *p, const CsDatabase *database)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  CfAddress address = { 0 };
  if (!cf_address_parse (database->address, &address))
    return NULL;
  Pool *pool = g_new0 (Pool, 1);
  pool->pools = p;
  pool->core = pl_new (&policy, &p->transactions);
  pool->id = g_strdup (database->id);
  pool->group = g_strdup (database->group);
  pool->address = address;
  pool->incarnation = database->incarnation;
  pool->conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)conn_free);
  pool->transactions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_hash_table_insert (p->pools, pool->id, pool);
  gm_log (GM_EV_OWNER, "the queue of %s: taken", pool->id);
  return pool;
}

/* Whether what POOL connects to is DATABASE as it is now.  */
static gboolean
is_same (const Pool *pool, const CsDatabase *database)
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
  return cs_share (state, id, p->daemon->settings->host, shares);
}

static gboolean
is_mine (const Pools *p, const CsState *state, const char *id)
{
  guint shares;
  return own_share (p, state, id, &shares) >= 0;
}

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
  gboolean mine = share >= 0;
  if (mine)
    {
      pool->stood_in = 0;
      slots = pl_part (slots, (guint)share, shares);
      connections = pl_part (connections, (guint)share, shares);
    }
  else if (pool->stood_in != 0)
    connections = STAND_IN_CONNECTIONS;
  pl_set_floors (pool->core, cs_declaration (state)->floor);
  pl_own (pool->core, now, mine || stands_in (pool));
  pl_limits (pool->core, now, (guint)slots, (guint)connections,
             cs_declaration (state)->transaction_idle_ms * GM_MS);
  pump (pool);
}

static gboolean
is_empty (const Pool *pool)
{
  PlCounts counts;
  pl_counts (pool->core, &counts);
  return counts.queued + counts.running + counts.transactions == 0;
}

static void
drop_pools (Pools *p, const CsState *state)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Pool *pool = value;
      if (is_same (pool, g_hash_table_lookup (state->databases, key))
          && (is_mine (p, state, key) || stands_in (pool) || !is_empty (pool)))
        continue;
      gm_log (GM_EV_OWNER, "the queue of %s: given up", pool->id);
      pl_drop_connections (pool->core, now_of (pool));
      pump (pool);
      g_hash_table_iter_remove (&iter);
    }
}

static void
pools_state_changed (DaemonTask *task)
{
  Pools *p = (Pools *)task;
  const CsState *state = subscription_state (p->daemon->subscription);
  if (cs_declaration (state) == NULL)
    return;
  drop_pools (p, state);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *database = value;
      Pool *pool = g_hash_table_lookup (p->pools, database->id);
      if (pool == NULL && is_mine (p, state, database->id))
        pool = pool_new (p, database);
      if (pool != NULL)
        update_pool (p, pool, state, database);
    }
}

/* Appends what POOL sees; returns whether something is wrong.  */
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
                               .confirmed = health.confirmed } };
  wm_append (out, &seen);
  return !health.reachable || health.silent * GM_MS >= (guint64)TO_ASK
         || health.stuck * GM_MS >= (guint64)TO_STUCK;
}

/* Tells the control leader what this host's pools see of their databases.  */
static void
report (Pools *p, GmTime now)
{
  GByteArray *out = g_byte_array_new ();
  gboolean trouble = FALSE;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    trouble = append_seen (value, now, out) || trouble;
  g_autoptr (GBytes) list = g_byte_array_free_to_bytes (out);
  WmMessage m
      = { .type = WM_TYPE_REPORT,
          .report = { .host = p->daemon->settings->host, .databases = list } };
  if (trouble)
    p->report_due = MIN (p->report_due, p->reported + REPORT_TROUBLE);
  if (now < p->report_due || g_bytes_get_size (list) == 0)
    return;
  p->reported = now;
  p->report_due = now + REPORT;
  subscription_send (p->daemon->subscription, &m);
}

/* Whether POOL stood in, and nobody asked for it of late.  */
static gboolean
is_over (gpointer id, gpointer value, gpointer now)
{
  (void)id;
  (void)now;
  Pool *pool = value;
  if (pool->stood_in == 0 || stands_in (pool) || !is_empty (pool))
    return FALSE;
  gm_log (GM_EV_OWNER, "the queue of %s: stood in for, given up", pool->id);
  pl_drop_connections (pool->core, now_of (pool));
  pump (pool);
  return TRUE;
}

static gboolean
tick (gpointer data)
{
  Pools *p = data;
  GHashTableIter iter;
  gpointer value;
  guint64 queued = 0;
  g_hash_table_foreach_remove (p->pools, is_over, NULL);
  GmTime now = daemon_now (p->daemon);
  GmTime span = p->ticked != 0 ? now - p->ticked : 0;
  p->ticked = now;
  g_hash_table_iter_init (&iter, p->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pool *pool = value;
      PlCounts counts;
      if (span >= STALL)
        pl_stalled (pool->core, span);
      pl_tick (pool->core, now_of (pool));
      pump (pool);
      pl_counts (pool->core, &counts);
      queued += counts.queued;
    }
  report (p, now);
  gm_gauge (GM_M_queue_length, queued);
  return G_SOURCE_CONTINUE;
}

/* Answers without a pool.  */
static void
refuse (LkLink *link, const struct wm_statement *m, GmKind kind,
        const char *message)
{
  WmMessage done = { .type = WM_TYPE_STATEMENT_DONE,
                     .statement_done = { .sequence = m->sequence,
                                         .kind = kind,
                                         .message = (char *)message } };
  if (m->sequence != 0)
    lk_send (link, &done);
}

/* The pool that stands in for M's database's, or NULL where there is no such
   database.  */
static Pool *
stand_in (Pools *p, const struct wm_statement *m)
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
  if (is_mine (p, state, database->id))
    return pool;
  gboolean begins = !stands_in (pool);
  pool->stood_in = now_of (pool);
  if (begins)
    update_pool (p, pool, state, database);
  return pool;
}

/* Whether M can be submitted to POOL; stores why not in STATUS.  */
static GmKind
check (const Pools *p, const Pool *pool, const struct wm_statement *m,
       GmStatus *status)
{
  const CsState *state = subscription_state (p->daemon->subscription);
  if (m->operation >= PL_OPERATION_COUNT || m->begins > DP_BEGIN_WRITE)
    return gm_fail (status, GM_INVALID, "not run: no such operation");
  if (m->transaction != 0 && m->holder != p->daemon->identity.incarnation)
    return gm_fail (status, GM_TRANSACTION_LOST,
                    "the transaction ended with its host");
  if (pool == NULL)
    return gm_fail (status, GM_DRAINING,
                    "not run: this host does not hold the database's queue");
  if (m->transaction == 0 && m->incarnation != pool->incarnation)
    return gm_fail (status, GM_UNAVAILABLE,
                    "not run: the database has started anew");
  if (cs_declaration (state) == NULL
      || cf_service_find (cs_declaration (state), m->service) == NULL)
    return gm_fail (status, GM_UNKNOWN_SERVICE, "not run: no such service");
  return gm_ok (status);
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
  if (message->type != WM_TYPE_STATEMENT)
    return FALSE;
  Pool *pool = m->stand_in != 0 ? stand_in (p, m)
                                : g_hash_table_lookup (p->pools, m->database);
  GmStatus status;
  if (check (p, pool, m, &status) != GM_OK)
    {
      refuse (link, m, status.kind, status.message);
      return TRUE;
    }
  const CsState *state = subscription_state (p->daemon->subscription);
  PlRequest *request = pl_request_from (
      m, cf_service_find (cs_declaration (state), m->service), now_of (pool));
  request->owner = GSIZE_TO_POINTER (number);
  pl_submit (pool->core, now_of (pool), request);
  pump (pool);
  return TRUE;
}

static void
abandon_all (Pool *pool, guint64 number)
{
  g_autoptr (GArray) gone = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, pool->transactions);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (GPOINTER_TO_SIZE (value) == number)
      {
        g_array_append_vals (gone, key, 1);
        g_hash_table_iter_remove (&iter);
      }
  for (guint i = 0; i < gone->len; i++)
    pl_abandon (pool->core, now_of (pool), g_array_index (gone, guint64, i));
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
      abandon_all (value, number);
      pump (value);
    }
}

static guint
pools_open (const DaemonTask *task)
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
  g_source_remove (p->timer);
  g_hash_table_unref (p->pools);
  g_free (p);
}

static const DaemonTaskClass pools_class
    = { .message = pools_message,
        .link_down = pools_link_down,
        .state_changed = pools_state_changed,
        .open = pools_open,
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
  p->timer = g_timeout_add (TICK_MS, tick, p);
  daemon_add (daemon, &p->task);
  return p;
}
