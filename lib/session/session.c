#include "core.h"
#include "base/event.h"
#include "base/mutant.h"
#include <string.h>

/* Subtracted from an age bound for the trip to the database.  */
#define AGE_MARGIN (20 * GM_MS)
/* Deadline for the rollback of an abandoned transaction; it needs no slot.  */
#define RELEASE_DEADLINE (1 * GM_SECOND)

void
sn_statement_clear (SnStatement *statement)
{
  g_free (statement->id);
  g_free (statement->text);
  g_free (statement->name);
  g_free (statement->argument);
  memset (statement, 0, sizeof *statement);
}

void
sn_step_clear (SnStep *step)
{
  g_free (step->id);
  g_free (step->customer);
  g_free (step->signature);
  g_clear_pointer (&step->rows, g_bytes_unref);
  g_free (step->host);
  g_free (step->address);
  if (step->next == SN_SEND)
    wm_clear (&step->statement);
  if (step->release_host != NULL)
    wm_clear (&step->release);
  g_free (step->release_host);
  g_free (step->release_address);
  memset (step, 0, sizeof *step);
}

static void
prepared_free (SnPrepared *prepared)
{
  g_free (prepared->shape);
  g_free (prepared);
}

static int
compare_names (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

SnSession *
sn_new (const char *service)
{
  SnSession *s = g_new0 (SnSession, 1);
  s->service = g_strdup (service);
  s->values = g_tree_new_full (compare_names, NULL, g_free, g_free);
  s->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                       (GDestroyNotify)prepared_free);
  return s;
}

void
sn_call_clear (SnCall *call)
{
  sn_statement_clear (&call->statement);
  g_free (call->customer);
  g_free (call->database);
  g_free (call->host);
  g_free (call->address);
  g_free (call->exclude);
  memset (call, 0, sizeof *call);
}

static void
forget_transaction (SnSession *s)
{
  s->transaction = 0;
  g_clear_pointer (&s->host, g_free);
  g_clear_pointer (&s->address, g_free);
  g_clear_pointer (&s->database, g_free);
  g_clear_pointer (&s->customer, g_free);
}

void
sn_free (SnSession *s)
{
  sn_call_clear (&s->call);
  forget_transaction (s);
  g_tree_unref (s->values);
  g_hash_table_unref (s->prepared);
  g_free (s->service);
  g_free (s->group);
  g_free (s);
}

void
sn_set_waited (SnSession *s, GmTime waited)
{
  s->waited = waited;
}

void
sn_set_key (SnSession *s, const CfKeyDigest *key)
{
  s->has_key = key != NULL;
  if (key != NULL)
    s->key = *key;
}

const CfKeyDigest *
sn_key (const SnSession *s)
{
  return s->has_key ? &s->key : NULL;
}

gsize
sn_held_bytes (const SnSession *s)
{
  return s->values_bytes + s->prepared_bytes;
}

SnState
sn_state (const SnSession *s)
{
  return s->state;
}

const char *
sn_service (const SnSession *s)
{
  return s->service;
}

TkPoint
sn_position (const SnSession *s)
{
  return s->last_position;
}

void
sn_release (SnSession *s, SnStep *step)
{
  if (s->transaction == 0)
    return;
  step->release_host = g_steal_pointer (&s->host);
  step->release_address = g_steal_pointer (&s->address);
  step->release
      = (WmMessage){ .type = WM_TYPE_STATEMENT,
                     .statement = { .database = g_strdup (s->database),
                                    .holder = s->holder,
                                    .operation = PL_ROLLBACK,
                                    .transaction = s->transaction,
                                    .service = g_strdup (s->service),
                                    .deadline = RELEASE_DEADLINE,
                                    .customer = g_strdup (s->customer) } };
  forget_transaction (s);
}

