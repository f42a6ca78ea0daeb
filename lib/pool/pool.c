#include "core.h"
#include "failover/takeover.h"
#include "base/mutant.h"
#include <string.h>

#define SERVICE_START (5 * GM_MS) /* until the first statement has ended */
#define MEAN_WEIGHT 8             /* a new value counts one eighth */
/* Share of the time left that a request may be estimated to wait: the rest
   bears the spread of service times.  */
#define ADMIT_SHARE 0.5
/* Share of the connections that transactions may hold, in percent: single
   statements keep the rest.  */
#define PINNED_PERCENT 70
/* Share of a database's connections that one pool takes, in percent: the next
   holder may have to open its own while the old one still has these.  */
#define BUDGET_PERCENT 50
#define BUDGET_MIN 2

static void
conn_free (PlConn *conn)
{
  g_hash_table_unref (conn->values);
  g_hash_table_unref (conn->prepared);
  g_free (conn);
}

PlCore *
pl_new (const DpPolicy *policy, guint64 *transactions)
{
  PlCore *core = g_new0 (PlCore, 1);
  core->transactions_ever = transactions;
  core->policy = *policy;
  core->owned = TRUE;
  core->slots = 1;
  core->service = SERVICE_START;
  core->queue = dq_new (policy->order);
  core->conns = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       (GDestroyNotify)conn_free);
  core->free = g_ptr_array_new ();
  core->transactions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  core->running = g_ptr_array_new ();
  core->costs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->connect_backoff = PL_CONNECT_RETRY;
  g_queue_init (&core->actions);
  return core;
}

void
pl_action_clear (PlAction *action)
{
  g_clear_pointer (&action->set, g_ptr_array_unref);
  g_clear_pointer (&action->prepare, g_free);
}

void
pl_free (PlCore *core)
{
  PlAction action;
  DpRequest *queued;
  while (pl_take_action (core, &action))
    {
      if (action.type == PL_ANSWER)
        pl_request_free (action.request);
      pl_action_clear (&action);
    }
  while ((queued = dq_take_any (core->queue)) != NULL)
    pl_request_free ((PlRequest *)queued);
  dq_free (core->queue);
  for (guint i = 0; i < core->running->len; i++)
    pl_request_free (g_ptr_array_index (core->running, i));
  g_ptr_array_unref (core->running);
  g_ptr_array_unref (core->free);
  g_hash_table_unref (core->conns);
  g_hash_table_unref (core->transactions);
  g_hash_table_unref (core->costs);
  g_free (core);
}

PlAction *
pl_push (PlCore *core, PlActionType type, guint64 conn, PlRequest *request)
{
  PlAction *action = g_new0 (PlAction, 1);
  action->type = type;
  action->connection = conn;
  action->request = request;
  g_queue_push_tail (&core->actions, action);
  return action;
}

gboolean
pl_take_action (PlCore *core, PlAction *action)
{
  PlAction *first = g_queue_pop_head (&core->actions);
  if (first == NULL)
    return FALSE;
  *action = *first;
  g_free (first);
  return TRUE;
}

void
pl_set_floors (PlCore *core, const double floors[CF_RANK_COUNT])
{
  dq_set_floors (core->queue, floors);
}

guint64
pl_part (guint64 whole, guint share, guint shares)
{
  return MAX ((whole + shares - 1 - share) / shares, 1);
}

void
pl_limits (PlCore *core, GmTime now, guint slots, guint connections,
           GmTime idle)
{
  core->slots = MAX (slots, 1);
  if (core->heard == 0)
    core->heard = now;
  core->budget = MAX (connections * BUDGET_PERCENT / 100, BUDGET_MIN);
  core->idle = idle;
  pl_keep_warm (core, now);
}

static GmTime
cost_of (const PlCore *core, const PlRequest *request)
{
  const GmTime *cost
      = g_hash_table_lookup (core->costs, request->base.service);
  return cost != NULL ? *cost : SERVICE_START;
}

static void
answer (PlCore *core, PlRequest *request, GmKind kind, const char *message)
{
  request->kind = kind;
  g_strlcpy (request->message, message, sizeof request->message);
  pl_push (core, PL_ANSWER, 0, request);
}

/* The kind that is true when REQUEST's connection ended: an effect may be
   kept only where a commit or a single write was sent.  */
