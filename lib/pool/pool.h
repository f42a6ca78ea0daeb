/* The pool of one database: its queue, its connections, its slots.

   A database's slots and connections are divided among the hosts that hold a
   share of its queue: one host, or as many as it takes for their links to
   carry what the slots serve.  Rank order holds within a share.  The database
   checks positions itself and acknowledges a commit only once it is
   replicated; two pools for one share cost connections and order, never a
   promise.

   Sessions share connections: each statement brings what its connection lacks
   of the session's values and prepared statements.  A transaction holds its
   connection until it ends.

   A pure state machine: the shell reports events and carries out the actions
   that pl_take_action gives, in their order.  */
#pragma once
#include "dispatch/dispatch.h"

#define PL_ANSWER_GRACE (20 * GM_MS) /* DP_ANSWER_GRACE's reason */
/* A statement is overdue when it has run for so long, and for so many times
   its service's usual time more, while so many others were answered: its
   answer was lost on the way.  The longest statements seen take 8 times the
   usual time. */
#define PL_OVERDUE (40 * GM_MS)
#define PL_OVERDUE_COSTS 8
#define PL_OVERDUE_OTHERS 6
/* A database that leaves everything unanswered for so long is out of reach:
   its reads run elsewhere, and nothing more is sent there.  Five times the
   longest statement in an unloaded system.  */
#define PL_SILENT (250 * GM_MS)
#define PL_PROBE (200 * GM_MS) /* then one statement is let through */
/* The same for writes, whose outcome would be unknown if it is still silent:
   only where no reads come.  */
#define PL_PROBE_WRITE (1 * GM_SECOND)
#define PL_PROBE_TIME (100 * GM_MS)    /* for the answer to it */
#define PL_CONNECTING_MAX 4            /* as DP_CONNECTING_MAX */
#define PL_CONNECT_RETRY (100 * GM_MS) /* as DP_CONNECT_RETRY */
#define PL_CONNECT_RETRY_MAX GM_SECOND /* as DP_CONNECT_RETRY_MAX */
#define PL_LEAD_YOUNG                                                         \
  (150 * GM_MS) /* a proof of the lead that is passed on                      \
                   without a new one: a tenth of the                          \
                   shortest age bound declared */

/* What a statement does, which decides where it may run and how often.  */
typedef enum
{
  PL_READ,     /* alone; needs a position or a proof of the lead */
  PL_WRITE,    /* alone */
  PL_INSIDE,   /* in a transaction */
  PL_COMMIT,   /* ends a transaction */
  PL_ROLLBACK, /* ends a transaction, or proves that none is open */
  PL_LEAD,     /* no statement: asks for a proof of the lead */
  PL_OPERATION_COUNT
} PlOperation;

typedef struct
{
  DpRequest base; /* what the queue knows; first member */
  gpointer owner;
  guint64 sequence; /* the owner's number for it */
  PlOperation operation;
  DpBegin begins;
  guint64 transaction; /* 0: none yet */
  TkPoint after;
  char *id;
  char *text;     /* NULL: prepared with arguments */
  char *prepared; /* shape, or NULL */
  char *arguments;
  GPtrArray *values; /* names and values in turn, sorted by name */

  /* Kept by the pool.  */
  guint64 others;   /* answered when it was sent */
  gboolean overdue; /* takes no slot any more */

  /* The answer.  */
  GmKind kind;
  char message[GM_MESSAGE_MAX];
  guint64 retry_ms;
  gboolean open; /* its transaction goes on */
  TkPoint point;
  char *signature;
  GBytes *rows;
} PlRequest;

typedef enum
{
  PL_OPEN,  /* open connection */
  PL_CLOSE, /* close connection at once */
  PL_RUN,   /* run request on connection as the other members say */
  PL_ANSWER /* answer request; the taker owns it */
} PlActionType;

typedef struct
{
  PlActionType type;
  guint64 connection;
  PlRequest *request; /* borrowed for PL_RUN, owned for PL_ANSWER */
  gboolean reset;     /* the connection forgets what it holds first */
  GPtrArray *set;     /* names and values to set; owned */
  char *prepare;      /* shape to prepare, or NULL; owned */
  DpBegin begin;
  gboolean roll_back;
} PlAction;

