/* The databases of galenamount-platform, which serve the line protocol.  */
#pragma once
#include "platform/line.h"
#include "replicas.h"
#include "wire/stream.h"

#define PD_GROUP "stock" /* name of the only service and its group */

typedef struct PdGroup PdGroup;

/* One database: its listener, its sessions and the faults set on it.  */
typedef struct
{
  PdGroup *group;
  MdDatabase *model;
  CfAddress address;
  NsListener *listener;
  GPtrArray *sessions;       /* Session *, owned */
  guint64 sequence;          /* number of the last heartbeat */
  gint64 started_ms;         /* Unix time of the start, in milliseconds */
  gboolean apply_paused;     /* receives but applies nothing */
  gboolean drop_next_answer; /* the next commit runs; its answer is lost */
  gboolean draining;
} PdDatabase;

/* A group of databases and what its databases share.  */
struct PdGroup
{
  MdGroup model;
  PdDatabase databases[MD_DATABASES];
  GArray *changes; /* Change; the write with id I is at I - 1 */
  GHashTable
      *customers; /* set of the names that connections were opened for */
};

/* Starts the databases on the ports that follow BASE's.  VIOLATION is called
   with the text of each violated invariant.  Returns FALSE and sets STATUS
   when a database can't listen.  */
gboolean pd_start (PdGroup *group, const CfAddress *base,
                   void (*violation) (const char *what), GmStatus *status);
/* Closes all sessions of DATABASE, as a crash does.  */
void pd_drop_sessions (PdDatabase *database);
