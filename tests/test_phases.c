/* What a caller hears, by the phase that its statement or transaction was in
   when something was lost: a session at its entry host and the pool of a
   database together, without a network.  */
#include "pool/pool.h"
#include "session/session.h"
#include "three.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define IDLE (3 * GM_SECOND)

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"primary\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800, \"reads\": \"primary\"},"
      "{\"name\": \"bounded\", \"depends_on\": [\"g\"], \"rank\": \"bulk\","
      " \"deadline_ms\": 800, \"reads\": \"bounded\", \"max_age_ms\": 1500}]}";

typedef enum
{
  QUEUED_READ, /* at the pool, not sent */
  QUEUED_WRITE,
  REPLICA_READ, /* runs, and could run elsewhere */
  PRIMARY_READ, /* runs */
  WRITE,        /* alone, runs */
  FIRST,        /* statement of a transaction, runs */
  INSIDE,       /* a later one, runs */
  PAUSE,        /* the transaction is open, nothing runs; then COMMIT comes */
  COMMIT        /* runs */
} Phase;

typedef enum
{
  CONNECTION_LOST, /* of the pool to its database */
  DATABASE_SILENT,
  DATABASE_ANEW, /* started again: its pool loses all connections */
  QUEUE_MOVES,   /* the pool is given up */
  LINK_LOST,     /* between the entry host and the pool's */
  HOST_SILENT,   /* the pool's */
  ANSWER_LOST,   /* it runs, and only the others are answered */
  FAULTS
} Fault;

/* How it ends for the caller.  */
typedef enum
{
  ELSEWHERE, /* it is sent to another database */
  NOT_RUN,   /* refused, after other tries: nothing is kept */
  ABORTED,   /* the transaction has no effect */
  IN_DOUBT,  /* it may have had an effect */
  SERVED     /* it goes on as if nothing had happened */
} End;

static const struct
{
  Phase phase;
  const char *name;
  End ends[FAULTS];
} phases[] = {
  /* connection  silent  anew  moves  link  host  answer  */
  { QUEUED_READ,
    "queued read",
    { SERVED, ELSEWHERE, ELSEWHERE, ELSEWHERE, ELSEWHERE, ELSEWHERE,
      ELSEWHERE } },
  { QUEUED_WRITE,
    "queued write",
    { SERVED, NOT_RUN, NOT_RUN, NOT_RUN, IN_DOUBT, IN_DOUBT, IN_DOUBT } },
  { REPLICA_READ,
    "read at a replica",
    { ELSEWHERE, ELSEWHERE, ELSEWHERE, SERVED, ELSEWHERE, ELSEWHERE,
      ELSEWHERE } },
  { PRIMARY_READ,
    "read at the primary",
    { SERVED, NOT_RUN, NOT_RUN, SERVED, SERVED, NOT_RUN, SERVED } },
  { WRITE,
    "write",
    { IN_DOUBT, IN_DOUBT, IN_DOUBT, SERVED, IN_DOUBT, IN_DOUBT, IN_DOUBT } },
  { FIRST,
    "first statement",
    { ABORTED, ABORTED, ABORTED, SERVED, ABORTED, ABORTED, ABORTED } },
  { INSIDE,
    "statement inside",
    { ABORTED, ABORTED, ABORTED, SERVED, ABORTED, ABORTED, ABORTED } },
  { PAUSE,
    "pause inside",
    { ABORTED, IN_DOUBT, ABORTED, SERVED, ABORTED, ABORTED, IN_DOUBT } },
  { COMMIT,
    "commit",
    { IN_DOUBT, IN_DOUBT, IN_DOUBT, SERVED, IN_DOUBT, IN_DOUBT, IN_DOUBT } },
};

typedef struct
{
  CsState *state;
  LvCore *hosts;
  SrRouter *router;
  SnWorld world;
  SnSession *session;
  SnStep step;
  PlCore *pool; /* of the database that the statement was sent to */
  guint64 transactions;
  guint64 transaction; /* the session's, at the pool */
  char database[16];
  guint sent;         /* to the pool */
  gboolean dark;      /* the database answers nothing */
  PlRequest *running; /* the session's */
  guint64 running_on;
  GArray *others; /* guint64, connections that others run on */
  gboolean elsewhere;
} Bench;

static void
bench_init (Bench *b, const char *service)
{
  static const DpPolicy policy
      = { .order = DQ_FLOORS, .admission = TRUE, .extra = 1 };
  memset (b, 0, sizeof *b);
  b->state = three_databases (declaration);
  b->hosts = lv_new ();
  b->router = sr_new ("entry", "dc1", b->hosts);
  b->others = g_array_new (FALSE, FALSE, sizeof (guint64));
  sr_state (b->router, b->state);
  b->world = (SnWorld){ START, b->state, b->router };
  sr_note_lead (b->router, "g", (TkPoint){ 1, 7 }, START - 100 * GM_MS);
  b->session = sn_new (service);
  b->pool = pl_new (&policy, &b->transactions);
}

