/* A TCP connection that is read and written as bytes arrive, on the main
   context.  After closed, or st_close, no further call comes.  */
#pragma once
#include "conf/settings.h"
#include <gio/gio.h>

typedef struct StStream StStream;

typedef struct
{
  /* The connection that st_connect asked for is made; may be NULL.  */
  void (*connected) (StStream *stream, gpointer owner);
  void (*data) (StStream *stream, const char *data, gsize length,
                gpointer owner);
  void (*closed) (StStream *stream, const char *why, gpointer owner);
} StHandler;

typedef void (*StAccept) (GSocket *socket, gpointer owner);
typedef struct StListener StListener;

/* Listens at ADDRESS and gives each connection to ACCEPT, which owns it.  NULL
   and STATUS when it can't.  */
StListener *st_listen (CfAddress *address, StAccept accept, gpointer owner,
                       GmStatus *status);
void st_listener_free (StListener *listener);

/* Takes the accepted SOCKET.  SILENCE_MS is how long the peer may leave bytes
   unacknowledged; 0: as the system has it.  */
StStream *st_accepted (GSocket *socket, guint silence_ms,
                       const StHandler *handler, gpointer owner);
/* Starts to connect; the handler hears connected or closed, never from
   within.  */
StStream *st_connect (const CfAddress *address, guint silence_ms,
                      const StHandler *handler, gpointer owner);
/* Sends or queues LENGTH bytes.  A failure is told later, never from within.
 */
void st_write (StStream *stream, const void *data, gsize length);
/* Bytes that wait for the peer to read; the owner bounds them.  */
gsize st_queued (const StStream *stream);
/* Closes once what is queued has been sent; no further call comes.  */
void st_finish (StStream *stream);
/* Closes at once; NULL is allowed.  */
void st_close (StStream *stream);
