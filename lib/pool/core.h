/* What the parts of a pool share; private to lib/pool.

   request.c: requests.  connections.c: connections and the sessions' state on
   them.  pool.c: the queue, running, transactions.  */
#pragma once
#include "pool.h"

typedef enum
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_PINNED /* held by a transaction between its statements */
} ConnState;

typedef struct PlTransaction PlTransaction;

typedef struct
{
  guint64 id;
  ConnState state;
  PlRequest *request;         /* running on it, or NULL */
  PlTransaction *transaction; /* that owns it, or NULL */
  GHashTable *values;         /* name -> value */
  GHashTable *prepared;       /* shapes */
} PlConn;

struct PlTransaction
{
  guint64 id;
  PlConn *conn;
  GmTime touched;
};

struct PlCore
{
  DpPolicy policy;
  gboolean owned;
  guint slots;
  guint budget; /* connections that the pool may hold */
  GmTime idle;
  DqQueue *queue;
  GHashTable *conns;        /* id -> PlConn */
  GPtrArray *free;          /* PlConn *, idle, the last used at the end */
  GHashTable *transactions; /* id -> PlTransaction */
  GPtrArray *running;       /* PlRequest * */
  guint overdue;            /* of them */
  guint64 answered;         /* statements, ever */
  guint opening;
  GmTime connect_after;
  GmTime connect_backoff;
  GmTime trip;       /* least round trip seen */
  GmTime service;    /* mean service time */
  GHashTable *costs; /* service -> GmTime, mean time in a slot */
  GmTime heard;      /* when the database last answered anything */
  GmTime unanswered; /* since when it owes an answer; 0: it doesn't */
  GmTime probed;     /* when something was sent to it although it is silent */
  GmTime wrote;      /* when it last answered a write or commit */
  TkPoint acked;
  gboolean lead_known;
  TkPoint lead;
  GmTime lead_at;
  guint64 next_conn;
  guint64 *transactions_ever; /* of the process's pools; the shell's */
  GQueue actions;             /* PlAction * */
};

/* connections.c  */
/* Opens what the slots and transactions need.  */
void pl_keep_warm (PlCore *core, GmTime now);
guint pl_in_flight_max (const PlCore *core);
/* Takes the free connection that needs the least to serve REQUEST, or NULL. */
PlConn *pl_take_conn (PlCore *core, const PlRequest *request);
/* Fills ACTION with what CONN lacks for REQUEST, and notes that it has it.  */
void pl_bring_state (PlConn *conn, const PlRequest *request, PlAction *action);
void pl_conn_close (PlCore *core, GmTime now, PlConn *conn);
/* CONN's statement ended: back to its transaction or to the free ones.  */
void pl_conn_release (PlCore *core, GmTime now, PlConn *conn);
/* Takes CONN out of the pool without an action.  */
void pl_conn_drop (PlCore *core, PlConn *conn);

/* pool.c  */
/* The database said something.  */
void pl_heard (PlCore *core, GmTime now);
PlAction *pl_push (PlCore *core, PlActionType type, guint64 conn,
                   PlRequest *request);
void pl_schedule (PlCore *core, GmTime now);
