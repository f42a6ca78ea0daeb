/* Sessions at their entry host: statements answered there, routing of the
   others, retries, and the answers when a host or database is lost.  */
#include "pool/pool.h"
#include "session/session.h"
#include "three.h"
#include <string.h>

#define START (100 * GM_SECOND)

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"primary\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800, \"reads\": \"primary\"},"
      "{\"name\": \"session\", \"depends_on\": [\"g\"], \"rank\": \"routine\","
      " \"deadline_ms\": 800, \"reads\": \"session\", \"max_age_ms\": 2500},"
      "{\"name\": \"bounded\", \"depends_on\": [\"g\"], \"rank\": \"bulk\","
      " \"deadline_ms\": 800, \"reads\": \"bounded\", \"max_age_ms\": 1500}]}";

/* A session at an entry host in the data centre of db1.  db0 is the primary of
   three databases.  */
typedef struct
{
  CsState *state;
  LvCore *hosts;
  SrRouter *router;
  SnContext world;
  SnSession *session;
  SnStep step;
} Bench;

static Bench
bench_new (const char *service)
{
  LvCore *hosts = lv_new ();
  Bench b = { .state = three_databases (declaration),
              .hosts = hosts,
              .router = sr_new ("entry", "dc1", hosts) };
  sr_state_changed (b.router, b.state);
  b.world = (SnContext){ START, b.state, b.router };
  b.session = sn_new (service);
  return b;
}

static void
bench_free (Bench *b)
{
  sn_step_clear (&b->step);
  sn_free (b->session);
  sr_free (b->router);
  lv_free (b->hosts);
  cs_free (b->state);
}

static void
take (Bench *b, SnVerb verb, const char *name, const char *argument)
{
  SnStatement st
      = { .verb = verb,
          .id = g_strdup ("id"),
          .text = g_strdup ("text"),
          .name = g_strdup (name),
          .argument = g_strdup (argument),
          .writes = argument != NULL && g_str_has_prefix (argument, "WRITE") };
  sn_step_clear (&b->step);
  sn_submit (b->session, &b->world, &st, &b->step);
}

static void
result (Bench *b, GmKind kind, gboolean open, guint64 number)
{
  struct wm_statement_done done = { .kind = kind,
                                    .message = (char *)"",
                                    .signature = (char *)"sig",
                                    .transaction = open ? 5 : 0,
                                    .holder = 1,
                                    .open = open ? 1 : 0,
                                    .point_term = 1,
                                    .point_number = number };
  sn_step_clear (&b->step);
  sn_result (b->session, &b->world, &done, &b->step);
}

static void
wait_and_retry (Bench *b)
{
  b->world.now = b->step.until;
  sn_step_clear (&b->step);
  sn_retry (b->session, &b->world, &b->step);
}

/* The database that a statement is sent to first, by the age of the group's
   known position.  */
static const struct
{
  const char *service;
  SnVerb verb;
  GmTime position_age; /* -1: no position is known */
  const char *database;
  gboolean by_position;
} routing_cases[] = {
  { "primary", SN_READ, 100 * GM_MS, "db0", FALSE },
  { "primary", SN_WRITE, 100 * GM_MS, "db0", FALSE },
  { "bounded", SN_READ, -1, "db0", FALSE },
  { "bounded", SN_READ, 100 * GM_MS, "db1", TRUE },
  { "bounded", SN_READ, 1400 * GM_MS, "db1", TRUE },
  { "bounded", SN_READ, 1490 * GM_MS, "db0", FALSE },
  { "bounded", SN_READ, 1600 * GM_MS, "db0", FALSE },
  { "session", SN_READ, 1600 * GM_MS, "db1", TRUE },
  { "session", SN_READ, 2600 * GM_MS, "db0", FALSE },
  { "session", SN_WRITE, 100 * GM_MS, "db0", FALSE },
};

static void
test_routing (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (routing_cases); i++)
    {
      Bench b = bench_new (routing_cases[i].service);
      if (routing_cases[i].position_age >= 0)
        sr_note_position (b.router, "g", (TkPoint){ 1, 7 },
                          START - routing_cases[i].position_age);
      take (&b, routing_cases[i].verb, NULL, NULL);
      const struct wm_statement *m = &b.step.statement.statement;
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      g_assert_cmpstr (m->database, ==, routing_cases[i].database);
      g_assert_cmpint (m->after_number > 0, ==, routing_cases[i].by_position);
      bench_free (&b);
    }
}

