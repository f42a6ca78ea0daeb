/* galenamountd: the daemon, which runs one host of the system.  */
#include "control.h"
#include "dispatcher.h"
#include "entry.h"
#include "operator.h"
#include "platform/database.h"
#include "platform/platform.h"
#include "pools.h"
#include "quota.h"
#include "reload.h"
#include "subscription.h"
#include "traffic.h"
#include "wire/stream.h"
#include <argtable2.h>
#include <glib-unix.h>
#include <malloc.h>
#include <stdio.h>

#ifndef GM_VERSION
#define GM_VERSION "unknown"
#endif

static gboolean
on_terminate (gpointer data)
{
  daemon_drain (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_hangup (gpointer data)
{
  gm_log_reopen ();
  reload_now (data);
  return G_SOURCE_CONTINUE;
}

/* Blocks of this size and more are given back to the system when they are
   freed.  By default glibc raises the size up to 32 MiB, and buffers that grew
   once then stay with the process.  */
#define GIVEN_BACK_BYTES (128 * 1024)

/* Starts the tasks of the roles in the settings.  */
static gboolean
start_tasks (Daemon *daemon, gboolean bootstrap, Platform **platform,
             GmStatus *status)
{
  const CfSettings *settings = daemon->settings;
  Control *control = NULL;
  Quota *quota = NULL;
  if (settings->platform == NULL && settings->pool)
    {
      gm_fail (
          status, GM_INVALID,
          "the role \"pool\" needs the object \"platform\" in the settings");
      return FALSE;
    }
  if (settings->dispatcher)
    dispatcher_new (daemon);
  /* The control task handles every message that it gets, so the tasks that
     take only some messages are added before it.  */
  if (settings->platform != NULL && settings->pool)
    {
      pools_new (daemon, pt_database_open);
      quota = quota_new (daemon);
    }
  if (settings->control)
    {
      control = control_new (daemon, bootstrap, status);
      if (control == NULL)
        return FALSE;
    }
  subscription_new (daemon);
  traffic_new (daemon);
  if (settings->platform != NULL)
    {
      *platform = platform_start (daemon, control, quota, status);
      if (*platform == NULL)
        return FALSE;
    }
  if (settings->entry && entry_new (daemon, status) == NULL)
    return FALSE;
  return settings->operator_.ip == NULL
         || operator_new (daemon, quota, status) != NULL;
}

static int
serve (const char *path, gboolean bootstrap)
{
  GmStatus status = GM_STATUS_UNSET;
  mallopt (M_MMAP_THRESHOLD, GIVEN_BACK_BYTES);
  mallopt (M_TRIM_THRESHOLD, GIVEN_BACK_BYTES);
  g_autoptr (CfSettings) settings = cf_settings_read (path, &status);
  if (settings == NULL)
    {
      gm_log_open (NULL, "info");
      gm_log (GM_EV_SETTINGS_REFUSED, "%s", status.message);
      return gm_kind_exit (status.kind);
    }
  if (!gm_log_open (settings->log_file, settings->log_level))
    {
      fprintf (stderr, "galenamountd: cannot open the log file %s\n",
               settings->log_file);
      return gm_kind_exit (GM_IO);
    }
  Platform *platform = NULL;
  Daemon *daemon = daemon_new (settings, &status);
  if (daemon == NULL || !start_tasks (daemon, bootstrap, &platform, &status))
    {
      daemon_free (daemon);
      gm_log (GM_EV_LISTEN_FAILED, "%s", status.message);
      fprintf (stderr, "galenamountd: %s\n", status.message);
      return gm_kind_exit (status.kind);
    }
  g_unix_signal_add (SIGTERM, on_terminate, daemon);
  g_unix_signal_add (SIGINT, on_terminate, daemon);
  g_unix_signal_add (SIGHUP, on_hangup, reload_new (daemon, path, settings));
  gm_log (GM_EV_STARTED, "%s, links at %s:%u", settings->host,
          settings->link.ip, settings->link.port);
  g_main_loop_run (daemon->loop);
  gm_log (GM_EV_STOPPED, "%s, %u connections still ending", settings->host,
          ns_finishing_count ());
  daemon_free (daemon);
  platform_free (platform);
  gm_log_close ();
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_file *settings
      = arg_file0 ("s", "settings", "FILE", "the settings file");
  struct arg_lit *bootstrap = arg_lit0 (
      NULL, "init-control", "make the empty data folder a new control group");
  struct arg_lit *version = arg_lit0 (NULL, "version", "show the version");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this");
  struct arg_end *end = arg_end (8);
  void *table[] = { settings, bootstrap, version, help, end };
  int errors = arg_parse (argc, argv, table);
  int code = 0;
  if (version->count > 0)
    printf ("galenamountd %s\n", GM_VERSION);
  else if (help->count > 0)
    {
      printf ("galenamountd --settings FILE: one host of galenamount\n");
      arg_print_glossary_gnu (stdout, table);
    }
  else if (errors > 0 || settings->count == 0)
    {
      arg_print_errors (stderr, end, "galenamountd");
      fprintf (stderr, "galenamountd: --settings FILE is needed\n");
      code = gm_kind_exit (GM_INVALID);
    }
  else
    code = serve (settings->filename[0], bootstrap->count > 0);
  arg_freetable (table, G_N_ELEMENTS (table));
  return code;
}
