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
      /* Closing makes the database roll back.  */
      dp_conn_close (core, now, conn);
    }
  g_hash_table_remove (core->transactions, &transaction->id);
}

/* Sends REQUEST, whose outcome is open, to the new primary as a question for
   its request id.  */
static void
resolve (DpCore *core, GmTime now, DpRequest *request)
{
  request->operation = DP_OUTCOME;
  request->resolving = TRUE;
  request->maybe_ran = TRUE;
  request->absent = FALSE;
  request->transaction = 0;
  dp_queue_again (core, now, request);
}

static void
leave_unresolved (DpCore *core, GmTime now, DpRequest *request)
{
  const DpDatabase *primary = dp_primary (core);
  if (request->request_id == NULL || *request->request_id == '\0')
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "the connection was lost while the request ran");
  else if (primary != NULL && request->run_term < core->term)
    resolve (core, now, request);
  else
    g_ptr_array_add (core->unresolved, request);
}

static gboolean
spend_retry (DpCore *core, const DpRequest *request)
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
      /* The request id is recorded with the effect: sent again, it is answered
         and not run again.  */
      if (sent && request->repeatable && request->operation == DP_WRITE
          && spend_retry (core, request))
        {
          if (GM_MUTANT (RETRY_ANEW))
            request->request_id[0] = 'x';
          dp_queue_again (core, now, request);
          return;
        }
      if (sent)
        {
          leave_unresolved (core, now, request);
          return;
        }
      break;
    default:
      break;
    }
  if (request->operation == DP_COMMIT)
    dp_answer (core, request, GM_TRANSACTION_LOST,
               "the transaction's connection was lost; it has no effect");
  else if (request->resolving || spend_retry (core, request))
    dp_queue_again (core, now, request);
  else
    dp_refuse (core, request, GM_UNAVAILABLE,
               "not run: the database's connections fail");
}

void
dp_answer_confirmed (DpCore *core, DpRequest *request)
{
  if (request->absent && request->original != DP_OUTCOME)
    dp_answer (core, request, GM_UNAVAILABLE,
               "not run: the primary was replaced before the write was safe; "
               "it has no effect");
  else if (request->absent)
    dp_answer (core, request, GM_OUTCOME_UNKNOWN,
               "no request with this id is on record yet");
  else
    {
      if (tk_point_compare (request->written, core->acked) > 0)
        core->acked = request->written;
      dp_answer (core, request, GM_OK, "");
    }
}

void
dp_wait_confirmation (DpCore *core, GmTime now, DpRequest *request)
{
  g_ptr_array_add (core->confirming, request);
  dp_confirm (core, now);
}

/* Whether what the database said of itself makes it the group's primary.  */
static gboolean
speaks_as_primary (const DpCore *core, const DpConn *conn,
                   const FoDatabase *status)
{
  return strcmp (conn->database->id, core->primary) == 0 && status->primary
         && status->term == core->term;
}

static void
read_again (DpCore *core, GmTime now, DpRequest *request)
{
  request->maybe_ran = TRUE;
  if (request->replica)
    gm_count (GM_M_replica_stale_total, 1);
  if (request->attempts >= DP_ATTEMPTS_MAX)
    request->primary_after = now;
  dp_queue_again (core, now, request);
}

/* A read is answered when the log of its database agreed with the primary's
   and held all that the session requires before the statement ran, and, at the
   primary, once a majority holds all that the statement may have seen.  */
static void
read_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
           const DpOutcome *outcome)
{
  const FoDatabase *before = &outcome->before;
  gboolean primary = speaks_as_primary (core, conn, before);
  gboolean reached = tk_point_reached (request->required, before->last_term,
                                       before->applied);
  gboolean young
      = request->max_age == DP_ANY_AGE || primary || GM_MUTANT (AGE_UNCHECKED)
        || (request->max_age > 0
            && dp_age_of (core, now, before->last_term, before->applied)
                   <= request->max_age);
  gboolean aligned
      = dp_is_aligned (core, before) || GM_MUTANT (UNALIGNED_READ);
  if (!reached || !young || !aligned || (before->primary && !primary)
      || !outcome->has_after)
    {
      read_again (core, now, request);
      return;
    }
  request->rows = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
  request->seen
      = (TkPoint){ outcome->after.last_term, outcome->after.applied };
  request->replica = !primary;
  /* One replica and the primary are a majority of up to three copies.  */
  if ((!primary && core->copies <= 3) || GM_MUTANT (READ_UNSAFE))
    {
      dp_answer (core, request, GM_OK, "");
      return;
    }
  request->written = request->seen;
  dp_wait_confirmation (core, now, request);
}

static void
write_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
            const DpOutcome *outcome)
{
  if (!outcome->has_after || !speaks_as_primary (core, conn, &outcome->after))
    {
      /* It may have run at a primary that was being replaced.  */
      leave_unresolved (core, now, request);
      return;
    }
  request->rows = outcome->rows != NULL ? g_bytes_ref (outcome->rows) : NULL;
  request->written
      = (TkPoint){ outcome->after.last_term, outcome->after.received };
  request->seen = request->written;
  dp_wait_confirmation (core, now, request);
}

