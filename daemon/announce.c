#include "announce.h"
#include "daemon.h"
#include "subscription.h"
#include "dispatch/dispatch.h"
#include "http.h"
#include <string.h>

/* The fields of an announcement's JSON body.  */
typedef struct
{
  char *id;
  char *group;
  char *address;
  char *data_centre;
  char *role;
  gint64 term;
  gint64 position;
  gint64 slots;
  gint64 connections;
  gint64 incarnation;
  gboolean leaving;
} Announcement;

#define OFFSET(member) G_STRUCT_OFFSET (Announcement, member)

static const JsField announcement_fields[] = {
  { "id", JS_STRING, OFFSET (id), TRUE, 1, DP_ID_MAX - 1, NULL },
  { "group", JS_STRING, OFFSET (group), TRUE, 1, 64, NULL },
  { "address", JS_STRING, OFFSET (address), TRUE, 1, 64, NULL },
  { "data_centre", JS_STRING, OFFSET (data_centre), FALSE, 0, 64, NULL },
  { "role", JS_STRING, OFFSET (role), TRUE, 1, 16, "primary|replica" },
  { "term", JS_INTEGER, OFFSET (term), TRUE, 0, 1e15, NULL },
  { "position", JS_INTEGER, OFFSET (position), TRUE, 0, 9e18, NULL },
  { "slots", JS_INTEGER, OFFSET (slots), TRUE, 1, 1024, NULL },
  { "connections", JS_INTEGER, OFFSET (connections), TRUE, 4, 100000, NULL },
  { "incarnation", JS_INTEGER, OFFSET (incarnation), TRUE, 0, 9e18, NULL },
  { "leaving", JS_BOOLEAN, OFFSET (leaving), FALSE, 0, 0, NULL },
};

static GmKind
forward_announcement (Daemon *daemon, const Announcement *a, GmStatus *status)
{
  CfAddress address = { 0 };
  if (!cf_address_parse (a->address, &address))
    return gm_fail (status, GM_INVALID,
                    "address: must be an IP number and a port");
  g_free (address.ip);
  WmMessage m = { .type = WM_TYPE_CMD_DATABASE,
                  .cmd_database
                  = { .id = a->id,
                      .group = a->group,
                      .address = a->address,
                      .data_centre = a->data_centre,
                      .slots = (guint64)a->slots,
                      .connections = (guint64)a->connections,
                      .leaving = a->leaving ? 1 : 0,
                      .incarnation = (guint64)a->incarnation,
                      .term = (guint64)a->term,
                      .primary = strcmp (a->role, "primary") == 0 ? 1 : 0 } };
  if (!subscription_send (daemon->subscription, &m))
    return gm_fail (status, GM_UNAVAILABLE, "no link to a control host");
  return gm_ok (status);
}

void
announce_handle (SoupServer *server, SoupServerMessage *msg, const char *path,
                 GHashTable *query, gpointer data)
{
  (void)server;
  (void)path;
  (void)query;
  Daemon *daemon = data;
  GmStatus status = GM_STATUS_UNSET;
  Announcement a = { 0 };
  if (http_is_refused (msg))
    return;
  g_autoptr (GBytes) bytes
      = soup_message_body_flatten (soup_server_message_get_request_body (msg));
  gsize length;
  const char *text = g_bytes_get_data (bytes, &length);
  g_autoptr (JsDocument) document
      = js_parse ("body", text != NULL ? text : "", length, &status);
  if (document != NULL
      && js_fields (document, js_root (document), "", announcement_fields,
                    G_N_ELEMENTS (announcement_fields), &a, &status)
             == GM_OK)
    forward_announcement (daemon, &a, &status);
  http_answer (msg, status.kind, status.message, NULL);
  char *strings[] = { a.id, a.group, a.address, a.data_centre, a.role };
  for (gsize i = 0; i < G_N_ELEMENTS (strings); i++)
    g_free (strings[i]);
}
