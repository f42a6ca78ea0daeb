#include "describe.h"
#include "core.h"
#include <json-c/json.h>

static void
add_text (json_object *o, const char *name, const char *value)
{
  json_object_object_add (o, name, json_object_new_string (value));
}

/* Adds TIME in milliseconds.  */
static void
add_time (json_object *o, const char *name, GmTime time)
{
  double ms = (double)time / (double)GM_MS;
  g_autofree char *text = g_strdup_printf ("%.1f", ms);
  json_object_object_add (o, name, json_object_new_double_s (ms, text));
}

static void
add_flag (json_object *o, const char *name, gboolean value)
{
  json_object_object_add (o, name, json_object_new_boolean (value));
}

static json_object *
share_json (const SrShareView *view)
{
  json_object *o = json_object_new_object ();
  add_text (o, "host", view->host->host);
  add_flag (o, "preferred", view->preferred);
  add_flag (o, "silent", view->silent);
  if (view->report_age >= 0)
    add_time (o, "news_age_ms", view->report_age);
  add_time (o, "wait_ms", view->queue_wait);
  add_time (o, "work_ahead_ms", view->work_ahead);
  add_time (o, "network_ms", view->network_time);
  json_object_object_add (o, "window",
                          json_object_new_int ((int)view->window));
  return o;
}

static json_object *
copy_json (SrRouter *router, const CsState *state, GmTime now,
           const SrCopyView *view, CfRank rank)
{
  const char *id = view->database->id;
  const GPtrArray *holders = cs_queue_holders (state, id);
  json_object *shares = json_object_new_array ();
  for (guint i = 0; holders != NULL && i < holders->len; i++)
    {
      SrShareView share;
      sr_view_share (router, state, now, id, i, rank, &share);
      json_object_array_add (shares, share_json (&share));
    }
  json_object *o = json_object_new_object ();
  add_text (o, "id", id);
  add_text (o, "role", view->primary ? "primary" : "replica");
  add_text (o, "data_centre", view->database->data_centre);
  add_text (o, "why", view->why);
  add_flag (o, "preferred", view->preferred);
  add_time (o, "expected_ms", view->time);
  add_time (o, "position_delay_ms", view->position_delay);
  json_object_object_add (o, "health_percent",
                          json_object_new_int ((int)(view->health * 100)));
  json_object_object_add (o, "shares", shares);
  return o;
}

char *
sr_describe (SrRouter *router, const CsState *state, GmTime now,
             const char *name, gboolean writes, GmTime age)
{
  const CfDeclaration *declaration = cs_declaration (state);
  const CfService *service
      = declaration != NULL ? cf_service_find (declaration, name) : NULL;
  if (service == NULL)
    return NULL;
  const char *group = g_ptr_array_index (service->depends_on, 0);
  gboolean reads = !writes && service->reads != CF_READS_PRIMARY;
  SrCopyView views[SR_VIEWS_MAX];
  guint count = sr_view_copies (router, state, now, group, service->rank,
                                reads, now - age, views);
  GmTime wait = sr_sure_wait (router, state, now, group, service->rank, reads,
                              now - age, NULL);
  gboolean refused
      = wait > sn_longest_wait (service, service->deadline_ms * GM_MS);
  gboolean served = FALSE;
  json_object *copies = json_object_new_array ();
  for (guint i = 0; i < count; i++)
    {
      served = served || views[i].serves;
      json_object_array_add (
          copies, copy_json (router, state, now, &views[i], service->rank));
    }
  json_object *o = json_object_new_object ();
  add_text (o, "statement", writes ? "write" : "read");
  add_time (o, "position_age_ms", age);
  add_time (o, "sure_wait_ms", wait);
  add_flag (o, "refused", refused || !served);
  json_object_object_add (o, "copies", copies);
  char *text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}
