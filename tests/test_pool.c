/* The pool of one database: what a connection is brought to, order, promises,
   proofs of the lead.  */
#include "pool/pool.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define IDLE (300 * GM_MS)

typedef struct
{
  PlCore *core;
  GmTime now;
  CfService service;
  guint64 run_on; /* connection of the last PL_RUN */
  PlAction run;
  GPtrArray *answers; /* PlRequest * */
  gboolean dark;      /* new connections stay without an answer */
  guint opened;
  guint closed;
  guint runs;
  guint writes; /* of the runs */
} Bench;

static void
take_actions (Bench *b)
{
  PlAction action;
  while (pl_take_action (b->core, &action))
    switch (action.type)
      {
      case PL_OPEN:
        b->opened++;
        if (!b->dark)
          pl_connected (b->core, b->now, action.connection);
        break;
      case PL_CLOSE:
        b->closed++;
        break;
      case PL_ANSWER:
        g_ptr_array_add (b->answers, action.request);
        break;
      case PL_RUN:
        pl_action_clear (&b->run);
        b->run = action;
        b->run_on = action.connection;
        b->runs++;
        b->writes += action.request->operation == PL_WRITE ? 1 : 0;
        break;
      }
}

static Bench
bench_new (guint connections)
{
  static const DpPolicy policy
      = { .order = DQ_FLOORS, .admission = TRUE, .extra = 1 };
  static guint64 transactions;
  Bench b = { .core = pl_new (&policy, &transactions),
              .now = START,
              .service = { .name = (char *)"s", .rank = CF_URGENT } };
  b.answers = g_ptr_array_new_with_free_func ((GDestroyNotify)pl_request_free);
  pl_limits (b.core, b.now, 2, connections, IDLE);
  take_actions (&b);
  return b;
}

static void
bench_free (Bench *b)
{
  pl_action_clear (&b->run);
  g_ptr_array_unref (b->answers);
  pl_free (b->core);
}

/* "name=value,name=value" as a list in turn.  */
static GPtrArray *
values_of (const char *text)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);
  g_auto (GStrv) pairs = g_strsplit (text, ",", -1);
  for (guint i = 0; pairs[i] != NULL && *pairs[i] != '\0'; i++)
    {
      char **pair = g_strsplit (pairs[i], "=", 2);
      g_ptr_array_add (list, pair[0]);
      g_ptr_array_add (list, pair[1]);
      g_free (pair);
    }
  return list;
}

static char *
text_of (const GPtrArray *list)
{
  GString *out = g_string_new (NULL);
  for (guint i = 0; i + 1 < list->len; i += 2)
    g_string_append_printf (out, "%s%s=%s", i > 0 ? "," : "",
                            (char *)g_ptr_array_index (list, i),
                            (char *)g_ptr_array_index (list, i + 1));
  return g_string_free (out, FALSE);
}

static PlRequest *
request (Bench *b, PlOperation operation, guint64 transaction)
{
  PlRequest *r = pl_request_new (&b->service, b->now + GM_SECOND);
  r->operation = operation;
  r->transaction = transaction;
  r->text = g_strdup ("text");
  r->id = g_strdup ("id");
  r->values = values_of ("");
  r->after = (TkPoint){ 1, 1 };
  return r;
}

static void
submit (Bench *b, PlRequest *r)
{
  pl_submit (b->core, b->now, r);
  take_actions (b);
}

static void
end (Bench *b, GmKind kind, gboolean in_transaction)
{
  DpOutcome outcome = { .kind = kind, .in_transaction = in_transaction };
  b->now += 4 * GM_MS;
  pl_done (b->core, b->now, b->run_on, &outcome);
  take_actions (b);
}

/* Sessions one after the other on the pool's one connection; what each brings.
 */
static const struct
{
  const char *values;
  const char *shape;
  gboolean reset;
  const char *set;
  const char *prepare;
} sessions[] = {
  { "", NULL, FALSE, "", NULL },
  { "tz=A", "READ q", FALSE, "tz=A", "READ q" },
  { "tz=A", "READ q", FALSE, "", NULL },
  { "tz=B", "READ q", FALSE, "tz=B", NULL },
  { "role=x,tz=B", NULL, FALSE, "role=x", NULL },
  { "role=x", "READ q", TRUE, "role=x", "READ q" },
  { "", "WRITE q", TRUE, "", "WRITE q" },
};

