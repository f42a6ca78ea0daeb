/* galenamount-platform: a small stand-in for the operators' platform.

   One process runs a group of databases that serve the line protocol, sends
   their heartbeats to the control hosts, serves the HTTP call that promotes a
   database, and injects faults over HTTP:

     POST /fault?database=db1&what=crash|start|deaf|hear|lag|fresh|lose|drain

   start restarts a crashed database.  deaf stops a replica from receiving and
   hear lets it receive again; lag stops a replica from applying and fresh lets
   it apply again.  lose drops the answer of the next commit.  drain makes the
   heartbeats say that the database is draining.  */
#include "lines.h"
#include <argtable2.h>
#include <glib-unix.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define HEARTBEAT_INTERVAL_MS 300
#define PROMOTION_DELAY_MS 100 /* from the accepted order to its effect */
#define REPLICATION_INTERVAL_MS 10

typedef struct
{
  PdGroup group;
  GPtrArray *control; /* char *, "IP:port" of the control hosts */
  SoupSession *client;
  SoupServer *server;
  guint64 promotions;
} Platform;

static void
print_violation (const char *what)
{
  fprintf (stderr, "invariant violated: %s\n", what);
}

static void
on_heartbeat_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  (void)data;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, NULL);
}

static void
send_heartbeat (Platform *p, PdDatabase *db, const char *control)
{
  g_autofree char *uri = g_strdup_printf (
      "http://%s/api/instances/%s/heartbeat", control, db->model->id);
  g_autofree char *text = g_strdup_printf (
      "{\"serviceName\":\"" PD_GROUP
      "\",\"address\":\"%s:%u\",\"zone\":\"dc%u\","
      "\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\","
      "\"coldRemainingMs\":0,\"dbRole\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT
      ",\"born\":%" G_GINT64_FORMAT "}",
      db->address.ip, db->address.port, (guint)(db - p->group.databases) + 1,
      db->draining ? "draining" : "ready",
      db->model->primary ? "primary" : "replica", ++db->sequence,
      db->started_ms);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  g_autoptr (SoupMessage) msg = soup_message_new (SOUP_METHOD_POST, uri);
  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_and_read_async (p->client, msg, G_PRIORITY_DEFAULT, NULL,
                                    on_heartbeat_answer, NULL);
}

static gboolean
send_heartbeats (gpointer data)
{
  Platform *p = data;
  for (guint i = 0; i < MD_DATABASES; i++)
    if (p->group.databases[i].model->up)
      send_heartbeat (
          p, &p->group.databases[i],
          g_ptr_array_index (p->control, p->group.databases[i].sequence
                                             % p->control->len));
  return G_SOURCE_CONTINUE;
}

static gboolean
replicate (gpointer data)
{
  Platform *p = data;
  guint applied_before[MD_DATABASES];
  for (guint i = 0; i < MD_DATABASES; i++)
    applied_before[i] = p->group.model.databases[i].applied;
  md_replicate (&p->group.model, NULL);
  for (guint i = 0; i < MD_DATABASES; i++)
    if (p->group.databases[i].apply_paused)
      p->group.model.databases[i].applied
          = MIN (applied_before[i], p->group.model.databases[i].log->len);
  return G_SOURCE_CONTINUE;
}

/* Promotion orders and faults.  */

static PdDatabase *
find_database (Platform *p, const char *id)
{
  for (guint i = 0; i < MD_DATABASES; i++)
    if (g_strcmp0 (p->group.databases[i].model->id, id) == 0)
      return &p->group.databases[i];
  return NULL;
}

typedef struct
{
  Platform *platform;
  char *id;
  guint64 token;
} PromotionOrder;

/* Carries out a promotion.  The HTTP answer only said that the order was
   accepted.  */
static gboolean
promotion_due (gpointer data)
{
  PromotionOrder *order = data;
  Platform *p = order->platform;
  if (md_promote (&p->group.model, order->id, order->token))
    p->promotions++;
  g_free (order->id);
  g_free (order);
  return G_SOURCE_REMOVE;
}

static void
accept_promotion (Platform *p, SoupServerMessage *msg, const char *id,
                  const char *holder, guint64 token)
{
  gboolean good = md_accept_promotion (&p->group.model, id, holder, token);
  soup_server_message_set_status (msg, good ? 200 : 409, NULL);
  if (!good)
    return;
  PromotionOrder *order = g_new0 (PromotionOrder, 1);
  order->platform = p;
  order->id = g_strdup (id);
  order->token = token;
  g_timeout_add (PROMOTION_DELAY_MS, promotion_due, order);
}

static void
on_promotion (SoupServer *server, SoupServerMessage *msg, const char *path,
              GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (msg);
  const char *holder
      = soup_message_headers_get_one (headers, "X-Galenamount-Duty-Holder");
  const char *token
      = soup_message_headers_get_one (headers, "X-Galenamount-Fencing-Token");
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  g_autofree char *copy = g_strndup (text != NULL ? text : "", length);
  json_object *body = json_tokener_parse (copy);
  json_object *id = NULL;
  if (body != NULL)
    json_object_object_get_ex (body, "id", &id);
  if (id == NULL || holder == NULL || token == NULL)
    soup_server_message_set_status (msg, 400, NULL);
  else
    accept_promotion (data, msg, json_object_get_string (id), holder,
                      g_ascii_strtoull (token, NULL, 10));
  json_object_put (body);
}

