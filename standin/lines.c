#include "lines.h"
#include <string.h>

typedef struct
{
  PdDatabase *database;
  NsStream *stream;
  LnReader *reader;
  gboolean started;
  char *customer; /* as START named it */
  char state;     /* I: idle, T: in a transaction, E: in a failed one */
  gboolean read_only;
  GArray *writes;       /* guint64 */
  GHashTable *values;   /* values that SET has set */
  GHashTable *prepared; /* name -> "READ shape" or "WRITE shape" */
} Session;

/* The item that a write sets, and its new value.  */
typedef struct
{
  char *item;
  char *data;
} Change;

static GmTime
now (void)
{
  return gm_now (gm_clock_system ());
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
  g_free (s->customer);
  g_free (s);
}

static void
end_session (Session *s)
{
  g_ptr_array_remove (s->database->sessions, s);
}

static void send_text (Session *s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
send_text (Session *s, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  ns_write (s->stream, text, strlen (text));
}

static void
send_ready (Session *s)
{
  g_autoptr (GString) out = g_string_new (NULL);
  const MdDatabase *d = s->database->model;
  ln_put_ready (out, s->state, md_position (d, d->applied));
  ns_write (s->stream, out->str, out->len);
}

static void
send_done (Session *s, const char *id)
{
  if (strcmp (id, "-") == 0)
    send_text (s, "DONE -\r\n");
  else
    send_text (s, "DONE sig.%s\r\n", id);
  send_ready (s);
}

static void
send_error (Session *s, const char *code)
{
  if (s->state == 'T')
    s->state = 'E';
  send_text (s, "ERR %s %s\r\n", code, s->database->model->id);
  send_ready (s);
}

/* An item "NAME:..." may be used only on connections of the customer NAME.  */
static void
check_item (const Session *s, const char *item)
{
  const char *colon = strchr (item, ':');
  if (colon != NULL
      && (strlen (s->customer) != (gsize)(colon - item)
          || strncmp (s->customer, item, (gsize)(colon - item)) != 0))
    md_report_violation (&s->database->group->model,
                         "a statement runs on another customer's connection");
}

/* Returns the newest value of ITEM in the applied part of D's log.  */
static const char *
newest_value (const PdGroup *group, const MdDatabase *d, const char *item)
{
  for (guint i = d->applied; i-- > 0;)
    {
      const MdCommit *c = g_ptr_array_index (d->log, i);
      for (guint j = c->writes->len; j-- > 0;)
        {
          guint64 uid = g_array_index (c->writes, guint64, j);
          const Change *change
              = &g_array_index (group->changes, Change, uid - 1);
          if (strcmp (change->item, item) == 0)
            return change->data;
        }
    }
  return "none";
}

/* Commits the writes of S.  Returns FALSE when S was freed.  */
static gboolean
commit_writes (Session *s, const char *id)
{
  PdDatabase *db = s->database;
  PdGroup *group = db->group;
  gboolean confirmed
      = s->writes->len == 0
        || md_append (&group->model, now (), db->model, s->writes);
  g_array_set_size (s->writes, 0);
  s->state = 'I';
  if (db->drop_next_answer)
    {
      db->drop_next_answer = FALSE;
      end_session (s);
      return FALSE;
    }
  /* A commit that no replica has received gets no answer.  */
  if (confirmed)
    send_done (s, id);
  return TRUE;
}

static void
record_write (Session *s, const char *item, const char *data)
{
  PdGroup *group = s->database->group;
  Change change = { g_strdup (item), g_strdup (data) };
  g_array_append_val (group->changes, change);
  guint64 uid = group->changes->len;
  g_array_append_val (s->writes, uid);
}

static gboolean
run_write (Session *s, const char *id, const char *item, const char *data)
{
  const PdDatabase *db = s->database;
  check_item (s, item);
  if (!md_acts_as_primary (&db->group->model, db->model))
    {
      send_error (s, "READONLY");
      return TRUE;
    }
  record_write (s, item, data);
  if (s->state == 'T')
    {
      send_done (s, id);
      return TRUE;
    }
  return commit_writes (s, id);
}

static void
run_read (Session *s, const char *id, const char *item, TkPoint after)
{
  const PdDatabase *db = s->database;
  check_item (s, item);
  if (!md_contains (db->model, db->model->applied, after))
    {
      send_error (s, "LAGGING");
      return;
    }
  send_text (s, "ROW %s %s values=%u\r\n",
             newest_value (db->group, db->model, item), db->model->id,
             g_hash_table_size (s->values));
  send_done (s, id);
}

static void
run_control_call (Session *s, FoCall call, guint64 term)
{
  FoDatabaseStatus status;
  MdDatabase *d = s->database->model;
  md_control_call (d, call, term, &status);
  send_text (s,
             "ROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
             ".%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " 0 1 1\r\n",
             status.primary ? "primary" : "replica", status.term,
             status.last_term, status.received, status.sealed_term);
  send_done (s, "-");
}

static void
run_begin (Session *s, const char *id, gboolean read_only, TkPoint after)
{
  const PdDatabase *db = s->database;
  if (!read_only && !md_acts_as_primary (&db->group->model, db->model))
    send_error (s, "READONLY");
  else if (!md_contains (db->model, db->model->applied, after))
    send_error (s, "LAGGING");
  else
    {
      s->state = 'T';
      s->read_only = read_only;
      send_done (s, id);
    }
}

/* Returns the next word of *AT, or "" when *AT is NULL, and moves *AT past the
   word.  *AT becomes NULL after the last word.  */
static char *
next_word (char **at)
{
  char *start = *at != NULL ? *at : (char *)"";
  char *blank = strchr (start, ' ');
  if (blank != NULL)
    *blank++ = '\0';
  *at = blank;
  return start;
}

static TkPoint
parse_point (const char *text)
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
  const char *name = next_word (&at);
  const char *item = next_word (&at);
  const char *shape = g_hash_table_lookup (s->prepared, name);
  if (shape == NULL)
    send_error (s, "NOSTMT");
  else if (g_str_has_prefix (shape, "WRITE"))
    return run_write (s, id, item, at != NULL ? at : "");
  else
    run_read (s, id, item, after);
  return TRUE;
}

