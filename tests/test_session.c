/* Sessions at their entry host: what is answered there, what goes where, what
   is told when something is lost.  */
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

/* Three databases, db0 leads; an entry host in the data centre of db1.  */
typedef struct
{
  CsState *state;
  LvCore *hosts;
  SrRouter *router;
  SnWorld world;
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
  sr_state (b.router, b.state);
  b.world = (SnWorld){ START, b.state, b.router };
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
  sn_take (b->session, &b->world, &st, &b->step);
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

/* Where a statement goes first, by what is known of the group's position.  */
static const struct
{
  const char *service;
  SnVerb verb;
  GmTime known; /* age of the position known, -1: none */
  const char *database;
  gboolean by_position;
} ways[] = {
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
test_ways (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (ways); i++)
    {
      Bench b = bench_new (ways[i].service);
      if (ways[i].known >= 0)
        sr_note_lead (b.router, "g", (TkPoint){ 1, 7 }, START - ways[i].known);
      take (&b, ways[i].verb, NULL, NULL);
      const struct wm_statement *m = &b.step.statement.statement;
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      g_assert_cmpstr (m->database, ==, ways[i].database);
      g_assert_cmpint (m->after_number > 0, ==, ways[i].by_position);
      bench_free (&b);
    }
}

static void
test_own_write (void)
{
  Bench b = bench_new ("session");
  sr_note_lead (b.router, "g", (TkPoint){ 1, 7 }, START - 10 * GM_MS);
  take (&b, SN_WRITE, NULL, NULL);
  result (&b, GM_OK, FALSE, 12);
  g_assert_cmpint (b.step.kind, ==, GM_OK);
  take (&b, SN_READ, NULL, NULL);
  g_assert_cmpuint (b.step.statement.statement.after_number, ==, 12);
  /* The replica lacks it: the primary has it.  */
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db1");
  result (&b, GM_LAGGING, FALSE, 9);
  g_assert_cmpint (b.step.next, ==, SN_SEND);
  g_assert_cmpstr (b.step.statement.statement.database, ==, "db0");
  g_assert_cmpuint (b.step.statement.statement.after_number, ==, 12);
  bench_free (&b);
}

/* Two replicas fall seconds behind while reads go on: each is tried again only
   after doubling times, so that few reads pay a trip for it.  */
static void
test_lag (void)
{
  Bench b = bench_new ("bounded");
  guint tries = 0;
  for (guint i = 0; i < 1000; i++)
    {
      b.world.now = START + i * 5 * GM_MS;
      sr_note_lead (b.router, "g", (TkPoint){ 1, 7 + i }, b.world.now);
      take (&b, SN_READ, NULL, NULL);
      while (b.step.next == SN_SEND
             && strcmp (b.step.statement.statement.database, "db0") != 0)
        {
          tries++;
          result (&b, GM_LAGGING, FALSE, 1);
        }
      result (&b, GM_OK, FALSE, 7 + i);
    }
  /* 5 s of two replicas: 6 tries while the time doubles, then one a second. */
  g_assert_cmpuint (tries, <=, 24);
  g_assert_cmpuint (tries, >=, 4);
  bench_free (&b);
}

/* What a caller hears when the pool's host is lost with its statement.  */
static const struct
{
  SnVerb verb;
  gboolean started; /* inside a transaction that is open at a database */
  gboolean sent;
  SnNext next;
  GmKind kind;
} losses[] = {
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
  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      Bench b = bench_new ("primary");
      if (losses[i].started)
        {
          take (&b, SN_BEGIN, NULL, NULL);
          take (&b, SN_WRITE, NULL, NULL);
          result (&b, GM_OK, TRUE, 3);
        }
      take (&b, losses[i].verb, NULL, NULL);
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      sn_step_clear (&b.step);
      sn_lost (b.session, &b.world, losses[i].sent, &b.step);
      g_assert_cmpint (b.step.next, ==, losses[i].next);
      if (b.step.next == SN_ANSWER)
        g_assert_cmpint (b.step.kind, ==, losses[i].kind);
      bench_free (&b);
    }
}

/* Where a statement goes while hosts that hold queues are silent; "" where it
   waits.  */
static const struct
{
  const char *service;
  SnVerb verb;
  const char *silent; /* hosts, with blanks between */
  gboolean cut_off;   /* this host, from control */
  const char *database;
  const char *host; /* that serves it */
} silences[] = {
  { "bounded", SN_READ, "", FALSE, "db1", "host1" },
  { "bounded", SN_READ, "host1", FALSE, "db2", "host2" },
  { "bounded", SN_READ, "host1 host2", FALSE, "db0", "host0" },
  { "bounded", SN_READ, "host0 host1 host2", FALSE, "", "" },
  { "bounded", SN_READ, "host0", FALSE, "db1", "host1" },
  { "primary", SN_READ, "host1 host2", FALSE, "db0", "host0" },
  { "primary", SN_READ, "host0", FALSE, "", "" },
  { "primary", SN_WRITE, "host0", FALSE, "", "" },
  /* Cut off as well: this host stands in, where no other serves.  */
  { "bounded", SN_READ, "host1", TRUE, "db2", "host2" },
  { "bounded", SN_READ, "host0 host1 host2", TRUE, "db1", "self" },
  { "primary", SN_READ, "host0", TRUE, "db0", "self" },
  { "primary", SN_WRITE, "host0", TRUE, "db0", "self" },
  { "primary", SN_WRITE, "host1", TRUE, "db0", "host0" },
};

