#include "traffic.h"

/* Short enough for several lines during an overload of a few seconds.  */
#define LOG_INTERVAL_MS 2000

typedef struct
{
  DaemonTask task;
  guint64 last_received; /* bytes, in total up to the last log line */
  guint64 last_sent;
  guint timer;
} Traffic;

static gboolean
log_traffic (gpointer data)
{
  Traffic *t = data;
  guint64 received = gm_metric (GM_M_bytes_in_total);
  guint64 sent = gm_metric (GM_M_bytes_out_total);
  gm_log (GM_EV_TRAFFIC,
          "received %" G_GUINT64_FORMAT " B/s, sent %" G_GUINT64_FORMAT
          " B/s, %" G_GUINT64_FORMAT " B unsent",
          (received - t->last_received) * 1000 / LOG_INTERVAL_MS,
          (sent - t->last_sent) * 1000 / LOG_INTERVAL_MS,
          gm_metric (GM_M_bytes_unsent));
  t->last_received = received;
  t->last_sent = sent;
  return G_SOURCE_CONTINUE;
}

static void
traffic_free (DaemonTask *task)
{
  Traffic *t = (Traffic *)task;
  g_source_remove (t->timer);
  g_free (t);
}

static const DaemonTaskClass traffic_class = { .free = traffic_free };

void
traffic_new (Daemon *daemon)
{
  Traffic *t = g_new0 (Traffic, 1);
  t->task.class = &traffic_class;
  t->timer = g_timeout_add (LOG_INTERVAL_MS, log_traffic, t);
  daemon_add (daemon, &t->task);
}