/* Which statements tell the pool that they write.  A COMMIT does so only if
   its transaction wrote: its answer is then the proof that another copy has
   the write.  Guards against taking the COMMIT of a transaction that only read
   for such a proof.  */
static const struct
{
  gboolean in_transaction;
  SnVerb verb;
  const char *shape; /* of the prepared statement that is executed, or NULL */
  gboolean writes;   /* the statement, or the COMMIT of its transaction */
} writes_cases[] = {
  { FALSE, SN_READ, NULL, FALSE },
  { FALSE, SN_WRITE, NULL, TRUE },
  { FALSE, SN_EXECUTE, "READ q", FALSE },
  { FALSE, SN_EXECUTE, "WRITE q", TRUE },
  { TRUE, SN_READ, NULL, FALSE },
  { TRUE, SN_WRITE, NULL, TRUE },
  { TRUE, SN_EXECUTE, "READ q", FALSE },
  { TRUE, SN_EXECUTE, "WRITE q", TRUE },
};

static void
test_writes (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (writes_cases); i++)
    {
      Bench b = bench_new ("primary");
      gboolean executes = writes_cases[i].verb == SN_EXECUTE;
      if (executes)
        take (&b, SN_PREPARE, "s1", writes_cases[i].shape);
      if (writes_cases[i].in_transaction)
        take (&b, SN_BEGIN, NULL, NULL);
      take (&b, writes_cases[i].verb, executes ? "s1" : NULL, NULL);
      if (writes_cases[i].in_transaction)
        {
          result (&b, GM_OK, TRUE, 7);
          take (&b, SN_COMMIT, NULL, NULL);
        }
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      g_assert_cmpint (b.step.statement.statement.writes != 0, ==,
                       writes_cases[i].writes);
      bench_free (&b);
    }
}

/* A session's read sees the session's last write.  */
static void
test_own_write (void)
{
  Bench b = bench_new ("session");
  sr_note_position (b.router, "g", (TkPoint){ 1, 7 }, START - 10 * GM_MS);
  take (&b, SN_WRITE, NULL, NULL);
  result (&b, GM_OK, FALSE, 12);
  g_assert_cmpint (b.step.kind, ==, GM_OK);
  take (&b, SN_READ, NULL, NULL);
  g_assert_cmpuint (b.step.statement.statement.after_number, ==, 12);
  /* The replica lacks the write, so the read is retried at the primary.  */
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db1");
  result (&b, GM_LAGGING, FALSE, 9);
  g_assert_cmpint (b.step.next, ==, SN_SEND);
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db0");
  g_assert_cmpuint (b.step.statement.statement.after_number, ==, 12);
  bench_free (&b);
}

/* The replicas have each write 20 ms after it was acknowledged, the primary is
   busy for that long, and the caller reads its own write at once.  Guards
   against reads that all go to the primary, or nearly all make two trips, and
   against long waits.  */
static void
test_short_lag (void)
{
  Bench b = bench_new ("session");
  guint at_primary = 0;
  guint lagging = 0;
  GmTime waited = 0;
  BlReport busy = {
    .rank = CF_ROUTINE, .running = 20 * GM_MS, .slots = 1, .cost = 20 * GM_MS
  };
  for (guint i = 0; i < 1000; i++)
    {
      GmTime written = b.world.now = START + i * 100 * GM_MS;
      sr_note_position (b.router, "g", (TkPoint){ 1, 10 + i }, written);
      take (&b, SN_WRITE, NULL, NULL);
      result (&b, GM_OK, FALSE, 12 + i);
      sr_note_report (b.router, written, "db0",
                      cs_first_holder (b.state, "db0")->host, &busy);
      take (&b, SN_READ, NULL, NULL);
      while (b.step.next != SN_ANSWER)
        if (b.step.next == SN_WAIT)
          {
            waited += b.step.until - b.world.now;
            wait_and_retry (&b);
          }
        else if (strcmp (b.step.statement.statement.database, "db0") == 0)
          {
            at_primary++;
            result (&b, GM_OK, FALSE, 12 + i);
          }
        else if (b.world.now < written + 20 * GM_MS)
          {
            lagging++;
            result (&b, GM_LAGGING, FALSE, 1);
          }
        else
          result (&b, GM_OK, FALSE, 12 + i);
    }
  g_test_message ("%u at the primary, %u lagging, waited %.1f ms", at_primary,
                  lagging, (double)waited / 1000 / GM_MS);
  g_assert_cmpuint (lagging, <=, 100);
  g_assert_cmpuint (at_primary, <=, 300);
  g_assert_cmpint (waited / 1000, <=, 40 * GM_MS);
  bench_free (&b);
}

