/* Histograms: the bucket a duration is counted in, the limit on label values,
   and the printed text.  */
#include "base/histogram.h"
#include <string.h>

static const struct
{
  gint64 microseconds;
  const char
      *bucket_bound; /* upper bound of the first bucket that counts it */
} cases[] = {
  { -5, "0.001" }, /* the clock went back */
  { 0, "0.001" },      { 1000, "0.001" },
  { 1001, "0.002" },   { 64000, "0.064" },
  { 64001, "0.128" },  { 8192000, "8.192" }, /* the last bound */
  { 8192001, "+Inf" },
};

static void
test_buckets (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *label = g_strdup_printf ("row%u", i);
      hg_observe (HG_queue_seconds, label, cases[i].microseconds);
      g_autoptr (GString) out = g_string_new (NULL);
      hg_print (out);
      g_autofree char *line = g_strdup_printf (
          "galenamount_queue_seconds_bucket{database=\"%s\",le=\"%s\"} 1\n",
          label, cases[i].bucket_bound);
      g_assert_nonnull (strstr (out->str, line));
      /* The buckets with lower bounds count 0.  */
      g_autofree char *prefix = g_strdup_printf (
          "galenamount_queue_seconds_bucket{database=\"%s\",le=\"", label);
      const char *start = strstr (out->str, prefix);
      for (const char *at = start; at < strstr (out->str, line);
           at = strchr (at, '\n') + 1)
        {
          g_autofree char *before = g_strndup (at, strcspn (at, "\n"));
          g_assert_true (g_str_has_suffix (before, " 0"));
        }
    }
}

static void
test_labels (void)
{
  for (guint i = 0; i < 2 * HG_LABELS_MAX; i++)
    {
      g_autofree char *label = g_strdup_printf ("host%u", i);
      hg_observe (HG_peer_seconds, label, 1500);
    }
  g_assert_cmpuint (hg_count (HG_peer_seconds, "host0"), ==, 1);
  g_assert_cmpuint (hg_count (HG_peer_seconds, "host100"), ==, 0);
  g_assert_cmpuint (hg_count (HG_peer_seconds, "other"), ==, HG_LABELS_MAX);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/histogram/buckets", test_buckets);
  g_test_add_func ("/histogram/labels", test_labels);
  return g_test_run ();
}