void
sn_answer (SnSession *s, SnStep *step, GmKind kind, const char *message)
{
  step->next = SN_ANSWER;
  if (s->busy)
    {
      step->id = g_steal_pointer (&s->call.statement.id);
      step->customer = g_steal_pointer (&s->call.customer);
      step->arrived = s->call.arrived;
      step->attempts = s->call.attempts;
      step->network_time = s->call.network_time;
    }
  step->kind = kind;
  g_strlcpy (step->message, message, sizeof step->message);
  if (kind != GM_OK && s->state != SN_NO_TRANSACTION)
    {
      s->state = s->call.operation == PL_COMMIT && s->busy ? SN_NO_TRANSACTION
                                                           : SN_FAILED;
      sn_release (s, step);
    }
  if (s->busy)
    s->waited = 0;
  s->busy = FALSE;
  sn_call_clear (&s->call);
}

void
sn_wait_until (SnStep *step, GmTime until)
{
  step->next = SN_WAIT;
  step->until = until;
}

static gboolean
add_value (gpointer name, gpointer value, gpointer data)
{
  g_ptr_array_add (data, name);
  g_ptr_array_add (data, value);
  return FALSE;
}

static GBytes *
encode_values (const SnSession *s)
{
  g_autoptr (GPtrArray) list = g_ptr_array_new ();
  g_tree_foreach (s->values, add_value, list);
  return wm_strings_encode ((const char *const *)list->pdata, list->len);
}

/* Traces where the statement is sent and the position that it needs.  */
static void
trace_sent (const SnSession *s, const SnContext *world, const char *host,
            const char *database, gboolean stand_in)
{
  const SnCall *call = &s->call;
  if (!gm_is_sampled (call->statement.id))
    return;
  g_autofree char *after
      = call->min_position.position > 0
            ? g_strdup_printf ("after %" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
                               " of %" G_GINT64_FORMAT " ms ago",
                               call->min_position.term,
                               call->min_position.position,
                               (world->now - call->min_position_at) / GM_MS)
            : g_strdup ("at the primary");
  gm_trace (GM_EV_STATEMENT_SENT, call->statement.id, FALSE,
            "%s: %s%sto %s at %s%s, %s, try %u, control state "
            "%" G_GUINT64_FORMAT,
            s->service, call->customer != NULL ? call->customer : "",
            call->customer != NULL ? ": " : "", database, host,
            stand_in ? ", standing in" : "", after, call->attempts,
            world->state->version);
}

/* The part of the statement's time that is used up outside the queue of
   DATABASE at HOST, with the expected time between hosts, there and back.  The
   queue can't measure this itself.  */
static GmTime
time_spent (const SnSession *s, const SnContext *world, const char *database,
            const char *host)
{
  return s->waited + (world->now - s->call.arrived)
         + sr_network_time (world->router, database, host);
}

/* Whether another copy may run the statement if the queue that it is sent to
   gives it back.  It is moved once: where all queues are long, moving on costs
   more than waiting.  */
static gboolean
may_move (const SnSession *s, const SnContext *world)
{
  return s->transaction == 0 && s->call.min_position.position > 0
         && s->call.exclude == NULL && !world->cut_off;
}

/* Whether the statement in progress is a write or the COMMIT of a transaction
   that wrote.  */
static gboolean
has_written (const SnSession *s)
{
  return s->call.operation == PL_COMMIT ? s->transaction_wrote
                                        : s->call.writes;
}

/* Puts into M what its queue needs to know of SERVICE.  */
static void
describe_service (struct wm_statement *m, const CfService *service)
{
  m->rank = service->rank;
  m->worth = (guint64)service->worth;
  m->target_ms = (guint64)MAX (service->target_ms, 0);
  m->limit_ms = (guint64)service->deadline_ms;
}

/* Sends the statement to HOST, which holds DATABASE's pool or stands in for
   the host that does.  */
