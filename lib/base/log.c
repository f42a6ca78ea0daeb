/* Log lines: one JSON object each, within a budget, never waited for.  */
#include "clock.h"
#include "event.h"
#include <fcntl.h>
#include <log4c.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* A line is written whole or not at all, as pipes do up to 4,096 bytes.  */
#define TEXT_MAX_BYTES 1024
#define LINE_MAX_BYTES 4096
#define FILE_MODE 0644
#define DROPPED_EVERY GM_LOG_SECOND /* between two lines that count them */

/* Lines share a budget by their class, so that no flood of one hides another.
 */
typedef enum
{
  CLASS_EVENT,   /* what changes what the process believes */
  CLASS_REQUEST, /* of requests that are sampled */
  CLASS_FAILURE, /* of requests that failed */
  CLASSES
} Class;

/* Bytes a second: a thousand lines of events, and what ten hosts' lines fill
   of a reader that takes a megabyte.  */
static const gint64 budgets[CLASSES] = { [CLASS_EVENT] = 256 * 1024,
                                         [CLASS_REQUEST] = 16 * 1024,
                                         [CLASS_FAILURE] = 64 * 1024 };

typedef struct
{
  gint64 left; /* bytes */
  gint64 filled_at;
  guint64 dropped; /* since they were last counted */
} Budget;

static int log_file = STDOUT_FILENO;
static char *log_path;
static log4c_category_t *category;
static Budget spent[CLASSES];
static gint64 counted_at;
static gboolean written; /* the last line was */

static gboolean
write_line (const char *line, gsize length)
{
  struct pollfd out = { .fd = log_file, .events = POLLOUT };
  if (poll (&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0)
    return FALSE;
  return write (log_file, line, length) == (gssize)length;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *logged)
{
  (void)appender;
  written = write_line (logged->evt_msg, strlen (logged->evt_msg));
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = "galenamount",
  .append = append_line,
};

static int
open_file (const char *path)
{
  /* A pipe that nobody reads must not be waited for either.  */
  return open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC | O_NONBLOCK,
               FILE_MODE);
}

gboolean
gm_log_open (const char *file, const char *level)
{
  if (file != NULL)
    {
      int fresh = open_file (file);
      if (fresh < 0)
        return FALSE;
      log_file = fresh;
      g_free (log_path);
      log_path = g_strdup (file);
    }
  log4c_appender_type_set (&appender_type);
  category = log4c_category_get ("galenamount");
  log4c_appender_t *appender = log4c_appender_get ("galenamount");
  log4c_appender_set_type (appender, &appender_type);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  gm_log_set_level (level);
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
  int fresh = open_file (log_path);
  if (fresh < 0)
    return;
  close (log_file);
  log_file = fresh;
}

void
gm_log_close (void)
{
  if (log_path != NULL)
    close (log_file);
  log_file = STDOUT_FILENO;
  g_clear_pointer (&log_path, g_free);
  category = NULL;
}

/* Takes LENGTH bytes of CLASS's budget.  */
static gboolean
spend (Class class, gint64 length)
{
  Budget *b = &spent[class];
  gint64 now = g_get_monotonic_time ();
  gint64 earned = (now - b->filled_at) * budgets[class] / GM_LOG_SECOND;
  if (b->filled_at == 0 || now - b->filled_at >= GM_LOG_SECOND)
    earned = budgets[class];
  if (earned > 0)
    {
      b->left = MIN (b->left + earned, budgets[class]);
      b->filled_at = now;
    }
  if (b->left < length)
    return FALSE;
  b->left -= length;
  return TRUE;
}

static void
append_text (GString *line, const char *name, const char *text)
{
  g_autofree char *valid = g_utf8_make_valid (text, -1);
  g_string_append_printf (line, "\"%s\":\"", name);
  for (const char *c = valid; *c != '\0'; c++)
    if (*c == '"' || *c == '\\')
      g_string_append_printf (line, "\\%c", *c);
    else if ((guchar)*c < ' ')
      g_string_append_printf (line, "\\u%04x", (guint)(guchar)*c);
    else
      g_string_append_c (line, *c);
  g_string_append_c (line, '"');
}

/* Writes the line of EVENT; FALSE when it is dropped.  */
static gboolean
put_line (Class class, GmEvent event, const char *id, const char *text)
{
  const char *name;
  int level;
  if (category == NULL || !gm_event_find (event, &name, &level)
      || !log4c_category_is_priority_enabled (category, level))
    return TRUE;
  g_autoptr (GDateTime) when = g_date_time_new_now_utc ();
  g_autofree char *stamp = g_date_time_format (when, "%Y-%m-%dT%H:%M:%S.%fZ");
  g_autoptr (GString) line = g_string_sized_new (256);
  g_string_append_printf (
      line,
      "{\"time\":\"%s\",\"level\":\"%s\",\"event\":\"GM%d\",\"name\":\"%s\",",
      stamp, log4c_priority_to_string (level), (int)event, name);
  if (id != NULL)
    {
      append_text (line, "id", id);
      g_string_append_c (line, ',');
    }
  append_text (line, "text", text);
  g_string_append (line, "}\n");
  written = FALSE;
  if (line->len <= LINE_MAX_BYTES && spend (class, (gint64)line->len))
    log4c_category_log (category, level, "%s", line->str);
  return written;
}

/* Tells how many lines were dropped, once there is room for that.  */
static void
count_dropped (void)
{
  gint64 now = g_get_monotonic_time ();
  guint64 all = 0;
  for (int i = 0; i < CLASSES; i++)
    all += spent[i].dropped;
  if (all == 0 || now < counted_at + DROPPED_EVERY)
    return;
  g_autofree char *text = g_strdup_printf (
      "%" G_GUINT64_FORMAT " of events, %" G_GUINT64_FORMAT
      " of requests, %" G_GUINT64_FORMAT " of failed ones",
      spent[CLASS_EVENT].dropped, spent[CLASS_REQUEST].dropped,
      spent[CLASS_FAILURE].dropped);
  counted_at = now;
  if (!put_line (CLASS_EVENT, GM_EV_LOG_DROPPED, NULL, text))
    return;
  for (int i = 0; i < CLASSES; i++)
    spent[i].dropped = 0;
}

static void
put (Class class, GmEvent event, const char *id, const char *format,
     va_list args)
{
  char text[TEXT_MAX_BYTES];
  g_vsnprintf (text, sizeof text, format, args);
  count_dropped ();
  if (put_line (class, event, id, text))
    return;
  spent[class].dropped++;
  gm_count (GM_M_log_lines_dropped_total, 1);
}

void
gm_log (GmEvent event, const char *format, ...)
{
  va_list args;
  if (category == NULL)
    return;
  va_start (args, format);
  put (CLASS_EVENT, event, NULL, format, args);
  va_end (args);
}

gboolean
gm_is_sampled (const char *id)
{
  return id != NULL
         && gm_hash (id, strlen (id), 0) % GM_LOG_SAMPLE_ONE_IN == 0;
}

void
gm_trace (GmEvent event, const char *id, gboolean failed, const char *format,
          ...)
{
  va_list args;
  if (category == NULL || (!failed && !gm_is_sampled (id)))
    return;
  va_start (args, format);
  put (failed ? CLASS_FAILURE : CLASS_REQUEST, event, id != NULL ? id : "",
       format, args);
  va_end (args);
}
