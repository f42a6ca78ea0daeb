#include "core.h"
#include "base/event.h"
#include "base/mutant.h"
#include <string.h>

/* Numbers that cs_number_of looks at: more than an operator sends within the
   time in which it sends one of them again.  */
#define RECENT_NUMBERS 32

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
  state->missing = table_new (cs_missing_free);
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
  cs_clear_texts (state);
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

void
cs_add_audit (CsState *state, const CsAudit *audit)
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

guint64
cs_number_of (const CsState *state, const char *digest)
{
  guint last = state->history->len;
  for (guint i = last; i > last - MIN (last, RECENT_NUMBERS); i--)
    {
      const CsHistory *h = &g_array_index (state->history, CsHistory, i - 1);
      if (strcmp (h->digest, digest) == 0)
        return h->number;
    }
  return 0;
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
  GmStatus status = GM_STATUS_UNSET;
  if (state->parsed != NULL || state->text == NULL)
    return state->parsed;
  g_autoptr (GBytes) text = cs_unpack (state->text, state->packed);
  cache->parsed = cf_declaration_parse_cached (text, &status);
  if (state->parsed == NULL)
    gm_log (GM_EV_CONFIG_REFUSED,
            "number %" G_GUINT64_FORMAT
            " was accepted, but can't be parsed: %s",
            state->number, status.message);
  return state->parsed;
}

gboolean
cs_set_declaration (CsState *state, const struct wm_cmd_config *c,
                    GmStatus *outcome)
{
  gboolean listed = c->groups != NULL && g_bytes_get_size (c->groups) > 0;
  gboolean packed = (c->highest & WM_CONFIG_PACKED) != 0;
  g_autoptr (GBytes) text = listed ? NULL : cs_unpack (c->text, packed);
  CfDeclaration *fresh
      = listed ? NULL : cf_declaration_parse_cached (text, outcome);
  g_autoptr (GBytes) names = listed          ? g_bytes_ref (c->groups)
                             : fresh != NULL ? cs_group_names (fresh)
                                             : NULL;
  if (names == NULL)
    return FALSE;
  cf_declaration_free (state->parsed);
  cs_clear_texts (state);
  state->parsed = fresh;
  state->number = fresh != NULL ? (guint64)fresh->number : c->number;
  state->packed = packed;
  state->text = g_bytes_ref (c->text);
  state->source
      = c->source != NULL ? g_bytes_ref (c->source) : g_bytes_new (NULL, 0);
  add_groups (state, names);
  return TRUE;
}

static GmKind
apply_config (CsState *state, const struct wm_cmd_config *c, GmStatus *outcome)
{
  gboolean highest = (c->highest & WM_CONFIG_HIGHEST) != 0;
  gboolean effective = takes_effect (state, c->number, highest);
  GmKind kind
      = cs_check_config (state, c->number, c->digest, highest, outcome);
  if (kind == GM_OK && !effective && !GM_MUTANT (NUMBER_TWICE))
    return kind;
  if (kind == GM_OK && !cs_set_declaration (state, c, outcome))
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
  cs_add_audit (state, &audit);
  return kind;
}

static void
clear_assignments (CsState *state)
{
  g_hash_table_remove_all (state->dispatchers);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
}

GmKind
cs_apply_host (CsState *state, const struct wm_cmd_host *c, GmStatus *outcome)
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
  host->kept
      = c->kept != 0
        || (old != NULL && (old->kept || old->incarnation != c->incarnation));
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

GmKind
cs_apply_database (CsState *state, const struct wm_cmd_database *c,
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
  cs_drop_obsolete (state);
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
  cs_lose_sight (state, old, FALSE);
  g_hash_table_remove (state->databases, c->id);
  cs_drop_obsolete (state);
  g_clear_pointer (&state->queue_holders, g_hash_table_unref);
  return gm_ok (outcome);
}

static GmKind
apply_database_lost (CsState *state, const struct wm_cmd_database_lost *c,
                     GmStatus *outcome)
{
  if (!cs_drop_missing (state, c->id, c->incarnation))
    return gm_fail (outcome, GM_CONFLICT,
                    "%s is not missing with this incarnation", c->id);
  return gm_ok (outcome);
}

GmKind
cs_apply_database_left (CsState *state, const struct wm_cmd_database_left *c,
                        GmStatus *outcome)
{
  const CsDatabase *old = g_hash_table_lookup (state->databases, c->id);
  if (old != NULL && old->incarnation > c->incarnation)
    return gm_fail (outcome, GM_CONFLICT, "%s has a newer incarnation", c->id);
  if (old != NULL)
    cs_lose_sight (state, old, TRUE);
  g_hash_table_remove (state->databases, c->id);
  cs_drop_obsolete (state);
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
  cs_add_audit (state, &audit);
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
  cs_add_audit (state, &audit);
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
  cs_drop_obsolete (state);
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
      return cs_apply_host (state, &command->cmd_host, outcome);
    case WM_TYPE_CMD_HOST_DOWN:
      return apply_host_down (state, &command->cmd_host_down, outcome);
    case WM_TYPE_CMD_DATABASE:
      return cs_apply_database (state, &command->cmd_database, outcome);
    case WM_TYPE_CMD_DATABASE_DOWN:
      return apply_database_down (state, &command->cmd_database_down, outcome);
    case WM_TYPE_CMD_DATABASE_LEFT:
      return cs_apply_database_left (state, &command->cmd_database_left,
                                     outcome);
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
