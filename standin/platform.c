/* galenamount-platform: a small stand-in for the operators' platform.

   One process plays a group of databases in the line protocol, their
   heartbeats to the control hosts, the call that promotes one of them, and
   takes faults over HTTP:

     POST /fault?database=db1&what=crash|start|deaf|hear|lag|fresh|lose|drain

   lag keeps a replica from applying; lose makes the next commit's answer get
   lost.  */
#include "platform/line.h"
#include "replicas.h"
#include "wire/stream.h"
#include <argtable2.h>
#include <glib-unix.h>
#include <json-c/json.h>
#include <libsoup/soup.h>
#include <stdio.h>
#include <string.h>

#define HEARTBEAT_MS 300
#define PROMOTE_MS 100
#define TICK_MS 10
#define GROUP "stock"

typedef struct Platform Platform;

typedef struct
{
  Platform *platform;
  MdDatabase *model;
  CfAddress address;
  NsListener *listener;
  GPtrArray *sessions; /* Session * */
  guint64 sequence;
  gint64 born;
  gboolean lags;
  gboolean loses; /* the answer of the next commit */
  gboolean drains;
} Database;

typedef struct
{
  Database *database;
  NsStream *stream;
  LnReader *reader;
  gboolean started;
  char state;
  gboolean read_only;
  GArray *writes;       /* guint64 */
  GHashTable *values;   /* session values */
  GHashTable *prepared; /* name -> "READ shape" or "WRITE shape" */
} Session;

/* What a write did.  */
typedef struct
{
  char *item;
  char *data;
} Change;

struct Platform
{
  MdGroup group;
  Database databases[MD_DATABASES];
  GArray *changes;    /* Change, by uid - 1 */
  GPtrArray *control; /* char *, addresses */
  SoupSession *client;
  SoupServer *server;
  guint64 promotions;
};

static GmTime
now (void)
{
  return gm_now (gm_clock_system ());
}

static void
complain (const char *what)
{
  fprintf (stderr, "broken promise: %s\n", what);
}

static void
session_free (gpointer data)
{
  Session *s = data;
  ns_close (s->stream);
  ln_reader_free (s->reader);
  g_array_unref (s->writes);
  g_hash_table_unref (s->values);
  g_hash_table_unref (s->prepared);
  g_free (s);
}

static void
end_session (Session *s)
{
  g_ptr_array_remove (s->database->sessions, s);
}

static void put (Session *s, const char *format, ...) G_GNUC_PRINTF (2, 3);

static void
put (Session *s, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  ns_write (s->stream, text, strlen (text));
}

static void
put_ready (Session *s)
{
  g_autoptr (GString) out = g_string_new (NULL);
  const MdDatabase *d = s->database->model;
  ln_put_ready (out, s->state, md_position (d, d->applied));
  ns_write (s->stream, out->str, out->len);
}

static void
done (Session *s, const char *id)
{
  if (strcmp (id, "-") == 0)
    put (s, "DONE -\r\n");
  else
    put (s, "DONE sig.%s\r\n", id);
  put_ready (s);
}

static void
fail (Session *s, const char *code)
{
  if (s->state == 'T')
    s->state = 'E';
  put (s, "ERR %s %s\r\n", code, s->database->model->id);
  put_ready (s);
}

/* The newest value of ITEM in the log that D shows.  */
static const char *
value_of (const Platform *p, const MdDatabase *d, const char *item)
{
  for (guint i = d->applied; i-- > 0;)
    {
      const MdCommit *c = g_ptr_array_index (d->log, i);
      for (guint j = c->writes->len; j-- > 0;)
        {
          guint64 uid = g_array_index (c->writes, guint64, j);
          const Change *change = &g_array_index (p->changes, Change, uid - 1);
          if (strcmp (change->item, item) == 0)
            return change->data;
        }
    }
  return "none";
}

