/* Assignment of dispatchers to groups and of queue holders to databases.  */
#include "cstate.h"
#include "base/mutant.h"
#include <string.h>

/* Traffic of one slot on the link of the queue's holder, each way: one
   kilobyte of statement or rows, headers included, every 5 ms.  */
#define SLOT_BITS_PER_SECOND (200 * 1024 * 8)
/* Percentage of a host's link that is planned for queues; the rest is for the
   host's own callers, retries and load peaks.  */
#define LINK_SHARE_PERCENT 50

/* Returns the one of HOST and BEST with the higher rendezvous hash under SEED;
   BEST may be NULL.  */
static const CsHost *
higher_weight (const CsHost *host, const CsHost *best, guint64 seed)
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
      best = higher_weight (value, best, seed);
  return best;
}

const CsHost *
cs_dispatcher (const CsState *state, const char *group)
{
  gpointer known;
  if (g_hash_table_lookup_extended (state->dispatchers, group, NULL, &known))
    return known;
  const CsHost *owner = find_owner (state, group);
  g_hash_table_insert (state->dispatchers, g_strdup (group), (gpointer)owner);
  return owner;
}

/* A host that can hold shares.  */
typedef struct
{
  const CsHost *host;
  guint64 hash;     /* of the host's name */
  guint shares;     /* assigned to it so far */
  guint last_queue; /* number of the last queue that it holds a share of */
} Candidate;

/* The hosts with the pool role in a data centre, and the number of queue
   shares to divide among them.  */
typedef struct
{
  GPtrArray *hosts;  /* Candidate *, not owned */
  guint64 link_rate; /* the lowest known; 0: none is known */
  guint shares;      /* of the queues of all databases there */
} DataCentre;

static void
data_centre_free (gpointer data)
{
  DataCentre *centre = data;
  g_ptr_array_unref (centre->hosts);
  g_free (centre);
}

static DataCentre *
data_centre_get (GHashTable *centres, const char *name)
{
  DataCentre *centre = g_hash_table_lookup (centres, name);
  if (centre == NULL)
    {
      centre = g_new0 (DataCentre, 1);
      centre->hosts = g_ptr_array_new ();
      g_hash_table_insert (centres, g_strdup (name), centre);
    }
  return centre;
}

static void
add_host (DataCentre *centre, Candidate *candidate)
{
  guint64 link_rate = candidate->host->link_rate;
  g_ptr_array_add (centre->hosts, candidate);
  if (link_rate != 0
      && (centre->link_rate == 0 || link_rate < centre->link_rate))
    centre->link_rate = link_rate;
}

/* Returns the data centres by name; "" stands for all of them together.  Adds
   their hosts to CANDIDATES, which owns them.  */
static GHashTable *
group_hosts (const CsState *state, GPtrArray *candidates)
{
  GHashTable *centres = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               data_centre_free);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      if ((host->roles & CS_POOL) == 0)
        continue;
      Candidate *candidate = g_new0 (Candidate, 1);
      candidate->host = host;
      candidate->hash = gm_hash (host->host, strlen (host->host), 0);
      g_ptr_array_add (candidates, candidate);
      add_host (data_centre_get (centres, host->data_centre), candidate);
      add_host (data_centre_get (centres, ""), candidate);
    }
  return centres;
}

/* Returns the data centre whose hosts hold the queue of DATABASE: its own if
   that has hosts, otherwise all together.  */
static DataCentre *
data_centre_for (GHashTable *centres, const CsDatabase *database)
{
  DataCentre *own = g_hash_table_lookup (centres, database->data_centre);
  return own != NULL ? own : data_centre_get (centres, "");
}

/* Returns the number of shares into which the queue of DATABASE is divided. */
static guint
share_count (const DataCentre *centre, const CsDatabase *database)
{
  guint64 wanted = 1;
  guint64 shares_max = MIN (database->slots, centre->hosts->len);
  if (centre->link_rate != 0 && !GM_MUTANT (QUEUE_ON_ONE_HOST))
    {
      guint64 queue_bandwidth
          = MAX (centre->link_rate * LINK_SHARE_PERCENT / 100, 1);
      wanted = (database->slots * SLOT_BITS_PER_SECOND + queue_bandwidth - 1)
               / queue_bandwidth;
    }
  return (guint)CLAMP (wanted, 1, MAX (shares_max, 1));
}

