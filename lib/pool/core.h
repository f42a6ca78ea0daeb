/* Types and functions shared by the files of lib/pool; private to that
   directory.

   request.c: requests.  connections.c: connections and the session state they
   hold.  customer.c: whose connections they are.  witness.c: the copies that
   confirm the primary's lead.  running.c: running statements and their
   answers.  transaction.c: transactions. health.c: silence of the database.
   confirmed.c: which writes another copy has confirmed.
   pool.c: the queue and its schedule.  */
#pragma once
#include "allotment.h"
#include "pool.h"

#define PL_INITIAL_SERVICE_TIME (5 * GM_MS) /* before the first answer */

typedef enum
{
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_PINNED, /* reserved for a transaction between two of its statements */
  CONN_STATE_COUNT
} ConnState;

/* What a customer uses of the pool.  Requests without a customer share one,
   whose name is "".  */
typedef struct
{
  char *name;
  guint conns[CONN_STATE_COUNT]; /* connections by state */
  guint transactions;
  guint beginning;   /* running requests that begin a transaction */
  GmTime last_used;  /* when its last request arrived or ran */
  GmTime last_began; /* when its last request that begins a transaction
                        arrived; 0: never */
  guint refused; /* attempts to connect that failed since the last success */
  GmTime connect_after;
  /* Requests so far, those of the past with less weight, as of its time.  */
  guint64 requests;
  GmTime requests_at;
  /* As of a step of the schedule: requests in the queue, and whether another
     connection could be opened.  */
  guint64 step;
  guint waiting;
  gboolean can_open;
} PlCustomer;

typedef struct PlTransaction PlTransaction;

typedef struct
{
  guint64 id;
  ConnState state;
  PlCustomer *customer;       /* for whom it was opened */
  GmTime opened_at;           /* when its handshake began */
  PlRequest *request;         /* running on this connection, or NULL */
  PlTransaction *transaction; /* that holds this connection, or NULL */
  GHashTable *session_values; /* set on the connection, by name */
  GHashTable *prepared;       /* names of the statements prepared on it */
} PlConn;

struct PlTransaction
{
  guint64 id;
  PlCustomer *customer;
  PlConn *conn;
  GmTime last_active; /* start or end of its last statement */
};

/* A copy of the group that is asked for its position.  */
typedef struct
{
  char *id;
  GmTime asked_at;     /* of the question in flight; 0: none */
  GmTime waited_since; /* asked_at, without the time that this process
                          stalled */
  GmTime confirmed_at; /* when the last answered question was asked; 0: none */
  guint64 term;        /* highest term that it has received entries of */
  gboolean is_lost;    /* its last question has got no answer in time */
  GmTime retry_at;     /* when it may be asked again while lost */
  GmTime backoff;      /* until then, after the next loss */
} PlWitness;

/* The connection to close for a customer with a certain number of connections,
   as of a step of the schedule.  */
typedef struct
{
  guint64 step;
  AlYield yields; /* AL_NEVER: there is none */
  PlConn *conn;
} PlVictim;

/* Numbers of connections, from 0, for which the above is kept.  */
#define PL_VICTIMS 8

/* Versions of the control state that this host has known.  */
typedef struct
{
  guint64 newest;
  guint64 settled; /* known for TO_DEPARTURE_GRACE */
  guint64 next;    /* will be settled TO_DEPARTURE_GRACE after next_since */
  GmTime next_since;
} PlKnownState;

/* Writes that were given up without an answer, one after the other, since the
   last one that was confirmed.  */
typedef struct
{
  GmTime since; /* start of the first; 0: there are none */
  GmTime until; /* end of the last */
} PlLostRun;

