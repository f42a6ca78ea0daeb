/* Sessions whose route moves to another group of databases while they are
   open: each read must see what the session itself has written in that
   group.  */
#include "session/session.h"
#include "three.h"
#include <string.h>

#define START (100 * GM_SECOND)
#define STEP (100 * GM_MS) /* between two letters of a script */
#define AGE_MAX (2500 * GM_MS)

enum
{
  G,
  H,
  GROUPS
};

static const char *const group_names[GROUPS] = { "g", "h" };
static const char *const primaries[GROUPS] = { "db0", "h0" };

/* The log of a group, as it is at its primary.  */
typedef struct
{
  TkPoint head;
  TkPoint own;      /* after the session's last write in it; number 0: none */
  GmTime started;   /* the databases started with nothing */
  GmTime sample_at; /* of the newest sample */
} Log;

typedef struct
{
  CsState *state;
  LvCore *hosts;
  SrRouter *router;
  SnContext world;
  SnSession *session;
  SnStep step;
  Log logs[GROUPS];
  guint route;       /* the group that the declaration in force names */
  guint transaction; /* the group that it is open at */
  gboolean in_transaction;
  gboolean wrote; /* in the transaction */
  guint64 number; /* of the declaration */
} Bench;

static char *
declaration (guint64 number, guint route)
{
  return g_strdup_printf (
      "{\"number\": %" G_GUINT64_FORMAT
      ", \"groups\": [{\"name\": \"g\"}, {\"name\": \"h\"}], \"services\": "
      "[{\"name\": \"s\", \"depends_on\": [\"%s\"], \"rank\": \"routine\", "
      "\"deadline_ms\": 800, \"reads\": \"session\", \"max_age_ms\": 2500}]}",
      number, group_names[route]);
}

static void
move_route (Bench *b, guint route)
{
  g_autofree char *text = declaration (++b->number, route);
  b->route = route;
  three_declare (b->state, b->number, text);
  sr_state_changed (b->router, b->state);
}

static void
take_sample (Bench *b, guint group)
{
  Log *log = &b->logs[group];
  log->sample_at = b->world.now;
  sr_note_position (b->router, group_names[group], log->head, b->world.now);
}

