#include "base/histogram.h"
#include "pools_core.h"
#include "subscription.h"
#include "witness.h"

#define WITNESS_ANSWER_MAX 4096 /* bytes; the answer is one short row */

GmTime
pool_now (const Pool *pool)
{
  return daemon_now (pool->pools->daemon);
}

static void
exchange_clear (Conn *c)
{
  pl_action_clear (&c->action);
}

static void
conn_free (Conn *c)
{
  if (c->conn != NULL)
    db_close (c->conn);
  exchange_clear (c);
  g_free (c);
}

void
pool_free (Pool *pool)
{
  g_hash_table_unref (pool->conns);
  g_hash_table_unref (pool->witnesses);
  g_hash_table_unref (pool->transaction_links);
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
  hg_observe (HG_connect_seconds, c->pool->id,
              pool_now (c->pool) - c->open_started);
  pl_connected (c->pool->core, pool_now (c->pool), c->number);
  pool_pump (c->pool);
}

static void
conn_done (DbConn *conn, const DpOutcome *outcome, gpointer owner)
{
  (void)conn;
  Conn *c = owner;
  Pool *pool = c->pool;
  exchange_clear (c);
  pl_done (pool->core, pool_now (pool), c->number, outcome);
  pool_pump (pool);
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
  pl_disconnected (pool->core, pool_now (pool), number);
  pool_pump (pool);
}

static const DbHandler conn_handler
    = { .ready = conn_ready, .done = conn_done, .lost = conn_lost };

static void
open_conn (Pool *pool, guint64 number, const char *customer)
{
  const Daemon *daemon = pool->pools->daemon;
  Conn *c = g_new0 (Conn, 1);
  DbTarget target = { .address = pool->address,
                      .rows_max = (gsize)daemon->settings->answer_max,
                      .group = pool->group,
                      .id = pool->id,
                      .customer = customer };
  c->pool = pool;
  c->number = number;
  c->open_started = pool_now (pool);
  g_hash_table_insert (pool->conns, &c->number, c);
  c->conn = pool->pools->open (&target, &conn_handler, c);
}

static void
witness_replied (gpointer owner, const char *id, gboolean answered,
                 guint64 term)
{
  Pool *pool = owner;
  if (answered)
    pl_witness_answered (pool->core, pool_now (pool), id, term);
  else
    {
      pl_witness_lost (pool->core, pool_now (pool), id);
      g_hash_table_remove (pool->witnesses, id);
    }
  pool_pump (pool);
}

/* Asks the database ID of POOL's group for its position.  */
static void
ask_witness (Pool *pool, const char *id)
{
  const CsState *state
      = subscription_state (pool->pools->daemon->subscription);
  const CsDatabase *database = g_hash_table_lookup (state->databases, id);
  Witness *witness = g_hash_table_lookup (pool->witnesses, id);
  DbTarget target
      = { .rows_max = WITNESS_ANSWER_MAX, .group = pool->group, .id = id };
  if (witness == NULL && database != NULL
      && cf_address_parse (database->address, &target.address))
    {
      witness
          = witness_new (pool->pools->open, &target, witness_replied, pool);
      g_hash_table_insert (pool->witnesses, g_strdup (id), witness);
      g_free (target.address.ip);
    }
  if (witness != NULL)
    witness_ask (witness);
  else
    pl_witness_lost (pool->core, pool_now (pool), id);
}

/* Runs the exchange of ACTION on its connection, which takes ownership of the
   action's strings.  */
static void
run_exchange (Pool *pool, PlAction *action)
{
  Conn *c = g_hash_table_lookup (pool->conns, &action->connection);
  const PlRequest *r = action->request;
  if (c == NULL || c->conn == NULL)
    {
      pl_action_clear (action);
      return;
    }
  c->action = *action;
  c->exchange
      = (DbExchange){ .reset = action->reset,
                      .values = action->values_to_set,
                      .prepare_name
                      = action->prepare != NULL ? r->prepared_name : NULL,
                      .prepare_shape = action->prepare,
                      .begin = action->begin,
                      .min_term = action->min_term,
                      .after = r->after_position,
                      .id = r->id,
                      .text = r->text,
                      .execute_name = r->prepared_name,
                      .arguments = r->arguments,
                      .roll_back = action->roll_back };
  DbCall call = { .type = DB_EXCHANGE, .exchange = &c->exchange };
  db_run (c->conn, &call);
}

