#include "cstate.h"
#include "base/event.h"
#include "base/mutant.h"
#include <string.h>

/* Bits of REC_GROUP's field settled.  */
enum
{
  GROUP_SETTLED = 1,
  GROUP_INTERIM = 2
};

static void
host_free (CsHost *host)
{
  g_free (host->host);
  g_free (host->caller);
  g_free (host->link);
  g_free (host->data_centre);
  g_free (host);
}

static void
database_free (CsDatabase *database)
{
  g_free (database->id);
  g_free (database->group);
  g_free (database->address);
  g_free (database->data_centre);
  g_free (database);
}

static void
missing_free (CsMissing *missing)
{
  g_free (missing->key);
  g_free (missing->id);
  g_free (missing->group);
  g_free (missing->address);
  g_free (missing);
}

static void
group_free (CsGroup *group)
{
  g_free (group->group);
  g_free (group->primary);
  g_free (group->avoid);
  g_free (group->holder);
  g_free (group);
}

static void
history_clear (gpointer data)
{
  g_free (((CsHistory *)data)->digest);
}

static void
left_free (CsLeft *left)
{
  g_free (left->id);
  g_free (left);
}

static void
audit_free (CsAudit *audit)
{
  g_free (audit->who);
  g_free (audit->what);
  g_free (audit->digest);
  g_free (audit);
}

static GHashTable *
table_new (gpointer free_value)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                (GDestroyNotify)free_value);
}

CsState *
cs_new (void)
{
  CsState *state = g_new0 (CsState, 1);
  state->hosts = table_new (host_free);
  state->databases = table_new (database_free);
  state->missing = table_new (missing_free);
  state->groups = table_new (group_free);
  state->dispatchers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  state->queue_holders = NULL;
  state->history = g_array_new (FALSE, TRUE, sizeof (CsHistory));
  g_array_set_clear_func (state->history, history_clear);
  g_queue_init (&state->audit);
  g_queue_init (&state->left);
  return state;
}

void
cs_free (CsState *state)
{
  if (state == NULL)
    return;
  cf_declaration_free (state->parsed);
  g_clear_pointer (&state->text, g_bytes_unref);
  g_clear_pointer (&state->source, g_bytes_unref);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
  g_hash_table_unref (state->hosts);
  g_hash_table_unref (state->databases);
  g_hash_table_unref (state->missing);
  g_hash_table_unref (state->groups);
  g_hash_table_unref (state->dispatchers);
  g_array_unref (state->history);
  g_queue_clear_full (&state->audit, (GDestroyNotify)audit_free);
  g_queue_clear_full (&state->left, (GDestroyNotify)left_free);
  g_free (state);
}

char *
cs_digest (const void *text, gsize length)
{
  return g_compute_checksum_for_data (G_CHECKSUM_SHA256, text, length);
}

static void
add_audit (CsState *state, const CsAudit *audit)
{
  CsAudit *copy = g_memdup2 (audit, sizeof *audit);
  copy->who = g_strdup (audit->who);
  copy->what = g_strdup (audit->what);
  copy->digest = g_strdup (audit->digest);
  g_queue_push_tail (&state->audit, copy);
  if (state->audit.length > CS_AUDIT_MAX)
    audit_free (g_queue_pop_head (&state->audit));
}

static const CsHistory *
find_history (const CsState *state, guint64 number)
{
  /* Numbers have no gaps and begin at 1.  */
  if (number == 0 || number > state->history->len)
    return NULL;
  return &g_array_index (state->history, CsHistory, number - 1);
}

/* Accepts any NUMBER: the highest wins, in whatever order they arrive.  One
   that is not higher is acknowledged without effect, so that a retry is never
   refused.  */
static GmKind
check_highest (const CsState *state, guint64 number, GmStatus *outcome)
{
  guint64 held = state->number;
  if (number > held || GM_MUTANT (LOWER_WINS))
    return gm_ok (outcome);
  gm_fail (outcome, GM_OK,
           "number %" G_GUINT64_FORMAT " is superseded by %" G_GUINT64_FORMAT,
           number, held);
  return GM_OK;
}

