/* Hosts whose links carry less than a database answers.  */
#include "small_links.h"

/* The users' floor for the most urgent kind, in percent of what was asked.  */
#define URGENT_FLOOR 40

/* One group's part of the grown deployments' heavy days.  */
static const struct
{
  const char *name;
  SlLoad load;
} rows[] = {
  { "ample-links", { 4, 700000000, 4, 73, 190, 40, 200, FALSE } },
  { "urgent-flood", { 4, 1400000, 4, 73, 190, 40, 200, FALSE } },
  { "replicas-lag", { 4, 1400000, 4, 73, 100, 40, 200, TRUE } },
};

/* Guards against SHORT: all statements of a primary went through the link of
   one host, and urgent ones were late or refused while slots stood idle.  */
static void
test_queue_outgrows_a_link (gconstpointer data)
{
  const SlLoad *load = data;
  SlResult r = sl_play (load, 10);
  g_test_message ("asked %u, in aim %u, served %u", r.asked, r.in_aim,
                  r.served);
  g_assert_cmpuint (r.in_aim * 100, >=, r.asked * URGENT_FLOOR);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (guint i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *path
          = g_strdup_printf ("/small-links/%s", rows[i].name);
      g_test_add_data_func (path, &rows[i].load, test_queue_outgrows_a_link);
    }
  return g_test_run ();
}
