#include "event.h"
#include <log4c.h>
#include <stdio.h>

#define LINE_MAX_BYTES 1024

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

static guint64 values[GM_METRIC_COUNT];
static FILE *log_stream;
static char *log_path;
static log4c_category_t *category;

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *logged)
{
  (void)appender;
  g_autoptr (GDateTime) when = g_date_time_new_now_utc ();
  g_autofree char *stamp = g_date_time_format (when, "%Y-%m-%dT%H:%M:%S.%f");
  FILE *out = log_stream != NULL ? log_stream : stderr;
  int written = fprintf (out, "%sZ %-6s %s\n", stamp,
                         log4c_priority_to_string (logged->evt_priority),
                         logged->evt_msg);
  (void)fflush (out);
  return written;
}

static const log4c_appender_type_t appender_type = {
  .name = "galenamount",
  .append = append_line,
};

gboolean
gm_log_open (const char *file, const char *level)
{
  if (file != NULL)
    {
      log_stream = fopen (file, "a");
      if (log_stream == NULL)
        return FALSE;
      g_free (log_path);
      log_path = g_strdup (file);
    }
  log4c_appender_type_set (&appender_type);
  category = log4c_category_get ("galenamount");
  log4c_appender_t *appender = log4c_appender_get ("galenamount");
  log4c_appender_set_type (appender, &appender_type);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, log4c_priority_to_int (level));
  return TRUE;
}

void
gm_log_set_level (const char *level)
{
  log4c_category_set_priority (category, log4c_priority_to_int (level));
}

void
gm_log_reopen (void)
{
  if (log_path == NULL)
    return;
  FILE *fresh = fopen (log_path, "a");
  if (fresh == NULL)
    return;
  if (log_stream != NULL)
    (void)fclose (log_stream);
  log_stream = fresh;
}

void
gm_log_close (void)
{
  if (log_stream != NULL)
    (void)fclose (log_stream);
  log_stream = NULL;
  g_clear_pointer (&log_path, g_free);
  category = NULL;
}

void
gm_log (GmEvent event, const char *format, ...)
{
  if (category == NULL)
    return;
  gsize i = 0;
  while (i + 1 < G_N_ELEMENTS (events) && events[i].number != event)
    i++;
  char line[LINE_MAX_BYTES];
  va_list args;
  va_start (args, format);
  g_vsnprintf (line, sizeof line, format, args);
  va_end (args);
  log4c_category_log (category, events[i].level, "GM%d %s: %s", (int)event,
                      events[i].name, line);
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
  values[metric] += n;
}

void
gm_gauge (GmMetric metric, guint64 value)
{
  values[metric] = value;
}

guint64
gm_metric (GmMetric metric)
{
  return values[metric];
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
                              counter ? "counter" : "gauge", name, values[i]);
    }
}
