/* Replication and announcements of the stand-in database.  A replica pulls
   entries from the primary that it was told to follow.  Every database
   announces itself to the hosts of the system.  */
#pragma once
#include "server.h"

typedef struct StReplica StReplica;

/* Pulls entries into STORE from the primary that SWITCHES name.  Borrows all
   arguments.  */
StReplica *st_replica_new (StStore *store, StSwitches *switches);
void st_replica_free (StReplica *replica);

/* What the database announces about itself, and where.  */
typedef struct
{
  char *id;
  char *group;
  char *data_centre;
  guint64 incarnation;
  GPtrArray *announce_to; /* char *, "IP:port" of hosts' caller addresses */
} StIdentity;

typedef struct StAnnouncer StAnnouncer;

/* Announces the database several times a second.  Borrows all arguments.  */
StAnnouncer *st_announcer_new (const StIdentity *identity, StStore *store,
                               const StLimits *limits,
                               const StSwitches *switches);
void st_announcer_free (StAnnouncer *announcer);