static void
test_silent_hosts (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (silences); i++)
    {
      Bench b = bench_new (silences[i].service);
      LvEvent event;
      g_auto (GStrv) hosts = g_strsplit (silences[i].silent, " ", -1);
      for (guint k = 0; hosts[k] != NULL; k++)
        lv_sent (b.hosts, START - GM_SECOND, hosts[k]);
      while (lv_next (b.hosts, START, &event))
        ;
      b.world.cut_off = silences[i].cut_off;
      b.world.host = "self";
      b.world.link = "127.0.0.1:3";
      sr_note_lead (b.router, "g", (TkPoint){ 1, 7 }, START - 100 * GM_MS);
      take (&b, silences[i].verb, NULL, NULL);
      gboolean goes = *silences[i].database != '\0';
      g_assert_cmpint (b.step.next, ==, goes ? SN_SEND : SN_WAIT);
      if (goes)
        {
          const struct wm_statement *sent = &b.step.statement.statement;
          g_assert_cmpstr (sent->database, ==, silences[i].database);
          g_assert_cmpstr (b.step.host, ==, silences[i].host);
          g_assert_cmpint (sent->stand_in != 0, ==,
                           strcmp (silences[i].host, "self") == 0);
        }
      bench_free (&b);
    }
}

/* A read whose host fell silent goes to another replica at once; statements of
   a transaction there are given up, and it is rolled back.  */
static void
test_given_back (void)
{
  Bench b = bench_new ("bounded");
  sr_note_lead (b.router, "g", (TkPoint){ 1, 7 }, START - 100 * GM_MS);
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

/* A script of statements and what is answered without a database.  */
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

/* A transaction that fails is given up at its holder at once.  */
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

/* The time for which a group has no primary: a statement waits for one, then
   hears that nothing ran.  */
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
  /* A host that would not hear of a new primary does not wait for one.  */
  b.world.cut_off = TRUE;
  take (&b, SN_WRITE, NULL, NULL);
  g_assert_cmpint (b.step.next, ==, SN_ANSWER);
  bench_free (&b);
}

/* What a statement waits for, by what its queue's host answers again and
   again: news of another primary or another holder take longer than a few
   tries.  */
static void
test_tries (void)
{
  static const struct
  {
    GmKind kind;
    gboolean holds; /* as long as SN_PRIMARY_WAIT_MAX */
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
      g_assert_cmpint (b.world.now - START >= SN_PRIMARY_WAIT_MAX - SN_PRIMARY_RETRY, ==,
                       rows[i].holds);
      g_assert_cmpint (b.world.now - START, <=, SN_PRIMARY_WAIT_MAX);
      bench_free (&b);
    }
}

/* A chosen database takes no statement before it is known to lead: a choice
   may be given up, and its order carried out late.  */
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

/* What a queue is told of a statement's time: how long the caller had waited,
   how long the statement has been tried, what it spends between hosts.  */
static const struct
{
  GmTime waited; /* by the caller, before */
  GmTime way;    /* of the statement before it */
  GmTime held;   /* of that, in the queue and at its database */
  GmTime tried;  /* until it is sent again */
  GmTime spent;
} spendings[] = {
  { 0, 0, 0, 0, 0 },
  { 30 * GM_MS, 0, 0, 0, 30 * GM_MS },
  { 0, 40 * GM_MS, 15 * GM_MS, 0, 25 * GM_MS },
  { 0, 40 * GM_MS, 40 * GM_MS, 0, 0 },
  { 0, 40 * GM_MS, 90 * GM_MS, 0, 0 }, /* a clock that runs otherwise */
  { 0, 0, 0, 50 * GM_MS, 50 * GM_MS },
  { 0, 40 * GM_MS, 15 * GM_MS, 50 * GM_MS, 75 * GM_MS },
};

/* Guards against SHORT: a queue counted statements as in time that had used up
   their time elsewhere.  */
static void
test_time_spent (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (spendings); i++)
    {
      Bench b = bench_new ("primary");
      take (&b, SN_READ, NULL, NULL);
      b.world.now += spendings[i].way;
      struct wm_statement_done done = { .kind = GM_OK,
                                        .message = (char *)"",
                                        .signature = (char *)"sig",
                                        .held = (guint64)spendings[i].held };
      sn_step_clear (&b.step);
      sn_result (b.session, &b.world, &done, &b.step);
      sn_waited (b.session, spendings[i].waited);
      take (&b, SN_READ, NULL, NULL);
      if (spendings[i].tried > 0)
        {
          sn_step_clear (&b.step);
          sn_lost (b.session, &b.world, FALSE, &b.step);
          g_assert_cmpint (b.step.next, ==, SN_WAIT);
          b.world.now += spendings[i].tried;
          sn_step_clear (&b.step);
          sn_retry (b.session, &b.world, &b.step);
        }
      g_assert_cmpint (b.step.next, ==, SN_SEND);
      g_assert_cmpuint (b.step.statement.statement.waited, ==,
                        (guint64)spendings[i].spent);
      bench_free (&b);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/session/ways", test_ways);
  g_test_add_func ("/session/own-write", test_own_write);
  g_test_add_func ("/session/lag", test_lag);
  g_test_add_func ("/session/losses", test_losses);
  g_test_add_func ("/session/script", test_script);
  g_test_add_func ("/session/failed-transaction", test_failed_transaction);
  g_test_add_func ("/session/no-primary", test_no_primary);
  g_test_add_func ("/session/silent-hosts", test_silent_hosts);
  g_test_add_func ("/session/given-back", test_given_back);
  g_test_add_func ("/session/tries", test_tries);
  g_test_add_func ("/session/unsettled", test_unsettled);
  g_test_add_func ("/session/time-spent", test_time_spent);
  return g_test_run ();
}
