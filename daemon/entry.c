#include "entry.h"
#include "announce.h"
#include "connections.h"
#include "dbapi/dbapi.h"
#include "http.h"
#include "route/route.h"
#include "subscription.h"
#include "token/token.h"
#include <string.h>

#define REQUEST_ID_MAX 128 /* bytes */
#define PARAMS_MAX 64
#define STATEMENT_MAX (1024 * 1024.0) /* bytes */
#define TOKEN_HEADER "X-Galenamount-Token"
#define REQUEST_HEADER "X-Galenamount-Request-Id"
#define TOKEN_COOKIE "galenamount_token"

#define TICK_MS 5

struct Entry
{
  DaemonTask task;
  Daemon *daemon;
  SoupServer *server;
  RqCore *core;
  GHashTable *links; /* host -> Link */
  gboolean pumping;
  Connections *connections;
  guint timer;
};

/* A caller whose request is in progress.  */
typedef struct
{
  HeldMessage held;
  TkSession *session;
} Caller;

/* The link to the dispatcher on HOST.  */
typedef struct
{
  Entry *entry;
  char *host;
  LkLink *link;
} Link;

/* The fields of a request's JSON body.  */
typedef struct
{
  char *service;
  char *group;
  char *statement;
  char *access;
  char *request_id;
  char *transaction;
  json_object *params;
} Body;

#define BODY_OFFSET(member) G_STRUCT_OFFSET (Body, member)
#define STRING_FIELD(name, member, most, allowed)                             \
  {                                                                           \
    name, JS_STRING, BODY_OFFSET (member), FALSE, 0, most, allowed            \
  }

static const JsField body_fields[] = {
  STRING_FIELD ("service", service, 64, NULL),
  STRING_FIELD ("group", group, 64, NULL),
  STRING_FIELD ("statement", statement, STATEMENT_MAX, NULL),
  STRING_FIELD ("access", access, 8, "read|write"),
  STRING_FIELD ("request_id", request_id, REQUEST_ID_MAX, NULL),
  STRING_FIELD ("transaction", transaction, 512, NULL),
  { "params", JS_ARRAY, BODY_OFFSET (params), FALSE, 0, PARAMS_MAX, NULL },
};

static void
body_clear (Body *body)
{
  char *strings[] = { body->service, body->group,      body->statement,
                      body->access,  body->request_id, body->transaction };
  for (gsize i = 0; i < G_N_ELEMENTS (strings); i++)
    g_free (strings[i]);
}

static GmKind
read_params (const JsDocument *document, json_object *list, GBytes **params,
             GmStatus *status)
{
  gsize count = list != NULL ? json_object_array_length (list) : 0;
  g_autoptr (GPtrArray) strings = g_ptr_array_new ();
  for (gsize i = 0; i < count; i++)
    {
      json_object *item = json_object_array_get_idx (list, i);
      if (json_object_is_type (item, json_type_object)
          || json_object_is_type (item, json_type_array))
        {
          g_autofree char *path = g_strdup_printf ("params[%zu]", i);
          return js_error (document, path, status,
                           "must be a string, a number, a boolean or null");
        }
      g_ptr_array_add (strings, item != NULL
                                    ? (char *)json_object_get_string (item)
                                    : NULL);
    }
  *params
      = wm_strings_encode ((const char *const *)strings->pdata, strings->len);
  return gm_ok (status);
}

/* The session from MSG's token, which comes in a header or a cookie.  A token
   with a bad signature counts as no token, and TRUSTED is then FALSE: the
   dispatcher reads the newest acknowledged data for such a request.  The token
   that replaces it can't tell what the session has seen before.  */
static TkSession *
read_session (const Entry *entry, SoupServerMessage *msg, gboolean *trusted)
{
  const CfSettings *settings = entry->daemon->settings;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  g_autofree char *text
      = g_strdup (soup_message_headers_get_one (headers, TOKEN_HEADER));
  const char *cookies = soup_message_headers_get_list (headers, "Cookie");
  const char *cookie_token = text == NULL && cookies != NULL
                                 ? strstr (cookies, TOKEN_COOKIE "=")
                                 : NULL;
  if (cookie_token != NULL)
    {
      cookie_token += strlen (TOKEN_COOKIE "=");
      text = g_strndup (cookie_token, strcspn (cookie_token, "; ,"));
    }
  GmStatus status = GM_STATUS_UNSET;
  TkSession *session
      = text != NULL && *text != '\0'
            ? tk_session_parse (text, settings->cluster_key, &status)
            : NULL;
  *trusted = session != NULL;
  if (session == NULL && text != NULL && *text != '\0')
    {
      gm_count (GM_M_tokens_forged_total, 1);
      gm_log (GM_EV_TOKEN_FORGED, "%s", status.message);
      session = tk_session_new ();
      session->incomplete = TRUE;
    }
  return session != NULL ? session : tk_session_new ();
}

