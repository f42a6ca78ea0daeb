/* The database adapter: what the dispatcher asks of a database connection.

   A driver opens connections; a connection runs one call at a time.  All calls
   return at once and report through callbacks on the main context.  */
#pragma once
#include "conf/settings.h"
#include "dispatch/dispatch.h"

typedef enum
{
  DB_READ,      /* status, statement, status */
  DB_WRITE,     /* transaction of record and statement, then status */
  DB_BEGIN,     /* status, begin */
  DB_STATEMENT, /* statement inside the transaction */
  DB_COMMIT,    /* record, commit, status, reset */
  DB_ROLLBACK,  /* rollback, reset */
  DB_OUTCOME,   /* whether the request id is on record, status */
  DB_STATUS,
  DB_SEAL,    /* take nothing more from terms before term */
  DB_PROMOTE, /* become primary of term */
  DB_FOLLOW,  /* replicate from the primary of term */
  DB_UNSEAL,  /* receive again after DB_SEAL */
  DB_PLAIN,   /* the statement alone */
  DB_EXCHANGE /* as exchange says */
} DbCallType;

/* A statement at a database that replicates and vouches for itself, with what
   brings the connection into the session's state.  All steps that need no slot
   travel in the same write as the statement.  */
typedef struct
{
  gboolean reset;           /* forget the values and prepared names first */
  const GPtrArray *values;  /* names and values to set, in turn */
  const char *prepare_name; /* NULL: nothing to prepare */
  const char *prepare_shape;
  DpBegin begin;
  TkPoint after; /* that the database must have; number 0: any */
  const char *id;
  const char *text;         /* NULL: execute execute_name with arguments */
  const char *execute_name; /* NULL with text NULL: no statement */
  const char *arguments;
  gboolean roll_back; /* after the statement */
} DbExchange;

/* One call; everything in it is borrowed until its end is reported.  */
typedef struct
{
  DbCallType type;
  const char *statement;
  GBytes *params; /* block of strings, or NULL */
  const char *request_id;
  guint64 term;
  const char *follow_id;
  const char *follow_address;
  const DbExchange *exchange;
} DbCall;

typedef struct DbConn DbConn;

/* What the owner of a connection is told.  After lost, or a ready with a
   fault, the connection is gone and must not be used or closed.  */
typedef struct
{
  void (*ready) (DbConn *conn, gpointer owner);
  void (*done) (DbConn *conn, const DpOutcome *outcome, gpointer owner);
  void (*lost) (DbConn *conn, const char *message, gpointer owner);
} DbHandler;

typedef struct
{
  void (*run) (DbConn *conn, const DbCall *call);
  void (*close) (DbConn *conn);
} DbConnClass;

struct DbConn
{
  const DbConnClass *class;
};

/* Where to connect and what to bear.  */
typedef struct
{
  CfAddress address;
  gsize rows_max; /* bytes of rows that one answer may have */
  /* What the database must say it is, where the protocol asks for it.  */
  const char *group;
  const char *id;
} DbTarget;

/* Opens a connection; returns at once, HANDLER hears ready or lost.  TARGET is
   copied.  */
typedef DbConn *(*DbOpen) (const DbTarget *target, const DbHandler *handler,
                           gpointer owner);

/* The driver for the PostgreSQL protocol.  Returns at once; HANDLER hears
   ready or lost.  TARGET is copied.  */
DbConn *db_postgres_open (const DbTarget *target, const DbHandler *handler,
                          gpointer owner);
/* Starts CALL; no other may run on CONN.  */
void db_run (DbConn *conn, const DbCall *call);
/* Closes CONN at once without further reports.  */
void db_close (DbConn *conn);

/* Rows as a block of strings: the number of columns, their names, then the
   values row by row, NULL for null.  */
typedef struct
{
  guint columns;
  GPtrArray *strings; /* owned; names first, then values */
} DbRows;

/* Decodes BLOCK; FALSE when it is damaged.  Free with db_rows_clear.  */
gboolean db_rows_decode (GBytes *block, DbRows *rows);
void db_rows_clear (DbRows *rows);
/* The value at ROW and COLUMN, owned by ROWS, or NULL.  */
const char *db_rows_value (const DbRows *rows, guint row, guint column);
guint db_rows_count (const DbRows *rows);
