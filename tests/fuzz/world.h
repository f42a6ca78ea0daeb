/* The cores of all hosts together under a virtual clock: hosts, links,
   databases, faults.  Small fakes stand at the sockets and disks; everything
   between them is the product's code.  */
#pragma once
#include "control/control.h"
#include "control/subscriber.h"
#include "dispatch/group.h"
#include "route/route.h"
#include "store.h"

#define HOSTS 5
/* Control hosts, the first ones.  Of three, none is ever removed.  */
#define CONTROL_HOSTS 3
#define CONTROL_HOSTS_HEALING 5
#define DATABASES 3
#define GROUP "costing"
#define LEASE (4 * GM_SECOND)
#define KEY "a key of the fuzzer"

typedef struct World World;
typedef struct Host Host;
typedef struct Database Database;

/* How a caller's request ended.  */
typedef struct
{
  GmKind kind;
  char message[GM_MESSAGE_MAX];
  const char *database;
  char *transaction; /* BEGIN: its text; borrowed */
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
  GmRandom random; /* of the network and the processes */
  GSequence *events;
  guint64 event_number;
  Host *hosts[HOSTS];
  Database *databases[DATABASES];
  GmTime cut_until[HOSTS][HOSTS]; /* until when; 0: not cut */
  GmTime database_cut_until[HOSTS][DATABASES];
  GPtrArray *links;
  GPtrArray *conns;
  guint64 next_number;
  GPtrArray *committed_digests; /* digests of control entries by index */
  GHashTable *started; /* request id -> times that it started at a database */
  GString *violation;  /* empty: none */
  guint violations;
  gboolean healing;
  guint control_count; /* control hosts */
  guint64 checked;
  GmTime last_fault_at; /* when a fault other than leaving was last there */
  gboolean trace;
};

/* HEALING: the control group changes its members by itself.  */
World *world_new (guint64 seed, gboolean healing);
void world_free (World *w);
/* Runs events up to TO.  */
void world_advance (World *w, GmTime to);
void world_violation (World *w, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Whether host H runs and is not frozen.  */
gboolean world_host_works (const World *w, guint h);
/* State and freshness of host H's copy.  */
const CsState *world_state (const World *w, guint h);
gboolean world_is_fresh (const World *w, guint h);

/* A caller's request at host H; EXEC is consumed.  END is called once, also
   when the host dies.  */
void world_request (World *w, guint h, const WmMessage *exec,
                    const char *transaction, GmTime timeout,
                    RequestCallback end, gpointer data);
/* An operator's proposal or membership request at host H.  */
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
/* Control hosts whose disk is a voter of the group as the leader has it.  */
guint world_voters (const World *w);
/* The index of the group's primary as the newest control state has it, or
   -1.  */
int world_primary (const World *w);
