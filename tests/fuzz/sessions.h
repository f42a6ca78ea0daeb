/* Simulated environment of the sessions fuzzer: entry hosts with sessions and
   pools, model databases and a control leader, all under one virtual clock.

   sessions.c: event loop, setup and final checks.  session_callers.c: callers,
   their statements and the checks of their answers.  session_pools.c: pools
   and messages between hosts.  session_control.c: the control state, changes
   of primary, faults.  session_customers.c: customers and their keys. */
#pragma once
#include "failover/takeover.h"
#include "model.h"
#include "session/session.h"

#define HOSTS 3
#define SESSIONS 12
#define START_TIME (100 * GM_SECOND)
#define TICK_INTERVAL (5 * GM_MS)
/* Bits a second; less than the traffic of one slot.  */
#define SLOW_LINK_RATE 1000000
#define MAX_AGE (400 * GM_MS) /* of the services that set max_age_ms */
#define SETTLE_TIME (20 * GM_SECOND)
#define KEYS 4
#define REVOCATION (1000 * GM_MS) /* the bound on withdrawn keys */

typedef struct World World;
typedef struct Host Host;

typedef struct
{
  Host *host;
  PlCore *core;
  guint64 generation; /* counts cores; their addresses may be reused */
  MdDatabase *database;
  guint64 incarnation;
  GHashTable *conns;        /* connection number -> MdConn */
  GHashTable *transactions; /* number -> index of the entry host + 1 */
} Pool;

struct Host
{
  World *world;
  char name[8];
  guint64 incarnation;
  CsState *state;
  SrRouter *router;
  LvCore *liveness;
  guint64 transactions;
  GmTime cut_off_until; /* no news of the control state until then */
  GmTime frozen_until;  /* suspended: handles nothing until then */
  GmTime stamped;       /* its state was current then */
  CuLease lease;
  Pool pools[MD_COPIES_MAX]; /* core NULL: this host has no pool there */
};

typedef struct
{
  World *world;
  Host *host;
  guint64 number;
  SnSession *session;
  GHashTable *session_values; /* name -> value, as set by its SET statements */
  GHashTable *prepared_shapes; /* prepared name -> shape */
  guint64 sequence;            /* of the statement in flight, 0: none */
  MdStatement *statement;
  SnVerb verb;
  GmTime transaction_began; /* of the transaction */
  TkPoint last_write;
  GArray *transaction_writes; /* guint64, uids written in the transaction */
  gboolean in_transaction;
  gboolean read_only;
  GmTime arrived;
  gint64 key;            /* index of its key; -1: none */
  gboolean disconnected; /* it must start a session anew */
  GmTime presented_at;   /* the START in progress; 0: none */
  SnStatement unread;    /* sent, not handled by its host yet */
  char *former_name;     /* set or prepared by the statement, and the value */
  char *former_value;    /* that it had before; NULL: none */
} Caller;

/* Who holds a key from a time on.  */
typedef struct
{
  GmTime since;
  gint64 customer; /* index of a customer; -1: nobody */
} Holding;

typedef struct
{
  GmTime at;
  guint64 order;
  void (*run) (World *w, gpointer data);
  gpointer data;
} Event;

struct World
{
  GmRandom random;
  GmTime now;
  guint64 last_order;
  GSequence *events;
  MdGroup group;
  CsState *state;    /* the committed state */
  guint64 link_rate; /* of every host, bits a second; 0: unlimited */
  guint64 version;
  Host hosts[HOSTS];
  Caller callers[SESSIONS];
  GHashTable *statements; /* uid -> MdStatement */
  GArray *not_run;        /* guint64, uids of writes reported as not run */
  guint64 last_uid;
  guint64 last_sequence;
  ToCore *leader;
  char leader_name[8];
  guint64 round;
  guint64 steps;
  guint64 answers[GM_KIND_COUNT];
  guint promotions;
  gboolean faults_ended;    /* no new faults are injected */
  gboolean releases;        /* databases are replaced, or out of sight, too */
  gboolean customers;       /* the declaration names customers */
  gboolean moves;           /* routes go to an empty group and back */
  gboolean moved;           /* to the empty group */
  GmTime all_declared;      /* since when all services are; 0: they are not */
  gboolean own_connections; /* a connection serves one customer */
  GArray *holdings[KEYS];   /* Holding, by time */
  guint64 declarations;     /* number of the last one */
  guint64 last_session;
  MdDatabase *joining; /* of the replacement in progress, or NULL */
  MdDatabase *leaving;
  MdDatabase *unseen; /* control neither hears nor reaches it; or NULL */
};

