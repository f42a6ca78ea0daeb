#include "stream.h"
#include "base/bytes.h"
#include "base/clock.h"
#include "base/event.h"
#include "poller.h"
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

#define LISTEN_BACKLOG 1024 /* simultaneous connection attempts */
#define READ_BUFFER_BYTES 16384
#define CONNECT_TIMEOUT_MS                                                    \
  1500 /* three times a TCP handshake under full load */
/* A listener that finds no free descriptor waits so long before it tries
   again: its socket stays ready, and the loop would do nothing else.  */
#define ACCEPT_PAUSE_MS 50
/* To send the remaining bytes and for the peer to close its side.  */
#define FINISH_TIMEOUT_MS 1000

struct NsStream
{
  GSocket *socket;
  const NsHandler *handler;
  gpointer owner;
  gboolean connecting;
  gboolean writing_ended;
  gboolean finishing; /* the owner has ended the stream */
  GmTime finishing_since;
  gboolean paused;
  NpWatch *watch;
  guint timer;
  GmBuffer unsent;
  char *start_error; /* reported on the next iteration of the main context */
};

struct NsListener
{
  GSocket *socket;
  guint timer; /* resumes accepting; 0: not stopped */
  NpWatch *watch;
  NsAccept accept;
  gpointer owner;
};

/* Streams in this process that are finishing.  */
static guint finishing_count;

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
  finishing_count -= stream->finishing ? 1 : 0;
  np_unwatch (stream->watch);
  g_clear_handle_id (&stream->timer, g_source_remove);
  if (stream->socket != NULL)
    g_socket_close (stream->socket, NULL);
  g_clear_object (&stream->socket);
  add_unsent_bytes (-(gssize)stream->unsent.bytes->len);
  gm_buffer_clear (&stream->unsent);
  g_free (stream->start_error);
  g_free (stream);
}