struct PlCore
{
  DpPolicy policy;
  gboolean replaced;    /* the database no longer is its group's primary */
  gboolean holds_queue; /* the pool accepts new statements */
  /* Requests have customers: connections are opened as they are needed.  */
  gboolean by_customer;
  guint slots;  /* statements that the database runs at once */
  guint shares; /* into which the database's connections are divided */
  guint connections_max;
  GmTime transaction_idle_max; /* between two statements of a transaction */
  DqQueue *queue;
  GHashTable *customers; /* name -> PlCustomer */
  guint64 schedule_step; /* counts the steps of the schedule */
  GmTime schedule_time;  /* of the last one */
  AlPool allotment;
  guint64 allotment_step; /* as of which allotment is */
  GmTime last_turn; /* when a connection that was needed last changed hands */
  PlVictim victims[PL_VICTIMS];
  guint connected_max;        /* connections that the database accepted when it
                                   last refused one */
  GmTime connected_max_until; /* until when that limits the pool; 0: never */
  GmTime handshake_mean;      /* moving average of the time to connect */
  guint64 opened_count;       /* connections opened for a customer */
  guint64 made_room_count;    /* idle connections closed for another */
  guint64 awaited_count;      /* requests that waited for a connection */
  GHashTable *conns;          /* id -> PlConn */
  GPtrArray *idle_conns;      /* PlConn *, the last used at the end */
  GHashTable *transactions;   /* id -> PlTransaction */
  GPtrArray *running;         /* PlRequest * */
  guint overdue_count;        /* running requests that are overdue */
  guint64 answered_count;     /* statements answered since pl_new */
  guint opening_count;        /* connections in state CONN_OPENING */
  GmTime connect_after;
  GmTime connect_backoff;
  GmTime round_trip_min;     /* shortest time until an answer */
  GmTime service_time_mean;  /* moving average of the time in a slot */
  GHashTable *service_costs; /* service -> GmTime, the same for each service */
  GmTime last_heard;         /* when the database last answered */
  GmTime unanswered_since;   /* since when an answer is pending; 0: none is */
  GmTime last_probe;         /* when a probe was last sent */
  GmTime last_confirmed;     /* when a write was last confirmed */
  PlLostRun lost_writes;
  TkPoint acked_position; /* the log's end after the last confirmed write */
  PlKnownState known_state;
  guint64 confirmed_state;   /* as in PlHealth */
  gboolean has_leader_proof; /* the next two fields are set */
  TkPoint leader_position;   /* of the database when it proved that it led */
  GmTime leader_proof_time;  /* when that proof was requested */
  GPtrArray *witnesses;      /* PlWitness * */
  guint witnesses_needed;    /* to confirm the lead; 0: none */
  GmTime confirmation_wanted_at; /* arrival of the newest request that needs
                                    a confirmation */
  guint64 last_conn_id;
  guint64 *transaction_counter; /* of all pools of the process; not owned */
  GQueue actions;               /* PlAction * */
};

/* customer.c  */
/* Returns the entry of the customer called NAME, or of none if NAME is NULL;
   creates it if needed.  */
PlCustomer *pl_customer (PlCore *core, const char *name);
void pl_customer_free (PlCustomer *customer);
/* Records that REQUEST of its customer has arrived.  */
void pl_note_customer (PlCore *core, GmTime now, PlRequest *request);
/* Whether REQUEST may run on a connection of any customer.  */
gboolean pl_fits_any_conn (const PlRequest *request);
/* Whether REQUEST may run on CONN.  */
gboolean pl_fits_conn (const PlConn *conn, const PlRequest *request);

/* Whether REQUEST may begin a transaction.  */
gboolean pl_may_begin (PlCore *core, GmTime now, const PlRequest *request);
/* Whether an idle connection fits REQUEST.  */
gboolean pl_has_idle_conn (const PlCore *core, const PlRequest *request);
/* Statements and handshakes that occupy slots of the database.  */
guint pl_in_flight (const PlCore *core, GmTime now);
/* Opens a connection for the next request in the queue's order if that request
   has none to run on.  Returns whether it did.  */
gboolean pl_open_for_next (PlCore *core, GmTime now, DqFilter can_run);
/* Estimates how long REQUEST waits for a connection of its customer, besides
   its wait in the queue.  */
GmTime pl_connection_wait (PlCore *core, const PlRequest *request);
/* Closes idle connections beyond the limit, which may have become lower.  */
void pl_close_surplus (PlCore *core, GmTime now);
/* Records that a connection for CUSTOMER could not be opened.  */
void pl_note_refused (PlCore *core, GmTime now, PlCustomer *customer);
/* Forgets customers that were not served recently.  */
void pl_forget_customers (PlCore *core, GmTime now);

/* connections.c  */
/* Opens a connection for CUSTOMER.  */
void pl_conn_open (PlCore *core, GmTime now, PlCustomer *customer);
void pl_conn_set_state (PlConn *conn, ConnState state);
/* Opens connections until there are enough for the slots and transactions.  */
void pl_open_connections (PlCore *core, GmTime now);
/* Returns how many statements may be in flight to the database at once.  */
guint pl_in_flight_max (const PlCore *core);
/* Takes out the idle connection whose session state differs least from what
   REQUEST needs.  Returns NULL when no connection is idle.  */
PlConn *pl_take_conn (PlCore *core, const PlRequest *request);
/* Fills ACTION with the session state that CONN lacks for REQUEST, and records
   it as held by CONN.  */
void pl_sync_conn_state (PlConn *conn, const PlRequest *request,
                         PlAction *action);
/* Takes CONN out of the pool and asks the shell to close it.  */
void pl_conn_close (PlCore *core, GmTime now, PlConn *conn);
/* Returns CONN, whose statement ended, to its transaction or to the idle
   connections.  */
