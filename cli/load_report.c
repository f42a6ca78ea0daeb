#include "load_report.h"
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define BUCKET_COUNT 14 /* bucket I: below 2^I ms; the last: the rest */
#define TEXT_BAR_WIDTH 50
#define SVG_BAR_WIDTH 40
#define SVG_HEIGHT 200

typedef struct
{
  char *label;
  guint answers[GM_KIND_COUNT];
  GArray *latencies; /* double, milliseconds; only of GM_OK answers */
  guint buckets[BUCKET_COUNT];
  double last_ok_s;     /* latest GM_OK answer, since the load began */
  double longest_gap_s; /* between two GM_OK answers in a row */
} Series;

struct LoadReport
{
  GPtrArray *series; /* Series * */
};

static void
series_free (Series *series)
{
  g_free (series->label);
  g_array_unref (series->latencies);
  g_free (series);
}

LoadReport *
load_report_new (void)
{
  LoadReport *report = g_new0 (LoadReport, 1);
  report->series
      = g_ptr_array_new_with_free_func ((GDestroyNotify)series_free);
  return report;
}

void
load_report_free (LoadReport *report)
{
  g_ptr_array_unref (report->series);
  g_free (report);
}

static Series *
find_or_add_series (LoadReport *report, const char *label)
{
  for (guint i = 0; i < report->series->len; i++)
    {
      Series *series = g_ptr_array_index (report->series, i);
      if (strcmp (series->label, label) == 0)
        return series;
    }
  Series *series = g_new0 (Series, 1);
  series->label = g_strdup (label);
  series->latencies = g_array_new (FALSE, FALSE, sizeof (double));
  g_ptr_array_add (report->series, series);
  return series;
}

void
load_report_add (LoadReport *report, const char *label, GmKind kind,
                 double started, double ended)
{
  Series *series = find_or_add_series (report, label);
  series->answers[kind]++;
  if (kind != GM_OK)
    return;
  double ms = (ended - started) * 1000;
  int bucket = ms < 1 ? 0 : (int)log2 (ms) + 1;
  g_array_append_val (series->latencies, ms);
  series->buckets[MIN (bucket, BUCKET_COUNT - 1)]++;
  if (series->latencies->len > 1)
    series->longest_gap_s
        = MAX (series->longest_gap_s, ended - series->last_ok_s);
  series->last_ok_s = MAX (series->last_ok_s, ended);
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static double
percentile (const Series *series, double share)
{
  if (series->latencies->len == 0)
    return 0;
  g_array_sort (series->latencies, compare_doubles);
  guint last = series->latencies->len - 1;
  return g_array_index (series->latencies, double,
                        (guint)((double)last * share));
}

static void
print_json (const LoadReport *report)
{
  json_object *all = json_object_new_object ();
  for (guint i = 0; i < report->series->len; i++)
    {
      const Series *s = g_ptr_array_index (report->series, i);
      json_object *o = json_object_new_object ();
      json_object *kinds = json_object_new_object ();
      for (int k = 0; k < GM_KIND_COUNT; k++)
        if (s->answers[k] > 0)
          json_object_object_add (kinds, gm_kind_text ((GmKind)k),
                                  json_object_new_int ((int)s->answers[k]));
      json_object_object_add (o, "answers", kinds);
      json_object_object_add (o, "p50_ms",
                              json_object_new_double (percentile (s, 0.5)));
      json_object_object_add (o, "p99_ms",
                              json_object_new_double (percentile (s, 0.99)));
      json_object_object_add (
          o, "longest_gap_ms",
          json_object_new_double (s->longest_gap_s * 1000));
      json_object_object_add (all, s->label, o);
    }
  printf ("%s\n",
          json_object_to_json_string_ext (all, JSON_C_TO_STRING_PRETTY));
  json_object_put (all);
}

static guint
largest_bucket (const Series *s)
{
  guint most = 1;
  for (int i = 0; i < BUCKET_COUNT; i++)
    most = MAX (most, s->buckets[i]);
  return most;
}

static void
print_series (const Series *s)
{
  printf ("%s: p50 %.1f ms, p99 %.1f ms, longest gap %.0f ms\n", s->label,
          percentile (s, 0.5), percentile (s, 0.99), s->longest_gap_s * 1000);
  for (int k = 0; k < GM_KIND_COUNT; k++)
    if (s->answers[k] > 0)
      printf ("  %-18s %u\n", gm_kind_text ((GmKind)k), s->answers[k]);
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      guint width = s->buckets[i] * TEXT_BAR_WIDTH / largest_bucket (s);
      g_autofree char *bar = g_strnfill (width, '#');
      if (s->buckets[i] > 0)
        printf ("  < %5d ms %-*s %u\n", 1 << i, TEXT_BAR_WIDTH, bar,
                s->buckets[i]);
    }
}

void
load_report_print (const LoadReport *report, gboolean json)
{
  if (json)
    print_json (report);
  for (guint i = 0; !json && i < report->series->len; i++)
    print_series (g_ptr_array_index (report->series, i));
}

static void
svg_series (GString *out, const Series *s, int top)
{
  g_string_append_printf (out, "<text x=\"4\" y=\"%d\">%s</text>\n", top + 14,
                          s->label);
  for (int i = 0; i < BUCKET_COUNT; i++)
    {
      int height
          = (int)(s->buckets[i] * (SVG_HEIGHT - 50) / largest_bucket (s));
      int base = top + SVG_HEIGHT - 20;
      g_string_append_printf (
          out,
          "<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" "
          "fill=\"steelblue\"/><text x=\"%d\" y=\"%d\" "
          "font-size=\"10\">&lt;%d</text>\n",
          4 + i * SVG_BAR_WIDTH, base - height, SVG_BAR_WIDTH - 4, height,
          4 + i * SVG_BAR_WIDTH, base + 12, 1 << i);
    }
}

GmKind
load_report_svg (const LoadReport *report, const char *path, GmStatus *status)
{
  g_autoptr (GString) out = g_string_new (NULL);
  g_autoptr (GError) error = NULL;
  g_string_append_printf (out,
                          "<svg xmlns=\"http://www.w3.org/2000/svg\" "
                          "width=\"%d\" height=\"%d\" "
                          "font-family=\"sans-serif\">\n",
                          BUCKET_COUNT * SVG_BAR_WIDTH + 8,
                          (int)report->series->len * SVG_HEIGHT);
  for (guint i = 0; i < report->series->len; i++)
    svg_series (out, g_ptr_array_index (report->series, i),
                (int)i * SVG_HEIGHT);
  g_string_append (out, "</svg>\n");
  if (!g_file_set_contents (path, out->str, (gssize)out->len, &error))
    return gm_fail (status, GM_IO, "%s", error->message);
  return gm_ok (status);
}