static void
test_session_state (void)
{
  Bench b = bench_new (4);
  /* All but one connection are held by a statement.  */
  submit (&b, request (&b, PL_READ, 0));
  for (guint i = 0; i < G_N_ELEMENTS (sessions); i++)
    {
      PlRequest *r = request (&b, PL_READ, 0);
      g_ptr_array_unref (r->values);
      r->values = values_of (sessions[i].values);
      r->prepared = g_strdup (sessions[i].shape);
      submit (&b, r);
      g_autofree char *set = text_of (b.run.set);
      g_assert_cmpint (b.run.reset, ==, sessions[i].reset);
      g_assert_cmpstr (set, ==, sessions[i].set);
      g_assert_cmpstr (b.run.prepare, ==, sessions[i].prepare);
      end (&b, GM_OK, FALSE);
    }
  bench_free (&b);
}

/* How a lost connection is reported, by what ran on it.  */
static const struct
{
  PlOperation operation;
  gboolean inside;
  GmKind kind;
} losses[] = {
  { PL_READ, FALSE, GM_UNAVAILABLE },
  { PL_WRITE, FALSE, GM_OUTCOME_UNKNOWN },
  { PL_INSIDE, TRUE, GM_TRANSACTION_LOST },
  { PL_COMMIT, TRUE, GM_OUTCOME_UNKNOWN },
  { PL_ROLLBACK, TRUE, GM_OK },
};

/* Opens a transaction and returns its number.  */
static guint64
begin (Bench *b)
{
  PlRequest *r = request (b, PL_INSIDE, 0);
  r->begins = DP_BEGIN_WRITE;
  submit (b, r);
  g_assert_cmpint (b->run.begin, ==, DP_BEGIN_WRITE);
  end (b, GM_OK, TRUE);
  return r->transaction;
}

static void
test_losses (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (losses); i++)
    {
      Bench b = bench_new (20);
      guint64 transaction = losses[i].inside ? begin (&b) : 0;
      PlRequest *r = request (&b, losses[i].operation, transaction);
      submit (&b, r);
      pl_disconnected (b.core, b.now, b.run_on);
      take_actions (&b);
      g_assert_cmpint (r->kind, ==, losses[i].kind);
      PlCounts counts;
      pl_counts (b.core, &counts);
      g_assert_cmpuint (counts.transactions, ==, 0);
      bench_free (&b);
    }
}

static void
test_transaction_keeps_connection (void)
{
  Bench b = bench_new (20);
  guint64 transaction = begin (&b);
  guint64 conn = b.run_on;
  submit (&b, request (&b, PL_READ, 0));
  g_assert_cmpuint (b.run_on, !=, conn);
  end (&b, GM_OK, FALSE);
  submit (&b, request (&b, PL_COMMIT, transaction));
  g_assert_cmpuint (b.run_on, ==, conn);
  g_assert_cmpint (b.run.begin, ==, DP_NO_BEGIN);
  end (&b, GM_OK, FALSE);
  PlRequest *late = request (&b, PL_INSIDE, transaction);
  submit (&b, late);
  g_assert_cmpint (late->kind, ==, GM_TRANSACTION_LOST);
  bench_free (&b);
}

static void
test_idle_transaction_ends (void)
{
  Bench b = bench_new (20);
  guint64 transaction = begin (&b);
  b.now += IDLE;
  pl_tick (b.core, b.now);
  take_actions (&b);
  g_assert_cmpuint (b.closed, ==, 1);
  PlRequest *late = request (&b, PL_COMMIT, transaction);
  submit (&b, late);
  g_assert_cmpint (late->kind, ==, GM_TRANSACTION_LOST);
  bench_free (&b);
}

/* A session whose pool has gone still names its transaction: the next pool of
   the process has begun another one, and must not take it for that.  */
static void
test_transaction_of_pool_before (void)
{
  Bench gone = bench_new (20);
  guint64 transaction = begin (&gone);
  bench_free (&gone);
  Bench b = bench_new (20);
  guint64 other = begin (&b);
  g_assert_cmpuint (other, !=, transaction);
  PlRequest *late = request (&b, PL_COMMIT, transaction);
  submit (&b, late);
  g_assert_cmpint (late->kind, ==, GM_TRANSACTION_LOST);
  PlCounts counts;
  pl_counts (b.core, &counts);
  g_assert_cmpuint (counts.transactions, ==, 1);
  bench_free (&b);
}

/* A rollback gives the connection back: closing it would cost a handshake.  */
static void
test_rollback_keeps_connection (void)
{
  Bench b = bench_new (20);
  guint64 transaction = begin (&b);
  submit (&b, request (&b, PL_ROLLBACK, transaction));
  g_assert_true (b.run.roll_back);
  end (&b, GM_OK, FALSE);
  g_assert_cmpuint (b.closed, ==, 0);
  bench_free (&b);
}

