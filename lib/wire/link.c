#include "link.h"
#include "base/bytes.h"
#include "base/event.h"
#include "stream.h"
#include <string.h>

#define NONCE_BYTES 16
#define PROOF_BYTES 32
/* A handshake message holds a host name of at most 64 bytes, a nonce, a proof
   and three numbers.  */
#define HANDSHAKE_FRAME_MAX 512

typedef enum
{
  LINK_CONNECTING,
  LINK_HANDSHAKE,
  LINK_UP,
  LINK_CLOSED
} LinkState;

struct LkLink
{
  guint refs;
  LinkState state;
  gboolean dialed;
  gboolean closed_by_owner; /* don't call the down handler */
  const LkIdentity *self;
  const LkHandler *handler;
  void *owner;
  NsStream *stream; /* NULL once closed */
  guint handshake_timer;
  char *peer;
  guint64 incarnation;
  guint8 nonce[NONCE_BYTES];
  guint8 peer_nonce[NONCE_BYTES];
  LkServer *server;  /* that counts the link's handshake; NULL: none */
  GmBuffer received; /* incomplete frame data */
};

struct LkServer
{
  NsListener *listener;
  const LkIdentity *self;
  const LkHandler *handler;
  void *owner;
  GQueue handshakes; /* LkLink *, not finished, oldest first */
  guint handshakes_max;
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
  g_free (link->peer);
  gm_buffer_clear (&link->received);
  g_free (link);
}

/* Ends the count of LINK's handshake.  */
static void
leave_handshakes (LkLink *link)
{
  if (link->server != NULL)
    g_queue_remove (&link->server->handshakes, link);
  link->server = NULL;
}

/* Closes LINK if it is not closed yet and calls the down handler, unless the
   owner closed the link.  */
static void
link_close (LkLink *link)
{
  if (link->state == LINK_CLOSED)
    return;
  link_ref (link);
  link->state = LINK_CLOSED;
  leave_handshakes (link);
  g_clear_handle_id (&link->handshake_timer, g_source_remove);
  ns_close (link->stream);
  link->stream = NULL;
  if (!link->closed_by_owner)
    link->handler->down (link, link->owner);
  if (!link->dialed || link->closed_by_owner)
    link_unref (link);
  link_unref (link);
}

static void
close_on_protocol_error (LkLink *link, const char *why)
{
  gm_count (GM_M_frames_bad_total, 1);
  gm_log (GM_EV_LINK_GARBAGE, "link to %s: %s",
          link->peer != NULL ? link->peer : "an unknown host", why);
  link_close (link);
}

static void
queue_message (LkLink *link, const WmMessage *message)
{
  g_autoptr (GByteArray) frame = g_byte_array_new ();
  wm_append (frame, message);
  gm_count (GM_M_frames_out_total, 1);
  ns_write (link->stream, frame->data, frame->len);
}

static gboolean
proofs_equal (GBytes *expected, GBytes *given)
{
  gsize a, b;
  const void *x = g_bytes_get_data (expected, &a);
  const void *y = g_bytes_get_data (given, &b);
  return gm_secrets_equal (x, a, y, b);
}

/* Computes the handshake proof of HOST: an HMAC with the shared key over ROLE,
   both nonces and HOST.  */