static void
answer_lost (PlCore *core, PlRequest *request)
{
  gboolean writes
      = request->operation == PL_WRITE || request->operation == PL_COMMIT;
  if (writes && !GM_MUTANT (GUESS_NOT_RUN))
    answer (core, request, GM_OUTCOME_UNKNOWN,
            "the connection was lost while the statement ran");
  else if (request->operation == PL_ROLLBACK)
    answer (core, request, GM_OK, "");
  else if (request->operation == PL_INSIDE || writes)
    answer (core, request, GM_TRANSACTION_LOST,
            "the transaction's connection was lost; it has no effect");
  else
    answer (core, request, GM_UNAVAILABLE,
            "the connection was lost while the read ran");
}

static void
stop_running (PlCore *core, PlRequest *request)
{
  g_ptr_array_remove_fast (core->running, request);
  core->overdue -= request->overdue ? 1 : 0;
}

static void
end_transaction (PlCore *core, PlTransaction *transaction)
{
  if (transaction->conn != NULL)
    transaction->conn->transaction = NULL;
  g_hash_table_remove (core->transactions, &transaction->id);
}

/* Closing the connection makes the database roll back.  */
static void
break_transaction (PlCore *core, GmTime now, PlTransaction *transaction)
{
  PlConn *conn = transaction->conn;
  end_transaction (core, transaction);
  if (conn != NULL)
    pl_conn_close (core, now, conn);
}

/* Whether REQUEST must prove that its database leads: nothing else vouches
   for what a read shows.  */
static gboolean
needs_proof (const PlRequest *request)
{
  return request->operation == PL_LEAD
         || (request->operation == PL_READ && request->after.position == 0
             && !GM_MUTANT (LEAD_UNPROVED));
}

static void
run (PlCore *core, GmTime now, PlConn *conn, PlRequest *request)
{
  conn->state = CONN_BUSY;
  conn->request = request;
  request->base.connection = conn;
  request->base.started = now;
  request->others = core->answered;
  request->overdue = FALSE;
  g_ptr_array_add (core->running, request);
  if (core->unanswered == 0)
    core->unanswered = now;
  PlAction *action = pl_push (core, PL_RUN, conn->id, request);
  pl_bring_state (conn, request, action);
  action->begin = conn->transaction == NULL ? request->begins : DP_NO_BEGIN;
  action->roll_back
      = request->operation == PL_LEAD || request->operation == PL_ROLLBACK;
  if (needs_proof (request))
    {
      action->begin = DP_BEGIN_WRITE;
      action->roll_back = TRUE;
    }
}

static gboolean
can_begin (const PlCore *core)
{
  return g_hash_table_size (core->transactions) * 100
         < core->budget * PINNED_PERCENT;
}

static gboolean
can_run (DpRequest *base, gpointer data)
{
  const PlCore *core = data;
  const PlRequest *request = (PlRequest *)base;
  return request->begins == DP_NO_BEGIN || can_begin (core);
}

static void
refuse_late (PlCore *core, PlRequest *request, GmTime wait)
{
  request->retry_ms = (guint64)MAX (wait / GM_MS, 1);
  answer (core, request, GM_DEADLINE,
          "not run: the queue is too long for the deadline");
}

static void
drop_late (PlCore *core, GmTime now, gboolean all)
{
  DpRequest *late;
  while ((late = dq_take_late (core->queue, now + core->trip, all)) != NULL)
    refuse_late (core, (PlRequest *)late, late->cost);
}

void
pl_schedule (PlCore *core, GmTime now)
{
  drop_late (core, now, FALSE);
  dq_age (core->queue, now + core->trip);
  while (core->running->len - core->overdue < pl_in_flight_max (core)
         && core->free->len > 0)
    {
      DpRequest *next = dq_take (core->queue, can_run, core);
      if (next == NULL)
        return;
      PlRequest *request = (PlRequest *)next;
      run (core, now, pl_take_conn (core, request), request);
    }
}

GmTime
pl_wait (const PlCore *core, CfRank rank, const char *service)
{
  return dq_wait (core->queue, rank, service, core->slots, FALSE);
}

/* Whether REQUEST may wait: refuses it, or one worth less, when the deadline
   can't be met.  */
static gboolean
admit (PlCore *core, GmTime now, PlRequest *request)
{
  DpRequest *base = &request->base;
  GmTime wait = dq_place (core->queue, base, now + core->trip, core->slots);
  GmTime left = base->deadline - now - base->cost - core->trip;
  if (!core->policy.admission || (double)wait <= ADMIT_SHARE * (double)left)
    return TRUE;
  DpRequest *least = dq_least_worth (core->queue, base->rank, base->worth);
  if (least == NULL || left < 0)
    {
      refuse_late (core, request, wait);
      return FALSE;
    }
  dq_remove (core->queue, least);
  refuse_late (core, (PlRequest *)least, wait);
  return TRUE;
}