static void
begin_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
            const DpOutcome *outcome)
{
  if (!speaks_as_primary (core, conn, &outcome->before))
    {
      /* The connection is inside a transaction of a replaced primary.  */
      conn->request = NULL;
      dp_conn_close (core, now, conn);
      dp_queue_again (core, now, request);
      return;
    }
  DpTransaction *transaction = g_new0 (DpTransaction, 1);
  transaction->id = ++core->next_transaction;
  transaction->conn = conn;
  transaction->touched = now;
  transaction->term = core->term;
  conn->transaction = transaction;
  dp_conn_release (core, now, conn);
  if (GM_MUTANT (SHARED_CONNECTION))
    g_ptr_array_add (conn->database->idle, conn);
  g_hash_table_insert (core->transactions, &transaction->id, transaction);
  request->transaction = transaction->id;
  dp_answer (core, request, GM_OK, "");
}

static void
outcome_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
              const DpOutcome *outcome)
{
  if (!outcome->has_after || !speaks_as_primary (core, conn, &outcome->after))
    {
      dp_queue_again (core, now, request);
      return;
    }
  /* The absence counts only once a majority holds the new primary's log: a
     later term could still choose a copy that ends in the old one.  */
  request->absent = !outcome->found;
  if (request->absent && GM_MUTANT (ABSENT_AT_ONCE))
    {
      dp_answer_confirmed (core, request);
      return;
    }
  request->written
      = (TkPoint){ outcome->after.last_term, outcome->after.received };
  request->seen = request->written;
  dp_wait_confirmation (core, now, request);
}

static void
answer_refused (DpCore *core, DpRequest *request, const DpOutcome *outcome)
{
  dp_answer (core, request, outcome->kind, outcome->message);
}

/* Ends the transaction of a commit or rollback: the adapter has reset the
   connection, which goes back to the others.  */
static void
unpin (DpCore *core, DpConn *conn)
{
  DpTransaction *transaction = conn->transaction;
  if (transaction == NULL)
    return;
  conn->transaction = NULL;
  transaction->conn = NULL;
  g_hash_table_remove (core->transactions, &transaction->id);
}

static void
dispatch_done (DpCore *core, GmTime now, DpConn *conn, DpRequest *request,
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
learn_times (DpCore *core, GmTime now, DpDatabase *database,
             const DpRequest *request)
{
  if (request->operation != DP_READ && request->operation != DP_WRITE)
    return;
  GmTime took = MAX (now - request->started - database->trip, 1);
  /* More in flight than slots: part of the time was spent waiting there.  */
  if (database->busy > database->slots)
    took = took * (GmTime)database->slots / (GmTime)database->busy;
  database->service
      = MAX (database->service + (took - database->service) / 8, 1);
  dp_learn_cost (core, request, took);
}

void
dp_done (DpCore *core, GmTime now, guint64 number, const DpOutcome *outcome)
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
  learn_times (core, now, conn->database, request);
  g_ptr_array_remove_fast (core->running, request);
  request->connection = NULL;
  if (outcome->has_after)
    dp_note_status (conn->database, now, &outcome->after);
  if (request->operation == DP_COMMIT || request->operation == DP_ROLLBACK)
    unpin (core, conn);
  /* The connection goes back last: it may be closed with that.  */
  if (outcome->kind == GM_OK && request->operation == DP_BEGIN)
    begin_done (core, now, conn, request, outcome);
  else
    {
      if (outcome->kind != GM_OK)
        answer_refused (core, request, outcome);
      else
        dispatch_done (core, now, conn, request, outcome);
      dp_conn_release (core, now, conn);
    }
  dp_schedule (core, now);
}

static void
fail_over_lists (DpCore *core, GmTime now)
{
  for (guint i = core->confirming->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->confirming, i);
      if (request->written.term == core->term)
        continue;
      g_ptr_array_remove_index_fast (core->confirming, i);
      g_clear_pointer (&request->rows, g_bytes_unref);
      if (request->operation == DP_READ)
        dp_queue_again (core, now, request);
      else
        g_ptr_array_add (core->unresolved, request);
    }
}

/* What runs at the replaced primary can't be acknowledged any more.  */
static void
give_up_running (DpCore *core, GmTime now)
{
  g_autoptr (GPtrArray) old = g_ptr_array_new ();
  for (guint i = 0; i < core->running->len; i++)
    {
      DpRequest *request = g_ptr_array_index (core->running, i);
      if (!request->replica && request->run_term < core->term)
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
dp_resolve_after_term (DpCore *core, GmTime now)
{
  for (guint i = core->unresolved->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->unresolved, i);
      if (request->run_term >= core->term)
        continue;
      g_ptr_array_remove_index_fast (core->unresolved, i);
      resolve (core, now, request);
    }
}

void
dp_group (DpCore *core, GmTime now, guint64 term, const char *primary)
{
  if (core->term == term && strcmp (core->primary, primary) == 0)
    return;
  gboolean later = term > core->term;
  core->term = term;
  g_strlcpy (core->primary, primary, sizeof core->primary);
  core->stuck_since = 0;
  if (later)
    {
      give_up_running (core, now);
      end_old_transactions (core, now);
      fail_over_lists (core, now);
    }
  if (*primary != '\0')
    dp_resolve_after_term (core, now);
  dp_confirm (core, now);
  dp_schedule (core, now);
}
