#include "replicate.h"
#include <json-c/json.h>
#include <libsoup/soup.h>

#define ANNOUNCE_INTERVAL_MS 300
#define ANNOUNCE_TIMEOUT_S 1

struct StAnnouncer
{
  const StIdentity *identity;
  StStore *store;
  const StLimits *limits;
  const StSwitches *switches;
  SoupSession *session;
  GCancellable *cancellable;
  guint next_address; /* index of the address to use, modulo their number */
  gboolean sending;
  guint timer;
};

static char *
announcement_json (const StAnnouncer *a)
{
  FoDatabaseStatus status;
  st_status (a->store, gm_now (gm_clock_system ()), &status);
  g_autofree char *address = g_strdup_printf ("%s:%u", a->limits->address.ip,
                                              a->limits->address.port);
  json_object *o = json_object_new_object ();
  const struct
  {
    const char *name;
    const char *text;
  } texts[] = { { "id", a->identity->id },
                { "group", a->identity->group },
                { "address", address },
                { "data_centre", a->identity->data_centre },
                { "role", status.primary ? "primary" : "replica" } };
  const struct
  {
    const char *name;
    guint64 number;
  } numbers[] = { { "term", status.term },
                  { "position", status.received },
                  { "slots", a->limits->slots },
                  { "connections", a->limits->connections },
                  { "incarnation", a->identity->incarnation } };
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    json_object_object_add (o, texts[i].name,
                            json_object_new_string (texts[i].text));
  for (gsize i = 0; i < G_N_ELEMENTS (numbers); i++)
    json_object_object_add (o, numbers[i].name,
                            json_object_new_int64 ((gint64)numbers[i].number));
  json_object_object_add (o, "leaving",
                          json_object_new_boolean (a->switches->leaving));
  char *text = g_strdup (json_object_to_json_string (o));
  json_object_put (o);
  return text;
}

static void
announce_done (GObject *source, GAsyncResult *result, gpointer data)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) answer = soup_session_send_and_read_finish (
      SOUP_SESSION (source), result, &error);
  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
    return;
  StAnnouncer *a = data;
  a->sending = FALSE;
  /* The next announcement after an error uses another address.  */
  if (answer == NULL)
    a->next_address++;
}

static gboolean
announce_due (gpointer data)
{
  StAnnouncer *a = data;
  const GPtrArray *to = a->identity->announce_to;
  if (a->sending || to->len == 0)
    return G_SOURCE_CONTINUE;
  g_autofree char *uri = g_strdup_printf (
      "http://%s/v1/announce",
      (const char *)g_ptr_array_index (to, a->next_address % to->len));
  g_autoptr (SoupMessage) message = soup_message_new ("POST", uri);
  if (message == NULL)
    return G_SOURCE_CONTINUE;
  g_autofree char *text = announcement_json (a);
  g_autoptr (GBytes) body = g_bytes_new (text, strlen (text));
  soup_message_set_request_body_from_bytes (message, "application/json", body);
  a->sending = TRUE;
  soup_session_send_and_read_async (a->session, message, G_PRIORITY_DEFAULT,
                                    a->cancellable, announce_done, a);
  return G_SOURCE_CONTINUE;
}

StAnnouncer *
st_announcer_new (const StIdentity *identity, StStore *store,
                  const StLimits *limits, const StSwitches *switches)
{
  StAnnouncer *a = g_new0 (StAnnouncer, 1);
  a->identity = identity;
  a->store = store;
  a->limits = limits;
  a->switches = switches;
  a->session = soup_session_new_with_options ("timeout", ANNOUNCE_TIMEOUT_S,
                                              "proxy-resolver", NULL, NULL);
  a->cancellable = g_cancellable_new ();
  announce_due (a);
  a->timer = g_timeout_add (ANNOUNCE_INTERVAL_MS, announce_due, a);
  return a;
}

void
st_announcer_free (StAnnouncer *a)
{
  g_source_remove (a->timer);
  g_cancellable_cancel (a->cancellable);
  g_object_unref (a->cancellable);
  g_object_unref (a->session);
  g_free (a);
}
