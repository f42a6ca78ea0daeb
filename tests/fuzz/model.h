/* Databases as the platform has them, in memory: terms, logs, replication that
   acknowledges with one replica, sealing, promotion by order.  They run what a
   pool sends and report broken promises that only they can see.  */
#pragma once
#include "pool/pool.h"

#define MD_DATABASES 3

typedef struct
{
  guint64 term;
  GArray *writes; /* guint64, ids of the statements that wrote */
} MdCommit;

/* A session's connection, as the database knows it.  */
typedef struct
{
  GHashTable *values;
  GHashTable *prepared; /* name -> shape */
  gboolean open;        /* a transaction is */
  gboolean failed;
  gboolean read_only;
  guint64 owner;  /* session of the transaction's first statement */
  GArray *writes; /* guint64, of the open transaction */
} MdConn;

typedef struct
{
  char id[DP_ID_MAX];
  guint64 incarnation;
  gboolean up;
  gboolean primary;
  guint64 term;
  guint64 held;   /* 0: not sealed */
  gboolean deaf;  /* receives nothing */
  GPtrArray *log; /* MdCommit *, what it has received */
  guint applied;  /* of them */
} MdDatabase;

/* An acknowledged write.  */
typedef struct
{
  guint64 uid;
  GmTime at;
  TkPoint point;
} MdAck;

/* Who sent a statement, as the oracle knows; the database itself doesn't.  */
typedef struct
{
  guint64 session;
  guint64 uid;
  gboolean writes;
  gboolean ends; /* COMMIT */
  GHashTable *values;
  char *shape;      /* NULL: not prepared */
  TkPoint required; /* a read must run where this is */
} MdStatement;

typedef struct
{
  MdDatabase databases[MD_DATABASES];
  guint64 newest_term;
  guint64 fence; /* highest token seen */
  char fence_holder[32];
  GArray *acknowledged; /* MdAck */
  guint violations;
  void (*violation) (const char *what);
} MdGroup;

/* What a statement came to.  */
typedef struct
{
  GmKind kind;
  gboolean hangs; /* committed at the primary; no replica confirms */
  TkPoint point;
  gboolean led;
  TkPoint lead;
} MdResult;

void md_init (MdGroup *group, void (*violation) (const char *what));
void md_clear (MdGroup *group);
MdConn *md_conn_new (void);
void md_conn_free (MdConn *conn);
/* Runs ACTION of a pool at D on CONN.  STATEMENT is NULL for one that no
   session sent.  */
MdResult md_run (MdGroup *group, GmTime now, MdDatabase *d, MdConn *conn,
                 const PlAction *action, const MdStatement *statement);
TkPoint md_position (const MdDatabase *d, guint applied);
gboolean md_has (const MdDatabase *d, guint length, TkPoint point);
/* Replicas receive, and apply all or some.  */
void md_replicate (MdGroup *group, GmRandom *random);
/* Orders the promotion of ID; FALSE when it is refused.  */
gboolean md_promote (MdGroup *group, const char *id, const char *holder,
                     guint64 token);
void md_crash (MdGroup *group, MdDatabase *d);
void md_start (MdGroup *group, MdDatabase *d);
/* The highest position acknowledged before AT.  */
TkPoint md_acknowledged (const MdGroup *group, GmTime at);
/* Whether the write UID was acknowledged.  */
gboolean md_is_acknowledged (const MdGroup *group, guint64 uid);
/* Whether the write UID is in the log of the database that leads.  */
gboolean md_kept (const MdGroup *group, guint64 uid);
/* The seal that a leader's call asks for, and what it answers.  */
gboolean md_call (MdDatabase *d, FoCall call, guint64 term,
                  FoDatabase *status);
