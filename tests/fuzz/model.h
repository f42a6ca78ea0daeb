/* What a pool sends, run at databases in memory.  */
#pragma once
#include "pool/pool.h"
#include "replicas.h"

/* A session's connection, as the database knows it.  */
typedef struct
{
  GHashTable *values;
  GHashTable *prepared_shapes; /* name -> shape */
  gboolean in_transaction;     /* a transaction is */
  gboolean failed;
  gboolean read_only;
  guint64 owner;  /* session of the transaction's first statement */
  GArray *writes; /* guint64, of the open transaction */
} MdConn;

/* Who sent a statement, as the oracle knows; the database itself doesn't.  */
typedef struct
{
  guint64 session;
  guint64 uid;
  gboolean writes;
  gboolean ends_transaction; /* COMMIT */
  GHashTable *values;
  char *shape;      /* NULL: not prepared */
  TkPoint required; /* a read must run where this is */
} MdStatement;

/* What a statement came to.  */
typedef struct
{
  GmKind kind;
  gboolean unconfirmed; /* committed at the primary; no replica confirms */
  TkPoint point;
  gboolean was_leader;
  TkPoint leader_point;
} MdResult;

MdConn *md_conn_new (void);
void md_conn_free (MdConn *conn);
/* Runs ACTION of a pool at D on CONN.  STATEMENT is NULL for one that no
   session sent.  */
MdResult md_run (MdGroup *group, GmTime now, MdDatabase *d, MdConn *conn,
                 const PlAction *action, const MdStatement *statement);