static void
lose_request (PlCore *core, GmTime now, PlConn *conn)
{
  PlRequest *request = conn->request;
  PlTransaction *transaction = conn->transaction;
  conn->request = NULL;
  if (request != NULL)
    {
      stop_running (core, request);
      answer_lost (core, request);
    }
  if (transaction != NULL)
    break_transaction (core, now, transaction);
  else
    pl_conn_close (core, now, conn);
}

static void
submit_inside (PlCore *core, GmTime now, PlRequest *request)
{
  PlTransaction *transaction
      = g_hash_table_lookup (core->transactions, &request->transaction);
  if (transaction == NULL)
    {
      answer (core, request,
              request->operation == PL_ROLLBACK ? GM_OK : GM_TRANSACTION_LOST,
              "the transaction has ended; it has no effect");
      return;
    }
  if (transaction->conn->state != CONN_PINNED
      && request->operation == PL_ROLLBACK)
    {
      /* The session is gone while its statement runs.  */
      lose_request (core, now, transaction->conn);
      answer (core, request, GM_OK, "");
      return;
    }
  if (transaction->conn->state != CONN_PINNED)
    {
      answer (core, request, GM_CONFLICT,
              "not run: a statement of this transaction is still running");
      return;
    }
  transaction->touched = now;
  run (core, now, transaction->conn, request);
}

static gboolean
lead_is_young (const PlCore *core, GmTime now)
{
  return core->lead_known && now < core->lead_at + PL_LEAD_YOUNG;
}

void
pl_heard (PlCore *core, GmTime now)
{
  core->heard = now;
  core->unanswered = core->running->len > 0 ? now : 0;
}

/* How long the database has left everything unanswered.  */
static GmTime
silence (const PlCore *core, GmTime now)
{
  GmTime since = core->unanswered != 0 ? core->unanswered : now;
  /* Without a connection the database has been asked since it was heard. */
  if (g_hash_table_size (core->conns) == core->opening)
    since = MIN (since, core->heard);
  return MAX (now - since, 0);
}

gboolean
pl_is_silent (const PlCore *core, GmTime now)
{
  return silence (core, now) >= PL_SILENT;
}

/* Whether a statement may try a silent database: one now and then shows when
   it is back.  */
static gboolean
may_probe (PlCore *core, GmTime now, const PlRequest *request)
{
  gboolean reads
      = request->operation == PL_READ || request->operation == PL_LEAD;
  GmTime since = MAX (core->probed, core->unanswered + PL_SILENT);
  if (now < (reads ? core->probed + PL_PROBE : since + PL_PROBE_WRITE))
    return FALSE;
  core->probed = now;
  return TRUE;
}

void
pl_submit (PlCore *core, GmTime now, PlRequest *request)
{
  request->base.arrived = now;
  request->base.cost = cost_of (core, request);
  if (request->transaction != 0)
    submit_inside (core, now, request);
  else if (!core->owned)
    answer (core, request, GM_DRAINING,
            "not run: this host does not hold the database's queue");
  else if (pl_is_silent (core, now) && !may_probe (core, now, request))
    answer (core, request, GM_UNAVAILABLE,
            "not run: the database does not answer");
  else if (request->operation == PL_LEAD && lead_is_young (core, now))
    answer (core, request, GM_OK, "");
  else if (admit (core, now, request))
    {
      dq_push (core->queue, &request->base);
      pl_schedule (core, now);
    }
}

static void
learn_times (PlCore *core, GmTime now, const PlRequest *request)
{
  GmTime took = MAX (now - request->base.started, 1);
  core->trip = core->trip == 0 ? took : MIN (core->trip, took);
  took = MAX (took - core->trip, 1);
  /* More in flight than slots: part of the time was spent waiting there.  */
  guint busy = core->running->len + 1;
  if (busy > core->slots)
    took = took * (GmTime)core->slots / (GmTime)busy;
  core->service
      = MAX (core->service + (took - core->service) / MEAN_WEIGHT, 1);
  GmTime *cost = g_hash_table_lookup (core->costs, request->base.service);
  if (cost == NULL)
    {
      cost = g_new (GmTime, 1);
      *cost = SERVICE_START;
      g_hash_table_insert (core->costs, g_strdup (request->base.service),
                           cost);
    }
  *cost = MAX (*cost + (took - *cost) / MEAN_WEIGHT, 1);
}

