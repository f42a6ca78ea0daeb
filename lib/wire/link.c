#include "link.h"
#include "base/bytes.h"
#include "base/event.h"
#include <gio/gio.h>
#include <string.h>

#define NONCE_BYTES 16
#define PROOF_BYTES 32

typedef enum
{
  LINK_CONNECTING,
  LINK_SHAKING,
  LINK_UP,
  LINK_CLOSED
} LinkState;

struct LkLink
{
  guint refs;
  LinkState state;
  gboolean dialed;
  gboolean silent; /* closed by its owner: no down call */
  const LkIdentity *self;
  const LkHandler *handler;
  void *owner;
  GSocketConnection *connection;
  GCancellable *cancellable;
  guint timer;
  char *peer;
  guint64 incarnation;
  guint8 nonce[NONCE_BYTES];
  guint8 their_nonce[NONCE_BYTES];
  guint8 length[WM_LENGTH_BYTES];
  guint8 *frame;
  guint32 frame_length;
  GByteArray *waiting;
  GByteArray *sending;
};

struct LkServer
{
  GSocketService *service;
  const LkIdentity *self;
  const LkHandler *handler;
  void *owner;
};

static LkLink *
link_ref (LkLink *link)
{
  link->refs++;
  return link;
}

static void
link_unref (LkLink *link)
{
  if (--link->refs > 0)
    return;
  g_clear_object (&link->connection);
  g_clear_object (&link->cancellable);
  g_free (link->peer);
  g_free (link->frame);
  g_byte_array_unref (link->waiting);
  if (link->sending != NULL)
    g_byte_array_unref (link->sending);
  g_free (link);
}

/* Closes LINK once and tells its owner, unless the owner closed it.  */
static void
link_close (LkLink *link)
{
  if (link->state == LINK_CLOSED)
    return;
  link_ref (link);
  link->state = LINK_CLOSED;
  g_cancellable_cancel (link->cancellable);
  g_clear_handle_id (&link->timer, g_source_remove);
  if (link->connection != NULL)
    g_io_stream_close_async (G_IO_STREAM (link->connection),
                             G_PRIORITY_DEFAULT, NULL, NULL, NULL);
  if (!link->silent)
    link->handler->down (link, link->owner);
  if (!link->dialed || link->silent)
    link_unref (link);
  link_unref (link);
}

static void
link_garbage (LkLink *link, const char *why)
{
  gm_count (GM_M_frames_bad_total, 1);
  gm_log (GM_EV_LINK_GARBAGE, "link to %s: %s",
          link->peer != NULL ? link->peer : "an unknown host", why);
  link_close (link);
}

static void link_flush (LkLink *link);

static void
written (GObject *source, GAsyncResult *result, gpointer data)
{
  LkLink *link = data;
  g_clear_pointer (&link->sending, g_byte_array_unref);
  if (!g_output_stream_write_all_finish (G_OUTPUT_STREAM (source), result,
                                         NULL, NULL))
    link_close (link);
  else if (link->state != LINK_CLOSED)
    link_flush (link);
  link_unref (link);
}

static void
link_flush (LkLink *link)
{
  if (link->sending != NULL || link->waiting->len == 0)
    return;
  link->sending = link->waiting;
  link->waiting = g_byte_array_new ();
  GOutputStream *out
      = g_io_stream_get_output_stream (G_IO_STREAM (link->connection));
  g_output_stream_write_all_async (
      out, link->sending->data, link->sending->len, G_PRIORITY_DEFAULT,
      link->cancellable, written, link_ref (link));
}

static void
link_queue (LkLink *link, const WmMessage *message)
{
  wm_append (link->waiting, message);
  gm_count (GM_M_frames_out_total, 1);
  link_flush (link);
}

static gboolean
same_proof (GBytes *expected, GBytes *given)
{
  gsize a, b;
  const void *x = g_bytes_get_data (expected, &a);
  const void *y = g_bytes_get_data (given, &b);
  return gm_same_secret (x, a, y, b);
}

