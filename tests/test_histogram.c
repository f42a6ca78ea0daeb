/* Histograms: which bucket, how many labels, and the text.  */
#include "base/histogram.h"
#include <string.h>

static const struct
{
  gint64 microseconds;
  const char *first; /* bound of the first bucket that counts it */
} times[] = {
  { -5, "0.001" }, /* a clock that went back */
  { 0, "0.001" },      { 1000, "0.001" },
  { 1001, "0.002" },   { 64000, "0.064" },
  { 64001, "0.128" },  { 8192000, "8.192" }, /* the last bound */
  { 8192001, "+Inf" },
};

static void
test_buckets (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (times); i++)
    {
      g_autofree char *label = g_strdup_printf ("row%u", i);
      hg_observe (HG_queue_seconds, label, times[i].microseconds);
      g_autoptr (GString) out = g_string_new (NULL);
      hg_print (out);
      g_autofree char *line = g_strdup_printf (
          "galenamount_queue_seconds_bucket{database=\"%s\",le=\"%s\"} 1\n",
          label, times[i].first);
      g_assert_nonnull (strstr (out->str, line));
      /* No bucket before it counts it.  */
      g_autofree char *one = g_strdup_printf (
          "galenamount_queue_seconds_bucket{database=\"%s\",le=\"", label);
      const char *start = strstr (out->str, one);
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
