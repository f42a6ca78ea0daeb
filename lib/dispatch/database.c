#include "core.h"
#include "base/bytes.h"
#include "base/mutant.h"
#include <string.h>

#define MEAN_WEIGHT 8 /* a new value counts one eighth */
#define SERVICE_START (5 * GM_MS)
#define WARM_SPARE 2

DpDatabase *
dp_find_database (const DpCore *core, const char *id)
{
  for (guint i = 0; i < core->databases->len; i++)
    {
      DpDatabase *database = g_ptr_array_index (core->databases, i);
      if (strcmp (database->id, id) == 0)
        return database;
    }
  return NULL;
}

DpDatabase *
dp_primary (const DpCore *core)
{
  return *core->primary != '\0' ? dp_find_database (core, core->primary)
                                : NULL;
}

/* The slots, and as many more as hide the round trip: a slot that ends a
   statement must find the next one waiting.  */
guint
dp_in_flight_max (const DpCore *core, const DpDatabase *database)
{
  guint extra = core->policy.extra;
  if (extra == 0)
    {
      GmTime hidden = (GmTime)database->slots * database->trip;
      extra
          = 1 + (guint)((hidden + database->service / 2) / database->service);
    }
  guint most = MAX (database->budget, 2) - 1;
  return MIN (database->slots + CLAMP (extra, 1, database->slots), most);
}

static void
open_conn (DpCore *core, DpDatabase *database)
{
  DpConn *conn = g_new0 (DpConn, 1);
  conn->id = ++core->next_conn;
  conn->database = database;
  conn->state = CONN_OPENING;
  g_hash_table_insert (core->conns, &conn->id, conn);
  database->opening++;
  database->open++;
  dp_act (core, DP_OPEN, database, conn->id, NULL);
}

static guint
transactions_on (const DpCore *core, const DpDatabase *database)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->transactions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DpConn *conn = ((DpTransaction *)value)->conn;
      count += conn != NULL && conn->database == database ? 1 : 0;
    }
  return count;
}

/* Keeps as many connections ready as the database can use; a replica's are
   ready for the moment that it becomes primary.  */
void
dp_keep_warm (DpCore *core, GmTime now, DpDatabase *database)
{
  gboolean leaving = database->leaving && !GM_MUTANT (LEAVING_SERVES);
  if (database->gone || leaving || !core->owned)
    return;
  guint wanted = dp_in_flight_max (core, database) + WARM_SPARE
                 + transactions_on (core, database);
  wanted = MIN (wanted, database->budget);
  while (database->open < wanted && database->opening < DP_CONNECTING_MAX
         && now >= database->connect_after)
    open_conn (core, database);
}

static void
drop_conn (DpCore *core, DpConn *conn)
{
  DpDatabase *database = conn->database;
  g_ptr_array_remove (database->idle, conn);
  database->open--;
  if (conn->state == CONN_OPENING)
    database->opening--;
  if (conn->state == CONN_BUSY)
    database->busy--;
  if (conn->request != NULL)
    conn->request->connection = NULL;
  if (conn->transaction != NULL)
    conn->transaction->conn = NULL;
  g_hash_table_remove (core->conns, &conn->id);
}

void
dp_conn_close (DpCore *core, GmTime now, DpConn *conn)
{
  DpDatabase *database = conn->database;
  dp_act (core, DP_CLOSE, database, conn->id, NULL);
  drop_conn (core, conn);
  dp_keep_warm (core, now, database);
}

void
dp_conn_release (DpCore *core, GmTime now, DpConn *conn)
{
  if (conn->state == CONN_BUSY)
    conn->database->busy--;
  conn->request = NULL;
  if (conn->transaction != NULL)
    {
      conn->state = CONN_PINNED;
      return;
    }
  conn->state = CONN_IDLE;
  gboolean leaving = conn->database->leaving && !GM_MUTANT (LEAVING_SERVES);
  if (conn->database->gone || leaving || !core->owned)
    dp_conn_close (core, now, conn);
  else
    g_ptr_array_add (conn->database->idle, conn);
}

void
dp_connected (DpCore *core, GmTime now, guint64 id)
{
  DpConn *conn = g_hash_table_lookup (core->conns, &id);
  if (conn == NULL || conn->state != CONN_OPENING)
    return;
  conn->database->opening--;
  conn->database->connect_backoff = DP_CONNECT_RETRY;
  conn->state = CONN_IDLE;
  g_ptr_array_add (conn->database->idle, conn);
  dp_schedule (core, now);
}