/* Two replicas lag by seconds while reads go on.  Reads try a lagging replica
   with exponential backoff, so that few reads pay the extra round trip.  */
static void
test_lag (void)
{
  Bench b = bench_new ("bounded");
  guint tries = 0;
  for (guint i = 0; i < 1000; i++)
    {
      b.world.now = START + i * 5 * GM_MS;
      sr_note_position (b.router, "g", (TkPoint){ 1, 7 + i }, b.world.now);
      take (&b, SN_READ, NULL, NULL);
      while (b.step.next == SN_WAIT
             || strcmp (b.step.statement.statement.database, "db0") != 0)
        if (b.step.next == SN_WAIT)
          wait_and_retry (&b);
        else
          {
            tries++;
            result (&b, GM_LAGGING, FALSE, 1);
          }
      result (&b, GM_OK, FALSE, 7 + i);
    }
  /* In 5 s, at each of two replicas: 6 tries while the backoff doubles, then
     one a second.  */
  g_assert_cmpuint (tries, <=, 24);
  g_assert_cmpuint (tries, >=, 4);
  bench_free (&b);
}

/* The caller's answer when the pool's host is lost during a statement.  */
static const struct
{
  SnVerb verb;
  gboolean started; /* inside a transaction that is open at a database */
  gboolean sent;
  SnNext next;
  GmKind kind;
} loss_cases[] = {
  { SN_READ, FALSE, TRUE, SN_WAIT, GM_OK },
  { SN_READ, FALSE, FALSE, SN_WAIT, GM_OK },
  { SN_WRITE, FALSE, FALSE, SN_WAIT, GM_OK },
  { SN_WRITE, FALSE, TRUE, SN_ANSWER, GM_OUTCOME_UNKNOWN },
  { SN_READ, TRUE, TRUE, SN_ANSWER, GM_TRANSACTION_LOST },
  { SN_WRITE, TRUE, TRUE, SN_ANSWER, GM_TRANSACTION_LOST },
  { SN_COMMIT, TRUE, TRUE, SN_ANSWER, GM_OUTCOME_UNKNOWN },
  { SN_COMMIT, TRUE, FALSE, SN_ANSWER, GM_TRANSACTION_LOST },
};

static void
test_losses (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (loss_cases); i++)
    {
      Bench b = bench_new ("primary");
      if (loss_cases[i].started)
        {
          take (&b, SN_BEGIN, NULL, NULL);
          take (&b, SN_WRITE, NULL, NULL);
          result (&b, GM_OK, TRUE, 3);
        }
      take (&b, loss_cases[i].verb, NULL, NULL);
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      sn_step_clear (&b.step);
      sn_lost (b.session, &b.world, loss_cases[i].sent, &b.step);
      g_assert_cmpint (b.step.next, ==, loss_cases[i].next);
      if (b.step.next == SN_ANSWER)
        g_assert_cmpint (b.step.kind, ==, loss_cases[i].kind);
      bench_free (&b);
    }
}

/* Guards against an answer of a kind that this host does not know, as a later
   version may send it: it ended the entry host.  */