static GBytes *
compute_proof (const LkIdentity *self, const char *role, const void *first,
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
generate_nonce (guint8 *nonce)
{
  for (gsize i = 0; i < NONCE_BYTES; i += 4)
    {
      guint32 word = g_random_int ();
      memcpy (nonce + i, &word, sizeof word);
    }
}

static void
complete_handshake (LkLink *link, const char *host, guint64 incarnation)
{
  link->peer = g_strdup (host);
  link->incarnation = incarnation;
  link->state = LINK_UP;
  leave_handshakes (link);
  g_clear_handle_id (&link->handshake_timer, g_source_remove);
  gm_log (GM_EV_LINK_UP, "link with %s", host);
  link->handler->up (link, link->owner);
}

static void
refuse_peer (LkLink *link, const char *why)
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
      refuse_peer (link, "the peer uses another protocol version");
      return;
    }
  const void *theirs = g_bytes_get_data (m->challenge.nonce, NULL);
  g_autoptr (GBytes) proof = compute_proof (link->self, "hello", theirs,
                                            link->nonce, link->self->host);
  g_autoptr (GBytes) nonce = g_bytes_new (link->nonce, NONCE_BYTES);
  WmMessage hello = { .type = WM_TYPE_HELLO,
                      .hello = { .version = WM_VERSION,
                                 .host = (char *)link->self->host,
                                 .incarnation = link->self->incarnation,
                                 .nonce = nonce,
                                 .proof = proof } };
  memcpy (link->peer_nonce, theirs, NONCE_BYTES);
  queue_message (link, &hello);
}

static void
check_hello (LkLink *link, const WmMessage *m)
{
  if (m->hello.version != WM_VERSION
      || g_bytes_get_size (m->hello.nonce) != NONCE_BYTES)
    {
      refuse_peer (link, "the peer uses another protocol version");
      return;
    }
  const void *theirs = g_bytes_get_data (m->hello.nonce, NULL);
  g_autoptr (GBytes) expected = compute_proof (
      link->self, "hello", link->nonce, theirs, m->hello.host);
  if (!proofs_equal (expected, m->hello.proof))
    {
      refuse_peer (link, "a connecting host does not have the cluster key");
      return;
    }
  g_autoptr (GBytes) proof = compute_proof (link->self, "welcome", link->nonce,
                                            theirs, link->self->host);
  WmMessage welcome = { .type = WM_TYPE_WELCOME,
                        .welcome = { .host = (char *)link->self->host,
                                     .incarnation = link->self->incarnation,
                                     .proof = proof } };
  queue_message (link, &welcome);
  complete_handshake (link, m->hello.host, m->hello.incarnation);
}

static void
check_welcome (LkLink *link, const WmMessage *m)
{
  g_autoptr (GBytes) expected = compute_proof (
      link->self, "welcome", link->peer_nonce, link->nonce, m->welcome.host);
  if (!proofs_equal (expected, m->welcome.proof))
    refuse_peer (link, "the host connected to does not have the cluster key");
  else
    complete_handshake (link, m->welcome.host, m->welcome.incarnation);
}

static void
handle_handshake (LkLink *link, const WmMessage *m)
{
  if (link->dialed && m->type == WM_TYPE_CHALLENGE)
    answer_challenge (link, m);
  else if (link->dialed && m->type == WM_TYPE_WELCOME)
    check_welcome (link, m);
  else if (!link->dialed && m->type == WM_TYPE_HELLO)
    check_hello (link, m);
  else
    close_on_protocol_error (link, "unexpected message during the handshake");
}

static void
handle_frame (LkLink *link, const guint8 *frame, gsize length)
{
  WmMessage message;
  GmStatus status = GM_STATUS_UNSET;
  gm_count (GM_M_frames_in_total, 1);
  if (wm_decode (frame, length, &message, &status) != GM_OK)
    {
      close_on_protocol_error (link, status.message);
      return;
    }
  if (link->state == LINK_UP)
    link->handler->message (link, &message, link->owner);
  else
    handle_handshake (link, &message);
  wm_clear (&message);
}

/* Returns the longest frame that the peer may send now.  */
static guint32
frame_max (const LkLink *link)
{
  return link->state == LINK_UP ? WM_FRAME_MAX : HANDSHAKE_FRAME_MAX;
}

