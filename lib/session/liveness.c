#include "liveness.h"

typedef struct
{
  GmTime waiting_since; /* 0: the host owes no answer */
  GmTime next_probe_at;
  gboolean silent;
} Host;

struct LvCore
{
  GHashTable *hosts; /* name -> Host */
};

LvCore *
lv_new (void)
{
  LvCore *core = g_new0 (LvCore, 1);
  core->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return core;
}

void
lv_free (LvCore *core)
{
  g_hash_table_unref (core->hosts);
  g_free (core);
}

static void
start_waiting (Host *host, GmTime now)
{
  host->waiting_since = now;
  host->next_probe_at = now + LV_PROBE_AFTER;
}

void
lv_sent (LvCore *core, GmTime now, const char *name)
{
  Host *host = g_hash_table_lookup (core->hosts, name);
  if (host == NULL)
    {
      host = g_new0 (Host, 1);
      g_hash_table_insert (core->hosts, g_strdup (name), host);
    }
  if (host->waiting_since == 0)
    start_waiting (host, now);
}

void
lv_received (LvCore *core, GmTime now, const char *name, gboolean more)
{
  Host *host = g_hash_table_lookup (core->hosts, name);
  if (host == NULL)
    return;
  host->silent = FALSE;
  host->waiting_since = 0;
  if (more)
    start_waiting (host, now);
}

void
lv_forget (LvCore *core, const char *name)
{
  g_hash_table_remove (core->hosts, name);
}

void
lv_stalled (LvCore *core, GmTime span)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Host *host = value;
      if (host->waiting_since == 0)
        continue;
      host->waiting_since += span;
      host->next_probe_at += span;
    }
}

gboolean
lv_next (LvCore *core, GmTime now, LvEvent *event)
{
  GHashTableIter iter;
  gpointer key, value;
  g_hash_table_iter_init (&iter, core->hosts);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      Host *host = value;
      gboolean waits = host->waiting_since != 0;
      event->host = key;
      if (waits && !host->silent
          && now >= host->waiting_since + LV_SILENT_AFTER)
        {
          host->silent = TRUE;
          event->type = LV_FELL_SILENT;
          return TRUE;
        }
      if (waits && now >= host->next_probe_at)
        {
          host->next_probe_at = now + LV_PROBE_INTERVAL;
          event->type = LV_PROBE_HOST;
          return TRUE;
        }
    }
  return FALSE;
}

gboolean
lv_is_waiting (const LvCore *core)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Host *)value)->waiting_since != 0)
      return TRUE;
  return FALSE;
}

gboolean
lv_is_silent (const LvCore *core, const char *name)
{
  const Host *host = g_hash_table_lookup (core->hosts, name);
  return host != NULL && host->silent;
}
