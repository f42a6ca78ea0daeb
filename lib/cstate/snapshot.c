#include "core.h"
#include <string.h>

/* Bits of REC_GROUP's field settled.  */
enum
{
  GROUP_SETTLED = 1,
  GROUP_INTERIM = 2
};

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
                                    .link_rate = h->link_rate,
                                    .kept = h->kept ? 1 : 0 } };
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
      WmMessage m = { .type = WM_TYPE_CMD_CONFIG,
                      .cmd_config
                      = { .text = state->text,
                          .source = source,
                          .highest = state->packed ? WM_CONFIG_PACKED : 0 } };
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
    return cs_set_declaration (state, &m->cmd_config, NULL);
  if (m->type == WM_TYPE_REC_GROUP)
    decode_group (state, &m->rec_group);
  else if (m->type == WM_TYPE_REC_HISTORY)
    {
      CsHistory h = { m->rec_history.number, g_strdup (m->rec_history.digest),
                      m->rec_history.version };
      g_array_append_val (state->history, h);
    }
  else if (m->type == WM_TYPE_REC_AUDIT)
    {
      CsAudit a = { m->rec_audit.version,
                    m->rec_audit.when,
                    m->rec_audit.who,
                    m->rec_audit.what,
                    m->rec_audit.number,
                    m->rec_audit.digest,
                    gm_kind_from_number (m->rec_audit.kind) };
      cs_add_audit (state, &a);
    }
  else if (m->type == WM_TYPE_CMD_HOST)
    cs_apply_host (state, &m->cmd_host, NULL);
  else if (m->type == WM_TYPE_CMD_DATABASE)
    cs_apply_database (state, &m->cmd_database, NULL);
  else if (m->type == WM_TYPE_REC_MISSING)
    cs_add_missing (state, &m->rec_missing);
  else if (m->type == WM_TYPE_CMD_DATABASE_LEFT)
    cs_apply_database_left (state, &m->cmd_database_left, NULL);
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