static void
crash (Platform *p, PdDatabase *db)
{
  md_crash (&p->group.model, db->model);
  pd_drop_sessions (db);
}

static gboolean
inject_fault (Platform *p, PdDatabase *db, const char *what)
{
  if (strcmp (what, "crash") == 0)
    crash (p, db);
  else if (strcmp (what, "start") == 0)
    {
      md_start (&p->group.model, db->model);
      db->started_ms = g_get_real_time () / 1000;
      db->sequence = 0;
    }
  else if (strcmp (what, "deaf") == 0 || strcmp (what, "hear") == 0)
    db->model->receive_paused = strcmp (what, "deaf") == 0;
  else if (strcmp (what, "lag") == 0 || strcmp (what, "fresh") == 0)
    db->apply_paused = strcmp (what, "lag") == 0;
  else if (strcmp (what, "lose") == 0)
    db->drop_next_answer = TRUE;
  else if (strcmp (what, "drain") == 0)
    db->draining = TRUE;
  else
    return FALSE;
  return TRUE;
}

static void
on_fault (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  Platform *p = data;
  const char *id
      = query != NULL ? g_hash_table_lookup (query, "database") : NULL;
  const char *what
      = query != NULL ? g_hash_table_lookup (query, "what") : NULL;
  PdDatabase *db = find_database (p, id);
  gboolean good = db != NULL && what != NULL && inject_fault (p, db, what);
  soup_server_message_set_status (msg, good ? 200 : 400, NULL);
}

/* Answers with a line for each database (id, role, lengths of its log and of
   the applied part), a line with the counts of promotions and violated
   invariants, and a line for each customer that connections were opened
   for.  */
static void
on_state (SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  const Platform *p = data;
  g_autoptr (GString) out = g_string_new (NULL);
  for (guint i = 0; i < MD_DATABASES; i++)
    {
      const MdDatabase *d = &p->group.model.databases[i];
      g_string_append_printf (
          out, "%s %s log=%u applied=%u\n", d->id,
          md_acts_as_primary (&p->group.model, d) ? "primary" : "replica",
          d->log->len, d->applied);
    }
  g_string_append_printf (out, "promotions=%u violations=%u\n",
                          (guint)p->promotions, p->group.model.violations);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, p->group.customers);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_string_append_printf (out, "customer %s\n", (const char *)name);
  soup_server_message_set_status (msg, 200, NULL);
  soup_server_message_set_response (msg, "text/plain", SOUP_MEMORY_COPY,
                                    out->str, out->len);
}

static gboolean
quit (gpointer loop)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static int
serve (const char *listen, const char *const *control, int count)
{
  Platform p = { 0 };
  GmStatus status = GM_STATUS_UNSET;
  CfAddress base = { 0 };
  if (!cf_address_parse (listen, &base))
    {
      fprintf (stderr, "--listen must be an IP number and a port\n");
      return gm_kind_exit (GM_INVALID);
    }
  p.control = g_ptr_array_new ();
  p.client = soup_session_new_with_options ("timeout", 1, NULL);
  p.server = soup_server_new (NULL, NULL);
  for (int i = 0; i < count; i++)
    g_ptr_array_add (p.control, (gpointer)control[i]);
  g_autoptr (GSocketAddress) at
      = g_inet_socket_address_new_from_string (base.ip, base.port);
  gboolean good = soup_server_listen (p.server, at, 0, NULL);
  if (!good || !pd_start (&p.group, &base, print_violation, &status))
    {
      fprintf (stderr, "can't listen on %s\n", listen);
      return gm_kind_exit (GM_IO);
    }
  soup_server_add_handler (p.server, "/promotion", on_promotion, &p, NULL);
  soup_server_add_handler (p.server, "/fault", on_fault, &p, NULL);
  soup_server_add_handler (p.server, "/state", on_state, &p, NULL);
  g_timeout_add (HEARTBEAT_INTERVAL_MS, send_heartbeats, &p);
  g_timeout_add (REPLICATION_INTERVAL_MS, replicate, &p);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, quit, loop);
  g_main_loop_run (loop);
  return p.group.model.violations > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *listen
      = arg_str1 (NULL, "listen", "IP:PORT",
                  "orders and faults; databases use the next ports");
  struct arg_str *control
      = arg_strn (NULL, "control", "IP:PORT", 1, 8,
                  "address of a control host; may be repeated");
  struct arg_end *end = arg_end (4);
  void *table[] = { listen, control, end };
  int code;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "galenamount-platform");
      code = gm_kind_exit (GM_INVALID);
    }
  else
    code = serve (listen->sval[0], control->sval, control->count);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
