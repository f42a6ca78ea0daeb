#include "witness.h"

struct Witness
{
  DbConn *conn; /* NULL once it is lost */
  gboolean ready;
  gboolean asked;
  char *id;
  WitnessHandler handler;
  gpointer owner;
};

static void
run_question (Witness *witness)
{
  DbCall call = { .type = DB_POSITION };
  db_run (witness->conn, &call);
}

static void
conn_ready (DbConn *conn, gpointer owner)
{
  (void)conn;
  Witness *witness = owner;
  witness->ready = TRUE;
  if (witness->asked)
    run_question (witness);
}

static void
conn_done (DbConn *conn, const DpOutcome *outcome, gpointer owner)
{
  (void)conn;
  Witness *witness = owner;
  gboolean answered = outcome->kind == GM_OK && outcome->has_after;
  witness->asked = FALSE;
  witness->handler (witness->owner, witness->id, answered,
                    answered ? outcome->after.last_term : 0);
}

static void
conn_lost (DbConn *conn, const char *message, gpointer owner)
{
  (void)conn;
  (void)message;
  Witness *witness = owner;
  witness->conn = NULL;
  witness->handler (witness->owner, witness->id, FALSE, 0);
}

Witness *
witness_new (DbOpen open, const DbTarget *target, WitnessHandler handler,
             gpointer owner)
{
  static const DbHandler conn_handler
      = { .ready = conn_ready, .done = conn_done, .lost = conn_lost };
  Witness *witness = g_new0 (Witness, 1);
  witness->id = g_strdup (target->id);
  witness->handler = handler;
  witness->owner = owner;
  witness->conn = open (target, &conn_handler, witness);
  return witness;
}

void
witness_free (Witness *witness)
{
  if (witness->conn != NULL)
    db_close (witness->conn);
  g_free (witness->id);
  g_free (witness);
}

void
witness_ask (Witness *witness)
{
  witness->asked = TRUE;
  if (witness->ready)
    run_question (witness);
}
