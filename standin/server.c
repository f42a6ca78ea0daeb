#include "server.h"
#include "statement.h"
#include <gio/gio.h>
#include <string.h>

#define MESSAGE_MAX (1024 * 1024) /* bytes */
#define READ_CHUNK_BYTES 16384
#define PROTOCOL_VERSION_3 196608
#define SSL_REQUEST 80877103
#define GSS_REQUEST 80877104
#define CANCEL_REQUEST 80877102
#define LISTEN_BACKLOG 256

typedef struct
{
  StServer *server;
  GSocketConnection *connection;
  GCancellable *cancellable;
  GByteArray *in;
  GByteArray *out;
  GByteArray *sending;
  guint8 *chunk;
  gboolean started;
  gboolean skipping; /* after an error, until the next Sync */
  gboolean in_block;
  gboolean block_failed;
  gboolean waiting;     /* for a slot, its service time or the startup delay */
  gboolean peer_closed; /* the statement in progress still runs */
  gboolean closed;
  gboolean holds_slot;
  guint refs;
  guint timer;
  GPtrArray *changes;
  const StStatement *statement;
  GPtrArray *params;
} Session;

struct StServer
{
  StStore *store;
  StLimits *limits;
  StSwitches *switches;
  GSocketService *service;
  guint open_sessions;
  guint busy_slots;
  GQueue slot_queue; /* Session *, waiting for a slot */
};

static void
session_unref (Session *s)
{
  if (--s->refs > 0)
    return;
  g_object_unref (s->connection);
  g_object_unref (s->cancellable);
  g_byte_array_unref (s->in);
  g_byte_array_unref (s->out);
  g_ptr_array_unref (s->changes);
  g_clear_pointer (&s->params, g_ptr_array_unref);
  g_free (s->chunk);
  g_free (s);
}

static void start_queued (StServer *server);

static void
release_slot (Session *s)
{
  if (!s->holds_slot)
    return;
  s->holds_slot = FALSE;
  s->server->busy_slots--;
  start_queued (s->server);
}

static void
session_close (Session *s)
{
  if (s->closed)
    return;
  s->closed = TRUE;
  g_clear_handle_id (&s->timer, g_source_remove);
  g_queue_remove (&s->server->slot_queue, s);
  s->server->open_sessions--;
  g_cancellable_cancel (s->cancellable);
  g_io_stream_close_async (G_IO_STREAM (s->connection), G_PRIORITY_DEFAULT,
                           NULL, NULL, NULL);
  release_slot (s);
  session_unref (s);
}

static void
put_u32 (GByteArray *out, guint32 value)
{
  guint32 be = GUINT32_TO_BE (value);
  g_byte_array_append (out, (const guint8 *)&be, 4);
}

static void
put_u16 (GByteArray *out, guint16 value)
{
  guint16 be = GUINT16_TO_BE (value);
  g_byte_array_append (out, (const guint8 *)&be, 2);
}

static void
put_text (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const guint8 *)text, (guint)strlen (text) + 1);
}

/* Appends a message of TYPE with BODY and empties BODY.  */
static void
put_message (Session *s, char type, GByteArray *body)
{
  g_byte_array_append (s->out, (const guint8 *)&type, 1);
  put_u32 (s->out, body->len + 4);
  g_byte_array_append (s->out, body->data, body->len);
  g_byte_array_set_size (body, 0);
}

static void
put_empty (Session *s, char type)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  put_message (s, type, body);
}

static void flush (Session *s);

static void
flushed (GObject *source, GAsyncResult *result, gpointer data)
{
  Session *s = data;
  gboolean good = g_output_stream_write_all_finish (G_OUTPUT_STREAM (source),
                                                    result, NULL, NULL);
  g_clear_pointer (&s->sending, g_byte_array_unref);
  if (!good && !s->waiting)
    session_close (s);
  else if (good && !s->closed)
    flush (s);
  session_unref (s);
}

static void
flush (Session *s)
{
  if (s->sending != NULL || s->out->len == 0 || s->closed)
    return;
  s->sending = s->out;
  s->out = g_byte_array_new ();
  s->refs++;
  g_output_stream_write_all_async (
      g_io_stream_get_output_stream (G_IO_STREAM (s->connection)),
      s->sending->data, s->sending->len, G_PRIORITY_DEFAULT, s->cancellable,
      flushed, s);
}

static void
put_error (Session *s, const char *severity, const char *state,
           const char *message)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  const struct
  {
    char field;
    const char *text;
  } fields[] = {
    { 'S', severity }, { 'V', severity }, { 'C', state }, { 'M', message }
  };
  for (gsize i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      g_byte_array_append (body, (const guint8 *)&fields[i].field, 1);
      put_text (body, fields[i].text);
    }
  g_byte_array_append (body, (const guint8 *)"", 1);
  put_message (s, 'E', body);
}

