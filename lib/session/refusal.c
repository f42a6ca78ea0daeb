#include "core.h"
#include "base/event.h"

/* Share of the time to its deadline that a statement may have to wait for
   sure, before this host refuses it.  Queues refuse from half on, but put
   statements of more worth in the place of others; urgent statements are
   refused last. */
#define WAIT_SHARE 0.75
#define URGENT_WAIT_SHARE 1.0
/* The same before a statement that a queue refused is sent to another one,
   which refuses from there on, too.  */
#define RETRY_WAIT_SHARE 0.5
/* Part of the time that a service aims for after which an answer, or the lack
   of one, shows that too much is sent to its queue's holder.  Half left more
   than a tenth of the statements late in a flood, as services and links take
   uneven times.  */
#define SLOW_AIM_PERCENT 40
/* An answer is missing after so many times that: a pause of a process or a
   database that is over sooner refuses nothing.  */
#define MISSING_FACTOR 2
/* Answers take up to this time without a full link or queue: large ones, busy
   processes.  */
#define SLOW_MIN (40 * GM_MS)

CfRank
sn_rank (const SnSession *s, const SnContext *world)
{
  const CfService *service = sn_find_service (s, world);
  return service != NULL ? service->rank : CF_ROUTINE;
}

/* The least wait that is sure for the statement at any database but its
   excluded one.  */
static GmTime
sure_wait (const SnSession *s, const SnContext *world,
           const CfService *service)
{
  const SnCall *call = &s->call;
  gboolean reads = call->min_position.position > 0 && !call->to_primary;
  return sr_sure_wait (world->router, world->state, world->now, s->group,
                       service->rank, reads, call->min_position_at,
                       call->exclude);
}

GmTime
sn_longest_wait (const CfService *service, GmTime left)
{
  double share = service->rank == CF_URGENT ? URGENT_WAIT_SHARE : WAIT_SHARE;
  return (GmTime)(share * (double)left);
}

gboolean
sn_refuse_late (SnSession *s, const SnContext *world, const CfService *service,
                SnStep *step)
{
  const SnCall *call = &s->call;
  GmTime longest = sn_longest_wait (service, call->deadline - world->now);
  GmTime wait = call->attempts == 0 ? sure_wait (s, world, service) : 0;
  if (wait <= longest || sr_lets_through (world->router))
    return FALSE;
  gm_count (GM_M_statements_refused_early_total, 1);
  step->retry_ms = (guint64)MAX ((wait - longest) / GM_MS, 1);
  sn_answer (s, step, GM_QUEUE_FULL,
             "not run: no queue serves it by its deadline");
  return TRUE;
}

/* The time after which an answer to a statement of SERVICE is slow.  */
static GmTime
slow_after (const CfService *service)
{
  gint64 aim = service == NULL          ? 0
               : service->target_ms > 0 ? service->target_ms
                                        : service->deadline_ms / 2;
  return MAX (aim * GM_MS * SLOW_AIM_PERCENT / 100, SLOW_MIN);
}

gboolean
sn_refuse_on_full_links (SnSession *s, const SnContext *world,
                         const CfService *service, const char *database,
                         SnStep *step)
{
  if (s->call.attempts > 0
      || sr_has_room (world->router, world->state, world->now,
                      s->call.customer, database, service->rank,
                      MISSING_FACTOR * slow_after (service)))
    return FALSE;
  gm_count (GM_M_statements_refused_early_total, 1);
  step->retry_ms = (guint64)(slow_after (service) / GM_MS);
  sn_answer (s, step, GM_QUEUE_FULL,
             "not run: too much is on its way to the queue");
  return TRUE;
}

/* Whether an answer of KIND shows a fault of the database or of the way to
   it.  */
static gboolean
is_database_failure (GmKind kind)
{
  return kind == GM_STATEMENT_FAILED || kind == GM_UNAVAILABLE
         || kind == GM_OUTCOME_UNKNOWN;
}

void
sn_update_router (SnSession *s, const SnContext *world,
                  const struct wm_statement_done *done)
{
  const SnCall *call = &s->call;
  GmTime now = world->now;
  GmTime held = (GmTime)MIN (done->held, G_MAXINT32);
  if (done->lead_number > 0)
    sr_note_position (world->router, s->group,
                      (TkPoint){ done->lead_term, done->lead_number },
                      call->sent_at
                          - (GmTime)MIN (done->lead_age, G_MAXINT32));
  const CfService *service = sn_find_service (s, world);
  BlReport report = {
    .rank = (guint)sn_rank (s, world),
    .wait = (GmTime)MIN (done->wait, G_MAXINT32),
    .running = (GmTime)MIN (done->running, G_MAXINT32),
    .slots = (guint)MIN (done->slots, G_MAXUINT16),
    .cost = (GmTime)MIN (done->cost, G_MAXINT32),
    .network_time = MAX (now - call->sent_at - held, 0),
  };
  sr_note_report (world->router, now, call->database, call->host, &report);
  sr_note_answer (world->router, now, call->database, call->host,
                  (CfRank)report.rank, call->sent_at,
                  done->kind == GM_DEADLINE || done->kind == GM_QUEUE_FULL
                      || now - call->sent_at > slow_after (service));
  GmKind kind = gm_kind_from_number (done->kind);
  if (kind == GM_OK || is_database_failure (kind))
    sr_note_result (world->router, now, call->database, kind != GM_OK);
  if (call->min_position.position > 0
      && (done->kind == GM_OK || done->kind == GM_LAGGING))
    sr_note_lag (world->router, now, call->database, done->kind == GM_LAGGING,
                 call->min_position_at);
}

gboolean
sn_take_retry (const SnContext *world)
{
  if (sr_take_retry (world->router, world->now))
    return TRUE;
  gm_count (GM_M_statements_retries_denied_total, 1);
  return FALSE;
}

gboolean
sn_is_limited (const SnSession *s, const SnContext *world, GmKind kind)
{
  return kind == GM_DEADLINE || kind == GM_QUEUE_FULL
         || (kind == GM_UNAVAILABLE && s->call.min_position.position > 0
             && sr_primary (world->router, world->state, s->group) != NULL);
}

/* Whether a copy other than the one that refused the statement may serve it in
   time.  */
static gboolean
can_be_served_elsewhere (const SnSession *s, const SnContext *world)
{
  const SnCall *call = &s->call;
  const CfService *service = sn_find_service (s, world);
  GmTime left = call->deadline - world->now;
  return service != NULL
         && sr_sure_wait (world->router, world->state, world->now, s->group,
                          service->rank, TRUE, call->min_position_at,
                          call->database)
                <= (GmTime)(RETRY_WAIT_SHARE * (double)left);
}

gboolean
sn_may_retry (const SnSession *s, const SnContext *world, GmKind kind)
{
  const SnCall *call = &s->call;
  if (s->transaction != 0 || gm_kind_ran (kind) != GM_RAN_NO)
    return FALSE;
  switch (kind)
    {
    case GM_UNAVAILABLE:
    case GM_DRAINING:
    case GM_STALE:
    case GM_LAGGING:
    case GM_READ_ONLY:
      return TRUE;
    case GM_UNKNOWN_SERVICE:
      /* The holder had a newer configuration, and this host has one now.  */
      return call->config != world->state->number;
    case GM_DEADLINE:
    case GM_QUEUE_FULL:
      /* Another replica may have a shorter queue.  Without a position, only
         the primary can run the statement.  */
      return call->min_position.position > 0 && call->exclude == NULL
             && can_be_served_elsewhere (s, world);
    default:
      return FALSE;
    }
}
