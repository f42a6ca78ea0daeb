/* Log lines: one JSON object per line, rate-limited, written without
   blocking.  */
#include "clock.h"
#include "event.h"
#include <fcntl.h>
#include <log4c.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

/* Writes of up to 4,096 bytes to a pipe are atomic on Linux: a line is
   written whole or not at all.  */
#define TEXT_MAX_BYTES 1024
#define LINE_MAX_BYTES 4096
#define FILE_MODE 0644
/* Shortest time between two reports of dropped lines.  */
#define DROPPED_REPORT_INTERVAL GM_LOG_REFILL_TIME

/* Each class of lines has its own rate limit, so that a flood of one class
   does not drop lines of another.  */
typedef enum
{
  CLASS_EVENT,   /* about the process */
  CLASS_REQUEST, /* about sampled requests */
  CLASS_FAILURE, /* about failed requests */
  CLASS_COUNT
} Class;

/* Bytes per second.  Events: about a thousand lines.  Requests and failures:
   ten hosts together stay below what a reader of 1 MB/s can take.  */
static const gint64 bytes_per_second[CLASS_COUNT]
    = { [CLASS_EVENT] = 256 * 1024,
        [CLASS_REQUEST] = 16 * 1024,
        [CLASS_FAILURE] = 64 * 1024 };

typedef struct
{
  gint64 tokens; /* in bytes */
  gint64 refilled_at;
  guint64 dropped; /* lines dropped since the last report */
} TokenBucket;

static int log_fd = STDOUT_FILENO;
static char *log_path;
static log4c_category_t *category;
static TokenBucket buckets[CLASS_COUNT];
static gint64 dropped_reported_at;
static gboolean line_written; /* whether the last line was written */

static gboolean
write_line (const char *line, gsize length)
{
  struct pollfd target = { .fd = log_fd, .events = POLLOUT };
  if (poll (&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
    return FALSE;
  return write (log_fd, line, length) == (gssize)length;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *logged)
{
  (void)appender;
  line_written = write_line (logged->evt_msg, strlen (logged->evt_msg));
  return 0;
}

static const log4c_appender_type_t appender_type = {
  .name = "galenamount",
  .append = append_line,
};

static int
open_file (const char *path)
{
  /* O_NONBLOCK: the log may be a pipe that nobody reads.  */
  return open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC | O_NONBLOCK,
               FILE_MODE);
}

gboolean
gm_log_open (const char *file, const char *level)
{
  if (file != NULL)
    {
      int fd = open_file (file);
      if (fd < 0)
        return FALSE;
      log_fd = fd;
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
  int fd = open_file (log_path);
  if (fd < 0)
    return;
  close (log_fd);
  log_fd = fd;
}

void
gm_log_close (void)
{
  if (log_path != NULL)
    close (log_fd);
  log_fd = STDOUT_FILENO;
  g_clear_pointer (&log_path, g_free);
  category = NULL;
}

/* Takes LENGTH bytes from the token bucket of CLASS, after refilling the
   bucket for the time that passed.  Returns FALSE when too few bytes are
   left.  */
static gboolean
take_tokens (Class class, gint64 length)
{
  TokenBucket *b = &buckets[class];
  gint64 now = g_get_monotonic_time ();
  gint64 refill
      = (now - b->refilled_at) * bytes_per_second[class] / GM_LOG_REFILL_TIME;
  if (b->refilled_at == 0 || now - b->refilled_at >= GM_LOG_REFILL_TIME)
    refill = bytes_per_second[class];
  if (refill > 0)
    {
      b->tokens = MIN (b->tokens + refill, bytes_per_second[class]);
      b->refilled_at = now;
    }
  if (b->tokens < length)
    return FALSE;
  b->tokens -= length;
  return TRUE;
}

static void
append_json_member (GString *line, const char *name, const char *text)
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

/* Formats and writes the line of EVENT.  Returns FALSE when the line was
   dropped.  */
static gboolean
write_event (Class class, GmEvent event, const char *id, const char *text)
{
  const char *name;
  int level;
  if (category == NULL || !gm_event_find (event, &name, &level)
      || !log4c_category_is_priority_enabled (category, level))
    return TRUE;
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *timestamp
      = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  g_autoptr (GString) line = g_string_sized_new (256);
  g_string_append_printf (
      line,
      "{\"time\":\"%s\",\"level\":\"%s\",\"event\":\"GM%d\",\"name\":\"%s\",",
      timestamp, log4c_priority_to_string (level), (int)event, name);
  if (id != NULL)
    {
      append_json_member (line, "id", id);
      g_string_append_c (line, ',');
    }
  append_json_member (line, "text", text);
  g_string_append (line, "}\n");
  line_written = FALSE;
  if (line->len <= LINE_MAX_BYTES && take_tokens (class, (gint64)line->len))
    log4c_category_log (category, level, "%s", line->str);
  return line_written;
}

/* Logs how many lines of each class were dropped, when the last such report is
   at least DROPPED_REPORT_INTERVAL ago.  The counts are kept when the report
   itself is dropped.  */
static void
report_dropped (void)
{
  gint64 now = g_get_monotonic_time ();
  guint64 total = 0;
  for (int i = 0; i < CLASS_COUNT; i++)
    total += buckets[i].dropped;
  if (total == 0 || now < dropped_reported_at + DROPPED_REPORT_INTERVAL)
    return;
  g_autofree char *text = g_strdup_printf (
      "%" G_GUINT64_FORMAT " of events, %" G_GUINT64_FORMAT
      " of requests, %" G_GUINT64_FORMAT " of failed ones",
      buckets[CLASS_EVENT].dropped, buckets[CLASS_REQUEST].dropped,
      buckets[CLASS_FAILURE].dropped);
  dropped_reported_at = now;
  if (!write_event (CLASS_EVENT, GM_EV_LOG_DROPPED, NULL, text))
    return;
  for (int i = 0; i < CLASS_COUNT; i++)
    buckets[i].dropped = 0;
}

static void
log_event (Class class, GmEvent event, const char *id, const char *format,
           va_list args)
{
  char text[TEXT_MAX_BYTES];
  g_vsnprintf (text, sizeof text, format, args);
  report_dropped ();
  if (write_event (class, event, id, text))
    return;
  buckets[class].dropped++;
  gm_count (GM_M_log_lines_dropped_total, 1);
}

void
gm_log (GmEvent event, const char *format, ...)
{
  va_list args;
  if (category == NULL)
    return;
  va_start (args, format);
  log_event (CLASS_EVENT, event, NULL, format, args);
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
  log_event (failed ? CLASS_FAILURE : CLASS_REQUEST, event,
             id != NULL ? id : "", format, args);
  va_end (args);
}
