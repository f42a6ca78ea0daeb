/* Types shared by the files of daemon/pools; private to them.

   pool_actions.c: connections, statements and answers of one pool.  pools.c:
   which pools this host has, their limits, ticks and messages.  */
#pragma once
#include "pool/pool.h"
#include "pool/served.h"
#include "pools.h"

typedef struct Pool Pool;

/* A connection to the pool's database.  */
typedef struct
{
  Pool *pool;
  guint64 number;
  DbConn *conn;
  GmTime open_started;
  /* The running exchange and the strings that it borrows.  */
  PlAction action;
  DbExchange exchange;
} Conn;

/* The queue of one database, or this host's share of that queue.  */
struct Pool
{
  Pools *pools;
  PlCore *core;
  char *id;
  char *group;
  CfAddress address;
  guint64 incarnation;
  gboolean pumping;
  PlCounts counted; /* as last added to the metrics */
  /* When a statement last asked for a stand-in; 0 when this host holds the
     queue, or a share of it, itself.  */
  GmTime stand_in_asked_at;
  GHashTable *conns;             /* number -> Conn */
  GHashTable *witnesses;         /* database id -> Witness */
  GHashTable *transaction_links; /* number -> link number of its entry host */
};

struct Pools
{
  DaemonTask task;
  Daemon *daemon;
  DbOpen open;
  GHashTable *pools;          /* database id -> Pool */
  guint64 transactions_begun; /* by all pools since the start */
  GmTime tick_due;            /* when the next tick is due */
  GmTime report_due;
  GmTime last_report;
  guint timer; /* GLib source; 0: there are no pools */
  SvCounts *served;
};

GmTime pool_now (const Pool *pool);
/* Creates the pool of DATABASE and adds it to P; NULL: its address is not
   valid.  */
Pool *pool_new (Pools *p, const CsDatabase *database);
void pool_free (Pool *pool);
/* Carries out the actions that the core of POOL has queued.  */
void pool_pump (Pool *pool);