/* Commits what S has written.  FALSE when S is gone with that.  */
static gboolean
commit (Session *s, const char *id)
{
  Database *db = s->database;
  Platform *p = db->platform;
  gboolean confirmed = s->writes->len == 0
                       || md_append (&p->group, now (), db->model, s->writes);
  g_array_set_size (s->writes, 0);
  s->state = 'I';
  if (db->loses)
    {
      db->loses = FALSE;
      end_session (s);
      return FALSE;
    }
  /* An unconfirmed commit is answered by nobody.  */
  if (confirmed)
    done (s, id);
  return TRUE;
}

static void
note_write (Session *s, const char *item, const char *data)
{
  Platform *p = s->database->platform;
  Change change = { g_strdup (item), g_strdup (data) };
  g_array_append_val (p->changes, change);
  guint64 uid = p->changes->len;
  g_array_append_val (s->writes, uid);
}

static gboolean
run_write (Session *s, const char *id, const char *item, const char *data)
{
  const Database *db = s->database;
  if (!md_leads (&db->platform->group, db->model))
    {
      fail (s, "READONLY");
      return TRUE;
    }
  note_write (s, item, data);
  if (s->state == 'T')
    {
      done (s, id);
      return TRUE;
    }
  return commit (s, id);
}

static void
run_read (Session *s, const char *id, const char *item, TkPoint after)
{
  const Database *db = s->database;
  if (!md_has (db->model, db->model->applied, after))
    {
      fail (s, "LAGGING");
      return;
    }
  put (s, "ROW %s %s values=%u\r\n", value_of (db->platform, db->model, item),
       db->model->id, g_hash_table_size (s->values));
  done (s, id);
}

static void
run_order (Session *s, FoCall call, guint64 term)
{
  FoDatabase status;
  MdDatabase *d = s->database->model;
  md_call (d, call, term, &status);
  put (s,
       "ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
       " %" G_GUINT64_FORMAT " 0 1 1\r\n",
       status.primary ? "primary" : "replica", status.term, status.last_term,
       status.received, status.held);
  done (s, "-");
}

static void
run_begin (Session *s, const char *id, gboolean read_only, TkPoint after)
{
  const Database *db = s->database;
  if (!read_only && !md_leads (&db->platform->group, db->model))
    fail (s, "READONLY");
  else if (!md_has (db->model, db->model->applied, after))
    fail (s, "LAGGING");
  else
    {
      s->state = 'T';
      s->read_only = read_only;
      done (s, id);
    }
}

/* Cuts the next word off *AT.  */
static char *
word (char **at)
{
  char *start = *at != NULL ? *at : (char *)"";
  char *blank = strchr (start, ' ');
  if (blank != NULL)
    *blank++ = '\0';
  *at = blank;
  return start;
}

static TkPoint
point_of (const char *text)
{
  TkPoint point = { 0, 0 };
  char *end;
  point.term = g_ascii_strtoull (text, &end, 10);
  if (*end == '.')
    point.position = g_ascii_strtoull (end + 1, NULL, 10);
  return point;
}

static gboolean
run_execute (Session *s, const char *id, char *at, TkPoint after)
{
  const char *name = word (&at);
  const char *item = word (&at);
  const char *shape = g_hash_table_lookup (s->prepared, name);
  if (shape == NULL)
    fail (s, "NOSTMT");
  else if (g_str_has_prefix (shape, "WRITE"))
    return run_write (s, id, item, at != NULL ? at : "");
  else
    run_read (s, id, item, after);
  return TRUE;
}

/* Runs what changes only the session.  FALSE when VERB is no such thing.  */
static gboolean
run_setting (Session *s, const char *id, const char *verb, char *at)
{
  if (strcmp (verb, "DISCARD") == 0)
    {
      g_hash_table_remove_all (s->values);
      g_hash_table_remove_all (s->prepared);
    }
  else if (strcmp (verb, "SET") == 0)
    {
      char *name = word (&at);
      g_hash_table_replace (s->values, g_strdup (name),
                            g_strdup (at != NULL ? at : ""));
    }
  else if (strcmp (verb, "PREPARE") == 0)
    {
      char *name = word (&at);
      g_hash_table_replace (s->prepared, g_strdup (name),
                            g_strdup (at != NULL ? at : ""));
    }
  else
    return FALSE;
  done (s, id);
  return TRUE;
}

