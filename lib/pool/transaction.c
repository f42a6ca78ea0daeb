#include "core.h"

/* Percentage of the pool's connections that transactions may hold; the rest is
   kept for single statements.  */
#define TRANSACTION_CONNECTIONS_PERCENT 70

static void
end_transaction (PlCore *core, PlTransaction *transaction)
{
  transaction->customer->transactions--;
  if (transaction->conn != NULL)
    transaction->conn->transaction = NULL;
  g_hash_table_remove (core->transactions, &transaction->id);
}

void
pl_transaction_abort (PlCore *core, GmTime now, PlTransaction *transaction)
{
  PlConn *conn = transaction->conn;
  end_transaction (core, transaction);
  if (conn != NULL)
    pl_conn_close (core, now, conn);
}

gboolean
pl_can_begin (const PlCore *core)
{
  return g_hash_table_size (core->transactions) < pl_transactions_max (core);
}

guint
pl_transactions_max (const PlCore *core)
{
  return (core->connections_max * TRANSACTION_CONNECTIONS_PERCENT + 99) / 100;
}

void
pl_submit_in_transaction (PlCore *core, GmTime now, PlRequest *request)
{
  PlTransaction *transaction
      = g_hash_table_lookup (core->transactions, &request->transaction);
  if (transaction == NULL)
    {
      pl_answer (core, request,
                 request->operation == PL_ROLLBACK ? GM_OK
                                                   : GM_TRANSACTION_LOST,
                 "the transaction has ended; it has no effect");
      return;
    }
  if (transaction->conn->state != CONN_PINNED
      && request->operation == PL_ROLLBACK)
    {
      /* The session closed while its statement runs.  */
      pl_fail_conn (core, now, transaction->conn);
      pl_answer (core, request, GM_OK, "");
      return;
    }
  if (transaction->conn->state != CONN_PINNED)
    {
      pl_answer (core, request, GM_CONFLICT,
                 "not run: a statement of this transaction is still running");
      return;
    }
  if (request->operation != PL_ROLLBACK
      && !pl_fits_conn (transaction->conn, request))
    {
      /* Its caller's key has moved to another customer.  */
      pl_fail_conn (core, now, transaction->conn);
      pl_answer (core, request, GM_TRANSACTION_LOST,
                 "the transaction was another customer's; it has no effect");
      return;
    }
  transaction->last_active = now;
  pl_run (core, now, transaction->conn, request);
}

void
pl_update_transaction (PlCore *core, GmTime now, PlConn *conn,
                       PlRequest *request, const DpOutcome *outcome)
{
  PlTransaction *transaction = conn->transaction;
  if (transaction != NULL && !outcome->in_transaction)
    end_transaction (core, transaction);
  else if (transaction != NULL)
    transaction->last_active = now;
  else if (outcome->in_transaction)
    {
      transaction = g_new0 (PlTransaction, 1);
      transaction->id = ++*core->transaction_counter;
      transaction->conn = conn;
      transaction->customer = conn->customer;
      transaction->customer->transactions++;
      transaction->last_active = now;
      conn->transaction = transaction;
      g_hash_table_insert (core->transactions, &transaction->id, transaction);
      request->transaction = transaction->id;
    }
  request->transaction_open = outcome->in_transaction;
}

void
pl_abort_transaction (PlCore *core, GmTime now, guint64 id)
{
  PlTransaction *transaction = g_hash_table_lookup (core->transactions, &id);
  if (transaction == NULL)
    return;
  if (transaction->conn->request != NULL)
    pl_fail_conn (core, now, transaction->conn);
  else
    pl_transaction_abort (core, now, transaction);
  if (core->by_customer)
    pl_schedule (core, now);
}

void
pl_expire_transactions (PlCore *core, GmTime now)
{
  g_autoptr (GPtrArray) ended = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PlTransaction *t = value;
      if (t->conn->state == CONN_PINNED
          && now >= t->last_active + core->transaction_idle_max)
        g_ptr_array_add (ended, value);
    }
  for (guint i = 0; i < ended->len; i++)
    pl_transaction_abort (core, now, g_ptr_array_index (ended, i));
}