static void
bench_clear (Bench *b)
{
  sn_step_clear (&b->step);
  sn_free (b->session);
  pl_free (b->pool);
  sr_free (b->router);
  lv_free (b->hosts);
  cs_free (b->state);
  g_array_unref (b->others);
}

static void send_on (Bench *b);

static void
pool_answers (Bench *b, PlRequest *r)
{
  if (r->sequence != 0)
    {
      WmMessage done;
      pl_request_done (b->pool, r, b->world.now, 1, &done);
      b->transaction = r->transaction;
      b->running = NULL;
      sn_step_clear (&b->step);
      sn_result (b->session, &b->world, &done.statement_done, &b->step);
    }
  pl_request_free (r);
}

static void
pump (Bench *b)
{
  PlAction action;
  while (pl_take_action (b->pool, &action))
    {
      if (action.type == PL_OPEN && !b->dark)
        pl_connected (b->pool, b->world.now, action.connection);
      else if (action.type == PL_ANSWER)
        pool_answers (b, action.request);
      else if (action.type == PL_RUN && action.request->sequence != 0)
        {
          b->running = action.request;
          b->running_on = action.connection;
        }
      else if (action.type == PL_RUN)
        g_array_append_val (b->others, action.connection);
      pl_action_clear (&action);
    }
  send_on (b);
}

/* Delivers what the session sends to the pool, once it is known which database
   that is of.  */
static void
send_on (Bench *b)
{
  if (b->step.next != SN_SEND || b->elsewhere || b->running != NULL)
    return;
  const struct wm_statement *m = &b->step.statement.statement;
  if (*b->database == '\0')
    g_strlcpy (b->database, m->database, sizeof b->database);
  b->elsewhere = strcmp (b->database, m->database) != 0;
  if (b->elsewhere)
    return;
  const CfService *service
      = cf_service_find (cs_declaration (b->state), m->service);
  PlRequest *r = pl_request_from (m, service, b->world.now);
  r->sequence = ++b->sent;
  b->step.next = SN_ANSWER; /* until it is answered */
  wm_clear (&b->step.statement);
  b->step.kind = GM_INTERNAL;
  b->running = r; /* or queued */
  b->running_on = 0;
  pl_submit (b->pool, b->world.now, r);
  pump (b);
}

static void
take (Bench *b, SnVerb verb)
{
  SnStatement st
      = { .verb = verb, .id = g_strdup ("id"), .text = g_strdup ("text") };
  sn_step_clear (&b->step);
  sn_take (b->session, &b->world, &st, &b->step);
  send_on (b);
}

/* The database answers the session's statement.  */
static void
complete (Bench *b)
{
  gboolean open = sn_state (b->session) == SN_IN_TRANSACTION
                  && b->running->operation != PL_COMMIT;
  DpOutcome outcome = { .kind = GM_OK, .in_transaction = open };
  b->world.now += GM_MS;
  pl_done (b->pool, b->world.now, b->running_on, &outcome);
  pump (b);
}

/* Another session's read comes to the pool.  */
static void
add_other (Bench *b)
{
  static const CfService service
      = { .name = (char *)"other", .rank = CF_URGENT, .deadline_ms = 5000 };
  PlRequest *r = pl_request_new (&service, b->world.now + 5 * GM_SECOND);
  r->operation = PL_READ;
  r->after = (TkPoint){ 1, 1 };
  pl_submit (b->pool, b->world.now, r);
  pump (b);
}

static void
answer_others (Bench *b)
{
  while (b->others->len > 0)
    {
      guint64 conn = g_array_index (b->others, guint64, b->others->len - 1);
      DpOutcome outcome = { .kind = GM_OK };
      g_array_set_size (b->others, b->others->len - 1);
      b->world.now += GM_MS;
      pl_done (b->pool, b->world.now, conn, &outcome);
      pump (b);
    }
}

/* Brings the session into PHASE.  */
static void
enter (Bench *b, Phase phase)
{
  static const SnVerb verbs[]
      = { [QUEUED_READ] = SN_READ,  [QUEUED_WRITE] = SN_WRITE,
          [REPLICA_READ] = SN_READ, [PRIMARY_READ] = SN_READ,
          [WRITE] = SN_WRITE,       [FIRST] = SN_WRITE,
          [INSIDE] = SN_READ,       [PAUSE] = SN_WRITE,
          [COMMIT] = SN_COMMIT };
  pl_limits (b->pool, b->world.now, 2, 20, IDLE);
  pump (b);
  pl_tick (b->pool, b->world.now);
  pump (b);
  if (phase <= QUEUED_WRITE)
    for (guint i = 0; i < 3; i++)
      add_other (b);
  if (phase >= FIRST)
    take (b, SN_BEGIN);
  if (phase == INSIDE || phase == COMMIT)
    {
      take (b, SN_WRITE);
      complete (b);
    }
  take (b, verbs[phase]);
  if (phase == PAUSE)
    complete (b);
  g_assert_cmpint (b->running != NULL, ==, phase != PAUSE);
}

