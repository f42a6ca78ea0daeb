#include "operator.h"
#include "connections.h"
#include "control/placement.h"
#include "http.h"
#include "subscription.h"
#include <json-c/json.h>
#include <string.h>

#define OPERATOR_HEADER "X-Galenamount-Operator"

#define CONNECTIONS_MAX 256
#define AGE_MS_MAX (24 * 3600 * 1000) /* of a position in a route request */

struct Operator
{
  DaemonTask task;
  Daemon *daemon;
  SoupServer *server;
  Connections *connections;
  Quota *quota; /* NULL: this host lends nothing */
};

/* Pauses MSG until the leader answers; on_answer frees the result.  */
static HeldMessage *
hold_message (Operator *op, SoupServerMessage *msg)
{
  HeldMessage *held = g_new0 (HeldMessage, 1);
  connections_hold (op->connections, msg, held);
  return held;
}

/* Sends the leader's answer to the operator.  */
static void
on_answer (GmKind kind, const char *message, GBytes *text, gpointer data)
{
  HeldMessage *held = data;
  if (!held->disconnected && text != NULL)
    {
      gsize length;
      const char *body = g_bytes_get_data (text, &length);
      soup_server_message_set_status (held->msg, gm_kind_http (kind), NULL);
      soup_server_message_set_response (held->msg, "application/json",
                                        SOUP_MEMORY_COPY, body, length);
    }
  else if (!held->disconnected)
    http_answer (held->msg, kind, message, NULL);
  connections_release (held);
  g_free (held);
}

static GmKind
post_config (Operator *op, SoupServerMessage *msg, GmStatus *status)
{
  g_autoptr (GBytes) text
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  gsize length;
  const char *data = g_bytes_get_data (text, &length);
  g_autoptr (CfDeclaration) declaration = cf_declaration_parse (
      "declaration", data != NULL ? data : "", length, status);
  if (declaration == NULL)
    return status->kind;
  const char *who = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), OPERATOR_HEADER);
  g_autoptr (GBytes) groups = cs_group_names (declaration);
  g_autofree char *digest = cs_digest (data, length);
  WmMessage command
      = { .type = WM_TYPE_CMD_CONFIG,
          .cmd_config = { .number = (guint64)declaration->number,
                          .digest = digest,
                          .text = text,
                          .who = (char *)(who != NULL ? who : "operator"),
                          .when = (guint64)g_get_real_time (),
                          .groups = groups } };
  g_autoptr (GBytes) block = wm_encode (&command);
  WmMessage m = { .type = WM_TYPE_PROPOSE, .propose = { .command = block } };
  subscription_ask (op->daemon->subscription, &m, on_answer,
                    hold_message (op, msg));
  return GM_OK;
}

static GmKind
post_control (Operator *op, SoupServerMessage *msg, GHashTable *query,
              GmStatus *status)
{
  const char *member
      = query != NULL ? g_hash_table_lookup (query, "host") : NULL;
  const char *action
      = query != NULL ? g_hash_table_lookup (query, "action") : NULL;
  if (member == NULL
      || (g_strcmp0 (action, "replace") != 0
          && g_strcmp0 (action, "remove") != 0))
    return gm_fail (status, GM_INVALID,
                    "\"host\" and \"action\" (replace or remove) are needed");
  WmMessage m
      = { .type = WM_TYPE_VOTER,
          .voter = { .member = (char *)member, .action = (char *)action } };
  subscription_ask (op->daemon->subscription, &m, on_answer,
                    hold_message (op, msg));
  return GM_OK;
}

static void
ask_status (Operator *op, SoupServerMessage *msg, gboolean history)
{
  WmMessage m = { .type = WM_TYPE_STATUS_ASK,
                  .status_ask = { .history = history ? 1 : 0 } };
  subscription_ask (op->daemon->subscription, &m, on_answer,
                    hold_message (op, msg));
}

/* Returns the JSON object PLACEMENT with the member "choice", unless CHOICE is
   NULL.  Free the result.  */
static char *
add_choice (const char *placement, const char *choice)
{
  json_object *o = json_tokener_parse (placement);
  if (choice != NULL)
    json_object_object_add (o, "choice", json_tokener_parse (choice));
  char *text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}

/* Answers from this host's own copy of the state: it tells where this host
   sends statements.  */
