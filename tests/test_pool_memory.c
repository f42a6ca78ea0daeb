/* What pools and the statements in their queues keep in memory.  */
#include "pool_fixture.h"
#include <malloc.h>
#include <string.h>

#define SHAPES 64
#define SHAPE_BYTES 100000

static gsize
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

/* Guards against connections that keep the text of each statement prepared on
   them: the memory of the queue's holder ran out.  */
static void
test_large_shapes (void)
{
  Fixture f = fixture_new (4);
  submit_request (&f, new_request (&f, PL_READ, 0));
  gsize before = allocated_bytes ();
  for (guint i = 0; i < 2 * SHAPES; i++)
    {
      PlRequest *r = new_request (&f, PL_READ, 0);
      r->prepared = g_strnfill (SHAPE_BYTES, (char)('!' + i % SHAPES));
      submit_request (&f, r);
      g_assert_cmpint (f.last_run.prepare != NULL, ==, i < SHAPES);
      DpOutcome outcome = { .kind = GM_OK };
      f.now += 4 * GM_MS;
      pl_done (f.core, f.now, f.last_run_conn, &outcome);
      take_actions (&f);
    }
  for (guint i = 0; i < f.answers->len; i++)
    {
      PlRequest *r = g_ptr_array_index (f.answers, i);
      g_clear_pointer (&r->prepared, g_free);
    }
  gsize after = allocated_bytes ();
  g_test_message ("%zu bytes", after - before);
  g_assert_cmpuint (after, <, before + SHAPES * SHAPE_BYTES / 10);
  fixture_free (&f);
}

/* Large statements from many hosts must not add up beyond the memory of the
   one that holds the queue; small ones and transactions must go on.  Guards
   against shapes and values that count as nothing.  */
static void
test_room (void)
{
  g_autofree char *large = g_strnfill (10000, 'x');
  const struct
  {
    char *text;
    char *prepared;
    char *value;
    guint64 transaction;
    gboolean has_room;
  } cases[] = {
    { large, NULL, NULL, 0, FALSE },
    { large, NULL, NULL, 7, TRUE },
    { NULL, large, NULL, 0, FALSE },
    { NULL, large, NULL, 7, TRUE },
    { NULL, (char *)"READ q", NULL, 0, TRUE },
    { (char *)"WRITE a 1", NULL, large, 0, FALSE },
    { (char *)"WRITE a 1", NULL, NULL, 0, TRUE },
  };
  CfService service = { .name = (char *)"orders" };
  struct wm_statement first = { .text = large, .id = (char *)"q1" };
  g_assert_true (pl_has_room (&first, 15000));
  PlRequest *held = pl_request_from_message (&first, &service, 0);
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct wm_statement m
          = { .text = cases[i].text,
              .prepared = cases[i].prepared,
              .values = cases[i].value != NULL ? g_bytes_new (
                            cases[i].value, strlen (cases[i].value))
                                               : NULL,
              .transaction = cases[i].transaction };
      g_assert_cmpint (pl_has_room (&m, 15000), ==, cases[i].has_room);
      g_clear_pointer (&m.values, g_bytes_unref);
    }
  pl_request_free (held);
  g_assert_true (pl_has_room (&first, 15000));
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/pool/large-shapes", test_large_shapes);
  g_test_add_func ("/pool/room", test_room);
  return g_test_run ();
}
