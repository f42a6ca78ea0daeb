#include "core.h"
#include "base/event.h"
#include "base/mutant.h"
#include <string.h>

void
dp_transaction_end (DpCore *core, GmTime now, DpTransaction *transaction)
{
  DpConn *conn = transaction->conn;
  gm_log (GM_EV_TRANSACTION_ENDED, "transaction %u of term %u",
          (guint)transaction->id, (guint)transaction->term);
  if (conn != NULL)
    {
      conn->transaction = NULL;
      transaction->conn = NULL;
      /* Closing the connection makes the database roll back.  */
      dp_conn_close (core, now, conn);
    }
  g_hash_table_remove (core->transactions, &transaction->id);
}

/* Queues a lookup of REQUEST's request id at the new primary, to find out
   whether REQUEST ran.  */
static void
look_up_outcome (DpCore *core, GmTime now, DpRequest *request)
{
  request->operation = DP_OUTCOME;
  request->resolving_outcome = TRUE;
  request->maybe_ran = TRUE;
  request->id_absent = FALSE;
  request->transaction = 0;
  dp_requeue (core, now, request);
}

/* Handles REQUEST, whose outcome is unknown: looks the outcome up if there is
   a primary of a later term, or keeps REQUEST until there is one.  Without a
   request id no lookup is possible.  */
static void
defer_outcome (DpCore *core, GmTime now, DpRequest *request)
{
  const DpDatabase *primary = dp_primary (core);
  if (request->request_id == NULL || *request->request_id == '\0')
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the connection was lost while the request ran");
  else if (primary != NULL && request->sent_in_term < core->term)
    look_up_outcome (core, now, request);
  else
    g_ptr_array_add (core->unresolved, request);
}

/* Takes one retry from the budget; FALSE when REQUEST must not be sent
   again.  */
static gboolean
take_retry (DpCore *core, const DpRequest *request)
{
  if (core->retry_budget < 1 || request->attempts >= DP_ATTEMPTS_MAX)
    return FALSE;
  core->retry_budget -= 1;
  return TRUE;
}

void
dp_request_lost (DpCore *core, GmTime now, DpRequest *request, gboolean sent)
{
  g_ptr_array_remove_fast (core->running, request);
  request->connection = NULL;
  request->maybe_ran = request->maybe_ran || sent;
  switch (request->operation)
    {
    case DP_STATEMENT:
      dp_answer (core, request, GM_TRANSACTION_LOST,
                 "the transaction's connection was lost; it has no effect");
      return;
    case DP_ROLLBACK:
      dp_answer (core, request, GM_OK, "");
      return;
    case DP_WRITE:
    case DP_COMMIT:
      /* The database records the request id together with the effect, so a
         repeated request is answered without running again.  */
      if (sent && request->repeatable && request->operation == DP_WRITE
          && take_retry (core, request))
        {
          if (GM_MUTANT (RETRY_ANEW))
            request->request_id[0] = 'x';
          dp_requeue (core, now, request);
          return;
        }
      if (sent)
        {
          defer_outcome (core, now, request);
          return;
        }
      break;
    default:
      break;
    }
  if (request->operation == DP_COMMIT)
    dp_answer (core, request, GM_TRANSACTION_LOST,
               "the transaction's connection was lost; it has no effect");
  else if (request->resolving_outcome || take_retry (core, request))
    dp_requeue (core, now, request);
  else
    dp_refuse (core, request, GM_UNAVAILABLE,
               "not run: connections to the database fail");
}

void
dp_answer_confirmed (DpCore *core, DpRequest *request)
{
  if (request->id_absent && request->original_operation != DP_OUTCOME)
    dp_answer (core, request, GM_UNAVAILABLE,
               "not run: the primary was replaced before a majority held the "
               "write; it has no effect");
  else if (request->id_absent)
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "no request with this id is on record yet");
  else
    {
      if (tk_point_compare (request->point_to_confirm, core->acknowledged) > 0)
        core->acknowledged = request->point_to_confirm;
      dp_answer (core, request, GM_OK, "");
    }
}

void
dp_await_confirmation (DpCore *core, GmTime now, DpRequest *request)
{
  g_ptr_array_add (core->awaiting_confirmation, request);
  dp_advance_confirmed (core, now);
}

/* Whether STATUS, received on CONN, is that of the group's primary.  */
static gboolean
reports_as_primary (const DpCore *core, const DpConn *conn,
                    const FoDatabaseStatus *status)
{
  return strcmp (conn->database->id, core->primary) == 0 && status->primary
         && status->term == core->term;
}

static void
retry_read (DpCore *core, GmTime now, DpRequest *request)
{
  request->maybe_ran = TRUE;
  if (request->replica)
    gm_count (GM_M_replica_stale_total, 1);
  if (request->attempts >= DP_ATTEMPTS_MAX)
    request->primary_allowed_at = now;
  dp_requeue (core, now, request);
}

