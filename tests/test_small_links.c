/* Hosts whose links carry less traffic than a database's slots produce.  */
#include "small_links.h"

/* Minimum percentage of the urgent statements that users require to be
   answered within the target time.  */
#define URGENT_IN_TARGET_MIN_PERCENT 40

/* The peak load of one group in large deployments.  */
static const struct
{
  const char *name;
  SlLoad load;
} loads[] = {
  { "ample-links", { 4, 700000000, 4, 73, 190, 40, 200, FALSE } },
  { "urgent-flood", { 4, 1400000, 4, 73, 190, 40, 200, FALSE } },
  { "replicas-lag", { 4, 1400000, 4, 73, 100, 40, 200, TRUE } },
};

/* Incident SHORT: all statements of a primary went through the link of one
   host, so that urgent ones were late or refused while slots were idle.  */
static void
test_queue_outgrows_a_link (gconstpointer data)
{
  const SlLoad *load = data;
  SlResult r = sl_run (load, 10);
  g_test_message ("sent %u, in target %u, succeeded %u", r.sent, r.in_target,
                  r.succeeded);
  g_assert_cmpuint (r.in_target * 100, >=,
                    r.sent * URGENT_IN_TARGET_MIN_PERCENT);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/small-links/%s", loads[i].name);
      g_test_add_data_func (path, &loads[i].load, test_queue_outgrows_a_link);
    }
  return g_test_run ();
}
