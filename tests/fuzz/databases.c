#include "parts.h"
#include <string.h>

#define MIN_LATENCY (300)
#define LATENCY_SPREAD (700)
#define CONNECT_DELAY (10 * GM_MS)
#define CONNECT_TIMEOUT (2 * GM_SECOND)
#define MIN_SERVICE_TIME (4 * GM_MS)
#define SERVICE_TIME_SPREAD (3 * GM_MS)
#define SLOTS 2
#define MAX_CONNECTIONS 40
#define REPLICATION_INTERVAL (4 * GM_MS)
#define ANNOUNCE_INTERVAL (300 * GM_MS)
#define RETRY_DELAY (20 * GM_MS)

/* A request that a connection sends to its database.  */
typedef struct
{
  Conn *conn;
  gboolean watch;
  DpOperation operation;
  FoCall call;
  guint64 term;
  char *request_id;
  char *statement;
  GPtrArray *params;
  char *follow_id;
} Job;

static void
job_free (gpointer data)
{
  Job *job = data;
  g_free (job->request_id);
  g_free (job->statement);
  g_free (job->follow_id);
  if (job->params != NULL)
    g_ptr_array_unref (job->params);
  g_free (job);
}

/* An answer in flight from a database.  */
typedef struct
{
  Conn *conn;
  gboolean connected; /* the connection has been established */
  gboolean lost;
  DpOutcome outcome;
} Reply;

static void
reply_free (gpointer data)
{
  Reply *reply = data;
  g_clear_pointer (&reply->outcome.rows, g_bytes_unref);
  g_free (reply);
}

static gboolean
is_cut (const World *w, const Conn *conn)
{
  return w->database_cut_until[conn->host][conn->database] > w->now;
}

static GmTime
latency (World *w)
{
  return world_jitter (w, MIN_LATENCY, LATENCY_SPREAD);
}

/* Delivers an answer to the host.  */
static void
reply_arrives (World *w, gpointer data)
{
  Reply *reply = data;
  Conn *conn = reply->conn;
  Host *h = w->hosts[conn->host];
  const char *id = w->databases[conn->database]->id;
  GmTime now = host_now (h);
  DpCore *dispatch = gp_dispatch (h->group);
  if (conn->closed || conn->host_epoch != h->epoch)
    {
      reply_free (reply);
      return;
    }
  if (reply->lost)
    {
      conn->closed = TRUE;
      if (conn->number == 0)
        gp_monitor_lost (h->group, now, id);
      else
        dp_disconnected (dispatch, now, conn->number);
    }
  else if (reply->connected && conn->number == 0)
    gp_monitor_ready (h->group, now, id);
  else if (reply->connected)
    dp_connected (dispatch, now, conn->number);
  else if (conn->number == 0)
    gp_monitor_call_done (h->group, now, id,
                          reply->outcome.kind == GM_OK ? &reply->outcome.after
                                                       : NULL);
  else
    dp_request_done (dispatch, now, conn->number, &reply->outcome);
  reply_free (reply);
  host_pump (h);
}

static void
send_reply (World *w, Conn *conn, Reply *reply, GmTime extra)
{
  GmTime due = w->now + latency (w) + extra;
  if (is_cut (w, conn))
    due = MAX (due, w->database_cut_until[conn->host][conn->database]
                        + RETRY_DELAY);
  due = MAX (due, conn->last_delivery[1] + 1);
  conn->last_delivery[1] = due;
  reply->conn = conn;
  world_at (w, due - w->now, AT_HOST, conn->host, reply_arrives, reply_free,
            reply);
}

static void
send_lost (World *w, Conn *conn)
{
  Reply *reply = g_new0 (Reply, 1);
  reply->lost = TRUE;
  send_reply (w, conn, reply, 0);
}

/* A connection that is being established.  */
typedef struct
{
  Conn *conn;
  GmTime until;
} Connecting;

static void
connect (World *w, gpointer data)
{
  Connecting *o = data;
  Conn *conn = o->conn;
  Database *d = w->databases[conn->database];
  gboolean silent = is_cut (w, conn) || d->frozen;
  if (silent && w->now < o->until && !conn->closed)
    {
      world_at (w, RETRY_DELAY, AT_HOST, conn->host, connect, g_free, o);
      return;
    }
  conn->database_epoch = d->epoch;
  if (silent || !d->alive)
    send_lost (w, conn);
  else
    {
      Reply *reply = g_new0 (Reply, 1);
      reply->connected = TRUE;
      send_reply (w, conn, reply, CONNECT_DELAY);
    }
  g_free (o);
}

