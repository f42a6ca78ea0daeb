#include "placement.h"
#include "json/json.h"
#include <string.h>

static void
add_text (json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

static void
add_number (json_object *object, const char *name, gint64 number)
{
  json_object_object_add (object, name, json_object_new_int64 (number));
}

static void
add_boolean (json_object *object, const char *name, gboolean value)
{
  json_object_object_add (object, name, json_object_new_boolean (value));
}

static json_object *
queue_json (const CsState *state, const char *id)
{
  json_object *list = json_object_new_array ();
  const GPtrArray *holders = cs_queue_holders (state, id);
  for (guint i = 0; holders != NULL && i < holders->len; i++)
    {
      const CsHost *host = g_ptr_array_index (holders, i);
      json_object_array_add (list, json_object_new_string (host->host));
    }
  return list;
}

static int
compare_ids (gconstpointer a, gconstpointer b)
{
  const CsDatabase *const *x = a, *const *y = b;
  return strcmp ((*x)->id, (*y)->id);
}

static json_object *
databases_json (const CsState *state, const CsGroup *group, const char *name)
{
  json_object *list = json_object_new_array ();
  g_autoptr (GPtrArray) databases = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((const CsDatabase *)value)->group, name) == 0)
      g_ptr_array_add (databases, value);
  g_ptr_array_sort (databases, compare_ids);
  for (guint i = 0; i < databases->len; i++)
    {
      const CsDatabase *d = g_ptr_array_index (databases, i);
      gboolean primary = group != NULL && strcmp (group->primary, d->id) == 0;
      json_object *o = json_object_new_object ();
      add_text (o, "id", d->id);
      add_text (o, "role", primary ? "primary" : "replica");
      add_text (o, "address", d->address);
      add_text (o, "data_centre", d->data_centre);
      add_boolean (o, "leaving", d->leaving);
      json_object_object_add (o, "queue", queue_json (state, d->id));
      json_object_array_add (list, o);
    }
  return list;
}

/* Who may call SERVICE.  */
static const char *
allowed_callers (const CfDeclaration *declaration, const CfService *service)
{
  if (declaration->customers == NULL)
    return "anyone";
  return service->is_public ? "public" : "customers";
}

char *
pm_describe (const CsState *state, const char *name, GmStatus *status)
{
  const CfDeclaration *declaration = cs_declaration (state);
  const CfService *service
      = declaration != NULL ? cf_service_find (declaration, name) : NULL;
  if (service == NULL)
    {
      gm_fail (status, GM_UNKNOWN_SERVICE,
               "no service \"%s\" in configuration %" G_GINT64_FORMAT, name,
               declaration != NULL ? declaration->number : 0);
      return NULL;
    }
  const char *group_name = g_ptr_array_index (service->depends_on, 0);
  const CsGroup *group = cs_group (state, group_name);
  const CsHost *dispatcher = cs_dispatcher (state, group_name);
  json_object *o = json_object_new_object ();
  add_text (o, "service", name);
  add_text (o, "rank", cf_rank_text (service->rank));
  add_text (o, "reads", cf_reads_text (service->reads));
  add_number (o, "deadline_ms", service->deadline_ms);
  add_text (o, "callers", allowed_callers (declaration, service));
  add_number (o, "config", declaration->number);
  add_number (o, "version", (gint64)state->version);
  add_text (o, "group", group_name);
  add_number (o, "term", group != NULL ? (gint64)group->term : 0);
  add_text (o, "primary", group != NULL ? group->primary : "");
  add_text (o, "dispatcher", dispatcher != NULL ? dispatcher->host : "");
  json_object_object_add (o, "databases",
                          databases_json (state, group, group_name));
  char *text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}
