/* What the parts of the dispatch core share; private to lib/dispatch.  */
#pragma once
#include "dispatch.h"

#define DP_SAMPLES 512 /* primary positions kept for age bounds */

typedef enum
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_PINNED /* held by a transaction between its statements */
} ConnState;

typedef struct DpDatabase DpDatabase;
typedef struct DpTransaction DpTransaction;

typedef struct
{
  guint64 id;
  DpDatabase *database;
  ConnState state;
  DpRequest *request;         /* running on it, or NULL */
  DpTransaction *transaction; /* that owns it, or NULL */
} DpConn;

struct DpDatabase
{
  char id[DP_ID_MAX];
  guint slots;
  guint budget; /* connections this dispatcher may hold */
  gboolean leaving;
  GmTime leaving_since;
  gboolean reachable;
  gboolean gone;
  FoDatabase status;
  GmTime status_at; /* when it was received; 0: never */
  GmTime trip;      /* least recent round trip */
  GmTime service;   /* mean service time */
  GmTime lag;       /* mean time until it shows the primary's position */
  GPtrArray *idle;  /* DpConn *, used as a stack */
  guint busy;       /* requests in flight */
  guint opening;
  guint open; /* all connections, opening ones too */
  GmTime connect_after;
  GmTime connect_backoff;
  gboolean probing;
};

struct DpTransaction
{
  guint64 id;
  DpConn *conn;
  GmTime touched;
  guint64 term;
};

typedef struct
{
  GmTime sent;
  TkPoint point;
} Sample;

struct DpCore
{
  DpPolicy policy;
  guint copies;
  gboolean owned;
  guint64 term;
  char primary[DP_ID_MAX];
  GPtrArray *databases;     /* DpDatabase * */
  GHashTable *conns;        /* id -> DpConn */
  GHashTable *transactions; /* id -> DpTransaction */
  DqQueue *reads;
  DqQueue *writes;
  GPtrArray *running;    /* DpRequest * */
  GPtrArray *confirming; /* answered once their position is confirmed */
  GPtrArray *unresolved; /* outcome unknown until a later term tells */
  GHashTable *costs;     /* service -> GmTime, mean service time */
  Sample samples[DP_SAMPLES];
  guint sample_next;
  TkPoint confirmed;  /* held by a majority of the copies */
  TkPoint acked;      /* highest point answered to a writer */
  GmTime stuck_since; /* 0: the log reaches a majority */
  double retry_budget;
  guint64 next_conn;
  guint64 next_transaction;
  GQueue actions; /* DpAction * */
};

/* database.c  */
DpDatabase *dp_find_database (const DpCore *core, const char *id);
DpDatabase *dp_primary (const DpCore *core);
void dp_keep_warm (DpCore *core, GmTime now, DpDatabase *database);
guint dp_in_flight_max (const DpCore *core, const DpDatabase *database);
void dp_conn_close (DpCore *core, GmTime now, DpConn *conn);
void dp_conn_release (DpCore *core, GmTime now, DpConn *conn);
/* Takes what DATABASE said of itself at NOW.  */
void dp_note_status (DpDatabase *database, GmTime now,
                     const FoDatabase *status);
void dp_remember_primary (DpCore *core, GmTime sent, const FoDatabase *status);
/* How old at most a state that includes POINT is, or G_MAXINT64.  */
GmTime dp_age_of (const DpCore *core, GmTime now, guint64 last_term,
                  guint64 applied);
/* Whether a database's log is known to agree with that of the term's primary:
   it ends with an entry of the term.  A primary that was replaced may hold
   entries that no other copy has, until it has followed the new one.  */
gboolean dp_is_aligned (const DpCore *core, const FoDatabase *status);
gboolean dp_is_confirmed (const DpCore *core, TkPoint point);
void dp_confirm (DpCore *core, GmTime now);

/* schedule.c  */
void dp_schedule (DpCore *core, GmTime now);
void dp_queue_again (DpCore *core, GmTime now, DpRequest *request);
void dp_answer (DpCore *core, DpRequest *request, GmKind kind,
                const char *message);
/* Answers KIND, which says "not run", or an unknown outcome when REQUEST may
   have run before.  */
void dp_refuse (DpCore *core, DpRequest *request, GmKind kind,
                const char *message);
/* Notes how long a statement of REQUEST's service took in a slot.  */
void dp_learn_cost (DpCore *core, const DpRequest *request, GmTime took);
/* Sends REQUEST on CONN.  */
void dp_run (DpCore *core, GmTime now, DpConn *conn, DpRequest *request);
void dp_act (DpCore *core, DpActionType type, const DpDatabase *database,
             guint64 conn, DpRequest *request);

/* outcome.c  */
/* The connection of REQUEST, which runs, was lost or given up.  */
void dp_request_lost (DpCore *core, GmTime now, DpRequest *request,
                      gboolean sent);
void dp_transaction_end (DpCore *core, GmTime now, DpTransaction *transaction);
void dp_resolve_after_term (DpCore *core, GmTime now);
/* Answers REQUEST, whose position a majority now holds.  */
void dp_answer_confirmed (DpCore *core, DpRequest *request);
void dp_wait_confirmation (DpCore *core, GmTime now, DpRequest *request);