static void
statement_failed (Session *s, const char *state, const char *message)
{
  put_error (s, "ERROR", state, message);
  s->skipping = TRUE;
  if (s->in_block)
    s->block_failed = TRUE;
}

static void
put_ready (Session *s)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  const char *state = !s->in_block ? "I" : s->block_failed ? "E" : "T";
  g_byte_array_append (body, (const guint8 *)state, 1);
  put_message (s, 'Z', body);
}

static void
put_columns (Session *s, const StStatement *statement)
{
  guint count = st_statement_columns (statement);
  if (count == 0)
    {
      put_empty (s, 'n');
      return;
    }
  g_autoptr (GByteArray) body = g_byte_array_new ();
  put_u16 (body, (guint16)count);
  for (guint i = 0; i < count; i++)
    {
      put_text (body, statement->columns[i]);
      put_u32 (body, 0);  /* table */
      put_u16 (body, 0);  /* column */
      put_u32 (body, 25); /* type: text */
      put_u16 (body, G_MAXUINT16);
      put_u32 (body, G_MAXUINT32);
      put_u16 (body, 0); /* format: text */
    }
  put_message (s, 'T', body);
}

static guint
put_rows (Session *s, const StStatement *statement, GPtrArray *values)
{
  guint columns = st_statement_columns (statement);
  g_autoptr (GByteArray) body = g_byte_array_new ();
  guint rows = columns > 0 ? values->len / columns : 0;
  for (guint row = 0; row < rows; row++)
    {
      put_u16 (body, (guint16)columns);
      for (guint i = 0; i < columns; i++)
        {
          const char *value = g_ptr_array_index (values, row * columns + i);
          put_u32 (body, (guint32)strlen (value));
          g_byte_array_append (body, (const guint8 *)value,
                               (guint)strlen (value));
        }
      put_message (s, 'D', body);
    }
  return rows;
}

static void
put_complete (Session *s, const char *tag)
{
  g_autoptr (GByteArray) body = g_byte_array_new ();
  put_text (body, tag);
  put_message (s, 'C', body);
}

/* Updates the transaction state of S after the statement TEXT, which returned
   ROWS rows.  Returns its command tag, which may be in BUFFER.  */
static const char *
finish_statement (Session *s, const char *text, guint rows, char *buffer,
                  gsize size)
{
  if (strcmp (text, "BEGIN") == 0)
    {
      s->in_block = TRUE;
      s->block_failed = FALSE;
    }
  else if (strcmp (text, "ROLLBACK") == 0 || strcmp (text, "COMMIT") == 0)
    {
      const char *tag = s->block_failed ? "ROLLBACK" : text;
      s->in_block = FALSE;
      s->block_failed = FALSE;
      g_ptr_array_set_size (s->changes, 0);
      return tag;
    }
  else if (rows > 0 || strchr ("gs", text[0]) != NULL)
    {
      g_snprintf (buffer, size, "SELECT %u", rows);
      return buffer;
    }
  return text;
}

static void
run_statement (Session *s)
{
  const StStatement *statement = s->statement;
  gboolean ends_block = strcmp (statement->prefix, "ROLLBACK") == 0
                        || strcmp (statement->prefix, "COMMIT") == 0;
  if (s->block_failed && !ends_block)
    {
      statement_failed (s, "25P02", "the transaction has failed");
      return;
    }
  StAnswer answer = { .values = g_ptr_array_new_with_free_func (g_free) };
  StContext context = { .store = s->server->store,
                        .switches = s->server->switches,
                        .limits = s->server->limits,
                        .now = gm_now (gm_clock_system ()),
                        .params = s->params,
                        .in_block = s->in_block,
                        .changes = s->changes };
  if (!s->block_failed)
    statement->run (&context, &answer);
  if (answer.sqlstate != NULL)
    {
      statement_failed (s, answer.sqlstate, answer.message);
      if (ends_block)
        s->in_block = s->block_failed = FALSE;
    }
  else
    {
      char tag[32];
      guint rows = put_rows (s, statement, answer.values);
      put_complete (
          s, finish_statement (s, statement->prefix, rows, tag, sizeof tag));
    }
  g_ptr_array_unref (answer.values);
}

static void handle_input (Session *s);

static gboolean
slot_done (gpointer data)
{
  Session *s = data;
  s->timer = 0;
  s->waiting = FALSE;
  run_statement (s);
  s->refs++;
  release_slot (s);
  handle_input (s);
  session_unref (s);
  return G_SOURCE_REMOVE;
}

