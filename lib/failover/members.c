#include "members.h"
#include <string.h>

typedef struct
{
  GmTime heard;
  GmTime proposed; /* when a command about it was last proposed */
  guint64 config;
  guint64 version;
  guint64 incarnation; /* of the database that announced last */
  guint64 sequence;    /* of its last announcement */
} Hearing;

struct MbCore
{
  GHashTable *hosts;     /* host -> Hearing */
  GHashTable *databases; /* id -> Hearing */
  GQueue commands;       /* WmMessage * */
};

MbCore *
mb_new (void)
{
  MbCore *core = g_new0 (MbCore, 1);
  core->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  core->databases
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&core->commands);
  return core;
}

gboolean
mb_take_command (MbCore *core, WmMessage *command)
{
  return wm_queue_take (&core->commands, command);
}

void
mb_free (MbCore *core)
{
  wm_queue_clear (&core->commands);
  g_hash_table_unref (core->hosts);
  g_hash_table_unref (core->databases);
  g_free (core);
}

static Hearing *
hear (GHashTable *table, const char *name, GmTime now)
{
  Hearing *hearing = g_hash_table_lookup (table, name);
  if (hearing == NULL)
    {
      hearing = g_new0 (Hearing, 1);
      hearing->proposed = G_MININT64 / 2;
      g_hash_table_insert (table, g_strdup (name), hearing);
    }
  hearing->heard = now;
  return hearing;
}

/* Whether a command about HEARING may be proposed now; notes that it is.  */
static gboolean
may_propose (Hearing *hearing, GmTime now)
{
  if (now < hearing->proposed + MB_REPROPOSE)
    return FALSE;
  hearing->proposed = now;
  return TRUE;
}

void
mb_lead (MbCore *core, GmTime now, const CsState *state)
{
  wm_queue_clear (&core->commands);
  g_hash_table_remove_all (core->hosts);
  g_hash_table_remove_all (core->databases);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    hear (core->hosts, key, now);
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    hear (core->databases, key, now);
}

void
mb_host (MbCore *core, GmTime now, const CsState *state,
         const struct wm_subscribe *beat)
{
  const CsHost *known = g_hash_table_lookup (state->hosts, beat->host);
  /* A heartbeat of an earlier process of that host is late.  */
  if (known != NULL && known->incarnation > beat->incarnation)
    return;
  Hearing *hearing = hear (core->hosts, beat->host, now);
  hearing->config = beat->config;
  hearing->version = beat->version;
  guint64 roles = beat->draining != 0 ? 0 : beat->roles;
  gboolean same = known != NULL && known->incarnation == beat->incarnation
                  && known->roles == roles
                  && known->link_rate == beat->link_rate
                  && strcmp (known->link, beat->link) == 0
                  && strcmp (known->caller, beat->caller) == 0;
  if (same || !may_propose (hearing, now))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_HOST,
                        .cmd_host = { .host = beat->host,
                                      .incarnation = beat->incarnation,
                                      .caller = beat->caller,
                                      .link = beat->link,
                                      .data_centre = beat->data_centre,
                                      .roles = roles,
                                      .link_rate = beat->link_rate } };
  wm_queue_put (&core->commands, &command);
}

void
mb_link_lost (MbCore *core, GmTime now, const CsState *state, const char *host,
              guint64 incarnation)
{
  const CsHost *known = g_hash_table_lookup (state->hosts, host);
  Hearing *hearing = g_hash_table_lookup (core->hosts, host);
  if (known == NULL || known->incarnation != incarnation || hearing == NULL)
    return;
  hearing->heard = MIN (hearing->heard, now - MB_HOST_SILENCE + MB_LINK_GRACE);
}

static gboolean
adoptable (const CsState *state, const struct wm_cmd_database *announced)
{
  const CsGroup *group = cs_group (state, announced->group);
  return group != NULL && group->term == 0 && announced->primary != 0;
}

void
mb_database (MbCore *core, GmTime now, const CsState *state,
             const struct wm_cmd_database *announced)
{
  const CsDatabase *known
      = g_hash_table_lookup (state->databases, announced->id);
  if (known != NULL && known->incarnation > announced->incarnation)
    return;
  const Hearing *last = g_hash_table_lookup (core->databases, announced->id);
  /* An announcement that was delayed on its way says nothing new.  */
  if (last != NULL && announced->sequence != 0
      && last->incarnation == announced->incarnation
      && announced->sequence <= last->sequence)
    return;
  Hearing *hearing = hear (core->databases, announced->id, now);
  hearing->incarnation = announced->incarnation;
  hearing->sequence = announced->sequence;
  gboolean same = known != NULL && known->incarnation == announced->incarnation
                  && known->leaving == (announced->leaving != 0)
                  && known->slots == announced->slots
                  && known->connections == announced->connections
                  && strcmp (known->address, announced->address) == 0
                  && strcmp (known->group, announced->group) == 0;
  gboolean news = !same || adoptable (state, announced);
  gboolean urgent
      = known != NULL && known->leaving != (announced->leaving != 0);
  if (!news || (!may_propose (hearing, now) && !urgent))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_DATABASE };
  command.cmd_database = *announced;
  wm_queue_put (&core->commands, &command);
}

void
mb_database_serves (MbCore *core, GmTime now, const char *id)
{
  Hearing *hearing = g_hash_table_lookup (core->databases, id);
  if (hearing != NULL)
    hearing->heard = now;
}

static void
expire_hosts (MbCore *core, GmTime now, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      Hearing *hearing = g_hash_table_lookup (core->hosts, host->host);
      if (hearing == NULL || now < hearing->heard + MB_HOST_SILENCE
          || !may_propose (hearing, now))
        continue;
      WmMessage command
          = { .type = WM_TYPE_CMD_HOST_DOWN,
              .cmd_host_down
              = { .host = host->host, .incarnation = host->incarnation } };
      wm_queue_put (&core->commands, &command);
    }
}

static void
expire_databases (MbCore *core, GmTime now, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *database = value;
      Hearing *hearing = g_hash_table_lookup (core->databases, database->id);
      if (hearing == NULL || now < hearing->heard + MB_DATABASE_SILENCE
          || !may_propose (hearing, now))
        continue;
      WmMessage command
          = { .type = WM_TYPE_CMD_DATABASE_DOWN,
              .cmd_database_down
              = { .id = database->id, .incarnation = database->incarnation } };
      wm_queue_put (&core->commands, &command);
    }
}

void
mb_tick (MbCore *core, GmTime now, const CsState *state)
{
  expire_hosts (core, now, state);
  expire_databases (core, now, state);
}

gboolean
mb_in_force (const MbCore *core, const char *host, guint64 *config,
             guint64 *version)
{
  const Hearing *hearing = g_hash_table_lookup (core->hosts, host);
  if (hearing == NULL)
    return FALSE;
  *config = hearing->config;
  *version = hearing->version;
  return TRUE;
}