void
ns_reset (NsStream *stream)
{
  struct linger at_once = { .l_onoff = 1 };
  if (stream != NULL && stream->socket != NULL)
    setsockopt (g_socket_get_fd (stream->socket), SOL_SOCKET, SO_LINGER,
                &at_once, sizeof at_once);
  ns_close (stream);
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

/* Reads and handles what has arrived.  The stream may be freed.  */
static void
read_available (NsStream *stream)
{
  char buffer[READ_BUFFER_BYTES];
  ssize_t got
      = recv (g_socket_get_fd (stream->socket), buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      stream_fail (stream,
                   got < 0 ? g_strerror (errno) : "closed by the peer");
      return;
    }
  gm_count (GM_M_bytes_in_total, (guint64)got);
  if (!stream->finishing)
    {
      stream->handler->data (stream, buffer, (gsize)got, stream->owner);
      return;
    }
  gm_count (GM_M_callers_dropped_bytes_total, (guint64)got);
  gm_log (GM_EV_INPUT_DROPPED,
          "%zd bytes %" G_GINT64_FORMAT " ms after the end of the connection",
          got,
          (gm_now (gm_clock_system ()) - stream->finishing_since) / GM_MS);
}

/* Sends as many of the LENGTH bytes at DATA as the socket takes, and stores
   their number in SENT.  FALSE if the connection has failed.  */
static gboolean
send_available (NsStream *stream, const char *data, gsize length, gsize *sent)
{
  int fd = g_socket_get_fd (stream->socket);
  *sent = 0;
  while (*sent < length)
    {
      ssize_t n = send (fd, data + *sent, length - *sent, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return errno == EAGAIN;
      gm_count (GM_M_bytes_out_total, (guint64)n);
      *sent += (gsize)n;
    }
  return TRUE;
}

static void
update_events (NsStream *stream)
{
  guint reading = stream->connecting || stream->paused ? 0 : EPOLLIN;
  guint writing
      = stream->connecting || stream->unsent.bytes->len > 0 ? EPOLLOUT : 0;
  np_set_events (stream->watch, reading | writing);
}

/* Tells the peer that no more comes, once all bytes are sent.  Closes a
   finishing stream that has no peer to wait for.  */
static void
finish_sending (NsStream *stream)
{
  if ((stream->connecting
       || shutdown (g_socket_get_fd (stream->socket), SHUT_WR) != 0)
      && stream->finishing)
    {
      ns_close (stream);
      return;
    }
  if (stream->finishing)
    stream->paused = FALSE;
  update_events (stream);
}

/* Sends queued bytes.  Returns FALSE if the stream may have been freed.  */
static gboolean
flush (NsStream *stream)
{
  gsize sent;
  gboolean good
      = send_available (stream, (const char *)stream->unsent.bytes->data,
                        stream->unsent.bytes->len, &sent);
  gm_buffer_remove (&stream->unsent, sent);
  add_unsent_bytes (-(gssize)sent);
  if (!good)
    stream_fail (stream, "sending failed");
  else if (stream->unsent.bytes->len == 0 && stream->writing_ended)
    finish_sending (stream);
  else
    {
      update_events (stream);
      if (stream->unsent.bytes->len > 0 || stream->handler->drained == NULL)
        return TRUE;
      stream->handler->drained (stream, stream->owner);
    }
  return FALSE;
}

static void
finish_connecting (NsStream *stream)
{
  g_autoptr (GError) error = NULL;
  if (!g_socket_check_connect_result (stream->socket, &error))
    {
      stream_fail (stream, error->message);
      return;
    }
  stream->connecting = FALSE;
  g_clear_handle_id (&stream->timer, g_source_remove);
  update_events (stream);
  stream->handler->connected (stream, stream->owner);
}

static void
on_ready (gpointer owner, guint events)
{
  NsStream *stream = owner;
  /* A failure is reported whether reading is stopped or not.  */
  if (stream->paused)
    events &= ~(guint)EPOLLIN;
  if (stream->connecting)
    finish_connecting (stream);
  else if (((events & EPOLLOUT) == 0 || flush (stream))
           && (events & ~(guint)EPOLLOUT) != 0)
    read_available (stream);
}

void
ns_write (NsStream *stream, const void *data, gsize length)
{
  gsize sent = 0;
  if (stream->writing_ended)
    return;
  /* An error shows again when the rest is sent from the main context.  */
  if (stream->unsent.bytes->len == 0 && !stream->connecting)
    send_available (stream, data, length, &sent);
  if (sent == length)
    return;
  gm_buffer_append (&stream->unsent, (const guint8 *)data + sent,
                    length - sent);
  add_unsent_bytes ((gssize)(length - sent));
  update_events (stream);
}

void
ns_pause (NsStream *stream, gboolean paused)
{
  if (stream->paused == paused)
    return;
  stream->paused = paused;
  update_events (stream);
}

gsize
ns_queued_bytes (const NsStream *stream)
{
  return stream->unsent.bytes->len;
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
ns_end_writing (NsStream *stream)
{
  stream->writing_ended = TRUE;
  if (stream->unsent.bytes->len == 0)
    finish_sending (stream);
}

void
ns_flush_and_close (NsStream *stream)
{
  stream->writing_ended = TRUE;
  stream->finishing = TRUE;
  stream->finishing_since = gm_now (gm_clock_system ());
  finishing_count++;
  g_clear_handle_id (&stream->timer, g_source_remove);
  stream->timer = g_timeout_add (FINISH_TIMEOUT_MS, on_finish_timeout, stream);
  if (stream->unsent.bytes->len == 0)
    finish_sending (stream);
  else
    update_events (stream);
}

guint
ns_finishing_count (void)
{
  return finishing_count;
}

gboolean
ns_has_input (const NsStream *stream)
{
  char byte;
  return stream->socket != NULL && !stream->connecting
         && recv (g_socket_get_fd (stream->socket), &byte, sizeof byte,
                  MSG_PEEK | MSG_DONTWAIT)
                > 0;
}

static NsStream *
stream_new (GSocket *socket, guint user_timeout_ms, const NsHandler *handler,
            gpointer owner)
{
  NsStream *stream = g_new0 (NsStream, 1);
  stream->socket = socket;
  stream->handler = handler;
  stream->owner = owner;
  gm_buffer_init (&stream->unsent);
  if (socket == NULL)
    return stream;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  if (user_timeout_ms > 0)
    g_socket_set_option (socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                         (gint)user_timeout_ms, NULL);
  return stream;
}

static gboolean
on_start_timeout (gpointer data)
{
  NsStream *stream = data;
  stream->timer = 0;
  stream_fail (stream, stream->start_error != NULL ? stream->start_error
                                                   : "connect timed out");
  return G_SOURCE_REMOVE;
}

static void
start_watching (NsStream *stream)
{
  stream->watch
      = np_watch (g_socket_get_fd (stream->socket),
                  stream->connecting ? EPOLLOUT : EPOLLIN, on_ready, stream);
  if (stream->watch == NULL)
    stream->start_error = g_strdup ("the system can't watch the socket");
}

NsStream *
ns_accepted (GSocket *socket, guint user_timeout_ms, const NsHandler *handler,
             gpointer owner)
{
  NsStream *stream = stream_new (socket, user_timeout_ms, handler, owner);
  start_watching (stream);
  if (stream->start_error != NULL)
    stream->timer = g_timeout_add (0, on_start_timeout, stream);
  return stream;
}

/* A call that is given what it does not expect fails without an error.  */
static const char *
error_text (const GError *error)
{
  return error != NULL ? error->message : "the call failed without an error";
}

/* Returns ADDRESS as a socket address, or NULL with ERROR set when it is no
   IPv4 address: the sockets here are IPv4 sockets.  */
static GSocketAddress *
ipv4_address (const CfAddress *address, GError **error)
{
  if (cf_address_is_ipv4 (address))
    return g_inet_socket_address_new_from_string (address->ip, address->port);
  g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT,
               "%s is not an IPv4 address", address->ip);
  return NULL;
}

NsStream *
ns_connect (const CfAddress *address, guint user_timeout_ms,
            const NsHandler *handler, gpointer owner)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) to = ipv4_address (address, &error);
  GSocket *socket
      = to != NULL ? g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                   G_SOCKET_PROTOCOL_TCP, &error)
                   : NULL;
  NsStream *stream = stream_new (socket, user_timeout_ms, handler, owner);
  stream->connecting = TRUE;
  gboolean started
      = socket != NULL
        && (g_socket_connect (socket, to, NULL, &error)
            || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_PENDING));
  if (started)
    start_watching (stream);
  else
    stream->start_error = g_strdup (error_text (error));
  stream->timer
      = g_timeout_add (stream->start_error == NULL ? CONNECT_TIMEOUT_MS : 0,
                       on_start_timeout, stream);
  return stream;
}

