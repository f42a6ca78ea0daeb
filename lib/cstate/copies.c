#include "core.h"
#include "base/mutant.h"
#include <string.h>

void
cs_missing_free (CsMissing *missing)
{
  g_free (missing->key);
  g_free (missing->id);
  g_free (missing->group);
  g_free (missing->address);
  g_free (missing);
}

/* Returns the database that was announced at ADDRESS and was started after
   INCARNATION, or NULL.  The one that was there before has ended.  */
static const CsDatabase *
find_successor (const CsState *state, const char *address, guint64 incarnation)
{
  const CsDatabase *last = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      if (d->incarnation > incarnation && strcmp (d->address, address) == 0)
        {
          incarnation = d->incarnation;
          last = d;
        }
    }
  return last;
}

static char *
missing_key (const char *id, guint64 incarnation, gboolean left)
{
  return left ? g_strdup_printf ("%s %" G_GUINT64_FORMAT, id, incarnation)
              : g_strdup (id);
}

void
cs_add_missing (CsState *state, const struct wm_rec_missing *r)
{
  CsMissing *missing = g_new0 (CsMissing, 1);
  missing->key = missing_key (r->id, r->incarnation, r->left != 0);
  missing->id = g_strdup (r->id);
  missing->group = g_strdup (r->group);
  missing->address = g_strdup (r->address);
  missing->incarnation = r->incarnation;
  missing->left = r->left != 0;
  g_hash_table_replace (state->missing, missing->key, missing);
}

void
cs_lose_sight (CsState *state, const CsDatabase *database, gboolean left)
{
  struct wm_rec_missing missing = { .id = database->id,
                                    .group = database->group,
                                    .address = database->address,
                                    .incarnation = database->incarnation,
                                    .left = left ? 1 : 0 };
  if (!GM_MUTANT (MISSING_FORGOTTEN))
    cs_add_missing (state, &missing);
}

/* Whether MISSING has ended and its record is of no more use: that of a
   group's last primary still tells which database has its log.  */
static gboolean
is_obsolete (gpointer key, gpointer value, gpointer data)
{
  (void)key;
  const CsState *state = data;
  const CsMissing *missing = value;
  const CsGroup *group = cs_group (state, missing->group);
  return find_successor (state, missing->address, missing->incarnation) != NULL
         && (group == NULL
             || (strcmp (group->primary, missing->id) != 0
                 && strcmp (group->avoid, missing->id) != 0));
}

void
cs_drop_obsolete (CsState *state)
{
  g_hash_table_foreach_remove (state->missing, is_obsolete, state);
}

gboolean
cs_drop_missing (CsState *state, const char *id, guint64 incarnation)
{
  const CsMissing *missing = g_hash_table_lookup (state->missing, id);
  g_autofree char *key = missing_key (id, incarnation, TRUE);
  gboolean found = missing != NULL && missing->incarnation == incarnation
                   && g_hash_table_remove (state->missing, id);
  return g_hash_table_remove (state->missing, key) || found;
}

gboolean
cs_has_left (const CsState *state, const char *id, guint64 incarnation)
{
  for (const GList *l = state->left.head; l != NULL; l = l->next)
    {
      const CsLeft *left = l->data;
      if (left->incarnation >= incarnation && strcmp (left->id, id) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Returns the missing database ID, in its latest incarnation, or NULL.  */
static const CsMissing *
find_missing (const CsState *state, const char *id)
{
  const CsMissing *last = NULL;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->missing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsMissing *missing = value;
      if (strcmp (missing->id, id) == 0
          && (last == NULL || missing->incarnation > last->incarnation))
        last = missing;
    }
  return last;
}

const char *
cs_present_id (const CsState *state, const char *id)
{
  const CsDatabase *d = g_hash_table_lookup (state->databases, id);
  const CsMissing *missing = d == NULL ? find_missing (state, id) : NULL;
  const CsDatabase *successor = NULL;
  if (d != NULL)
    successor = find_successor (state, d->address, d->incarnation);
  else if (missing != NULL)
    successor = find_successor (state, missing->address, missing->incarnation);
  return successor != NULL ? successor->id : id;
}

guint
cs_other_copies (const CsState *state, const char *group, const char *except)
{
  const CsMissing *own = find_missing (state, except);
  gboolean has_left = own != NULL && own->left;
  g_autoptr (GHashTable) copies = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsDatabase *d = value;
      if (strcmp (d->group, group) == 0)
        g_hash_table_add (copies, (gpointer)cs_present_id (state, d->id));
    }
  g_hash_table_iter_init (&iter, state->missing);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsMissing *missing = value;
      if (strcmp (missing->group, group) == 0
          && strcmp (missing->id, except) != 0 && !(has_left && missing->left)
          && find_successor (state, missing->address, missing->incarnation)
                 == NULL)
        g_hash_table_add (copies, missing->key);
    }
  g_hash_table_remove (copies, cs_present_id (state, except));
  guint declared = MAX (cs_database_count (state, group), 1);
  return MAX (g_hash_table_size (copies), declared - 1);
}