static void
start_in_slot (Session *s)
{
  GmTime takes
      = s->server->limits->service_time + s->server->switches->answer_delay;
  if (strcmp (s->statement->prefix, "sleep") == 0
      && g_ptr_array_index (s->params, 0) != NULL)
    takes += GM_MS
             * g_ascii_strtoll (g_ptr_array_index (s->params, 0), NULL, 10);
  s->holds_slot = TRUE;
  s->server->busy_slots++;
  s->timer = g_timeout_add ((guint)(MAX (takes, 0) / GM_MS), slot_done, s);
}

static void
start_queued (StServer *server)
{
  while (server->busy_slots < server->limits->slots
         && server->slot_queue.length > 0)
    start_in_slot (g_queue_pop_head (&server->slot_queue));
}

static void
execute (Session *s)
{
  if (s->statement == NULL)
    {
      statement_failed (s, "26000", "nothing was prepared");
      return;
    }
  if (!s->statement->needs_slot)
    {
      run_statement (s);
      return;
    }
  s->waiting = TRUE;
  g_queue_push_tail (&s->server->slot_queue, s);
  start_queued (s->server);
}

/* Reads the fields of one message.  */
typedef struct
{
  const guint8 *at;
  gsize left;
  gboolean bad;
} Cursor;

static guint32
get_number (Cursor *c, gsize bytes)
{
  guint32 value = 0;
  if (c->left < bytes)
    {
      c->bad = TRUE;
      return 0;
    }
  for (gsize i = 0; i < bytes; i++)
    value = (value << 8) | c->at[i];
  c->at += bytes;
  c->left -= bytes;
  return value;
}

static const char *
get_text (Cursor *c)
{
  const guint8 *end = memchr (c->at, '\0', c->left);
  if (end == NULL)
    {
      c->bad = TRUE;
      return "";
    }
  const char *text = (const char *)c->at;
  c->left -= (gsize)(end - c->at) + 1;
  c->at = end + 1;
  return text;
}

static void
parse (Session *s, Cursor *c)
{
  get_text (c);
  const char *sql = get_text (c);
  s->statement = c->bad ? NULL : st_statement_find (sql);
  if (s->statement == NULL)
    statement_failed (s, "42601", "the statement is not known");
  else
    put_empty (s, '1');
}

static void
bind (Session *s, Cursor *c)
{
  get_text (c);
  get_text (c);
  guint formats = get_number (c, 2);
  for (guint i = 0; i < formats; i++)
    get_number (c, 2);
  guint count = get_number (c, 2);
  g_clear_pointer (&s->params, g_ptr_array_unref);
  s->params = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < count && !c->bad; i++)
    {
      guint32 length = get_number (c, 4);
      if (length == G_MAXUINT32)
        g_ptr_array_add (s->params, NULL);
      else if (length > c->left)
        c->bad = TRUE;
      else
        {
          g_ptr_array_add (s->params, g_strndup ((const char *)c->at, length));
          c->at += length;
          c->left -= length;
        }
    }
  if (c->bad || s->statement == NULL
      || s->params->len != s->statement->param_count)
    statement_failed (s, "08P01", "wrong number of parameters");
  else
    put_empty (s, '2');
}

static void
handle_message (Session *s, char type, Cursor *c)
{
  if (type == 'X')
    session_close (s);
  else if (type == 'S')
    {
      s->skipping = FALSE;
      put_ready (s);
    }
  else if (s->skipping || type == 'H')
    return;
  else if (type == 'P')
    parse (s, c);
  else if (type == 'B')
    bind (s, c);
  else if (type == 'D' && s->statement != NULL)
    put_columns (s, s->statement);
  else if (type == 'E')
    execute (s);
  else if (type == 'C')
    put_empty (s, '3');
  else
    statement_failed (s, "08P01", "this message is not served here");
}

static gboolean
startup_done (gpointer data)
{
  Session *s = data;
  s->timer = 0;
  s->waiting = FALSE;
  g_autoptr (GByteArray) body = g_byte_array_new ();
  const char *const settings[][2]
      = { { "server_version", "15.0" },
          { "client_encoding", "UTF8" },
          { "standard_conforming_strings", "on" } };
  put_u32 (body, 0);
  put_message (s, 'R', body);
  for (gsize i = 0; i < G_N_ELEMENTS (settings); i++)
    {
      put_text (body, settings[i][0]);
      put_text (body, settings[i][1]);
      put_message (s, 'S', body);
    }
  put_u32 (body, 1);
  put_u32 (body, 1);
  put_message (s, 'K', body);
  put_ready (s);
  handle_input (s);
  return G_SOURCE_REMOVE;
}

