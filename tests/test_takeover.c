/* Failover of a group at the control leader: when a primary is replaced, which
   database is chosen, and how its promotion is ordered and recorded.  */
#include "control/control.h"
#include "failover/takeover.h"
#include <string.h>

#define START (100 * GM_SECOND)

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"s\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800}]}";

/* A group of three databases whose pools are all at host0; db0 is the
   primary.  */
typedef struct
{
  CsState *state;
  ToCore *core;
  GmTime now;
  guint calls[FO_CALL_STEP_DOWN + 1];
  guint orders;
  guint64 token;
  char ordered[16];
} Bench;

static void
commit (Bench *b, const WmMessage *m)
{
  cs_apply (b->state, b->state->version + 1, m, NULL);
}

/* Announces the database ID, which runs in the place PLACE since
   INCARNATION.  */
static void
announce (Bench *b, const char *id, guint place, guint64 incarnation,
          gboolean leaving, gboolean primary)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", place + 2);
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = (char *)id,
                                    .group = (char *)"g",
                                    .address = address,
                                    .data_centre = (char *)"dc",
                                    .slots = 2,
                                    .incarnation = incarnation,
                                    .leaving = leaving ? 1 : 0,
                                    .term = 1,
                                    .primary = primary ? 1 : 0 } };
  commit (b, &m);
  to_heartbeat (b->core, b->now, &m.cmd_database);
}

static void
add_database (Bench *b, guint i, gboolean leaving)
{
  g_autofree char *id = g_strdup_printf ("db%u", i);
  announce (b, id, i, 1, leaving, i == 0);
}

/* The database ID is out of sight.  */
static void
lose_sight (Bench *b, const char *id)
{
  WmMessage m
      = { .type = WM_TYPE_CMD_DATABASE_DOWN,
          .cmd_database_down = { .id = (char *)id, .incarnation = 1 } };
  commit (b, &m);
}

static Bench
bench_new (void)
{
  Bench b = { .state = cs_new (), .core = to_new ("c1"), .now = START };
  g_autoptr (GBytes) text
      = g_bytes_new_static (declaration, strlen (declaration));
  WmMessage config = { .type = WM_TYPE_CMD_CONFIG,
                       .cmd_config = { .number = 1,
                                       .digest = (char *)"d",
                                       .text = text,
                                       .who = (char *)"test" } };
  WmMessage host = { .type = WM_TYPE_CMD_HOST,
                     .cmd_host = { .host = (char *)"host0",
                                   .incarnation = 1,
                                   .caller = (char *)"",
                                   .link = (char *)"127.0.0.1:1",
                                   .data_centre = (char *)"dc",
                                   .roles = CS_POOL } };
  to_lead (b.core, b.now, 7);
  commit (&b, &config);
  commit (&b, &host);
  for (guint i = 0; i < 3; i++)
    add_database (&b, i, FALSE);
  return b;
}

static void
bench_free (Bench *b)
{
  to_free (b->core);
  cs_free (b->state);
}

/* Reports what the pool of the database ID sees.  */
static void
report (Bench *b, const char *id, gboolean reachable, guint64 silent,
        guint64 stuck, guint64 acked)
{
  WmMessage seen = { .type = WM_TYPE_SEEN,
                     .seen = { .id = (char *)id,
                               .reachable = reachable ? 1 : 0,
                               .silent = silent,
                               .stuck = stuck,
                               .confirmed = stuck,
                               .last_term = 1,
                               .received = acked } };
  GByteArray *out = g_byte_array_new ();
  wm_append (out, &seen);
  g_autoptr (GBytes) list = g_byte_array_free_to_bytes (out);
  WmMessage m = { .type = WM_TYPE_REPORT,
                  .report = { .host = (char *)"host0", .databases = list } };
  to_report (b->core, b->now, b->state, &m.report);
}

static void
report_all (Bench *b, guint64 silent, guint64 stuck, guint64 acked)
{
  report (b, "db0", silent == 0, silent, stuck, acked);
  report (b, "db1", TRUE, 0, 0, 0);
  report (b, "db2", TRUE, 0, 0, 0);
}

