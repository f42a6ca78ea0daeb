#include "replicate.h"
#include "dbapi/dbapi.h"
#include "wire/message.h"
#include <string.h>

#define PULL_INTERVAL_MS 2
#define PULL_ANSWER_BYTES_MAX (16 * 1024 * 1024)
#define SQL_PULL "SELECT * FROM galenamount.pull($1, $2, $3)"

struct StReplica
{
  StStore *store;
  StSwitches *switches;
  DbConn *conn;
  gboolean ready;
  gboolean pulling;
  guint64 pull_term;
  char *connected_to;
  GBytes *params;
  guint timer;
};

static void
drop_connection (StReplica *r)
{
  if (r->conn != NULL)
    db_close (r->conn);
  r->conn = NULL;
  r->ready = FALSE;
  r->pulling = FALSE;
  g_clear_pointer (&r->connected_to, g_free);
}

static GBytes *
from_hex (const char *text)
{
  gsize length = strlen (text) / 2;
  guint8 *data = g_malloc (length + 1);
  for (gsize i = 0; i < length; i++)
    data[i] = (guint8)(g_ascii_xdigit_value (text[2 * i]) << 4
                       | g_ascii_xdigit_value (text[2 * i + 1]));
  return g_bytes_new_take (data, length);
}

static guint64
number_at (const DbRows *rows, guint row, guint column)
{
  const char *text = db_rows_value (rows, row, column);
  return text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static void
receive_entries (StReplica *r, const DbRows *rows)
{
  GmTime now = gm_now (gm_clock_system ());
  guint64 end, end_term;
  guint64 common = number_at (rows, 0, 0);
  st_last_entry (r->store, &end, &end_term);
  if (common < end)
    st_truncate (r->store, common);
  for (guint row = 1; row < db_rows_count (rows); row++)
    {
      g_autoptr (GBytes) changes = from_hex (db_rows_value (rows, row, 2));
      StEntry entry
          = { number_at (rows, row, 0), number_at (rows, row, 1), changes };
      st_last_entry (r->store, &end, &end_term);
      if (entry.index == end + 1)
        st_receive (r->store, now, &entry);
    }
}

static void
pull_done (DbConn *conn, const DpOutcome *outcome, gpointer data)
{
  (void)conn;
  StReplica *r = data;
  DbRows rows;
  r->pulling = FALSE;
  /* Ignores an answer to a pull of an earlier term: its entries may be ones
     that this database, sealed since, must not take.  */
  if (outcome->kind != GM_OK || outcome->rows == NULL
      || r->pull_term != st_term (r->store) || st_is_primary (r->store)
      || r->switches->cut_from_peers)
    return;
  if (!db_rows_decode (outcome->rows, &rows))
    return;
  if (db_rows_count (&rows) > 0 && number_at (&rows, 0, 1) == r->pull_term)
    receive_entries (r, &rows);
  db_rows_clear (&rows);
}

static void
connected (DbConn *conn, gpointer data)
{
  (void)conn;
  ((StReplica *)data)->ready = TRUE;
}

static void
connection_lost (DbConn *conn, const char *message, gpointer data)
{
  (void)conn;
  (void)message;
  StReplica *r = data;
  r->conn = NULL;
  drop_connection (r);
}

static const DbHandler handler
    = { .ready = connected, .done = pull_done, .lost = connection_lost };

static void
start_pull (StReplica *r)
{
  guint64 end, end_term;
  st_last_entry (r->store, &end, &end_term);
  r->pull_term = st_term (r->store);
  char numbers[3][24];
  const guint64 values[] = { r->pull_term, end, end_term };
  const char *params[3];
  for (int i = 0; i < 3; i++)
    {
      g_snprintf (numbers[i], sizeof numbers[i], "%" G_GUINT64_FORMAT,
                  values[i]);
      params[i] = numbers[i];
    }
  g_clear_pointer (&r->params, g_bytes_unref);
  r->params = wm_strings_encode (params, 3);
  DbCall call
      = { .type = DB_PLAIN, .statement = SQL_PULL, .params = r->params };
  r->pulling = TRUE;
  db_run (r->conn, &call);
}

static gboolean
pull_due (gpointer data)
{
  StReplica *r = data;
  const char *address = r->switches->follow_address;
  gboolean follows = address != NULL && !st_is_primary (r->store)
                     && !r->switches->cut_from_peers;
  if (!follows || g_strcmp0 (address, r->connected_to) != 0)
    drop_connection (r);
  if (!follows)
    return G_SOURCE_CONTINUE;
  if (r->conn == NULL)
    {
      DbTarget target = { .rows_max = PULL_ANSWER_BYTES_MAX };
      if (!cf_address_parse (address, &target.address))
        return G_SOURCE_CONTINUE;
      r->connected_to = g_strdup (address);
      r->conn = db_postgres_open (&target, &handler, r);
      g_free (target.address.ip);
    }
  else if (r->ready && !r->pulling)
    start_pull (r);
  return G_SOURCE_CONTINUE;
}

StReplica *
st_replica_new (StStore *store, StSwitches *switches)
{
  StReplica *r = g_new0 (StReplica, 1);
  r->store = store;
  r->switches = switches;
  r->timer = g_timeout_add (PULL_INTERVAL_MS, pull_due, r);
  return r;
}

void
st_replica_free (StReplica *r)
{
  g_source_remove (r->timer);
  drop_connection (r);
  g_clear_pointer (&r->params, g_bytes_unref);
  g_free (r);
}