/* What the database showed when it led holds everything that was acknowledged
   before the exchange was sent.  */
static void
note_lead (PlCore *core, const PlRequest *request, const DpOutcome *outcome)
{
  if (!outcome->led
      || (core->lead_known && request->base.started <= core->lead_at))
    return;
  core->lead_known = TRUE;
  core->lead = outcome->lead;
  core->lead_at = request->base.started;
}

gboolean
pl_lead (const PlCore *core, TkPoint *point, GmTime *at)
{
  *point = core->lead;
  *at = core->lead_at;
  return core->lead_known;
}

static void
note_answer (PlCore *core, GmTime now, const PlRequest *request,
             const DpOutcome *outcome)
{
  gboolean wrote
      = request->operation == PL_WRITE || request->operation == PL_COMMIT;
  pl_heard (core, now);
  if (wrote)
    core->wrote = now;
  if (outcome->kind == GM_OK && wrote
      && tk_point_compare (outcome->point, core->acked) > 0)
    core->acked = outcome->point;
}

/* Ties or unties CONN's transaction as the database said.  */
static void
settle_transaction (PlCore *core, GmTime now, PlConn *conn, PlRequest *request,
                    const DpOutcome *outcome)
{
  PlTransaction *transaction = conn->transaction;
  if (transaction != NULL && !outcome->in_transaction)
    end_transaction (core, transaction);
  else if (transaction != NULL)
    transaction->touched = now;
  else if (outcome->in_transaction)
    {
      transaction = g_new0 (PlTransaction, 1);
      transaction->id = ++*core->transactions_ever;
      transaction->conn = conn;
      transaction->touched = now;
      conn->transaction = transaction;
      g_hash_table_insert (core->transactions, &transaction->id, transaction);
      request->transaction = transaction->id;
    }
  request->open = outcome->in_transaction;
}

void
pl_done (PlCore *core, GmTime now, guint64 number, const DpOutcome *outcome)
{
  PlConn *conn = g_hash_table_lookup (core->conns, &number);
  if (conn == NULL || conn->request == NULL)
    return;
  PlRequest *request = conn->request;
  stop_running (core, request);
  core->answered++;
  if (outcome->kind == GM_OK && request->operation != PL_LEAD)
    learn_times (core, now, request);
  note_lead (core, request, outcome);
  note_answer (core, now, request, outcome);
  settle_transaction (core, now, conn, request, outcome);
  request->base.connection = NULL;
  request->point = outcome->point;
  request->signature = g_strdup (outcome->signature);
  request->rows = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
  answer (core, request, outcome->kind, outcome->message);
  pl_conn_release (core, now, conn);
  pl_keep_warm (core, now);
  pl_schedule (core, now);
}

void
pl_disconnected (PlCore *core, GmTime now, guint64 number)
{
  PlConn *conn = g_hash_table_lookup (core->conns, &number);
  if (conn == NULL)
    return;
  if (conn->state == CONN_OPENING)
    {
      core->connect_after = now + core->connect_backoff;
      core->connect_backoff
          = MIN (2 * core->connect_backoff, PL_CONNECT_RETRY_MAX);
      pl_conn_drop (core, conn);
    }
  else
    lose_request (core, now, conn);
  if (core->running->len == 0)
    core->unanswered = 0;
  pl_keep_warm (core, now);
  pl_schedule (core, now);
}

void
pl_abandon (PlCore *core, GmTime now, guint64 id)
{
  PlTransaction *transaction = g_hash_table_lookup (core->transactions, &id);
  if (transaction == NULL)
    return;
  if (transaction->conn->request != NULL)
    lose_request (core, now, transaction->conn);
  else
    break_transaction (core, now, transaction);
}

static void
expire_running (PlCore *core, GmTime now)
{
  for (guint i = core->running->len; i-- > 0;)
    {
      PlRequest *request = g_ptr_array_index (core->running, i);
      if (now >= request->base.deadline + PL_ANSWER_GRACE)
        lose_request (core, now, request->base.connection);
    }
}

static gboolean
is_overdue (const PlCore *core, GmTime now, const PlRequest *request)
{
  GmTime usual = cost_of (core, request);
  return now >= request->base.started + PL_OVERDUE + PL_OVERDUE_COSTS * usual
         && core->answered >= request->others + PL_OVERDUE_OTHERS;
}