static void
handle_startup (Session *s, Cursor *c)
{
  guint32 code = get_number (c, 4);
  if (code == SSL_REQUEST || code == GSS_REQUEST)
    {
      g_byte_array_append (s->out, (const guint8 *)"N", 1);
      return;
    }
  if (code != PROTOCOL_VERSION_3)
    {
      session_close (s); /* a cancel request, or an unsupported protocol */
      return;
    }
  s->started = TRUE;
  if (s->server->open_sessions > s->server->limits->connections)
    {
      put_error (s, "FATAL", "53300", "too many connections");
      flush (s);
      return;
    }
  s->waiting = TRUE;
  s->timer = g_timeout_add ((guint)(s->server->limits->connect_time / GM_MS),
                            startup_done, s);
}

/* Handles the complete messages that have arrived, up to a statement that has
   to wait.  */
static void
handle_input (Session *s)
{
  s->refs++;
  while (!s->closed && !s->waiting)
    {
      gsize type_bytes = s->started ? 1 : 0;
      if (s->in->len < type_bytes + 4)
        break;
      Cursor c = { s->in->data + type_bytes, s->in->len - type_bytes, FALSE };
      guint32 length = get_number (&c, 4);
      if (length < 4 || length > MESSAGE_MAX)
        {
          session_close (s);
          break;
        }
      if (c.left < length - 4)
        break;
      char type = (char)s->in->data[0];
      c.left = length - 4;
      if (s->started)
        handle_message (s, type, &c);
      else
        handle_startup (s, &c);
      g_byte_array_remove_range (s->in, 0, (guint)type_bytes + length);
    }
  flush (s);
  if (s->peer_closed && !s->waiting)
    session_close (s);
  session_unref (s);
}

static void read_more (Session *s);

static void
read_done (GObject *source, GAsyncResult *result, gpointer data)
{
  Session *s = data;
  gssize count
      = g_input_stream_read_finish (G_INPUT_STREAM (source), result, NULL);
  if (count <= 0 && s->waiting && s->started)
    s->peer_closed = TRUE;
  else if (count <= 0)
    session_close (s);
  else if (!s->closed)
    {
      g_byte_array_append (s->in, s->chunk, (guint)count);
      handle_input (s);
      if (!s->closed)
        read_more (s);
    }
  session_unref (s);
}

static void
read_more (Session *s)
{
  s->refs++;
  g_input_stream_read_async (
      g_io_stream_get_input_stream (G_IO_STREAM (s->connection)), s->chunk,
      READ_CHUNK_BYTES, G_PRIORITY_DEFAULT, s->cancellable, read_done, s);
}

static gboolean
on_connection (GSocketService *service, GSocketConnection *connection,
               GObject *source, gpointer data)
{
  (void)service;
  (void)source;
  Session *s = g_new0 (Session, 1);
  s->server = data;
  s->server->open_sessions++;
  s->refs = 1;
  s->connection = g_object_ref (connection);
  s->cancellable = g_cancellable_new ();
  s->in = g_byte_array_new ();
  s->out = g_byte_array_new ();
  s->chunk = g_malloc (READ_CHUNK_BYTES);
  s->changes = g_ptr_array_new_with_free_func (g_free);
  g_socket_set_option (g_socket_connection_get_socket (connection), 6, 1, 1,
                       NULL); /* IPPROTO_TCP, TCP_NODELAY */
  read_more (s);
  return TRUE;
}

StServer *
st_server_new (StStore *store, StLimits *limits, StSwitches *switches,
               GmStatus *status)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) wanted = g_inet_socket_address_new_from_string (
      limits->address.ip, limits->address.port);
  g_autoptr (GSocketAddress) bound = NULL;
  StServer *server = g_new0 (StServer, 1);
  server->store = store;
  server->limits = limits;
  server->switches = switches;
  server->service = g_socket_service_new ();
  g_queue_init (&server->slot_queue);
  g_socket_listener_set_backlog (G_SOCKET_LISTENER (server->service),
                                 LISTEN_BACKLOG);
  if (!g_socket_listener_add_address (
          G_SOCKET_LISTENER (server->service), wanted, G_SOCKET_TYPE_STREAM,
          G_SOCKET_PROTOCOL_TCP, NULL, &bound, &error))
    {
      gm_fail (status, GM_IO, "%s", error->message);
      g_object_unref (server->service);
      g_free (server);
      return NULL;
    }
  limits->address.port
      = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  g_signal_connect (server->service, "incoming", G_CALLBACK (on_connection),
                    server);
  return server;
}

void
st_server_free (StServer *server)
{
  g_socket_service_stop (server->service);
  g_object_unref (server->service);
  g_free (server);
}