static gboolean
resume_accepting (gpointer data)
{
  NsListener *listener = data;
  listener->timer = 0;
  np_set_events (listener->watch, EPOLLIN);
  return G_SOURCE_REMOVE;
}

static void
on_acceptable (gpointer owner, guint events)
{
  (void)events;
  NsListener *listener = owner;
  g_autoptr (GError) error = NULL;
  GSocket *accepted = g_socket_accept (listener->socket, NULL, &error);
  if (accepted != NULL)
    {
      listener->accept (accepted, listener->owner);
      return;
    }
  if (listener->timer != 0
      || g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return;
  np_set_events (listener->watch, 0);
  listener->timer
      = g_timeout_add (ACCEPT_PAUSE_MS, resume_accepting, listener);
}

NsListener *
ns_listen (CfAddress *address, NsAccept accept, gpointer owner,
           GmStatus *status)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) wanted = ipv4_address (address, &error);
  GSocket *socket
      = wanted != NULL
            ? g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                            G_SOCKET_PROTOCOL_TCP, &error)
            : NULL;
  if (socket != NULL)
    g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (socket == NULL || !g_socket_bind (socket, wanted, TRUE, &error)
      || !g_socket_listen (socket, &error))
    {
      gm_fail (status, GM_IO, "%s:%u: %s", address->ip, address->port,
               error_text (error));
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
  listener->watch
      = np_watch (g_socket_get_fd (socket), EPOLLIN, on_acceptable, listener);
  if (listener->watch == NULL)
    {
      gm_fail (status, GM_IO, "%s:%u: the system can't watch the socket",
               address->ip, address->port);
      ns_listener_free (listener);
      return NULL;
    }
  return listener;
}

void
ns_listener_free (NsListener *listener)
{
  if (listener == NULL)
    return;
  np_unwatch (listener->watch);
  g_clear_handle_id (&listener->timer, g_source_remove);
  g_socket_close (listener->socket, NULL);
  g_object_unref (listener->socket);
  g_free (listener);
}