/* Adds the session's token to the answer, as header, cookie and field.  */
static void
put_token (const Entry *entry, SoupServerMessage *msg,
           const TkSession *session, json_object *body)
{
  g_autofree char *text
      = tk_session_serialize (session, entry->daemon->settings->cluster_key);
  g_autofree char *cookie
      = g_strconcat (TOKEN_COOKIE "=", text, "; Path=/; HttpOnly", NULL);
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (msg);
  soup_message_headers_replace (headers, TOKEN_HEADER, text);
  soup_message_headers_replace (headers, "Set-Cookie", cookie);
  json_object_object_add (body, "token", json_object_new_string (text));
}

static json_object *
rows_json (GBytes *block)
{
  json_object *list = json_object_new_array ();
  DbRows rows;
  if (block == NULL || !db_rows_decode (block, &rows))
    return list;
  for (guint row = 0; row < db_rows_count (&rows); row++)
    {
      json_object *o = json_object_new_object ();
      for (guint i = 0; i < rows.columns; i++)
        {
          const char *value = db_rows_value (&rows, row, i);
          json_object_object_add (
              o, g_ptr_array_index (rows.strings, i),
              value != NULL ? json_object_new_string (value) : NULL);
        }
      json_object_array_add (list, o);
    }
  db_rows_clear (&rows);
  return list;
}

static void
count_answer (GmKind kind)
{
  GmRan ran = gm_kind_ran (kind);
  gm_count (ran == GM_RAN_YES  ? GM_M_answers_ok_total
            : ran == GM_RAN_NO ? GM_M_refused_not_run_total
                               : GM_M_outcome_unknown_total,
            1);
}

static void
caller_free (Caller *caller)
{
  tk_session_free (caller->session);
  g_free (caller);
}

/* Tells the caller to retry after RETRY_MS, in whole seconds in the header;
   does nothing when that is 0.  */
static void
put_retry (SoupServerMessage *msg, json_object *body, guint64 retry_ms)
{
  if (retry_ms == 0)
    return;
  g_autofree char *seconds
      = g_strdup_printf ("%u", (guint)((retry_ms + 999) / 1000));
  json_object_object_add (body, "retry_after_ms",
                          json_object_new_int64 ((gint64)retry_ms));
  soup_message_headers_replace (soup_server_message_get_response_headers (msg),
                                "Retry-After", seconds);
}

static void
put_success (const Entry *entry, const RqAction *end, json_object *body)
{
  const struct wm_result *r = &end->result.result;
  const struct wm_exec *exec = &end->request->exec.exec;
  json_object_object_add (body, "rows", rows_json (r->rows));
  json_object_object_add (
      body, "database",
      json_object_new_string (r->database != NULL ? r->database : ""));
  json_object_object_add (body, "replica",
                          json_object_new_boolean (r->replica != 0));
  if (exec->operation != DP_BEGIN)
    return;
  g_autofree char *id = rq_transaction_print (
      subscription_state (entry->daemon->subscription), end->host, exec->group,
      r->transaction, entry->daemon->settings->cluster_key);
  json_object_object_add (body, "transaction", json_object_new_string (id));
}

/* Answers MSG.  During a planned stop, ends its connection after the answer,
   as the callers of open connections are not sent to other hosts.  */
static void
send_answer (const Entry *entry, SoupServerMessage *msg, GmKind kind,
             const char *message, json_object *body)
{
  if (entry->daemon->draining)
    soup_message_headers_replace (
        soup_server_message_get_response_headers (msg), "Connection", "close");
  count_answer (kind);
  http_answer (msg, kind, message, body);
}

/* Sends the result of a request to its caller.  */
static void
answer_caller (Entry *entry, const RqAction *end)
{
  Caller *caller = end->request->owner;
  const struct wm_result *r = &end->result.result;
  const struct wm_exec *exec = &end->request->exec.exec;
  json_object *body = json_object_new_object ();
  GmKind kind = (GmKind)r->kind;
  if (r->token_position > 0)
    tk_session_raise (caller->session, exec->group,
                      (TkPoint){ r->token_term, r->token_position });
  put_token (entry, caller->held.msg, caller->session, body);
  json_object_object_add (body, "request_id",
                          json_object_new_string (exec->request_id));
  if (kind == GM_OK)
    put_success (entry, end, body);
  put_retry (caller->held.msg, body, r->retry_ms);
  send_answer (entry, caller->held.msg, kind,
               r->message != NULL ? r->message : "", body);
}