/* Runs one tick of the leader, commits its commands and counts its actions. */
static void
tick (Bench *b)
{
  WmMessage command;
  ToAction action;
  b->now += 10 * GM_MS;
  to_tick (b->core, b->now, 0, b->state);
  while (to_take_command (b->core, &command))
    {
      commit (b, &command);
      wm_clear (&command);
    }
  while (to_take_action (b->core, &action))
    {
      if (action.type == TO_CALL)
        b->calls[action.call]++;
      else
        {
          b->orders++;
          b->token = action.token;
          g_strlcpy (b->ordered, action.id, sizeof b->ordered);
        }
      to_action_clear (&action);
    }
}

/* Answers a seal call: ID is sealed with the position NUMBER of TERM.  */
static void
answer_seal (Bench *b, const char *id, guint64 term, guint64 number)
{
  FoDatabaseStatus status = { .term = 1,
                              .last_term = term,
                              .received = number,
                              .sealed_term = cs_group (b->state, "g")->term };
  to_call_done (b->core, b->now, id, TRUE, &status);
}

static const char *
primary (const Bench *b)
{
  return cs_group (b->state, "g")->primary;
}

/* Makes db0 silent until the leader opens a new term.  */
static void
silence_primary (Bench *b)
{
  report_all (b, 500, 0, 40);
  tick (b);
  to_call_done (b->core, b->now, "db0", FALSE, NULL);
  tick (b);
  tick (b);
}

/* What the pool and the leader's own call see, and whether db0 is replaced. */
static const struct
{
  guint64 silent;
  guint64 stuck;
  gboolean answers; /* db0 answers the leader's own call */
  gboolean others;  /* the pools reach the other databases */
  gboolean replaced;
} replacement_cases[] = {
  { 0, 0, TRUE, TRUE, FALSE },     { 300, 0, FALSE, TRUE, FALSE },
  { 500, 0, TRUE, TRUE, FALSE },   { 500, 0, FALSE, TRUE, TRUE },
  { 0, 900, TRUE, TRUE, FALSE },   { 0, 1100, TRUE, TRUE, TRUE },
  { 0, 1100, TRUE, FALSE, FALSE },
};

static void
test_replacement (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (replacement_cases); i++)
    {
      Bench b = bench_new ();
      report (&b, "db0", replacement_cases[i].silent < 400,
              replacement_cases[i].silent, replacement_cases[i].stuck, 40);
      report (&b, "db1", replacement_cases[i].others, 0, 0, 0);
      report (&b, "db2", TRUE, 0, 0, 0);
      tick (&b);
      if (b.calls[FO_CALL_STATUS] > 0)
        to_call_done (b.core, b.now, "db0", replacement_cases[i].answers,
                      NULL);
      tick (&b);
      g_assert_cmpint (*primary (&b) == '\0', ==,
                       replacement_cases[i].replaced);
      bench_free (&b);
    }
}

/* The primary is cut off together with the host that holds its queue: no pool
   reports on it, and the leader's own calls decide.  */
static const struct
{
  guint since_report_ms;
  gboolean answers;
  gboolean replaced;
} unreported_cases[] = {
  { 600, FALSE, FALSE }, /* a report may be on its way */
  { 900, FALSE, FALSE }, /* probed, but not silent for long enough */
  { 1300, FALSE, TRUE },
  { 1300, TRUE, FALSE }, /* only the queue's host is lost */
};

static void
test_unreported (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (unreported_cases); i++)
    {
      Bench b = bench_new ();
      report_all (&b, 0, 0, 40);
      GmTime begun = b.now;
      GmTime asked = 0;
      while (b.now < begun + unreported_cases[i].since_report_ms * GM_MS)
        {
          tick (&b);
          if (b.calls[FO_CALL_STATUS] > 0 && asked == 0)
            asked = b.now;
          if (asked == 0 || b.now < asked + TO_CALL_TIMEOUT)
            continue;
          to_call_done (b.core, b.now, "db0", unreported_cases[i].answers,
                        NULL);
          b.calls[FO_CALL_STATUS] = 0;
          asked = 0;
        }
      g_assert_cmpint (*primary (&b) == '\0', ==,
                       unreported_cases[i].replaced);
      bench_free (&b);
    }
}

/* The leader probes a primary before it has been silent for long enough to be
   replaced, so that the result is known by then.  */
