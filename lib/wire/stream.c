#include "stream.h"
#include "base/event.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define LISTEN_BACKLOG 1024 /* simultaneous connection attempts */
#define READ_BUFFER_BYTES 16384
#define CONNECT_TIMEOUT_MS                                                    \
  1500 /* three times a TCP handshake under full load */
#define FINISH_TIMEOUT_MS 1000 /* to send the remaining bytes */

struct NsStream
{
  GSocket *socket;
  const NsHandler *handler;
  gpointer owner;
  gboolean connecting;
  gboolean finishing;
  GSource *reader;
  GSource *writer;
  guint timer;
  GByteArray *unsent;
  char *connect_error; /* reported on the next iteration of the main context */
};

struct NsListener
{
  GSocket *socket;
  GSource *source;
  NsAccept accept;
  gpointer owner;
};

static void
clear_source (GSource **source)
{
  if (*source == NULL)
    return;
  g_source_destroy (*source);
  g_source_unref (*source);
  *source = NULL;
}

/* Adds CHANGE, which may be negative, to the unsent bytes of all
   connections.  */
static void
add_unsent_bytes (gssize change)
{
  gm_gauge (GM_M_bytes_unsent,
            gm_metric (GM_M_bytes_unsent) + (guint64)change);
}

void
ns_close (NsStream *stream)
{
  if (stream == NULL)
    return;
  clear_source (&stream->reader);
  clear_source (&stream->writer);
  g_clear_handle_id (&stream->timer, g_source_remove);
  if (stream->socket != NULL)
    g_socket_close (stream->socket, NULL);
  g_clear_object (&stream->socket);
  add_unsent_bytes (-(gssize)stream->unsent->len);
  g_byte_array_unref (stream->unsent);
  g_free (stream->connect_error);
  g_free (stream);
}

static void
stream_fail (NsStream *stream, const char *why)
{
  const NsHandler *handler = stream->handler;
  gpointer owner = stream->owner;
  if (stream->finishing)
    {
      ns_close (stream);
      return;
    }
  /* The owner may keep a pointer to STREAM until the handler is called, and
     must not use the pointer afterwards.  */
  g_autofree char *text = g_strdup (why);
  handler->closed (stream, text, owner);
  ns_close (stream);
}

static gboolean
on_readable (GSocket *socket, GIOCondition condition, gpointer data)
{
  (void)condition;
  NsStream *stream = data;
  char buffer[READ_BUFFER_BYTES];
  g_autoptr (GError) error = NULL;
  gssize got = g_socket_receive (socket, buffer, sizeof buffer, NULL, &error);
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  if (got > 0)
    {
      gm_count (GM_M_bytes_in_total, (guint64)got);
      if (!stream->finishing)
        stream->handler->data (stream, buffer, (gsize)got, stream->owner);
      return G_SOURCE_CONTINUE;
    }
  stream_fail (stream, error != NULL ? error->message : "closed by the peer");
  return G_SOURCE_REMOVE;
}

static void
start_reading (NsStream *stream)
{
  stream->reader = g_socket_create_source (stream->socket, G_IO_IN, NULL);
  g_source_set_callback (stream->reader, G_SOURCE_FUNC (on_readable), stream,
                         NULL);
  g_source_attach (stream->reader, NULL);
}

/* Sends as many unsent bytes as the socket takes.  FALSE if the connection has
   failed.  */
static gboolean
flush (NsStream *stream)
{
  g_autoptr (GError) error = NULL;
  while (stream->unsent->len > 0)
    {
      gssize sent
          = g_socket_send (stream->socket, (const char *)stream->unsent->data,
                           stream->unsent->len, NULL, &error);
      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return TRUE;
      if (sent <= 0)
        return FALSE;
      gm_count (GM_M_bytes_out_total, (guint64)sent);
      add_unsent_bytes (-sent);
      g_byte_array_remove_range (stream->unsent, 0, (guint)sent);
    }
  return TRUE;
}

static gboolean
on_writable (GSocket *socket, GIOCondition condition, gpointer data)
{
  (void)condition;
  NsStream *stream = data;
  g_autoptr (GError) error = NULL;
  if (stream->connecting && !g_socket_check_connect_result (socket, &error))
    {
      stream_fail (stream, error->message);
      return G_SOURCE_REMOVE;
    }
  if (stream->connecting)
    {
      stream->connecting = FALSE;
      g_clear_handle_id (&stream->timer, g_source_remove);
      start_reading (stream);
      clear_source (&stream->writer);
      stream->handler->connected (stream, stream->owner);
      return G_SOURCE_REMOVE;
    }
  if (!flush (stream))
    {
      stream_fail (stream, "sending failed");
      return G_SOURCE_REMOVE;
    }
  if (stream->unsent->len > 0)
    return G_SOURCE_CONTINUE;
  if (stream->finishing)
    ns_close (stream);
  else
    clear_source (&stream->writer);
  return G_SOURCE_REMOVE;
}

