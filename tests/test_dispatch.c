/* The dispatch core: one row per phase of a request and fault in it.  */
#include "dispatch/dispatch.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define DEADLINE (400 * GM_MS)

/* A core with databases db0 (primary), db1 and db2.  */
typedef struct
{
  DpCore *core;
  GmClock clock;
  GmTime now; /* what the clock shows */
  guint64 position;
  DpAction last_run;
  DpRequest *answer;
  guint runs;
  guint closes;
} Fixture;

static void
pump (Fixture *f)
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

static FoDatabase
status (guint64 term, guint64 last_term, guint64 position, gboolean primary)
{
  return (FoDatabase){ .primary = primary,
                       .term = term,
                       .last_term = last_term,
                       .received = position,
                       .applied = position };
}

static void
report (Fixture *f, const char *id, guint64 term, guint64 last_term,
        guint64 position, gboolean primary)
{
  FoDatabase s = status (term, last_term, position, primary);
  dp_status (f->core, f->now, f->now - GM_MS, id, &s);
  pump (f);
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
  dp_group (f->core, f->now, 1, "db0");
  static const char *const ids[] = { "db0", "db1", "db2" };
  for (int i = 0; i < 3; i++)
    dp_database (f->core, f->now, ids[i], 2, 40, FALSE);
  pump (f);
  for (int i = 0; i < 3; i++)
    report (f, ids[i], 1, 1, f->position, i == 0);
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
done (Fixture *f, GmKind kind, guint64 term, guint64 position, gboolean found)
{
  DpOutcome outcome = { .kind = kind, .found = found };
  gboolean primary = strcmp (f->last_run.database, "db1") == 0
                         ? term == 2
                         : strcmp (f->last_run.database, "db0") == 0;
  outcome.has_before = outcome.has_after = kind == GM_OK;
  outcome.before = status (term, term, position - 1, primary);
  outcome.after = status (term, term, position, primary);
  dp_done (f->core, f->now, f->last_run.connection, &outcome);
  pump (f);
}

static void
advance (Fixture *f, GmTime delta)
{
  gm_clock_advance (&f->clock, delta);
  f->now = gm_now (&f->clock);
  dp_tick (f->core, f->now);
  pump (f);
}

/* The group fails over to db1 in term 2, whose marker both replicas hold.  */
static void
fail_over (Fixture *f)
{
  dp_group (f->core, f->now, 2, "");
  pump (f);
  dp_group (f->core, f->now, 2, "db1");
  pump (f);
  report (f, "db1", 2, 2, 20, TRUE);
}

static void
replicate_marker (Fixture *f)
{
  report (f, "db2", 2, 2, 20, FALSE);
}

/* The phase that a write has reached, the fault that strikes then, and the
   answer that must follow.  */
typedef enum
{
  IN_QUEUE,
  RUNNING,
  CONFIRMING
} Phase;

typedef enum
{
  NO_FAULT,
  REFUSED,        /* the database refuses it: not primary any more */
  LOST,           /* its connection is lost */
  LOST_FOUND,     /* lost; the new primary has it */
  LOST_ABSENT,    /* lost; the new primary's confirmed log hasn't */
  ABSENT_PENDING, /* lost; absent, but that log is held by one copy */
  SILENT,         /* no answer */
  HANDOVER        /* another host takes the group */
} Fault;

static const struct
{
  const char *name;
  Phase phase;
  Fault fault;
  GmKind expected;
} rows[] = {
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
strike (Fixture *f, Phase phase, Fault fault)
{
  switch (fault)
    {
    case NO_FAULT:
      report (f, "db1", 1, 1, 11, FALSE);
      break;
    case REFUSED:
      dp_set_unreachable (f->core, f->now, "db0");
      done (f, GM_UNAVAILABLE, 1, 11, FALSE);
      advance (f, 2 * DEADLINE);
      break;
    case LOST:
      dp_disconnected (f->core, f->now, f->last_run.connection);
      pump (f);
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
      done (f, GM_OK, 2, 20, fault == LOST_FOUND);
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
      pump (f);
      if (phase == RUNNING)
        done (f, GM_OK, 1, 11, FALSE);
      if (phase != IN_QUEUE)
        report (f, "db1", 1, 1, 11, FALSE);
      break;
    }
}

static void
test_write (gconstpointer data)
{
  gsize i = GPOINTER_TO_SIZE (data);
  Fixture f;
  fixture_start (&f);
  if (rows[i].phase == IN_QUEUE)
    dp_set_unreachable (f.core, f.now, "db0");
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  pump (&f);
  g_assert_cmpuint (f.runs, ==, rows[i].phase == IN_QUEUE ? 0 : 1);
  if (rows[i].phase == CONFIRMING)
    done (&f, GM_OK, 1, 11, FALSE);
  g_assert_null (f.answer);
  strike (&f, rows[i].phase, rows[i].fault);
  g_assert_nonnull (f.answer);
  g_assert_cmpint (f.answer->kind, ==, rows[i].expected);
  fixture_end (&f);
}

/* A read with what it requires and what the database that ran it said.  */
static const struct
{
  const char *name;
  guint64 required_term;
  guint64 required;
  guint64 term;
  guint64 last_term;
  guint64 applied;
  gboolean answered;
} reads[] = {
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
  pump (&f);
  g_assert_cmpuint (f.runs, ==, 1);
  g_assert_cmpstr (f.last_run.database, !=, "db0");
  r->required = (TkPoint){ reads[i].required_term, reads[i].required };
  DpOutcome outcome = { .kind = GM_OK, .has_before = TRUE, .has_after = TRUE };
  outcome.before = outcome.after
      = status (reads[i].term, reads[i].last_term, reads[i].applied, FALSE);
  dp_done (f.core, f.now, f.last_run.connection, &outcome);
  pump (&f);
  g_assert_cmpint (f.answer != NULL, ==, reads[i].answered);
  fixture_end (&f);
}

/* A transaction keeps its connection; nothing else runs on it.  */
static void
test_transaction (void)
{
  Fixture f;
  fixture_start (&f);
  dp_submit (f.core, f.now, request (&f, DP_BEGIN));
  pump (&f);
  guint64 pinned = f.last_run.connection;
  done (&f, GM_OK, 1, 10, FALSE);
  guint64 transaction = f.answer->transaction;
  g_assert_cmpuint (transaction, !=, 0);
  g_clear_pointer (&f.answer, dp_request_free);
  for (int i = 0; i < 3; i++)
    {
      dp_submit (f.core, f.now, request (&f, DP_WRITE));
      pump (&f);
      g_assert_cmpuint (f.last_run.connection, !=, pinned);
    }
  DpRequest *r = request (&f, DP_STATEMENT);
  r->transaction = transaction;
  dp_submit (f.core, f.now, r);
  pump (&f);
  g_assert_cmpuint (f.last_run.connection, ==, pinned);
  /* Its connection is lost: the transaction is over, and says so.  */
  dp_disconnected (f.core, f.now, pinned);
  pump (&f);
  g_assert_cmpint (f.answer->kind, ==, GM_TRANSACTION_LOST);
  g_clear_pointer (&f.answer, dp_request_free);
  r = request (&f, DP_COMMIT);
  r->transaction = transaction;
  dp_submit (f.core, f.now, r);
  pump (&f);
  g_assert_cmpint (f.answer->kind, ==, GM_TRANSACTION_LOST);
  fixture_end (&f);
}

/* A late report about a connection that is closed is dropped.  */
static void
test_late_answer (void)
{
  Fixture f;
  fixture_start (&f);
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  pump (&f);
  advance (&f, DEADLINE + 2 * DP_ANSWER_GRACE);
  g_assert_cmpint (f.answer->kind, ==, GM_OUTCOME_UNKNOWN);
  g_clear_pointer (&f.answer, dp_request_free);
  DpAction late = f.last_run;
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  pump (&f);
  g_assert_cmpuint (f.last_run.connection, !=, late.connection);
  DpOutcome outcome = { .kind = GM_OK, .has_after = TRUE };
  outcome.after = status (1, 1, 11, TRUE);
  dp_done (f.core, f.now, late.connection, &outcome);
  pump (&f);
  g_assert_null (f.answer);
  fixture_end (&f);
}

static void
test_leaving (void)
{
  Fixture f;
  fixture_start (&f);
  dp_database (f.core, f.now, "db0", 2, 40, TRUE);
  pump (&f);
  dp_submit (f.core, f.now, request (&f, DP_WRITE));
  pump (&f);
  g_assert_cmpuint (f.runs, ==, 0);
  fixture_end (&f);
}

/* A flood of patient bulk work fills its own places only.  */
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
      pump (&f);
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
  pump (&f);
  g_assert_null (f.answer);
  done (&f, GM_OK, 1, 11, FALSE);
  g_assert_true (f.last_run.request == r);
  fixture_end (&f);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *name
          = g_strconcat ("/dispatch/write/", rows[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_write);
    }
  for (gsize i = 0; i < G_N_ELEMENTS (reads); i++)
    {
      g_autofree char *name
          = g_strconcat ("/dispatch/read/", reads[i].name, NULL);
      g_test_add_data_func (name, GSIZE_TO_POINTER (i), test_read);
    }
  g_test_add_func ("/dispatch/transaction", test_transaction);
  g_test_add_func ("/dispatch/late-answer", test_late_answer);
  g_test_add_func ("/dispatch/leaving", test_leaving);
  g_test_add_func ("/dispatch/flood", test_flood);
  return g_test_run ();
}