static void
test_early_probe (void)
{
  Bench b = bench_new ();
  report_all (&b, 100, 0, 40);
  tick (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STATUS], ==, 0);
  report_all (&b, 200, 0, 40);
  tick (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STATUS], ==, 1);
  to_call_done (b.core, b.now, "db0", FALSE, NULL);
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "db0");
  b.now += 100 * GM_MS;
  report_all (&b, 400, 0, 40);
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  bench_free (&b);
}

/* Positions of the sealed databases (0: not reachable), and the database that
   is chosen; "" while the leader waits for another seal.  The old primary,
   db0, is sealed only after it became a replica.  */
static const struct
{
  guint64 db0;
  guint64 db1;
  guint64 db2;
  const char *promoted;
} choice_cases[] = {
  { 0, 41, 40, "db1" }, { 0, 39, 40, "db2" },  { 0, 41, 0, "" },
  { 0, 0, 40, "" },     { 0, 0, 0, "" },       { 42, 0, 40, "db0" },
  { 42, 0, 0, "" },     { 40, 41, 40, "db1" },
};

static void
test_choice (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (choice_cases); i++)
    {
      Bench b = bench_new ();
      silence_primary (&b);
      g_assert_cmpstr (primary (&b), ==, "");
      b.now += 10 * GM_SECOND;
      if (choice_cases[i].db0 > 0)
        answer_seal (&b, "db0", 1, choice_cases[i].db0);
      if (choice_cases[i].db1 > 0)
        answer_seal (&b, "db1", 1, choice_cases[i].db1);
      if (choice_cases[i].db2 > 0)
        answer_seal (&b, "db2", 1, choice_cases[i].db2);
      tick (&b);
      g_assert_cmpstr (primary (&b), ==, choice_cases[i].promoted);
      bench_free (&b);
    }
}

/* A copy beyond the declared three, as during a rolling replacement, may alone
   have received the last acknowledged writes, and so may one that is out of
   sight.  Guards against a promotion that loses acknowledged commits.

   Positions of the sealed databases (0: not reachable) after db3 has joined.
   MISSING is out of sight and ended for certain if ENDED: its place is taken
   by a database that started later.  */
static const struct
{
  guint64 db0;
  guint64 db1;
  guint64 db2;
  guint64 db3;
  const char *missing;
  gboolean ended;
  const char *promoted;
} fourth_copy_cases[] = {
  { 0, 40, 40, 0, NULL, FALSE, "" }, /* db3 may have more */
  { 0, 40, 0, 41, NULL, FALSE, "" },
  { 0, 40, 40, 41, NULL, FALSE, "db3" },
  { 41, 40, 40, 0, NULL, FALSE,
    "db0" }, /* the last primary has stepped down */
  { 40, 40, 0, 0, NULL, FALSE, "db1" },
  { 39, 40, 0, 0, NULL, FALSE, "" }, /* it has lost its log */
  { 0, 40, 0, 40, "db2", FALSE, "" },
  { 0, 40, 0, 41, "db2", TRUE, "" }, /* the one in its place isn't sealed */
  { 41, 40, 0, 40, "db2", FALSE, "db0" },
};

static void
test_fourth_copy (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (fourth_copy_cases); i++)
    {
      Bench b = bench_new ();
      add_database (&b, 3, FALSE);
      if (fourth_copy_cases[i].missing != NULL)
        lose_sight (&b, fourth_copy_cases[i].missing);
      if (fourth_copy_cases[i].ended)
        announce (&b, "db4", 2, 2, FALSE, FALSE);
      silence_primary (&b);
      b.now += 10 * GM_SECOND;
      const guint64 positions[]
          = { fourth_copy_cases[i].db0, fourth_copy_cases[i].db1,
              fourth_copy_cases[i].db2, fourth_copy_cases[i].db3 };
      for (guint k = 0; k < G_N_ELEMENTS (positions); k++)
        {
          g_autofree char *id = g_strdup_printf ("db%u", k);
          if (positions[k] > 0)
            answer_seal (&b, id, 1, positions[k]);
        }
      tick (&b);
      g_assert_cmpstr (primary (&b), ==, fourth_copy_cases[i].promoted);
      bench_free (&b);
    }
}

/* One replica is gone for good, and the primary crashes and comes back with
   its log, as primary and under a new name.  It steps down and is sealed, and
   the group gets a primary.  Guards against a group that stays without one. */
