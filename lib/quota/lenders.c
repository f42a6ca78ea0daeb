#include "lenders.h"
#include <string.h>

typedef struct
{
  char *name;
  GArray *hosts; /* QtHost */
} Centre;

struct QtLenders
{
  char *host;
  guint64 hash;
  char *data_centre;
  GPtrArray *centres; /* Centre *, by name */
  guint64 digest;     /* of all hosts */
};

static guint64
hash_text (const char *text, guint64 seed)
{
  return gm_hash (text, strlen (text), seed);
}

/* The rendezvous weight of a host: the finalizer of splitmix64 over both
   hashes, so that the name of a host is hashed once and not for each
   customer.  */
static guint64
weight_of (guint64 host, guint64 customer)
{
  guint64 x = host ^ customer;
  x = (x ^ (x >> 30)) * G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9);
  x = (x ^ (x >> 27)) * G_GUINT64_CONSTANT (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

static void
host_clear (gpointer data)
{
  QtHost *host = data;
  g_free (host->host);
  g_free (host->link);
}

static void
centre_free (gpointer data)
{
  Centre *centre = data;
  g_free (centre->name);
  g_array_unref (centre->hosts);
  g_free (centre);
}

QtLenders *
qt_lenders_new (const char *host, const char *data_centre)
{
  QtLenders *l = g_new0 (QtLenders, 1);
  l->host = g_strdup (host);
  l->hash = hash_text (host, 0);
  l->data_centre = g_strdup (data_centre);
  l->centres = g_ptr_array_new_with_free_func (centre_free);
  return l;
}

void
qt_lenders_free (QtLenders *l)
{
  if (l == NULL)
    return;
  g_ptr_array_unref (l->centres);
  g_free (l->host);
  g_free (l->data_centre);
  g_free (l);
}

static gboolean
may_lend (const CsHost *host)
{
  return (host->roles & CS_POOL) != 0;
}

/* Returns a hash of the lending hosts of STATE that does not depend on their
   order.  */
static guint64
digest_hosts (const CsState *state)
{
  guint64 digest = 1;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      if (!may_lend (host))
        continue;
      guint64 place = hash_text (host->data_centre, hash_text (host->link, 0));
      digest += weight_of (hash_text (host->host, 0), place);
    }
  return digest;
}

static Centre *
centre_get (QtLenders *l, const char *name)
{
  for (guint i = 0; i < l->centres->len; i++)
    {
      Centre *centre = g_ptr_array_index (l->centres, i);
      if (strcmp (centre->name, name) == 0)
        return centre;
    }
  Centre *centre = g_new0 (Centre, 1);
  centre->name = g_strdup (name);
  centre->hosts = g_array_new (FALSE, FALSE, sizeof (QtHost));
  g_array_set_clear_func (centre->hosts, host_clear);
  g_ptr_array_add (l->centres, centre);
  return centre;
}

static gint
compare_centres (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(const Centre *const *)a)->name,
                 (*(const Centre *const *)b)->name);
}

gboolean
qt_lenders_update (QtLenders *l, const CsState *state)
{
  guint64 digest = digest_hosts (state);
  if (digest == l->digest)
    return FALSE;
  l->digest = digest;
  g_ptr_array_set_size (l->centres, 0);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *host = value;
      if (!may_lend (host))
        continue;
      QtHost entry = { .host = g_strdup (host->host),
                       .link = g_strdup (host->link),
                       .hash = hash_text (host->host, 0) };
      g_array_append_val (centre_get (l, host->data_centre)->hosts, entry);
    }
  g_ptr_array_sort (l->centres, compare_centres);
  if (l->centres->len > QT_CENTRES_MAX)
    g_ptr_array_set_size (l->centres, QT_CENTRES_MAX);
  return TRUE;
}

guint
qt_lenders_count (const QtLenders *l)
{
  return l->centres->len;
}

guint
qt_lenders_own (const QtLenders *l)
{
  guint i = 0;
  while (i < l->centres->len
         && strcmp (((Centre *)g_ptr_array_index (l->centres, i))->name,
                    l->data_centre)
                != 0)
    i++;
  return i;
}

const QtHost *
qt_lenders_choose (const QtLenders *l, const char *customer, guint number)
{
  const Centre *centre = g_ptr_array_index (l->centres, number);
  guint64 seed = hash_text (customer, 0);
  const QtHost *best = NULL;
  guint64 best_weight = 0;
  for (guint i = 0; i < centre->hosts->len; i++)
    {
      const QtHost *host = &g_array_index (centre->hosts, QtHost, i);
      guint64 weight = weight_of (host->hash, seed);
      if (best != NULL
          && (weight < best_weight
              || (weight == best_weight
                  && strcmp (host->host, best->host) > 0)))
        continue;
      best = host;
      best_weight = weight;
    }
  return best;
}

gboolean
qt_lenders_is_own (const QtLenders *l, const char *customer)
{
  guint own = qt_lenders_own (l);
  return own < l->centres->len
         && strcmp (qt_lenders_choose (l, customer, own)->host, l->host) == 0;
}

static gint
compare_hashes (gconstpointer a, gconstpointer b)
{
  const guint64 *x = a, *y = b;
  return *x < *y ? -1 : *x > *y;
}

void
qt_lenders_hashes (const QtLenders *l, GArray *out)
{
  guint own = qt_lenders_own (l);
  if (own == l->centres->len)
    return;
  const Centre *centre = g_ptr_array_index (l->centres, own);
  for (guint i = 0; i < centre->hosts->len; i++)
    g_array_append_val (out, g_array_index (centre->hosts, QtHost, i).hash);
  g_array_sort (out, compare_hashes);
}

gboolean
qt_lenders_would_be (const QtLenders *l, const char *customer,
                     const GArray *hashes)
{
  guint64 seed = hash_text (customer, 0);
  guint64 own_weight = weight_of (l->hash, seed);
  gboolean present = FALSE;
  for (guint i = 0; i < hashes->len; i++)
    {
      guint64 hash = g_array_index (hashes, guint64, i);
      if (hash == l->hash)
        present = TRUE;
      else if (weight_of (hash, seed) >= own_weight)
        return FALSE;
    }
  return present;
}
