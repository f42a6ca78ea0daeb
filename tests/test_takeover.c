/* A change of primary, step by step, at the control leader.  */
#include "control/control.h"
#include "failover/takeover.h"
#include <string.h>

#define START (100 * GM_SECOND)

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"s\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800}]}";

/* Three databases, db0 leads; the pools of all are at host0.  */
typedef struct
{
  CsState *state;
  ToCore *core;
  GmTime now;
  guint calls[FO_CALL_UNSEAL + 1];
  guint orders;
  guint64 token;
  char ordered[16];
} Bench;

static void
commit (Bench *b, const WmMessage *m)
{
  cs_apply (b->state, b->state->version + 1, m, NULL);
}

static void
add_database (Bench *b, guint i, gboolean leaving)
{
  g_autofree char *id = g_strdup_printf ("db%u", i);
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database = { .id = id,
                                    .group = (char *)"g",
                                    .address = (char *)"127.0.0.1:2",
                                    .data_centre = (char *)"dc",
                                    .slots = 2,
                                    .incarnation = 1,
                                    .leaving = leaving ? 1 : 0,
                                    .term = 1,
                                    .primary = i == 0 ? 1 : 0 } };
  commit (b, &m);
  to_announced (b->core, b->now, &m.cmd_database);
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

/* What the pool of ID sees.  */
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

/* One look of the leader; its commands are committed at once.  */
static void
look (Bench *b)
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

static void
seal (Bench *b, const char *id, guint64 term, guint64 number)
{
  FoDatabase status = { .term = 1,
                        .last_term = term,
                        .received = number,
                        .held = cs_group (b->state, "g")->term };
  to_called (b->core, b->now, id, TRUE, &status);
}

static const char *
primary (const Bench *b)
{
  return cs_group (b->state, "g")->primary;
}

/* Makes db0 silent until its term is over.  */
static void
depose (Bench *b)
{
  report_all (b, 500, 0, 40);
  look (b);
  to_called (b->core, b->now, "db0", FALSE, NULL);
  look (b);
  look (b);
}

/* When a primary is suspected.  */
static const struct
{
  guint64 silent;
  guint64 stuck;
  gboolean answers; /* the leader's own call */
  gboolean others;  /* the other databases are reached */
  gboolean replaced;
} suspicions[] = {
  { 0, 0, TRUE, TRUE, FALSE },     { 300, 0, FALSE, TRUE, FALSE },
  { 500, 0, TRUE, TRUE, FALSE },   { 500, 0, FALSE, TRUE, TRUE },
  { 0, 900, TRUE, TRUE, FALSE },   { 0, 1100, TRUE, TRUE, TRUE },
  { 0, 1100, TRUE, FALSE, FALSE },
};

static void
test_suspicion (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (suspicions); i++)
    {
      Bench b = bench_new ();
      report (&b, "db0", suspicions[i].silent < 400, suspicions[i].silent,
              suspicions[i].stuck, 40);
      report (&b, "db1", suspicions[i].others, 0, 0, 0);
      report (&b, "db2", TRUE, 0, 0, 0);
      look (&b);
      if (b.calls[FO_CALL_STATUS] > 0)
        to_called (b.core, b.now, "db0", suspicions[i].answers, NULL);
      look (&b);
      g_assert_cmpint (*primary (&b) == '\0', ==, suspicions[i].replaced);
      bench_free (&b);
    }
}

/* A primary that is cut off together with the host that holds its queue:
   nobody reports on it, and the leader's own calls decide.  Milliseconds since
   the last report.  */
static const struct
{
  guint quiet;
  gboolean answers;
  gboolean replaced;
} unreported[] = {
  { 600, FALSE, FALSE }, /* a report may be on its way */
  { 900, FALSE, FALSE }, /* asked, and silent for too short a time */
  { 1300, FALSE, TRUE },
  { 1300, TRUE, FALSE }, /* it is its queue's host that is gone */
};

static void
test_unreported (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (unreported); i++)
    {
      Bench b = bench_new ();
      report_all (&b, 0, 0, 40);
      GmTime begun = b.now;
      GmTime asked = 0;
      while (b.now < begun + unreported[i].quiet * GM_MS)
        {
          look (&b);
          if (b.calls[FO_CALL_STATUS] > 0 && asked == 0)
            asked = b.now;
          if (asked == 0 || b.now < asked + TO_CALL_TIME)
            continue;
          to_called (b.core, b.now, "db0", unreported[i].answers, NULL);
          b.calls[FO_CALL_STATUS] = 0;
          asked = 0;
        }
      g_assert_cmpint (*primary (&b) == '\0', ==, unreported[i].replaced);
      bench_free (&b);
    }
}

/* The leader asks a primary that may be silent before it has been for long
   enough to be replaced: the answer, or none, is there by then.  */