static void
test_primary_returns (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  lose_sight (&b, "db2");
  lose_sight (&b, "db0");
  answer_seal (&b, "db1", 1, 40);
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  announce (&b, "db4", 0, 2, FALSE, TRUE);
  FoDatabaseStatus leads = { .primary = TRUE, .term = 1, .received = 41 };
  b.now += TO_OLD_PRIMARY_DELAY;
  to_call_done (b.core, b.now, "db4", TRUE, &leads);
  b.now += TO_CALL_RETRY;
  b.calls[FO_CALL_STEP_DOWN] = 0;
  tick (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STEP_DOWN], ==, 1);
  answer_seal (&b, "db4", 1, 41);
  answer_seal (&b, "db1", 1, 40);
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "db4");
  bench_free (&b);
}

/* Each promotion order has its own token: an order without a clear answer may
   still be carried out, and only a higher token fences it off.  */
static void
test_tokens (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 40);
  tick (&b);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 1);
  g_assert_cmpstr (b.ordered, ==, "db1");
  guint64 first = b.token;
  g_assert_cmpuint (first, ==, cs_group (b.state, "g")->decided);
  /* After an unclear answer, the same database is ordered again.  */
  to_order_done (b.core, b.now, "g", first, TO_UNKNOWN);
  b.now += TO_ORDER_RETRY;
  tick (&b);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 2);
  g_assert_cmpstr (b.ordered, ==, "db1");
  g_assert_cmpuint (b.token, >, first);
  first = b.token;
  /* A refusal leads to a new term, a new choice and a higher token.  */
  to_order_done (b.core, b.now, "g", first, TO_REFUSED);
  b.now += TO_TERM_SPACING;
  tick (&b);
  tick (&b);
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 41);
  for (guint i = 0; i < 3; i++)
    tick (&b);
  g_assert_cmpuint (b.orders, ==, 3);
  g_assert_cmpuint (b.token, >, first);
  bench_free (&b);
}

/* A new leader renews a choice that the previous one left unfinished, once it
   has found that the seals still hold.  */
static void
test_next_leader (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 40);
  tick (&b);
  tick (&b);
  guint64 first = b.token;
  to_free (b.core);
  b.core = to_new ("c2");
  to_lead (b.core, b.now, 8);
  tick (&b);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 1);
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 40);
  tick (&b);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 2);
  g_assert_cmpuint (b.token, >, first);
  g_assert_cmpstr (b.ordered, ==, "db1");
  to_order_done (b.core, b.now, "g", b.token, TO_DONE);
  tick (&b);
  g_assert_true (cs_group (b.state, "g")->settled);
  bench_free (&b);
}

/* What a sealed replica answers between the choice and the order, and between
   the order and its effect.  A restart ends its seal, and it may then confirm
   writes that the chosen database lacks.  Guards against a promotion that
   loses commits acknowledged after the choice.  */
static const struct
{
  gboolean restarted; /* its next answer shows no seal */
  guint64 position;   /* of its answer after that, sealed again */
  guint orders;       /* sent in the end */
  gboolean new_term;  /* the choice was void */
} lapse_cases[] = {
  { FALSE, 40, 1, FALSE },
  { TRUE, 40, 1, FALSE },
  { TRUE, 41, 1, FALSE },
  { TRUE, 42, 0, TRUE },
};

static void
test_lapsed_seal (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (lapse_cases); i++)
    {
      Bench b = bench_new ();
      silence_primary (&b);
      guint64 term = cs_group (b.state, "g")->term;
      answer_seal (&b, "db1", 1, 41);
      answer_seal (&b, "db2", 1, 40);
      tick (&b);
      g_assert_cmpstr (primary (&b), ==, "db1");
      FoDatabaseStatus unsealed
          = { .term = 1, .last_term = 1, .received = 40 };
      if (lapse_cases[i].restarted)
        {
          to_call_done (b.core, b.now, "db2", TRUE, &unsealed);
          tick (&b);
          g_assert_cmpuint (b.orders, ==, 0);
          b.now += TO_CALL_RETRY;
          guint asked = b.calls[FO_CALL_SEAL];
          tick (&b);
          g_assert_cmpuint (b.calls[FO_CALL_SEAL], >, asked);
          b.now += TO_TERM_SPACING;
          answer_seal (&b, "db1", 1, 41);
          answer_seal (&b, "db2", 1, lapse_cases[i].position);
        }
      tick (&b);
      g_assert_cmpuint (b.orders, ==, lapse_cases[i].orders);
      g_assert_cmpint (cs_group (b.state, "g")->term > term, ==,
                       lapse_cases[i].new_term);
      /* The seals are renewed until the chosen database leads.  */
      guint asked = b.calls[FO_CALL_SEAL];
      b.now += 3 * TO_CALL_TIMEOUT;
      tick (&b);
      g_assert_cmpuint (b.calls[FO_CALL_SEAL], >, asked);
      bench_free (&b);
    }
}

