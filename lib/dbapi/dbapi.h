/* The interface of database drivers.

   A driver opens connections; a connection runs one call at a time.  No
   function blocks: results are reported through callbacks on the main
   context.  */
#pragma once
#include "conf/settings.h"
#include "dispatch/dispatch.h"

/* Types of calls and the steps of each.  "status" reads the database's role,
   term and log positions; "record" stores the request id in the database.  */
typedef enum
{
  DB_READ,      /* status, statement, status */
  DB_WRITE,     /* begin, record, statement, commit, status */
  DB_BEGIN,     /* status, begin */
  DB_STATEMENT, /* a statement inside an open transaction */
  DB_COMMIT,    /* record, commit, status, session reset */
  DB_ROLLBACK,  /* rollback, session reset */
  DB_OUTCOME,   /* look up the request id, status */
  DB_STATUS,
  DB_SEAL,      /* reject replication from terms lower than term */
  DB_PROMOTE,   /* become the primary of term */
  DB_FOLLOW,    /* replicate from the primary of term */
  DB_UNSEAL,    /* accept replication again after DB_SEAL */
  DB_STEP_DOWN, /* become a replica if primary of a term before term */
  DB_POSITION,  /* status, without occupying a slot */
  DB_PLAIN,     /* a statement outside a transaction, without status */
  DB_EXCHANGE   /* the steps in DbCall.exchange */
} DbCallType;

/* A statement for a database that replicates by itself and signs its answers,
   with the steps that bring the connection into the session's state.  The
   steps are sent in one write with the statement, except that the statement
   waits for the answer to a begin.  */
typedef struct
{
  gboolean reset; /* clear session values and prepared statements first */
  const GPtrArray *values;  /* session values to set: name, value, name ... */
  const char *prepare_name; /* NULL: nothing to prepare */
  const char *prepare_shape;
  DpBegin begin;
  TkPoint after;    /* log position the database must have reached; position 0:
                       any */
  guint64 min_term; /* after a begin for writing, the statement is sent only if
                       the log's end is of this term or a later one */
  const char *id;
  const char *text;         /* statement, or NULL: execute execute_name with
                               arguments */
  const char *execute_name; /* NULL with text NULL: no statement */
  const char *arguments;
  gboolean roll_back; /* after the statement */
} DbExchange;

/* One call.  All pointers are borrowed until the end of the call is
   reported.  */
typedef struct
{
  DbCallType type;
  const char *statement;
  GBytes *params; /* parameters, encoded by wm_strings_encode, or NULL */
  const char *request_id;
  guint64 term;
  const char *follow_id;
  const char *follow_address;
  const DbExchange *exchange;
} DbCall;

typedef struct DbConn DbConn;

/* Callbacks to the owner of a connection: ready after the connection was
   opened, done at the end of each call, lost when opening failed or the
   connection broke.  After lost the connection is freed and must not be used
   or closed.  */
typedef struct
{
  void (*ready) (DbConn *conn, gpointer owner);
  void (*done) (DbConn *conn, const DpOutcome *outcome, gpointer owner);
  void (*lost) (DbConn *conn, const char *message, gpointer owner);
} DbHandler;

/* The functions that a driver implements.  */
typedef struct
{
  void (*run) (DbConn *conn, const DbCall *call);
  void (*close) (DbConn *conn);
} DbConnClass;

/* The first member of a driver's connection.  */
struct DbConn
{
  const DbConnClass *class;
};

/* Where to connect and what to expect there.  */
typedef struct
{
  CfAddress address;
  gsize rows_max; /* bytes of rows allowed in one answer */
  /* The group and id that the database must report, for protocols that ask
     for them.  */
  const char *group;
  const char *id;
  const char *customer; /* on whose behalf; NULL: none's */
} DbTarget;

/* Opens a connection without blocking; HANDLER's ready or lost is called
   later with OWNER.  TARGET is copied.  */
typedef DbConn *(*DbOpen) (const DbTarget *target, const DbHandler *handler,
                           gpointer owner);

/* Opens a connection with the PostgreSQL protocol; a DbOpen.  */
DbConn *db_postgres_open (const DbTarget *target, const DbHandler *handler,
                          gpointer owner);
/* Starts CALL on CONN, which must be ready and run no other call.  */
void db_run (DbConn *conn, const DbCall *call);
/* Closes and frees CONN at once; no callback follows.  */
void db_close (DbConn *conn);

/* A query result.  Its encoded form is a block of strings: the number of
   columns, the column names, then the values row by row; an SQL null is
   NULL.  */
typedef struct
{
  guint columns;
  GPtrArray *strings; /* owned; names first, then values */
} DbRows;

/* Decodes BLOCK into ROWS.  Returns FALSE when BLOCK is malformed.  Free the
   content of ROWS with db_rows_clear.  */
gboolean db_rows_decode (GBytes *block, DbRows *rows);
/* Frees the content of ROWS.  */
void db_rows_clear (DbRows *rows);
/* Returns the value at ROW and COLUMN, which count from 0, owned by ROWS; NULL
   for an SQL null or when there is no such value.  */
const char *db_rows_value (const DbRows *rows, guint row, guint column);
/* Returns the number of rows.  */
guint db_rows_count (const DbRows *rows);