static void
test_unknown_kind (void)
{
  static const guint64 kinds[]
      = { GM_KIND_COUNT, GM_KIND_COUNT + 5, G_MAXUINT32 };
  static const SnVerb verbs[] = { SN_READ, SN_WRITE, SN_COMMIT };
  for (guint i = 0; i < G_N_ELEMENTS (kinds) * G_N_ELEMENTS (verbs); i++)
    {
      SnVerb verb = verbs[i % G_N_ELEMENTS (verbs)];
      Bench b = bench_new ("primary");
      if (verb == SN_COMMIT)
        {
          take (&b, SN_BEGIN, NULL, NULL);
          take (&b, SN_WRITE, NULL, NULL);
          result (&b, GM_OK, TRUE, 3);
        }
      take (&b, verb, NULL, NULL);
      result (&b, (GmKind)kinds[i / G_N_ELEMENTS (verbs)], FALSE, 0);
      g_assert_cmpint (b.step.next, ==, SN_ANSWER);
      g_assert_cmpint (b.step.kind, ==, GM_INTERNAL);
      bench_free (&b);
    }
}

/* A refusal as unknown by a holder whose configuration differs is final only
   if this host's is the one by which the statement was sent.  */
static void
test_newer_configuration (void)
{
  for (guint i = 0; i < 2; i++)
    {
      Bench b = bench_new ("session");
      take (&b, SN_WRITE, NULL, NULL);
      const struct wm_statement *sent = &b.step.statement.statement;
      g_assert_cmpuint (sent->config, ==, 1);
      g_assert_cmpuint (sent->rank, ==, CF_ROUTINE);
      g_assert_cmpuint (sent->limit_ms, ==, 800);
      if (i == 1)
        {
          g_autofree char *next = g_strdup (declaration);
          *strchr (next, '1') = '2';
          three_declare (b.state, 2, next);
        }
      result (&b, GM_UNKNOWN_SERVICE, FALSE, 0);
      g_assert_cmpint (b.step.next, ==, i == 0 ? SN_ANSWER : SN_WAIT);
      if (b.step.next == SN_WAIT)
        {
          wait_and_retry (&b);
          g_assert_cmpint (b.step.next, ==, SN_SEND);
          g_assert_cmpuint (b.step.statement.statement.config, ==, 2);
        }
      bench_free (&b);
    }
}

/* The database and host that a statement is sent to while hosts that hold
   queues are silent; "" if the statement waits.  */
static const struct
{
  const char *service;
  SnVerb verb;
  const char *silent; /* hosts, separated by blanks */
  gboolean cut_off;   /* this host from the control hosts */
  const char *database;
  const char *host; /* that the statement is sent to */
} silent_host_cases[] = {
  { "bounded", SN_READ, "", FALSE, "db1", "host1" },
  { "bounded", SN_READ, "host1", FALSE, "db2", "host2" },
  { "bounded", SN_READ, "host1 host2", FALSE, "db0", "host0" },
  { "bounded", SN_READ, "host0 host1 host2", FALSE, "", "" },
  { "bounded", SN_READ, "host0", FALSE, "db1", "host1" },
  { "primary", SN_READ, "host1 host2", FALSE, "db0", "host0" },
  { "primary", SN_READ, "host0", FALSE, "", "" },
  { "primary", SN_WRITE, "host0", FALSE, "", "" },
  /* While cut off, this host stands in where no other can serve.  */
  { "bounded", SN_READ, "host1", TRUE, "db2", "host2" },
  { "bounded", SN_READ, "host0 host1 host2", TRUE, "db1", "self" },
  { "primary", SN_READ, "host0", TRUE, "db0", "self" },
  { "primary", SN_WRITE, "host0", TRUE, "db0", "self" },
  { "primary", SN_WRITE, "host1", TRUE, "db0", "host0" },
};

static void
test_silent_hosts (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (silent_host_cases); i++)
    {
      Bench b = bench_new (silent_host_cases[i].service);
      LvEvent event;
      g_auto (GStrv) hosts = g_strsplit (silent_host_cases[i].silent, " ", -1);
      for (guint k = 0; hosts[k] != NULL; k++)
        lv_sent (b.hosts, START - GM_SECOND, hosts[k]);
      while (lv_next (b.hosts, START, &event))
        ;
      b.world.cut_off = silent_host_cases[i].cut_off;
      b.world.host = "self";
      b.world.link = "127.0.0.1:3";
      sr_note_position (b.router, "g", (TkPoint){ 1, 7 }, START - 100 * GM_MS);
      take (&b, silent_host_cases[i].verb, NULL, NULL);
      gboolean is_sent = *silent_host_cases[i].database != '\0';
      g_assert_cmpint (b.step.next, ==, is_sent ? SN_SEND : SN_WAIT);
      if (is_sent)
        {
          const struct wm_statement *sent = &b.step.statement.statement;
          g_assert_cmpstr (sent->database, ==, silent_host_cases[i].database);
          g_assert_cmpstr (b.step.host, ==, silent_host_cases[i].host);
          g_assert_cmpint (sent->stand_in != 0, ==,
                           strcmp (silent_host_cases[i].host, "self") == 0);
        }
      bench_free (&b);
    }
}