void
dp_disconnected (DpCore *core, GmTime now, guint64 id)
{
  DpConn *conn = g_hash_table_lookup (core->conns, &id);
  if (conn == NULL)
    return;
  DpDatabase *database = conn->database;
  DpRequest *request = conn->request;
  DpTransaction *transaction = conn->transaction;
  if (conn->state == CONN_OPENING)
    {
      database->connect_after = now + database->connect_backoff;
      database->connect_backoff
          = MIN (2 * database->connect_backoff, DP_CONNECT_RETRY_MAX);
    }
  drop_conn (core, conn);
  if (request != NULL)
    dp_request_lost (core, now, request, TRUE);
  if (transaction != NULL)
    dp_transaction_end (core, now, transaction);
  dp_schedule (core, now);
}

static guint
budget_of (guint connections)
{
  /* Under half, since another dispatcher may still hold its share, and one
     connection for status calls.  */
  return MAX (connections / 2, 4) - 2;
}

void
dp_database (DpCore *core, GmTime now, const char *id, guint slots,
             guint connections, gboolean leaving)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    {
      database = g_new0 (DpDatabase, 1);
      g_strlcpy (database->id, id, sizeof database->id);
      database->idle = g_ptr_array_new ();
      database->service = SERVICE_START;
      database->connect_backoff = DP_CONNECT_RETRY;
      g_ptr_array_add (core->databases, database);
    }
  database->gone = FALSE;
  database->slots = MAX (slots, 1);
  database->budget = budget_of (connections);
  if (leaving && !database->leaving && !GM_MUTANT (LEAVING_SERVES))
    {
      database->leaving_since = now;
      while (database->idle->len > 0)
        dp_conn_close (core, now, g_ptr_array_index (database->idle, 0));
    }
  database->leaving = leaving;
  dp_keep_warm (core, now, database);
  dp_schedule (core, now);
}

static GPtrArray *
conns_of (const DpCore *core, const DpDatabase *database)
{
  GPtrArray *conns = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->conns);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((DpConn *)value)->database == database)
      g_ptr_array_add (conns, value);
  return conns;
}

void
dp_database_gone (DpCore *core, GmTime now, const char *id)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    return;
  database->gone = TRUE;
  database->reachable = FALSE;
  g_autoptr (GPtrArray) conns = conns_of (core, database);
  for (guint i = 0; i < conns->len; i++)
    {
      DpConn *conn = g_ptr_array_index (conns, i);
      guint64 number = conn->id;
      dp_act (core, DP_CLOSE, database, number, NULL);
      dp_disconnected (core, now, number);
    }
  g_ptr_array_remove (core->databases, database);
  g_ptr_array_unref (database->idle);
  g_free (database);
}

void
dp_remember_primary (DpCore *core, GmTime sent, const FoDatabase *status)
{
  Sample *last
      = &core->samples[(core->sample_next + DP_SAMPLES - 1) % DP_SAMPLES];
  TkPoint point = { status->last_term, status->received };
  if (last->sent != 0 && sent <= last->sent)
    return;
  core->samples[core->sample_next] = (Sample){ sent, point };
  core->sample_next = (core->sample_next + 1) % DP_SAMPLES;
}

/* The primary's position was asked for at a known time: all that committed
   before then lies at or below it.  A state that includes the position is no
   older than that time, whatever the databases' clocks say.  */
GmTime
dp_age_of (const DpCore *core, GmTime now, guint64 last_term, guint64 applied)
{
  for (guint i = 1; i <= DP_SAMPLES; i++)
    {
      const Sample *sample
          = &core->samples[(core->sample_next + DP_SAMPLES - i) % DP_SAMPLES];
      if (sample->sent == 0)
        break;
      if (tk_point_reached (sample->point, last_term, applied))
        return now - sample->sent;
    }
  return G_MAXINT64;
}

gboolean
dp_is_aligned (const DpCore *core, const FoDatabase *status)
{
  return status->term == core->term && status->last_term == core->term;
}

gboolean
dp_is_confirmed (const DpCore *core, TkPoint point)
{
  return point.position == 0 || GM_MUTANT (ACK_ALONE)
         || (point.term == core->confirmed.term
             && point.position <= core->confirmed.position);
}

