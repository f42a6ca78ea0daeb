#include "dbapi.h"
#include "wire/message.h"
#include <glib-unix.h>
#include <libpq-fe.h>
#include <string.h>

#define PIPELINE_STEPS_MAX 6
#define STATEMENT_PARAMS_MAX 64
#define CONNECT_TIMEOUT_S 2

/* Functions and tables of the galenamount extension in the database; see
   docs/design/database.md.  */
#define SQL_STATUS "SELECT * FROM galenamount.status()"
#define SQL_SEAL "SELECT * FROM galenamount.seal($1)"
#define SQL_PROMOTE "SELECT * FROM galenamount.promote($1)"
#define SQL_FOLLOW "SELECT * FROM galenamount.follow($1, $2, $3)"
#define SQL_RECORD_REQUEST "INSERT INTO galenamount.requests (id) VALUES ($1)"
#define SQL_FIND_REQUEST "SELECT id FROM galenamount.requests WHERE id = $1"

#define SQLSTATE_UNIQUE_VIOLATION "23505" /* unique_violation */
#define SQLSTATE_READ_ONLY "25006"        /* read_only_sql_transaction */
#define SQLSTATE_CLASS_OPERATOR "57"

/* What the result of one query of a pipeline means.  */
typedef enum
{
  STEP_COMMAND, /* success or error only */
  STEP_STATUS_BEFORE,
  STEP_STATUS_AFTER,
  STEP_STATEMENT, /* the caller's statement */
  STEP_RECORD_REQUEST,
  STEP_COMMIT,
  STEP_FIND_REQUEST
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
  guint connect_timer;
  gboolean ready;
  gboolean running;
  gboolean in_transaction;  /* the call began it; rolled back on an error */
  gboolean reset_when_done; /* reset the session when the call ends */
  Step steps[PIPELINE_STEPS_MAX];
  guint step_count;
  guint step;                /* index of the next result in steps */
  gboolean already_recorded; /* the request id is on record already */
  DpOutcome outcome;
} PgConn;

static void
pg_free (PgConn *c)
{
  g_clear_handle_id (&c->read_watch, g_source_remove);
  g_clear_handle_id (&c->write_watch, g_source_remove);
  g_clear_handle_id (&c->connect_timer, g_source_remove);
  g_clear_pointer (&c->outcome.rows, g_bytes_unref);
  PQfinish (c->pg);
  g_free (c);
}

static void
report_lost (PgConn *c)
{
  g_autofree char *message = g_strdup (PQerrorMessage (c->pg));
  c->handler->lost (&c->conn, message, c->owner);
  pg_free (c);
}

static gboolean
parse_status (const PGresult *result, FoDatabaseStatus *status)
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
set_error (PgConn *c, GmKind kind, const char *message)
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
      set_error (c, GM_TOO_LARGE, "the answer's rows exceed the size limit");
      return;
    }
  g_clear_pointer (&c->outcome.rows, g_bytes_unref);
  c->outcome.rows
      = wm_strings_encode ((const char *const *)strings->pdata, strings->len);
}

static void
handle_success (PgConn *c, const PGresult *result)
{
  switch (c->steps[c->step])
    {
    case STEP_STATUS_BEFORE:
      c->outcome.has_before = parse_status (result, &c->outcome.before);
      break;
    case STEP_STATUS_AFTER:
      c->outcome.has_after = parse_status (result, &c->outcome.after);
      break;
    case STEP_STATEMENT:
      collect_rows (c, result);
      break;
    case STEP_FIND_REQUEST:
      c->outcome.found = PQntuples (result) > 0;
      break;
    case STEP_COMMIT:
      /* COMMIT in a failed transaction succeeds with the tag ROLLBACK.  */
      if (strcmp (PQcmdStatus ((PGresult *)result), "COMMIT") != 0)
        set_error (c, GM_DATABASE, "the transaction was rolled back");
      c->in_transaction = FALSE;
      break;
    default:
      break;
    }
}