static void
start_writing (NsStream *stream)
{
  if (stream->writer != NULL)
    return;
  stream->writer = g_socket_create_source (stream->socket, G_IO_OUT, NULL);
  g_source_set_callback (stream->writer, G_SOURCE_FUNC (on_writable), stream,
                         NULL);
  g_source_attach (stream->writer, NULL);
}

void
ns_write (NsStream *stream, const void *data, gsize length)
{
  if (stream->finishing)
    return;
  gboolean idle = stream->unsent->len == 0 && !stream->connecting;
  g_byte_array_append (stream->unsent, data, (guint)length);
  add_unsent_bytes ((gssize)length);
  if (idle)
    flush (stream);
  if (stream->unsent->len > 0)
    start_writing (stream);
}

gsize
ns_queued_bytes (const NsStream *stream)
{
  return stream->unsent->len;
}

static gboolean
on_finish_timeout (gpointer data)
{
  NsStream *stream = data;
  stream->timer = 0;
  ns_close (stream);
  return G_SOURCE_REMOVE;
}

void
ns_flush_and_close (NsStream *stream)
{
  stream->finishing = TRUE;
  if (stream->unsent->len == 0)
    {
      ns_close (stream);
      return;
    }
  start_writing (stream);
  g_clear_handle_id (&stream->timer, g_source_remove);
  stream->timer = g_timeout_add (FINISH_TIMEOUT_MS, on_finish_timeout, stream);
}

static NsStream *
stream_new (GSocket *socket, guint user_timeout_ms, const NsHandler *handler,
            gpointer owner)
{
  NsStream *stream = g_new0 (NsStream, 1);
  stream->socket = socket;
  stream->handler = handler;
  stream->owner = owner;
  stream->unsent = g_byte_array_new ();
  if (socket == NULL)
    return stream;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  if (user_timeout_ms > 0)
    g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                         (gint)user_timeout_ms, NULL);
  return stream;
}

NsStream *
ns_accepted (GSocket *socket, guint user_timeout_ms, const NsHandler *handler,
             gpointer owner)
{
  NsStream *stream = stream_new (socket, user_timeout_ms, handler, owner);
  start_reading (stream);
  return stream;
}

static gboolean
on_connect_timeout (gpointer data)
{
  NsStream *stream = data;
  stream->timer = 0;
  stream_fail (stream, stream->connect_error != NULL ? stream->connect_error
                                                     : "connect timed out");
  return G_SOURCE_REMOVE;
}

NsStream *
ns_connect (const CfAddress *address, guint user_timeout_ms,
            const NsHandler *handler, gpointer owner)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) to
      = g_inet_socket_address_new_from_string (address->ip, address->port);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, &error);
  NsStream *stream = stream_new (socket, user_timeout_ms, handler, owner);
  stream->connecting = TRUE;
  gboolean started
      = socket != NULL
        && (g_socket_connect (socket, to, NULL, &error)
            || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING));
  if (started)
    start_writing (stream);
  else
    stream->connect_error = g_strdup (error->message);
  stream->timer = g_timeout_add (started ? CONNECT_TIMEOUT_MS : 0,
                                 on_connect_timeout, stream);
  return stream;
}

static gboolean
on_acceptable (GSocket *socket, GIOCondition condition, gpointer data)
{
  (void)condition;
  NsListener *listener = data;
  GSocket *accepted = g_socket_accept (socket, NULL, NULL);
  if (accepted != NULL)
    listener->accept (accepted, listener->owner);
  return G_SOURCE_CONTINUE;
}

NsListener *
ns_listen (CfAddress *address, NsAccept accept, gpointer owner,
           GmStatus *status)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) wanted
      = g_inet_socket_address_new_from_string (address->ip, address->port);
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                  G_SOCKET_PROTOCOL_TCP, &error);
  if (socket != NULL)
    g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (socket == NULL || !g_socket_bind (socket, wanted, TRUE, &error)
      || !g_socket_listen (socket, &error))
    {
      gm_fail (status, GM_IO, "%s:%u: %s", address->ip, address->port,
               error->message);
      g_clear_object (&socket);
      return NULL;
    }
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, NULL);
  address->port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_socket_set_blocking (socket, FALSE);
  NsListener *listener = g_new0 (NsListener, 1);
  listener->socket = socket;
  listener->accept = accept;
  listener->owner = owner;
  listener->source = g_socket_create_source (socket, G_IO_IN, NULL);
  g_source_set_callback (listener->source, G_SOURCE_FUNC (on_acceptable),
                         listener, NULL);
  g_source_attach (listener->source, NULL);
  return listener;
}

void
ns_listener_free (NsListener *listener)
{
  if (listener == NULL)
    return;
  clear_source (&listener->source);
  g_socket_close (listener->socket, NULL);
  g_object_unref (listener->socket);
  g_free (listener);
}
