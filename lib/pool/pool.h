/* The pool of one database: its queue, connections and slots.

   A database's slots and connections are divided among the hosts that hold a
   share of its queue: one host, or as many as are needed for their links to
   carry the traffic of the slots.  Requests are ordered by rank within a
   share.  The database checks positions itself and acknowledges a commit only
   once it is replicated, so two pools for the same share waste connections and
   lose the order by rank, but break no consistency guarantee.

   Sessions share connections: before a statement runs, its connection is given
   the values and prepared statements of the session that it lacks.  A
   transaction holds its connection until it ends.  A connection belongs to one
   customer and runs only that customer's statements: where requests have
   customers, one is opened for a request without any to run on, in the place
   of an idle one if need be.

   A primary that was replaced while it was cut off goes on as primary until it
   hears of its successor.  An acknowledged write is on two copies, so it is on
   the primary itself or has been received by one of its witnesses: all other
   copies but one.  A read that must see every acknowledged write runs only
   after the witnesses were asked, after its arrival, for the term of their
   last entry, and none has a later one than the primary.

   The pool is a pure state machine: the shell reports events and carries out
   the actions that pl_take_action returns, in order.  */
#pragma once
#include "dispatch/dispatch.h"

/* A statement without an answer so long after its deadline is given up and its
   connection closed; the same as DP_ANSWER_GRACE.  */
#define PL_ANSWER_GRACE (20 * GM_MS)
/* A statement is overdue, its answer taken as lost in transit, once it has run
   for PL_OVERDUE_MIN plus PL_OVERDUE_FACTOR times the mean time of its service
   and PL_OVERDUE_ANSWERS others were answered since it was sent.  The slowest
   statements take 8 times the mean.  */
#define PL_OVERDUE_MIN (40 * GM_MS)
#define PL_OVERDUE_FACTOR 8
#define PL_OVERDUE_ANSWERS 6
/* A database that has answered nothing for so long is silent: its reads run
   elsewhere and only probes are sent to it.  Five times the longest statement
   in an unloaded system.  */
#define PL_SILENT_AFTER (250 * GM_MS)
/* A silent database is sent one read in this time as a probe.  */
#define PL_PROBE_INTERVAL (200 * GM_MS)
/* The same for other statements.  Longer, so that a write probes only where no
   reads arrive: its outcome is unknown if the database is still silent.  */
#define PL_WRITE_PROBE_INTERVAL (1 * GM_SECOND)
#define PL_PROBE_TIMEOUT (100 * GM_MS) /* for a read's answer */
/* A witness that leaves a question unanswered for this long is lost until it
   answers: several trips between data centres.  */
#define PL_WITNESS_TIMEOUT (100 * GM_MS)
/* The connection to a lost witness is given up after this.  A handshake takes
   a slot, so it waits behind the statements of a busy database.  */
#define PL_WITNESS_DROP_AFTER (1500 * GM_MS)
/* Writes that are given up form a run if each starts within this time of the
   end of the last one.  So two in a row count as one fault of the primary even
   where writes are rare.  */
#define PL_RUN_GAP (5 * GM_SECOND)
#define PL_CONNECTING_MAX 4 /* as DP_CONNECTING_MAX */
/* A connection whose handshake is not answered for this long is closed and
   another is opened in its place.  A handshake takes a slot, so it waits
   behind the statements of a busy database.  */
#define PL_HANDSHAKE_TIMEOUT (1500 * GM_MS)
#define PL_CONNECT_RETRY (100 * GM_MS) /* as DP_CONNECT_BACKOFF */
#define PL_CONNECT_RETRY_MAX GM_SECOND /* as DP_CONNECT_BACKOFF_MAX */
/* A proof of leadership up to this age is reused without asking the database
   again.  A tenth of the shortest age bound that services declare.  */
#define PL_LEADER_PROOF_AGE_MAX (150 * GM_MS)

/* What a statement does, which decides where it may run and whether it may be
   retried.  */
typedef enum
{
  PL_READ,           /* alone; needs a position or a proof of leadership */
  PL_WRITE,          /* alone, in a transaction of its own */
  PL_IN_TRANSACTION, /* in a transaction */
  PL_COMMIT,         /* ends a transaction */
  PL_ROLLBACK,       /* ends a transaction, or proves that none is open */
  PL_PROVE_LEADER,   /* no statement: requests a proof of leadership */
  PL_OPERATION_COUNT
} PlOperation;

