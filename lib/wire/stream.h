/* A TCP connection that is read and written as bytes arrive, on the main
   context.  After closed, or ns_close, no further call comes.  */
#pragma once
#include "conf/settings.h"
#include <gio/gio.h>

typedef struct NsStream NsStream;

typedef struct
{
  /* The connection that ns_connect asked for is made; may be NULL.  */
  void (*connected) (NsStream *stream, gpointer owner);
  void (*data) (NsStream *stream, const char *data, gsize length,
                gpointer owner);
  void (*closed) (NsStream *stream, const char *why, gpointer owner);
} NsHandler;

typedef void (*NsAccept) (GSocket *socket, gpointer owner);
typedef struct NsListener NsListener;

/* Listens at ADDRESS and gives each connection to ACCEPT, which owns it.  NULL
   and STATUS when it can't.  */
NsListener *ns_listen (CfAddress *address, NsAccept accept, gpointer owner,
                       GmStatus *status);
void ns_listener_free (NsListener *listener);

/* Takes the accepted SOCKET.  SILENCE_MS is how long the peer may leave bytes
   unacknowledged; 0: as the system has it.  */
NsStream *ns_accepted (GSocket *socket, guint silence_ms,
                       const NsHandler *handler, gpointer owner);
/* Starts to connect; the handler hears connected or closed, never from
   within.  */
NsStream *ns_connect (const CfAddress *address, guint silence_ms,
                      const NsHandler *handler, gpointer owner);
/* Sends or queues LENGTH bytes.  A failure is told later, never from within.
 */
void ns_write (NsStream *stream, const void *data, gsize length);
/* Bytes that wait for the peer to read; the owner bounds them.  */
gsize ns_queued (const NsStream *stream);
/* Closes once what is queued has been sent; no further call comes.  */
void ns_finish (NsStream *stream);
/* Closes at once; NULL is allowed.  */
void ns_close (NsStream *stream);