/* Recomputes the position held by a majority in the current term.  A replica
   counts only once its log ends in that term: before, its position may be of
   entries that the new primary doesn't have.  */
static void
update_confirmed (DpCore *core, GmTime now)
{
  g_autoptr (GArray) held = g_array_new (FALSE, FALSE, sizeof (guint64));
  const DpDatabase *primary = dp_primary (core);
  for (guint i = 0; i < core->databases->len; i++)
    {
      const DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (d->status_at != 0
          && (dp_is_aligned (core, &d->status) || GM_MUTANT (OLD_TERM_ACK)))
        g_array_append_val (held, d->status.received);
    }
  guint64 position = gm_nth_largest (held, core->copies / 2);
  gboolean moved = core->confirmed.term != core->term
                   || position > core->confirmed.position;
  if (core->confirmed.term != core->term)
    core->confirmed = (TkPoint){ core->term, 0 };
  core->confirmed.position = MAX (core->confirmed.position, position);
  gboolean behind = primary != NULL && primary->status_at != 0
                    && dp_is_aligned (core, &primary->status)
                    && primary->status.received > core->confirmed.position;
  if (!behind)
    core->stuck_since = 0;
  else if (moved || core->stuck_since == 0)
    core->stuck_since = now;
}

void
dp_confirm (DpCore *core, GmTime now)
{
  update_confirmed (core, now);
  for (guint i = core->confirming->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->confirming, i);
      if (!dp_is_confirmed (core, request->written))
        continue;
      g_ptr_array_remove_index_fast (core->confirming, i);
      dp_answer_confirmed (core, request);
    }
}

static GmTime
mean (GmTime old, GmTime fresh)
{
  return old == 0 ? fresh : old + (fresh - old) / MEAN_WEIGHT;
}

static void
update_lag (DpCore *core, GmTime now, DpDatabase *database)
{
  GmTime age = dp_age_of (core, now, database->status.last_term,
                          database->status.applied);
  if (age != G_MAXINT64)
    database->lag = mean (database->lag, age);
}

/* Statements and status calls report in any order; what is later in the log
   is kept.  */
void
dp_note_status (DpDatabase *database, GmTime now, const FoDatabase *status)
{
  const FoDatabase *old = &database->status;
  gboolean later = database->status_at == 0 || status->term > old->term
                   || (status->term == old->term
                       && (status->last_term != old->last_term
                           || status->received > old->received
                           || (status->received == old->received
                               && status->applied >= old->applied)));
  if (later)
    database->status = *status;
  database->status_at = now;
}

void
dp_status (DpCore *core, GmTime now, GmTime sent, const char *id,
           const FoDatabase *status)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    return;
  dp_note_status (database, now, status);
  database->reachable = TRUE;
  database->probing = FALSE;
  GmTime trip = MAX (now - sent, 1);
  database->trip = database->trip == 0 || trip < database->trip
                       ? trip
                       : mean (database->trip, trip);
  if (database == dp_primary (core) && status->primary
      && status->term == core->term)
    dp_remember_primary (core, sent, status);
  else
    update_lag (core, now, database);
  dp_confirm (core, now);
  dp_schedule (core, now);
}

void
dp_unreachable (DpCore *core, GmTime now, const char *id)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    return;
  database->reachable = FALSE;
  database->probing = FALSE;
  /* Reads have no effect: another database can serve them meanwhile.  */
  g_autoptr (GPtrArray) conns = conns_of (core, database);
  for (guint i = 0; i < conns->len; i++)
    {
      DpConn *conn = g_ptr_array_index (conns, i);
      DpRequest *request = conn->request;
      if (request == NULL || request->operation != DP_READ)
        continue;
      dp_conn_close (core, now, conn);
      dp_request_lost (core, now, request, TRUE);
    }
  dp_schedule (core, now);
}

guint
dp_open_at (const DpCore *core, const char *id)
{
  const DpDatabase *database = dp_find_database (core, id);
  return database != NULL ? database->busy + transactions_on (core, database)
                          : 0;
}

guint64
dp_stuck_ms (const DpCore *core, GmTime now)
{
  return core->stuck_since != 0 ? (guint64)((now - core->stuck_since) / GM_MS)
                                : 0;
}