/* Runs a command that changes only the session.  Returns FALSE when VERB is
   not such a command.  */
static gboolean
run_session_command (Session *s, const char *id, const char *verb, char *at)
{
  if (strcmp (verb, "DISCARD") == 0)
    {
      g_hash_table_remove_all (s->values);
      g_hash_table_remove_all (s->prepared);
    }
  else if (strcmp (verb, "SET") == 0)
    {
      char *name = next_word (&at);
      g_hash_table_replace (s->values, g_strdup (name),
                            g_strdup (at != NULL ? at : ""));
    }
  else if (strcmp (verb, "PREPARE") == 0)
    {
      char *name = next_word (&at);
      g_hash_table_replace (s->prepared, g_strdup (name),
                            g_strdup (at != NULL ? at : ""));
    }
  else
    return FALSE;
  send_done (s, id);
  return TRUE;
}

/* Runs the query TEXT.  Returns FALSE when S was freed.  */
static gboolean
run_query (Session *s, const char *id, char *text)
{
  TkPoint after = { 0, 0 };
  char *at = text;
  const char *verb = next_word (&at);
  if (strcmp (verb, "AFTER") == 0)
    {
      after = parse_point (next_word (&at));
      verb = next_word (&at);
    }
  if (run_session_command (s, id, verb, at))
    return TRUE;
  if (strcmp (verb, "BEGIN") == 0)
    run_begin (s, id, at != NULL, after);
  else if (strcmp (verb, "ROLLBACK") == 0)
    {
      g_array_set_size (s->writes, 0);
      s->state = 'I';
      send_done (s, id);
    }
  else if (strcmp (verb, "STATUS") == 0)
    run_control_call (s, FO_CALL_STATUS, 0);
  else if (strcmp (verb, "PAUSE") == 0)
    run_control_call (s, FO_CALL_SEAL,
                      g_ascii_strtoull (at != NULL ? at : "0", NULL, 10));
  else if (strcmp (verb, "UNPAUSE") == 0)
    run_control_call (s, FO_CALL_UNSEAL, 0);
  else if (strcmp (verb, "STEPDOWN") == 0)
    run_control_call (s, FO_CALL_STEP_DOWN,
                      g_ascii_strtoull (at != NULL ? at : "0", NULL, 10));
  else if (s->state == 'E')
    send_error (s, "MALFORMED");
  else if (s->state == 'T' && !s->read_only
           && !md_acts_as_primary (&s->database->group->model,
                                   s->database->model))
    send_error (s, "READONLY");
  else if (strcmp (verb, "COMMIT") == 0)
    return commit_writes (s, id);
  else if (strcmp (verb, "READ") == 0)
    run_read (s, id, at != NULL ? at : "", after);
  else if (strcmp (verb, "WRITE") == 0)
    {
      const char *item = next_word (&at);
      return run_write (s, id, item, at != NULL ? at : "");
    }
  else if (strcmp (verb, "EXEC") == 0)
    return run_execute (s, id, at, after);
  else
    send_error (s, "MALFORMED");
  return TRUE;
}