static void
send_statement (SnSession *s, const SnContext *world, const char *host,
                const char *address, const char *database, guint64 incarnation,
                gboolean stand_in, SnStep *step)
{
  SnCall *call = &s->call;
  const SnStatement *statement = &call->statement;
  gboolean executes = statement->verb == SN_EXECUTE;
  const CfService *service = sn_find_service (s, world);
  char *old[] = { call->database, call->host, call->address };
  call->database = g_strdup (database);
  call->host = g_strdup (host);
  call->address = g_strdup (address);
  for (gsize i = 0; i < G_N_ELEMENTS (old); i++)
    g_free (old[i]);
  call->attempts++;
  call->sent_at = world->now;
  call->config = world->state->number;
  trace_sent (s, world, host, database, stand_in);
  sr_note_sent (world->router, world->now, database, host, sn_rank (s, world));
  if (call->attempts == 1)
    sr_note_first_try (world->router, world->now);
  step->next = SN_SEND;
  step->host = g_strdup (host);
  step->address = g_strdup (address);
  step->statement = (WmMessage){
    .type = WM_TYPE_STATEMENT,
    .statement
    = { .database = g_strdup (database),
        .incarnation = incarnation,
        .holder = s->transaction != 0 ? s->holder : 0,
        .operation = call->operation,
        .begins = call->begins,
        .transaction = s->transaction,
        .service = g_strdup (s->service),
        .deadline = (guint64)MAX (call->deadline - world->now, 0),
        .waited = (guint64)time_spent (s, world, database, host),
        .after_term = call->min_position.term,
        .after_number = call->min_position.position,
        .id = g_strdup (statement->id),
        .text = g_strdup (executes ? NULL : statement->text),
        .prepared = g_strdup (executes ? call->shape : NULL),
        .arguments = g_strdup (executes ? statement->argument : NULL),
        .values = encode_values (s),
        .stand_in = stand_in ? 1 : 0,
        .customer = g_strdup (call->customer),
        .movable = may_move (s, world) ? 1 : 0,
        .writes = has_written (s) ? 1 : 0,
        .config = call->config }
  };
  if (service != NULL)
    describe_service (&step->statement.statement, service);
}

/* The time since which acknowledged writes must be visible to a read.  A
   session whose route has moved has no position of its own writes, but every
   position that the group's primary has proved since them includes them.  */
static GmTime
visible_since (const SnSession *s, const CfService *service)
{
  GmTime since
      = service->max_age_ms < 0
            ? G_MININT64
            : s->call.arrived - service->max_age_ms * GM_MS + AGE_MARGIN;
  gboolean by_time = service->reads == CF_READS_SESSION
                     && s->last_write_at != 0 && s->last_write.position == 0;
  return by_time ? MAX (since, s->last_write_at) : since;
}

/* Sets the position that a read must see.  FALSE when there is none, and the
   read must run at a primary that proves its lead.  */
static gboolean
set_min_position (SnSession *s, const SnContext *world,
                  const CfService *service)
{
  SnCall *call = &s->call;
  gboolean session = service->reads == CF_READS_SESSION;
  call->min_position = (TkPoint){ 0, 0 };
  if (service->reads == CF_READS_PRIMARY)
    return FALSE;
  if (!sr_position (world->router, s->group, visible_since (s, service),
                    &call->min_position, &call->min_position_at))
    return FALSE;
  /* A position that was proved after the write includes it.  If it is lower,
     the log has started anew, and no copy will ever have the write.  */
  if (session && call->min_position_at < s->last_write_at
      && tk_point_compare (s->last_write, call->min_position) > 0)
    {
      call->min_position = s->last_write;
      call->min_position_at = s->last_write_at;
    }
  return call->min_position.position > 0;
}

/* Chooses the database for a statement that is not in a transaction already
   open at a database.  */