static void
test_asked_early (void)
{
  Bench b = bench_new ();
  report_all (&b, 100, 0, 40);
  look (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STATUS], ==, 0);
  report_all (&b, 200, 0, 40);
  look (&b);
  g_assert_cmpuint (b.calls[FO_CALL_STATUS], ==, 1);
  to_called (b.core, b.now, "db0", FALSE, NULL);
  look (&b);
  g_assert_cmpstr (primary (&b), ==, "db0");
  b.now += 100 * GM_MS;
  report_all (&b, 400, 0, 40);
  look (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  bench_free (&b);
}

/* Positions that the databases answer after the seal (number 0: it can't be
   reached; the old primary is sealed only as a replica), and who is promoted;
   "" while another one is waited for.  */
static const struct
{
  guint64 old;
  guint64 one;
  guint64 two;
  const char *promoted;
} choices[] = {
  { 0, 41, 40, "db1" }, { 0, 39, 40, "db2" },  { 0, 41, 0, "" },
  { 0, 0, 40, "" },     { 0, 0, 0, "" },       { 42, 0, 40, "db0" },
  { 42, 0, 0, "" },     { 40, 41, 40, "db1" },
};

static void
test_choice (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (choices); i++)
    {
      Bench b = bench_new ();
      depose (&b);
      g_assert_cmpstr (primary (&b), ==, "");
      b.now += 10 * GM_SECOND;
      if (choices[i].old > 0)
        seal (&b, "db0", 1, choices[i].old);
      if (choices[i].one > 0)
        seal (&b, "db1", 1, choices[i].one);
      if (choices[i].two > 0)
        seal (&b, "db2", 1, choices[i].two);
      look (&b);
      g_assert_cmpstr (primary (&b), ==, choices[i].promoted);
      bench_free (&b);
    }
}

/* Each attempt at an order has a token of its own: one without a clear answer
   may still be carried out, and only a higher token fences it off.  */
static void
test_tokens (void)
{
  Bench b = bench_new ();
  depose (&b);
  seal (&b, "db1", 1, 41);
  seal (&b, "db2", 1, 40);
  look (&b);
  look (&b);
  g_assert_cmpuint (b.orders, ==, 1);
  g_assert_cmpstr (b.ordered, ==, "db1");
  guint64 first = b.token;
  g_assert_cmpuint (first, ==, cs_group (b.state, "g")->decided);
  /* Without a clear answer the same database is ordered again.  */
  to_ordered (b.core, b.now, "g", first, TO_UNKNOWN);
  b.now += TO_ORDER_RETRY;
  look (&b);
  look (&b);
  g_assert_cmpuint (b.orders, ==, 2);
  g_assert_cmpstr (b.ordered, ==, "db1");
  g_assert_cmpuint (b.token, >, first);
  first = b.token;
  /* Refused: a new term, a new choice, a higher token.  */
  to_ordered (b.core, b.now, "g", first, TO_REFUSED);
  b.now += TO_TERM_SPACING;
  look (&b);
  look (&b);
  seal (&b, "db1", 1, 41);
  seal (&b, "db2", 1, 41);
  for (guint i = 0; i < 3; i++)
    look (&b);
  g_assert_cmpuint (b.orders, ==, 3);
  g_assert_cmpuint (b.token, >, first);
  bench_free (&b);
}

/* A leader that finds another one's choice undone makes it anew.  */
static void
test_next_leader (void)
{
  Bench b = bench_new ();
  depose (&b);
  seal (&b, "db1", 1, 41);
  seal (&b, "db2", 1, 40);
  look (&b);
  look (&b);
  guint64 first = b.token;
  to_free (b.core);
  b.core = to_new ("c2");
  to_lead (b.core, b.now, 8);
  look (&b);
  look (&b);
  g_assert_cmpuint (b.orders, ==, 2);
  g_assert_cmpuint (b.token, >, first);
  g_assert_cmpstr (b.ordered, ==, "db1");
  to_ordered (b.core, b.now, "g", b.token, TO_DONE);
  look (&b);
  g_assert_true (cs_group (b.state, "g")->settled);
  bench_free (&b);
}

/* When a chosen database counts as the group's primary: by the order's answer,
   or by its own word where that answer is lost.  */
static const struct
{
  gboolean answered; /* the order */
  gboolean leads;    /* as the database says */
  gboolean settled;
} settlements[] = {
  { FALSE, FALSE, FALSE },
  { TRUE, FALSE, TRUE },
  { FALSE, TRUE, TRUE },
};

static void
test_settled (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (settlements); i++)
    {
      Bench b = bench_new ();
      depose (&b);
      seal (&b, "db1", 1, 41);
      seal (&b, "db2", 1, 40);
      look (&b);
      look (&b);
      if (settlements[i].answered)
        to_ordered (b.core, b.now, "g", b.token, TO_DONE);
      b.calls[FO_CALL_STATUS] = 0;
      b.now += 100 * GM_MS;
      look (&b);
      g_assert_cmpuint (b.calls[FO_CALL_STATUS], >, 0);
      FoDatabase status = { .primary = settlements[i].leads, .term = 2 };
      to_called (b.core, b.now, "db1", TRUE, &status);
      look (&b);
      g_assert_cmpint (cs_group (b.state, "g")->settled, ==,
                       settlements[i].settled);
      bench_free (&b);
    }
}

