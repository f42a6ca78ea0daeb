/* Types and functions shared by the files of the dispatch core; private to
   lib/dispatch.  */
#pragma once
#include "dispatch.h"

#define DP_POSITION_SAMPLES 512 /* kept to bound the age of replicas' data */

typedef enum
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_PINNED /* reserved for a transaction, no statement running */
} ConnState;

typedef struct DpDatabase DpDatabase;
typedef struct DpTransaction DpTransaction;

typedef struct
{
  guint64 id;
  DpDatabase *database;
  ConnState state;
  DpRequest *request;         /* running on the connection, or NULL */
  DpTransaction *transaction; /* open on the connection, or NULL */
} DpConn;

struct DpDatabase
{
  char id[DP_ID_MAX];
  guint slots;           /* statements that run in parallel */
  guint connections_max; /* that this dispatcher may hold */
  gboolean leaving;
  GmTime leaving_since;
  gboolean reachable;
  gboolean removed;
  FoDatabaseStatus status;
  GmTime status_received; /* when the last status arrived; 0: never */
  GmTime round_trip;      /* drops at once to a lower sample, else averaged */
  GmTime service_time;    /* moving average */
  GmTime mean_lag;        /* behind the primary, moving average */
  GPtrArray *idle_conns;  /* DpConn *, used as a stack */
  guint in_flight;        /* requests sent and not answered */
  guint opening_count;
  guint connection_count; /* including those being opened */
  GmTime connect_retry_at;
  GmTime connect_backoff;
  gboolean probe_pending;
};

struct DpTransaction
{
  guint64 id;
  DpConn *conn;
  GmTime last_used;
  guint64 term;
};

typedef struct
{
  GmTime asked_at; /* when the status call was sent */
  TkPoint point;
} PositionSample;

struct DpCore
{
  DpPolicy policy;
  guint copies;   /* of the group's data */
  gboolean owned; /* this host dispatches for the group */
  guint64 term;
  char primary[DP_ID_MAX];
  GPtrArray *databases;     /* DpDatabase * */
  GHashTable *conns;        /* id -> DpConn */
  GHashTable *transactions; /* id -> DpTransaction */
  DqQueue *read_queue;      /* reads that replicas may serve */
  DqQueue *write_queue;     /* requests that only the primary may serve */
  GPtrArray *running;       /* DpRequest * */
  /* Executed; answered once a majority holds their position.  */
  GPtrArray *awaiting_confirmation;
  /* Outcome unknown; looked up at the primary of a later term.  */
  GPtrArray *unresolved;
  GHashTable *service_costs; /* service -> GmTime, mean service time */
  PositionSample position_samples[DP_POSITION_SAMPLES];
  guint next_sample;
  TkPoint confirmed;    /* held by a majority of the copies */
  TkPoint acknowledged; /* highest point of an acknowledged write */
  /* Since when the primary's log has been ahead of confirmed without confirmed
     advancing; 0: the log is not ahead.  */
  GmTime stuck_since;
  double retry_budget; /* retries that may be sent now */
  guint64 next_conn;
  guint64 next_transaction;
  GQueue actions; /* DpAction * */
};

/* database.c  */
DpDatabase *dp_find_database (const DpCore *core, const char *id);
DpDatabase *dp_primary (const DpCore *core);
/* Opens connections to DATABASE up to the number that it can use.  */
void dp_open_connections (DpCore *core, GmTime now, DpDatabase *database);
/* Returns how many requests may be in flight at DATABASE.  */
guint dp_in_flight_max (const DpCore *core, const DpDatabase *database);
void dp_conn_close (DpCore *core, GmTime now, DpConn *conn);
void dp_conn_release (DpCore *core, GmTime now, DpConn *conn);
/* Replaces the status of DATABASE by STATUS, received at NOW, unless STATUS is
   older.  */
void dp_merge_status (DpDatabase *database, GmTime now,
                      const FoDatabaseStatus *status);
/* Records the primary's position in STATUS as a sample for dp_age_bound.  SENT
   is when the status call was sent.  */
void dp_record_primary_position (DpCore *core, GmTime sent,
                                 const FoDatabaseStatus *status);
/* Returns an upper bound on the age of a database state that shows entries up
   to APPLIED and whose log ends in LAST_TERM, or G_MAXINT64 when none is
   known.  */
GmTime dp_age_bound (const DpCore *core, GmTime now, guint64 last_term,
                     guint64 applied);
/* Whether the log of the database with STATUS is a prefix of the current
   primary's log, which is known once the log ends with an entry of the current
   term.  A replaced primary may hold entries that no other copy has until it
   has replicated from the new primary.  */
gboolean dp_log_matches_primary (const DpCore *core,
                                 const FoDatabaseStatus *status);
/* Whether a majority of the copies holds POINT.  */
gboolean dp_is_confirmed (const DpCore *core, TkPoint point);
/* Recomputes the confirmed point and answers the requests waiting for it.  */
void dp_advance_confirmed (DpCore *core, GmTime now);

/* schedule.c  */
/* Sends queued requests to databases that can take them.  */
void dp_schedule (DpCore *core, GmTime now);
/* Puts REQUEST at the front of its service's queue, or refuses it when its
   deadline has passed or the group is no longer owned.  */
void dp_requeue (DpCore *core, GmTime now, DpRequest *request);
void dp_answer (DpCore *core, DpRequest *request, GmKind kind,
                const char *message);
/* Answers REQUEST with KIND, whose text says "not run", or with
   GM_OUTCOME_UNKNOWN when an earlier attempt may have run.  */
void dp_refuse (DpCore *core, DpRequest *request, GmKind kind,
                const char *message);
/* Updates the mean cost of REQUEST's service by a statement that took TOOK in
   a slot.  */
void dp_update_cost (DpCore *core, const DpRequest *request, GmTime took);
/* Marks REQUEST as running on CONN and queues DP_RUN.  */
void dp_start_request (DpCore *core, GmTime now, DpConn *conn,
                       DpRequest *request);
void dp_push_action (DpCore *core, DpActionType type,
                     const DpDatabase *database, guint64 conn,
                     DpRequest *request);

/* outcome.c  */
/* Handles the loss of the connection that REQUEST ran on: retries, answers or
   defers REQUEST.  SENT is FALSE when nothing of REQUEST was sent.  */
void dp_request_lost (DpCore *core, GmTime now, DpRequest *request,
                      gboolean sent);
/* Ends TRANSACTION and closes its connection, so that the database rolls
   back.  */
void dp_transaction_end (DpCore *core, GmTime now, DpTransaction *transaction);
/* Looks up the outcome of unresolved requests sent in earlier terms.  */
void dp_resolve_outcomes (DpCore *core, GmTime now);
/* Answers REQUEST, whose point_to_confirm a majority now holds.  */
void dp_answer_confirmed (DpCore *core, DpRequest *request);
/* Answers REQUEST once a majority holds its point_to_confirm.  */
void dp_await_confirmation (DpCore *core, GmTime now, DpRequest *request);