static void
test_lead (void)
{
  Bench b = bench_new (20);
  TkPoint point;
  GmTime at;
  g_assert_false (pl_leader_position (b.core, &point, &at));
  PlRequest *r = request (&b, PL_READ, 0);
  r->after = (TkPoint){ 0, 0 };
  submit (&b, r);
  g_assert_cmpint (b.run.begin, ==, DP_BEGIN_WRITE);
  g_assert_true (b.run.roll_back);
  GmTime sent = b.now;
  b.now += 5 * GM_MS;
  DpOutcome outcome = { .kind = GM_OK, .led = TRUE, .lead = { 3, 40 } };
  pl_done (b.core, b.now, b.run_on, &outcome);
  take_actions (&b);
  g_assert_true (pl_leader_position (b.core, &point, &at));
  g_assert_cmpuint (point.position, ==, 40);
  /* The proof holds from the time at which it was asked for.  */
  g_assert_cmpint (at, ==, sent);
  /* A young proof is passed on, an old one is made anew.  */
  PlRequest *ask = request (&b, PL_LEAD, 0);
  submit (&b, ask);
  g_assert_cmpint (ask->kind, ==, GM_OK);
  g_assert_cmpuint (b.answers->len, ==, 2);
  b.now += PL_LEADER_PROOF_AGE_MAX;
  submit (&b, request (&b, PL_LEAD, 0));
  g_assert_cmpuint (b.answers->len, ==, 2);
  bench_free (&b);
}

/* A flood of bulk work beside urgent work: who waits, who is refused.  */
static void
test_flood (void)
{
  Bench b = bench_new (20);
  CfService bulk = { .name = (char *)"bulk", .rank = CF_BULK };
  guint refused = 0;
  for (guint i = 0; i < 400; i++)
    {
      PlRequest *r = pl_request_new (&bulk, b.now + 500 * GM_MS);
      r->operation = PL_READ;
      r->after = (TkPoint){ 1, 1 };
      r->values = values_of ("");
      submit (&b, r);
    }
  for (guint i = 0; i < b.answers->len; i++)
    {
      const PlRequest *r = g_ptr_array_index (b.answers, i);
      refused += r->kind == GM_DEADLINE ? 1 : 0;
      g_assert_cmpuint (r->retry_ms, >, 0);
    }
  /* At 5 ms a statement on two slots, 500 ms bear 200, half of them with the
     spread: the rest hears at once.  */
  g_assert_cmpuint (refused, >, 200);
  submit (&b, request (&b, PL_WRITE, 0));
  g_assert_cmpint (pl_wait (b.core, CF_URGENT, "s"), <, 20 * GM_MS);
  /* The next slot that ends its statement is for it.  */
  end (&b, GM_OK, FALSE);
  g_assert_cmpuint (b.writes, ==, 1);
  bench_free (&b);
}

/* Answers that are lost on their way: they must hold no place, and a read runs
   again elsewhere at once.  */
static const struct
{
  PlOperation operation;
  guint others;
  GmTime runs;
  gboolean answered; /* as unavailable, for another try */
  gboolean place;    /* it still holds one */
} overdue[] = {
  { PL_READ, 10, 20 * GM_MS, FALSE, TRUE },
  { PL_READ, 2, 200 * GM_MS, FALSE, TRUE },
  { PL_READ, 10, 200 * GM_MS, TRUE, FALSE },
  { PL_WRITE, 10, 200 * GM_MS, FALSE, FALSE },
  { PL_WRITE, 2, 200 * GM_MS, FALSE, TRUE },
};

static void
test_overdue (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (overdue); i++)
    {
      Bench b = bench_new (40);
      PlRequest *r = request (&b, overdue[i].operation, 0);
      submit (&b, r);
      for (guint j = 0; j < overdue[i].others; j++)
        {
          submit (&b, request (&b, PL_READ, 0));
          DpOutcome outcome = { .kind = GM_OK };
          b.now += GM_MS;
          pl_done (b.core, b.now, b.run_on, &outcome);
          take_actions (&b);
        }
      b.now = START + overdue[i].runs;
      pl_tick (b.core, b.now);
      take_actions (&b);
      g_assert_cmpint (b.closed > 0, ==, overdue[i].answered);
      /* How many more can run now.  */
      guint before = b.runs;
      for (guint j = 0; j < 8; j++)
        submit (&b, request (&b, PL_READ, 0));
      g_assert_cmpuint (b.runs - before, ==, overdue[i].place ? 2 : 3);
      bench_free (&b);
    }
}

