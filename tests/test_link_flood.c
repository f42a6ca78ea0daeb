/* A flood of statements to hosts whose links are small.  */
#include "small_links.h"

/* Urgent statements a second that one group's hosts can carry, and what a
   flood is: five times as many.  */
#define FULL 400
#define FLOOD (5 * FULL)
/* What a flood must leave of what is answered in its aim at full load, in
   percent.  */
#define GOODPUT 95

/* Guards against SHORT: while more statements come than the links carry, those
   that are refused or late keep the links full.  */
static void
test_goodput (void)
{
  SlLoad load = { 4, 1400000, 4, 73, FULL, 40, 200, FALSE };
  SlResult full = sl_play (&load, 10);
  load.urgent = FLOOD;
  SlResult flood = sl_play (&load, 10);
  g_test_message ("in aim %u, in a flood %u", full.in_aim, flood.in_aim);
  g_assert_cmpuint (flood.in_aim * 100, >=, full.in_aim * GOODPUT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link-flood/goodput", test_goodput);
  return g_test_run ();
}
