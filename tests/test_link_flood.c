/* A flood of statements to hosts with slow links.  */
#include "small_links.h"

/* Urgent statements a second that the links of one group's hosts can carry,
   and a flood of five times as many.  */
#define FULL_RATE 400
#define FLOOD_RATE (5 * FULL_RATE)
/* Minimum number of statements answered within their target time in a flood,
   as a percentage of those at FULL_RATE.  */
#define GOODPUT_MIN_PERCENT 95

/* Incident SHORT: while more statements arrive than the links can carry, those
   that are refused or late keep the links busy.  */
static void
test_goodput (void)
{
  SlLoad load = { 4, 1400000, 4, 73, FULL_RATE, 40, 200, FALSE };
  SlResult full = sl_run (&load, 10);
  load.urgent_rate = FLOOD_RATE;
  SlResult flood = sl_run (&load, 10);
  g_test_message ("in target %u, in a flood %u", full.in_target,
                  flood.in_target);
  g_assert_cmpuint (flood.in_target * 100, >=,
                    full.in_target * GOODPUT_MIN_PERCENT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/link-flood/goodput", test_goodput);
  return g_test_run ();
}