/* A read whose host fell silent goes to another replica at once.  A
   statement of a transaction there ends as lost, and the transaction is
   released.  */
static void
test_lost_host (void)
{
  Bench b = bench_new ("bounded");
  sr_note_position (b.router, "g", (TkPoint){ 1, 7 }, START - 100 * GM_MS);
  take (&b, SN_READ, NULL, NULL);
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db1");
  sn_step_clear (&b.step);
  sn_lost (b.session, &b.world, TRUE, &b.step);
  g_assert_cmpint (b.step.next, ==, SN_SEND);
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db2");
  bench_free (&b);
  b = bench_new ("primary");
  take (&b, SN_BEGIN, NULL, NULL);
  take (&b, SN_WRITE, NULL, NULL);
  result (&b, GM_OK, TRUE, 3);
  take (&b, SN_READ, NULL, NULL);
  sn_step_clear (&b.step);
  sn_lost (b.session, &b.world, TRUE, &b.step);
  g_assert_cmpint (b.step.kind, ==, GM_TRANSACTION_LOST);
  g_assert_nonnull (b.step.release_host);
  g_assert_cmpuint (b.step.release.statement.transaction, ==, 5);
  bench_free (&b);
}

/* Statements that are answered without a database, run in this order in one
   session.  */
static const struct
{
  SnVerb verb;
  const char *name;
  const char *argument;
  GmKind kind;
  SnState after;
} script[] = {
  { SN_COMMIT, NULL, NULL, GM_INVALID, SN_NO_TRANSACTION },
  { SN_ROLLBACK, NULL, NULL, GM_INVALID, SN_NO_TRANSACTION },
  { SN_SET, "tz", "A", GM_OK, SN_NO_TRANSACTION },
  { SN_PREPARE, "s", "READ q", GM_OK, SN_NO_TRANSACTION },
  { SN_EXECUTE, "other", "item", GM_INVALID, SN_NO_TRANSACTION },
  { SN_DEALLOCATE, "other", NULL, GM_INVALID, SN_NO_TRANSACTION },
  { SN_DEALLOCATE, "s", NULL, GM_OK, SN_NO_TRANSACTION },
  { SN_BEGIN, NULL, NULL, GM_OK, SN_IN_TRANSACTION },
  { SN_SET, "tz", "B", GM_OK, SN_IN_TRANSACTION },
  { SN_BEGIN, NULL, NULL, GM_INVALID, SN_FAILED },
  { SN_SET, "tz", "C", GM_INVALID, SN_FAILED },
  { SN_READ, NULL, NULL, GM_INVALID, SN_FAILED },
  { SN_COMMIT, NULL, NULL, GM_TRANSACTION_LOST, SN_NO_TRANSACTION },
  { SN_BEGIN, NULL, NULL, GM_OK, SN_IN_TRANSACTION },
  { SN_ROLLBACK, NULL, NULL, GM_OK, SN_NO_TRANSACTION },
};

static void
test_script (void)
{
  Bench b = bench_new ("session");
  for (guint i = 0; i < G_N_ELEMENTS (script); i++)
    {
      take (&b, script[i].verb, script[i].name, script[i].argument);
      g_assert_cmpint (b.step.next, ==, SN_ANSWER);
      g_assert_cmpint (b.step.kind, ==, script[i].kind);
      g_assert_cmpint (sn_state (b.session), ==, script[i].after);
      g_assert_null (b.step.release_host);
    }
  bench_free (&b);
}

