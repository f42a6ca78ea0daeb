#include "core.h"
#include "base/mutant.h"

#define MEAN_DIVISOR 8 /* a new value has a weight of 1/8 */

GmTime
pl_cost (const PlCore *core, const char *service)
{
  const GmTime *cost = g_hash_table_lookup (core->service_costs, service);
  return cost != NULL ? *cost : PL_INITIAL_SERVICE_TIME;
}

void
pl_answer (PlCore *core, PlRequest *request, GmKind kind, const char *message)
{
  request->kind = kind;
  g_strlcpy (request->message, message, sizeof request->message);
  pl_push_action (core, PL_ANSWER, 0, request);
}

/* Answers REQUEST, whose connection was lost.  Only a commit or a single write
   may have taken effect.  */
static void
answer_connection_lost (PlCore *core, PlRequest *request)
{
  gboolean writes
      = request->operation == PL_WRITE || request->operation == PL_COMMIT;
  if (writes && !GM_MUTANT (GUESS_NOT_RUN))
    pl_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the connection was lost while the statement ran");
  else if (request->operation == PL_ROLLBACK)
    pl_answer (core, request, GM_OK, "");
  else if (request->operation == PL_IN_TRANSACTION || writes)
    pl_answer (core, request, GM_TRANSACTION_LOST,
               "the transaction's connection was lost; it has no effect");
  else
    pl_answer (core, request, GM_UNAVAILABLE,
               "the connection was lost while the read ran");
}

static void
remove_running (PlCore *core, PlRequest *request)
{
  PlConn *conn = request->base.connection;
  if (request->begins != DP_NO_BEGIN && conn->transaction == NULL)
    conn->customer->beginning--;
  g_ptr_array_remove_fast (core->running, request);
  core->overdue_count -= request->overdue ? 1 : 0;
}

void
pl_fail_conn (PlCore *core, GmTime now, PlConn *conn)
{
  PlRequest *request = conn->request;
  PlTransaction *transaction = conn->transaction;
  conn->request = NULL;
  if (request != NULL)
    {
      remove_running (core, request);
      answer_connection_lost (core, request);
    }
  if (transaction != NULL)
    pl_transaction_abort (core, now, transaction);
  else
    pl_conn_close (core, now, conn);
}

static void
update_time_estimates (PlCore *core, GmTime now, const PlRequest *request)
{
  GmTime took = MAX (now - request->base.started, 1);
  core->round_trip_min
      = core->round_trip_min == 0 ? took : MIN (core->round_trip_min, took);
  took = MAX (took - core->round_trip_min, 1);
  /* With more in flight than slots, part of the time was spent waiting at the
     database.  */
  guint busy = core->running->len + 1;
  if (busy > core->slots)
    took = took * (GmTime)core->slots / (GmTime)busy;
  core->service_time_mean
      = MAX (core->service_time_mean
                 + (took - core->service_time_mean) / MEAN_DIVISOR,
             1);
  GmTime *cost
      = g_hash_table_lookup (core->service_costs, request->base.service);
  if (cost == NULL)
    {
      cost = g_new (GmTime, 1);
      *cost = PL_INITIAL_SERVICE_TIME;
      g_hash_table_insert (core->service_costs,
                           g_strdup (request->base.service), cost);
    }
  *cost = MAX (*cost + (took - *cost) / MEAN_DIVISOR, 1);
}

/* Records the position of a database that proved its leadership: it includes
   everything acknowledged before the exchange was sent.  */
static void
record_leader_proof (PlCore *core, const PlRequest *request,
                     const DpOutcome *outcome)
{
  GmTime proved_at = request->confirmed_at != 0
                         ? MIN (request->base.started, request->confirmed_at)
                         : request->base.started;
  if (!outcome->was_primary
      || (core->has_leader_proof && proved_at <= core->leader_proof_time))
    return;
  core->has_leader_proof = TRUE;
  core->leader_position = outcome->primary_point;
  core->leader_proof_time = proved_at;
}

gboolean
pl_leader_position (const PlCore *core, TkPoint *point, GmTime *at)
{
  *point = core->leader_position;
  *at = core->leader_proof_time;
  return core->has_leader_proof;
}