/* The proof that one end of the shake knows the key.  */
static GBytes *
proof_of (const LkIdentity *self, const char *role, const void *first,
          const void *second, const char *host)
{
  g_autoptr (GHmac) hmac = g_hmac_new (
      G_CHECKSUM_SHA256, (const guchar *)self->key, strlen (self->key));
  g_hmac_update (hmac, (const guchar *)role, (gssize)strlen (role) + 1);
  g_hmac_update (hmac, first, NONCE_BYTES);
  g_hmac_update (hmac, second, NONCE_BYTES);
  g_hmac_update (hmac, (const guchar *)host, (gssize)strlen (host));
  guint8 digest[PROOF_BYTES];
  gsize length = sizeof digest;
  g_hmac_get_digest (hmac, digest, &length);
  return g_bytes_new (digest, length);
}

static void
fill_nonce (guint8 *nonce)
{
  for (gsize i = 0; i < NONCE_BYTES; i += 4)
    {
      guint32 word = g_random_int ();
      memcpy (nonce + i, &word, sizeof word);
    }
}

static void
link_came_up (LkLink *link, const char *host, guint64 incarnation)
{
  link->peer = g_strdup (host);
  link->incarnation = incarnation;
  link->state = LINK_UP;
  g_clear_handle_id (&link->timer, g_source_remove);
  gm_log (GM_EV_LINK_UP, "link with %s", host);
  link->handler->up (link, link->owner);
}

static void
link_refuse (LkLink *link, const char *why)
{
  gm_log (GM_EV_LINK_REFUSED, "%s", why);
  link_close (link);
}

static void
answer_challenge (LkLink *link, const WmMessage *m)
{
  if (m->challenge.version != WM_VERSION
      || g_bytes_get_size (m->challenge.nonce) != NONCE_BYTES)
    {
      link_refuse (link, "the other end speaks another version");
      return;
    }
  const void *theirs = g_bytes_get_data (m->challenge.nonce, NULL);
  g_autoptr (GBytes) proof
      = proof_of (link->self, "hello", theirs, link->nonce, link->self->host);
  g_autoptr (GBytes) nonce = g_bytes_new (link->nonce, NONCE_BYTES);
  WmMessage hello = { .type = WM_TYPE_HELLO,
                      .hello = { .version = WM_VERSION,
                                 .host = (char *)link->self->host,
                                 .incarnation = link->self->incarnation,
                                 .nonce = nonce,
                                 .proof = proof } };
  memcpy (link->their_nonce, theirs, NONCE_BYTES);
  link_queue (link, &hello);
}

static void
check_hello (LkLink *link, const WmMessage *m)
{
  if (m->hello.version != WM_VERSION
      || g_bytes_get_size (m->hello.nonce) != NONCE_BYTES)
    {
      link_refuse (link, "the other end speaks another version");
      return;
    }
  const void *theirs = g_bytes_get_data (m->hello.nonce, NULL);
  g_autoptr (GBytes) expected
      = proof_of (link->self, "hello", link->nonce, theirs, m->hello.host);
  if (!same_proof (expected, m->hello.proof))
    {
      link_refuse (link, "a host that dialed does not know the cluster key");
      return;
    }
  g_autoptr (GBytes) proof = proof_of (link->self, "welcome", link->nonce,
                                       theirs, link->self->host);
  WmMessage welcome = { .type = WM_TYPE_WELCOME,
                        .welcome = { .host = (char *)link->self->host,
                                     .incarnation = link->self->incarnation,
                                     .proof = proof } };
  link_queue (link, &welcome);
  link_came_up (link, m->hello.host, m->hello.incarnation);
}

static void
check_welcome (LkLink *link, const WmMessage *m)
{
  g_autoptr (GBytes) expected = proof_of (
      link->self, "welcome", link->their_nonce, link->nonce, m->welcome.host);
  if (!same_proof (expected, m->welcome.proof))
    link_refuse (link, "a dialed host does not know the cluster key");
  else
    link_came_up (link, m->welcome.host, m->welcome.incarnation);
}

