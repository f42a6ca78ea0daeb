#include "reload.h"
#include <glib/gstdio.h>

/* Bounds how long a changed list of control hosts goes unnoticed.  */
#define POLL_INTERVAL_S 1

struct Reload
{
  DaemonTask task;
  Daemon *daemon;
  CfSettings *settings;
  char *path;
  GStatBuf last_stat; /* of the file, at the last poll */
  guint timer;
};

void
reload_now (Reload *r)
{
  GmStatus status = GM_STATUS_UNSET;
  g_autoptr (CfSettings) fresh = cf_settings_read (r->path, &status);
  if (fresh == NULL)
    {
      gm_log (GM_EV_SETTINGS_REFUSED, "the former settings stay: %s",
              status.message);
      return;
    }
  guint changes = cf_settings_apply (r->settings, fresh);
  if (changes == 0)
    return;
  gm_log (GM_EV_SETTINGS_CHANGED, "%s%s%s",
          (changes & CF_CHANGED_PEERS) != 0 ? "control hosts; " : "",
          (changes & CF_CHANGED_LOG_LEVEL) != 0 ? "log level; " : "",
          (changes & CF_CHANGED_NEEDS_RESTART) != 0
              ? "other fields, which take effect at the next start"
              : "all in force");
  if ((changes & CF_CHANGED_LOG_LEVEL) != 0)
    gm_log_set_level (r->settings->log_level);
  if ((changes & CF_CHANGED_PEERS) != 0)
    daemon_settings_changed (r->daemon);
}

static gboolean
has_changed (Reload *r)
{
  GStatBuf now;
  /* A file that is being replaced may be missing for a moment.  */
  if (g_stat (r->path, &now) != 0)
    return FALSE;
  gboolean same = now.st_mtim.tv_sec == r->last_stat.st_mtim.tv_sec
                  && now.st_mtim.tv_nsec == r->last_stat.st_mtim.tv_nsec
                  && now.st_size == r->last_stat.st_size
                  && now.st_ino == r->last_stat.st_ino;
  r->last_stat = now;
  return !same;
}

static gboolean
poll_file (gpointer data)
{
  if (has_changed (data))
    reload_now (data);
  return G_SOURCE_CONTINUE;
}

static void
reload_free (DaemonTask *task)
{
  Reload *r = (Reload *)task;
  g_source_remove (r->timer);
  g_free (r->path);
  g_free (r);
}

static const DaemonTaskClass reload_class = { .free = reload_free };

Reload *
reload_new (Daemon *daemon, const char *path, CfSettings *settings)
{
  Reload *r = g_new0 (Reload, 1);
  r->task.class = &reload_class;
  r->daemon = daemon;
  r->settings = settings;
  r->path = g_strdup (path);
  has_changed (r);
  r->timer = g_timeout_add_seconds (POLL_INTERVAL_S, poll_file, r);
  daemon_add (daemon, &r->task);
  return r;
}