/* Returns whether a declaration with NUMBER that passed cs_check_config takes
   effect.  */
static gboolean
takes_effect (const CsState *state, guint64 number, gboolean highest)
{
  if (!highest)
    return find_history (state, number) == NULL;
  return number > state->number || GM_MUTANT (LOWER_WINS);
}

GmKind
cs_check_config (const CsState *state, guint64 number, const char *digest,
                 gboolean highest, GmStatus *outcome)
{
  if (highest)
    return check_highest (state, number, outcome);
  const CsHistory *before = find_history (state, number);
  guint64 next = state->history->len + 1;
  if (before != NULL && GM_MUTANT (NUMBER_TWICE))
    return gm_ok (outcome);
  if (before != NULL && strcmp (before->digest, digest) == 0
      && !GM_MUTANT (RESEND_REFUSED))
    {
      gm_fail (outcome, GM_OK,
               "number %" G_GUINT64_FORMAT
               " accepted as version %" G_GUINT64_FORMAT,
               number, before->version);
      return GM_OK;
    }
  if (before != NULL)
    return gm_fail (outcome, GM_CONFLICT,
                    "number %" G_GUINT64_FORMAT
                    " was taken by the text with digest %s",
                    number, before->digest);
  if (number != next)
    return gm_fail (outcome, GM_CONFLICT,
                    "the next number is %" G_GUINT64_FORMAT
                    ", not %" G_GUINT64_FORMAT,
                    next, number);
  return gm_ok (outcome);
}

static void
add_group (CsState *state, const char *name)
{
  if (g_hash_table_contains (state->groups, name))
    return;
  CsGroup *group = g_new0 (CsGroup, 1);
  group->group = g_strdup (name);
  group->primary = g_strdup ("");
  group->avoid = g_strdup ("");
  group->holder = g_strdup ("");
  g_hash_table_insert (state->groups, group->group, group);
}

static void
add_groups (CsState *state, GBytes *names)
{
  g_autoptr (GPtrArray) list = wm_strings_decode (names);
  for (guint i = 0; list != NULL && i < list->len; i++)
    add_group (state, g_ptr_array_index (list, i));
}

GBytes *
cs_group_names (const CfDeclaration *declaration)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  for (guint i = 0; i < declaration->groups->len; i++)
    g_ptr_array_add (
        names, ((CfGroup *)g_ptr_array_index (declaration->groups, i))->name);
  return wm_strings_encode ((const char *const *)names->pdata, names->len);
}

const CfDeclaration *
cs_declaration (const CsState *state)
{
  /* A cache of the parsed text; the state itself does not change.  */
  CsState *cache = (CsState *)state;
  GmStatus status;
  if (state->parsed != NULL || state->text == NULL)
    return state->parsed;
  cache->parsed = cf_declaration_parse_cached (state->text, &status);
  if (state->parsed == NULL)
    gm_log (GM_EV_CONFIG_REFUSED,
            "number %" G_GUINT64_FORMAT
            " was accepted, but can't be parsed: %s",
            state->number, status.message);
  return state->parsed;
}

/* Makes C the declaration in force.  If C does not list its groups, its text
   is parsed now to find them.  */
static gboolean
set_declaration (CsState *state, const struct wm_cmd_config *c,
                 GmStatus *outcome)
{
  gboolean listed = c->groups != NULL && g_bytes_get_size (c->groups) > 0;
  CfDeclaration *fresh
      = listed ? NULL : cf_declaration_parse_cached (c->text, outcome);
  g_autoptr (GBytes) names = listed          ? g_bytes_ref (c->groups)
                             : fresh != NULL ? cs_group_names (fresh)
                                             : NULL;
  if (names == NULL)
    return FALSE;
  cf_declaration_free (state->parsed);
  g_clear_pointer (&state->text, g_bytes_unref);
  g_clear_pointer (&state->source, g_bytes_unref);
  state->parsed = fresh;
  state->number = fresh != NULL ? (guint64)fresh->number : c->number;
  state->text = g_bytes_ref (c->text);
  state->source
      = c->source != NULL ? g_bytes_ref (c->source) : g_bytes_new (NULL, 0);
  add_groups (state, names);
  return TRUE;
}

