/* Callers' connections: their number and their idle time are bounded.

   A connection counts as idle while none of its requests waits for an answer;
   one whose request takes too long to arrive is idle too.  */
#pragma once
#include "base/clock.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Connections Connections;
typedef struct Connection Connection;

/* A request that waits for an answer from elsewhere.  */
typedef struct
{
  SoupServerMessage *msg;
  gboolean gone; /* the other end hung up: there is nobody to answer */

  /* Kept by connections_hold.  */
  gulong gone_handler;
  Connections *connections;
  Connection *connection;
} HeldMessage;

/* Watches the connections of SERVER: at most MOST of them, each idle for IDLE
   at most.  */
Connections *connections_new (SoupServer *server, guint most, GmTime idle,
                              const GmClock *clock);
void connections_free (Connections *connections);
/* Pauses MSG and fills in HELD, which must stay where it is: its connection is
   not idle until connections_release.  */
void connections_hold (Connections *connections, SoupServerMessage *msg,
                       HeldMessage *held);
/* Lets the answer that was set go, if somebody is there to have it.  */
void connections_release (HeldMessage *held);
