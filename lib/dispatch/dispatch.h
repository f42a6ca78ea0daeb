/* The dispatcher of one database group: queues, connections, positions.

   A pure state machine.  The shell reports events and carries out the actions
   that dp_take_action gives, in their order.  Connections have numbers given
   by the core that are never used twice, so that a late report about a closed
   one is recognised and dropped.

   A write is answered ok only when its position is held by a majority of the
   copies in the primary's term; a read at the primary likewise, so that nobody
   sees what a failover could undo.  */
#pragma once
#include "failover/failover.h"
#include "queue.h"

#define DP_SERVICE_QUEUE_MAX 2048 /* requests of one service in a lane */
#define DP_RANK_QUEUE_MAX 16384   /* requests of one rank in a lane */
#define DP_ANSWER_GRACE (20 * GM_MS)
#define DP_TRANSACTION_IDLE (10 * GM_SECOND)
#define DP_LEAVING_GRACE (5 * GM_SECOND)
#define DP_CONNECTING_MAX 4 /* connections being made to one database */
#define DP_CONNECT_RETRY (100 * GM_MS)
#define DP_CONNECT_RETRY_MAX (1 * GM_SECOND)
#define DP_ATTEMPTS_MAX 4

typedef enum
{
  DP_OPEN,   /* open connection to database */
  DP_CLOSE,  /* close connection at once */
  DP_RUN,    /* run request on connection */
  DP_ANSWER, /* answer request; the taker owns it */
  DP_PROBE   /* ask database for its status now */
} DpActionType;

/* What opens a transaction before a statement.  */
typedef enum
{
  DP_NO_BEGIN,
  DP_BEGIN_READ, /* at any database that has the wanted position */
  DP_BEGIN_WRITE /* at the primary alone: proves that it leads */
} DpBegin;

typedef struct
{
  DpActionType type;
  guint64 connection;
  char database[DP_ID_MAX];
  DpRequest *request; /* borrowed for DP_RUN, owned for DP_ANSWER */
} DpAction;

/* How a request ended on its connection.  before and after are what the
   database said of itself before and after the statement.  */
typedef struct
{
  GmKind kind; /* GM_OK, GM_DATABASE, GM_UNAVAILABLE: never sent,
                  GM_OUTCOME_UNKNOWN: sent, then lost */
  char message[GM_MESSAGE_MAX];
  gboolean has_before;
  gboolean has_after;
  FoDatabase before;
  FoDatabase after;
  gboolean found; /* DP_OUTCOME: the request id is on record */
  GBytes *rows;   /* owned by the giver */

  /* Of an exchange with a database that replicates and vouches for itself.  */
  char *signature;         /* of the database over its answer; or NULL */
  TkPoint point;           /* its log's position after the statement */
  gboolean led;            /* it led its group while the exchange ran */
  TkPoint lead;            /* its log's position then */
  gboolean in_transaction; /* one is open on the connection */
} DpOutcome;

typedef struct
{
  DqOrder order;
  gboolean admission; /* refuse what can't meet its deadline */
  guint extra;        /* requests in flight beyond the slots; 0: estimated */
} DpPolicy;

typedef struct DpCore DpCore;

/* What status pages and tests may ask.  */
typedef struct
{
  guint queued;
  guint running;
  guint confirming;
  guint unresolved;
  guint transactions;
  guint connections;
} DpCounts;

/* A dispatcher without databases for a group of COPIES copies.  */
DpCore *dp_new (const DpPolicy *policy, guint copies);
/* Frees CORE and all requests in it, unanswered.  */
void dp_free (DpCore *core);
void dp_set_floors (DpCore *core, const double floors[CF_RANK_COUNT]);
void dp_set_copies (DpCore *core, guint copies);

/* Adds or changes a database.  */
void dp_database (DpCore *core, GmTime now, const char *id, guint slots,
                  guint connections, gboolean leaving);
/* Drops a database that is gone.  */
void dp_database_gone (DpCore *core, GmTime now, const char *id);
/* Sets the group's term and primary; "" while the term is being sealed.  */
void dp_group (DpCore *core, GmTime now, guint64 term, const char *primary);
/* A database's status, asked for at SENT.  */
void dp_status (DpCore *core, GmTime now, GmTime sent, const char *id,
                const FoDatabase *status);
/* A database doesn't answer its status calls.  */
void dp_unreachable (DpCore *core, GmTime now, const char *id);

/* Takes REQUEST, which the core then owns.  */
void dp_submit (DpCore *core, GmTime now, DpRequest *request);
/* A connection that DP_OPEN asked for is ready, or failed, or was lost.  */
void dp_connected (DpCore *core, GmTime now, guint64 connection);
void dp_disconnected (DpCore *core, GmTime now, guint64 connection);
/* The request on CONNECTION ended.  */
void dp_done (DpCore *core, GmTime now, guint64 connection,
              const DpOutcome *outcome);
/* Gives up ownership of the group, or takes it: without it, queued and new
   requests are answered as draining, what runs ends in its own time.  */
void dp_own (DpCore *core, GmTime now, gboolean owned);
/* Advances deadlines, retries and idle limits.  */
void dp_tick (DpCore *core, GmTime now);

/* This process stood still for SPAN: nothing that it watches is to blame.  */
void dp_stalled (DpCore *core, GmTime span);

/* Takes the next action; FALSE when there is none.  */
gboolean dp_take_action (DpCore *core, DpAction *action);
void dp_counts (const DpCore *core, DpCounts *counts);
/* Requests and transactions in progress at the database ID.  */
guint dp_open_at (const DpCore *core, const char *id);
/* Milliseconds for which the primary's log has reached no majority.  */
guint64 dp_stuck_ms (const DpCore *core, GmTime now);