static GmKind
apply_config (CsState *state, const struct wm_cmd_config *c, GmStatus *outcome)
{
  gboolean highest = c->highest != 0;
  gboolean effective = takes_effect (state, c->number, highest);
  GmKind kind
      = cs_check_config (state, c->number, c->digest, highest, outcome);
  if (kind == GM_OK && !effective && !GM_MUTANT (NUMBER_TWICE))
    return kind;
  if (kind == GM_OK && !set_declaration (state, c, outcome))
    kind = GM_INVALID;
  if (kind == GM_OK)
    {
      CsHistory fresh = { c->number, g_strdup (c->digest), state->version };
      g_array_append_val (state->history, fresh);
      gm_fail (outcome, GM_OK,
               "number %" G_GUINT64_FORMAT
               " accepted as version %" G_GUINT64_FORMAT,
               c->number, state->version);
    }
  CsAudit audit = { state->version, c->when,   c->who, (char *)"config",
                    c->number,      c->digest, kind };
  add_audit (state, &audit);
  return kind;
}

static void
clear_assignments (CsState *state)
{
  g_hash_table_remove_all (state->dispatchers);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
}

static GmKind
apply_host (CsState *state, const struct wm_cmd_host *c, GmStatus *outcome)
{
  const CsHost *old = g_hash_table_lookup (state->hosts, c->host);
  if (old != NULL && old->incarnation > c->incarnation)
    return gm_fail (outcome, GM_CONFLICT, "%s has a newer incarnation",
                    c->host);
  CsHost *host = g_new0 (CsHost, 1);
  host->host = g_strdup (c->host);
  host->incarnation = c->incarnation;
  host->caller = g_strdup (c->caller);
  host->link = g_strdup (c->link);
  host->data_centre = g_strdup (c->data_centre);
  host->roles = c->roles;
  host->link_rate = c->link_rate;
  g_hash_table_replace (state->hosts, host->host, host);
  clear_assignments (state);
  return gm_ok (outcome);
}

static GmKind
apply_host_down (CsState *state, const struct wm_cmd_host_down *c,
                 GmStatus *outcome)
{
  const CsHost *old = g_hash_table_lookup (state->hosts, c->host);
  if (old == NULL || old->incarnation != c->incarnation)
    return gm_fail (outcome, GM_CONFLICT,
                    "%s is not known with this incarnation", c->host);
  g_hash_table_remove (state->hosts, c->host);
  clear_assignments (state);
  return gm_ok (outcome);
}

/* Sets the term of a group that has had none to the term that its first
   primary announces.  */