static void
shake (LkLink *link, const WmMessage *m)
{
  if (link->dialed && m->type == WM_TYPE_CHALLENGE)
    answer_challenge (link, m);
  else if (link->dialed && m->type == WM_TYPE_WELCOME)
    check_welcome (link, m);
  else if (!link->dialed && m->type == WM_TYPE_HELLO)
    check_hello (link, m);
  else
    link_garbage (link, "unexpected message before the link was up");
}

static void read_length (LkLink *link);

static void
take_frame (LkLink *link)
{
  WmMessage message;
  GmStatus status;
  gm_count (GM_M_frames_in_total, 1);
  if (wm_decode (link->frame, link->frame_length, &message, &status) != GM_OK)
    {
      link_garbage (link, status.message);
      return;
    }
  if (link->state == LINK_UP)
    link->handler->message (link, &message, link->owner);
  else
    shake (link, &message);
  wm_clear (&message);
}

static void
got_frame (GObject *source, GAsyncResult *result, gpointer data)
{
  LkLink *link = data;
  gsize count;
  gboolean good = g_input_stream_read_all_finish (G_INPUT_STREAM (source),
                                                  result, &count, NULL);
  if (link->state != LINK_CLOSED)
    {
      if (!good || count < link->frame_length)
        link_close (link);
      else
        take_frame (link);
    }
  g_clear_pointer (&link->frame, g_free);
  if (link->state != LINK_CLOSED)
    read_length (link);
  link_unref (link);
}

static GInputStream *
link_input (LkLink *link)
{
  return g_io_stream_get_input_stream (G_IO_STREAM (link->connection));
}

static void
read_frame (LkLink *link)
{
  guint32 length;
  memcpy (&length, link->length, WM_LENGTH_BYTES);
  length = GUINT32_FROM_BE (length);
  if (length == 0 || length > WM_FRAME_MAX)
    {
      link_garbage (link, "a frame's length is out of bounds");
      return;
    }
  link->frame = g_malloc (length);
  link->frame_length = length;
  g_input_stream_read_all_async (link_input (link), link->frame, length,
                                 G_PRIORITY_DEFAULT, link->cancellable,
                                 got_frame, link_ref (link));
}

static void
got_length (GObject *source, GAsyncResult *result, gpointer data)
{
  LkLink *link = data;
  gsize count;
  gboolean good = g_input_stream_read_all_finish (G_INPUT_STREAM (source),
                                                  result, &count, NULL);
  if (link->state != LINK_CLOSED)
    {
      if (!good || count < WM_LENGTH_BYTES)
        link_close (link);
      else
        read_frame (link);
    }
  link_unref (link);
}

static void
read_length (LkLink *link)
{
  g_input_stream_read_all_async (
      link_input (link), link->length, WM_LENGTH_BYTES, G_PRIORITY_DEFAULT,
      link->cancellable, got_length, link_ref (link));
}

static gboolean
handshake_expired (gpointer data)
{
  LkLink *link = data;
  link->timer = 0;
  link_close (link);
  return G_SOURCE_REMOVE;
}

static LkLink *
link_new (const LkIdentity *self, const LkHandler *handler, void *owner)
{
  LkLink *link = g_new0 (LkLink, 1);
  link->refs = 1;
  link->self = self;
  link->handler = handler;
  link->owner = owner;
  link->cancellable = g_cancellable_new ();
  link->waiting = g_byte_array_new ();
  link->timer = g_timeout_add (LK_HANDSHAKE_MS, handshake_expired, link);
  fill_nonce (link->nonce);
  return link;
}

static void
link_start (LkLink *link, GSocketConnection *connection)
{
  link->connection = g_object_ref (connection);
  link->state = LINK_SHAKING;
  g_tcp_connection_set_graceful_disconnect (G_TCP_CONNECTION (connection),
                                            FALSE);
  g_socket_set_option (g_socket_connection_get_socket (connection), 6, 1, 1,
                       NULL); /* IPPROTO_TCP, TCP_NODELAY */
  read_length (link);
}

