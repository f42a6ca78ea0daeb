/* Limits the number and the idle time of an HTTP server's connections.

   A connection is idle while none of its requests waits for an answer, also
   while a request is still arriving.  */
#pragma once
#include "base/clock.h"
#include <gio/gio.h>
#include <libsoup/soup.h>

typedef struct Connections Connections;
typedef struct Connection Connection;

/* A paused request, which is answered later.  */
typedef struct
{
  SoupServerMessage *msg;
  gboolean
      disconnected; /* the client has disconnected: no answer can be sent */

  /* Set by connections_hold.  */
  gulong disconnected_handler;
  Connections *connections;
  Connection *connection;
} HeldMessage;

/* Limits the connections of SERVER to MAX_CONNECTIONS, and closes those that
   have been idle for IDLE_TIMEOUT.  */
Connections *connections_new (SoupServer *server, guint max_connections,
                              GmTime idle_timeout, const GmClock *clock);
void connections_free (Connections *connections);
/* Pauses MSG and fills in HELD, which must not be moved.  The connection does
   not count as idle until connections_release.  */
void connections_hold (Connections *connections, SoupServerMessage *msg,
                       HeldMessage *held);
/* Sends the answer that was set, unless the client has disconnected, and drops
   HELD's references.  */
void connections_release (HeldMessage *held);
