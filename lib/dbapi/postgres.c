#include "dbapi.h"
#include "wire/message.h"
#include <glib-unix.h>
#include <libpq-fe.h>
#include <string.h>

#define STEPS_MAX 6
#define PARAMS_MAX 64
#define CONNECT_TIMEOUT_S 2

/* Statements of the database's extension; see docs/design/database.md.  */
#define SQL_STATUS "SELECT * FROM galenamount.status()"
#define SQL_SEAL "SELECT * FROM galenamount.seal($1)"
#define SQL_PROMOTE "SELECT * FROM galenamount.promote($1)"
#define SQL_FOLLOW "SELECT * FROM galenamount.follow($1, $2, $3)"
#define SQL_RECORD "INSERT INTO galenamount.requests (id) VALUES ($1)"
#define SQL_FOUND "SELECT id FROM galenamount.requests WHERE id = $1"

#define STATE_DUPLICATE "23505" /* unique_violation */
#define STATE_READ_ONLY "25006" /* read_only_sql_transaction */
#define STATE_CLASS_OPERATOR "57"

typedef enum
{
  STEP_PLAIN,
  STEP_BEFORE,
  STEP_AFTER,
  STEP_ROWS,
  STEP_RECORD,
  STEP_COMMIT,
  STEP_FOUND
} Step;

typedef struct
{
  DbConn conn;
  const DbHandler *handler;
  gpointer owner;
  gsize rows_max;
  PGconn *pg;
  guint read_watch;
  guint write_watch;
  guint timer;
  gboolean ready;
  gboolean running;
  gboolean in_transaction; /* the call's own, to be rolled back on a fault */
  gboolean reset_after;    /* clear the session before it is used again */
  Step steps[STEPS_MAX];
  guint step_count;
  guint step;
  gboolean duplicate;
  DpOutcome outcome;
} PgConn;

static void
pg_free (PgConn *c)
{
  g_clear_handle_id (&c->read_watch, g_source_remove);
  g_clear_handle_id (&c->write_watch, g_source_remove);
  g_clear_handle_id (&c->timer, g_source_remove);
  g_clear_pointer (&c->outcome.rows, g_bytes_unref);
  PQfinish (c->pg);
  g_free (c);
}

static void
pg_lost (PgConn *c)
{
  g_autofree char *message = g_strdup (PQerrorMessage (c->pg));
  c->handler->lost (&c->conn, message, c->owner);
  pg_free (c);
}

static gboolean
read_status (const PGresult *result, FoDatabase *status)
{
  if (PQntuples (result) != 1 || PQnfields (result) < 6)
    return FALSE;
  guint64 numbers[4];
  for (int i = 0; i < 4; i++)
    if (!g_ascii_string_to_unsigned (PQgetvalue (result, 0, i + 1), 10, 0,
                                     G_MAXUINT64, &numbers[i], NULL))
      return FALSE;
  status->primary = strcmp (PQgetvalue (result, 0, 0), "t") == 0;
  status->term = numbers[0];
  status->last_term = numbers[1];
  status->received = numbers[2];
  status->applied = numbers[3];
  g_strlcpy (status->following, PQgetvalue (result, 0, 5),
             sizeof status->following);
  return TRUE;
}

static void
set_fault (PgConn *c, GmKind kind, const char *message)
{
  if (c->outcome.kind != GM_OK)
    return;
  c->outcome.kind = kind;
  g_strlcpy (c->outcome.message, message, sizeof c->outcome.message);
}