static gboolean
incoming (GSocketService *service, GSocketConnection *connection,
          GObject *source, gpointer data)
{
  (void)service;
  (void)source;
  LkServer *server = data;
  LkLink *link = link_new (server->self, server->handler, server->owner);
  link_start (link, connection);
  g_autoptr (GBytes) nonce = g_bytes_new (link->nonce, NONCE_BYTES);
  WmMessage challenge
      = { .type = WM_TYPE_CHALLENGE,
          .challenge = { .version = WM_VERSION, .nonce = nonce } };
  link_queue (link, &challenge);
  return TRUE;
}

LkServer *
lk_listen (CfAddress *address, const LkIdentity *self,
           const LkHandler *handler, void *owner, GmStatus *status)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketService) service = g_socket_service_new ();
  g_autoptr (GSocketAddress) wanted
      = g_inet_socket_address_new_from_string (address->ip, address->port);
  g_autoptr (GSocketAddress) bound = NULL;
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (service), LK_BACKLOG);
  if (!g_socket_listener_add_address (
          G_SOCKET_LISTENER (service), wanted, G_SOCKET_TYPE_STREAM,
          G_SOCKET_PROTOCOL_TCP, NULL, &bound, &error))
    {
      gm_fail (status, GM_IO, "%s:%u: %s", address->ip, address->port,
               error->message);
      return NULL;
    }
  address->port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  LkServer *server = g_new0 (LkServer, 1);
  server->service = g_steal_pointer (&service);
  server->self = self;
  server->handler = handler;
  server->owner = owner;
  g_signal_connect (server->service, "incoming", G_CALLBACK (incoming),
                    server);
  g_socket_service_start (server->service);
  return server;
}

void
lk_server_free (LkServer *server)
{
  if (server == NULL)
    return;
  g_socket_service_stop (server->service);
  g_socket_listener_close (G_SOCKET_LISTENER (server->service));
  g_signal_handlers_disconnect_by_data (server->service, server);
  g_object_unref (server->service);
  g_free (server);
}

static void
connected (GObject *source, GAsyncResult *result, gpointer data)
{
  LkLink *link = data;
  g_autoptr (GSocketConnection) connection = g_socket_client_connect_finish (
      G_SOCKET_CLIENT (source), result, NULL);
  if (link->state != LINK_CLOSED)
    {
      if (connection == NULL)
        link_close (link);
      else
        link_start (link, connection);
    }
  link_unref (link);
}

LkLink *
lk_dial (const CfAddress *address, const LkIdentity *self,
         const LkHandler *handler, void *owner)
{
  LkLink *link = link_new (self, handler, owner);
  link->dialed = TRUE;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (client, FALSE);
  g_autoptr (GSocketAddress) to
      = g_inet_socket_address_new_from_string (address->ip, address->port);
  g_socket_client_connect_async (client, G_SOCKET_CONNECTABLE (to),
                                 link->cancellable, connected,
                                 link_ref (link));
  return link;
}

gboolean
lk_send (LkLink *link, const WmMessage *message)
{
  if (link->state != LINK_UP || link->waiting->len > LK_QUEUE_MAX)
    return FALSE;
  link_queue (link, message);
  return TRUE;
}

void
lk_close (LkLink *link)
{
  if (link == NULL)
    return;
  if (link->state == LINK_CLOSED)
    {
      if (link->dialed)
        link_unref (link);
      return;
    }
  link->silent = TRUE;
  link_close (link);
}

const char *
lk_peer (const LkLink *link)
{
  return link->peer;
}

guint64
lk_incarnation (const LkLink *link)
{
  return link->incarnation;
}

gboolean
lk_is_up (const LkLink *link)
{
  return link->state == LINK_UP;
}