/* Handles all complete frames in the receive buffer.  */
static void
handle_received (LkLink *link)
{
  const GByteArray *in = link->received.bytes;
  gsize at = 0;
  while (link->state != LINK_CLOSED && in->len - at >= WM_LENGTH_BYTES)
    {
      guint32 length;
      memcpy (&length, in->data + at, WM_LENGTH_BYTES);
      length = GUINT32_FROM_BE (length);
      if (length == 0 || length > frame_max (link))
        {
          close_on_protocol_error (link, "invalid frame length");
          return;
        }
      if (in->len - at - WM_LENGTH_BYTES < length)
        break;
      at += WM_LENGTH_BYTES + length;
      handle_frame (link, in->data + at - length, length);
    }
  if (at > 0)
    gm_buffer_remove (&link->received, at);
}

static void
on_data (NsStream *stream, const char *data, gsize length, gpointer owner)
{
  (void)stream;
  LkLink *link = link_ref (owner);
  gm_buffer_append (&link->received, data, length);
  handle_received (link);
  link_unref (link);
}

static void
on_closed (NsStream *stream, const char *why, gpointer owner)
{
  (void)stream;
  (void)why;
  LkLink *link = owner;
  link->stream = NULL; /* the stream frees itself */
  link_close (link);
}

static void
on_connected (NsStream *stream, gpointer owner)
{
  (void)stream;
  ((LkLink *)owner)->state = LINK_HANDSHAKE;
}

static const NsHandler stream_handler
    = { .connected = on_connected, .data = on_data, .closed = on_closed };

static gboolean
on_handshake_timeout (gpointer data)
{
  LkLink *link = data;
  link->handshake_timer = 0;
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
  gm_buffer_init (&link->received);
  link->handshake_timer
      = g_timeout_add (LK_HANDSHAKE_TIMEOUT_MS, on_handshake_timeout, link);
  generate_nonce (link->nonce);
  return link;
}

static void
on_accept (GSocket *socket, gpointer owner)
{
  LkServer *server = owner;
  LkLink *link = link_new (server->self, server->handler, server->owner);
  link->state = LINK_HANDSHAKE;
  link->server = server;
  g_queue_push_tail (&server->handshakes, link);
  if (server->handshakes.length > server->handshakes_max)
    {
      gm_count (GM_M_handshakes_shed_total, 1);
      link_close (g_queue_peek_head (&server->handshakes));
    }
  link->stream
      = ns_accepted (socket, LK_UNACKED_TIMEOUT_MS, &stream_handler, link);
  g_autoptr (GBytes) nonce = g_bytes_new (link->nonce, NONCE_BYTES);
  WmMessage challenge
      = { .type = WM_TYPE_CHALLENGE,
          .challenge = { .version = WM_VERSION, .nonce = nonce } };
  queue_message (link, &challenge);
}

LkServer *
lk_listen (CfAddress *address, const LkIdentity *self,
           const LkHandler *handler, void *owner, GmStatus *status)
{
  LkServer *server = g_new0 (LkServer, 1);
  server->self = self;
  server->handler = handler;
  server->owner = owner;
  server->handshakes_max = G_MAXUINT;
  server->listener = ns_listen (address, on_accept, server, status);
  if (server->listener == NULL)
    g_clear_pointer (&server, g_free);
  return server;
}

void
lk_server_free (LkServer *server)
{
  if (server == NULL)
    return;
  ns_listener_free (server->listener);
  while (!g_queue_is_empty (&server->handshakes))
    leave_handshakes (g_queue_peek_head (&server->handshakes));
  g_free (server);
}

void
lk_server_limit_handshakes (LkServer *server, guint count)
{
  server->handshakes_max = count;
}

LkLink *
lk_dial (const CfAddress *address, const LkIdentity *self,
         const LkHandler *handler, void *owner)
{
  LkLink *link = link_new (self, handler, owner);
  link->dialed = TRUE;
  link->stream
      = ns_connect (address, LK_UNACKED_TIMEOUT_MS, &stream_handler, link);
  return link;
}

gboolean
lk_send (LkLink *link, const WmMessage *message)
{
  if (link->state != LINK_UP
      || ns_queued_bytes (link->stream) > LK_SEND_QUEUE_MAX_BYTES)
    return FALSE;
  queue_message (link, message);
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
  link->closed_by_owner = TRUE;
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