static void
collect_rows (PgConn *c, const PGresult *result)
{
  int columns = PQnfields (result);
  int rows = PQntuples (result);
  g_autoptr (GPtrArray) strings = g_ptr_array_new ();
  g_autofree char *count = g_strdup_printf ("%d", columns);
  gsize bytes = 0;
  g_ptr_array_add (strings, count);
  for (int i = 0; i < columns; i++)
    g_ptr_array_add (strings, PQfname (result, i));
  for (int row = 0; row < rows; row++)
    for (int i = 0; i < columns; i++)
      {
        gboolean null = PQgetisnull (result, row, i) != 0;
        bytes += null ? 1 : (gsize)PQgetlength (result, row, i);
        g_ptr_array_add (strings, null ? NULL : PQgetvalue (result, row, i));
      }
  if (bytes > c->rows_max)
    {
      set_fault (c, GM_TOO_LARGE, "the answer's rows are over the limit");
      return;
    }
  g_clear_pointer (&c->outcome.rows, g_bytes_unref);
  c->outcome.rows
      = wm_strings_encode ((const char *const *)strings->pdata, strings->len);
}

static void
take_success (PgConn *c, const PGresult *result)
{
  switch (c->steps[c->step])
    {
    case STEP_BEFORE:
      c->outcome.has_before = read_status (result, &c->outcome.before);
      break;
    case STEP_AFTER:
      c->outcome.has_after = read_status (result, &c->outcome.after);
      break;
    case STEP_ROWS:
      collect_rows (c, result);
      break;
    case STEP_FOUND:
      c->outcome.found = PQntuples (result) > 0;
      break;
    case STEP_COMMIT:
      /* A commit of a failed transaction succeeds as a rollback.  */
      if (strcmp (PQcmdStatus ((PGresult *)result), "COMMIT") != 0)
        set_fault (c, GM_DATABASE, "the transaction was rolled back");
      c->in_transaction = FALSE;
      break;
    default:
      break;
    }
}

static void
take_fault (PgConn *c, const PGresult *result)
{
  const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorField (result, PG_DIAG_MESSAGE_PRIMARY);
  Step step = c->steps[c->step];
  if (state == NULL)
    state = "";
  if (strcmp (state, STATE_DUPLICATE) == 0
      && (step == STEP_RECORD || step == STEP_COMMIT))
    c->duplicate = TRUE;
  else if (strcmp (state, STATE_READ_ONLY) == 0
           || strncmp (state, STATE_CLASS_OPERATOR, 2) == 0)
    set_fault (c, GM_UNAVAILABLE, text != NULL ? text : "unavailable");
  else
    set_fault (c, GM_DATABASE, text != NULL ? text : "failed");
}

static void
send_step (PgConn *c, Step step, const char *sql, int count,
           const char *const *values)
{
  g_assert (c->step_count < STEPS_MAX);
  c->steps[c->step_count++] = step;
  PQsendQueryParams (c->pg, sql, count, NULL, values, NULL, NULL, 0);
}

static gboolean pg_writable (gint fd, GIOCondition condition, gpointer data);

static void
flush_pipeline (PgConn *c)
{
  c->step = 0;
  PQpipelineSync (c->pg);
  if (PQflush (c->pg) == 1 && c->write_watch == 0)
    c->write_watch
        = g_unix_fd_add (PQsocket (c->pg), G_IO_OUT, pg_writable, c);
}

static void
roll_back (PgConn *c)
{
  c->in_transaction = FALSE;
  c->step_count = 0;
  send_step (c, STEP_PLAIN, "ROLLBACK", 0, NULL);
  send_step (c, STEP_AFTER, SQL_STATUS, 0, NULL);
  flush_pipeline (c);
}

/* DISCARD ALL is refused inside a transaction block, and a pipeline is one up
   to its sync.  */
static void
reset_session (PgConn *c)
{
  c->reset_after = FALSE;
  c->step_count = 0;
  send_step (c, STEP_PLAIN, "DISCARD ALL", 0, NULL);
  flush_pipeline (c);
}

static void
finish_call (PgConn *c)
{
  if (c->in_transaction && (c->outcome.kind != GM_OK || c->duplicate))
    {
      roll_back (c);
      return;
    }
  if (c->reset_after)
    {
      reset_session (c);
      return;
    }
  DpOutcome outcome = c->outcome;
  memset (&c->outcome, 0, sizeof c->outcome);
  c->running = FALSE;
  c->handler->done (&c->conn, &outcome, c->owner);
  if (outcome.rows != NULL)
    g_bytes_unref (outcome.rows);
}

