#include "memstore.h"
#include <string.h>

typedef struct
{
  ClStore store;
  ClStoreContents held;
  gboolean failing;
  guint64 syncs; /* a replaced file needs two, one of its folder */
} MemStore;

static gboolean
is_failing (ClStore *store, GmStatus *status)
{
  if (!((MemStore *)store)->failing)
    return FALSE;
  gm_fail (status, GM_IO, "the disk takes no more bytes");
  return TRUE;
}

static GPtrArray *
entries_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)cl_entry_free);
}

static void
add_copy (GPtrArray *entries, const ClEntry *e)
{
  g_ptr_array_add (entries,
                   cl_entry_new (e->index, e->term, e->type, e->data));
}

static GmKind
mem_load (ClStore *store, ClStoreContents *loaded, GmStatus *status)
{
  const ClStoreContents *held = &((MemStore *)store)->held;
  *loaded = *held;
  loaded->vote = g_strdup (held->vote);
  loaded->members = held->members != NULL ? g_bytes_ref (held->members) : NULL;
  loaded->data = held->data != NULL ? g_bytes_ref (held->data) : NULL;
  loaded->entries = entries_new ();
  for (guint i = 0; i < held->entries->len; i++)
    add_copy (loaded->entries, g_ptr_array_index (held->entries, i));
  return gm_ok (status);
}

static GmKind
mem_vote (ClStore *store, guint64 term, const char *vote, GmStatus *status)
{
  MemStore *m = (MemStore *)store;
  if (is_failing (store, status))
    return GM_IO;
  m->syncs += 2;
  char *copy = g_strdup (vote);
  g_free (m->held.vote);
  m->held.vote = copy;
  m->held.term = term;
  return gm_ok (status);
}

static GmKind
mem_append (ClStore *store, ClEntry *const *entries, guint count,
            GmStatus *status)
{
  MemStore *m = (MemStore *)store;
  /* A full disk may take a part.  */
  m->syncs++;
  guint taken = is_failing (store, status) ? count / 2 : count;
  for (guint i = 0; i < taken; i++)
    add_copy (m->held.entries, entries[i]);
  return m->failing ? GM_IO : gm_ok (status);
}

static GmKind
mem_truncate (ClStore *store, guint64 from, GmStatus *status)
{
  GPtrArray *entries = ((MemStore *)store)->held.entries;
  if (is_failing (store, status))
    return GM_IO;
  while (entries->len > 0)
    {
      const ClEntry *last = g_ptr_array_index (entries, entries->len - 1);
      if (last->index < from)
        break;
      g_ptr_array_set_size (entries, (gint)entries->len - 1);
    }
  return gm_ok (status);
}

static GmKind
mem_snapshot (ClStore *store, const ClStoreContents *snapshot, guint64 first,
              GmStatus *status)
{
  ClStoreContents *held = &((MemStore *)store)->held;
  if (is_failing (store, status))
    return GM_IO;
  GBytes *members = g_bytes_ref (snapshot->members);
  GBytes *data = g_bytes_ref (snapshot->data);
  g_clear_pointer (&held->members, g_bytes_unref);
  g_clear_pointer (&held->data, g_bytes_unref);
  held->members = members;
  held->data = data;
  held->snapshot_index = snapshot->snapshot_index;
  held->snapshot_term = snapshot->snapshot_term;
  while (held->entries->len > 0
         && ((ClEntry *)g_ptr_array_index (held->entries, 0))->index < first)
    g_ptr_array_remove_index (held->entries, 0);
  return gm_ok (status);
}

static GmKind
mem_restore (ClStore *store, const ClStoreContents *contents, GmStatus *status)
{
  ClStoreContents *held = &((MemStore *)store)->held;
  if (is_failing (store, status))
    return status->kind;
  mem_vote (store, contents->term, contents->vote, status);
  g_ptr_array_set_size (held->entries, 0);
  for (guint i = 0; i < contents->entries->len; i++)
    add_copy (held->entries, g_ptr_array_index (contents->entries, i));
  if (contents->data != NULL)
    mem_snapshot (store, contents, 0, status);
  return gm_ok (status);
}

guint64
memstore_syncs (const ClStore *store)
{
  return ((const MemStore *)store)->syncs;
}

void
memstore_fail (ClStore *store, gboolean failing)
{
  ((MemStore *)store)->failing = failing;
}

static void
mem_free (ClStore *store)
{
  cl_store_contents_clear (&((MemStore *)store)->held);
  g_free (store);
}

static const ClStoreClass mem_class = { .load = mem_load,
                                        .vote = mem_vote,
                                        .append = mem_append,
                                        .truncate = mem_truncate,
                                        .snapshot = mem_snapshot,
                                        .restore = mem_restore,
                                        .free = mem_free };

ClStore *
memstore_new (void)
{
  MemStore *m = g_new0 (MemStore, 1);
  m->store.class = &mem_class;
  m->held.entries = entries_new ();
  return &m->store;
}