/* The rendezvous weight of CANDIDATE under SEED: the finalizer of splitmix64
   over both, so that a name is hashed once and not for each share.  */
static guint64
weight_of (const Candidate *candidate, guint64 seed)
{
  guint64 x = candidate->hash ^ seed;
  x = (x ^ (x >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

/* Returns the host of CENTRE with the highest weight under SEED that holds
   fewer than SHARES_MAX shares and none of QUEUE; or NULL.  */
static Candidate *
choose_holder (const DataCentre *centre, guint64 seed, guint shares_max,
               guint queue)
{
  Candidate *best = NULL;
  guint64 best_weight = 0;
  for (guint i = 0; i < centre->hosts->len; i++)
    {
      Candidate *c = g_ptr_array_index (centre->hosts, i);
      if (c->shares >= shares_max || c->last_queue == queue)
        continue;
      guint64 weight = weight_of (c, seed);
      if (best == NULL || weight > best_weight
          || (weight == best_weight
              && strcmp (c->host->host, best->host->host) < 0))
        {
          best = c;
          best_weight = weight;
        }
    }
  return best;
}

/* Chooses the holders of the shares of DATABASE's queue, the QUEUE-th from
   1.  */
static GPtrArray *
choose_holders (const DataCentre *centre, const CsDatabase *database,
                guint queue)
{
  GPtrArray *holders = g_ptr_array_new ();
  guint hosts = centre->hosts->len;
  guint shares = hosts > 0 ? share_count (centre, database) : 0;
  guint shares_per_host = hosts > 0 ? (centre->shares + hosts - 1) / hosts : 0;
  for (guint i = 0; i < shares; i++)
    {
      guint64 seed = gm_hash (database->id, strlen (database->id), i);
      Candidate *best = choose_holder (centre, seed, shares_per_host, queue);
      /* Databases of a data centre without hosts may have used up the even
         part.  */
      if (best == NULL)
        best = choose_holder (centre, seed, G_MAXUINT, queue);
      best->shares++;
      best->last_queue = queue;
      g_ptr_array_add (holders, (gpointer)best->host);
    }
  return holders;
}

static GHashTable *
assign_queues (const CsState *state)
{
  GHashTable *pools = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  g_autoptr (GPtrArray) candidates = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GHashTable) centres = group_hosts (state, candidates);
  /* In the order of the ids, so that every host computes the same result.  */
  g_autoptr (GList) ids = g_list_sort (
      g_hash_table_get_keys (state->databases), (GCompareFunc)strcmp);
  guint queue = 0;
  for (GList *l = ids; l != NULL; l = l->next)
    {
      const CsDatabase *database
          = g_hash_table_lookup (state->databases, l->data);
      DataCentre *centre = data_centre_for (centres, database);
      centre->shares += share_count (centre, database);
    }
  for (GList *l = ids; l != NULL; l = l->next)
    {
      const CsDatabase *database
          = g_hash_table_lookup (state->databases, l->data);
      g_hash_table_insert (pools, g_strdup (database->id),
                           choose_holders (data_centre_for (centres, database),
                                           database, ++queue));
    }
  return pools;
}

const GPtrArray *
cs_queue_holders (const CsState *state, const char *id)
{
  if (state->queue_holders == NULL)
    ((CsState *)state)->queue_holders = assign_queues (state);
  const GPtrArray *holders = g_hash_table_lookup (state->queue_holders, id);
  return holders != NULL && holders->len > 0 ? holders : NULL;
}

gint
cs_queue_share (const CsState *state, const char *id, const char *host,
                guint *shares)
{
  const GPtrArray *holders = cs_queue_holders (state, id);
  *shares = holders != NULL ? holders->len : 0;
  for (guint i = 0; i < *shares; i++)
    if (strcmp (((const CsHost *)g_ptr_array_index (holders, i))->host, host)
        == 0)
      return (gint)i;
  return -1;
}

const CsHost *
cs_first_holder (const CsState *state, const char *id)
{
  const GPtrArray *holders = cs_queue_holders (state, id);
  return holders != NULL ? g_ptr_array_index (holders, 0) : NULL;
}