static void pump (Entry *entry);

static void
on_link_up (LkLink *link, void *owner)
{
  (void)link;
  Link *l = owner;
  Entry *entry = l->entry;
  rq_link_up (entry->core, daemon_now (entry->daemon),
              subscription_state (entry->daemon->subscription), l->host);
  pump (entry);
}

static void
on_link_message (LkLink *link, const WmMessage *m, void *owner)
{
  (void)link;
  Link *l = owner;
  Entry *entry = l->entry;
  if (m->type != WM_TYPE_RESULT)
    return;
  if (!rq_receive (entry->core, daemon_now (entry->daemon), l->host, m))
    {
      gm_count (GM_M_answers_late_total, 1);
      gm_log (GM_EV_ANSWER_LATE, "from %s", l->host);
    }
  pump (entry);
}

static void
on_link_down (LkLink *link, void *owner)
{
  (void)link;
  Link *l = owner;
  Entry *entry = l->entry;
  g_autofree char *host = g_strdup (l->host);
  g_hash_table_remove (entry->links, host);
  rq_link_down (entry->core, daemon_now (entry->daemon), host);
  pump (entry);
}

static const LkHandler link_handler
    = { .up = on_link_up, .message = on_link_message, .down = on_link_down };

static void
link_free (Link *l)
{
  lk_close (l->link);
  g_free (l->host);
  g_free (l);
}

static void
dial_dispatcher (Entry *entry, const RqAction *action)
{
  CfAddress address = { 0 };
  if (!cf_address_parse (action->address, &address))
    {
      rq_link_down (entry->core, daemon_now (entry->daemon), action->host);
      return;
    }
  Link *l = g_new0 (Link, 1);
  l->entry = entry;
  l->host = g_strdup (action->host);
  l->link = lk_dial (&address, &entry->daemon->identity, &link_handler, l);
  g_hash_table_replace (entry->links, l->host, l);
  g_free (address.ip);
}

static void
run_action (Entry *entry, RqAction *action)
{
  const Link *l = action->host != NULL
                      ? g_hash_table_lookup (entry->links, action->host)
                      : NULL;
  if (action->type == RQ_CONNECT)
    dial_dispatcher (entry, action);
  else if (action->type == RQ_DISCONNECT)
    g_hash_table_remove (entry->links, action->host);
  else if (action->type == RQ_SEND
           && (l == NULL || !lk_send (l->link, &action->request->exec)))
    rq_not_sent (action->request, daemon_now (entry->daemon));
  else if (action->type == RQ_END)
    {
      Caller *caller = action->request->owner;
      if (!caller->held.disconnected)
        answer_caller (entry, action);
      connections_release (&caller->held);
      caller_free (caller);
    }
}

/* Carries out the actions that the core has queued.  */
static void
pump (Entry *entry)
{
  RqAction action;
  /* An action may call this function again; the outer call then takes the
     remaining actions.  */
  if (entry->pumping)
    return;
  entry->pumping = TRUE;
  while (rq_take_action (entry->core, &action))
    {
      run_action (entry, &action);
      rq_action_clear (&action);
    }
  entry->pumping = FALSE;
  gm_gauge (GM_M_requests_open, rq_count (entry->core));
}

static gboolean
tick (gpointer data)
{
  Entry *entry = data;
  rq_tick (entry->core, daemon_now (entry->daemon),
           subscription_state (entry->daemon->subscription));
  pump (entry);
  return G_SOURCE_CONTINUE;
}

/* The group that the request names, or the service's only group.  NULL and
   STATUS when there is none.  */
static const char *
choose_group (const CfService *service, const Body *body, GmStatus *status)
{
  if (body->group == NULL && service->depends_on->len == 1)
    return g_ptr_array_index (service->depends_on, 0);
  for (guint i = 0; body->group != NULL && i < service->depends_on->len; i++)
    if (strcmp (g_ptr_array_index (service->depends_on, i), body->group) == 0)
      return body->group;
  gm_fail (status, GM_INVALID,
           "\"group\" must name one of the groups that the service depends "
           "on");
  return NULL;
}