/* Handles one request line.  Returns FALSE when S was freed.  */
static gboolean
handle_request (Session *s, char *line)
{
  LnRequest r;
  GmStatus status = GM_STATUS_UNSET;
  const MdDatabase *d = s->database->model;
  if (ln_parse_request (line, &r, &status) != GM_OK || r.type == LN_BYE)
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
  gboolean right
      = !s->started && strcmp (r.database, PD_GROUP) == 0
        && (r.expected_id == NULL || strcmp (r.expected_id, d->id) == 0);
  if (!right)
    {
      send_text (s, "ERR WRONGNODE %s\r\n", d->id);
      end_session (s);
      return FALSE;
    }
  s->started = TRUE;
  s->customer = g_strdup (r.key != NULL ? r.key : "");
  g_hash_table_add (s->database->group->customers, g_strdup (s->customer));
  send_ready (s);
  return TRUE;
}

static void
on_data (NsStream *stream, const char *data, gsize length, gpointer owner)
{
  (void)stream;
  Session *s = owner;
  char *line;
  ln_feed (s->reader, data, length);
  while (ln_next_line (s->reader, &line, NULL) == GM_OK && line != NULL)
    if (!handle_request (s, line))
      return;
}

static void
on_closed (NsStream *stream, const char *why, gpointer owner)
{
  (void)stream;
  (void)why;
  Session *s = owner;
  s->stream = NULL; /* a closed stream frees itself */
  end_session (s);
}

static const NsHandler handler = { .data = on_data, .closed = on_closed };

static void
on_accept (GSocket *socket, gpointer owner)
{
  PdDatabase *db = owner;
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

static gboolean
start_database (PdGroup *group, guint i, const CfAddress *base,
                GmStatus *status)
{
  PdDatabase *db = &group->databases[i];
  db->group = group;
  db->model = &group->model.databases[i];
  db->address.ip = g_strdup (base->ip);
  db->address.port = (guint16)(base->port + 1 + i);
  db->started_ms = g_get_real_time () / 1000;
  db->sessions = g_ptr_array_new_with_free_func (session_free);
  db->listener = ns_listen (&db->address, on_accept, db, status);
  return db->listener != NULL;
}

gboolean
pd_start (PdGroup *group, const CfAddress *base,
          void (*violation) (const char *what), GmStatus *status)
{
  gboolean good = TRUE;
  md_init (&group->model, violation);
  group->changes = g_array_new (FALSE, FALSE, sizeof (Change));
  group->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; good && i < MD_DATABASES; i++)
    good = start_database (group, i, base, status);
  return good;
}

void
pd_drop_sessions (PdDatabase *db)
{
  g_ptr_array_set_size (db->sessions, 0);
}
