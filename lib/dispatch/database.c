#include "core.h"
#include "base/bytes.h"
#include "base/mutant.h"
#include <string.h>

#define MEAN_DIVISOR 8 /* a new value has a weight of one eighth */
#define INITIAL_SERVICE_TIME (5 * GM_MS)
#define SPARE_CONNECTIONS 2 /* beyond those for requests in flight */

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

/* Allows as many requests beyond the slots as the slots finish during a round
   trip, so that a slot that finishes a statement finds the next one
   waiting.  */
guint
dp_in_flight_max (const DpCore *core, const DpDatabase *database)
{
  guint extra = core->policy.extra_in_flight;
  if (extra == 0)
    {
      GmTime hidden = (GmTime)database->slots * database->round_trip;
      extra = 1
              + (guint)((hidden + database->service_time / 2)
                        / database->service_time);
    }
  guint most = MAX (database->connections_max, 2) - 1;
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
  database->opening_count++;
  database->connection_count++;
  dp_push_action (core, DP_OPEN, database, conn->id, NULL);
}

static guint
count_transactions (const DpCore *core, const DpDatabase *database)
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

/* Replicas get as many connections as the primary would, so that they are
   ready for a failover.  */
void
dp_open_connections (DpCore *core, GmTime now, DpDatabase *database)
{
  gboolean leaving = database->leaving && !GM_MUTANT (LEAVING_SERVES);
  if (database->removed || leaving || !core->owned)
    return;
  guint wanted = dp_in_flight_max (core, database) + SPARE_CONNECTIONS
                 + count_transactions (core, database);
  wanted = MIN (wanted, database->connections_max);
  while (database->connection_count < wanted
         && database->opening_count < DP_CONNECTING_MAX
         && now >= database->connect_retry_at)
    open_conn (core, database);
}

static void
remove_conn (DpCore *core, DpConn *conn)
{
  DpDatabase *database = conn->database;
  g_ptr_array_remove (database->idle_conns, conn);
  database->connection_count--;
  if (conn->state == CONN_OPENING)
    database->opening_count--;
  if (conn->state == CONN_BUSY)
    database->in_flight--;
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
  dp_push_action (core, DP_CLOSE, database, conn->id, NULL);
  remove_conn (core, conn);
  dp_open_connections (core, now, database);
}

void
dp_conn_release (DpCore *core, GmTime now, DpConn *conn)
{
  if (conn->state == CONN_BUSY)
    conn->database->in_flight--;
  conn->request = NULL;
  if (conn->transaction != NULL)
    {
      conn->state = CONN_PINNED;
      return;
    }
  conn->state = CONN_IDLE;
  gboolean leaving = conn->database->leaving && !GM_MUTANT (LEAVING_SERVES);
  if (conn->database->removed || leaving || !core->owned)
    dp_conn_close (core, now, conn);
  else
    g_ptr_array_add (conn->database->idle_conns, conn);
}

void
dp_connected (DpCore *core, GmTime now, guint64 id)
{
  DpConn *conn = g_hash_table_lookup (core->conns, &id);
  if (conn == NULL || conn->state != CONN_OPENING)
    return;
  conn->database->opening_count--;
  conn->database->connect_backoff = DP_CONNECT_BACKOFF;
  conn->state = CONN_IDLE;
  g_ptr_array_add (conn->database->idle_conns, conn);
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
      database->connect_retry_at = now + database->connect_backoff;
      database->connect_backoff
          = MIN (2 * database->connect_backoff, DP_CONNECT_BACKOFF_MAX);
    }
  remove_conn (core, conn);
  if (request != NULL)
    dp_request_lost (core, now, request, TRUE);
  if (transaction != NULL)
    dp_transaction_end (core, now, transaction);
  dp_schedule (core, now);
}

static guint
connection_limit (guint connections)
{
  /* Less than half of the database's connections: during a handover another
     dispatcher may still hold its share, and each dispatcher needs one
     connection for status calls.  */
  return MAX (connections / 2, 4) - 2;
}

void
dp_set_database (DpCore *core, GmTime now, const char *id, guint slots,
                 guint connections, gboolean leaving)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    {
      database = g_new0 (DpDatabase, 1);
      g_strlcpy (database->id, id, sizeof database->id);
      database->idle_conns = g_ptr_array_new ();
      database->service_time = INITIAL_SERVICE_TIME;
      database->connect_backoff = DP_CONNECT_BACKOFF;
      g_ptr_array_add (core->databases, database);
    }
  database->removed = FALSE;
  database->slots = MAX (slots, 1);
  database->connections_max = connection_limit (connections);
  if (leaving && !database->leaving && !GM_MUTANT (LEAVING_SERVES))
    {
      database->leaving_since = now;
      while (database->idle_conns->len > 0)
        dp_conn_close (core, now, g_ptr_array_index (database->idle_conns, 0));
    }
  database->leaving = leaving;
  dp_open_connections (core, now, database);
  dp_schedule (core, now);
}

static GPtrArray *
connections_to (const DpCore *core, const DpDatabase *database)
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
dp_remove_database (DpCore *core, GmTime now, const char *id)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    return;
  database->removed = TRUE;
  database->reachable = FALSE;
  g_autoptr (GPtrArray) conns = connections_to (core, database);
  for (guint i = 0; i < conns->len; i++)
    {
      DpConn *conn = g_ptr_array_index (conns, i);
      guint64 number = conn->id;
      dp_push_action (core, DP_CLOSE, database, number, NULL);
      dp_disconnected (core, now, number);
    }
  g_ptr_array_remove (core->databases, database);
  g_ptr_array_unref (database->idle_conns);
  g_free (database);
}

