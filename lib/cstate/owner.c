/* Which host dispatches for a group and which holds a database's queue.  */
#include "cstate.h"
#include <string.h>

/* Which of HOST and BEST, or NULL, has the higher weight under SEED.  */
static const CsHost *
heavier (const CsHost *host, const CsHost *best, guint64 seed)
{
  if (best == NULL)
    return host;
  guint64 a = gm_hash (host->host, strlen (host->host), seed);
  guint64 b = gm_hash (best->host, strlen (best->host), seed);
  if (a != b)
    return a > b ? host : best;
  return strcmp (host->host, best->host) < 0 ? host : best;
}

static const CsHost *
find_owner (const CsState *state, const char *group)
{
  guint64 seed = gm_hash (group, strlen (group), 0);
  const CsHost *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if ((((CsHost *)value)->roles & CS_DISPATCHER) != 0)
      best = heavier (value, best, seed);
  return best;
}

const CsHost *
cs_owner (const CsState *state, const char *group)
{
  gpointer known;
  if (g_hash_table_lookup_extended (state->owners, group, NULL, &known))
    return known;
  const CsHost *owner = find_owner (state, group);
  g_hash_table_insert (state->owners, g_strdup (group), (gpointer)owner);
  return owner;
}

static guint
pool_hosts_in (const CsState *state, const char *data_centre)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      if ((host->roles & CS_POOL) != 0
          && (data_centre == NULL
              || strcmp (host->data_centre, data_centre) == 0))
        count++;
    }
  return count;
}

static guint
databases_in (const CsState *state, const char *data_centre)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (data_centre == NULL
        || strcmp (((CsDatabase *)value)->data_centre, data_centre) == 0)
      count++;
  return count;
}

/* The heaviest pool host under SEED in the data centre WITHIN, or anywhere
   when that is NULL, that holds fewer databases than SHARE; or NULL.  HELD
   counts the databases that each host was given so far.  */
static const CsHost *
heaviest_pool (const CsState *state, const char *within, guint64 seed,
               guint share, GHashTable *held)
{
  const CsHost *best = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      guint has = GPOINTER_TO_UINT (g_hash_table_lookup (held, host));
      if ((host->roles & CS_POOL) != 0 && has < share
          && (within == NULL || strcmp (host->data_centre, within) == 0))
        best = heavier (host, best, seed);
    }
  return best;
}

static const CsHost *
find_pool (const CsState *state, const CsDatabase *database, GHashTable *held)
{
  const char *within = database->data_centre;
  guint hosts = pool_hosts_in (state, within);
  if (hosts == 0)
    {
      within = NULL;
      hosts = pool_hosts_in (state, NULL);
    }
  if (hosts == 0)
    return NULL;
  guint share = (databases_in (state, within) + hosts - 1) / hosts;
  guint64 seed = gm_hash (database->id, strlen (database->id), 0);
  const CsHost *best = heaviest_pool (state, within, seed, share, held);
  /* Databases of a data centre without hosts may have used up the share.  */
  if (best == NULL)
    best = heaviest_pool (state, within, seed, G_MAXUINT, held);
  guint has = GPOINTER_TO_UINT (g_hash_table_lookup (held, best));
  g_hash_table_insert (held, (gpointer)best, GUINT_TO_POINTER (has + 1));
  return best;
}

static GHashTable *
assign_pools (const CsState *state)
{
  GHashTable *pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GHashTable) held = g_hash_table_new (NULL, NULL);
  /* In the order of their ids, so that every host finds the same.  */
  g_autoptr (GList) ids = g_list_sort (
      g_hash_table_get_keys (state->databases), (GCompareFunc)strcmp);
  for (GList *l = ids; l != NULL; l = l->next)
    {
      const CsDatabase *database
          = g_hash_table_lookup (state->databases, l->data);
      g_hash_table_insert (pools, g_strdup (database->id),
                           (gpointer)find_pool (state, database, held));
    }
  return pools;
}

const CsHost *
cs_pool (const CsState *state, const char *id)
{
  if (state->pools == NULL)
    ((CsState *)state)->pools = assign_pools (state);
  return g_hash_table_lookup (state->pools, id);
}
