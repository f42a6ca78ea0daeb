/* Tests of the dispatch core: the answer of a request for each combination of
   a phase and a fault in that phase.  */
#include "dispatch/dispatch.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define DEADLINE (400 * GM_MS)

/* A dispatch core with the databases db0 (primary), db1 and db2.  */
typedef struct
{
  DpCore *core;
  GmClock clock;
  GmTime now; /* time of clock */
  guint64 position;
  DpAction last_run;
  DpRequest *answer;
  guint runs;
  guint closes;
} Fixture;

static void
run_actions (Fixture *f)
{
  DpAction action;
  while (dp_take_action (f->core, &action))
    if (action.type == DP_OPEN)
      dp_connected (f->core, f->now, action.connection);
    else if (action.type == DP_RUN)
      {
        f->last_run = action;
        f->runs++;
      }
    else if (action.type == DP_CLOSE)
      f->closes++;
    else if (action.type == DP_ANSWER)
      {
        g_assert_null (f->answer);
        f->answer = action.request;
      }
}

static FoDatabaseStatus
status (guint64 term, guint64 last_term, guint64 position, gboolean primary)
{
  return (FoDatabaseStatus){ .primary = primary,
                             .term = term,
                             .last_term = last_term,
                             .received = position,
                             .applied = position };
}

static void
report_status (Fixture *f, const char *id, guint64 term, guint64 last_term,
               guint64 position, gboolean primary)
{
  FoDatabaseStatus s = status (term, last_term, position, primary);
  dp_report_status (f->core, f->now, f->now - GM_MS, id, &s);
  run_actions (f);
}

static void
fixture_start (Fixture *f)
{
  static const DpPolicy policy = { .order = DQ_FLOORS, .admission = TRUE };
  memset (f, 0, sizeof *f);
  f->core = dp_new (&policy, 3);
  gm_clock_pause (&f->clock, START);
  f->now = gm_now (&f->clock);
  f->position = 10;
  dp_set_term (f->core, f->now, 1, "db0");
  static const char *const ids[] = { "db0", "db1", "db2" };
  for (int i = 0; i < 3; i++)
    dp_set_database (f->core, f->now, ids[i], 2, 40, FALSE);
  run_actions (f);
  for (int i = 0; i < 3; i++)
    report_status (f, ids[i], 1, 1, f->position, i == 0);
}

static void
fixture_end (Fixture *f)
{
  if (f->answer != NULL)
    dp_request_free (f->answer);
  dp_free (f->core);
}

static DpRequest *
request (const Fixture *f, DpOperation operation)
{
  DpRequest *r = dp_request_new ();
  r->operation = operation;
  r->service = g_strdup ("quote");
  r->request_id = g_strdup ("id-1");
  r->statement = g_strdup ("put");
  r->deadline = f->now + DEADLINE;
  r->worth = 1;
  return r;
}

static void
finish_request (Fixture *f, GmKind kind, guint64 term, guint64 position,
                gboolean found)
{
  DpOutcome outcome = { .kind = kind, .found = found };
  gboolean primary = strcmp (f->last_run.database, "db1") == 0
                         ? term == 2
                         : strcmp (f->last_run.database, "db0") == 0;
  outcome.has_before = outcome.has_after = kind == GM_OK;
  outcome.before = status (term, term, position - 1, primary);
  outcome.after = status (term, term, position, primary);
  dp_request_done (f->core, f->now, f->last_run.connection, &outcome);
  run_actions (f);
}

static void
advance (Fixture *f, GmTime delta)
{
  gm_clock_advance (&f->clock, delta);
  f->now = gm_now (&f->clock);
  dp_tick (f->core, f->now);
  run_actions (f);
}

/* Fails the group over to db1 in term 2.  db1 has the first entry of the term;
   replicate_marker gives it to db2.  */
static void
fail_over (Fixture *f)
{
  dp_set_term (f->core, f->now, 2, "");
  run_actions (f);
  dp_set_term (f->core, f->now, 2, "db1");
  run_actions (f);
  report_status (f, "db1", 2, 2, 20, TRUE);
}

static void
replicate_marker (Fixture *f)
{
  report_status (f, "db2", 2, 2, 20, FALSE);
}

/* The phase that a write has reached when a fault occurs.  */
typedef enum
{
  IN_QUEUE,
  RUNNING,
  CONFIRMING
} Phase;

typedef enum
{
  NO_FAULT,
  REFUSED,        /* the database is not primary any more and refuses */
  LOST,           /* the connection is lost */
  LOST_FOUND,     /* lost; the new primary's log contains the write */
  LOST_ABSENT,    /* lost; the new primary's confirmed log does not */
  ABSENT_PENDING, /* lost; absent, but only one copy holds that log */
  SILENT,         /* the database does not answer */
  HANDOVER        /* another host takes over the group */
} Fault;

