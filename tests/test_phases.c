/* The caller's answer for each fault, by the phase that the statement or
   transaction was in.  Runs a session at its entry host and the pool of a
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
  QUEUED_READ, /* waits in the pool's queue */
  QUEUED_WRITE,
  REPLICA_READ, /* a read runs that could run elsewhere */
  PRIMARY_READ, /* a read runs */
  WRITE,        /* a write outside a transaction runs */
  FIRST,        /* the first statement of a transaction runs */
  INSIDE,       /* a later statement of a transaction runs */
  PAUSE,        /* a transaction is open, nothing runs; then COMMIT comes */
  COMMIT        /* COMMIT runs */
} Phase;

typedef enum
{
  CONNECTION_LOST, /* the pool's connections to its database */
  DATABASE_SILENT,
  DATABASE_RESTARTED, /* database restarted: its pool drops all connections */
  QUEUE_MOVES,        /* to another host: the pool is no longer the owner */
  LINK_LOST,          /* between the entry host and the pool's host */
  HOST_SILENT,        /* the pool's host */
  ANSWER_LOST,        /* the statement runs, and only others are answered */
  FAULTS
} Fault;

/* How the statement ends for the caller.  */
typedef enum
{
  ELSEWHERE, /* sent to another database */
  NOT_RUN,   /* refused after retries, without effect */
  ABORTED,   /* the transaction has no effect */
  IN_DOUBT,  /* may have had an effect */
  SERVED     /* answered as without the fault */
} Ending;

static const struct
{
  Phase phase;
  const char *name;
  Ending endings[FAULTS];
} phases[] = {
  /* connection  silent  restarted  moves  link  host  answer  */
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
  SnContext world;
  SnSession *session;
  SnStep step;
  PlCore *pool; /* of the database that the statement was sent to */
  guint64 transactions;
  guint64 transaction; /* of the session, at the pool */
  char database[16];
  guint sent;            /* the session's requests to the pool */
  gboolean unresponsive; /* the database answers nothing */
  PlRequest *running;    /* the session's request, queued or running */
  guint64 running_on;    /* its connection; 0: queued */
  GArray *others;        /* guint64, connections that run other requests */
  gboolean elsewhere;    /* the statement went to another database */
} Bench;

static void
bench_init (Bench *b, const char *service)
{
  static const DpPolicy policy
      = { .order = DQ_FLOORS, .admission = TRUE, .extra_in_flight = 1 };
  memset (b, 0, sizeof *b);
  b->state = three_databases (declaration);
  b->hosts = lv_new ();
  b->router = sr_new ("entry", "dc1", b->hosts);
  b->others = g_array_new (FALSE, FALSE, sizeof (guint64));
  sr_state_changed (b->router, b->state);
  b->world = (SnContext){ START, b->state, b->router };
  sr_note_position (b->router, "g", (TkPoint){ 1, 7 }, START - 100 * GM_MS);
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

static void deliver (Bench *b);

static void
handle_answer (Bench *b, PlRequest *r)
{
  if (r->sequence != 0)
    {
      WmMessage done;
      pl_request_fill_answer (b->pool, r, b->world.now, 1, &done);
      b->transaction = r->transaction;
      b->running = NULL;
      sn_step_clear (&b->step);
      sn_result (b->session, &b->world, &done.statement_done, &b->step);
    }
  pl_request_free (r);
}

static void
run_actions (Bench *b)
{
  PlAction action;
  while (pl_take_action (b->pool, &action))
    {
      if (action.type == PL_OPEN && !b->unresponsive)
        pl_connected (b->pool, b->world.now, action.connection);
      else if (action.type == PL_ANSWER)
        handle_answer (b, action.request);
      else if (action.type == PL_RUN && action.request->sequence != 0)
        {
          b->running = action.request;
          b->running_on = action.connection;
        }
      else if (action.type == PL_RUN)
        g_array_append_val (b->others, action.connection);
      pl_action_clear (&action);
    }
  deliver (b);
}

/* Delivers a statement of the session to the pool.  The first one decides
   which database the pool is of; a statement to another database sets
   elsewhere.  */
static void
deliver (Bench *b)
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
  PlRequest *r = pl_request_from_message (m, service, b->world.now);
  r->sequence = ++b->sent;
  b->step.next = SN_ANSWER; /* placeholder until the pool answers */
  wm_clear (&b->step.statement);
  b->step.kind = GM_INTERNAL;
  b->running = r;
  b->running_on = 0;
  pl_submit (b->pool, b->world.now, r);
  run_actions (b);
}

static void
take (Bench *b, SnVerb verb)
{
  SnStatement st
      = { .verb = verb, .id = g_strdup ("id"), .text = g_strdup ("text") };
  sn_step_clear (&b->step);
  sn_submit (b->session, &b->world, &st, &b->step);
  deliver (b);
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
  run_actions (b);
}

/* Submits a read of another session to the pool.  */
static void
add_other (Bench *b)
{
  static const CfService service
      = { .name = (char *)"other", .rank = CF_URGENT, .deadline_ms = 5000 };
  PlRequest *r = pl_request_new (&service, b->world.now + 5 * GM_SECOND);
  r->operation = PL_READ;
  r->after_position = (TkPoint){ 1, 1 };
  pl_submit (b->pool, b->world.now, r);
  run_actions (b);
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
      run_actions (b);
    }
}

