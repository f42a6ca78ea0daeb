/* What sessions keep in memory for their callers.  */
#include "session/session.h"
#include "three.h"
#include <string.h>

static const char *const declaration
    = "{\"number\": 1, \"groups\": [{\"name\": \"g\"}], \"services\": ["
      "{\"name\": \"s\", \"depends_on\": [\"g\"], \"rank\": \"urgent\","
      " \"deadline_ms\": 800, \"reads\": \"primary\"}]}";

/* Statements of one session, one after the other, and what it keeps then.  An
   ARGUMENT has LENGTH bytes; a name has one.  */
static const struct
{
  SnVerb verb;
  const char *name;
  gsize length;
  GmKind kind;
  gsize least; /* bytes */
  gsize most;
} keeps[] = {
  { SN_SET, "v", 100, GM_OK, 101, 300 },
  { SN_PREPARE, "p", 50000, GM_OK, 50101, 51000 },
  { SN_PREPARE, "q", 30000, GM_OK, 80101, 81000 },
  { SN_PREPARE, "p", 10, GM_OK, 30101, 31000 },
  { SN_DEALLOCATE, "q", 0, GM_OK, 101, 1000 },
  { SN_DEALLOCATE, "q", 0, GM_INVALID, 101, 1000 },
  { SN_PREPARE, "q", 1000000, GM_OK, 1000101, 1001000 },
  { SN_DEALLOCATE, "q", 0, GM_OK, 101, 1000 },
  { SN_DEALLOCATE, "p", 0, GM_OK, 101, 300 },
};

#define VALUES 40

static GmKind
take (SnSession *session, const SnContext *world, SnVerb verb,
      const char *name, gsize length)
{
  SnStep step;
  SnStatement st = { .verb = verb,
                     .id = g_strdup ("id"),
                     .text = g_strdup ("text"),
                     .name = g_strdup (name),
                     .argument = g_strnfill (length, 'x') };
  sn_submit (session, world, &st, &step);
  g_assert_cmpint (step.next, ==, SN_ANSWER);
  GmKind kind = step.kind;
  sn_step_clear (&step);
  return kind;
}

/* Guards against values and prepared statements that count toward no limit of
   their host: its memory ran out.  */
static void
test_held_bytes (void)
{
  g_autoptr (CsState) state = three_databases (declaration);
  LvCore *hosts = lv_new ();
  SrRouter *router = sr_new ("entry", "dc1", hosts);
  SnContext world = { GM_SECOND, state, router };
  SnSession *session = sn_new ("s");
  g_assert_cmpuint (sn_held_bytes (session), ==, 0);
  for (gsize i = 0; i < G_N_ELEMENTS (keeps); i++)
    {
      g_assert_cmpint (take (session, &world, keeps[i].verb, keeps[i].name,
                             keeps[i].length),
                       ==, keeps[i].kind);
      gsize held = sn_held_bytes (session);
      g_test_message ("%zu: %zu", i, held);
      g_assert_cmpuint (held, >=, keeps[i].least);
      g_assert_cmpuint (held, <=, keeps[i].most);
    }
  sn_free (session);
  sr_free (router);
  lv_free (hosts);
}

/* Guards against a value that counts with the size that it had when it was set
   first: replaced by longer ones, values grew beyond their limit.  */
static void
test_replaced_values (void)
{
  g_autoptr (CsState) state = three_databases (declaration);
  LvCore *hosts = lv_new ();
  SrRouter *router = sr_new ("entry", "dc1", hosts);
  SnContext world = { GM_SECOND, state, router };
  SnSession *session = sn_new ("s");
  guint refused = 0;
  for (guint length = 1; length <= 16000; length += 15999)
    for (guint i = 0; i < VALUES; i++)
      {
        g_autofree char *name = g_strdup_printf ("v%u", i);
        GmKind kind = take (session, &world, SN_SET, name, length);
        refused += kind == GM_TOO_LARGE ? 1 : 0;
        g_assert_cmpuint (sn_held_bytes (session), <=, SN_VALUES_BYTES_MAX);
      }
  /* Only one of the long ones fits.  */
  g_assert_cmpuint (refused, ==, VALUES - 1);
  g_assert_cmpuint (sn_held_bytes (session), >, 16000);
  /* A shorter one makes room.  */
  g_assert_cmpint (take (session, &world, SN_SET, "v0", 1), ==, GM_OK);
  g_assert_cmpuint (sn_held_bytes (session), <, 1000);
  g_assert_cmpint (take (session, &world, SN_SET, "v1", 16000), ==, GM_OK);
  sn_free (session);
  sr_free (router);
  lv_free (hosts);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/session-memory/held", test_held_bytes);
  g_test_add_func ("/session-memory/replaced", test_replaced_values);
  return g_test_run ();
}