static int
database_index (const World *w, const char *id)
{
  for (guint i = 0; i < DATABASES; i++)
    if (g_strcmp0 (w->databases[i]->id, id) == 0)
      return (int)i;
  return -1;
}

Conn *
conn_open (Host *h, const char *id, guint64 number)
{
  World *w = h->world;
  int index = database_index (w, id);
  g_assert (index >= 0);
  Conn *conn = g_new0 (Conn, 1);
  conn->number = number;
  conn->host = h->index;
  conn->database = (guint)index;
  conn->host_epoch = h->epoch;
  conn->database_epoch = w->databases[index]->epoch;
  conn->changes = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (w->conns, conn);
  Connecting *o = g_new0 (Connecting, 1);
  o->conn = conn;
  o->until = w->now + CONNECT_TIMEOUT;
  world_at (w, latency (w), AT_HOST, h->index, connect, g_free, o);
  return conn;
}

Conn *
conn_find (const Host *h, guint64 number, const char *database)
{
  const World *w = h->world;
  for (guint i = w->conns->len; i-- > 0;)
    {
      Conn *conn = g_ptr_array_index (w->conns, i);
      if (conn->host == h->index && conn->host_epoch == h->epoch
          && conn->number == number && !conn->closed
          && strcmp (w->databases[conn->database]->id, database) == 0)
        return conn;
    }
  return NULL;
}

/* Requests sent before still reach the database and run there; an open
   transaction is rolled back.  */
void
conn_close (World *w, Conn *conn)
{
  (void)w;
  conn->closed = TRUE;
}

static void
add_change (Conn *conn, const char *operation, const char *key,
            const char *value)
{
  g_ptr_array_add (conn->changes, g_strdup (operation));
  g_ptr_array_add (conn->changes, g_strdup (key));
  g_ptr_array_add (conn->changes, g_strdup (value));
}

/* Adds the changes of the statement "append LEDGER TAG": a posting of 1, and
   the tag that identifies the writer.  */
static void
add_posting (Conn *conn, const Job *job)
{
  add_change (conn, "append", g_ptr_array_index (job->params, 0), "1");
  add_change (conn, "put", "tag", g_ptr_array_index (job->params, 1));
}

static void
commit (World *w, Database *d, Conn *conn, const Job *job, DpOutcome *outcome)
{
  GmStatus status;
  if (job->request_id != NULL)
    add_change (conn, "request", job->request_id, "");
  g_autoptr (GBytes) block = wm_strings_encode (
      (const char *const *)conn->changes->pdata, conn->changes->len);
  g_ptr_array_set_size (conn->changes, 0);
  conn->in_transaction = FALSE;
  GmKind kind = st_commit (d->store, w->now, block, &status);
  /* GM_CONFLICT: the request id is recorded, so the write ran already and is
     acknowledged without running again.  */
  if (kind != GM_OK && kind != GM_CONFLICT)
    {
      outcome->kind = GM_UNAVAILABLE;
      g_strlcpy (outcome->message, status.message, sizeof outcome->message);
    }
}

static void
read_rows (World *w, Database *d, const Job *job, DpOutcome *outcome)
{
  guint count;
  st_sum (d->store, w->now, g_ptr_array_index (job->params, 0), &count);
  g_autofree char *digits = g_strdup_printf ("%u", count);
  const char *rows[]
      = { "2", "nonce", "count", g_ptr_array_index (job->params, 1), digits };
  outcome->rows = wm_strings_encode (rows, G_N_ELEMENTS (rows));
}

static void
execute_request (World *w, Database *d, const Job *job, DpOutcome *outcome)
{
  Conn *conn = job->conn;
  st_status (d->store, w->now, &outcome->before);
  outcome->has_before = TRUE;
  switch (job->operation)
    {
    case DP_READ:
      read_rows (w, d, job, outcome);
      break;
    case DP_WRITE:
      add_posting (conn, job);
      commit (w, d, conn, job, outcome);
      break;
    case DP_BEGIN:
      conn->in_transaction = TRUE;
      break;
    case DP_STATEMENT:
      if (conn->in_transaction && st_is_primary (d->store))
        add_posting (conn, job);
      else
        outcome->kind = GM_DATABASE;
      break;
    case DP_COMMIT:
      commit (w, d, conn, job, outcome);
      break;
    case DP_ROLLBACK:
      g_ptr_array_set_size (conn->changes, 0);
      conn->in_transaction = FALSE;
      break;
    default:
      outcome->found = st_has_request (d->store, w->now, job->request_id);
      break;
    }
  st_status (d->store, w->now, &outcome->after);
  outcome->has_after = TRUE;
}