/* A lost answer holds no slot at the database, and must hold none here.  A
   read may run again elsewhere; the rest is waited for.  */
static void
watch_overdue (PlCore *core, GmTime now)
{
  for (guint i = core->running->len; i-- > 0;)
    {
      PlRequest *request = g_ptr_array_index (core->running, i);
      if (request->overdue || !is_overdue (core, now, request))
        continue;
      if (request->operation == PL_READ || request->operation == PL_LEAD)
        {
          lose_request (core, now, request->base.connection);
          continue;
        }
      request->overdue = TRUE;
      core->overdue++;
    }
}

/* Gives back what a silent database would keep waiting: what has not been
   sent, and reads.  */
static void
give_up_on_silent (PlCore *core, GmTime now)
{
  DpRequest *queued;
  if (!pl_is_silent (core, now))
    return;
  while ((queued = dq_take_any (core->queue)) != NULL)
    answer (core, (PlRequest *)queued, GM_UNAVAILABLE,
            "not run: the database does not answer");
  for (guint i = core->running->len; i-- > 0;)
    {
      PlRequest *request = g_ptr_array_index (core->running, i);
      gboolean reads
          = request->operation == PL_READ || request->operation == PL_LEAD;
      if (reads && now >= request->base.started + PL_PROBE_TIME)
        lose_request (core, now, request->base.connection);
    }
}

static void
expire_transactions (PlCore *core, GmTime now)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlTransaction *t = value;
      if (t->conn->state == CONN_PINNED && now >= t->touched + core->idle)
        g_ptr_array_add (ended, value);
    }
  for (guint i = 0; i < ended->len; i++)
    break_transaction (core, now, g_ptr_array_index (ended, i));
}

void
pl_tick (PlCore *core, GmTime now)
{
  expire_running (core, now);
  watch_overdue (core, now);
  give_up_on_silent (core, now);
  expire_transactions (core, now);
  drop_late (core, now, TRUE);
  pl_keep_warm (core, now);
  pl_schedule (core, now);
}

void
pl_own (PlCore *core, GmTime now, gboolean owned)
{
  if (core->owned == owned)
    return;
  core->owned = owned;
  pl_heard (core, now);
  DpRequest *queued;
  while (!owned && (queued = dq_take_any (core->queue)) != NULL)
    answer (core, (PlRequest *)queued, GM_DRAINING,
            "not run: this host does not hold the database's queue");
  while (!owned && core->free->len > 0)
    pl_conn_close (core, now, g_ptr_array_index (core->free, 0));
  pl_keep_warm (core, now);
}

void
pl_drop_connections (PlCore *core, GmTime now)
{
  pl_own (core, now, FALSE);
  g_autoptr (GList) conns = g_hash_table_get_values (core->conns);
  for (GList *l = conns; l != NULL; l = l->next)
    lose_request (core, now, l->data);
}

void
pl_stalled (PlCore *core, GmTime span)
{
  core->heard += span;
  if (core->unanswered != 0)
    core->unanswered += span;
  core->wrote += span;
  for (guint i = 0; i < core->running->len; i++)
    ((PlRequest *)g_ptr_array_index (core->running, i))->base.started += span;
}

void
pl_health (const PlCore *core, GmTime now, PlHealth *health)
{
  GmTime writes = now;
  for (guint i = 0; i < core->running->len; i++)
    {
      const PlRequest *r = g_ptr_array_index (core->running, i);
      if (r->operation == PL_WRITE || r->operation == PL_COMMIT)
        writes = MIN (writes, r->base.started);
    }
  guint up = g_hash_table_size (core->conns) - core->opening;
  GmTime silent = silence (core, now);
  health->reachable = up > 0 && silent < TO_SILENT;
  health->silent = (guint64)(silent / GM_MS);
  /* One write without an answer is a lost answer; none at all is a primary
     that nobody confirms.  */
  health->stuck
      = (guint64)((now - MIN (MAX (writes, core->wrote), now)) / GM_MS);
  health->confirmed = (guint64)(MAX (now - core->wrote, 0) / GM_MS);
  health->open = core->running->len + g_hash_table_size (core->transactions);
  health->acked = core->acked;
}

void
pl_counts (const PlCore *core, PlCounts *counts)
{
  counts->queued = dq_length (core->queue);
  counts->running = core->running->len;
  counts->transactions = g_hash_table_size (core->transactions);
  counts->connections = g_hash_table_size (core->conns);
}
