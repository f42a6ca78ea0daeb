/* What the files of the fuzzer's world share.  */
#pragma once
#include "world.h"

/* Fewer than the control hosts, so that one that is gone may be removed.  */
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
  guint64 number; /* as the accepting side knows it */
  LinkPurpose purpose;
  guint from;
  guint to;
  guint64 from_epoch;
  guint64 to_epoch;
  gboolean up;
  gboolean closed;
  GmTime last_delivery[2]; /* delivery time of the last message, each way */
} Link;

/* A connection from a host to a database.  */
typedef struct
{
  guint64 number; /* of the dispatch core; 0: the watch's */
  guint host;
  guint database;
  guint64 host_epoch;
  guint64 database_epoch;
  gboolean closed;
  gboolean in_transaction;
  GPtrArray *changes; /* of the open block: char * in threes */
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
  guint64 epoch;     /* counts starts */
  GmTime clock_skew; /* its clock against the world's */
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
  GPtrArray *operator_requests; /* Ask * */
  guint64 operator_sequence;
  gboolean pumping;
  guint64
      last_checked_commit; /* of its control state, to check that it grows */
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
  GmTime answer_delay; /* added to answers */
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

/* Schedules RUN after DELAY at a process; it is deferred while that process is
   frozen and dropped, with DROP, when it has died since.  */
void world_at (World *w, GmTime delay, Place place, guint index, EventRun run,
               GDestroyNotify drop, gpointer data);
void world_run_deferred (World *w, GQueue *deferred);
GmTime world_jitter (World *w, GmTime least, GmTime spread);

/* hosts.c  */
GmTime host_now (const Host *h);
void host_pump (Host *h);
void host_new (World *w, guint index);
void host_free (Host *h);

/* network.c  */
Link *link_dial (Host *h, guint to, LinkPurpose purpose);
/* Sends from the end that dialed, or from the other; a host may dial itself.
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