static const CsDatabase *
choose_database (SnSession *s, const SnContext *world,
                 const CfService *service)
{
  SnCall *call = &s->call;
  gboolean opens_transaction = s->state == SN_IN_TRANSACTION;
  gboolean reads
      = opens_transaction ? s->transaction_read_only : !call->writes;
  call->begins = opens_transaction ? DP_BEGIN_WRITE : DP_NO_BEGIN;
  if (!reads || !set_min_position (s, world, service))
    return sr_primary (world->router, world->state, s->group);
  if (opens_transaction)
    call->begins = DP_BEGIN_READ;
  if (call->to_primary)
    return sr_primary (world->router, world->state, s->group);
  const CsDatabase *reader = sr_read_database (
      world->router, world->state, world->now, s->group, service->rank,
      call->min_position_at, call->exclude, FALSE);
  if (reader != NULL || !world->cut_off)
    return reader;
  return sr_read_database (world->router, world->state, world->now, s->group,
                           service->rank, call->min_position_at, call->exclude,
                           TRUE);
}

const CfService *
sn_find_service (const SnSession *s, const SnContext *world)
{
  return cs_declaration (world->state) != NULL
             ? cf_service_find (cs_declaration (world->state), s->service)
             : NULL;
}

static void
retry_later (SnSession *s, const SnContext *world, SnStep *step, GmKind kind,
             const char *message)
{
  GmTime at = world->now + SN_RETRY_DELAY;
  gboolean over = s->call.attempts >= SN_ATTEMPTS_MAX;
  if (kind == GM_READ_ONLY || kind == GM_UNAVAILABLE || kind == GM_DRAINING)
    {
      /* While cut off, this host would not learn of a new primary or
         holder.  */
      at = world->now + SN_PRIMARY_RETRY;
      over = world->cut_off || at >= s->call.arrived + SN_PRIMARY_WAIT_MAX;
    }
  if (over || at >= s->call.deadline)
    {
      step->retry_ms = (guint64)(SN_RETRY_DELAY / GM_MS);
      sn_answer (s, step, kind, message);
    }
  else
    sn_wait_until (step, at);
}

/* How long the statement waits here until the replica DATABASE is expected to
   have its position.  No statement waits longer than SR_LAG_WAIT_MAX in all.
   */
static GmTime
position_wait (const SnSession *s, const SnContext *world,
               const CsDatabase *database)
{
  const SnCall *call = &s->call;
  if (call->min_position.position == 0
      || database == sr_primary (world->router, world->state, s->group))
    return 0;
  GmTime wait = sr_position_delay (world->router, world->now, database->id,
                                   call->min_position_at);
  return world->now + wait <= call->arrived + SR_LAG_WAIT_MAX
                 && world->now + wait < call->deadline
             ? wait
             : 0;
}

void
sn_route_statement (SnSession *s, const SnContext *world, SnStep *step)
{
  if (s->transaction != 0 && sr_is_silent (world->router, s->host))
    {
      sn_answer (s, step, GM_TRANSACTION_LOST,
                 "not run: the transaction's host does not answer");
      return;
    }
  if (s->transaction != 0)
    {
      send_statement (s, world, s->host, s->address, s->database, 0, FALSE,
                      step);
      return;
    }
  const CfService *service = sn_find_service (s, world);
  if (service == NULL)
    {
      sn_answer (s, step, GM_UNKNOWN_SERVICE, "not run: no such service");
      return;
    }
  const char *group = g_ptr_array_index (service->depends_on, 0);
  if (g_strcmp0 (s->group, group) != 0)
    {
      /* A position in another group's log is meaningless here.  */
      g_free (s->group);
      s->group = g_strdup (group);
      s->last_write = (TkPoint){ 0, 0 };
      s->last_position = (TkPoint){ 0, 0 };
      if (GM_MUTANT (MOVED_FORGOTTEN))
        s->last_write_at = 0;
    }
  const CsDatabase *database = choose_database (s, world, service);
  if (database == NULL
      || cs_queue_holders (world->state, database->id) == NULL)
    {
      s->call.attempts++;
      retry_later (s, world, step, GM_UNAVAILABLE,
                   "not run: no database is available");
      return;
    }
  GmTime wait = position_wait (s, world, database);
  if (wait > 0)
    {
      gm_count (GM_M_reads_awaited_position_total, 1);
      sn_wait_until (step, world->now + wait);
      return;
    }
  if (sn_refuse_late (s, world, service, step))
    return;
  if (sn_refuse_on_full_links (s, world, service, database->id, step))
    return;
  const CsHost *host
      = sr_holder (world->router, world->state, world->now, s->call.customer,
                   database->id, service->rank);
  if (host != NULL)
    send_statement (s, world, host->host, host->link, database->id,
                    database->incarnation, FALSE, step);
  else if (world->cut_off && world->host != NULL)
    /* This host would not learn of a new holder.  */
    send_statement (s, world, world->host, world->link, database->id,
                    database->incarnation, TRUE, step);
  else
    retry_later (s, world, step, GM_UNAVAILABLE,
                 "not run: the host that holds the queue does not answer");
}

