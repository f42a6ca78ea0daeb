#include "members.h"
#include <string.h>

/* The last heartbeat of a host or database.  */
typedef struct
{
  GmTime at;
  GmTime last_proposal; /* when a command for this member was last proposed */
  guint64 config;
  guint64 version;
  guint64 incarnation; /* of the database */
  guint64 sequence;    /* of the database's last announcement */
} Heartbeat;

struct MbCore
{
  GHashTable *hosts;     /* host -> Heartbeat */
  GHashTable *databases; /* id -> Heartbeat */
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

static Heartbeat *
record_heartbeat (GHashTable *table, const char *name, GmTime now)
{
  Heartbeat *heartbeat = g_hash_table_lookup (table, name);
  if (heartbeat == NULL)
    {
      heartbeat = g_new0 (Heartbeat, 1);
      heartbeat->last_proposal = G_MININT64 / 2;
      g_hash_table_insert (table, g_strdup (name), heartbeat);
    }
  heartbeat->at = now;
  return heartbeat;
}

/* Returns the last heartbeat of NAME.  One that is known from the log alone,
   as after a restart of all control hosts, counts from NOW on.  */
static Heartbeat *
known_heartbeat (GHashTable *table, const char *name, GmTime now)
{
  Heartbeat *heartbeat = g_hash_table_lookup (table, name);
  return heartbeat != NULL ? heartbeat : record_heartbeat (table, name, now);
}

/* Whether a command for this member may be proposed now; if so, records the
   time.  */
static gboolean
may_propose (Heartbeat *heartbeat, GmTime now)
{
  if (now < heartbeat->last_proposal + MB_PROPOSE_RETRY)
    return FALSE;
  heartbeat->last_proposal = now;
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
    record_heartbeat (core->hosts, key, now);
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    record_heartbeat (core->databases, key, now);
}

void
mb_host_heartbeat (MbCore *core, GmTime now, const CsState *state,
                   const struct wm_subscribe *beat)
{
  const CsHost *known = g_hash_table_lookup (state->hosts, beat->host);
  /* Drop a late heartbeat of an earlier process of that host.  */
  if (known != NULL && known->incarnation > beat->incarnation)
    return;
  Heartbeat *heartbeat = record_heartbeat (core->hosts, beat->host, now);
  heartbeat->config = beat->config;
  heartbeat->version = beat->version;
  guint64 roles = beat->draining != 0 ? 0 : beat->roles;
  gboolean same = known != NULL && known->incarnation == beat->incarnation
                  && known->roles == roles
                  && known->link_rate == beat->link_rate
                  && strcmp (known->link, beat->link) == 0
                  && strcmp (known->caller, beat->caller) == 0;
  if (same || !may_propose (heartbeat, now))
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
  Heartbeat *heartbeat = g_hash_table_lookup (core->hosts, host);
  if (known == NULL || known->incarnation != incarnation || heartbeat == NULL)
    return;
  heartbeat->at = MIN (heartbeat->at, now - MB_HOST_TIMEOUT + MB_LINK_GRACE);
}

static gboolean
can_adopt_primary (const CsState *state,
                   const struct wm_cmd_database *announced)
{
  const CsGroup *group = cs_group (state, announced->group);
  return group != NULL && group->term == 0 && announced->primary != 0;
}

void
mb_database_heartbeat (MbCore *core, GmTime now, const CsState *state,
                       const struct wm_cmd_database *announced)
{
  const CsDatabase *known
      = g_hash_table_lookup (state->databases, announced->id);
  if (known != NULL && known->incarnation > announced->incarnation)
    return;
  /* Drop an announcement that is older than the committed one: a new leader
     has received none itself.  */
  if (known != NULL && known->incarnation == announced->incarnation
      && announced->sequence != 0 && announced->sequence < known->sequence)
    return;
  if (cs_has_left (state, announced->id, announced->incarnation))
    return;
  const Heartbeat *last = g_hash_table_lookup (core->databases, announced->id);
  /* Drop an announcement that arrives after a newer one.  */
  if (last != NULL && announced->sequence != 0
      && last->incarnation == announced->incarnation
      && announced->sequence <= last->sequence)
    return;
  Heartbeat *heartbeat
      = record_heartbeat (core->databases, announced->id, now);
  heartbeat->incarnation = announced->incarnation;
  heartbeat->sequence = announced->sequence;
  gboolean same = known != NULL && known->incarnation == announced->incarnation
                  && known->leaving == (announced->leaving != 0)
                  && known->slots == announced->slots
                  && known->connections == announced->connections
                  && strcmp (known->address, announced->address) == 0
                  && strcmp (known->group, announced->group) == 0;
  gboolean changed = !same || can_adopt_primary (state, announced);
  gboolean urgent
      = known != NULL && known->leaving != (announced->leaving != 0);
  if (!changed || (!may_propose (heartbeat, now) && !urgent))
    return;
  WmMessage command = { .type = WM_TYPE_CMD_DATABASE };
  command.cmd_database = *announced;
  wm_queue_put (&core->commands, &command);
}

void
mb_database_serves (MbCore *core, GmTime now, const char *id)
{
  Heartbeat *heartbeat = g_hash_table_lookup (core->databases, id);
  if (heartbeat != NULL)
    heartbeat->at = now;
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
      Heartbeat *heartbeat = known_heartbeat (core->hosts, host->host, now);
      if (now < heartbeat->at + MB_HOST_TIMEOUT
          || !may_propose (heartbeat, now))
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
      Heartbeat *heartbeat
          = known_heartbeat (core->databases, database->id, now);
      if (now < heartbeat->at + MB_DATABASE_TIMEOUT
          || !may_propose (heartbeat, now))
        continue;
      WmMessage command
          = { .type = WM_TYPE_CMD_DATABASE_DOWN,
              .cmd_database_down
              = { .id = database->id, .incarnation = database->incarnation } };
      wm_queue_put (&core->commands, &command);
    }
}

static guint
count_databases (const CsState *state, const char *group)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((CsDatabase *)value)->group, group) == 0 ? 1 : 0;
  return count;
}

static void
expire_missing (MbCore *core, GmTime now, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->missing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsMissing *missing = value;
      Heartbeat *heartbeat
          = known_heartbeat (core->databases, missing->key, now);
      gboolean replaced = count_databases (state, missing->group)
                          >= cs_database_count (state, missing->group);
      if (now < heartbeat->at + MB_MISSING_TIMEOUT
          || !(missing->left || replaced) || !may_propose (heartbeat, now))
        continue;
      WmMessage command
          = { .type = WM_TYPE_CMD_DATABASE_LOST,
              .cmd_database_lost
              = { .id = missing->id, .incarnation = missing->incarnation } };
      wm_queue_put (&core->commands, &command);
    }
}

void
mb_tick (MbCore *core, GmTime now, const CsState *state)
{
  expire_hosts (core, now, state);
  expire_databases (core, now, state);
  expire_missing (core, now, state);
}

gboolean
mb_in_force (const MbCore *core, const char *host, guint64 *config,
             guint64 *version)
{
  const Heartbeat *heartbeat = g_hash_table_lookup (core->hosts, host);
  if (heartbeat == NULL)
    return FALSE;
  *config = heartbeat->config;
  *version = heartbeat->version;
  return TRUE;
}