static void
record_answer (PlCore *core, GmTime now, const PlRequest *request,
               const DpOutcome *outcome)
{
  pl_note_activity (core, now);
  pl_note_confirmed (core, now, request, outcome);
}

void
pl_done (PlCore *core, GmTime now, guint64 number, const DpOutcome *outcome)
{
  PlConn *conn = g_hash_table_lookup (core->conns, &number);
  if (conn == NULL || conn->request == NULL)
    return;
  PlRequest *request = conn->request;
  remove_running (core, request);
  core->answered_count++;
  if (outcome->kind == GM_OK && request->operation != PL_PROVE_LEADER)
    update_time_estimates (core, now, request);
  record_leader_proof (core, request, outcome);
  record_answer (core, now, request, outcome);
  pl_update_transaction (core, now, conn, request, outcome);
  request->base.connection = NULL;
  request->point = outcome->point;
  request->signature = g_strdup (outcome->signature);
  request->rows = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
  pl_answer (core, request, outcome->kind, outcome->message);
  pl_conn_release (core, now, conn);
  pl_open_connections (core, now);
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
      PlCustomer *customer = conn->customer;
      pl_conn_drop (core, conn);
      pl_note_refused (core, now, customer);
    }
  else
    pl_fail_conn (core, now, conn);
  if (core->running->len == 0)
    core->unanswered_since = 0;
  pl_open_connections (core, now);
  pl_schedule (core, now);
}

void
pl_expire_running (PlCore *core, GmTime now)
{
  for (guint i = core->running->len; i-- > 0;)
    {
      PlRequest *request = g_ptr_array_index (core->running, i);
      if (now < request->base.deadline + PL_ANSWER_GRACE)
        continue;
      pl_note_given_up (core, now, request);
      pl_fail_conn (core, now, request->base.connection);
    }
}

static gboolean
is_overdue (const PlCore *core, GmTime now, const PlRequest *request)
{
  GmTime usual = pl_cost (core, request->base.service);
  return now >= request->base.started + PL_OVERDUE_MIN
                    + PL_OVERDUE_FACTOR * usual
         && core->answered_count
                >= request->answered_before + PL_OVERDUE_ANSWERS;
}

void
pl_handle_overdue (PlCore *core, GmTime now)
{
  for (guint i = core->running->len; i-- > 0;)
    {
      PlRequest *request = g_ptr_array_index (core->running, i);
      if (request->overdue || !is_overdue (core, now, request))
        continue;
      if (request->operation == PL_READ
          || request->operation == PL_PROVE_LEADER)
        {
          pl_fail_conn (core, now, request->base.connection);
          continue;
        }
      request->overdue = TRUE;
      core->overdue_count++;
    }
}

void
pl_refuse_if_silent (PlCore *core, GmTime now)
{
  DpRequest *queued;
  if (!pl_is_silent (core, now))
    return;
  while ((queued = dq_take_any (core->queue)) != NULL)
    pl_answer (core, (PlRequest *)queued, GM_UNAVAILABLE,
               "not run: the database does not answer");
  for (guint i = core->running->len; i-- > 0;)
    {
      PlRequest *request = g_ptr_array_index (core->running, i);
      gboolean reads = request->operation == PL_READ
                       || request->operation == PL_PROVE_LEADER;
      if (reads && now >= request->base.started + PL_PROBE_TIMEOUT)
        pl_fail_conn (core, now, request->base.connection);
    }
}

void
pl_set_replaced (PlCore *core, gboolean replaced)
{
  core->replaced = replaced;
  /* What was given up before says nothing of the time when it leads again.  */
  if (replaced)
    core->lost_writes = (PlLostRun){ 0 };
}

void
pl_fail_if_replaced (PlCore *core, GmTime now)
{
  if (!core->replaced || !pl_is_silent (core, now) || GM_MUTANT (HELD_UP_RUNS))
    return;
  while (core->running->len > 0)
    {
      const PlRequest *request = g_ptr_array_index (core->running, 0);
      pl_fail_conn (core, now, request->base.connection);
    }
}
