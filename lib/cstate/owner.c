/* Which host dispatches for a group and which holds a database's queue.  */
#include "cstate.h"
#include "base/mutant.h"
#include <string.h>

/* What one slot's statements and their rows put on the link of the queue's
   host, each way, in bits a second: a kilobyte, headers included, every 5 ms.
   */
#define SLOT_TRAFFIC (200 * 1024 * 8)
/* Share of a host's link that queues may count on, in percent: the rest bears
   the host's own callers, retries and the spread of load.  */
#define LINK_PERCENT 50

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

/* The hosts with the pool role of a data centre, and what is divided among
   them.  */
typedef struct
{
  GPtrArray *hosts;  /* const CsHost * */
  guint64 link_rate; /* the least known of them; 0: none */
  guint shares;      /* of all databases there */
} Centre;

static void
centre_free (gpointer data)
{
  Centre *centre = data;
  g_ptr_array_unref (centre->hosts);
  g_free (centre);
}

static Centre *
centre_of (GHashTable *centres, const char *name)
{
  Centre *centre = g_hash_table_lookup (centres, name);
  if (centre == NULL)
    {
      centre = g_new0 (Centre, 1);
      centre->hosts = g_ptr_array_new ();
      g_hash_table_insert (centres, g_strdup (name), centre);
    }
  return centre;
}

static void
add_host (Centre *centre, const CsHost *host)
{
  g_ptr_array_add (centre->hosts, (gpointer)host);
  if (host->link_rate != 0
      && (centre->link_rate == 0 || host->link_rate < centre->link_rate))
    centre->link_rate = host->link_rate;
}

/* The data centres by name, and all of them together as "".  */
static GHashTable *
find_centres (const CsState *state)
{
  GHashTable *centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, centre_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      if ((host->roles & CS_POOL) == 0)
        continue;
      add_host (centre_of (centres, host->data_centre), host);
      add_host (centre_of (centres, ""), host);
    }
  return centres;
}

/* The data centre whose hosts hold the queue of DATABASE.  */
static Centre *
centre_for (GHashTable *centres, const CsDatabase *database)
{
  Centre *own = g_hash_table_lookup (centres, database->data_centre);
  return own != NULL ? own : centre_of (centres, "");
}

static guint
shares_for (const Centre *centre, const CsDatabase *database)
{
  guint64 wanted = 1;
  guint64 most = MIN (database->slots, centre->hosts->len);
  if (centre->link_rate != 0 && !GM_MUTANT (QUEUE_ON_ONE_HOST))
    {
      guint64 carried = MAX (centre->link_rate * LINK_PERCENT / 100, 1);
      wanted = (database->slots * SLOT_TRAFFIC + carried - 1) / carried;
    }
  return (guint)CLAMP (wanted, 1, MAX (most, 1));
}

/* The heaviest host of CENTRE under SEED that holds fewer than MOST shares and
   none of HOLDERS; or NULL.  HELD counts the shares that each host was given
   so far.  */
static const CsHost *
heaviest_pool (const Centre *centre, guint64 seed, guint most,
               const GPtrArray *holders, GHashTable *held)
{
  const CsHost *best = NULL;
  for (guint i = 0; i < centre->hosts->len; i++)
    {
      const CsHost *host = g_ptr_array_index (centre->hosts, i);
      guint has = GPOINTER_TO_UINT (g_hash_table_lookup (held, host));
      if (has < most && !g_ptr_array_find ((GPtrArray *)holders, host, NULL))
        best = heavier (host, best, seed);
    }
  return best;
}

static GPtrArray *
find_holders (const Centre *centre, const CsDatabase *database,
              GHashTable *held)
{
  GPtrArray *holders = g_ptr_array_new ();
  guint hosts = centre->hosts->len;
  guint shares = hosts > 0 ? shares_for (centre, database) : 0;
  guint even = hosts > 0 ? (centre->shares + hosts - 1) / hosts : 0;
  for (guint i = 0; i < shares; i++)
    {
      guint64 seed = gm_hash (database->id, strlen (database->id), i);
      const CsHost *best = heaviest_pool (centre, seed, even, holders, held);
      /* Databases of a data centre without hosts may have used up the even
         part.  */
      if (best == NULL)
        best = heaviest_pool (centre, seed, G_MAXUINT, holders, held);
      guint has = GPOINTER_TO_UINT (g_hash_table_lookup (held, best));
      g_hash_table_insert (held, (gpointer)best, GUINT_TO_POINTER (has + 1));
      g_ptr_array_add (holders, (gpointer)best);
    }
  return holders;
}

static GHashTable *
assign_pools (const CsState *state)
{
  GHashTable *pools = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  g_autoptr (GHashTable) held = g_hash_table_new (NULL, NULL);
  g_autoptr (GHashTable) centres = find_centres (state);
  /* In the order of their ids, so that every host finds the same.  */
  g_autoptr (GList) ids = g_list_sort (
      g_hash_table_get_keys (state->databases), (GCompareFunc)strcmp);
  for (GList *l = ids; l != NULL; l = l->next)
    {
      const CsDatabase *database
          = g_hash_table_lookup (state->databases, l->data);
      Centre *centre = centre_for (centres, database);
      centre->shares += shares_for (centre, database);
    }
  for (GList *l = ids; l != NULL; l = l->next)
    {
      const CsDatabase *database
          = g_hash_table_lookup (state->databases, l->data);
      g_hash_table_insert (
          pools, g_strdup (database->id),
          find_holders (centre_for (centres, database), database, held));
    }
  return pools;
}

const GPtrArray *
cs_holders (const CsState *state, const char *id)
{
  if (state->pools == NULL)
    ((CsState *)state)->pools = assign_pools (state);
  const GPtrArray *holders = g_hash_table_lookup (state->pools, id);
  return holders != NULL && holders->len > 0 ? holders : NULL;
}

gint
cs_share (const CsState *state, const char *id, const char *host,
          guint *shares)
{
  const GPtrArray *holders = cs_holders (state, id);
  *shares = holders != NULL ? holders->len : 0;
  for (guint i = 0; i < *shares; i++)
    if (strcmp (((const CsHost *)g_ptr_array_index (holders, i))->host, host)
        == 0)
      return (gint)i;
  return -1;
}

const CsHost *
cs_pool (const CsState *state, const char *id)
{
  const GPtrArray *holders = cs_holders (state, id);
  return holders != NULL ? g_ptr_array_index (holders, 0) : NULL;
}