static void
execute_call (World *w, Database *d, const Job *job, DpOutcome *outcome)
{
  GmStatus status = { GM_OK, "" };
  if (job->call == FO_CALL_SEAL)
    st_seal (d->store, job->term);
  else if (job->call == FO_CALL_PROMOTE)
    st_promote (d->store, w->now, job->term, &status);
  else if (job->call == FO_CALL_FOLLOW)
    st_follow (d->store, job->term, job->follow_id, &status);
  outcome->kind = status.kind;
  st_status (d->store, w->now, &outcome->after);
  outcome->has_after = TRUE;
}

static void
finish_job (World *w, Database *d, Job *job)
{
  Reply *reply = g_new0 (Reply, 1);
  if (job->watch)
    execute_call (w, d, job, &reply->outcome);
  else
    execute_request (w, d, job, &reply->outcome);
  send_reply (w, job->conn, reply, d->answer_delay);
  job_free (job);
}

static void start_jobs (World *w, Database *d);

static void
service_ends (World *w, gpointer data)
{
  Job *job = data;
  Database *d = w->databases[job->conn->database];
  d->busy_slots--;
  finish_job (w, d, job);
  start_jobs (w, d);
}

static void
start_jobs (World *w, Database *d)
{
  while (d->busy_slots < SLOTS && d->queue.length > 0)
    {
      d->busy_slots++;
      world_at (w, world_jitter (w, MIN_SERVICE_TIME, SERVICE_TIME_SPREAD),
                AT_DATABASE, d->index, service_ends, job_free,
                g_queue_pop_head (&d->queue));
    }
}

static void
check_leaving (World *w, const Database *d, const Job *job)
{
  gboolean new_work = job->operation == DP_READ || job->operation == DP_WRITE
                      || job->operation == DP_BEGIN;
  if (d->leaving && new_work
      && w->last_fault_at + 2 * GM_SECOND < d->leaving_since
      && w->now > d->leaving_since + 2 * GM_SECOND)
    world_violation (w, "leaving: %s got new work", d->id);
}

static void
job_arrives (World *w, gpointer data)
{
  Job *job = data;
  Conn *conn = job->conn;
  Database *d = w->databases[conn->database];
  gboolean slot = !job->watch
                  && (job->operation == DP_READ || job->operation == DP_WRITE
                      || job->operation == DP_STATEMENT);
  if (conn->database_epoch != d->epoch || !d->alive)
    {
      send_lost (w, conn);
      job_free (job);
      return;
    }
  if (!job->watch)
    check_leaving (w, d, job);
  if (slot)
    {
      g_queue_push_tail (&d->queue, job);
      start_jobs (w, d);
    }
  else
    finish_job (w, d, job);
}

static void
send_job (World *w, Conn *conn, Job *job)
{
  GmTime due = w->now + latency (w);
  if (is_cut (w, conn))
    due = MAX (due, w->database_cut_until[conn->host][conn->database]
                        + RETRY_DELAY);
  due = MAX (due, conn->last_delivery[0] + 1);
  conn->last_delivery[0] = due;
  job->conn = conn;
  world_at (w, due - w->now, AT_DATABASE, conn->database, job_arrives,
            job_free, job);
}

void
conn_run_request (Host *h, Conn *conn, const DpRequest *r)
{
  Job *job = g_new0 (Job, 1);
  job->operation = r->operation;
  job->request_id = g_strdup (r->request_id);
  job->statement = g_strdup (r->statement);
  job->params = r->params != NULL ? wm_strings_decode (r->params) : NULL;
  send_job (h->world, conn, job);
}

void
conn_run_call (Host *h, Conn *conn, const GpAction *action)
{
  Job *job = g_new0 (Job, 1);
  job->watch = TRUE;
  job->call = action->call;
  job->term = action->term;
  job->follow_id = g_strdup (action->follow_id);
  send_job (h->world, conn, job);
}

/* Log entries in flight from the primary to a replica.  */
typedef struct
{
  guint database;
  guint64 term;
  guint64 replica_end;   /* end of the replica's log at its request */
  guint64 common_prefix; /* length of the log that both share */
  GArray *entries;       /* StEntry, owning changes */
} Pull;

static void
pull_free (gpointer data)
{
  Pull *pull = data;
  for (guint i = 0; i < pull->entries->len; i++)
    g_bytes_unref (g_array_index (pull->entries, StEntry, i).changes);
  g_array_unref (pull->entries);
  g_free (pull);
}

