#include "sessions.h"
#include <string.h>

/* An action of a pool in flight to a database, and its result.  */
typedef struct
{
  Pool *pool;
  guint64 generation; /* of the pool's core */
  guint64 connection;
  MdResult result;
  char *signature;
  char *customer; /* of a connection that opens */
  gboolean lost;
} Exchange;

static gboolean
is_current (const Exchange *x)
{
  return x->pool->core != NULL && x->pool->generation == x->generation;
}

static void
exchange_ends (World *w, gpointer data)
{
  Exchange *x = data;
  Pool *pool = x->pool;
  const MdConn *conn = is_current (x)
                           ? g_hash_table_lookup (pool->conns, &x->connection)
                           : NULL;
  if (conn != NULL && x->lost)
    {
      g_hash_table_remove (pool->conns, &x->connection);
      pl_disconnected (pool->core, w->now, x->connection);
    }
  else if (conn != NULL && !x->result.unconfirmed)
    {
      DpOutcome outcome = { .kind = x->result.kind,
                            .signature = x->signature,
                            .point = x->result.point,
                            .was_primary = x->result.was_leader,
                            .primary_point = x->result.leader_point,
                            .in_transaction = conn->in_transaction };
      pl_done (pool->core, w->now, x->connection, &outcome);
    }
  if (is_current (x))
    sw_pump_pool (w, pool);
  g_free (x->signature);
  g_free (x);
}

/* Runs ACTION at the database, or loses the request or its answer.  */
static void
run_action (World *w, Pool *pool, const PlAction *action)
{
  MdConn *conn = g_hash_table_lookup (pool->conns, &action->connection);
  const PlRequest *r = action->request;
  if (conn == NULL)
    return;
  guint64 uid = r->id != NULL ? g_ascii_strtoull (r->id, NULL, 10) : 0;
  const MdStatement *statement
      = uid != 0 ? g_hash_table_lookup (w->statements, &uid) : NULL;
  Exchange *x = g_new0 (Exchange, 1);
  x->pool = pool;
  x->generation = pool->generation;
  x->connection = action->connection;
  x->signature = g_strdup (r->id);
  x->lost = !w->faults_ended && sw_chance (w, 10);
  gboolean arrives = pool->database->up && (!x->lost || sw_chance (w, 500));
  if (arrives && statement != NULL)
    sw_check_customer (w, statement, r->customer, conn);
  if (arrives)
    x->result
        = md_run (&w->group, w->now, pool->database, conn, action, statement);
  else
    x->lost = TRUE;
  sw_at (w, w->now + sw_delay (w, 15 * GM_MS), exchange_ends, x);
}

/* A question to a witness, and later its answer.  */
typedef struct
{
  Pool *pool;
  guint64 generation;
  MdDatabase *witness;
  gboolean answered;
  guint64 term;
} Question;

static void
question_ends (World *w, gpointer data)
{
  Question *q = data;
  Pool *pool = q->pool;
  if (pool->core != NULL && pool->generation == q->generation)
    {
      if (q->answered)
        pl_witness_answered (pool->core, w->now, q->witness->id, q->term);
      else
        pl_witness_lost (pool->core, w->now, q->witness->id);
      sw_pump_pool (w, pool);
    }
  g_free (q);
}

static void
question_arrives (World *w, gpointer data)
{
  Question *q = data;
  FoDatabaseStatus status;
  md_control_call (q->witness, FO_CALL_STATUS, 0, &status);
  q->answered = q->witness->up && (w->faults_ended || !sw_chance (w, 10));
  q->term = status.last_term;
  sw_at (w, w->now + sw_delay (w, 5 * GM_MS), question_ends, q);
}

static void
ask_witness (World *w, Pool *pool, const char *id)
{
  Question *q = g_new0 (Question, 1);
  q->pool = pool;
  q->generation = pool->generation;
  for (guint i = 0; i < w->group.copies; i++)
    if (strcmp (w->group.databases[i].id, id) == 0)
      q->witness = &w->group.databases[i];
  sw_at (w, w->now + sw_delay (w, 5 * GM_MS), question_arrives, q);
}

static void
conn_opens (World *w, gpointer data)
{
  Exchange *x = data;
  Pool *pool = x->pool;
  if (is_current (x))
    {
      if (pool->database->up
          && pool->incarnation == pool->database->incarnation)
        {
          g_hash_table_insert (
              pool->conns, g_memdup2 (&x->connection, sizeof x->connection),
              md_conn_new (x->customer));
          pl_connected (pool->core, w->now, x->connection);
        }
      else
        pl_disconnected (pool->core, w->now, x->connection);
      sw_pump_pool (w, pool);
    }
  g_free (x->customer);
  g_free (x);
}

/* Messages.  */