static GmKind
check_body (const Body *body, DpOperation operation, GmStatus *status)
{
  gboolean needs_statement = operation == DP_READ || operation == DP_WRITE
                             || operation == DP_STATEMENT;
  gboolean needs_transaction = operation == DP_STATEMENT
                               || operation == DP_COMMIT
                               || operation == DP_ROLLBACK;
  if (body->service == NULL)
    return gm_fail (status, GM_INVALID, "\"service\" is missing");
  if (needs_statement && (body->statement == NULL || *body->statement == '\0'))
    return gm_fail (status, GM_INVALID, "\"statement\" is missing");
  if (needs_transaction && body->transaction == NULL)
    return gm_fail (status, GM_INVALID, "\"transaction\" is missing");
  if (operation == DP_OUTCOME
      && (body->request_id == NULL || *body->request_id == '\0'))
    return gm_fail (status, GM_INVALID, "\"request_id\" is missing");
  return gm_ok (status);
}

/* The request id from the body or the header, or a random one.  */
static char *
choose_request_id (SoupServerMessage *msg, const Body *body)
{
  const char *header = soup_message_headers_get_one (
      soup_server_message_get_request_headers (msg), REQUEST_HEADER);
  if (body->request_id != NULL && *body->request_id != '\0')
    return g_strdup (body->request_id);
  if (header != NULL && *header != '\0' && strlen (header) <= REQUEST_ID_MAX)
    return g_strdup (header);
  return g_uuid_string_random ();
}

/* Builds the request for the dispatcher and submits it to the core.  */
static GmKind
submit (Entry *entry, SoupServerMessage *msg, const JsDocument *document,
        const Body *body, DpOperation operation, GmStatus *status)
{
  const CsState *state = subscription_state (entry->daemon->subscription);
  if (check_body (body, operation, status) != GM_OK)
    return status->kind;
  const CfService *service
      = cf_service_find (cs_declaration (state), body->service);
  if (service == NULL)
    return gm_fail (status, GM_UNKNOWN_SERVICE, "no service is named %s",
                    body->service);
  if (cs_declaration (state)->customers != NULL && !service->is_public)
    return gm_fail (status, GM_UNAUTHORIZED,
                    "%s needs a key, which this interface does not take",
                    body->service);
  const char *group = choose_group (service, body, status);
  GBytes *params = NULL;
  if (group == NULL
      || read_params (document, body->params, &params, status) != GM_OK)
    return status->kind;
  Caller *caller = g_new0 (Caller, 1);
  gboolean trusted;
  caller->session = read_session (entry, msg, &trusted);
  trusted = trusted && tk_session_covers (caller->session, group);
  TkPoint point = tk_session_point (caller->session, group);
  RqRequest *request = rq_request_new ();
  request->owner = caller;
  request->deadline
      = daemon_now (entry->daemon) + service->deadline_ms * GM_MS;
  request->exec
      = (WmMessage){ .type = WM_TYPE_EXEC,
                     .exec = { .operation = operation,
                               .service = g_strdup (service->name),
                               .group = g_strdup (group),
                               .request_id = choose_request_id (msg, body),
                               .statement = g_strdup (body->statement),
                               .params = params,
                               .session = trusted ? 1 : 0,
                               .token_term = point.term,
                               .token_position = point.position } };
  if (body->transaction != NULL
      && !rq_transaction_join (request, state, body->transaction,
                               entry->daemon->settings->cluster_key))
    {
      rq_request_free (request);
      caller_free (caller);
      return gm_fail (status, GM_TRANSACTION_LOST,
                      "the transaction is unknown or its host is down");
    }
  connections_hold (entry->connections, msg, &caller->held);
  rq_submit (entry->core, daemon_now (entry->daemon), state, request);
  pump (entry);
  return GM_OK;
}

/* The operation that PATH and BODY ask for, or DP_OPERATION_COUNT and STATUS.
 */
static DpOperation
choose_operation (const char *path, const Body *body, GmStatus *status)
{
  static const struct
  {
    const char *path;
    DpOperation operation;
  } paths[] = { { "/v1/begin", DP_BEGIN },
                { "/v1/commit", DP_COMMIT },
                { "/v1/rollback", DP_ROLLBACK },
                { "/v1/outcome", DP_OUTCOME } };
  for (gsize i = 0; i < G_N_ELEMENTS (paths); i++)
    if (strcmp (path, paths[i].path) == 0)
      return paths[i].operation;
  if (strcmp (path, "/v1/statement") != 0)
    {
      gm_fail (status, GM_NOT_FOUND, "there is nothing at %s", path);
      return DP_OPERATION_COUNT;
    }
  if (body->transaction != NULL)
    return DP_STATEMENT;
  return g_strcmp0 (body->access, "read") == 0 ? DP_READ : DP_WRITE;
}