/* Answers a read if, before the statement ran, the database's log matched the
   primary's and included the required position.  A read at the primary, or in
   a group of more than three copies, is answered only once a majority holds
   everything that the statement may have seen.  */
static void
read_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
           const DpOutcome *outcome)
{
  const FoDatabaseStatus *before = &outcome->before;
  gboolean primary = reports_as_primary (core, conn, before);
  gboolean reached = tk_point_reached (request->required, before->last_term,
                                       before->applied);
  gboolean young
      = request->max_age == DP_ANY_AGE || primary || GM_MUTANT (AGE_UNCHECKED)
        || (request->max_age > 0
            && dp_age_bound (core, now, before->last_term, before->applied)
                   <= request->max_age);
  gboolean aligned
      = dp_log_matches_primary (core, before) || GM_MUTANT (UNALIGNED_READ);
  if (!reached || !young || !aligned || (before->primary && !primary)
      || !outcome->has_after)
    {
      retry_read (core, now, request);
      return;
    }
  request->rows = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
  request->seen
      = (TkPoint){ outcome->after.last_term, outcome->after.applied };
  request->replica = !primary;
  /* With up to three copies, a replica and the primary are a majority.  */
  if ((!primary && core->copies <= 3) || GM_MUTANT (READ_UNSAFE))
    {
      dp_answer (core, request, GM_OK, "");
      return;
    }
  request->point_to_confirm = request->seen;
  dp_await_confirmation (core, now, request);
}

static void
write_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
            const DpOutcome *outcome)
{
  if (!outcome->has_after || !reports_as_primary (core, conn, &outcome->after))
    {
      /* The write may have run at a primary that was being replaced.  */
      defer_outcome (core, now, request);
      return;
    }
  request->rows = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
  request->point_to_confirm
      = (TkPoint){ outcome->after.last_term, outcome->after.received };
  request->seen = request->point_to_confirm;
  dp_await_confirmation (core, now, request);
}

static void
begin_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
            const DpOutcome *outcome)
{
  if (!reports_as_primary (core, conn, &outcome->before))
    {
      /* The connection has a transaction open at a replaced primary.  */
      conn->request = NULL;
      dp_conn_close (core, now, conn);
      dp_requeue (core, now, request);
      return;
    }
  DpTransaction *transaction = g_new0 (DpTransaction, 1);
  transaction->id = ++core->next_transaction;
  transaction->conn = conn;
  transaction->last_used = now;
  transaction->term = core->term;
  conn->transaction = transaction;
  dp_conn_release (core, now, conn);
  if (GM_MUTANT (SHARED_CONNECTION))
    g_ptr_array_add (conn->database->idle_conns, conn);
  g_hash_table_insert (core->transactions, &transaction->id, transaction);
  request->transaction = transaction->id;
  dp_answer (core, request, GM_OK, "");
}

static void
outcome_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
              const DpOutcome *outcome)
{
  if (!outcome->has_after || !reports_as_primary (core, conn, &outcome->after))
    {
      dp_requeue (core, now, request);
      return;
    }
  /* That the id is absent is final only once a majority holds the new
     primary's log: until then a later term could choose a copy whose log ends
     with entries of the old term, among them this request's.  */
  request->id_absent = !outcome->found;
  if (request->id_absent && GM_MUTANT (ABSENT_AT_ONCE))
    {
      dp_answer_confirmed (core, request);
      return;
    }
  request->point_to_confirm
      = (TkPoint){ outcome->after.last_term, outcome->after.received };
  request->seen = request->point_to_confirm;
  dp_await_confirmation (core, now, request);
}

static void
answer_failed (DpCore *core, DpRequest *request, const DpOutcome *outcome)
{
  dp_answer (core, request, outcome->kind, outcome->message);
}

/* Forgets the transaction on CONN after a commit or rollback.  The database
   adapter has already reset the connection, which can be reused.  */
static void
release_transaction (DpCore *core, DpConn *conn)
{
  DpTransaction *transaction = conn->transaction;
  if (transaction == NULL)
    return;
  conn->transaction = NULL;
  transaction->conn = NULL;
  g_hash_table_remove (core->transactions, &transaction->id);
}

static void
finish_request (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
                const DpOutcome *outcome)
{
  switch (request->operation)
    {
    case DP_READ:
      read_done (core, now, conn, request, outcome);
      break;
    case DP_WRITE:
    case DP_COMMIT:
      write_done (core, now, conn, request, outcome);
      break;
    case DP_OUTCOME:
      outcome_done (core, now, conn, request, outcome);
      break;
    default:
      request->rows
          = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
      dp_answer (core, request, GM_OK, "");
      break;
    }
}

