#include "statement.h"
#include "wire/message.h"
#include <string.h>

static void fail (StAnswer *answer, const char *state, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

static void
fail (StAnswer *answer, const char *state, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_vsnprintf (answer->message, sizeof answer->message, format, args);
  va_end (args);
  answer->sqlstate = state;
}

static const char *
param (const StContext *c, guint i)
{
  const char *text = g_ptr_array_index (c->params, i);
  return text != NULL ? text : "";
}

static gboolean
number_param (const StContext *c, guint i, guint64 *out, StAnswer *answer)
{
  if (g_ascii_string_to_unsigned (param (c, i), 10, 0, G_MAXUINT64, out, NULL))
    return TRUE;
  fail (answer, "22P02", "parameter %u is not a whole number", i + 1);
  return FALSE;
}

static void
add_value (StAnswer *answer, char *value)
{
  g_ptr_array_add (answer->values, value);
}

static void
add_number (StAnswer *answer, guint64 number)
{
  add_value (answer, g_strdup_printf ("%" G_GUINT64_FORMAT, number));
}

static void
commit (StContext *c, StAnswer *answer)
{
  GmStatus status = GM_STATUS_UNSET;
  if (c->changes->len == 0)
    return;
  g_autoptr (GBytes) block = wm_strings_encode (
      (const char *const *)c->changes->pdata, c->changes->len);
  GmKind kind = st_commit (c->store, c->now, block, &status);
  g_ptr_array_set_size (c->changes, 0);
  if (kind == GM_CONFLICT)
    fail (answer, "23505", "%s", status.message);
  else if (kind != GM_OK)
    fail (answer, "25006", "%s", status.message);
}

static void
add_change (StContext *c, StAnswer *answer, const char *operation,
            const char *key, const char *value)
{
  if (!st_is_primary (c->store))
    {
      fail (answer, "25006", "this database is not primary");
      return;
    }
  const char *parts[] = { operation, key, value };
  for (int i = 0; i < 3; i++)
    g_ptr_array_add (c->changes, g_strdup (parts[i]));
  if (!c->in_block)
    commit (c, answer);
}

static void
run_put (StContext *c, StAnswer *answer)
{
  add_change (c, answer, "put", param (c, 0), param (c, 1));
}

static void
run_append (StContext *c, StAnswer *answer)
{
  gint64 amount;
  if (g_ascii_string_to_signed (param (c, 1), 10, G_MININT64, G_MAXINT64,
                                &amount, NULL))
    add_change (c, answer, "append", param (c, 0), param (c, 1));
  else
    fail (answer, "22P02", "the amount is not a whole number");
}

static void
run_record_request (StContext *c, StAnswer *answer)
{
  if (st_has_request (c->store, c->now, param (c, 0)))
    fail (answer, "23505", "the request id is on record");
  else
    add_change (c, answer, "request", param (c, 0), "");
}

static void
run_get (StContext *c, StAnswer *answer)
{
  const char *key = param (c, 0);
  const char *value = st_get (c->store, c->now, key);
  for (guint i = 0; i + 2 < c->changes->len; i += 3)
    if (strcmp (g_ptr_array_index (c->changes, i), "put") == 0
        && strcmp (g_ptr_array_index (c->changes, i + 1), key) == 0)
      value = g_ptr_array_index (c->changes, i + 2);
  if (value != NULL)
    add_value (answer, g_strdup (value));
}

static void
run_sum (StContext *c, StAnswer *answer)
{
  guint count;
  gint64 sum = st_sum (c->store, c->now, param (c, 0), &count);
  for (guint i = 0; i + 2 < c->changes->len; i += 3)
    if (strcmp (g_ptr_array_index (c->changes, i), "append") == 0
        && strcmp (g_ptr_array_index (c->changes, i + 1), param (c, 0)) == 0)
      {
        sum += g_ascii_strtoll (g_ptr_array_index (c->changes, i + 2), NULL,
                                10);
        count++;
      }
  add_value (answer, g_strdup_printf ("%" G_GINT64_FORMAT, sum));
  add_number (answer, count);
}

static void
run_find_request (StContext *c, StAnswer *answer)
{
  if (st_has_request (c->store, c->now, param (c, 0)))
    add_value (answer, g_strdup (param (c, 0)));
}

static void
run_nothing (StContext *c, StAnswer *answer)
{
  (void)c;
  (void)answer;
}

static void
run_commit (StContext *c, StAnswer *answer)
{
  c->in_block = FALSE;
  commit (c, answer);
}

static void
run_status (StContext *c, StAnswer *answer)
{
  FoDatabaseStatus status;
  st_status (c->store, c->now, &status);
  add_value (answer, g_strdup (status.primary ? "t" : "f"));
  add_number (answer, status.term);
  add_number (answer, status.last_term);
  add_number (answer, status.received);
  add_number (answer, status.applied);
  add_value (answer, g_strdup (status.following));
}

static void
run_seal (StContext *c, StAnswer *answer)
{
  guint64 term;
  if (!number_param (c, 0, &term, answer))
    return;
  st_seal (c->store, term);
  run_status (c, answer);
}

static void
run_promote (StContext *c, StAnswer *answer)
{
  guint64 term;
  GmStatus status = GM_STATUS_UNSET;
  if (!number_param (c, 0, &term, answer))
    return;
  if (st_promote (c->store, c->now, term, &status) != GM_OK)
    fail (answer, "55000", "%s", status.message);
  else
    run_status (c, answer);
}

static void
run_follow (StContext *c, StAnswer *answer)
{
  guint64 term;
  GmStatus status = GM_STATUS_UNSET;
  if (!number_param (c, 0, &term, answer))
    return;
  if (st_follow (c->store, term, param (c, 1), &status) != GM_OK)
    {
      fail (answer, "55000", "%s", status.message);
      return;
    }
  g_free (c->switches->follow_id);
  g_free (c->switches->follow_address);
  c->switches->follow_id = g_strdup (param (c, 1));
  c->switches->follow_address = g_strdup (param (c, 2));
  run_status (c, answer);
}

static char *
to_hex (GBytes *block)
{
  gsize length;
  const guint8 *data = g_bytes_get_data (block, &length);
  GString *out = g_string_sized_new (2 * length);
  for (gsize i = 0; i < length; i++)
    g_string_append_printf (out, "%02x", data[i]);
  return g_string_free (out, FALSE);
}

/* Parameters: the replica's term, the index of its last entry, and the term of
   that entry.  The first row has the index up to which the logs may agree; the
   entries after it follow once that index is the replica's last one.  */
static void
run_pull (StContext *c, StAnswer *answer)
{
  guint64 term, have, have_term;
  if (!number_param (c, 0, &term, answer)
      || !number_param (c, 1, &have, answer)
      || !number_param (c, 2, &have_term, answer))
    return;
  if (c->switches->cut_from_peers || !st_is_primary (c->store)
      || term != st_term (c->store))
    {
      fail (answer, "55000",
            "not the primary of this term, or cut off from peers");
      return;
    }
  guint64 common = st_common_index (c->store, have, have_term);
  add_number (answer, common);
  add_number (answer, term);
  add_value (answer, g_strdup (""));
  StEntry entry;
  guint64 last = common == have ? common + ST_PULL_ROWS_MAX : common;
  for (guint64 i = common + 1; i <= last && st_entry (c->store, i, &entry);
       i++)
    {
      add_number (answer, entry.index);
      add_number (answer, entry.term);
      add_value (answer, to_hex (entry.changes));
    }
}

/* Sets a fault.  Parameters: the name of the fault and a number.  */
static void
run_fault (StContext *c, StAnswer *answer)
{
  guint64 number;
  const char *name = param (c, 0);
  if (!number_param (c, 1, &number, answer))
    return;
  if (strcmp (name, "cut_from_peers") == 0)
    c->switches->cut_from_peers = number != 0;
  else if (strcmp (name, "leaving") == 0)
    c->switches->leaving = number != 0;
  else if (strcmp (name, "lag_ms") == 0)
    st_set_lag (c->store, (GmTime)number * GM_MS);
  else if (strcmp (name, "answer_delay_ms") == 0)
    c->switches->answer_delay = (GmTime)number * GM_MS;
  else if (strcmp (name, "service_ms") == 0)
    c->limits->service_time = (GmTime)number * GM_MS;
  else
    fail (answer, "22023", "unknown fault %s", name);
}

#define STATUS_COLUMNS                                                        \
  {                                                                           \
    "is_primary", "term", "last_term", "received", "applied", "following"     \
  }

static const StStatement statements[] = {
  { "put", 2, { NULL }, TRUE, run_put },
  { "append", 2, { NULL }, TRUE, run_append },
  { "get", 1, { "value" }, TRUE, run_get },
  { "sum", 1, { "sum", "count" }, TRUE, run_sum },
  { "sleep", 1, { NULL }, TRUE, run_nothing },
  { "BEGIN", 0, { NULL }, FALSE, run_nothing },
  { "COMMIT", 0, { NULL }, FALSE, run_commit },
  { "ROLLBACK", 0, { NULL }, FALSE, run_nothing },
  { "DISCARD ALL", 0, { NULL }, FALSE, run_nothing },
  { "INSERT INTO galenamount.requests",
    1,
    { NULL },
    FALSE,
    run_record_request },
  { "SELECT id FROM galenamount.requests",
    1,
    { "id" },
    FALSE,
    run_find_request },
  { "SELECT * FROM galenamount.status", 0, STATUS_COLUMNS, FALSE, run_status },
  { "SELECT * FROM galenamount.seal", 1, STATUS_COLUMNS, FALSE, run_seal },
  { "SELECT * FROM galenamount.promote", 1, STATUS_COLUMNS, FALSE,
    run_promote },
  { "SELECT * FROM galenamount.follow", 3, STATUS_COLUMNS, FALSE, run_follow },
  { "SELECT * FROM galenamount.pull",
    3,
    { "entry", "term", "changes" },
    FALSE,
    run_pull },
  { "SELECT galenamount.fault", 2, { NULL }, FALSE, run_fault },
};

const StStatement *
st_statement_find (const char *sql)
{
  for (gsize i = 0; i < G_N_ELEMENTS (statements); i++)
    if (g_str_has_prefix (sql, statements[i].prefix))
      {
        char next = sql[strlen (statements[i].prefix)];
        if (!g_ascii_isalnum (next))
          return &statements[i];
      }
  return NULL;
}

guint
st_statement_columns (const StStatement *statement)
{
  guint count = 0;
  while (statement->columns[count] != NULL)
    count++;
  return count;
}