/* A transaction that fails is released at its holder at once.  */
static void
test_failed_transaction (void)
{
  Bench b = bench_new ("primary");
  take (&b, SN_BEGIN, NULL, NULL);
  take (&b, SN_WRITE, NULL, NULL);
  g_assert_cmpuint (b.step.statement.statement.begins, ==, DP_BEGIN_WRITE);
  result (&b, GM_OK, TRUE, 3);
  take (&b, SN_WRITE, NULL, NULL);
  g_assert_cmpuint (b.step.statement.statement.transaction, ==, 5);
  result (&b, GM_STATEMENT_FAILED, TRUE, 3);
  g_assert_cmpint (sn_state (b.session), ==, SN_FAILED);
  g_assert_nonnull (b.step.release_host);
  g_assert_cmpuint (b.step.release.statement.operation, ==, PL_ROLLBACK);
  g_assert_cmpuint (b.step.release.statement.transaction, ==, 5);
  bench_free (&b);
}

/* While a group has no primary, a statement waits for one, at most for
   SN_PRIMARY_WAIT_MAX.  The answer then says that nothing ran.  */
static void
test_no_primary (void)
{
  Bench b = bench_new ("primary");
  WmMessage term
      = { .type = WM_TYPE_CMD_TERM,
          .cmd_term
          = { .group = (char *)"g", .term = 2, .reason = (char *)"test" } };
  cs_apply (b.state, b.state->version + 1, &term, NULL);
  take (&b, SN_WRITE, NULL, NULL);
  GmTime begun = b.world.now;
  while (b.step.next == SN_WAIT)
    {
      b.world.now = b.step.until;
      sn_step_clear (&b.step);
      sn_retry (b.session, &b.world, &b.step);
    }
  g_assert_cmpint (b.step.next, ==, SN_ANSWER);
  g_assert_cmpint (gm_kind_ran (b.step.kind), ==, GM_RAN_NO);
  g_assert_cmpuint (b.step.retry_ms, >, 0);
  g_assert_cmpint (b.world.now - begun, <=, SN_PRIMARY_WAIT_MAX);
  /* A host that is cut off would not learn of a new primary, so it doesn't
     wait.  */
  b.world.cut_off = TRUE;
  take (&b, SN_WRITE, NULL, NULL);
  g_assert_cmpint (b.step.next, ==, SN_ANSWER);
  bench_free (&b);
}

/* How long a statement is retried, by the answer that its queue's host
   repeats.  A change of the primary or of the holder takes longer than a few
   attempts.  */
static void
test_retry_time (void)
{
  static const struct
  {
    GmKind kind;
    gboolean waits_for_primary; /* retried for SN_PRIMARY_WAIT_MAX */
  } rows[] = { { GM_READ_ONLY, TRUE },
               { GM_UNAVAILABLE, TRUE },
               { GM_DRAINING, TRUE },
               { GM_DEADLINE, FALSE } };
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      Bench b = bench_new ("primary");
      take (&b, SN_WRITE, NULL, NULL);
      while (b.step.next != SN_ANSWER)
        {
          if (b.step.next == SN_SEND)
            {
              result (&b, rows[i].kind, FALSE, 0);
              continue;
            }
          b.world.now = b.step.until;
          sn_step_clear (&b.step);
          sn_retry (b.session, &b.world, &b.step);
        }
      g_assert_cmpint (b.step.kind, ==, rows[i].kind);
      g_assert_cmpint (b.world.now - START
                           >= SN_PRIMARY_WAIT_MAX - SN_PRIMARY_RETRY,
                       ==, rows[i].waits_for_primary);
      g_assert_cmpint (b.world.now - START, <=, SN_PRIMARY_WAIT_MAX);
      bench_free (&b);
    }
}

/* A chosen database gets no statement before its promotion is known to be
   done: the choice may be given up, and its order carried out late.  */