/* A choice that turns out to be void while its order is on its way: the order
   of the next choice, which fences it off, does not wait for its end.  */
static void
test_void_order (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 40);
  tick (&b);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 1);
  guint64 first = b.token;
  b.now += TO_TERM_SPACING;
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 42);
  tick (&b);
  answer_seal (&b, "db1", 1, 41);
  answer_seal (&b, "db2", 1, 42);
  tick (&b);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 2);
  g_assert_cmpstr (b.ordered, ==, "db2");
  g_assert_cmpuint (b.token, >, first);
  bench_free (&b);
}

/* The old primary is told to step down as soon as the term is open, and until
   it has: it may be alive although the leader did not reach it.  */
static void
test_step_down_at_once (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STEP_DOWN], ==, 0);
  b.now += TO_CALL_RETRY;
  tick (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STEP_DOWN], ==, 1);
  to_call_done (b.core, b.now, "db0", FALSE, NULL);
  b.now += TO_CALL_RETRY;
  tick (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STEP_DOWN], ==, 2);
  FoDatabaseStatus replica = { .term = 1, .last_term = 1, .received = 41 };
  to_call_done (b.core, b.now, "db0", TRUE, &replica);
  b.now += TO_CALL_RETRY;
  tick (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STEP_DOWN], ==, 2);
  bench_free (&b);
}

/* When the promotion of a chosen database counts as done: after the order's
   answer, or, if that answer is lost, when the database reports itself as
   primary.  */
static const struct
{
  gboolean answered; /* the order was answered */
  gboolean leads;    /* the database reports itself as primary */
  gboolean settled;
} settled_cases[] = {
  { FALSE, FALSE, FALSE },
  { TRUE, FALSE, TRUE },
  { FALSE, TRUE, TRUE },
};

static void
test_settled (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (settled_cases); i++)
    {
      Bench b = bench_new ();
      silence_primary (&b);
      answer_seal (&b, "db1", 1, 41);
      answer_seal (&b, "db2", 1, 40);
      tick (&b);
      tick (&b);
      if (settled_cases[i].answered)
        to_order_done (b.core, b.now, "g", b.token, TO_DONE);
      b.calls[FO_CALL_STATUS] = 0;
      b.now += 100 * GM_MS;
      tick (&b);
      g_assert_cmpuint (b.calls[FO_CALL_STATUS], >, 0);
      FoDatabaseStatus status
          = { .primary = settled_cases[i].leads, .term = 2 };
      to_call_done (b.core, b.now, "db1", TRUE, &status);
      tick (&b);
      g_assert_cmpint (cs_group (b.state, "g")->settled, ==,
                       settled_cases[i].settled);
      bench_free (&b);
    }
}

/* A replaced primary that was cut off from its successor serves on until it is
   told to step down.  */
static const struct
{
  gboolean heartbeat; /* of the replaced primary, as a primary */
  gboolean answered;  /* it has answered as a replica */
  gboolean new_leader;
  gboolean told;
} deposed_cases[] = {
  { FALSE, FALSE, FALSE, TRUE }, { FALSE, TRUE, FALSE, FALSE },
  { TRUE, TRUE, FALSE, TRUE },   { FALSE, FALSE, TRUE, FALSE },
  { TRUE, FALSE, TRUE, TRUE },
};

