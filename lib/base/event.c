#include "event.h"
#include "histogram.h"
#include <log4c.h>

static const struct
{
  GmEvent number;
  const char *name;
  int level;
  const char *summary;
} events[] = {
#define X(name, number, level, summary)                                       \
  { GM_EV_##name, #name, LOG4C_PRIORITY_##level, summary },
  GM_EVENTS (X)
#undef X
};

static const struct
{
  const char *name;
  const char *help;
} metrics[] = {
#define X(name, help) { #name, help },
  GM_METRICS (X)
#undef X
};

static guint64 metric_values[GM_METRIC_COUNT];

gboolean
gm_event_find (GmEvent event, const char **name, int *level)
{
  for (gsize i = 0; i < G_N_ELEMENTS (events); i++)
    if (events[i].number == event)
      {
        *name = events[i].name;
        *level = events[i].level;
        return TRUE;
      }
  return FALSE;
}

void
gm_log_catalogue (GString *out)
{
  g_string_append (out, "| number | name | level | meaning |\n"
                        "|---|---|---|---|\n");
  for (gsize i = 0; i < G_N_ELEMENTS (events); i++)
    g_string_append_printf (out, "| GM%d | %s | %s | %s |\n",
                            (int)events[i].number, events[i].name,
                            log4c_priority_to_string (events[i].level),
                            events[i].summary);
}

void
gm_count (GmMetric metric, guint64 n)
{
  metric_values[metric] += n;
}

void
gm_gauge (GmMetric metric, guint64 value)
{
  metric_values[metric] = value;
}

guint64
gm_metric (GmMetric metric)
{
  return metric_values[metric];
}

void
gm_metrics_print (GString *out)
{
  for (int i = 0; i < GM_METRIC_COUNT; i++)
    {
      const char *name = metrics[i].name;
      gboolean counter = g_str_has_suffix (name, "_total");
      g_string_append_printf (out,
                              "# HELP galenamount_%s %s\n"
                              "# TYPE galenamount_%s %s\n"
                              "galenamount_%s %" G_GUINT64_FORMAT "\n",
                              name, metrics[i].help, name,
                              counter ? "counter" : "gauge", name,
                              metric_values[i]);
    }
  hg_print (out);
}
