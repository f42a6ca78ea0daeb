/* A non-blocking TCP connection on the main context.  After the closed
   handler, or after ns_close, no further handler is called.  */
#pragma once
#include "conf/settings.h"
#include <gio/gio.h>

typedef struct NsStream NsStream;

typedef struct
{
  /* Called when a connection started by ns_connect is established.  May be
     NULL for accepted connections.  */
  void (*connected) (NsStream *stream, gpointer owner);
  void (*data) (NsStream *stream, const char *data, gsize length,
                gpointer owner);
  void (*closed) (NsStream *stream, const char *why, gpointer owner);
  /* All queued bytes have been sent.  May be NULL.  */
  void (*drained) (NsStream *stream, gpointer owner);
} NsHandler;

typedef void (*NsAccept) (GSocket *socket, gpointer owner);
typedef struct NsListener NsListener;

/* Listens at ADDRESS and passes each accepted socket to ACCEPT, which takes
   ownership.  Stores the bound port in ADDRESS.  Returns NULL and sets STATUS
   on failure.  */
NsListener *ns_listen (CfAddress *address, NsAccept accept, gpointer owner,
                       GmStatus *status);
void ns_listener_free (NsListener *listener);

/* Creates a stream for the accepted SOCKET and takes ownership of the socket.
   USER_TIMEOUT_MS is how long sent data may stay unacknowledged before the
   connection fails (TCP_USER_TIMEOUT); 0: system default.  */
NsStream *ns_accepted (GSocket *socket, guint user_timeout_ms,
                       const NsHandler *handler, gpointer owner);
/* Starts to connect to ADDRESS.  Calls connected or closed later, never from
   within ns_connect.  */
NsStream *ns_connect (const CfAddress *address, guint user_timeout_ms,
                      const NsHandler *handler, gpointer owner);
/* Sends or queues LENGTH bytes.  A failure is reported by a later call of the
   closed handler, never from within ns_write.  */
void ns_write (NsStream *stream, const void *data, gsize length);
/* Stops or resumes reading.  While reading is stopped the peer is held up by
   the network, and only a connection that has failed is noticed.  */
void ns_pause (NsStream *stream, gboolean paused);
/* Returns the number of queued bytes.  The owner of the stream limits the size
   of the queue.  */
gsize ns_queued_bytes (const NsStream *stream);
/* Tells the peer, behind the queued bytes, that no more come.  Later writes
   are dropped; what the peer sends is still handled.  */
void ns_end_writing (NsStream *stream);
/* Ends the stream so that the peer gets all that was written: sends the queued
   bytes, tells the peer that no more come, and drops what the peer still sends
   until it closes its side, or until a timeout.  Closing at once would reset
   the connection if bytes of the peer are unread, and a reset destroys what is
   on its way.  No further handler is called.  */
void ns_flush_and_close (NsStream *stream);
/* Returns the number of streams that ns_flush_and_close has not closed yet. */
guint ns_finishing_count (void);
/* Whether bytes of the peer have arrived that were not read yet.  */
gboolean ns_has_input (const NsStream *stream);
/* Closes the stream at once.  STREAM may be NULL.  */
void ns_close (NsStream *stream);
/* Like ns_close, but resets the connection: what the peer has not received yet
   is lost, also where the network holds it up.  */
void ns_reset (NsStream *stream);