static void
trace_answer (const Pool *pool, const PlRequest *r)
{
  GmTime now = pool_now (pool);
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

/* Counts the answer to R for its customer.  A statement that the database or
   the queue's holder sends elsewhere is counted there.  */
static void
count_for_customer (const Pool *pool, const PlRequest *r)
{
  gboolean elsewhere = r->kind == GM_LAGGING || r->kind == GM_READ_ONLY
                       || r->kind == GM_DRAINING;
  if (r->customer != NULL && !elsewhere)
    sv_note (pool->pools->served, r->customer,
             r->kind != GM_DEADLINE && r->kind != GM_UNAVAILABLE);
}

/* Answers R over the link that it came by, if that link is still up.  Abandons
   R's transaction when the link to its entry host is down.  */
static void
answer_request (Pool *pool, PlRequest *r)
{
  LkLink *link
      = daemon_link (pool->pools->daemon, GPOINTER_TO_SIZE (r->owner));
  WmMessage m;
  trace_answer (pool, r);
  count_for_customer (pool, r);
  if (r->base.started != 0)
    {
      hg_observe (HG_queue_seconds, pool->id,
                  r->base.started - r->base.arrived);
      hg_observe (HG_database_seconds, pool->id,
                  pool_now (pool) - r->base.started);
    }
  pl_request_fill_answer (pool->core, r, pool_now (pool),
                          pool->pools->daemon->identity.incarnation, &m);
  if (r->transaction != 0 && !r->transaction_open)
    g_hash_table_remove (pool->transaction_links, &r->transaction);
  else if (r->transaction != 0 && link != NULL)
    g_hash_table_insert (pool->transaction_links,
                         g_memdup2 (&r->transaction, sizeof r->transaction),
                         r->owner);
  else if (r->transaction != 0)
    pl_abort_transaction (pool->core, pool_now (pool), r->transaction);
  if (link != NULL && r->sequence != 0)
    lk_send (link, &m);
  pl_request_free (r);
}

void
pool_pump (Pool *pool)
{
  PlAction action;
  /* An action may call this function again; the outer call then takes the
     remaining actions.  */
  if (pool->pumping)
    return;
  pool->pumping = TRUE;
  while (pl_take_action (pool->core, &action))
    if (action.type == PL_OPEN)
      {
        open_conn (pool, action.connection, action.customer);
        pl_action_clear (&action);
      }
    else if (action.type == PL_CLOSE)
      g_hash_table_remove (pool->conns, &action.connection);
    else if (action.type == PL_RUN)
      run_exchange (pool, &action);
    else if (action.type == PL_ANSWER)
      answer_request (pool, action.request);
    else
      {
        if (action.type == PL_ASK_WITNESS)
          ask_witness (pool, action.witness);
        else
          g_hash_table_remove (pool->witnesses, action.witness);
        pl_action_clear (&action);
      }
  pool->pumping = FALSE;
}

Pool *
pool_new (Pools *p, const CsDatabase *database)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  CfAddress address = { 0 };
  if (!cf_address_parse (database->address, &address))
    return NULL;
  Pool *pool = g_new0 (Pool, 1);
  pool->pools = p;
  pool->core = pl_new (&policy, &p->transactions_begun);
  pool->id = g_strdup (database->id);
  pool->group = g_strdup (database->group);
  pool->address = address;
  pool->incarnation = database->incarnation;
  pool->conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)conn_free);
  pool->witnesses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify)witness_free);
  pool->transaction_links
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  g_hash_table_insert (p->pools, pool->id, pool);
  gm_log (GM_EV_OWNER, "the queue of %s: taken", pool->id);
  return pool;
}
