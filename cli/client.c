#include "client.h"
#include <string.h>

#define REQUEST_TIMEOUT_S 30

/* Sends a request, with the additional header NAME unless VALUE is NULL.  */
static GmKind
send_with_header (const ClientTarget *target, const char *method,
                  const char *path, const char *body, const char *name,
                  const char *value, ClientAnswer *answer, GmStatus *status)
{
  memset (answer, 0, sizeof *answer);
  g_autofree char *uri = g_strdup_printf (
      "%s://%s%s", target->tls ? "https" : "http", target->host, path);
  g_autoptr (SoupMessage) msg = soup_message_new (method, uri);
  if (msg == NULL)
    return gm_fail (status, GM_INVALID, "%s is not an address", target->host);
  SoupMessageHeaders *headers = soup_message_get_request_headers (msg);
  if (target->token != NULL)
    {
      g_autofree char *bearer = g_strconcat ("Bearer ", target->token, NULL);
      soup_message_headers_replace (headers, "Authorization", bearer);
    }
  if (value != NULL)
    soup_message_headers_replace (headers, name, value);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (msg, "application/json",
                                                bytes);
    }
  /* libsoup resends a request when a reused idle connection turns out to be
     closed.  A new connection for each request rules that out.  */
  g_autoptr (SoupSession) session = soup_session_new_with_options (
      "timeout", REQUEST_TIMEOUT_S, "proxy-resolver", NULL, "max-conns", 1,
      NULL);
  soup_message_add_flags (msg, SOUP_MESSAGE_NEW_CONNECTION);
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes
      = soup_session_send_and_read (session, msg, NULL, &error);
  if (bytes == NULL)
    return gm_fail (status, GM_UNAVAILABLE, "%s: %s", target->host,
                    error->message);
  gsize length;
  const char *data = g_bytes_get_data (bytes, &length);
  answer->text = g_strndup (data != NULL ? data : "", length);
  answer->body = json_tokener_parse (answer->text);
  const char *kind = client_answer_string (answer, "kind");
  answer->kind = *kind != '\0' ? gm_kind_from_text (kind)
                 : soup_message_get_status (msg) == SOUP_STATUS_OK
                     ? GM_OK
                     : GM_INTERNAL;
  return gm_ok (status);
}

GmKind
client_send (const ClientTarget *target, const char *method, const char *path,
             const char *body, const char *who, ClientAnswer *answer,
             GmStatus *status)
{
  return send_with_header (target, method, path, body,
                           "X-Galenamount-Operator", who, answer, status);
}

GmKind
client_send_session (const ClientTarget *target, const char *path,
                     const char *body, const char *session,
                     ClientAnswer *answer, GmStatus *status)
{
  return send_with_header (target, "POST", path, body, "X-Galenamount-Token",
                           session, answer, status);
}

void
client_answer_clear (ClientAnswer *answer)
{
  g_clear_pointer (&answer->text, g_free);
  json_object_put (answer->body);
  answer->body = NULL;
}

const char *
client_answer_string (const ClientAnswer *answer, const char *name)
{
  json_object *value = NULL;
  if (!json_object_is_type (answer->body, json_type_object)
      || !json_object_object_get_ex (answer->body, name, &value))
    return "";
  const char *text = json_object_get_string (value);
  return text != NULL ? text : "";
}