static const struct
{
  const char *name;
  Phase phase;
  Fault fault;
  GmKind expected;
} write_cases[] = {
  { "all-well", CONFIRMING, NO_FAULT, GM_OK },
  { "queued-no-primary", IN_QUEUE, SILENT, GM_DEADLINE },
  { "queued-handover", IN_QUEUE, HANDOVER, GM_DRAINING },
  { "running-refused", RUNNING, REFUSED, GM_DEADLINE },
  { "running-lost", RUNNING, LOST, GM_OUTCOME_UNKNOWN },
  { "running-lost-found", RUNNING, LOST_FOUND, GM_OK },
  { "running-lost-absent", RUNNING, LOST_ABSENT, GM_UNAVAILABLE },
  { "running-lost-absence-unsafe", RUNNING, ABSENT_PENDING,
    GM_OUTCOME_UNKNOWN },
  { "running-silent", RUNNING, SILENT, GM_OUTCOME_UNKNOWN },
  { "running-handover", RUNNING, HANDOVER, GM_OK },
  { "confirming-silent", CONFIRMING, SILENT, GM_OUTCOME_UNKNOWN },
  { "confirming-found", CONFIRMING, LOST_FOUND, GM_OK },
  { "confirming-absent", CONFIRMING, LOST_ABSENT, GM_UNAVAILABLE },
  { "confirming-handover", CONFIRMING, HANDOVER, GM_OK },
};

static void
inject_fault (Fixture *f, Phase phase, Fault fault)
{
  switch (fault)
    {
    case NO_FAULT:
      report_status (f, "db1", 1, 1, 11, FALSE);
      break;
    case REFUSED:
      dp_set_unreachable (f->core, f->now, "db0");
      finish_request (f, GM_UNAVAILABLE, 1, 11, FALSE);
      advance (f, 2 * DEADLINE);
      break;
    case LOST:
      dp_disconnected (f->core, f->now, f->last_run.connection);
      run_actions (f);
      advance (f, 2 * DEADLINE);
      break;
    case LOST_FOUND:
    case LOST_ABSENT:
    case ABSENT_PENDING:
      if (phase == RUNNING)
        dp_disconnected (f->core, f->now, f->last_run.connection);
      fail_over (f);
      if (fault != ABSENT_PENDING)
        replicate_marker (f);
      g_assert_cmpint (f->last_run.request->operation, ==, DP_OUTCOME);
      finish_request (f, GM_OK, 2, 20, fault == LOST_FOUND);
      if (fault == ABSENT_PENDING)
        {
          g_assert_null (f->answer);
          advance (f, 2 * DEADLINE);
        }
      break;
    case SILENT:
      advance (f, DEADLINE + 2 * DP_ANSWER_GRACE);
      break;
    case HANDOVER:
      dp_set_owned (f->core, f->now, FALSE);
      run_actions (f);
      if (phase == RUNNING)
        finish_request (f, GM_OK, 1, 11, FALSE);
      if (phase != IN_QUEUE)
        report_status (f, "db1", 1, 1, 11, FALSE);
      break;
    }
}

static void
test_write (gconstpointer data)
{
  gsize i = GPOINTER_TO_SIZE (data);
  Fixture f;
  fixture_start (&f);
  if (write_cases[i].phase == IN_QUEUE)
    dp_set_unreachable (f.core, f.now, "db0");
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  run_actions (&f);
  g_assert_cmpuint (f.runs, ==, write_cases[i].phase == IN_QUEUE ? 0 : 1);
  if (write_cases[i].phase == CONFIRMING)
    finish_request (&f, GM_OK, 1, 11, FALSE);
  g_assert_null (f.answer);
  inject_fault (&f, write_cases[i].phase, write_cases[i].fault);
  g_assert_nonnull (f.answer);
  g_assert_cmpint (f.answer->kind, ==, write_cases[i].expected);
  fixture_end (&f);
}

/* A read with the position that it requires, the status of the database that
   ran it, and whether it is answered or repeated.  */
static const struct
{
  const char *name;
  guint64 required_term;
  guint64 required;
  guint64 term;
  guint64 last_term;
  guint64 applied;
  gboolean answer_expected;
} read_cases[] = {
  { "has-it", 1, 9, 1, 1, 10, TRUE },
  { "behind", 1, 12, 1, 1, 10, FALSE },
  { "sealed-meanwhile", 1, 9, 2, 1, 10, FALSE },
  { "ends-in-an-older-term", 1, 9, 1, 0, 10, FALSE },
  { "token-of-a-later-term", 2, 9, 1, 1, 10, FALSE },
};

static void
test_read (gconstpointer data)
{
  gsize i = GPOINTER_TO_SIZE (data);
  Fixture f;
  fixture_start (&f);
  DpRequest *r = request (&f, DP_READ);
  r->session = TRUE;
  r->required = (TkPoint){ 1, 9 };
  dp_submit (f.core, f.now, r);
  run_actions (&f);
  g_assert_cmpuint (f.runs, ==, 1);
  g_assert_cmpstr (f.last_run.database, !=, "db0");
  r->required
      = (TkPoint){ read_cases[i].required_term, read_cases[i].required };
  DpOutcome outcome = { .kind = GM_OK, .has_before = TRUE, .has_after = TRUE };
  outcome.before = outcome.after
      = status (read_cases[i].term, read_cases[i].last_term,
                read_cases[i].applied, FALSE);
  dp_request_done (f.core, f.now, f.last_run.connection, &outcome);
  run_actions (&f);
  g_assert_cmpint (f.answer != NULL, ==, read_cases[i].answer_expected);
  fixture_end (&f);
}