/* Brings the session into PHASE.  */
static void
enter_phase (Bench *b, Phase phase)
{
  static const SnVerb verbs[]
      = { [QUEUED_READ] = SN_READ,  [QUEUED_WRITE] = SN_WRITE,
          [REPLICA_READ] = SN_READ, [PRIMARY_READ] = SN_READ,
          [WRITE] = SN_WRITE,       [FIRST] = SN_WRITE,
          [INSIDE] = SN_READ,       [PAUSE] = SN_WRITE,
          [COMMIT] = SN_COMMIT };
  pl_set_limits (b->pool, b->world.now, 2, 20, IDLE);
  run_actions (b);
  pl_tick (b->pool, b->world.now);
  run_actions (b);
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

/* Tells the session that its statement is lost.  */
static void
report_loss (Bench *b)
{
  b->running = NULL;
  sn_step_clear (&b->step);
  sn_lost (b->session, &b->world, TRUE, &b->step);
}

static void
inject_fault (Bench *b, Phase phase, Fault fault)
{
  switch (fault)
    {
    case CONNECTION_LOST:
      {
        /* All connections, as when a process is killed and restarts.  */
        PlCounts counts;
        pl_counts (b->pool, &counts);
        for (guint64 conn = 1; conn <= counts.connections; conn++)
          pl_disconnected (b->pool, b->world.now, conn);
      }
      g_array_set_size (b->others, 0);
      run_actions (b);
      break;
    case DATABASE_SILENT:
      b->unresponsive = TRUE;
      break;
    case DATABASE_RESTARTED:
      pl_drop_connections (b->pool, b->world.now);
      run_actions (b);
      break;
    case QUEUE_MOVES:
      pl_set_queue_holder (b->pool, b->world.now, FALSE);
      run_actions (b);
      break;
    case LINK_LOST:
      if (phase != PAUSE)
        report_loss (b);
      pl_abort_transaction (b->pool, b->world.now, b->transaction);
      deliver (b);
      break;
    case HOST_SILENT:
      {
        LvEvent event;
        g_autofree char *host = g_strdup_printf ("host%c", b->database[2]);
        lv_sent (b->hosts, b->world.now, host);
        b->world.now += LV_SILENT_AFTER;
        while (lv_next (b->hosts, b->world.now, &event))
          ;
        /* The session is not told of the loss of a statement that may have a
           lasting effect: the entry host keeps waiting for its answer.  */
        gboolean may_have_effect
            = phase == QUEUED_WRITE || phase == WRITE || phase == COMMIT;
        b->unresponsive = TRUE;
        if (phase != PAUSE && !may_have_effect)
          report_loss (b);
        deliver (b);
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

/* Lets time pass until the caller has the answer or the statement has gone to
   another database.  */
static void
run_until_answered (Bench *b, Fault fault)
{
  GmTime end = b->world.now + 2 * GM_SECOND;
  gboolean drop_answer = fault == ANSWER_LOST;
  guint first = b->sent;
  while (!b->elsewhere && b->world.now < end
         && (b->running != NULL || b->step.next == SN_WAIT))
    {
      b->world.now += 10 * GM_MS;
      if (fault == HOST_SILENT && b->running != NULL
          && b->world.now > end - GM_SECOND)
        report_loss (b); /* the statement's time is up */
      if (b->step.next == SN_WAIT && b->world.now >= b->step.until)
        {
          sn_step_clear (&b->step);
          sn_retry (b->session, &b->world, &b->step);
          deliver (b);
        }
      if (fault != HOST_SILENT)
        pl_tick (b->pool, b->world.now);
      run_actions (b);
      if (b->unresponsive)
        continue;
      answer_others (b);
      if (b->running != NULL && b->running_on != 0
          && !(drop_answer && b->sent == first))
        complete (b);
    }
}

static Ending
ending_of (const Bench *b)
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
      = { "connection lost", "database silent", "database restarted",
          "queue moves",     "link lost",       "host silent",
          "answer lost" };
  static const char *const endings[]
      = { "elsewhere", "not run", "aborted", "in doubt", "served" };
  for (guint i = 0; i < G_N_ELEMENTS (phases); i++)
    for (Fault fault = CONNECTION_LOST; fault < FAULTS; fault++)
      {
        Bench b;
        Phase phase = phases[i].phase;
        gboolean by_position = phase == QUEUED_READ || phase == REPLICA_READ;
        bench_init (&b, by_position ? "bounded" : "primary");
        enter_phase (&b, phase);
        inject_fault (&b, phase, fault);
        if (phase == PAUSE)
          take (&b, SN_COMMIT);
        run_until_answered (&b, fault);
        /* The answer names the statement's id.  */
        if (!b.elsewhere)
          g_assert_cmpstr (b.step.id, ==, "id");
        if (ending_of (&b) != phases[i].endings[fault])
          g_test_message ("%s, %s: %s (%s) instead of %s", phases[i].name,
                          faults[fault], endings[ending_of (&b)],
                          b.step.message, endings[phases[i].endings[fault]]);
        if (ending_of (&b) != phases[i].endings[fault])
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