typedef struct
{
  DpRequest base; /* the part that the queue uses; first member */
  gpointer owner;
  guint64 sequence; /* the owner's number for this request */
  PlOperation operation;
  DpBegin begins;
  guint64 transaction;    /* 0: none yet */
  TkPoint after_position; /* a read sees at least this position */
  gboolean movable;       /* is given back if it can't be answered in time */
  gboolean writes; /* a write, or the COMMIT of a transaction that wrote */
  char *customer;  /* whose connection it needs; NULL: none's */
  char *id;        /* of the request, the same in every retry */
  char *text;      /* NULL: prepared with arguments */
  char *prepared;  /* shape of the prepared statement, or NULL */
  char *arguments;
  GPtrArray *values; /* alternating names and values, sorted by name */

  /* Set by the pool.  */
  char *prepared_name;     /* of prepared at databases, or NULL */
  guint64 answered_before; /* PlCore.answered_count when it was sent */
  gboolean overdue;    /* its answer is taken as lost; it occupies no slot */
  GmTime confirmed_at; /* when the witnesses were asked; 0: no need to */
  guint64 known_state; /* settled control state when it was sent */

  /* The answer.  */
  GmKind kind;
  char message[GM_MESSAGE_MAX];
  guint64 retry_ms;
  gboolean transaction_open; /* its transaction is still open */
  TkPoint point;
  char *signature;
  GBytes *rows;
  gsize statement_bytes; /* of its session, as they came by a link */
} PlRequest;

typedef enum
{
  PL_OPEN,   /* open the connection */
  PL_CLOSE,  /* close the connection at once */
  PL_RUN,    /* run the request on the connection as the other members say */
  PL_ANSWER, /* answer the request, which the caller then owns */
  PL_ASK_WITNESS, /* ask witness for its position; report how that ended */
  PL_DROP_WITNESS /* close the connection to witness; report nothing */
} PlActionType;

typedef struct
{
  PlActionType type;
  guint64 connection;
  char *customer;           /* PL_OPEN: whom to connect for, or NULL; owned */
  PlRequest *request;       /* borrowed for PL_RUN, owned for PL_ANSWER */
  gboolean reset;           /* first discard the connection's session state */
  GPtrArray *values_to_set; /* alternating names and values to set; owned */
  char *prepare;            /* shape to prepare, or NULL; owned */
  DpBegin begin;
  guint64 min_term; /* the statement runs only if the log's end is of this term
                       or a later one when the transaction has begun */
  gboolean roll_back;
  char *witness; /* id; owned */
} PlAction;

typedef struct PlCore PlCore;

/* Current sizes of a pool, for status pages and tests.  */
typedef struct
{
  guint queued;
  guint running;
  guint transactions;
  guint connections;
  /* Since pl_new: connections opened for a customer, idle connections closed
     to make room for another customer's, and requests that waited for a
     connection of their customer.  */
  guint64 opened;
  guint64 made_room;
  guint64 awaited;
} PlCounts;

/* Creates a pool, which opens no connections until its limits are set.
   TRANSACTIONS is the counter that all pools of a process take transaction
   numbers from and must outlive them: a session that still names a transaction
   of a freed pool must not reach a transaction of another pool.  */
PlCore *pl_new (const DpPolicy *policy, guint64 *transactions);
/* Frees CORE and all requests in it, unanswered.  */
void pl_free (PlCore *core);
/* Sets the share of the slots that each rank is guaranteed.  */
void pl_set_floors (PlCore *core, const double floors[CF_RANK_COUNT]);
/* Tells that requests have customers, and that the database's connections are
   divided into SHARES.  The pool then opens connections for the requests that
   wait for one, and few in advance.  Without this, or with one share, it opens
   half of its connections at most: the next holder of the queue may need as
   many while the database still counts those of the last one.  Of several
   shares one is taken over at a time, so that less has to be kept for it.  */
void pl_set_by_customer (PlCore *core, guint shares);
/* Sets the limits of the pool: SLOTS is how many statements the database runs
   at once, CONNECTIONS how many connections it accepts from all its callers.
   A transaction without a statement for IDLE is ended.  */
void pl_set_limits (PlCore *core, GmTime now, guint slots, guint connections,
                    GmTime idle);
/* Sets the ids of the other copies of the group, of which NEEDED must confirm
   the lead; 0: the database's own word suffices.  LEADS tells whether the
   database is known as the primary; its witnesses are then asked at once.  */
void pl_set_witnesses (PlCore *core, GmTime now, const GPtrArray *ids,
                       guint needed, gboolean leads);
/* Report that the witness ID answered, and the TERM of the last entry that it
   has received; or that it can't be reached.  */
void pl_witness_answered (PlCore *core, GmTime now, const char *id,
                          guint64 term);
void pl_witness_lost (PlCore *core, GmTime now, const char *id);
/* Returns the part of WHOLE that belongs to share number SHARE, from 0, of
   SHARES; at least 1.  */
guint64 pl_share_size (guint64 whole, guint share, guint shares);
/* Sets whether this host holds the queue.  Without it, queued and new requests
   are refused; running statements and open transactions continue to their
   end.  */
void pl_set_queue_holder (PlCore *core, GmTime now, gboolean owned);

/* Returns the service of M: the one that STATE declares or, if M was routed by
   a newer configuration, UNDECLARED, which is filled in with what M tells of
   it.  Returns NULL if there is no such service any more.  The result borrows
   from M and STATE.  */
const CfService *pl_service_of (const struct wm_statement *m,
                                const CsState *state, CfService *undeclared);