/* A message in flight between two hosts.  */
typedef struct
{
  Host *from;
  Host *to;
  WmMessage message;
} InFlightMessage;

/* Records a violation; the first one ends the schedule.  */
void sw_violation (const char *what);
/* Schedules a call of RUN with DATA at WHEN.  */
void sw_at (World *w, GmTime when, void (*run) (World *, gpointer),
            gpointer data);
/* Returns a random delay of at least 50 us and less than MOST + 50 us.  */
GmTime sw_delay (World *w, GmTime most);
/* Returns TRUE with a probability of PER_THOUSAND / 1000.  */
gboolean sw_chance (World *w, guint per_thousand);

/* session_pools.c  */
/* Carries out the pending actions of POOL's core.  */
void sw_pump_pool (World *w, Pool *pool);
/* Sends MESSAGE from the host of C to HOST.  */
void sw_send (World *w, Caller *c, const char *host, WmMessage *message);

/* session_callers.c  */
/* Event: the Caller in DATA sends its next statement.  */
void sw_next_statement (World *w, gpointer data);
/* Event: the answer in DATA, an InFlightMessage, arrives.  */
void sw_deliver_answer (World *w, gpointer data);
/* Event: the caller's host stops waiting for the statement whose sequence
   number DATA, a guint64, holds, if the statement is still in flight.  */
void sw_time_out (World *w, gpointer data);
/* The link fails while the statement of C is in flight.  */
void sw_lose_statement (World *w, Caller *c);

/* Event: the host of the Caller in DATA handles its statement.  */
void sw_handle_statement (World *w, gpointer data);

/* session_customers.c  */
void sw_init_customers (World *w);
/* Commits a declaration in which some keys have other holders, at times.  */
void sw_change_keys (World *w);
/* Lets every key belong to a customer.  */
void sw_grant_keys (World *w);
/* Sends stamps to the hosts, now and then.  */
void sw_send_stamps (World *w);
/* Suspends, cuts off or restarts hosts, at times.  */
void sw_disturb_hosts (World *w);
/* Checks that STATEMENT, which runs for CUSTOMER on CONN, may do so.  */
void sw_check_customer (World *w, const MdStatement *statement,
                        const char *customer, const MdConn *conn);
/* Checks the answer KIND to the statement of C.  */
void sw_check_answer (World *w, const Caller *c, GmKind kind);
/* Event: the Caller in DATA starts a session, or waits to.  */
void sw_connect (World *w, gpointer data);

/* session_control.c  */
/* The process on HOST ends and starts again.  */
void sw_restart_host (World *w, Host *host);
/* Commits COMMAND to the control state; the hosts receive the new state
   later.  */
void sw_commit (World *w, const WmMessage *command);
/* Announces D or HOST to the control leader; POOL: HOST offers pools.  A
   database that is out of sight is not announced.  */
void sw_announce (World *w, const MdDatabase *d);
void sw_announce_host (World *w, const Host *host, gboolean pool);
/* Commits a declaration whose services all depend on g or, with AWAY, on a
   group without databases.  */
void sw_move_routes (World *w, gboolean away);
/* Event, every TICK_INTERVAL: replication, faults, timers of the cores.  */
void sw_tick (World *w, gpointer data);