static void
pull_arrives (World *w, gpointer data)
{
  Pull *pull = data;
  Database *d = w->databases[pull->database];
  guint64 end, end_term;
  st_last_entry (d->store, &end, &end_term);
  if (pull->term == st_term (d->store) && !st_is_primary (d->store)
      && pull->replica_end == end)
    {
      if (pull->common_prefix < end)
        st_truncate (d->store, pull->common_prefix);
      for (guint i = 0; i < pull->entries->len; i++)
        {
          const StEntry *e = &g_array_index (pull->entries, StEntry, i);
          st_last_entry (d->store, &end, &end_term);
          if (e->index == end + 1)
            st_receive (d->store, w->now, e);
        }
    }
  pull_free (pull);
}

static void
pull_from (World *w, Database *d, Database *primary)
{
  guint64 end, end_term;
  st_last_entry (d->store, &end, &end_term);
  Pull *pull = g_new0 (Pull, 1);
  pull->database = d->index;
  pull->term = st_term (primary->store);
  pull->replica_end = end;
  pull->common_prefix = st_common_index (primary->store, end, end_term);
  pull->entries = g_array_new (FALSE, FALSE, sizeof (StEntry));
  StEntry entry;
  for (guint64 i = end + 1;
       pull->common_prefix == end && st_entry (primary->store, i, &entry); i++)
    {
      entry.changes = g_bytes_ref (entry.changes);
      g_array_append_val (pull->entries, entry);
    }
  world_at (w, latency (w), AT_DATABASE, d->index, pull_arrives, pull_free,
            pull);
}

static void
replicate (World *w, gpointer data)
{
  Database *d = data;
  FoDatabaseStatus status;
  st_status (d->store, w->now, &status);
  int from = database_index (w, status.following);
  Database *primary = from >= 0 ? w->databases[from] : NULL;
  if (primary != NULL && !status.primary && primary->alive && !primary->frozen
      && !primary->cut_from_peers && !d->cut_from_peers
      && st_is_primary (primary->store)
      && st_term (primary->store) == status.term)
    pull_from (w, d, primary);
  world_at (w, REPLICATION_INTERVAL, AT_DATABASE, d->index, replicate, NULL,
            d);
}

static void
announce (World *w, gpointer data)
{
  Database *d = data;
  FoDatabaseStatus status;
  guint to = (guint)gm_random_below (&w->random, HOSTS);
  Host *h = w->hosts[to];
  st_status (d->store, w->now, &status);
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = d->id,
                                    .group = (char *)GROUP,
                                    .address = d->id,
                                    .data_centre = (char *)"",
                                    .slots = SLOTS,
                                    .connections = MAX_CONNECTIONS,
                                    .leaving = d->leaving ? 1 : 0,
                                    .incarnation = d->epoch,
                                    .term = status.term,
                                    .primary = status.primary ? 1 : 0 } };
  if (world_host_works (w, to) && h->subscription != NULL)
    link_send (w, h->subscription, TRUE, &m);
  world_at (w, ANNOUNCE_INTERVAL, AT_DATABASE, d->index, announce, NULL, d);
}

void
database_new (World *w, guint index)
{
  Database *d = g_new0 (Database, 1);
  d->world = w;
  d->index = index;
  g_snprintf (d->id, sizeof d->id, "db%u", index);
  d->store = st_new ();
  st_set_lag (d->store, 5 * GM_MS);
  g_queue_init (&d->deferred);
  g_queue_init (&d->queue);
  if (index == 0)
    st_start_primary (d->store, w->now);
  w->databases[index] = d;
}

void
world_start_database (World *w, guint index)
{
  Database *d = w->databases[index];
  d->alive = TRUE;
  d->epoch++;
  world_at (w, GM_MS, AT_DATABASE, index, replicate, NULL, d);
  world_at (w, GM_MS, AT_DATABASE, index, announce, NULL, d);
}

/* The log survives on disk; uncommitted changes are lost.  */
void
world_kill_database (World *w, guint index)
{
  Database *d = w->databases[index];
  d->alive = FALSE;
  d->epoch++;
  d->busy_slots = 0;
  g_queue_clear_full (&d->queue, job_free);
  if (d->frozen)
    world_freeze_database (w, index, FALSE);
  for (guint i = 0; i < w->conns->len; i++)
    {
      Conn *conn = g_ptr_array_index (w->conns, i);
      if (conn->database == index && !conn->closed
          && conn->host_epoch == w->hosts[conn->host]->epoch)
        send_lost (w, conn);
    }
}

void
database_free (Database *d)
{
  st_free (d->store);
  g_queue_clear_full (&d->queue, job_free);
  g_queue_clear (&d->deferred);
  g_free (d);
}