/* Guards against other requests running on a transaction's connection.  */
static void
test_transaction (void)
{
  Fixture f;
  fixture_start (&f);
  dp_submit (f.core, f.now, request (&f, DP_BEGIN));
  run_actions (&f);
  guint64 pinned = f.last_run.connection;
  finish_request (&f, GM_OK, 1, 10, FALSE);
  guint64 transaction = f.answer->transaction;
  g_assert_cmpuint (transaction, !=, 0);
  g_clear_pointer (&f.answer, dp_request_free);
  for (int i = 0; i < 3; i++)
    {
      dp_submit (f.core, f.now, request (&f, DP_WRITE));
      run_actions (&f);
      g_assert_cmpuint (f.last_run.connection, !=, pinned);
    }
  DpRequest *r = request (&f, DP_STATEMENT);
  r->transaction = transaction;
  dp_submit (f.core, f.now, r);
  run_actions (&f);
  g_assert_cmpuint (f.last_run.connection, ==, pinned);
  /* After the connection is lost, requests of the transaction are answered
     with GM_TRANSACTION_LOST.  */
  dp_disconnected (f.core, f.now, pinned);
  run_actions (&f);
  g_assert_cmpint (f.answer->kind, ==, GM_TRANSACTION_LOST);
  g_clear_pointer (&f.answer, dp_request_free);
  r = request (&f, DP_COMMIT);
  r->transaction = transaction;
  dp_submit (f.core, f.now, r);
  run_actions (&f);
  g_assert_cmpint (f.answer->kind, ==, GM_TRANSACTION_LOST);
  fixture_end (&f);
}

/* Guards against taking a late report about a closed connection for the answer
   of a newer request.  */
static void
test_late_answer (void)
{
  Fixture f;
  fixture_start (&f);
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  run_actions (&f);
  advance (&f, DEADLINE + 2 * DP_ANSWER_GRACE);
  g_assert_cmpint (f.answer->kind, ==, GM_OUTCOME_UNKNOWN);
  g_clear_pointer (&f.answer, dp_request_free);
  DpAction late = f.last_run;
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  run_actions (&f);
  g_assert_cmpuint (f.last_run.connection, !=, late.connection);
  DpOutcome outcome = { .kind = GM_OK, .has_after = TRUE };
  outcome.after = status (1, 1, 11, TRUE);
  dp_request_done (f.core, f.now, late.connection, &outcome);
  run_actions (&f);
  g_assert_null (f.answer);
  fixture_end (&f);
}

/* No write is sent to a primary that is leaving.  */
static void
test_leaving (void)
{
  Fixture f;
  fixture_start (&f);
  dp_set_database (f.core, f.now, "db0", 2, 40, TRUE);
  run_actions (&f);
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  run_actions (&f);
  g_assert_cmpuint (f.runs, ==, 0);
  fixture_end (&f);
}

/* Guards against a flood of bulk requests with long deadlines taking the queue
   space of urgent ones.  */
static void
test_flood (void)
{
  Fixture f;
  fixture_start (&f);
  guint refused = 0;
  for (guint i = 0; i < DP_SERVICE_QUEUE_MAX + 100; i++)
    {
      DpRequest *r = request (&f, DP_WRITE);
      r->rank = CF_BULK;
      r->deadline = f.now + 600 * GM_SECOND;
      dp_submit (f.core, f.now, r);
      run_actions (&f);
      if (f.answer == NULL)
        continue;
      g_assert_cmpint (f.answer->kind, ==, GM_QUEUE_FULL);
      g_clear_pointer (&f.answer, dp_request_free);
      refused++;
    }
  g_assert_cmpuint (refused, >, 0);
  DpRequest *r = request (&f, DP_WRITE);
  r->rank = CF_URGENT;
  dp_submit (f.core, f.now, r);
  run_actions (&f);
  g_assert_null (f.answer);
  finish_request (&f, GM_OK, 1, 11, FALSE);
  g_assert_true (f.last_run.request == r);
  fixture_end (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (write_cases); i++)
    {
      g_autofree char *name
          = g_strconcat ("/dispatch/write/", write_cases[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_write);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (read_cases); i++)
    {
      g_autofree char *name
          = g_strconcat ("/dispatch/read/", read_cases[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_read);
    }
  g_test_add_func ("/dispatch/transaction", test_transaction);
  g_test_add_func ("/dispatch/late-answer", test_late_answer);
  g_test_add_func ("/dispatch/leaving", test_leaving);
  g_test_add_func ("/dispatch/flood", test_flood);
  return g_test_run ();
}
