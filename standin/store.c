#include "store.h"
#include "wire/message.h"
#include <string.h>

typedef struct
{
  guint64 term;
  GBytes *changes;
  GmTime apply_at;
} LogEntry;

struct StStore
{
  gboolean primary;
  guint64 term;
  char following[64];
  GmTime lag;
  GArray *log; /* LogEntry; the entry with index I is at I - 1 */
  guint64 applied;
  GHashTable *values;   /* key -> value */
  GHashTable *ledgers;  /* ledger -> Ledger */
  GHashTable *requests; /* set of recorded request ids */
};

typedef struct
{
  gint64 sum;
  guint count;
} Ledger;

static void
entry_clear (gpointer data)
{
  g_bytes_unref (((LogEntry *)data)->changes);
}

StStore *
st_new (void)
{
  StStore *store = g_new0 (StStore, 1);
  store->log = g_array_new (FALSE, TRUE, sizeof (LogEntry));
  g_array_set_clear_func (store->log, entry_clear);
  store->values
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store->ledgers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  store->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return store;
}

void
st_free (StStore *store)
{
  g_array_unref (store->log);
  g_hash_table_unref (store->values);
  g_hash_table_unref (store->ledgers);
  g_hash_table_unref (store->requests);
  g_free (store);
}

void
st_set_lag (StStore *store, GmTime lag)
{
  store->lag = lag;
}

static void
apply_change (StStore *store, const char *operation, const char *key,
              const char *value)
{
  if (strcmp (operation, "put") == 0)
    g_hash_table_replace (store->values, g_strdup (key), g_strdup (value));
  else if (strcmp (operation, "request") == 0)
    g_hash_table_add (store->requests, g_strdup (key));
  else
    {
      Ledger *ledger = g_hash_table_lookup (store->ledgers, key);
      if (ledger == NULL)
        {
          ledger = g_new0 (Ledger, 1);
          g_hash_table_insert (store->ledgers, g_strdup (key), ledger);
        }
      ledger->sum += g_ascii_strtoll (value, NULL, 10);
      ledger->count++;
    }
}

static void
apply_entry (StStore *store, const LogEntry *entry)
{
  g_autoptr (GPtrArray) strings = wm_strings_decode (entry->changes);
  for (guint i = 0; strings != NULL && i + 2 < strings->len; i += 3)
    apply_change (store, g_ptr_array_index (strings, i),
                  g_ptr_array_index (strings, i + 1),
                  g_ptr_array_index (strings, i + 2));
}

/* Applies the entries whose lag has passed; a primary applies all entries.  */
static void
apply_due (StStore *store, GmTime now)
{
  while (store->applied < store->log->len)
    {
      const LogEntry *entry
          = &g_array_index (store->log, LogEntry, store->applied);
      if (!store->primary && entry->apply_at > now)
        break;
      apply_entry (store, entry);
      store->applied++;
    }
}

void
st_last_entry (const StStore *store, guint64 *index, guint64 *term)
{
  *index = store->log->len;
  *term = store->log->len > 0
              ? g_array_index (store->log, LogEntry, store->log->len - 1).term
              : 0;
}

void
st_status (StStore *store, GmTime now, FoDatabaseStatus *status)
{
  apply_due (store, now);
  status->primary = store->primary;
  status->term = store->term;
  st_last_entry (store, &status->received, &status->last_term);
  status->applied = store->applied;
  g_strlcpy (status->following, store->following, sizeof status->following);
}

static void
append_entry (StStore *store, guint64 term, GBytes *changes, GmTime apply_at)
{
  LogEntry entry = { term, g_bytes_ref (changes), apply_at };
  g_array_append_val (store->log, entry);
}

/* Appends the first entry of a primary's term.  The entry is empty; it lets
   replicas recognize that their log agrees with the new primary's.  */
static void
append_term_start (StStore *store, GmTime now)
{
  g_autoptr (GBytes) nothing = g_bytes_new (NULL, 0);
  append_entry (store, store->term, nothing, now);
}

void
st_start_primary (StStore *store, GmTime now)
{
  store->primary = TRUE;
  store->term = 1;
  append_term_start (store, now);
}