typedef struct PlCore PlCore;

/* What status pages and tests may ask.  */
typedef struct
{
  guint queued;
  guint running;
  guint transactions;
  guint connections;
} PlCounts;

/* A pool that opens connections once pl_limits says how many.  TRANSACTIONS
   counts those of all pools of a process and outlives them: a session that
   still names one of a pool that is gone must not reach another's.  */
PlCore *pl_new (const DpPolicy *policy, guint64 *transactions);
/* Frees CORE and all requests in it, unanswered.  */
void pl_free (PlCore *core);
void pl_set_floors (PlCore *core, const double floors[CF_RANK_COUNT]);
/* SLOTS statements run at once; CONNECTIONS is what the database bears from
   all its callers.  IDLE bounds the time between two statements of a
   transaction.  */
void pl_limits (PlCore *core, GmTime now, guint slots, guint connections,
                GmTime idle);
/* The part of WHOLE that falls to SHARE of SHARES, at least 1.  */
guint64 pl_part (guint64 whole, guint share, guint shares);
/* Gives the pool up, or takes it: without it, queued and new requests are
   refused, what runs and open transactions end in their own time.  */
void pl_own (PlCore *core, GmTime now, gboolean owned);

/* An empty request of SERVICE; DEADLINE is absolute.  */
PlRequest *pl_request_new (const CfService *service, GmTime deadline);
/* The request that M asks for under the rules of SERVICE.  */
PlRequest *pl_request_from (const struct wm_statement *m,
                            const CfService *service, GmTime now);
/* Makes DONE the answer to REQUEST, which ran in CORE under HOLDER; it borrows
   from REQUEST.  */
void pl_request_done (const PlCore *core, const PlRequest *request, GmTime now,
                      guint64 holder, WmMessage *done);
/* Frees REQUEST, which must not be in the pool.  */
void pl_request_free (PlRequest *request);
/* The name under which every session's statements of SHAPE are prepared; free
   it with g_free.  */
char *pl_prepared_name (const char *shape);

/* Takes REQUEST, which the core then owns.  */
void pl_submit (PlCore *core, GmTime now, PlRequest *request);
/* A connection that PL_OPEN asked for is ready, or failed, or was lost.  */
void pl_connected (PlCore *core, GmTime now, guint64 connection);
void pl_disconnected (PlCore *core, GmTime now, guint64 connection);
/* The request on CONNECTION ended.  */
void pl_done (PlCore *core, GmTime now, guint64 connection,
              const DpOutcome *outcome);
/* This process stood still for SPAN: the database is not to blame.  */
void pl_stalled (PlCore *core, GmTime span);
/* Gives the pool up and loses all its connections: the database is another
   one now.  */
void pl_drop_connections (PlCore *core, GmTime now);
/* Ends TRANSACTION, whose session is gone.  */
void pl_abandon (PlCore *core, GmTime now, guint64 transaction);
/* Advances deadlines, retries and idle limits.  */
void pl_tick (PlCore *core, GmTime now);
gboolean pl_take_action (PlCore *core, PlAction *action);
void pl_action_clear (PlAction *action);

/* The newest position known to have held every write that was acknowledged at
   AT; FALSE when there is none.  */
gboolean pl_lead (const PlCore *core, TkPoint *point, GmTime *at);
/* Time that a further statement of RANK would wait for a slot.  */
GmTime pl_wait (const PlCore *core, CfRank rank, const char *service);
/* Whether the database has left everything unanswered for PL_SILENT.  */
gboolean pl_is_silent (const PlCore *core, GmTime now);
/* What the pool sees of its database: how long it has left everything
   unanswered, and how long its oldest write runs, in milliseconds; whether a
   connection is up; the highest position that a write was answered with.  */
typedef struct
{
  gboolean reachable;
  guint64 silent;
  guint64 stuck;
  guint64 confirmed;
  guint open;
  TkPoint acked;
} PlHealth;

void pl_health (const PlCore *core, GmTime now, PlHealth *health);
void pl_counts (const PlCore *core, PlCounts *counts);