gboolean
sn_classify (SnSession *s, SnStep *step)
{
  SnCall *call = &s->call;
  const SnStatement *st = &call->statement;
  call->writes = st->verb == SN_WRITE;
  if (st->verb == SN_EXECUTE)
    {
      const SnPrepared *prepared = g_hash_table_lookup (s->prepared, st->name);
      if (prepared == NULL)
        {
          sn_answer (s, step, GM_INVALID,
                     "no statement is prepared by this name");
          return FALSE;
        }
      call->writes = prepared->writes;
      call->shape = prepared->shape;
    }
  if (call->writes && s->state == SN_IN_TRANSACTION
      && s->transaction_read_only)
    {
      sn_answer (s, step, GM_READ_ONLY, "the transaction is read-only");
      return FALSE;
    }
  call->operation = st->verb == SN_COMMIT           ? PL_COMMIT
                    : s->state == SN_IN_TRANSACTION ? PL_IN_TRANSACTION
                    : call->writes                  ? PL_WRITE
                                                    : PL_READ;
  return TRUE;
}

void
sn_refuse (SnSession *s, GmKind kind, const char *message, SnStep *step)
{
  g_assert (!s->busy);
  memset (step, 0, sizeof *step);
  sn_answer (s, step, kind, message);
}

/* Updates where the transaction is open from the pool's answer.  */
static void
follow_transaction (SnSession *s, const struct wm_statement_done *done)
{
  SnCall *call = &s->call;
  if (s->state != SN_IN_TRANSACTION)
    return;
  s->transaction_wrote = s->transaction_wrote || call->writes;
  if (done->open == 0)
    forget_transaction (s);
  else if (s->transaction == 0)
    {
      s->transaction = done->transaction;
      s->holder = done->holder;
      s->database = g_strdup (call->database);
      s->host = g_strdup (call->host);
      s->address = g_strdup (call->address);
      s->customer = g_strdup (call->customer);
    }
}

/* Ends the statement with the answer of its database.  */
static void
finish (SnSession *s, const SnContext *world,
        const struct wm_statement_done *done, SnStep *step)
{
  const SnCall *call = &s->call;
  gboolean committed = call->operation == PL_COMMIT && done->kind == GM_OK;
  gboolean wrote
      = call->operation == PL_WRITE || (committed && s->transaction_wrote);
  TkPoint point = { done->point_term, done->point_number };
  if (done->kind == GM_OK && point.position > 0)
    s->last_position = point;
  if (done->kind == GM_OK && wrote)
    {
      s->last_write = point;
      s->last_write_at = world->now;
    }
  if (committed)
    s->state = SN_NO_TRANSACTION;
  step->retry_ms = done->retry_ms;
  if (done->kind == GM_OK)
    {
      step->signature = g_strdup (done->signature);
      step->rows = done->rows != NULL ? g_bytes_ref (done->rows) : NULL;
    }
  sn_answer (s, step, gm_kind_from_number (done->kind),
             done->message != NULL ? done->message : "");
}