/* A database that leaves everything unanswered: what is given back when, and
   what is still let through.  */
static const struct
{
  PlOperation operation;
  GmTime after;
  gboolean given_back;
  gboolean taken; /* a further read is sent there */
} silences[] = {
  { PL_READ, 200 * GM_MS, FALSE, TRUE },
  { PL_READ, 260 * GM_MS, TRUE, FALSE },
  { PL_WRITE, 260 * GM_MS, FALSE, FALSE },
  { PL_WRITE, 200 * GM_MS, FALSE, TRUE },
};

static void
test_silent (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (silences); i++)
    {
      Bench b = bench_new (40);
      pl_tick (b.core, b.now);
      take_actions (&b);
      b.dark = TRUE;
      PlRequest *r = request (&b, silences[i].operation, 0);
      submit (&b, r);
      b.now += silences[i].after;
      pl_tick (b.core, b.now);
      take_actions (&b);
      g_assert_cmpint (b.answers->len > 0, ==, silences[i].given_back);
      if (silences[i].given_back)
        g_assert_cmpint (r->kind, ==, GM_UNAVAILABLE);
      PlHealth health;
      pl_health (b.core, b.now, &health);
      g_assert_cmpuint (health.silent, ==,
                        (guint64)(silences[i].after / GM_MS));
      /* The first one is a probe where the database is silent.  */
      guint runs = b.runs;
      submit (&b, request (&b, PL_READ, 0));
      g_assert_cmpuint (b.runs, ==, runs + 1);
      submit (&b, request (&b, PL_READ, 0));
      g_assert_cmpuint (b.runs, ==, runs + (silences[i].taken ? 2 : 1));
      /* Its answer brings the database back.  */
      end (&b, GM_OK, FALSE);
      submit (&b, request (&b, PL_READ, 0));
      g_assert_cmpuint (b.runs, >, runs + 1);
      bench_free (&b);
    }
}

static void
test_given_up (void)
{
  Bench b = bench_new (20);
  for (guint i = 0; i < 6; i++)
    submit (&b, request (&b, PL_READ, 0));
  PlCounts counts;
  pl_counts (b.core, &counts);
  g_assert_cmpuint (counts.queued, >, 0);
  pl_own (b.core, b.now, FALSE);
  take_actions (&b);
  pl_counts (b.core, &counts);
  g_assert_cmpuint (counts.queued, ==, 0);
  for (guint i = 0; i < b.answers->len; i++)
    g_assert_cmpint (((PlRequest *)g_ptr_array_index (b.answers, i))->kind, ==,
                     GM_DRAINING);
  PlRequest *late = request (&b, PL_READ, 0);
  submit (&b, late);
  g_assert_cmpint (late->kind, ==, GM_DRAINING);
  bench_free (&b);
}

static void
test_health (void)
{
  Bench b = bench_new (20);
  PlHealth health;
  submit (&b, request (&b, PL_WRITE, 0));
  b.now += 500 * GM_MS;
  pl_health (b.core, b.now, &health);
  g_assert_cmpuint (health.silent, ==, 500);
  g_assert_cmpuint (health.stuck, ==, 500);
  g_assert_false (health.reachable);
  /* A process that stood still has not listened.  */
  pl_stalled (b.core, 400 * GM_MS);
  pl_health (b.core, b.now, &health);
  g_assert_cmpuint (health.silent, ==, 100);
  DpOutcome outcome = { .kind = GM_OK, .point = { 2, 9 } };
  pl_done (b.core, b.now, b.run_on, &outcome);
  take_actions (&b);
  pl_health (b.core, b.now, &health);
  g_assert_true (health.reachable);
  g_assert_cmpuint (health.acked.position, ==, 9);
  bench_free (&b);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pool/session-state", test_session_state);
  g_test_add_func ("/pool/losses", test_losses);
  g_test_add_func ("/pool/transaction", test_transaction_keeps_connection);
  g_test_add_func ("/pool/idle-transaction", test_idle_transaction_ends);
  g_test_add_func ("/pool/rollback", test_rollback_keeps_connection);
  g_test_add_func ("/pool/pool-before", test_transaction_of_pool_before);
  g_test_add_func ("/pool/lead", test_lead);
  g_test_add_func ("/pool/flood", test_flood);
  g_test_add_func ("/pool/silent", test_silent);
  g_test_add_func ("/pool/overdue", test_overdue);
  g_test_add_func ("/pool/given-up", test_given_up);
  g_test_add_func ("/pool/health", test_health);
  return g_test_run ();
}
