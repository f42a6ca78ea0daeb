/* Simulated environment of the fuzzer: hosts, links, databases and faults
   under one virtual clock.  Sockets and disks are simulated; the cores between
   them are the production code.  */
#pragma once
#include "control/control.h"
#include "control/subscriber.h"
#include "dispatch/group.h"
#include "route/route.h"
#include "store.h"

#define HOSTS 5
/* Number of control hosts, which are the first hosts.  A control group never
   removes a member by itself when fewer than three would be left; in healing
   mode there are five, so that members are removed.  */
#define CONTROL_HOSTS 3
#define CONTROL_HOSTS_HEALING 5
#define DATABASES 3
#define GROUP "costing"
#define LEASE (4 * GM_SECOND)
#define KEY "a key of the fuzzer"

typedef struct World World;
typedef struct Host Host;
typedef struct Database Database;

/* The result of a caller's request.  */
typedef struct
{
  GmKind kind;
  char message[GM_MESSAGE_MAX];
  const char *database;
  char *transaction; /* BEGIN: the transaction's text form; borrowed */
  TkPoint seen;
  GBytes *rows;
} RequestResult;

typedef void (*RequestCallback) (World *w, const RequestResult *ending,
                                 gpointer data);
typedef void (*OperatorCallback) (World *w, GmKind kind, const char *message,
                                  gpointer data);

struct World
{
  GmTime now;
  GmRandom random; /* delays of the network and the processes */
  GSequence *events;
  guint64 event_number;
  Host *hosts[HOSTS];
  Database *databases[DATABASES];
  GmTime cut_until[HOSTS][HOSTS]; /* end of the cut; 0: not cut */
  GmTime database_cut_until[HOSTS][DATABASES];
  GPtrArray *links;
  GPtrArray *conns;
  guint64 next_number;
  GPtrArray *committed_digests; /* digests of control entries by index */
  GHashTable *started;          /* request id -> executions; never filled */
  GString *violation;           /* empty: none */
  guint violations;
  gboolean healing;
  guint control_count;  /* number of control hosts */
  guint64 checked;      /* number of checks made */
  GmTime last_fault_at; /* when a fault other than leaving was last active */
  gboolean trace;
};

/* Returns a new world in which all processes run.  HEALING: the control group
   replaces its members by itself.  */
World *world_new (guint64 seed, gboolean healing);
void world_free (World *w);
/* Runs all events up to the time TO.  */
void world_advance (World *w, GmTime to);
/* Counts a violation; keeps the message of the first one.  */
void world_violation (World *w, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Whether host H is alive and not frozen.  */
gboolean world_host_works (const World *w, guint h);
/* Host H's copy of the control state, and whether H may serve with it.  */
const CsState *world_state (const World *w, guint h);
gboolean world_is_fresh (const World *w, guint h);

/* Sends a caller's request EXEC, which is copied, to host H.  END is called
   once with the result, also when the host dies.  */
void world_request (World *w, guint h, const WmMessage *exec,
                    const char *transaction, GmTime timeout,
                    RequestCallback end, gpointer data);
/* Sends an operator's proposal or membership request M from host H to the
   control leader.  END is called once with the result.  */
void world_operator_request (World *w, guint h, WmMessage *m,
                             OperatorCallback end, gpointer data);

/* Faults.  */
void world_kill_host (World *w, guint h);
void world_start_host (World *w, guint h);
void world_lose_disk (World *w, guint h);
void world_freeze_host (World *w, guint h, gboolean frozen);
void world_cut_hosts (World *w, guint a, guint b, GmTime until,
                      gboolean reset);
void world_heal_hosts (World *w, guint a, guint b);
void world_cut_database (World *w, guint h, guint d, GmTime until);
void world_kill_database (World *w, guint d);
void world_start_database (World *w, guint d);
void world_freeze_database (World *w, guint d, gboolean frozen);
void world_cut_peers (World *w, guint d, gboolean cut);
void world_set_lag (World *w, guint d, GmTime lag);
void world_set_answer_delay (World *w, guint d, GmTime late);
void world_set_leaving (World *w, guint d, gboolean leaving);
/* Ends every fault.  */
void world_heal (World *w);

gboolean world_host_alive (const World *w, guint h);
gboolean world_database_alive (const World *w, guint d);
StStore *world_store (World *w, guint d);
/* Returns the number of control hosts whose current disk is a voter, according
   to the control leader; 0 while the membership is changing.  */
guint world_voters (const World *w);
/* Returns the index of the group's primary according to the newest control
   state, or -1.  */
int world_primary (const World *w);