/* The shell tells the session that its statement is lost on the way.  */
static void
lose (Bench *b)
{
  b->running = NULL;
  sn_step_clear (&b->step);
  sn_lost (b->session, &b->world, TRUE, &b->step);
}

static void
strike (Bench *b, Phase phase, Fault fault)
{
  switch (fault)
    {
    case CONNECTION_LOST:
      {
        /* All of them, as when a process is killed and starts again.  */
        PlCounts counts;
        pl_counts (b->pool, &counts);
        for (guint64 conn = 1; conn <= counts.connections; conn++)
          pl_disconnected (b->pool, b->world.now, conn);
      }
      g_array_set_size (b->others, 0);
      pump (b);
      break;
    case DATABASE_SILENT:
      b->dark = TRUE;
      break;
    case DATABASE_ANEW:
      pl_drop_connections (b->pool, b->world.now);
      pump (b);
      break;
    case QUEUE_MOVES:
      pl_own (b->pool, b->world.now, FALSE);
      pump (b);
      break;
    case LINK_LOST:
      if (phase != PAUSE)
        lose (b);
      pl_abandon (b->pool, b->world.now, b->transaction);
      send_on (b);
      break;
    case HOST_SILENT:
      {
        LvEvent event;
        g_autofree char *host = g_strdup_printf ("host%c", b->database[2]);
        lv_sent (b->hosts, b->world.now, host);
        b->world.now += LV_SILENT;
        while (lv_next (b->hosts, b->world.now, &event))
          ;
        /* The shell keeps waiting for what may have a lasting effect.  */
        gboolean lasting
            = phase == QUEUED_WRITE || phase == WRITE || phase == COMMIT;
        b->dark = TRUE;
        if (phase != PAUSE && !lasting)
          lose (b);
        send_on (b);
        break;
      }
    case ANSWER_LOST:
      for (guint i = 0; i < 10; i++)
        {
          answer_others (b);
          add_other (b);
        }
      answer_others (b);
      break;
    default:
      g_assert_not_reached ();
    }
}

/* Lets time pass until the caller has its answer, or its statement has gone to
   another database.  */
static void
run_on (Bench *b, Fault fault)
{
  GmTime end = b->world.now + 2 * GM_SECOND;
  gboolean lost = fault == ANSWER_LOST;
  guint first = b->sent;
  while (!b->elsewhere && b->world.now < end
         && (b->running != NULL || b->step.next == SN_WAIT))
    {
      b->world.now += 10 * GM_MS;
      if (fault == HOST_SILENT && b->running != NULL
          && b->world.now > end - GM_SECOND)
        lose (b); /* its time is up */
      if (b->step.next == SN_WAIT && b->world.now >= b->step.until)
        {
          sn_step_clear (&b->step);
          sn_retry (b->session, &b->world, &b->step);
          send_on (b);
        }
      if (fault != HOST_SILENT)
        pl_tick (b->pool, b->world.now);
      pump (b);
      if (b->dark)
        continue;
      answer_others (b);
      if (b->running != NULL && b->running_on != 0
          && !(lost && b->sent == first))
        complete (b);
    }
}

static End
end_of (const Bench *b)
{
  if (b->elsewhere)
    return ELSEWHERE;
  if (b->step.kind == GM_OK)
    return SERVED;
  if (b->step.kind == GM_TRANSACTION_LOST)
    return ABORTED;
  return gm_kind_ran (b->step.kind) == GM_RAN_NO ? NOT_RUN : IN_DOUBT;
}

static void
test_phases (void)
{
  static const char *const faults[]
      = { "connection lost", "database silent", "database anew", "queue moves",
          "link lost",       "host silent",     "answer lost" };
  static const char *const ends[]
      = { "elsewhere", "not run", "aborted", "in doubt", "served" };
  for (guint i = 0; i < G_N_ELEMENTS (phases); i++)
    for (Fault fault = CONNECTION_LOST; fault < FAULTS; fault++)
      {
        Bench b;
        Phase phase = phases[i].phase;
        gboolean by_position = phase == QUEUED_READ || phase == REPLICA_READ;
        bench_init (&b, by_position ? "bounded" : "primary");
        enter (&b, phase);
        strike (&b, phase, fault);
        if (phase == PAUSE)
          take (&b, SN_COMMIT);
        run_on (&b, fault);
        /* Its answer can be found by the statement's id.  */
        if (!b.elsewhere)
          g_assert_cmpstr (b.step.id, ==, "id");
        if (end_of (&b) != phases[i].ends[fault])
          g_test_message ("%s, %s: %s (%s) instead of %s", phases[i].name,
                          faults[fault], ends[end_of (&b)], b.step.message,
                          ends[phases[i].ends[fault]]);
        if (end_of (&b) != phases[i].ends[fault])
          g_test_fail ();
        bench_clear (&b);
      }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/phases/faults", test_phases);
  return g_test_run ();
}