static void
test_deposed (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (deposed_cases); i++)
    {
      Bench b = bench_new ();
      FoDatabaseStatus replica = { .term = 1 };
      FoDatabaseStatus leader = { .primary = TRUE, .term = 2 };
      silence_primary (&b);
      answer_seal (&b, "db1", 1, 41);
      answer_seal (&b, "db2", 1, 40);
      tick (&b);
      tick (&b);
      to_call_done (b.core, b.now, "db1", TRUE, &leader);
      tick (&b);
      tick (&b);
      if (deposed_cases[i].new_leader)
        to_lead (b.core, b.now, 8);
      else
        tick (&b);
      if (deposed_cases[i].answered)
        to_call_done (b.core, b.now, "db0", TRUE, &replica);
      if (deposed_cases[i].heartbeat)
        add_database (&b, 0, FALSE);
      memset (b.calls, 0, sizeof b.calls);
      b.now += 3 * TO_CALL_TIMEOUT;
      tick (&b);
      g_assert_cmpint (b.calls[FO_CALL_STEP_DOWN] > 0, ==,
                       deposed_cases[i].told);
      bench_free (&b);
    }
}

/* A restart of the replica ends its seal, so a seal counts only for
   TO_SEAL_MAX_AGE.  */
static void
test_stale_seal (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  answer_seal (&b, "db1", 1, 41);
  tick (&b);
  b.now += 5 * GM_SECOND;
  answer_seal (&b, "db2", 1, 40);
  guint asked = b.calls[FO_CALL_SEAL];
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  g_assert_cmpuint (b.calls[FO_CALL_SEAL], >, asked);
  answer_seal (&b, "db1", 1, 42);
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "db1");
  bench_free (&b);
}

/* A late order of an earlier term makes a database primary in the term that is
   being sealed.  Its replicas can't be sealed for that term, so the leader
   must open a later one.  */
static void
test_late_order (void)
{
  Bench b = bench_new ();
  silence_primary (&b);
  guint64 term = cs_group (b.state, "g")->term;
  FoDatabaseStatus late = { .primary = TRUE, .term = term, .last_term = term };
  to_call_done (b.core, b.now, "db1", TRUE, &late);
  b.now += TO_TERM_SPACING;
  tick (&b);
  g_assert_cmpuint (cs_group (b.state, "g")->term, >, term);
  bench_free (&b);
}

/* A primary that announces that it is leaving is replaced.  */
static void
test_leaving (void)
{
  Bench b = bench_new ();
  report_all (&b, 0, 0, 40);
  add_database (&b, 0, TRUE);
  tick (&b);
  tick (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  g_assert_cmpuint (b.calls[FO_CALL_SEAL], >, 0);
  answer_seal (&b, "db1", 1, 40);
  answer_seal (&b, "db2", 1, 40);
  tick (&b);
  g_assert_cmpstr (primary (&b), !=, "");
  g_assert_cmpstr (primary (&b), !=, "db0");
  bench_free (&b);
}

/* Reports what the holder of one SHARE of the queue of ID sees.  */
static void
report_share (Bench *b, guint share, const char *id, guint64 stuck,
              guint64 confirmed, guint64 open)
{
  const CsHost *host
      = g_ptr_array_index (cs_queue_holders (b->state, id), share);
  WmMessage seen = { .type = WM_TYPE_SEEN,
                     .seen = { .id = (char *)id,
                               .reachable = 1,
                               .stuck = stuck,
                               .last_term = 1,
                               .open = open,
                               .confirmed = confirmed } };
  GByteArray *out = g_byte_array_new ();
  wm_append (out, &seen);
  g_autoptr (GBytes) list = g_byte_array_free_to_bytes (out);
  WmMessage m = { .type = WM_TYPE_REPORT,
                  .report = { .host = host->host, .databases = list } };
  to_report (b->core, b->now, b->state, &m.report);
}

/* db0's queue has two shares.  What each sees, and whether db0 counts as stuck
   or, if it is leaving, whether the replicas are sealed at once.  */
static const struct
{
  guint64 stuck;     /* ms, at the first share */
  guint64 confirmed; /* ms, at the second share */
  guint64 open;      /* at the second share */
  gboolean leaving;
  gboolean replaced;
} share_cases[] = {
  { 1100, 2000, 0, FALSE, TRUE },
  { 1100, 100, 0, FALSE, FALSE }, /* one answer was lost */
  { 0, 0, 0, TRUE, TRUE },
  { 0, 0, 3, TRUE, FALSE }, /* transactions get time to end */
};

static void
test_shares (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (share_cases); i++)
    {
      Bench b = bench_new ();
      for (guint k = 0; k < 2; k++)
        {
          g_autofree char *name = g_strdup_printf ("host%u", k);
          WmMessage up = { .type = WM_TYPE_CMD_HOST,
                           .cmd_host = { .host = name,
                                         .incarnation = 1,
                                         .caller = (char *)"",
                                         .link = (char *)"127.0.0.1:1",
                                         .data_centre = (char *)"dc",
                                         .roles = CS_POOL,
                                         .link_rate = 100000 } };
          commit (&b, &up);
        }
      g_assert_cmpuint (cs_queue_holders (b.state, "db0")->len, ==, 2);
      report_share (&b, 0, "db0", share_cases[i].stuck, share_cases[i].stuck,
                    0);
      report_share (&b, 1, "db0", 0, share_cases[i].confirmed,
                    share_cases[i].open);
      report_share (&b, 0, "db1", 0, 0, 0);
      report_share (&b, 0, "db2", 0, 0, 0);
      if (share_cases[i].leaving)
        add_database (&b, 0, TRUE);
      tick (&b);
      tick (&b);
      if (share_cases[i].leaving)
        {
          g_assert_cmpstr (primary (&b), ==, "");
          g_assert_cmpint (b.calls[FO_CALL_SEAL] > 0, ==,
                           share_cases[i].replaced);
        }
      else
        g_assert_cmpint (*primary (&b) == '\0', ==, share_cases[i].replaced);
      bench_free (&b);
    }
}