/* Takes one result; TRUE when it ended the pipeline.  */
static gboolean
take_result (PgConn *c, PGresult *result)
{
  switch (PQresultStatus (result))
    {
    case PGRES_PIPELINE_SYNC:
      return TRUE;
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      take_success (c, result);
      break;
    case PGRES_PIPELINE_ABORTED:
      break;
    default:
      take_fault (c, result);
      break;
    }
  c->step++;
  return FALSE;
}

static gboolean
pg_readable (gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  PgConn *c = data;
  if (PQconsumeInput (c->pg) == 0 || PQstatus (c->pg) == CONNECTION_BAD)
    {
      c->read_watch = 0;
      pg_lost (c);
      return G_SOURCE_REMOVE;
    }
  guint nulls = 0;
  while (c->running && nulls < 2 && PQisBusy (c->pg) == 0)
    {
      PGresult *result = PQgetResult (c->pg);
      nulls = result == NULL ? nulls + 1 : 0;
      if (result == NULL)
        continue;
      gboolean ended = take_result (c, result);
      PQclear (result);
      if (ended)
        {
          /* The owner may close the connection in its report.  */
          finish_call (c);
          return G_SOURCE_CONTINUE;
        }
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
pg_writable (gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  PgConn *c = data;
  if (PQflush (c->pg) == 1)
    return G_SOURCE_CONTINUE;
  c->write_watch = 0;
  return G_SOURCE_REMOVE;
}

static void
send_statement (PgConn *c, const DbCall *call)
{
  const char *values[PARAMS_MAX];
  g_autoptr (GPtrArray) params
      = call->params != NULL ? wm_strings_decode (call->params) : NULL;
  guint count = params != NULL ? MIN (params->len, PARAMS_MAX) : 0;
  for (guint i = 0; i < count; i++)
    values[i] = g_ptr_array_index (params, i);
  send_step (c, STEP_ROWS, call->statement, (int)count, values);
}

static void
send_status (PgConn *c, Step step)
{
  send_step (c, step, SQL_STATUS, 0, NULL);
}

static void
send_plain (PgConn *c, const char *sql)
{
  send_step (c, STEP_PLAIN, sql, 0, NULL);
}

static void
send_record (PgConn *c, const DbCall *call)
{
  if (call->request_id != NULL && *call->request_id != '\0')
    send_step (c, STEP_RECORD, SQL_RECORD, 1, &call->request_id);
}

static void
send_term_call (PgConn *c, const DbCall *call, const char *sql, int count)
{
  char term[24];
  g_snprintf (term, sizeof term, "%" G_GUINT64_FORMAT, call->term);
  const char *values[] = { term, call->follow_id, call->follow_address };
  send_step (c, STEP_AFTER, sql, count, values);
}

static void
send_call (PgConn *c, const DbCall *call)
{
  switch (call->type)
    {
    case DB_READ:
      send_status (c, STEP_BEFORE);
      send_statement (c, call);
      send_status (c, STEP_AFTER);
      break;
    case DB_WRITE:
      c->in_transaction = TRUE;
      send_plain (c, "BEGIN");
      send_record (c, call);
      send_statement (c, call);
      send_step (c, STEP_COMMIT, "COMMIT", 0, NULL);
      send_status (c, STEP_AFTER);
      break;
    case DB_BEGIN:
      send_status (c, STEP_BEFORE);
      send_plain (c, "BEGIN");
      break;
    case DB_STATEMENT:
    case DB_PLAIN:
      send_statement (c, call);
      break;
    case DB_COMMIT:
      c->in_transaction = TRUE;
      send_record (c, call);
      send_step (c, STEP_COMMIT, "COMMIT", 0, NULL);
      send_status (c, STEP_AFTER);
      c->reset_after = TRUE;
      break;
    case DB_ROLLBACK:
      send_plain (c, "ROLLBACK");
      c->reset_after = TRUE;
      break;
    case DB_OUTCOME:
      send_step (c, STEP_FOUND, SQL_FOUND, 1, &call->request_id);
      send_status (c, STEP_AFTER);
      break;
    case DB_STATUS:
      send_status (c, STEP_AFTER);
      break;
    case DB_SEAL:
      send_term_call (c, call, SQL_SEAL, 1);
      break;
    case DB_PROMOTE:
      send_term_call (c, call, SQL_PROMOTE, 1);
      break;
    case DB_FOLLOW:
      send_term_call (c, call, SQL_FOLLOW, 3);
      break;
    case DB_EXCHANGE:
    case DB_UNSEAL:
      /* These are for drivers whose databases replicate by themselves.  */
      g_assert_not_reached ();
    }
}

static void
pg_run (DbConn *conn, const DbCall *call)
{
  PgConn *c = (PgConn *)conn;
  g_assert (c->ready && !c->running);
  c->running = TRUE;
  c->in_transaction = FALSE;
  c->duplicate = FALSE;
  c->step_count = 0;
  send_call (c, call);
  flush_pipeline (c);
}

static void
pg_close (DbConn *conn)
{
  pg_free ((PgConn *)conn);
}

static const DbConnClass pg_class = { .run = pg_run, .close = pg_close };

static void
pg_connected (PgConn *c)
{
  g_clear_handle_id (&c->timer, g_source_remove);
  PQsetnonblocking (c->pg, 1);
  PQenterPipelineMode (c->pg);
  c->ready = TRUE;
  c->read_watch = g_unix_fd_add (
      PQsocket (c->pg), G_IO_IN | G_IO_HUP | G_IO_ERR, pg_readable, c);
  c->handler->ready (&c->conn, c->owner);
}

static gboolean pg_connecting (gint fd, GIOCondition condition, gpointer data);

static void
watch_connecting (PgConn *c, PostgresPollingStatusType wanted)
{
  GIOCondition condition
      = wanted == PGRES_POLLING_READING ? G_IO_IN : G_IO_OUT;
  c->read_watch = g_unix_fd_add (PQsocket (c->pg), condition | G_IO_HUP,
                                 pg_connecting, c);
}

static gboolean
pg_connecting (gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  PgConn *c = data;
  c->read_watch = 0;
  PostgresPollingStatusType wanted = PQconnectPoll (c->pg);
  if (wanted == PGRES_POLLING_OK)
    pg_connected (c);
  else if (wanted == PGRES_POLLING_FAILED)
    pg_lost (c);
  else
    watch_connecting (c, wanted);
  return G_SOURCE_REMOVE;
}

/* The owner hears of a refused connection from the main context, never from
   inside db_postgres_open.  */
static gboolean
pg_refused (gpointer data)
{
  PgConn *c = data;
  c->timer = 0;
  pg_lost (c);
  return G_SOURCE_REMOVE;
}

DbConn *
db_postgres_open (const DbTarget *target, const DbHandler *handler,
                  gpointer owner)
{
  char port[8];
  g_snprintf (port, sizeof port, "%u", target->address.port);
  const char *const keys[] = { "hostaddr",         "port",    "user",
                               "dbname",           "sslmode", "gssencmode",
                               "application_name", NULL };
  const char *const values[]
      = { target->address.ip, port,      "galenamount", "galenamount",
          "disable",          "disable", "galenamount", NULL };
  PgConn *c = g_new0 (PgConn, 1);
  c->conn.class = &pg_class;
  c->handler = handler;
  c->owner = owner;
  c->rows_max = target->rows_max;
  c->pg = PQconnectStartParams (keys, values, 0);
  if (c->pg == NULL || PQstatus (c->pg) == CONNECTION_BAD)
    {
      c->timer = g_idle_add (pg_refused, c);
      return &c->conn;
    }
  c->timer = g_timeout_add_seconds (CONNECT_TIMEOUT_S, pg_refused, c);
  watch_connecting (c, PGRES_POLLING_WRITING);
  return &c->conn;
}