void
dp_record_primary_position (DpCore *core, GmTime sent,
                            const FoDatabaseStatus *status)
{
  PositionSample *last
      = &core->position_samples[(core->next_sample + DP_POSITION_SAMPLES - 1)
                                % DP_POSITION_SAMPLES];
  TkPoint point = { status->last_term, status->received };
  if (last->asked_at != 0 && sent <= last->asked_at)
    return;
  core->position_samples[core->next_sample] = (PositionSample){ sent, point };
  core->next_sample = (core->next_sample + 1) % DP_POSITION_SAMPLES;
}

/* Each sample is a position of the primary fetched at a known time; everything
   committed before then is at or below that position.  A state that includes
   the position is therefore no older than that time.  The databases' clocks
   play no part.  */
GmTime
dp_age_bound (const DpCore *core, GmTime now, guint64 last_term,
              guint64 applied)
{
  for (guint i = 1; i <= DP_POSITION_SAMPLES; i++)
    {
      const PositionSample *sample
          = &core->position_samples[(core->next_sample + DP_POSITION_SAMPLES
                                     - i)
                                    % DP_POSITION_SAMPLES];
      if (sample->asked_at == 0)
        break;
      if (tk_point_reached (sample->point, last_term, applied))
        return now - sample->asked_at;
    }
  return G_MAXINT64;
}

gboolean
dp_log_matches_primary (const DpCore *core, const FoDatabaseStatus *status)
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
   counts only once its log ends in that term; before that its position may
   refer to entries that the new primary doesn't have.  */
static void
update_confirmed (DpCore *core, GmTime now)
{
  g_autoptr (GArray) held = g_array_new (FALSE, FALSE, sizeof (guint64));
  const DpDatabase *primary = dp_primary (core);
  for (guint i = 0; i < core->databases->len; i++)
    {
      const DpDatabase *d = g_ptr_array_index (core->databases, i);
      if (d->status_received != 0
          && (dp_log_matches_primary (core, &d->status)
              || GM_MUTANT (OLD_TERM_ACK)))
        g_array_append_val (held, d->status.received);
    }
  guint64 position = gm_nth_largest (held, core->copies / 2);
  gboolean moved = core->confirmed.term != core->term
                   || position > core->confirmed.position;
  if (core->confirmed.term != core->term)
    core->confirmed = (TkPoint){ core->term, 0 };
  core->confirmed.position = MAX (core->confirmed.position, position);
  gboolean behind = primary != NULL && primary->status_received != 0
                    && dp_log_matches_primary (core, &primary->status)
                    && primary->status.received > core->confirmed.position;
  if (!behind)
    core->stuck_since = 0;
  else if (moved || core->stuck_since == 0)
    core->stuck_since = now;
}

void
dp_advance_confirmed (DpCore *core, GmTime now)
{
  update_confirmed (core, now);
  for (guint i = core->awaiting_confirmation->len; i-- > 0;)
    {
      DpRequest *request = g_ptr_array_index (core->awaiting_confirmation, i);
      if (!dp_is_confirmed (core, request->point_to_confirm))
        continue;
      g_ptr_array_remove_index_fast (core->awaiting_confirmation, i);
      dp_answer_confirmed (core, request);
    }
}

static GmTime
moving_average (GmTime old, GmTime fresh)
{
  return old == 0 ? fresh : old + (fresh - old) / MEAN_DIVISOR;
}

static void
update_lag (DpCore *core, GmTime now, DpDatabase *database)
{
  GmTime age = dp_age_bound (core, now, database->status.last_term,
                             database->status.applied);
  if (age != G_MAXINT64)
    database->mean_lag = moving_average (database->mean_lag, age);
}

/* The results of statements and status calls arrive in any order, so the
   status that is further in the log is kept.  */
void
dp_merge_status (DpDatabase *database, GmTime now,
                 const FoDatabaseStatus *status)
{
  const FoDatabaseStatus *old = &database->status;
  gboolean later = database->status_received == 0 || status->term > old->term
                   || (status->term == old->term
                       && (status->last_term != old->last_term
                           || status->received > old->received
                           || (status->received == old->received
                               && status->applied >= old->applied)));
  if (later)
    database->status = *status;
  database->status_received = now;
}

void
dp_report_status (DpCore *core, GmTime now, GmTime sent, const char *id,
                  const FoDatabaseStatus *status)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    return;
  dp_merge_status (database, now, status);
  database->reachable = TRUE;
  database->probe_pending = FALSE;
  GmTime trip = MAX (now - sent, 1);
  database->round_trip
      = database->round_trip == 0 || trip < database->round_trip
            ? trip
            : moving_average (database->round_trip, trip);
  if (database == dp_primary (core) && status->primary
      && status->term == core->term)
    dp_record_primary_position (core, sent, status);
  else
    update_lag (core, now, database);
  dp_advance_confirmed (core, now);
  dp_schedule (core, now);
}

void
dp_set_unreachable (DpCore *core, GmTime now, const char *id)
{
  DpDatabase *database = dp_find_database (core, id);
  if (database == NULL)
    return;
  database->reachable = FALSE;
  database->probe_pending = FALSE;
  /* Reads have no side effects, so they are retried at another database.  */
  g_autoptr (GPtrArray) conns = connections_to (core, database);
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
dp_in_progress_at (const DpCore *core, const char *id)
{
  const DpDatabase *database = dp_find_database (core, id);
  return database != NULL
             ? database->in_flight + count_transactions (core, database)
             : 0;
}

guint64
dp_stuck_ms (const DpCore *core, GmTime now)
{
  return core->stuck_since != 0 ? (guint64)((now - core->stuck_since) / GM_MS)
                                : 0;
}