/* A leader that was elected after a restart of all control hosts learns from
   the log, after it began to lead, of a host and a database that never report
   again.  Guards against their staying in the state for ever.  */
static void
test_known_from_log (void)
{
  Bench b = bench_new ();
  g_autoptr (CsState) empty = cs_new ();
  MbCore *members = mb_new ();
  mb_lead (members, b.now, empty);
  guint hosts = 0, databases = 0;
  for (GmTime end = b.now + 2 * MB_DATABASE_TIMEOUT; b.now < end;
       b.now += 100 * GM_MS)
    {
      WmMessage command;
      mb_tick (members, b.now, b.state);
      while (mb_take_command (members, &command))
        {
          hosts += command.type == WM_TYPE_CMD_HOST_DOWN ? 1 : 0;
          databases += command.type == WM_TYPE_CMD_DATABASE_DOWN ? 1 : 0;
          commit (&b, &command);
          wm_clear (&command);
        }
    }
  g_assert_cmpuint (hosts, ==, 1);
  g_assert_cmpuint (databases, ==, 3);
  mb_free (members);
  bench_free (&b);
}

/* A host that does not lead orders nothing, and ignores the late end of an
   order.  */
static void
test_follower (void)
{
  Bench b = bench_new ();
  to_lead (b.core, b.now, 0);
  silence_primary (&b);
  g_assert_cmpstr (primary (&b), ==, "db0");
  to_order_done (b.core, b.now, "g", 3, TO_DONE);
  tick (&b);
  g_assert_cmpuint (b.orders, ==, 0);
  bench_free (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/takeover/suspicion", test_replacement);
  g_test_add_func ("/takeover/asked-early", test_early_probe);
  g_test_add_func ("/takeover/unreported", test_unreported);
  g_test_add_func ("/takeover/choice", test_choice);
  g_test_add_func ("/takeover/fourth-copy", test_fourth_copy);
  g_test_add_func ("/takeover/primary-returns", test_primary_returns);
  g_test_add_func ("/takeover/tokens", test_tokens);
  g_test_add_func ("/takeover/next-leader", test_next_leader);
  g_test_add_func ("/takeover/lapsed-seal", test_lapsed_seal);
  g_test_add_func ("/takeover/void-order", test_void_order);
  g_test_add_func ("/takeover/step-down-at-once", test_step_down_at_once);
  g_test_add_func ("/takeover/settled", test_settled);
  g_test_add_func ("/takeover/deposed", test_deposed);
  g_test_add_func ("/takeover/old-seal", test_stale_seal);
  g_test_add_func ("/takeover/late-order", test_late_order);
  g_test_add_func ("/takeover/leaving", test_leaving);
  g_test_add_func ("/takeover/shares", test_shares);
  g_test_add_func ("/takeover/follower", test_follower);
  g_test_add_func ("/members/known-from-log", test_known_from_log);
  return g_test_run ();
}
