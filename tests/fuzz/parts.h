/* Types and functions shared by the files of the simulated environment.  */
#pragma once
#include "world.h"

/* Less than the number of control hosts, so that a host that is gone may be
   removed.  */
#define MIN_VOTERS 2

typedef enum
{
  LINK_SUBSCRIPTION,
  LINK_ROUTE,
  LINK_PEER
} LinkPurpose;

/* A link between two hosts.  Messages keep their order in each direction.  */
typedef struct
{
  guint64 number; /* of the link at the accepting host */
  LinkPurpose purpose;
  guint from;
  guint to;
  guint64 from_epoch;
  guint64 to_epoch;
  gboolean up;
  gboolean closed;
  GmTime last_delivery[2]; /* of the last message: from the dialer, to it */
} Link;

/* A connection from a host to a database.  */
typedef struct
{
  guint64 number; /* the dispatch core's number; 0: the watch connection */
  guint host;
  guint database;
  guint64 host_epoch;
  guint64 database_epoch;
  gboolean closed;
  gboolean in_transaction;
  GPtrArray *changes; /* of the open transaction: char *, three per change */
  GmTime last_delivery[2];
} Conn;

typedef struct
{
  guint64 sequence;
  OperatorCallback callback;
  gpointer data;
  GmTime until;
} OperatorRequest;

struct Host
{
  World *world;
  guint index;
  char name[16];
  gboolean alive;
  gboolean frozen;
  guint64 epoch;     /* counts starts and crashes */
  GmTime clock_skew; /* its clock minus the world's */
  GQueue deferred;
  ClStore *disk;
  char disk_name[32];
  CoCore *control;
  SbCore *subscriber;
  Link *subscription;
  RqCore *route;
  GpCore *group;
  Link *routes[HOSTS];
  Link *peers[HOSTS];
  GmTime next_peer_dial[HOSTS];
  GHashTable *waiting;          /* RqRequest owner -> Waiting */
  GPtrArray *operator_requests; /* OperatorRequest * */
  guint64 operator_sequence;
  gboolean pumping;
  guint64 last_checked_commit; /* highest index compared with other hosts */
};

struct Database
{
  World *world;
  guint index;
  char id[16];
  gboolean alive;
  gboolean frozen;
  guint64 epoch;
  GQueue deferred;
  StStore *store;
  gboolean cut_from_peers;
  gboolean leaving;
  GmTime leaving_since;
  GmTime answer_delay; /* added to the delay of every answer */
  guint busy_slots;
  GQueue queue; /* Job * waiting for a slot */
};

typedef enum
{
  AT_WORLD,
  AT_HOST,
  AT_DATABASE
} Place;

typedef void (*EventRun) (World *w, gpointer data);

/* Schedules RUN after DELAY at the process INDEX of PLACE.  The event is
   deferred while that process is frozen, and dropped, freeing DATA with DROP,
   if the process has died since.  */
void world_at (World *w, GmTime delay, Place place, guint index, EventRun run,
               GDestroyNotify drop, gpointer data);
/* Schedules the events of DEFERRED for now.  */
void world_run_deferred (World *w, GQueue *deferred);
GmTime world_jitter (World *w, GmTime least, GmTime spread);

/* hosts.c  */
GmTime host_now (const Host *h);
void host_pump (Host *h);
void host_new (World *w, guint index);
void host_free (Host *h);

/* network.c  */
Link *link_dial (Host *h, guint to, LinkPurpose purpose);
/* Sends M from the host that dialed LINK if DIALER is TRUE, else from the
   other host.  DIALER tells the ends apart even if a host has dialed itself.
 */
void link_send (World *w, Link *link, gboolean dialer, const WmMessage *m);
void link_close (World *w, Link *link, guint by);
gboolean hosts_cut (const World *w, guint a, guint b);

/* databases.c  */
void database_new (World *w, guint index);
void database_free (Database *d);
Conn *conn_open (Host *h, const char *id, guint64 number);
Conn *conn_find (const Host *h, guint64 number, const char *database);
void conn_close (World *w, Conn *conn);
void conn_run_request (Host *h, Conn *conn, const DpRequest *request);
void conn_run_call (Host *h, Conn *conn, const GpAction *action);
