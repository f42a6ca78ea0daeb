/* The PostgreSQL protocol server of the stand-in database: sessions, slots and
   statements.

   The server implements the part of the protocol that libpq uses here: startup
   and the extended query protocol with pipelines and errors.  A cancel request
   closes its connection and has no other effect.  The statements are a fixed
   list; see standin/statement.c.  */
#pragma once
#include "conf/settings.h"
#include "store.h"

typedef struct
{
  CfAddress address;
  guint slots;         /* statements that may run at once */
  guint connections;   /* sessions that may be open */
  GmTime service_time; /* that a statement takes in its slot */
  GmTime connect_time; /* that a new connection takes */
  GmTime replica_lag;  /* from receiving an entry to applying it */
} StLimits;

/* Faults and other states that statements set in a running database.  */
typedef struct
{
  gboolean cut_from_peers;
  gboolean leaving;
  GmTime answer_delay;
  char *follow_id;
  char *follow_address;
} StSwitches;

typedef struct StServer StServer;

/* Listens on the address in LIMITS and serves STORE.  Port 0 means any free
   port; LIMITS then gets its number.  Borrows STORE, LIMITS and SWITCHES.
   Returns NULL and sets STATUS when the server can't listen.  */
StServer *st_server_new (StStore *store, StLimits *limits,
                         StSwitches *switches, GmStatus *status);
void st_server_free (StServer *server);