static Bench
bench_new (void)
{
  LvCore *hosts = lv_new ();
  g_autofree char *text = declaration (1, G);
  Bench b = { .state = three_databases (text),
              .hosts = hosts,
              .router = sr_new ("entry", "dc1", hosts),
              .session = sn_new ("s"),
              .number = 1 };
  three_more (b.state, "h");
  sr_state_changed (b.router, b.state);
  b.world = (SnContext){ START - STEP, b.state, b.router };
  for (guint i = 0; i < GROUPS; i++)
    {
      b.logs[i].head = (TkPoint){ 1, 7 };
      take_sample (&b, i);
    }
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
take (Bench *b, SnVerb verb)
{
  SnStatement st
      = { .verb = verb, .id = g_strdup ("id"), .text = g_strdup ("text") };
  sn_step_clear (&b->step);
  sn_submit (b->session, &b->world, &st, &b->step);
}

/* Answers the statement that was sent.  */
static void
answer (Bench *b, guint group, gboolean open)
{
  struct wm_statement_done done
      = { .kind = GM_OK,
          .message = (char *)"",
          .signature = (char *)"sig",
          .transaction = open ? 5 : 0,
          .holder = 1,
          .open = open ? 1 : 0,
          .point_term = b->logs[group].head.term,
          .point_number = b->logs[group].head.position };
  sn_step_clear (&b->step);
  sn_result (b->session, &b->world, &done, &b->step);
  g_assert_cmpint (b->step.next, ==, SN_ANSWER);
  g_assert_cmpint (b->step.kind, ==, GM_OK);
}

static void
commit_own (Bench *b, guint group)
{
  b->logs[group].head.position++;
  b->logs[group].own = b->logs[group].head;
}

static void
write_item (Bench *b)
{
  take (b, SN_WRITE);
  g_assert_cmpint (b->step.next, ==, SN_SEND);
  if (!b->in_transaction)
    commit_own (b, b->route);
  else if (!b->wrote)
    b->transaction = b->route;
  b->wrote = b->in_transaction;
  answer (b, b->in_transaction ? b->transaction : b->route, b->in_transaction);
}

static void
commit (Bench *b)
{
  take (b, SN_COMMIT);
  g_assert_cmpint (b->step.next, ==, SN_SEND);
  b->in_transaction = FALSE;
  commit_own (b, b->transaction);
  answer (b, b->transaction, FALSE);
}

/* Sends a read, and checks that the database which is chosen has what the
   session wrote, or says that it lacks it, and that one can have it.  */
static void
read_item (Bench *b, char **database)
{
  const Log *log = &b->logs[b->route];
  take (b, SN_READ);
  g_assert_cmpint (b->step.next, ==, SN_SEND);
  const struct wm_statement *sent = &b->step.statement.statement;
  TkPoint after = { sent->after_term, sent->after_number };
  gboolean at_primary = strcmp (sent->database, primaries[b->route]) == 0;
  if (!at_primary)
    g_assert_cmpint (tk_point_compare (after, log->own), >=, 0);
  if (log->sample_at >= log->started + AGE_MAX)
    g_assert_cmpint (tk_point_compare (after, log->head), <=, 0);
  g_free (*database);
  *database = g_strdup (sent->database);
  answer (b, b->route, FALSE);
}

static void
start_anew (Bench *b, guint group)
{
  b->logs[group] = (Log){ .head = { 1, 1 },
                          .started = b->world.now,
                          .sample_at = b->logs[group].sample_at };
}

/* One letter of a script.  */
static void
play (Bench *b, char letter, char **database)
{
  b->world.now += STEP;
  switch (letter)
    {
    case 'r':
      read_item (b, database);
      break;
    case 'w':
      write_item (b);
      break;
    case 'b':
      take (b, SN_BEGIN);
      b->in_transaction = TRUE;
      b->wrote = FALSE;
      break;
    case 'c':
      commit (b);
      break;
    case 'G':
    case 'H':
      move_route (b, letter == 'G' ? G : H);
      break;
    case 's':
      take_sample (b, b->route);
      break;
    case 'p':
      b->logs[G].head.term++;
      break;
    case 'n':
      start_anew (b, G);
      break;
    case '.': /* a pause beyond the age bound */
      b->world.now += 3 * GM_SECOND;
      break;
    default:
      g_assert_not_reached ();
    }
}

/* r read, w write, b begin, c commit; G, H the route moves there; s a sample
   of the position is taken in the route's group; p the primary of g is
   replaced, n the databases of g start anew, and "." a pause.  The last read
   goes to DATABASE: db1 and h1 are the replicas near the caller.  */
static const struct
{
  const char *script;
  const char *database;
} moves[] = {
  { "r", "db1" },
  { "rHrGr", "db1" },
  { "wr", "db1" },
  /* Without a sample that is newer than the write, only the primary is known
     to have it.  */
  { "wHrGr", "db0" },
  { "wHrGrHrGr", "db0" },
  { "wHrHsrGr", "db0" },
  { "bwHcrGr", "db0" },
  { "bwHcrHsrGr", "db0" },
  { "wHwGr", "db0" },
  { "wHwGrHr", "h0" },
  { "wHswGrHsr", "h1" },
  { "wHrGsr", "db1" },
  { "bwHcrGsr", "db1" },
  { "wHrGwr", "db1" },
  { "wsHrGr", "db1" },
  { "wHrpGsr", "db1" },
  /* The position of a log that is gone must not be waited for.  */
  { "wn.sr", "db1" },
  { "wHn.Gsr", "db1" },
  { "wns.sr", "db1" },
};

/* Guards against a session that forgets its own write when its route goes to
   another group and back: its reads went to replicas that lacked the write. */
static void
test_moves (void)
{
  for (gsize i = 0; i < G_N_ELEMENTS (moves); i++)
    {
      Bench b = bench_new ();
      g_autofree char *database = NULL;
      g_test_message ("%s", moves[i].script);
      for (const char *c = moves[i].script; *c != '\0'; c++)
        play (&b, *c, &database);
      g_assert_cmpstr (database, ==, moves[i].database);
      bench_free (&b);
    }
}

/* The same for random scripts.  */
static void
test_random (void)
{
  static const char letters[] = "rrrrwsGHpn.";
  static const char in_transaction[] = "wGHcsp";
  for (guint64 seed = 1; seed <= 200; seed++)
    {
      Bench b = bench_new ();
      g_autofree char *database = NULL;
      g_autoptr (GString) script = g_string_new (NULL);
      GmRandom random;
      gm_random_seed (&random, seed);
      for (guint i = 0; i < 200; i++)
        {
          const char *from = b.in_transaction ? in_transaction : letters;
          char letter = from[gm_random_below (&random, strlen (from))];
          if (!b.in_transaction && gm_random_below (&random, 20) == 0)
            letter = 'b';
          if (letter == 'c' && !b.wrote)
            letter = 'w';
          g_string_append_c (script, letter);
          g_test_message ("%s", script->str);
          play (&b, letter, &database);
        }
      bench_free (&b);
    }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/moves/scripts", test_moves);
  g_test_add_func ("/moves/random", test_random);
  return g_test_run ();
}