static void
test_unsettled (void)
{
  Bench b = bench_new ("primary");
  WmMessage term
      = { .type = WM_TYPE_CMD_TERM,
          .cmd_term
          = { .group = (char *)"g", .term = 2, .reason = (char *)"test" } };
  WmMessage choice = { .type = WM_TYPE_CMD_PRIMARY,
                       .cmd_primary = { .group = (char *)"g",
                                        .term = 2,
                                        .id = (char *)"db2",
                                        .holder = (char *)"c1",
                                        .round = 1 } };
  cs_apply (b.state, b.state->version + 1, &term, NULL);
  cs_apply (b.state, b.state->version + 1, &choice, NULL);
  guint64 token = b.state->version;
  take (&b, SN_WRITE, NULL, NULL);
  g_assert_cmpint (b.step.next, ==, SN_WAIT);
  WmMessage promoted
      = { .type = WM_TYPE_CMD_PROMOTED,
          .cmd_promoted = { .group = (char *)"g", .token = token } };
  cs_apply (b.state, b.state->version + 1, &promoted, NULL);
  sn_step_clear (&b.step);
  sn_retry (b.session, &b.world, &b.step);
  g_assert_cmpint (b.step.next, ==, SN_SEND);
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db2");
  bench_free (&b);
}

/* The time that a queue is told a statement has used up: the caller's wait
   before, earlier attempts, and the time spent between hosts.  */
static const struct
{
  GmTime waited;     /* by the caller, before the statement */
  GmTime round_trip; /* round trip of the previous statement */
  GmTime held;       /* part of the round trip in the queue and database */
  GmTime retry_time; /* until the statement is sent again */
  GmTime spent;      /* expected */
} time_spent_cases[] = {
  { 0, 0, 0, 0, 0 },
  { 30 * GM_MS, 0, 0, 0, 30 * GM_MS },
  { 0, 40 * GM_MS, 15 * GM_MS, 0, 25 * GM_MS },
  { 0, 40 * GM_MS, 40 * GM_MS, 0, 0 },
  { 0, 40 * GM_MS, 90 * GM_MS, 0, 0 }, /* clocks run at different rates */
  { 0, 0, 0, 50 * GM_MS, 50 * GM_MS },
  { 0, 40 * GM_MS, 15 * GM_MS, 50 * GM_MS, 75 * GM_MS },
};

/* Guards against incident SHORT: a queue counted statements as in time that
   had used up their time outside the queue.  */
static void
test_time_spent (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (time_spent_cases); i++)
    {
      Bench b = bench_new ("primary");
      take (&b, SN_READ, NULL, NULL);
      b.world.now += time_spent_cases[i].round_trip;
      struct wm_statement_done done
          = { .kind = GM_OK,
              .message = (char *)"",
              .signature = (char *)"sig",
              .held = (guint64)time_spent_cases[i].held };
      sn_step_clear (&b.step);
      sn_result (b.session, &b.world, &done, &b.step);
      sn_set_waited (b.session, time_spent_cases[i].waited);
      take (&b, SN_READ, NULL, NULL);
      if (time_spent_cases[i].retry_time > 0)
        {
          sn_step_clear (&b.step);
          sn_lost (b.session, &b.world, FALSE, &b.step);
          g_assert_cmpint (b.step.next, ==, SN_WAIT);
          b.world.now += time_spent_cases[i].retry_time;
          sn_step_clear (&b.step);
          sn_retry (b.session, &b.world, &b.step);
        }
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      g_assert_cmpuint (b.step.statement.statement.waited, ==,
                        (guint64)time_spent_cases[i].spent);
      bench_free (&b);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/session/writes", test_writes);
  g_test_add_func ("/session/ways", test_routing);
  g_test_add_func ("/session/own-write", test_own_write);
  g_test_add_func ("/session/lag", test_lag);
  g_test_add_func ("/session/short-lag", test_short_lag);
  g_test_add_func ("/session/losses", test_losses);
  g_test_add_func ("/session/unknown-kind", test_unknown_kind);
  g_test_add_func ("/session/newer-configuration", test_newer_configuration);
  g_test_add_func ("/session/script", test_script);
  g_test_add_func ("/session/failed-transaction", test_failed_transaction);
  g_test_add_func ("/session/no-primary", test_no_primary);
  g_test_add_func ("/session/silent-hosts", test_silent_hosts);
  g_test_add_func ("/session/given-back", test_lost_host);
  g_test_add_func ("/session/tries", test_retry_time);
  g_test_add_func ("/session/unsettled", test_unsettled);
  g_test_add_func ("/session/time-spent", test_time_spent);
  return g_test_run ();
}