/* Runs the query TEXT.  FALSE when S is gone with that.  */
static gboolean
run_query (Session *s, const char *id, char *text)
{
  TkPoint after = { 0, 0 };
  char *at = text;
  const char *verb = word (&at);
  if (strcmp (verb, "AFTER") == 0)
    {
      after = point_of (word (&at));
      verb = word (&at);
    }
  if (run_setting (s, id, verb, at))
    return TRUE;
  if (strcmp (verb, "BEGIN") == 0)
    run_begin (s, id, at != NULL, after);
  else if (strcmp (verb, "ROLLBACK") == 0)
    {
      g_array_set_size (s->writes, 0);
      s->state = 'I';
      done (s, id);
    }
  else if (strcmp (verb, "STATUS") == 0)
    run_order (s, FO_CALL_STATUS, 0);
  else if (strcmp (verb, "PAUSE") == 0)
    run_order (s, FO_CALL_SEAL,
               g_ascii_strtoull (at != NULL ? at : "0", NULL, 10));
  else if (strcmp (verb, "UNPAUSE") == 0)
    run_order (s, FO_CALL_UNSEAL, 0);
  else if (s->state == 'E')
    fail (s, "MALFORMED");
  else if (s->state == 'T' && !s->read_only
           && !md_leads (&s->database->platform->group, s->database->model))
    fail (s, "READONLY");
  else if (strcmp (verb, "COMMIT") == 0)
    return commit (s, id);
  else if (strcmp (verb, "READ") == 0)
    run_read (s, id, at != NULL ? at : "", after);
  else if (strcmp (verb, "WRITE") == 0)
    {
      const char *item = word (&at);
      return run_write (s, id, item, at != NULL ? at : "");
    }
  else if (strcmp (verb, "EXEC") == 0)
    return run_execute (s, id, at, after);
  else
    fail (s, "MALFORMED");
  return TRUE;
}

/* Takes one request.  FALSE when S is gone with that.  */
static gboolean
take (Session *s, char *line)
{
  LnRequest r;
  GmStatus status;
  const MdDatabase *d = s->database->model;
  if (ln_request (line, &r, &status) != GM_OK || r.type == LN_BYE)
    {
      end_session (s);
      return FALSE;
    }
  if (r.type == LN_QUERY && s->started)
    {
      g_autofree char *text = g_strdup (r.text);
      g_autofree char *id = g_strdup (r.id);
      return run_query (s, id, text);
    }
  gboolean right = strcmp (r.database, GROUP) == 0
                   && (r.expected == NULL || strcmp (r.expected, d->id) == 0);
  if (!right)
    {
      put (s, "ERR WRONGNODE %s\r\n", d->id);
      end_session (s);
      return FALSE;
    }
  s->started = TRUE;
  put_ready (s);
  return TRUE;
}

static void
on_data (NsStream *stream, const char *data, gsize length, gpointer owner)
{
  (void)stream;
  Session *s = owner;
  char *line;
  ln_feed (s->reader, data, length);
  while (ln_take (s->reader, &line, NULL) == GM_OK && line != NULL)
    if (!take (s, line))
      return;
}

static void
on_closed (NsStream *stream, const char *why, gpointer owner)
{
  (void)stream;
  (void)why;
  Session *s = owner;
  s->stream = NULL; /* frees itself */
  end_session (s);
}

static const NsHandler handler = { .data = on_data, .closed = on_closed };