/* A seal ends with its replica's restart: it counts only while it is fresh. */
static void
test_old_seal (void)
{
  Bench b = bench_new ();
  depose (&b);
  seal (&b, "db1", 1, 41);
  look (&b);
  b.now += 5 * GM_SECOND;
  seal (&b, "db2", 1, 40);
  guint asked = b.calls[FO_CALL_SEAL];
  look (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  g_assert_cmpuint (b.calls[FO_CALL_SEAL], >, asked);
  seal (&b, "db1", 1, 42);
  look (&b);
  g_assert_cmpstr (primary (&b), ==, "db1");
  bench_free (&b);
}

/* An order of an earlier term that is carried out late makes a primary in the
   term that is being sealed, where no seal takes effect: the group goes on to
   a later one.  */
static void
test_late_order (void)
{
  Bench b = bench_new ();
  depose (&b);
  guint64 term = cs_group (b.state, "g")->term;
  FoDatabase late = { .primary = TRUE, .term = term, .last_term = term };
  to_called (b.core, b.now, "db1", TRUE, &late);
  b.now += TO_TERM_SPACING;
  look (&b);
  g_assert_cmpuint (cs_group (b.state, "g")->term, >, term);
  bench_free (&b);
}

/* A primary that announces that it leaves.  */
static void
test_leaving (void)
{
  Bench b = bench_new ();
  report_all (&b, 0, 0, 40);
  add_database (&b, 0, TRUE);
  look (&b);
  look (&b);
  g_assert_cmpstr (primary (&b), ==, "");
  g_assert_cmpuint (b.calls[FO_CALL_SEAL], >, 0);
  seal (&b, "db1", 1, 40);
  seal (&b, "db2", 1, 40);
  look (&b);
  g_assert_cmpstr (primary (&b), !=, "");
  g_assert_cmpstr (primary (&b), !=, "db0");
  bench_free (&b);
}

/* What a holder of a share of a database's queue tells.  */
static void
report_share (Bench *b, guint share, const char *id, guint64 stuck,
              guint64 confirmed, guint64 open)
{
  const CsHost *host = g_ptr_array_index (cs_holders (b->state, id), share);
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

/* db0's queue is held in two shares: what each sees, and whether db0 is taken
   for stuck, or, when it leaves, its successor is chosen at once.  */
static const struct
{
  guint64 stuck;     /* of the first share */
  guint64 confirmed; /* ms, of the second one */
  guint64 open;      /* at the second one */
  gboolean leaving;
  gboolean replaced;
} shares[] = {
  { 1100, 2000, 0, FALSE, TRUE },
  { 1100, 100, 0, FALSE, FALSE }, /* one answer was lost */
  { 0, 0, 0, TRUE, TRUE },
  { 0, 0, 3, TRUE, FALSE }, /* transactions may end first */
};

static void
test_shares (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (shares); i++)
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
      g_assert_cmpuint (cs_holders (b.state, "db0")->len, ==, 2);
      report_share (&b, 0, "db0", shares[i].stuck, shares[i].stuck, 0);
      report_share (&b, 1, "db0", 0, shares[i].confirmed, shares[i].open);
      report_share (&b, 0, "db1", 0, 0, 0);
      report_share (&b, 0, "db2", 0, 0, 0);
      if (shares[i].leaving)
        add_database (&b, 0, TRUE);
      look (&b);
      look (&b);
      if (shares[i].leaving)
        {
          g_assert_cmpstr (primary (&b), ==, "");
          g_assert_cmpint (b.calls[FO_CALL_SEAL] > 0, ==, shares[i].replaced);
        }
      else
        g_assert_cmpint (*primary (&b) == '\0', ==, shares[i].replaced);
      bench_free (&b);
    }
}

/* A second leader never orders; an answer that comes late changes nothing.  */
static void
test_follower (void)
{
  Bench b = bench_new ();
  to_lead (b.core, b.now, 0);
  depose (&b);
  g_assert_cmpstr (primary (&b), ==, "db0");
  to_ordered (b.core, b.now, "g", 3, TO_DONE);
  look (&b);
  g_assert_cmpuint (b.orders, ==, 0);
  bench_free (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/takeover/suspicion", test_suspicion);
  g_test_add_func ("/takeover/asked-early", test_asked_early);
  g_test_add_func ("/takeover/unreported", test_unreported);
  g_test_add_func ("/takeover/choice", test_choice);
  g_test_add_func ("/takeover/tokens", test_tokens);
  g_test_add_func ("/takeover/next-leader", test_next_leader);
  g_test_add_func ("/takeover/settled", test_settled);
  g_test_add_func ("/takeover/old-seal", test_old_seal);
  g_test_add_func ("/takeover/late-order", test_late_order);
  g_test_add_func ("/takeover/leaving", test_leaving);
  g_test_add_func ("/takeover/shares", test_shares);
  g_test_add_func ("/takeover/follower", test_follower);
  return g_test_run ();
}