void
st_seal (StStore *store, guint64 term)
{
  if (term <= store->term)
    return;
  store->term = term;
  store->primary = FALSE;
  store->following[0] = '\0';
}

GmKind
st_promote (StStore *store, GmTime now, guint64 term, GmStatus *status)
{
  if (term != store->term)
    return gm_fail (status, GM_CONFLICT, "sealed in term %" G_GUINT64_FORMAT,
                    store->term);
  if (store->primary)
    return gm_ok (status);
  store->primary = TRUE;
  store->following[0] = '\0';
  append_term_start (store, now);
  apply_due (store, now);
  return gm_ok (status);
}

GmKind
st_follow (StStore *store, guint64 term, const char *id, GmStatus *status)
{
  if (term < store->term || (term == store->term && store->primary))
    return gm_fail (status, GM_CONFLICT, "already in term %" G_GUINT64_FORMAT,
                    store->term);
  st_seal (store, term);
  g_strlcpy (store->following, id, sizeof store->following);
  return gm_ok (status);
}

GmKind
st_commit (StStore *store, GmTime now, GBytes *changes, GmStatus *status)
{
  if (!store->primary)
    return gm_fail (status, GM_UNAVAILABLE, "this database is not primary");
  apply_due (store, now);
  g_autoptr (GPtrArray) strings = wm_strings_decode (changes);
  for (guint i = 0; strings != NULL && i + 2 < strings->len; i += 3)
    if (strcmp (g_ptr_array_index (strings, i), "request") == 0
        && g_hash_table_contains (store->requests,
                                  g_ptr_array_index (strings, i + 1)))
      return gm_fail (status, GM_CONFLICT, "the request id is on record");
  append_entry (store, store->term, changes, now);
  apply_due (store, now);
  return gm_ok (status);
}

const char *
st_get (StStore *store, GmTime now, const char *key)
{
  apply_due (store, now);
  return g_hash_table_lookup (store->values, key);
}

gint64
st_sum (StStore *store, GmTime now, const char *name, guint *count)
{
  apply_due (store, now);
  const Ledger *ledger = g_hash_table_lookup (store->ledgers, name);
  *count = ledger != NULL ? ledger->count : 0;
  return ledger != NULL ? ledger->sum : 0;
}

gboolean
st_has_request (StStore *store, GmTime now, const char *id)
{
  apply_due (store, now);
  return g_hash_table_contains (store->requests, id);
}

guint64
st_term (const StStore *store)
{
  return store->term;
}

gboolean
st_is_primary (const StStore *store)
{
  return store->primary;
}

guint64
st_common_index (const StStore *store, guint64 have, guint64 have_term)
{
  guint64 index = MIN (have, store->log->len);
  while (index > 0
         && g_array_index (store->log, LogEntry, index - 1).term > have_term)
    index--;
  if (index == have && index > 0
      && g_array_index (store->log, LogEntry, index - 1).term != have_term)
    index--;
  return index;
}

gboolean
st_entry (const StStore *store, guint64 index, StEntry *entry)
{
  if (index == 0 || index > store->log->len)
    return FALSE;
  const LogEntry *found = &g_array_index (store->log, LogEntry, index - 1);
  *entry = (StEntry){ index, found->term, found->changes };
  return TRUE;
}

void
st_truncate (StStore *store, guint64 index)
{
  if (index >= store->log->len)
    return;
  g_array_set_size (store->log, (guint)index);
  if (store->applied <= index)
    return;
  /* Undoes removed entries that were applied: clears the data and applies the
     remaining entries again.  */
  g_hash_table_remove_all (store->values);
  g_hash_table_remove_all (store->ledgers);
  g_hash_table_remove_all (store->requests);
  store->applied = 0;
  while (store->applied < store->log->len)
    apply_entry (store,
                 &g_array_index (store->log, LogEntry, store->applied++));
}

void
st_receive (StStore *store, GmTime now, const StEntry *entry)
{
  g_assert (entry->index == store->log->len + 1);
  append_entry (store, entry->term, entry->changes, now + store->lag);
}