/* Creates an empty request of SERVICE; DEADLINE is absolute.  */
PlRequest *pl_request_new (const CfService *service, GmTime deadline);
/* Creates the request that M asks for, with the settings of SERVICE.  */
PlRequest *pl_request_from_message (const struct wm_statement *m,
                                    const CfService *service, GmTime now);
/* Fills DONE with the answer to REQUEST, which ran in CORE; HOLDER is the
   incarnation of the host that holds the queue.  DONE borrows from REQUEST and
   must not be cleared.  */
void pl_request_fill_answer (const PlCore *core, const PlRequest *request,
                             GmTime now, guint64 holder, WmMessage *done);
/* Whether M's statement may be held besides those of all requests in this
   process, which may take BYTES_MAX.  There is always room for small
   statements and for those of open transactions.  */
gboolean pl_has_room (const struct wm_statement *m, gsize bytes_max);
/* Frees REQUEST, which the pool must not own.  */
void pl_request_free (PlRequest *request);
/* Returns the name under which statements of SHAPE are prepared, the same for
   all sessions; free it with g_free.  */
char *pl_prepared_name (const char *shape);

/* Queues or refuses REQUEST, which the core then owns.  */
void pl_submit (PlCore *core, GmTime now, PlRequest *request);
/* Takes the request of OWNER with SEQUENCE, whose caller has gone, out of the
   queue.  The caller of this function then owns it; NULL: it is not queued. */
PlRequest *pl_withdraw (PlCore *core, gpointer owner, guint64 sequence);
/* Report that a connection opened for PL_OPEN is ready, or that it failed or
   was lost.  */
void pl_connected (PlCore *core, GmTime now, guint64 connection);
void pl_disconnected (PlCore *core, GmTime now, guint64 connection);
/* Reports that the request on CONNECTION ended with OUTCOME.  */
void pl_done (PlCore *core, GmTime now, guint64 connection,
              const DpOutcome *outcome);
/* Reports that this process did not run for SPAN, which must not count as
   silence of the database.  */
void pl_discount_stall (PlCore *core, GmTime span);
/* Tells whether the database no longer is the primary of its group.  While it
   is silent then, its running statements end at once and their connections are
   reset: a statement that is held up on its way must not run, and be
   confirmed, after a successor was chosen.  */
void pl_set_replaced (PlCore *core, gboolean replaced);
/* Tells that this host's copy of the control state has the version VERSION. */
void pl_set_control_state (PlCore *core, GmTime now, guint64 version);
/* Gives up the queue and closes all connections, because the database was
   replaced by another.  */
void pl_drop_connections (PlCore *core, GmTime now);
/* Rolls back TRANSACTION, whose session has closed.  */
void pl_abort_transaction (PlCore *core, GmTime now, guint64 transaction);
/* Advances deadlines, retries and idle limits.  */
void pl_tick (PlCore *core, GmTime now);
gboolean pl_take_action (PlCore *core, PlAction *action);
void pl_action_clear (PlAction *action);

/* Stores the newest position known to include every write acknowledged before
   AT.  Returns FALSE when none is known.  */
gboolean pl_leader_position (const PlCore *core, TkPoint *point, GmTime *at);
/* Estimates how long a new statement of RANK, CUSTOMER (or NULL) and SERVICE
   would wait for a slot.  Other hosts are told the wait without a customer, as
   the queue of one customer says little about the others' waits.  */
GmTime pl_wait (const PlCore *core, CfRank rank, const char *customer,
                const char *service);
/* The mean work of a statement of SERVICE.  */
GmTime pl_cost (const PlCore *core, const char *service);
/* The work of the statements that run, without those that are overdue.  */
GmTime pl_running_work (const PlCore *core);
/* Returns whether the database has answered nothing for PL_SILENT_AFTER.  */
gboolean pl_is_silent (const PlCore *core, GmTime now);
/* The state of the database as the pool sees it; times in milliseconds.  */
typedef struct
{
  gboolean reachable; /* a connection is up and the database not silent */
  guint64 silent;     /* time for which the database has answered nothing */
  /* Time since the first of the writes that no other copy has confirmed was
     sent, or since the last confirmation if that is later; 0: there are none.
     Those that were given up count as long as others follow.  */
  guint64 stuck;
  guint64 stuck_ended; /* since the last one was given up; 0: one runs */
  guint64 confirmed;   /* time since a write was last confirmed */
  guint open;          /* running statements and open transactions */
  TkPoint acked;       /* the log's end after the last confirmed write; it may
                          include later ones that are not confirmed */
  /* Newest version of the control state that this host had known for
     TO_DEPARTURE_GRACE when it sent a write that another copy then confirmed;
     0: none.  That copy has not left in this version, and it has all that was
     acknowledged before the write.  */
  guint64 confirmed_state;
} PlHealth;

/* Fills HEALTH.  */
void pl_health (const PlCore *core, GmTime now, PlHealth *health);
void pl_counts (const PlCore *core, PlCounts *counts);