static void
answer (World *w, Pool *pool, PlRequest *r)
{
  InFlightMessage *parcel = g_new0 (InFlightMessage, 1);
  WmMessage done;
  guint entry = GPOINTER_TO_UINT (r->owner);
  pl_request_fill_answer (pool->core, r, w->now, pool->host->incarnation,
                          &done);
  wm_copy (&parcel->message, &done);
  parcel->from = pool->host;
  if (r->transaction != 0 && !r->transaction_open)
    g_hash_table_remove (pool->transactions, &r->transaction);
  else if (r->transaction != 0)
    g_hash_table_insert (pool->transactions,
                         g_memdup2 (&r->transaction, sizeof r->transaction),
                         GUINT_TO_POINTER (entry + 1));
  if (r->sequence != 0)
    {
      parcel->to = &w->hosts[entry];
      sw_at (w, w->now + sw_delay (w, 2 * GM_MS), sw_deliver_answer, parcel);
    }
  else
    {
      wm_clear (&parcel->message);
      g_free (parcel);
    }
  pl_request_free (r);
}

void
sw_pump_pool (World *w, Pool *pool)
{
  PlAction action;
  while (pool->core != NULL && pl_take_action (pool->core, &action))
    {
      if (action.type == PL_OPEN)
        {
          Exchange *x = g_new0 (Exchange, 1);
          x->pool = pool;
          x->generation = pool->generation;
          x->connection = action.connection;
          x->customer = g_strdup (action.customer);
          sw_at (w, w->now + sw_delay (w, 20 * GM_MS), conn_opens, x);
        }
      else if (action.type == PL_CLOSE)
        g_hash_table_remove (pool->conns, &action.connection);
      else if (action.type == PL_RUN)
        run_action (w, pool, &action);
      else if (action.type == PL_ASK_WITNESS)
        ask_witness (w, pool, action.witness);
      else if (action.type == PL_ANSWER)
        answer (w, pool, action.request);
      pl_action_clear (&action);
    }
}

static void
deliver_statement (World *w, gpointer data)
{
  InFlightMessage *parcel = data;
  const struct wm_statement *m = &parcel->message.statement;
  Host *host = parcel->to;
  Pool *pool = NULL;
  for (guint i = 0; i < w->group.copies; i++)
    if (strcmp (host->pools[i].database->id, m->database) == 0)
      pool = &host->pools[i];
  gboolean known
      = pool != NULL && pool->core != NULL
        && (m->transaction != 0 ? m->holder == host->incarnation
                                : m->incarnation == pool->incarnation);
  CfService undeclared;
  const CfService *service = pl_service_of (m, host->state, &undeclared);
  if (known && service == NULL && m->transaction != 0)
    {
      pl_abort_transaction (pool->core, w->now, m->transaction);
      sw_pump_pool (w, pool);
    }
  if (known && service != NULL)
    {
      PlRequest *r = pl_request_from_message (m, service, w->now);
      r->owner = GUINT_TO_POINTER ((guint)(parcel->from - w->hosts));
      pl_submit (pool->core, w->now, r);
      sw_pump_pool (w, pool);
    }
  else if (m->sequence != 0)
    {
      InFlightMessage *back = g_new0 (InFlightMessage, 1);
      back->from = host;
      back->to = parcel->from;
      back->message
          = (WmMessage){ .type = WM_TYPE_STATEMENT_DONE,
                         .statement_done = { .sequence = m->sequence,
                                             .kind = known ? GM_UNKNOWN_SERVICE
                                                     : m->transaction != 0
                                                         ? GM_TRANSACTION_LOST
                                                         : GM_DRAINING,
                                             .message = g_strdup ("") } };
      sw_at (w, w->now + sw_delay (w, 2 * GM_MS), sw_deliver_answer, back);
    }
  wm_clear (&parcel->message);
  g_free (parcel);
}

static Host *
host_of (World *w, const char *name)
{
  for (guint i = 0; i < HOSTS; i++)
    if (strcmp (w->hosts[i].name, name) == 0)
      return &w->hosts[i];
  return NULL;
}

/* Whether M is delayed as if its receiver were silent: the sender times out
   and goes on, and M still arrives later.  */
static gboolean
is_delayed (World *w, const struct wm_statement *m)
{
  gboolean lasting = m->operation == PL_WRITE || m->operation == PL_COMMIT
                     || m->operation == PL_ROLLBACK;
  return !w->faults_ended && !lasting && m->sequence != 0 && sw_chance (w, 20);
}

void
sw_send (World *w, Caller *c, const char *host, WmMessage *message)
{
  InFlightMessage *parcel = g_new0 (InFlightMessage, 1);
  parcel->from = c->host;
  parcel->to = host_of (w, host);
  wm_copy (&parcel->message, message);
  GmTime delay = sw_delay (w, 2 * GM_MS);
  if (is_delayed (w, &message->statement))
    {
      guint64 sequence = message->statement.sequence;
      delay += LV_SILENT_AFTER + sw_delay (w, GM_SECOND);
      sw_at (w, w->now + LV_SILENT_AFTER, sw_time_out,
             g_memdup2 (&sequence, sizeof sequence));
    }
  sw_at (w, w->now + delay, deliver_statement, parcel);
}