static void
on_accept (GSocket *socket, gpointer owner)
{
  Database *db = owner;
  if (!db->model->up)
    {
      g_socket_close (socket, NULL);
      g_object_unref (socket);
      return;
    }
  Session *s = g_new0 (Session, 1);
  s->database = db;
  s->state = 'I';
  s->reader = ln_reader_new ();
  s->writes = g_array_new (FALSE, FALSE, sizeof (guint64));
  s->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->stream = ns_accepted (socket, 0, &handler, s);
  g_ptr_array_add (db->sessions, s);
}

/* Heartbeats.  */

static void
on_beat_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  (void)data;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, NULL);
}

static void
beat (Database *db, const char *control)
{
  g_autofree char *uri = g_strdup_printf (
      "http://%s/api/instances/%s/heartbeat", control, db->model->id);
  g_autofree char *text = g_strdup_printf (
      "{\"serviceName\":\"" GROUP "\",\"address\":\"%s:%u\",\"zone\":\"dc%u\","
      "\"version\":\"v1\",\"capacity\":2,\"state\":\"%s\","
      "\"coldRemainingMs\":0,\"dbRole\":\"%s\",\"sequence\":%" G_GUINT64_FORMAT
      ",\"born\":%" G_GINT64_FORMAT "}",
      db->address.ip, db->address.port,
      (guint)(db - db->platform->databases) + 1,
      db->drains ? "draining" : "ready",
      db->model->primary ? "primary" : "replica", ++db->sequence, db->born);
  g_autoptr (GBytes) bytes = g_bytes_new (text, strlen (text));
  g_autoptr (SoupMessage) msg = soup_message_new (SOUP_METHOD_POST, uri);
  soup_message_set_request_body_from_bytes (msg, "application/json", bytes);
  soup_session_send_and_read_async (db->platform->client, msg,
                                    G_PRIORITY_DEFAULT, NULL, on_beat_answer,
                                    NULL);
}

static gboolean
beat_all (gpointer data)
{
  Platform *p = data;
  for (guint i = 0; i < MD_DATABASES; i++)
    if (p->databases[i].model->up)
      beat (&p->databases[i],
            g_ptr_array_index (p->control,
                               p->databases[i].sequence % p->control->len));
  return G_SOURCE_CONTINUE;
}

static gboolean
tick (gpointer data)
{
  Platform *p = data;
  guint held[MD_DATABASES];
  for (guint i = 0; i < MD_DATABASES; i++)
    held[i] = p->group.databases[i].applied;
  md_replicate (&p->group, NULL);
  for (guint i = 0; i < MD_DATABASES; i++)
    if (p->databases[i].lags)
      p->group.databases[i].applied
          = MIN (held[i], p->group.databases[i].log->len);
  return G_SOURCE_CONTINUE;
}

/* Orders and faults.  */

static Database *
find (Platform *p, const char *id)
{
  for (guint i = 0; i < MD_DATABASES; i++)
    if (g_strcmp0 (p->databases[i].model->id, id) == 0)
      return &p->databases[i];
  return NULL;
}

typedef struct
{
  Platform *platform;
  char *id;
  guint64 token;
} Order;

/* The answer says that an order was taken; it takes effect here.  */
static gboolean
promote (gpointer data)
{
  Order *order = data;
  Platform *p = order->platform;
  if (md_promote (&p->group, order->id, order->token))
    p->promotions++;
  g_free (order->id);
  g_free (order);
  return G_SOURCE_REMOVE;
}

static void
take_order (Platform *p, SoupServerMessage *msg, const char *id,
            const char *holder, guint64 token)
{
  gboolean good = md_take_order (&p->group, id, holder, token);
  soup_server_message_set_status (msg, good ? 200 : 409, NULL);
  if (!good)
    return;
  Order *order = g_new0 (Order, 1);
  order->platform = p;
  order->id = g_strdup (id);
  order->token = token;
  g_timeout_add (PROMOTE_MS, promote, order);
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
    take_order (data, msg, json_object_get_string (id), holder,
                g_ascii_strtoull (token, NULL, 10));
  json_object_put (body);
}

static void
crash (Platform *p, Database *db)
{
  md_crash (&p->group, db->model);
  g_ptr_array_set_size (db->sessions, 0);
}