static void
adopt_first_primary (CsState *state, const struct wm_cmd_database *c)
{
  CsGroup *group = g_hash_table_lookup (state->groups, c->group);
  if (group == NULL || group->term > 0 || c->primary == 0 || c->term == 0)
    return;
  group->term = c->term;
  g_free (group->primary);
  group->primary = g_strdup (c->id);
  group->decided = state->version;
  group->settled = TRUE;
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

static void
add_missing (CsState *state, const struct wm_rec_missing *r)
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

/* Enters DATABASE, whose record is about to go, among the missing ones.  */
static void
lose_sight (CsState *state, const CsDatabase *database, gboolean left)
{
  struct wm_rec_missing missing = { .id = database->id,
                                    .group = database->group,
                                    .address = database->address,
                                    .incarnation = database->incarnation,
                                    .left = left ? 1 : 0 };
  if (!GM_MUTANT (MISSING_FORGOTTEN))
    add_missing (state, &missing);
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

static GmKind
apply_database (CsState *state, const struct wm_cmd_database *c,
                GmStatus *outcome)
{
  const CsDatabase *old = g_hash_table_lookup (state->databases, c->id);
  if (old != NULL && old->incarnation > c->incarnation)
    return gm_fail (outcome, GM_CONFLICT, "%s has a newer incarnation", c->id);
  if (cs_has_left (state, c->id, c->incarnation))
    return gm_fail (outcome, GM_CONFLICT, "%s has left", c->id);
  CsDatabase *database = g_new0 (CsDatabase, 1);
  database->id = g_strdup (c->id);
  database->group = g_strdup (c->group);
  database->address = g_strdup (c->address);
  database->data_centre = g_strdup (c->data_centre);
  database->slots = c->slots;
  database->connections = c->connections;
  database->leaving = c->leaving != 0;
  database->incarnation = c->incarnation;
  database->sequence = c->sequence;
  g_hash_table_replace (state->databases, database->id, database);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
  g_hash_table_remove (state->missing, c->id);
  g_hash_table_foreach_remove (state->missing, is_obsolete, state);
  adopt_first_primary (state, c);
  return gm_ok (outcome);
}

static GmKind
apply_database_down (CsState *state, const struct wm_cmd_database_down *c,
                     GmStatus *outcome)
{
  const CsDatabase *old = g_hash_table_lookup (state->databases, c->id);
  if (old == NULL || old->incarnation != c->incarnation)
    return gm_fail (outcome, GM_CONFLICT,
                    "%s is not known with this incarnation", c->id);
  lose_sight (state, old, FALSE);
  g_hash_table_remove (state->databases, c->id);
  g_hash_table_foreach_remove (state->missing, is_obsolete, state);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
  return gm_ok (outcome);
}

static GmKind
apply_database_lost (CsState *state, const struct wm_cmd_database_lost *c,
                     GmStatus *outcome)
{
  const CsMissing *missing = g_hash_table_lookup (state->missing, c->id);
  g_autofree char *key = missing_key (c->id, c->incarnation, TRUE);
  gboolean found = missing != NULL && missing->incarnation == c->incarnation
                   && g_hash_table_remove (state->missing, c->id);
  if (!g_hash_table_remove (state->missing, key) && !found)
    return gm_fail (outcome, GM_CONFLICT,
                    "%s is not missing with this incarnation", c->id);
  return gm_ok (outcome);
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

static GmKind
apply_database_left (CsState *state, const struct wm_cmd_database_left *c,
                     GmStatus *outcome)
{
  const CsDatabase *old = g_hash_table_lookup (state->databases, c->id);
  if (old != NULL && old->incarnation > c->incarnation)
    return gm_fail (outcome, GM_CONFLICT, "%s has a newer incarnation", c->id);
  if (old != NULL)
    lose_sight (state, old, TRUE);
  g_hash_table_remove (state->databases, c->id);
  g_hash_table_foreach_remove (state->missing, is_obsolete, state);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
  CsLeft *left = g_new0 (CsLeft, 1);
  left->id = g_strdup (c->id);
  left->incarnation = c->incarnation;
  g_queue_push_tail (&state->left, left);
  if (state->left.length > CS_LEFT_MAX)
    left_free (g_queue_pop_head (&state->left));
  return gm_ok (outcome);
}

static GmKind
apply_term (CsState *state, const struct wm_cmd_term *c, GmStatus *outcome)
{
  CsGroup *group = g_hash_table_lookup (state->groups, c->group);
  if (group == NULL || c->term <= group->term)
    return gm_fail (outcome, GM_CONFLICT,
                    "%s is unknown or already has this term", c->group);
  group->term = c->term;
  /* Keep the last primary that has led: a choice whose promotion is not known
     to be done has acknowledged nothing.  Only choices that the platform
     carries out have a holder.  */
  if (*group->primary != '\0' && (group->settled || *group->holder == '\0'))
    {
      g_free (group->avoid);
      group->avoid = g_strdup (group->primary);
    }
  g_free (group->primary);
  group->primary = g_strdup ("");
  g_autofree char *what
      = g_strdup_printf ("term of %s: %s", c->group, c->reason);
  CsAudit audit = { state->version, c->when, (char *)"control", what, c->term,
                    (char *)"",     GM_OK };
  add_audit (state, &audit);
  return gm_ok (outcome);
}

static GmKind
apply_primary (CsState *state, const struct wm_cmd_primary *c,
               GmStatus *outcome)
{
  CsGroup *group = g_hash_table_lookup (state->groups, c->group);
  /* The same database may be chosen again, to be promoted with a higher
   token.  */
  gboolean again = group != NULL && !group->settled && c->round >= group->round
                   && strcmp (group->primary, c->id) == 0;
  if (group == NULL || c->term != group->term
      || (*group->primary != '\0' && !again))
    return gm_fail (outcome, GM_CONFLICT, "%s has another term or primary",
                    c->group);
  const CsDatabase *chosen = g_hash_table_lookup (state->databases, c->id);
  g_free (group->primary);
  g_free (group->holder);
  group->interim = chosen != NULL && chosen->leaving;
  group->primary = g_strdup (c->id);
  group->holder = g_strdup (c->holder != NULL ? c->holder : "");
  group->round = c->round;
  group->decided = state->version;
  group->settled = FALSE;
  g_autofree char *what
      = g_strdup_printf ("primary of %s: %s", c->group, c->id);
  CsAudit audit = { state->version, c->when, (char *)"control", what, c->term,
                    (char *)"",     GM_OK };
  add_audit (state, &audit);
  return gm_ok (outcome);
}

static GmKind
apply_promoted (CsState *state, const struct wm_cmd_promoted *c,
                GmStatus *outcome)
{
  CsGroup *group = g_hash_table_lookup (state->groups, c->group);
  if (group == NULL || group->decided != c->token)
    return gm_fail (outcome, GM_CONFLICT, "%s has another choice of primary",
                    c->group);
  group->settled = TRUE;
  g_hash_table_foreach_remove (state->missing, is_obsolete, state);
  return gm_ok (outcome);
}

GmKind
cs_apply (CsState *state, guint64 version, const WmMessage *command,
          GmStatus *outcome)
{
  g_assert (version > state->version);
  state->version = version;
  switch (command->type)
    {
    case WM_TYPE_CMD_CONFIG:
      return apply_config (state, &command->cmd_config, outcome);
    case WM_TYPE_CMD_HOST:
      return apply_host (state, &command->cmd_host, outcome);
    case WM_TYPE_CMD_HOST_DOWN:
      return apply_host_down (state, &command->cmd_host_down, outcome);
    case WM_TYPE_CMD_DATABASE:
      return apply_database (state, &command->cmd_database, outcome);
    case WM_TYPE_CMD_DATABASE_DOWN:
      return apply_database_down (state, &command->cmd_database_down, outcome);
    case WM_TYPE_CMD_DATABASE_LEFT:
      return apply_database_left (state, &command->cmd_database_left, outcome);
    case WM_TYPE_CMD_DATABASE_LOST:
      return apply_database_lost (state, &command->cmd_database_lost, outcome);
    case WM_TYPE_CMD_TERM:
      return apply_term (state, &command->cmd_term, outcome);
    case WM_TYPE_CMD_PRIMARY:
      return apply_primary (state, &command->cmd_primary, outcome);
    case WM_TYPE_CMD_PROMOTED:
      return apply_promoted (state, &command->cmd_promoted, outcome);
    default:
      return gm_fail (outcome, GM_INVALID, "%s is not a command",
                      wm_type_name (command->type));
    }
}

void
cs_skip (CsState *state, guint64 version)
{
  g_assert (version > state->version);
  state->version = version;
}

/* Returns the values of TABLE in the order of their keys, so that every host
   encodes the same state to the same block.  */
static GList *
sorted_values (GHashTable *table)
{
  GList *keys
      = g_list_sort (g_hash_table_get_keys (table), (GCompareFunc)strcmp);
  for (GList *l = keys; l != NULL; l = l->next)
    l->data = g_hash_table_lookup (table, l->data);
  return keys;
}

static void
encode_hosts (const CsState *state, GByteArray *out)
{
  g_autoptr (GList) hosts = sorted_values (state->hosts);
  for (GList *l = hosts; l != NULL; l = l->next)
    {
      const CsHost *h = l->data;
      WmMessage m = { .type = WM_TYPE_CMD_HOST,
                      .cmd_host = { .host = h->host,
                                    .incarnation = h->incarnation,
                                    .caller = h->caller,
                                    .link = h->link,
                                    .data_centre = h->data_centre,
                                    .roles = h->roles,
                                    .link_rate = h->link_rate } };
      wm_append (out, &m);
    }
}

static void
encode_databases (const CsState *state, GByteArray *out)
{
  g_autoptr (GList) databases = sorted_values (state->databases);
  for (GList *l = databases; l != NULL; l = l->next)
    {
      const CsDatabase *d = l->data;
      WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                      .cmd_database = { .id = d->id,
                                        .group = d->group,
                                        .address = d->address,
                                        .data_centre = d->data_centre,
                                        .slots = d->slots,
                                        .connections = d->connections,
                                        .leaving = d->leaving ? 1 : 0,
                                        .incarnation = d->incarnation,
                                        .sequence = d->sequence } };
      wm_append (out, &m);
    }
}

static void
encode_missing (const CsState *state, GByteArray *out)
{
  g_autoptr (GList) missing = sorted_values (state->missing);
  for (GList *l = missing; l != NULL; l = l->next)
    {
      const CsMissing *d = l->data;
      WmMessage m = { .type = WM_TYPE_REC_MISSING,
                      .rec_missing = { .id = d->id,
                                       .group = d->group,
                                       .address = d->address,
                                       .incarnation = d->incarnation,
                                       .left = d->left ? 1 : 0 } };
      wm_append (out, &m);
    }
}

static void
encode_left (const CsState *state, GByteArray *out)
{
  for (const GList *l = state->left.head; l != NULL; l = l->next)
    {
      const CsLeft *left = l->data;
      WmMessage m = { .type = WM_TYPE_CMD_DATABASE_LEFT,
                      .cmd_database_left
                      = { .id = left->id, .incarnation = left->incarnation } };
      wm_append (out, &m);
    }
}

static void
encode_groups (const CsState *state, GByteArray *out)
{
  g_autoptr (GList) groups = sorted_values (state->groups);
  for (GList *l = groups; l != NULL; l = l->next)
    {
      const CsGroup *g = l->data;
      WmMessage m
          = { .type = WM_TYPE_REC_GROUP,
              .rec_group = { .group = g->group,
                             .term = g->term,
                             .primary = g->primary,
                             .avoid = g->avoid,
                             .decided = g->decided,
                             .holder = g->holder,
                             .round = g->round,
                             .settled = (g->settled ? GROUP_SETTLED : 0)
                                        | (g->interim ? GROUP_INTERIM : 0) } };
      wm_append (out, &m);
    }
}

static void
encode_history (const CsState *state, GByteArray *out)
{
  for (guint i = 0; i < state->history->len; i++)
    {
      const CsHistory *h = &g_array_index (state->history, CsHistory, i);
      WmMessage m = { .type = WM_TYPE_REC_HISTORY,
                      .rec_history = { .number = h->number,
                                       .digest = h->digest,
                                       .version = h->version } };
      wm_append (out, &m);
    }
  for (GList *l = state->audit.head; l != NULL; l = l->next)
    {
      const CsAudit *a = l->data;
      WmMessage m = { .type = WM_TYPE_REC_AUDIT,
                      .rec_audit = { .version = a->version,
                                     .when = a->when,
                                     .who = a->who,
                                     .what = a->what,
                                     .number = a->number,
                                     .digest = a->digest,
                                     .kind = a->kind } };
      wm_append (out, &m);
    }
}

static GBytes *
encode (const CsState *state, GBytes *source)
{
  GByteArray *out = g_byte_array_new ();
  if (state->text != NULL)
    {
      WmMessage m
          = { .type = WM_TYPE_CMD_CONFIG,
              .cmd_config = { .text = state->text, .source = source } };
      wm_append (out, &m);
    }
  encode_groups (state, out);
  encode_hosts (state, out);
  encode_databases (state, out);
  encode_missing (state, out);
  encode_left (state, out);
  encode_history (state, out);
  return g_byte_array_free_to_bytes (out);
}

GBytes *
cs_encode (const CsState *state)
{
  return encode (state, state->source);
}

GBytes *
cs_encode_for_hosts (const CsState *state)
{
  return encode (state, NULL);
}

static void
decode_group (CsState *state, const struct wm_rec_group *r)
{
  CsGroup *group = g_new0 (CsGroup, 1);
  group->group = g_strdup (r->group);
  group->term = r->term;
  group->primary = g_strdup (r->primary);
  group->avoid = g_strdup (r->avoid);
  group->decided = r->decided;
  group->holder = g_strdup (r->holder);
  group->round = r->round;
  group->settled = (r->settled & GROUP_SETTLED) != 0;
  group->interim = (r->settled & GROUP_INTERIM) != 0;
  g_hash_table_replace (state->groups, group->group, group);
}

static gboolean
decode_record (CsState *state, const WmMessage *m)
{
  if (m->type == WM_TYPE_CMD_CONFIG)
    return set_declaration (state, &m->cmd_config, NULL);
  if (m->type == WM_TYPE_REC_GROUP)
    decode_group (state, &m->rec_group);
  else if (m->type == WM_TYPE_REC_HISTORY)
    {
      CsHistory h = { m->rec_history.number, g_strdup (m->rec_history.digest),
                      m->rec_history.version };
      g_array_append_val (state->history, h);
    }
  else if (m->type == WM_TYPE_REC_AUDIT && m->rec_audit.kind < GM_KIND_COUNT)
    {
      CsAudit a = { m->rec_audit.version,     m->rec_audit.when,
                    m->rec_audit.who,         m->rec_audit.what,
                    m->rec_audit.number,      m->rec_audit.digest,
                    (GmKind)m->rec_audit.kind };
      add_audit (state, &a);
    }
  else if (m->type == WM_TYPE_CMD_HOST)
    apply_host (state, &m->cmd_host, NULL);
  else if (m->type == WM_TYPE_CMD_DATABASE)
    apply_database (state, &m->cmd_database, NULL);
  else if (m->type == WM_TYPE_REC_MISSING)
    add_missing (state, &m->rec_missing);
  else if (m->type == WM_TYPE_CMD_DATABASE_LEFT)
    apply_database_left (state, &m->cmd_database_left, NULL);
  else
    return FALSE;
  return TRUE;
}

CsState *
cs_decode (guint64 version, GBytes *block)
{
  CsState *state = cs_new ();
  WmMessage m;
  gsize at = 0;
  gboolean good = TRUE;
  while (good && wm_next (block, &at, &m))
    {
      good = decode_record (state, &m);
      wm_clear (&m);
    }
  state->version = version;
  if (!good || at != g_bytes_get_size (block))
    g_clear_pointer (&state, cs_free);
  return state;
}

const CsGroup *
cs_group (const CsState *state, const char *group)
{
  return g_hash_table_lookup (state->groups, group);
}

guint
cs_database_count (const CsState *state, const char *group)
{
  const CfDeclaration *declaration = cs_declaration (state);
  const CfGroup *declared
      = declaration != NULL ? cf_group_find (declaration, group) : NULL;
  return declared != NULL ? (guint)declared->databases : 0;
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