static void
handle_error (PgConn *c, const PGresult *result)
{
  const char *state = PQresultErrorField (result, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorField (result, PG_DIAG_MESSAGE_PRIMARY);
  Step step = c->steps[c->step];
  if (state == NULL)
    state = "";
  if (strcmp (state, SQLSTATE_UNIQUE_VIOLATION) == 0
      && (step == STEP_RECORD_REQUEST || step == STEP_COMMIT))
    c->already_recorded = TRUE;
  else if (strcmp (state, SQLSTATE_READ_ONLY) == 0
           || strncmp (state, SQLSTATE_CLASS_OPERATOR, 2) == 0)
    set_error (c, GM_UNAVAILABLE,
               text != NULL ? text : "the database is unavailable");
  else
    set_error (c, GM_DATABASE, text != NULL ? text : "the statement failed");
}

static void
send_step (PgConn *c, Step step, const char *sql, int count,
           const char *const *values)
{
  g_assert (c->step_count < PIPELINE_STEPS_MAX);
  c->steps[c->step_count++] = step;
  PQsendQueryParams (c->pg, sql, count, NULL, values, NULL, NULL, 0);
}

static gboolean handle_writable (gint fd, GIOCondition condition,
                                 gpointer data);

static void
flush_pipeline (PgConn *c)
{
  c->step = 0;
  PQpipelineSync (c->pg);
  if (PQflush (c->pg) == 1 && c->write_watch == 0)
    c->write_watch
        = g_unix_fd_add (PQsocket (c->pg), G_IO_OUT, handle_writable, c);
}

static void
roll_back (PgConn *c)
{
  c->in_transaction = FALSE;
  c->step_count = 0;
  send_step (c, STEP_COMMAND, "ROLLBACK", 0, NULL);
  send_step (c, STEP_STATUS_AFTER, SQL_STATUS, 0, NULL);
  flush_pipeline (c);
}

/* Sends DISCARD ALL in a pipeline of its own: the command is refused inside a
   transaction block, and all commands of a pipeline up to its sync form
   one.  */
static void
reset_session (PgConn *c)
{
  c->reset_when_done = FALSE;
  c->step_count = 0;
  send_step (c, STEP_COMMAND, "DISCARD ALL", 0, NULL);
  flush_pipeline (c);
}

static void
finish_call (PgConn *c)
{
  if (c->in_transaction && (c->outcome.kind != GM_OK || c->already_recorded))
    {
      roll_back (c);
      return;
    }
  if (c->reset_when_done)
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

/* Processes one result.  Returns TRUE when RESULT ended the pipeline.  */
static gboolean
handle_result (PgConn *c, PGresult *result)
{
  switch (PQresultStatus (result))
    {
    case PGRES_PIPELINE_SYNC:
      return TRUE;
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
    case PGRES_EMPTY_QUERY:
      handle_success (c, result);
      break;
    case PGRES_PIPELINE_ABORTED:
      break;
    default:
      handle_error (c, result);
      break;
    }
  c->step++;
  return FALSE;
}

static gboolean
handle_readable (gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  PgConn *c = data;
  if (PQconsumeInput (c->pg) == 0 || PQstatus (c->pg) == CONNECTION_BAD)
    {
      c->read_watch = 0;
      report_lost (c);
      return G_SOURCE_REMOVE;
    }
  guint consecutive_nulls = 0;
  while (c->running && consecutive_nulls < 2 && PQisBusy (c->pg) == 0)
    {
      PGresult *result = PQgetResult (c->pg);
      consecutive_nulls = result == NULL ? consecutive_nulls + 1 : 0;
      if (result == NULL)
        continue;
      gboolean ended = handle_result (c, result);
      PQclear (result);
      if (ended)
        {
          /* The owner may close the connection in its done callback, so C
             must not be used after this call.  */
          finish_call (c);
          return G_SOURCE_CONTINUE;
        }
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
handle_writable (gint fd, GIOCondition condition, gpointer data)
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
  const char *values[STATEMENT_PARAMS_MAX];
  g_autoptr (GPtrArray) params
      = call->params != NULL ? wm_strings_decode (call->params) : NULL;
  guint count = params != NULL ? MIN (params->len, STATEMENT_PARAMS_MAX) : 0;
  for (guint i = 0; i < count; i++)
    values[i] = g_ptr_array_index (params, i);
  send_step (c, STEP_STATEMENT, call->statement, (int)count, values);
}

static void
send_status (PgConn *c, Step step)
{
  send_step (c, step, SQL_STATUS, 0, NULL);
}

static void
send_command (PgConn *c, const char *sql)
{
  send_step (c, STEP_COMMAND, sql, 0, NULL);
}

static void
send_record (PgConn *c, const DbCall *call)
{
  if (call->request_id != NULL && *call->request_id != '\0')
    send_step (c, STEP_RECORD_REQUEST, SQL_RECORD_REQUEST, 1,
               &call->request_id);
}

static void
send_term_call (PgConn *c, const DbCall *call, const char *sql, int count)
{
  char term[24];
  g_snprintf (term, sizeof term, "%" G_GUINT64_FORMAT, call->term);
  const char *values[] = { term, call->follow_id, call->follow_address };
  send_step (c, STEP_STATUS_AFTER, sql, count, values);
}

static void
send_call (PgConn *c, const DbCall *call)
{
  switch (call->type)
    {
    case DB_READ:
      send_status (c, STEP_STATUS_BEFORE);
      send_statement (c, call);
      send_status (c, STEP_STATUS_AFTER);
      break;
    case DB_WRITE:
      c->in_transaction = TRUE;
      send_command (c, "BEGIN");
      send_record (c, call);
      send_statement (c, call);
      send_step (c, STEP_COMMIT, "COMMIT", 0, NULL);
      send_status (c, STEP_STATUS_AFTER);
      break;
    case DB_BEGIN:
      send_status (c, STEP_STATUS_BEFORE);
      send_command (c, "BEGIN");
      break;
    case DB_STATEMENT:
    case DB_PLAIN:
      send_statement (c, call);
      break;
    case DB_COMMIT:
      c->in_transaction = TRUE;
      send_record (c, call);
      send_step (c, STEP_COMMIT, "COMMIT", 0, NULL);
      send_status (c, STEP_STATUS_AFTER);
      c->reset_when_done = TRUE;
      break;
    case DB_ROLLBACK:
      send_command (c, "ROLLBACK");
      c->reset_when_done = TRUE;
      break;
    case DB_OUTCOME:
      send_step (c, STEP_FIND_REQUEST, SQL_FIND_REQUEST, 1, &call->request_id);
      send_status (c, STEP_STATUS_AFTER);
      break;
    case DB_STATUS:
      send_status (c, STEP_STATUS_AFTER);
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
    case DB_STEP_DOWN:
    case DB_POSITION:
      /* Only databases that replicate by themselves get these calls.  */
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
  c->already_recorded = FALSE;
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
handle_connected (PgConn *c)
{
  g_clear_handle_id (&c->connect_timer, g_source_remove);
  PQsetnonblocking (c->pg, 1);
  PQenterPipelineMode (c->pg);
  c->ready = TRUE;
  c->read_watch = g_unix_fd_add (
      PQsocket (c->pg), G_IO_IN | G_IO_HUP | G_IO_ERR, handle_readable, c);
  c->handler->ready (&c->conn, c->owner);
}

static gboolean continue_connecting (gint fd, GIOCondition condition,
                                     gpointer data);

static void
wait_for_connect (PgConn *c, PostgresPollingStatusType wanted)
{
  GIOCondition condition
      = wanted == PGRES_POLLING_READING ? G_IO_IN : G_IO_OUT;
  c->read_watch = g_unix_fd_add (PQsocket (c->pg), condition | G_IO_HUP,
                                 continue_connecting, c);
}

static gboolean
continue_connecting (gint fd, GIOCondition condition, gpointer data)
{
  (void)fd;
  (void)condition;
  PgConn *c = data;
  c->read_watch = 0;
  PostgresPollingStatusType wanted = PQconnectPoll (c->pg);
  if (wanted == PGRES_POLLING_OK)
    handle_connected (c);
  else if (wanted == PGRES_POLLING_FAILED)
    report_lost (c);
  else
    wait_for_connect (c, wanted);
  return G_SOURCE_REMOVE;
}

/* Reports that connecting failed or timed out.  Called from the main loop, so
   that the owner's lost callback never runs inside db_postgres_open.  */
static gboolean
report_connect_failed (gpointer data)
{
  PgConn *c = data;
  c->connect_timer = 0;
  report_lost (c);
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
      c->connect_timer = g_idle_add (report_connect_failed, c);
      return &c->conn;
    }
  c->connect_timer
      = g_timeout_add_seconds (CONNECT_TIMEOUT_S, report_connect_failed, c);
  wait_for_connect (c, PGRES_POLLING_WRITING);
  return &c->conn;
}