void
sn_result (SnSession *s, const SnContext *world,
           const struct wm_statement_done *done, SnStep *step)
{
  memset (step, 0, sizeof *step);
  GmKind kind = gm_kind_from_number (done->kind);
  GmTime held = (GmTime)MIN (done->held, G_MAXINT32);
  s->call.network_time += MAX (world->now - s->call.sent_at - held, 0);
  sn_update_router (s, world, done);
  if (sn_may_retry (s, world, kind)
      && (!sn_is_limited (s, world, kind) || sn_take_retry (world)))
    {
      SnCall *call = &s->call;
      /* Another copy may serve the read.  */
      gboolean retry_elsewhere = call->min_position.position > 0
                                 && call->exclude == NULL
                                 && kind != GM_READ_ONLY && kind != GM_STALE;
      g_free (call->exclude);
      call->exclude = g_strdup (call->database);
      call->to_primary = call->to_primary || kind == GM_LAGGING;
      gm_count (GM_M_statements_again_total, 1);
      if (kind == GM_LAGGING)
        gm_count (GM_M_reads_lagging_total, 1);
      if (retry_elsewhere)
        gm_count (GM_M_reads_second_trip_total, 1);
      gm_trace (GM_EV_STATEMENT_AGAIN, call->statement.id, FALSE,
                "%s: %s: %s; %s", call->database, gm_kind_text (kind),
                done->message != NULL ? done->message : "",
                retry_elsewhere ? "to another copy" : "later");
      if (retry_elsewhere)
        sn_route_again (s, world, step);
      else
        retry_later (s, world, step, kind, done->message);
      return;
    }
  follow_transaction (s, done);
  finish (s, world, done, step);
}

void
sn_lost (SnSession *s, const SnContext *world, gboolean sent, SnStep *step)
{
  memset (step, 0, sizeof *step);
  SnCall *call = &s->call;
  gboolean had_no_effect = !sent || call->operation == PL_READ;
  gboolean may_have_committed
      = (call->operation == PL_WRITE || call->operation == PL_COMMIT) && sent
        && !GM_MUTANT (GUESS_NOT_RUN);
  gm_trace (GM_EV_STATEMENT_AGAIN, call->statement.id, TRUE,
            "%s: no answer of %s, %s", call->database, call->host,
            sent ? "sent" : "not sent");
  gboolean retry_elsewhere = had_no_effect && s->transaction == 0
                             && call->min_position.position > 0
                             && call->exclude == NULL;
  if (retry_elsewhere && sent && !sn_take_retry (world))
    sn_answer (s, step, GM_UNAVAILABLE,
               "not run: its host was lost, and too many were retried");
  else if (retry_elsewhere)
    {
      call->exclude = g_strdup (call->database);
      sn_route_again (s, world, step);
    }
  else if (had_no_effect && s->transaction == 0)
    retry_later (s, world, step, GM_UNAVAILABLE,
                 "not run: the host that holds the queue can't be reached");
  else if (may_have_committed)
    {
      forget_transaction (s);
      sn_answer (
          s, step, GM_OUTCOME_UNKNOWN,
          "the host that held the queue was lost while the statement ran");
    }
  else
    {
      /* The host that holds the transaction rolls it back when the release
         arrives.  */
      sn_answer (s, step, GM_TRANSACTION_LOST,
                 "the transaction's host was lost; it has no effect");
    }
}

void
sn_not_sent (SnSession *s)
{
  s->call.attempts--;
}

void
sn_decline (SnSession *s, GmKind kind, const char *message, guint64 retry_ms,
            SnStep *step)
{
  memset (step, 0, sizeof *step);
  step->retry_ms = retry_ms;
  sn_answer (s, step, kind, message);
}

void
sn_end (SnSession *s, SnStep *step)
{
  memset (step, 0, sizeof *step);
  step->next = SN_ANSWER;
  sn_release (s, step);
}