void pl_conn_release (PlCore *core, GmTime now, PlConn *conn);
/* Closes the connections whose handshake has not been answered in time.  */
void pl_expire_handshakes (PlCore *core, GmTime now);
/* Takes CONN out of the pool without asking the shell to close it.  */
void pl_conn_drop (PlCore *core, PlConn *conn);

/* witness.c  */
GPtrArray *pl_witnesses_new (void);
/* Asks each witness that is not being asked, and not lost a moment ago.  */
void pl_ask_witnesses (PlCore *core, GmTime now);
/* Whether REQUEST may run only after witnesses have confirmed the lead since
   its arrival.  */
gboolean pl_needs_confirmation (const PlCore *core, const PlRequest *request);
gboolean pl_is_confirmed (const PlCore *core, const PlRequest *request);
/* The time since which enough witnesses have been asked and have answered; 0:
   too few have.  Stores the highest term that any has received in TERM.  */
GmTime pl_confirmed_at (const PlCore *core, guint64 *term);
/* Whether enough witnesses are not lost.  */
gboolean pl_can_confirm (const PlCore *core);
/* Counts witnesses that have not answered in time as lost.  */
void pl_expire_witnesses (PlCore *core, GmTime now);
/* This process did not run for SPAN.  */
void pl_discount_witness_stall (PlCore *core, GmTime span);

/* running.c  */
/* Hands REQUEST back to the shell as answered with KIND and MESSAGE.  */
void pl_answer (PlCore *core, PlRequest *request, GmKind kind,
                const char *message);
/* Closes CONN; its request is answered as lost and its transaction ended.  */
void pl_fail_conn (PlCore *core, GmTime now, PlConn *conn);
/* Gives up the statements whose answer did not come by their deadline.  */
void pl_expire_running (PlCore *core, GmTime now);
/* Frees the slots of statements whose answers were lost, since such statements
   hold no slot at the database.  Reads fail at once and may run elsewhere; for
   others the answer is still awaited.  */
void pl_handle_overdue (PlCore *core, GmTime now);
/* While the database is silent, refuses queued requests and fails running
   reads, so that they can run elsewhere.  */
void pl_refuse_if_silent (PlCore *core, GmTime now);
/* Ends all running statements at a silent database that no longer is the
   primary.  */
void pl_fail_if_replaced (PlCore *core, GmTime now);

/* confirmed.c  */
/* The newest version of the control state known for TO_DEPARTURE_GRACE.  */
guint64 pl_settled_state (PlCore *core, GmTime now);
/* Records what the answer OUTCOME to REQUEST tells of the other copies.  */
void pl_note_confirmed (PlCore *core, GmTime now, const PlRequest *request,
                        const DpOutcome *outcome);
/* Records that REQUEST was given up, as its answer did not come in time.  */
void pl_note_given_up (PlCore *core, GmTime now, const PlRequest *request);
/* Fills in the part of HEALTH that is about writes.  */
void pl_write_health (const PlCore *core, GmTime now, PlHealth *health);

/* transaction.c  */
/* Whether one more transaction may begin.  */
gboolean pl_can_begin (const PlCore *core);
/* How many transactions may be open.  */
guint pl_transactions_max (const PlCore *core);
/* Runs or refuses REQUEST, a statement of an open transaction.  */
void pl_submit_in_transaction (PlCore *core, GmTime now, PlRequest *request);
/* Begins or ends the transaction on CONN as OUTCOME reports.  */
void pl_update_transaction (PlCore *core, GmTime now, PlConn *conn,
                            PlRequest *request, const DpOutcome *outcome);
/* Ends TRANSACTION and closes its connection, which makes the database roll
   back.  */
void pl_transaction_abort (PlCore *core, GmTime now,
                           PlTransaction *transaction);
/* Ends the transactions without a statement for the idle limit.  */
void pl_expire_transactions (PlCore *core, GmTime now);

/* health.c  */
/* Returns for how long the database has answered nothing.  */
GmTime pl_silent_time (const PlCore *core, GmTime now);
/* Returns whether REQUEST may be sent to a silent database as a probe that
   shows when the database answers again, and if so records the probe.  */
gboolean pl_may_probe (PlCore *core, GmTime now, const PlRequest *request);
/* Records that the database answered at NOW.  */
void pl_note_activity (PlCore *core, GmTime now);

/* pool.c  */
/* Sends REQUEST to the database on CONN.  */
void pl_run (PlCore *core, GmTime now, PlConn *conn, PlRequest *request);
/* Whether REQUEST must prove that its database is the primary.  A read without
   a position has no other check that its result is current.  */
gboolean pl_needs_leader_proof (const PlRequest *request);
/* Appends an action for the shell and returns it, so that the caller can fill
   in the other members.  */
PlAction *pl_push_action (PlCore *core, PlActionType type, guint64 conn,
                          PlRequest *request);
/* Runs queued requests while slots and connections are free.  */
void pl_schedule (PlCore *core, GmTime now);
