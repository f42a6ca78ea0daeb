#include "http.h"
#include "base/bytes.h"
#include "base/event.h"
#include "wire/budget.h"
#include <gio/gio.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
/* A client that goes on sending a refused body is cut off after this many
   times the limit.  */
#define OVERRUN_FACTOR 16

GmKind
http_listen (SoupServer *server, CfAddress *address, GmStatus *status)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) requested
      = g_inet_socket_address_new_from_string (address->ip, address->port);
  if (requested == NULL)
    return gm_fail (status, GM_INVALID, "%s: not a usable IP address",
                    address->ip);
  g_autoptr (GSocket) socket
      = g_socket_new (g_socket_address_get_family (requested),
                      G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  gboolean tls = soup_server_is_https (server);
  if (socket != NULL)
    g_socket_set_listen_backlog (socket, LISTEN_BACKLOG);
  if (socket == NULL || !g_socket_bind (socket, requested, TRUE, &error)
      || !g_socket_listen (socket, &error)
      || !soup_server_listen_socket (
          server, socket, tls ? SOUP_SERVER_LISTEN_HTTPS : 0, &error))
    return gm_fail (status, GM_IO, "%s:%u: %s", address->ip, address->port,
                    error->message);
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, NULL);
  address->port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  return gm_ok (status);
}

SoupServer *
http_server_new (const CfSettings *settings, GmStatus *status)
{
  g_autoptr (GTlsCertificate) certificate = NULL;
  if (settings->tls_certificate != NULL)
    {
      g_autoptr (GError) error = NULL;
      certificate = g_tls_certificate_new_from_files (
          settings->tls_certificate, settings->tls_key, &error);
      if (certificate == NULL)
        {
          gm_fail (status, GM_INVALID, "tls: %s", error->message);
          return NULL;
        }
    }
  SoupServer *server = soup_server_new ("server-header", "galenamount",
                                        "tls-certificate", certificate, NULL);
  http_limit_bodies (server, settings);
  return server;
}

void
http_answer (SoupServerMessage *msg, GmKind kind, const char *message,
             json_object *body)
{
  json_object *o = body != NULL ? body : json_object_new_object ();
  json_object_object_add (o, "kind",
                          json_object_new_string (gm_kind_text (kind)));
  json_object_object_add (o, "message", json_object_new_string (message));
  const char *ran = gm_kind_ran (kind) == GM_RAN_YES  ? "yes"
                    : gm_kind_ran (kind) == GM_RAN_NO ? "no"
                                                      : "unknown";
  json_object_object_add (o, "ran", json_object_new_string (ran));
  const char *text = json_object_to_json_string_ext (
      o, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  soup_server_message_set_status (msg, gm_kind_http (kind), NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  json_object_put (o);
}

gboolean
http_authorized (SoupServerMessage *msg, const char *token)
{
  if (token == NULL)
    return TRUE;
  const char *given = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), "Authorization");
  g_autofree char *expected = g_strconcat ("Bearer ", token, NULL);
  if (given != NULL
      && gm_secrets_equal (expected, strlen (expected), given, strlen (given)))
    return TRUE;
  http_answer (msg, GM_UNAUTHORIZED, "a bearer token is needed", NULL);
  return FALSE;
}

static void
refuse_too_large (SoupServerMessage *msg)
{
  http_answer (msg, GM_TOO_LARGE, "the body is over the limit", NULL);
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "Connection", "close");
  /* The rest of the body is read and discarded, so that the client gets the
     answer before the connection closes.  */
  soup_message_body_set_accumulate (soup_server_message_get_request_body (msg),
                                    FALSE);
}

gboolean
http_is_refused (SoupServerMessage *msg)
{
  return soup_server_message_get_status (msg) != SOUP_STATUS_NONE;
}

/* The body of a request, as far as the process holds it.  Bodies that were
   received whole are not given up.  */
typedef struct
{
  WbAccount account;
  SoupServerMessage *msg;
} Body;

/* Of all servers of the process.  */
static WbBudget *bodies;

static void
body_free (gpointer data)
{
  Body *body = data;
  wb_remove (bodies, &body->account);
  g_free (body);
}

static Body *
body_of (SoupServerMessage *msg)
{
  return g_object_get_data (G_OBJECT (msg), "body");
}

static void
body_new (SoupServerMessage *msg)
{
  Body *body = g_new0 (Body, 1);
  body->msg = msg;
  wb_add (bodies, &body->account, g_get_monotonic_time ());
  g_object_set_data_full (G_OBJECT (msg), "body", body, body_free);
}

/* Refuses the request of BODY and frees what it holds.  */
static void
refuse_body (Body *body)
{
  SoupMessageBody *received = soup_server_message_get_request_body (body->msg);
  gm_count (GM_M_bodies_refused_total, 1);
  http_answer (body->msg, GM_QUEUE_FULL, "too many bodies are being received",
               NULL);
  soup_message_headers_replace (
      soup_server_message_get_response_headers (body->msg), "Connection",
      "close");
  soup_message_body_set_accumulate (received, FALSE);
  soup_message_body_truncate (received);
  wb_hold (bodies, &body->account, 0);
}

/* Counts RECEIVED bytes of MSG, and refuses requests while more bytes are held
   than allowed.  */
static void
hold_body (SoupServerMessage *msg, gsize received)
{
  WbAccount *chosen;
  wb_hold (bodies, &body_of (msg)->account,
           http_is_refused (msg) ? 0 : received);
  while (wb_is_over (bodies) && (chosen = wb_choose_to_free (bodies)) != NULL)
    refuse_body ((Body *)chosen);
}

static void
got_body (SoupServerMessage *msg, gpointer data)
{
  (void)data;
  body_of (msg)->account.running = TRUE;
}

static void
got_headers (SoupServerMessage *msg, gpointer data)
{
  const CfSettings *settings = data;
  goffset length = soup_message_headers_get_content_length (
      soup_server_message_get_request_headers (msg));
  if (length > settings->body_max)
    refuse_too_large (msg);
}

/* Counts the bytes received, since a chunked body announces no length.  Closes
   the connection when the client sends much more after the refusal.  */
static void
got_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
  const CfSettings *settings = data;
  gsize received = GPOINTER_TO_SIZE (g_object_get_data (G_OBJECT (msg), "got"))
                   + g_bytes_get_size (chunk);
  g_object_set_data (G_OBJECT (msg), "got", GSIZE_TO_POINTER (received));
  if (received > (gsize)settings->body_max && !http_is_refused (msg))
    refuse_too_large (msg);
  hold_body (msg, received);
  if (received > OVERRUN_FACTOR * (gsize)settings->body_max)
    g_socket_close (soup_server_message_get_socket (msg), NULL);
}

static void
request_started (SoupServer *server, SoupServerMessage *msg, gpointer data)
{
  (void)server;
  body_new (msg);
  g_signal_connect (msg, "got-headers", G_CALLBACK (got_headers), data);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (got_chunk), data);
  g_signal_connect (msg, "got-body", G_CALLBACK (got_body), NULL);
}

void
http_limit_bodies (SoupServer *server, const CfSettings *settings)
{
  if (bodies == NULL)
    bodies = wb_new (
        MAX (cf_buffers_max (settings), (gsize)settings->body_max), G_MAXUINT);
  g_signal_connect (server, "request-started", G_CALLBACK (request_started),
                    (gpointer)settings);
}