static GmKind
answer_route (const Operator *op, SoupServerMessage *msg, GHashTable *query,
              GmStatus *status)
{
  const char *service
      = query != NULL ? g_hash_table_lookup (query, "service") : NULL;
  if (service == NULL)
    return gm_fail (status, GM_INVALID, "\"service\" is needed");
  g_autofree char *placement = pm_describe (
      subscription_state (op->daemon->subscription), service, status);
  if (placement == NULL)
    return status->kind;
  const char *access = g_hash_table_lookup (query, "access");
  const char *age = g_hash_table_lookup (query, "age_ms");
  GmTime age_ms = age != NULL ? g_ascii_strtoll (age, NULL, 10) : 0;
  g_autofree char *choice
      = daemon_choice (op->daemon, service, g_strcmp0 (access, "write") == 0,
                       CLAMP (age_ms, 0, AGE_MS_MAX) * GM_MS);
  g_autofree char *text = add_choice (placement, choice);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
  return GM_OK;
}

/* Answers with the customers' use of what this host lends.  */
static void
answer_quota (const Operator *op, SoupServerMessage *msg)
{
  g_autofree char *text = quota_describe (op->quota);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (msg, "application/json", SOUP_MEMORY_COPY,
                                    text, strlen (text));
}

static GmKind
route (Operator *op, SoupServerMessage *msg, const char *path,
       GHashTable *query, GmStatus *status)
{
  gboolean post
      = strcmp (soup_server_message_get_method (msg), SOUP_METHOD_POST) == 0;
  if (post && strcmp (path, "/v1/config") == 0)
    return post_config (op, msg, status);
  if (post && strcmp (path, "/v1/control") == 0)
    return post_control (op, msg, query, status);
  if (post && strcmp (path, "/v1/drain") == 0)
    {
      daemon_drain (op->daemon);
      http_answer (msg, GM_OK, "draining", NULL);
    }
  else if (!post && strcmp (path, "/v1/route") == 0)
    return answer_route (op, msg, query, status);
  else if (!post && strcmp (path, "/v1/quota") == 0 && op->quota != NULL)
    answer_quota (op, msg);
  else if (!post && strcmp (path, "/v1/status") == 0)
    ask_status (op, msg, FALSE);
  else if (!post && strcmp (path, "/v1/history") == 0)
    ask_status (op, msg, TRUE);
  else
    return gm_fail (status, GM_NOT_FOUND, "there is nothing at %s", path);
  return GM_OK;
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  (void)server;
  Operator *op = data;
  GmStatus status = GM_STATUS_UNSET;
  if (http_is_refused (msg)
      || !http_authorized (msg, op->daemon->settings->operator_token))
    return;
  if (route (op, msg, path, query, &status) != GM_OK)
    http_answer (msg, status.kind, status.message, NULL);
}

static void
on_metrics (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  const Operator *op = data;
  g_autoptr (GString) out = g_string_new (NULL);
  gm_metrics_print (out);
  if (op->quota != NULL)
    quota_print_metrics (op->quota, out);
  soup_server_message_set_status (msg, SOUP_STATUS_OK, NULL);
  soup_server_message_set_response (msg, "text/plain; version=0.0.4",
                                    SOUP_MEMORY_COPY, out->str, out->len);
}

static void
operator_free (DaemonTask *task)
{
  Operator *op = (Operator *)task;
  soup_server_disconnect (op->server);
  g_object_unref (op->server);
  connections_free (op->connections);
  g_free (op);
}

static const DaemonTaskClass operator_class = { .free = operator_free };

Operator *
operator_new (Daemon *daemon, Quota *quota, GmStatus *status)
{
  SoupServer *server = http_server_new (daemon->settings, status);
  CfAddress *address = (CfAddress *)&daemon->settings->operator_;
  if (server == NULL || http_listen (server, address, status) != GM_OK)
    {
      g_clear_object (&server);
      return NULL;
    }
  Operator *op = g_new0 (Operator, 1);
  op->task.class = &operator_class;
  op->daemon = daemon;
  op->server = server;
  op->quota = quota;
  op->connections
      = connections_new (server, cf_connections_max (CONNECTIONS_MAX, 1),
                         daemon->settings->idle_ms * GM_MS, daemon->clock);
  soup_server_add_handler (server, "/v1", on_request, op, NULL);
  soup_server_add_handler (server, "/metrics", on_metrics, op, NULL);
  daemon_add (daemon, &op->task);
  return op;
}
