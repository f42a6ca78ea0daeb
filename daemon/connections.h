/* Callers' connections: their number and their idle time are bounded.

   A connection counts as idle while none of its requests waits for an answer;
   one whose request takes too long to arrive is idle too.  */
#pragma once
#include "base/clock.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Connections Connections;
typedef struct Connection Connection;

/* Watches the connections of SERVER: at most MOST of them, each idle for IDLE
   at most.  */
Connections *connections_new (SoupServer *server, guint most, GmTime idle,
                              const GmClock *clock);
void connections_free (Connections *connections);
/* The connection of MSG, with a reference for the caller: it is not idle until
   that is released.  NULL when it has closed.  */
Connection *connections_hold (Connections *connections,
                              SoupServerMessage *msg);
void connections_release (Connections *connections, Connection *connection);