static void
record_service_time (DpCore *core, GmTime now, DpDatabase *database,
                     const DpRequest *request)
{
  if (request->operation != DP_READ && request->operation != DP_WRITE)
    return;
  GmTime took = MAX (now - request->started - database->round_trip, 1);
  /* With more requests in flight than slots, part of the time was spent
     waiting for a slot.  */
  if (database->in_flight > database->slots)
    took = took * (GmTime)database->slots / (GmTime)database->in_flight;
  database->service_time
      = MAX (database->service_time + (took - database->service_time) / 8, 1);
  dp_update_cost (core, request, took);
}

void
dp_request_done (DpCore *core, GmTime now, guint64 number,
                 const DpOutcome *outcome)
{
  DpConn *conn = g_hash_table_lookup (core->conns, &number);
  if (conn == NULL || conn->request == NULL)
    return;
  DpRequest *request = conn->request;
  if (outcome->kind == GM_UNAVAILABLE || outcome->kind == GM_OUTCOME_UNKNOWN)
    {
      DpTransaction *transaction = conn->transaction;
      dp_conn_close (core, now, conn);
      dp_request_lost (core, now, request,
                       outcome->kind == GM_OUTCOME_UNKNOWN);
      if (transaction != NULL)
        dp_transaction_end (core, now, transaction);
      dp_schedule (core, now);
      return;
    }
  record_service_time (core, now, conn->database, request);
  g_ptr_array_remove_fast (core->running, request);
  request->connection = NULL;
  if (outcome->has_after)
    dp_merge_status (conn->database, now, &outcome->after);
  if (request->operation == DP_COMMIT || request->operation == DP_ROLLBACK)
    release_transaction (core, conn);
  /* The connection is released last because the release may close it.  */
  if (outcome->kind == GM_OK && request->operation == DP_BEGIN)
    begin_done (core, now, conn, request, outcome);
  else
    {
      if (outcome->kind != GM_OK)
        answer_failed (core, request, outcome);
      else
        finish_request (core, now, conn, request, outcome);
      dp_conn_release (core, now, conn);
    }
  dp_schedule (core, now);
}

/* Handles requests whose position was not confirmed before the term changed:
   reads are repeated, the outcome of others is looked up.  */
static void
drop_unconfirmed (DpCore *core, GmTime now)
{
  for (guint i = core->awaiting_confirmation->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->awaiting_confirmation, i);
      if (request->point_to_confirm.term == core->term)
        continue;
      g_ptr_array_remove_index_fast (core->awaiting_confirmation, i);
      g_clear_pointer (&request->rows, g_bytes_unref);
      if (request->operation == DP_READ)
        dp_requeue (core, now, request);
      else
        g_ptr_array_add (core->unresolved, request);
    }
}

/* Aborts the requests that run at the replaced primary, which can't be
   acknowledged any more.  */
static void
abort_running (DpCore *core, GmTime now)
{
  g_autoptr (GPtrArray) old = g_ptr_array_new ();
  for (guint i = 0; i < core->running->len; i++)
    {
      DpRequest *request = g_ptr_array_index (core->running, i);
      if (!request->replica && request->sent_in_term < core->term)
        g_ptr_array_add (old, request);
    }
  for (guint i = 0; i < old->len; i++)
    {
      DpRequest *request = g_ptr_array_index (old, i);
      DpConn *conn = request->connection;
      DpTransaction *transaction = conn->transaction;
      dp_conn_close (core, now, conn);
      dp_request_lost (core, now, request, TRUE);
      if (transaction != NULL)
        dp_transaction_end (core, now, transaction);
    }
}

static void
end_old_transactions (DpCore *core, GmTime now)
{
  g_autoptr (GPtrArray) old = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((DpTransaction *)value)->term < core->term)
      g_ptr_array_add (old, value);
  for (guint i = 0; i < old->len; i++)
    dp_transaction_end (core, now, g_ptr_array_index (old, i));
}

void
dp_resolve_outcomes (DpCore *core, GmTime now)
{
  for (guint i = core->unresolved->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->unresolved, i);
      if (request->sent_in_term >= core->term)
        continue;
      g_ptr_array_remove_index_fast (core->unresolved, i);
      look_up_outcome (core, now, request);
    }
}

void
dp_set_term (DpCore *core, GmTime now, guint64 term, const char *primary)
{
  if (core->term == term && strcmp (core->primary, primary) == 0)
    return;
  gboolean later = term > core->term;
  core->term = term;
  g_strlcpy (core->primary, primary, sizeof core->primary);
  core->stuck_since = 0;
  if (later)
    {
      abort_running (core, now);
      end_old_transactions (core, now);
      drop_unconfirmed (core, now);
    }
  if (*primary != '\0')
    dp_resolve_outcomes (core, now);
  dp_advance_confirmed (core, now);
  dp_schedule (core, now);
}