static gboolean
injure (Platform *p, Database *db, const char *what)
{
  if (strcmp (what, "crash") == 0)
    crash (p, db);
  else if (strcmp (what, "start") == 0)
    {
      md_start (&p->group, db->model);
      db->born = g_get_real_time () / 1000;
      db->sequence = 0;
    }
  else if (strcmp (what, "deaf") == 0 || strcmp (what, "hear") == 0)
    db->model->deaf = strcmp (what, "deaf") == 0;
  else if (strcmp (what, "lag") == 0 || strcmp (what, "fresh") == 0)
    db->lags = strcmp (what, "lag") == 0;
  else if (strcmp (what, "lose") == 0)
    db->loses = TRUE;
  else if (strcmp (what, "drain") == 0)
    db->drains = TRUE;
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
  Database *db = find (p, id);
  gboolean good = db != NULL && what != NULL && injure (p, db, what);
  soup_server_message_set_status (msg, good ? 200 : 400, NULL);
}

/* One line for each database: its id, whether it leads, its position.  */
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
      const MdDatabase *d = &p->group.databases[i];
      g_string_append_printf (out, "%s %s log=%u applied=%u\n", d->id,
                              md_leads (&p->group, d) ? "primary" : "replica",
                              d->log->len, d->applied);
    }
  g_string_append_printf (out, "promotions=%u violations=%u\n",
                          (guint)p->promotions, p->group.violations);
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

static gboolean
start_database (Platform *p, guint i, const CfAddress *base, GmStatus *status)
{
  Database *db = &p->databases[i];
  db->platform = p;
  db->model = &p->group.databases[i];
  db->address.ip = g_strdup (base->ip);
  db->address.port = (guint16)(base->port + 1 + i);
  db->born = g_get_real_time () / 1000;
  db->sessions = g_ptr_array_new_with_free_func (session_free);
  db->listener = ns_listen (&db->address, on_accept, db, status);
  return db->listener != NULL;
}

static int
serve (const char *listen, const char *const *control, int count)
{
  Platform p = { 0 };
  GmStatus status;
  CfAddress base = { 0 };
  if (!cf_address_parse (listen, &base))
    {
      fprintf (stderr, "--listen must be an IP number and a port\n");
      return gm_kind_exit (GM_INVALID);
    }
  md_init (&p.group, complain);
  p.changes = g_array_new (FALSE, FALSE, sizeof (Change));
  p.control = g_ptr_array_new ();
  p.client = soup_session_new_with_options ("timeout", 1, NULL);
  p.server = soup_server_new (NULL, NULL);
  for (int i = 0; i < count; i++)
    g_ptr_array_add (p.control, (gpointer)control[i]);
  g_autoptr (GSocketAddress) at
      = g_inet_socket_address_new_from_string (base.ip, base.port);
  gboolean good = soup_server_listen (p.server, at, 0, NULL);
  for (guint i = 0; good && i < MD_DATABASES; i++)
    good = start_database (&p, i, &base, &status);
  if (!good)
    {
      fprintf (stderr, "%s can't be listened on\n", listen);
      return gm_kind_exit (GM_IO);
    }
  soup_server_add_handler (p.server, "/promotion", on_promotion, &p, NULL);
  soup_server_add_handler (p.server, "/fault", on_fault, &p, NULL);
  soup_server_add_handler (p.server, "/state", on_state, &p, NULL);
  g_timeout_add (HEARTBEAT_MS, beat_all, &p);
  g_timeout_add (TICK_MS, tick, &p);
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  g_unix_signal_add (SIGTERM, quit, loop);
  g_main_loop_run (loop);
  return p.group.violations > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  struct arg_str *listen = arg_str1 (
      NULL, "listen", "IP:PORT", "orders and faults; databases listen next");
  struct arg_str *control = arg_strn (NULL, "control", "IP:PORT", 1, 8,
                                      "a control host; may be repeated");
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
