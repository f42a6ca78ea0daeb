#include "daemon.h"

#define DRAIN_TICK_MS 20
/* A drain lasts at least this long, so that the load balancer notices it and
   sends callers to other hosts.  */
#define DRAIN_MIN (1 * GM_SECOND)
/* A drain ends once nothing has been in progress for so long, so that the last
   answers are on their way to other hosts before the links close.  */
#define DRAIN_SETTLE (100 * GM_MS)

GmTime
daemon_now (const Daemon *daemon)
{
  return gm_now (daemon->clock);
}

LkLink *
daemon_link (const Daemon *daemon, guint64 number)
{
  return g_hash_table_lookup (daemon->links, GSIZE_TO_POINTER (number));
}

static guint64
link_number (const Daemon *daemon, LkLink *link)
{
  return GPOINTER_TO_SIZE (g_hash_table_lookup (daemon->link_numbers, link));
}

static void
link_up (LkLink *link, void *owner)
{
  Daemon *daemon = owner;
  gpointer number = GSIZE_TO_POINTER (++daemon->last_link_number);
  g_hash_table_insert (daemon->links, number, link);
  g_hash_table_insert (daemon->link_numbers, link, number);
}

static void
link_message (LkLink *link, const WmMessage *m, void *owner)
{
  Daemon *daemon = owner;
  guint64 number = link_number (daemon, link);
  for (guint i = 0; i < daemon->tasks->len; i++)
    {
      DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->message != NULL
          && task->class->message (task, number, link, m))
        return;
    }
}

static void
link_down (LkLink *link, void *owner)
{
  Daemon *daemon = owner;
  guint64 number = link_number (daemon, link);
  if (number == 0)
    return;
  gm_log (GM_EV_LINK_DOWN, "link with %s", lk_peer (link));
  g_hash_table_remove (daemon->links, GSIZE_TO_POINTER (number));
  g_hash_table_remove (daemon->link_numbers, link);
  for (guint i = 0; i < daemon->tasks->len; i++)
    {
      DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->link_down != NULL)
        task->class->link_down (task, number);
    }
}

static const LkHandler link_handler
    = { .up = link_up, .message = link_message, .down = link_down };

/* Requests and transactions in progress in all tasks.  */
static guint
count_in_progress (const Daemon *daemon)
{
  guint open = 0;
  for (guint i = 0; i < daemon->tasks->len; i++)
    {
      const DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->in_progress != NULL)
        open += task->class->in_progress (task);
    }
  return open;
}

static gboolean
drain_tick (gpointer data)
{
  Daemon *daemon = data;
  GmTime now = daemon_now (daemon);
  GmTime drain_began
      = daemon->drain_deadline - daemon->settings->drain_ms * GM_MS;
  if (count_in_progress (daemon) > 0)
    daemon->busy_at = now;
  gboolean done = now >= daemon->busy_at + DRAIN_SETTLE
                  && now >= drain_began + DRAIN_MIN;
  if (!done && now < daemon->drain_deadline)
    return G_SOURCE_CONTINUE;
  daemon->drain_timer = 0;
  g_main_loop_quit (daemon->loop);
  return G_SOURCE_REMOVE;
}

void
daemon_drain (Daemon *daemon)
{
  if (daemon->draining)
    return;
  daemon->draining = TRUE;
  daemon->drain_deadline
      = daemon_now (daemon) + daemon->settings->drain_ms * GM_MS;
  gm_log (GM_EV_DRAINING, "%u requests and transactions in progress",
          count_in_progress (daemon));
  for (guint i = 0; i < daemon->tasks->len; i++)
    {
      DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->draining != NULL)
        task->class->draining (task);
    }
  daemon->drain_timer = g_timeout_add (DRAIN_TICK_MS, drain_tick, daemon);
}

void
daemon_add (Daemon *daemon, DaemonTask *task)
{
  g_ptr_array_add (daemon->tasks, task);
}

char *
daemon_choice (Daemon *daemon, const char *service, gboolean writes,
               GmTime age)
{
  char *text = NULL;
  for (guint i = 0; text == NULL && i < daemon->tasks->len; i++)
    {
      DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->choice != NULL)
        text = task->class->choice (task, service, writes, age);
    }
  return text;
}

void
daemon_state_changed (Daemon *daemon)
{
  for (guint i = 0; i < daemon->tasks->len; i++)
    {
      DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->state_changed != NULL)
        task->class->state_changed (task);
    }
}

void
daemon_settings_changed (Daemon *daemon)
{
  for (guint i = 0; i < daemon->tasks->len; i++)
    {
      DaemonTask *task = g_ptr_array_index (daemon->tasks, i);
      if (task->class->settings_changed != NULL)
        task->class->settings_changed (task);
    }
}

Daemon *
daemon_new (const CfSettings *settings, GmStatus *status)
{
  Daemon *daemon = g_new0 (Daemon, 1);
  daemon->settings = settings;
  daemon->clock = gm_clock_system ();
  daemon->loop = g_main_loop_new (NULL, FALSE);
  daemon->links = g_hash_table_new (NULL, NULL);
  daemon->link_numbers = g_hash_table_new (NULL, NULL);
  daemon->tasks = g_ptr_array_new ();
  daemon->identity = (LkIdentity){ .host = settings->host,
                                   .incarnation = (guint64)g_get_real_time (),
                                   .key = settings->cluster_key };
  daemon->server = lk_listen ((CfAddress *)&settings->link, &daemon->identity,
                              &link_handler, daemon, status);
  if (daemon->server == NULL)
    g_clear_pointer (&daemon, daemon_free);
  else
    lk_server_limit_handshakes (
        daemon->server, cf_connections_max (settings->handshakes_max, 1));
  return daemon;
}

void
daemon_free (Daemon *daemon)
{
  if (daemon == NULL)
    return;
  g_clear_handle_id (&daemon->drain_timer, g_source_remove);
  if (daemon->server != NULL)
    lk_server_free (daemon->server);
  while (daemon->tasks->len > 0)
    {
      DaemonTask *task
          = g_ptr_array_steal_index (daemon->tasks, daemon->tasks->len - 1);
      task->class->free (task);
    }
  g_ptr_array_unref (daemon->tasks);
  g_hash_table_unref (daemon->links);
  g_hash_table_unref (daemon->link_numbers);
  g_main_loop_unref (daemon->loop);
  g_free (daemon);
}
