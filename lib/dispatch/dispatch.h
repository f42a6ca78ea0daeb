/* The dispatcher of one database group: request queues, database connections
   and replication positions.

   A state machine without I/O.  The event loop reports events and carries out
   the actions returned by dp_take_action in order.  The core numbers
   connections and never reuses a number, so that a late report about a closed
   connection is recognised and dropped.

   A write is answered ok only once a majority of the copies holds its position
   in the primary's term.  The same applies to a read at the primary, so that
   no caller sees data that a failover could undo.  */
#pragma once
#include "failover/failover.h"
#include "queue.h"

/* Requests of one service, and of one rank, in a queue.  */
#define DP_SERVICE_QUEUE_MAX 2048
#define DP_RANK_QUEUE_MAX 16384
/* Time after a request's deadline until its connection is closed.  */
#define DP_ANSWER_GRACE (20 * GM_MS)
#define DP_TRANSACTION_IDLE_MAX (10 * GM_SECOND)
/* Time until idle transactions at a leaving database are ended.  */
#define DP_LEAVING_GRACE (5 * GM_SECOND)
#define DP_CONNECTING_MAX 4 /* concurrent attempts per database */
/* Backoff after a failed connection attempt: first value and limit.  */
#define DP_CONNECT_BACKOFF (100 * GM_MS)
#define DP_CONNECT_BACKOFF_MAX (1 * GM_SECOND)
#define DP_ATTEMPTS_MAX 4 /* times that one request is sent */

typedef enum
{
  DP_OPEN,   /* open connection to database */
  DP_CLOSE,  /* close connection at once */
  DP_RUN,    /* run request on connection */
  DP_ANSWER, /* answer request, which the receiver then owns */
  DP_PROBE   /* run a status call at database now */
} DpActionType;

/* The kind of transaction to open before a statement.  */
typedef enum
{
  DP_NO_BEGIN,
  DP_BEGIN_READ, /* at any database that has the required position */
  DP_BEGIN_WRITE /* only at the primary; succeeds only while it leads */
} DpBegin;

typedef struct
{
  DpActionType type;
  guint64 connection;
  char database[DP_ID_MAX];
  DpRequest *request; /* borrowed for DP_RUN, owned for DP_ANSWER */
} DpAction;

/* How a request ended on its connection.  before and after are the database's
   status before and after the statement.  */
typedef struct
{
  GmKind kind; /* GM_OK, GM_DATABASE, GM_UNAVAILABLE: never sent,
                  GM_OUTCOME_UNKNOWN: sent, then the connection was lost */
  char message[GM_MESSAGE_MAX];
  gboolean has_before;
  gboolean has_after;
  FoDatabaseStatus before;
  FoDatabaseStatus after;
  gboolean found; /* DP_OUTCOME: the database has recorded the request id */
  GBytes *rows;   /* owned by whoever fills in the outcome */

  /* Set for databases that replicate among themselves and sign their
     answers.  */
  char *signature;         /* of the database over its answer, or NULL */
  TkPoint point;           /* the log's end after the statement */
  gboolean was_primary;    /* the database was primary during the exchange */
  TkPoint primary_point;   /* the log's end at that time, when led */
  gboolean in_transaction; /* a transaction is open on the connection */
} DpOutcome;

typedef struct
{
  DqOrder order;
  gboolean admission; /* refuse requests that can't meet their deadline */
  guint
      extra_in_flight; /* requests in flight beyond the slots; 0: estimated */
  /* Connections and transactions go to whoever asks first and are taken from
     the least recently used: the baseline for the tests of entitlements.  */
  gboolean no_entitlements;
} DpPolicy;

typedef struct DpCore DpCore;

/* Numbers shown on status pages and checked by tests.  */
typedef struct
{
  guint queued;
  guint running;
  guint confirming;
  guint unresolved;
  guint transactions;
  guint connections;
} DpCounts;

/* Returns a dispatcher without databases for a group of COPIES copies.  */
DpCore *dp_new (const DpPolicy *policy, guint copies);
/* Frees CORE and all requests in it, unanswered.  */
void dp_free (DpCore *core);
/* Sets the share of capacity guaranteed to each rank.  */
void dp_set_floors (DpCore *core, const double floors[CF_RANK_COUNT]);
void dp_set_copies (DpCore *core, guint copies);

/* Adds or changes a database.  */
void dp_set_database (DpCore *core, GmTime now, const char *id, guint slots,
                      guint connections, gboolean leaving);
/* Closes all connections to the database ID and forgets it.  */
void dp_remove_database (DpCore *core, GmTime now, const char *id);
/* Sets the group's term and primary.  PRIMARY is "" while the databases are
   sealed for the term.  */
void dp_set_term (DpCore *core, GmTime now, guint64 term, const char *primary);
/* Reports the STATUS of the database ID from a call sent at SENT.  */
void dp_report_status (DpCore *core, GmTime now, GmTime sent, const char *id,
                       const FoDatabaseStatus *status);
/* Reports that the database ID doesn't answer status calls.  */
void dp_set_unreachable (DpCore *core, GmTime now, const char *id);

/* Submits REQUEST, which the core then owns.  */
void dp_submit (DpCore *core, GmTime now, DpRequest *request);
/* Reports that a connection requested by DP_OPEN is ready.  */
void dp_connected (DpCore *core, GmTime now, guint64 connection);
/* Reports that a connection could not be opened or was lost.  */
void dp_disconnected (DpCore *core, GmTime now, guint64 connection);
/* Reports that the request on CONNECTION ended with OUTCOME.  */
void dp_request_done (DpCore *core, GmTime now, guint64 connection,
                      const DpOutcome *outcome);
/* Sets whether this host dispatches for the group.  If not, queued and new
   requests are answered with GM_DRAINING and running ones are completed.  */
void dp_set_owned (DpCore *core, GmTime now, gboolean owned);
/* Handles deadlines, retries and idle limits that are due at NOW.  */
void dp_tick (DpCore *core, GmTime now);

/* Reports that this process did not run for SPAN, which must not count as
   replication delay.  */
void dp_exclude_stall (DpCore *core, GmTime span);

/* Stores the next action in ACTION; returns FALSE when there is none.  */
gboolean dp_take_action (DpCore *core, DpAction *action);
void dp_counts (const DpCore *core, DpCounts *counts);
/* Returns the number of requests and transactions in progress at the database
   ID.  */
guint dp_in_progress_at (const DpCore *core, const char *id);
/* Returns for how many milliseconds a majority of the copies has confirmed
   nothing while the primary's log was ahead; 0 when it is not ahead.  */
guint64 dp_stuck_ms (const DpCore *core, GmTime now);