static GmKind
handle_request (Entry *entry, SoupServerMessage *msg, const char *path,
                GmStatus *status)
{
  SoupMessageBody *raw = soup_server_message_get_request_body (msg);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (raw);
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  g_autoptr (JsDocument) document
      = js_parse ("body", text != NULL ? text : "", length, status);
  if (document == NULL)
    return status->kind;
  Body body = { 0 };
  GmKind kind = js_fields (document, js_root (document), "", body_fields,
                           G_N_ELEMENTS (body_fields), &body, status);
  DpOperation operation = kind == GM_OK
                              ? choose_operation (path, &body, status)
                              : DP_OPERATION_COUNT;
  if (kind == GM_OK && operation == DP_OPERATION_COUNT)
    kind = status->kind;
  if (kind == GM_OK)
    kind = submit (entry, msg, document, &body, operation, status);
  body_clear (&body);
  return kind;
}

static GmKind
check_can_serve (const Entry *entry, SoupServerMessage *msg, GmStatus *status)
{
  const char *method = soup_server_message_get_method (msg);
  if (strcmp (method, SOUP_METHOD_POST) != 0)
    return gm_fail (status, GM_INVALID, "the method must be POST");
  if (!subscription_is_fresh (entry->daemon->subscription))
    return gm_fail (status, GM_STALE,
                    "not run: this host does not know the configuration in "
                    "force");
  return gm_ok (status);
}

static void
on_request (SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
  (void)server;
  (void)query;
  Entry *entry = data;
  GmStatus status = GM_STATUS_UNSET;
  gm_count (GM_M_requests_total, 1);
  if (http_is_refused (msg)
      || !http_authorized (msg, entry->daemon->settings->caller_token))
    return;
  GmKind kind = check_can_serve (entry, msg, &status);
  if (kind == GM_OK)
    kind = handle_request (entry, msg, path, &status);
  if (kind != GM_OK)
    send_answer (entry, msg, kind, status.message, NULL);
}

static void
on_health (SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  const Entry *entry = data;
  if (entry->daemon->draining)
    http_answer (msg, GM_DRAINING, "draining", NULL);
  else if (!subscription_is_fresh (entry->daemon->subscription))
    http_answer (msg, GM_STALE, "no recent stamp from a control host", NULL);
  else
    http_answer (msg, GM_OK, "", NULL);
}

static void
entry_state_changed (DaemonTask *task)
{
  Entry *entry = (Entry *)task;
  rq_state (entry->core, daemon_now (entry->daemon),
            subscription_state (entry->daemon->subscription));
  pump (entry);
}

static guint
entry_in_progress (const DaemonTask *task)
{
  return rq_count (((const Entry *)task)->core);
}

static void
entry_free (DaemonTask *task)
{
  Entry *entry = (Entry *)task;
  soup_server_disconnect (entry->server);
  g_object_unref (entry->server);
  g_source_remove (entry->timer);
  connections_free (entry->connections);
  g_hash_table_unref (entry->links);
  rq_free (entry->core);
  g_free (entry);
}

static const DaemonTaskClass entry_class
    = { .state_changed = entry_state_changed,
        .in_progress = entry_in_progress,
        .free = entry_free };

Entry *
entry_new (Daemon *daemon, GmStatus *status)
{
  SoupServer *server = http_server_new (daemon->settings, status);
  CfAddress *address = (CfAddress *)&daemon->settings->caller;
  if (server == NULL || http_listen (server, address, status) != GM_OK)
    {
      g_clear_object (&server);
      return NULL;
    }
  Entry *entry = g_new0 (Entry, 1);
  entry->task.class = &entry_class;
  entry->daemon = daemon;
  entry->server = server;
  entry->core = rq_new ();
  entry->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)link_free);
  entry->timer = g_timeout_add (TICK_MS, tick, entry);
  entry->connections = connections_new (
      server, cf_connections_max (daemon->settings->connections_max, 3),
      daemon->settings->idle_ms * GM_MS, daemon->clock);
  soup_server_add_handler (server, "/v1", on_request, entry, NULL);
  soup_server_add_handler (server, "/v1/announce", announce_handle, daemon,
                           NULL);
  soup_server_add_handler (server, "/health", on_health, entry, NULL);
  daemon_add (daemon, &entry->task);
  return entry;
}
