/* The world of the sessions fuzzer: entry hosts with sessions and pools, model
   databases, a control leader, all under one virtual clock.

   sessions.c: the frame and the checks at the end.  session_callers.c: what
   callers do and must hear.  session_pools.c: pools and messages between
   hosts.  session_control.c: the control state, changes of primary, faults. */
#pragma once
#include "failover/takeover.h"
#include "model.h"
#include "session/session.h"

#define HOSTS 3
#define SESSIONS 12
#define START_TIME (100 * GM_SECOND)
#define TICK_INTERVAL (5 * GM_MS)
#define SLOW_LINK_RATE 1000000 /* bits a second; less than a slot serves */
#define MAX_AGE (400 * GM_MS)  /* of the services that bound it */
#define SETTLE_TIME (20 * GM_SECOND)

typedef struct World World;
typedef struct Host Host;

typedef struct
{
  Host *host;
  PlCore *core;
  guint64 generation; /* of the core: addresses are used again */
  MdDatabase *database;
  guint64 incarnation;
  GHashTable *conns;        /* number -> MdConn */
  GHashTable *transactions; /* number -> GUINT entry host + 1 */
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
  Pool pools[MD_DATABASES]; /* core NULL: not held */
};

typedef struct
{
  World *world;
  Host *host;
  guint64 number;
  SnSession *session;
  GHashTable *acknowledged_values; /* what was acknowledged */
  GHashTable *prepared_shapes;     /* prepared name -> shape */
  guint64 sequence;                /* of the statement on its way, 0: none */
  MdStatement *statement;
  SnVerb verb;
  GmTime transaction_began; /* of the transaction */
  TkPoint last_write;
  GArray *transaction_writes; /* guint64, of the transaction */
  gboolean in_transaction;
  gboolean read_only;
  GmTime arrived;
} Caller;

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
  CsState *state;    /* the committed one */
  guint64 link_rate; /* of all hosts, bits a second; 0: ample */
  guint64 version;
  Host hosts[HOSTS];
  Caller callers[SESSIONS];
  GHashTable *statements; /* uid -> MdStatement */
  GArray *not_run;        /* guint64, uids that must not be kept */
  guint64 last_uid;
  guint64 last_sequence;
  ToCore *leader;
  char leader_name[8];
  guint64 round;
  guint64 steps;
  guint64 answers[GM_KIND_COUNT];
  guint promotions;
  gboolean faults_ended; /* no more faults */
};

/* A message on its way.  */
typedef struct
{
  Host *from;
  Host *to;
  WmMessage message;
} InFlightMessage;

/* Notes a broken promise; the first one ends the schedule.  */
void sw_violation (const char *what);
/* Calls RUN with DATA at WHEN.  */
void sw_at (World *w, GmTime when, void (*run) (World *, gpointer),
            gpointer data);
/* A time of up to MOST.  */
GmTime sw_delay (World *w, GmTime most);
gboolean sw_chance (World *w, guint per_thousand);

/* session_pools.c  */
/* Carries out what POOL's core asks for.  */
void sw_pump_pool (World *w, Pool *pool);
/* Sends MESSAGE from the host of C to HOST.  */
void sw_send (World *w, Caller *c, const char *host, WmMessage *message);

/* session_callers.c  */
/* Events: a caller's next statement; an answer, of a Parcel, arrives.  */
void sw_next_statement (World *w, gpointer data);
void sw_deliver_answer (World *w, gpointer data);
/* Event: the statement with the sequence in a guint64, if it is still on its
   way, is given up by the caller's host.  */
void sw_time_out (World *w, gpointer data);
/* The statement of C on its way is lost with its link.  */
void sw_lose_statement (World *w, Caller *c);

/* session_control.c  */
/* Commits COMMAND; the hosts hear of it later.  */
void sw_commit (World *w, const WmMessage *command);
void sw_announce (World *w, const MdDatabase *d);
void sw_announce_host (World *w, const Host *host, gboolean pool);
/* Event: what happens every few milliseconds.  */
void sw_tick (World *w, gpointer data);
