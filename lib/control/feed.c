#include "core.h"
#include "base/mutant.h"
#include <string.h>

void
co_subscriber_free (Subscriber *subscriber)
{
  g_free (subscriber->host);
  g_free (subscriber);
}

static void
send_state (CoCore *core, Subscriber *s)
{
  g_autoptr (GBytes) block = cs_encode_for_hosts (core->state);
  WmMessage m
      = { .type = WM_TYPE_STATE,
          .state = { .version = core->state->version, .data = block } };
  co_queue (core, s->link, NULL, &m);
  s->sent = core->state->version;
}

/* ENTRY without what only control hosts need.  */
static void
strip (WmMessage *entry)
{
  WmMessage command;
  gsize length;
  const void *data = g_bytes_get_data (entry->rec_entry.data, &length);
  if (entry->rec_entry.type != CL_COMMAND
      || wm_decode (data, length, &command, NULL) != GM_OK)
    return;
  if (command.type == WM_TYPE_CMD_CONFIG
      && g_bytes_get_size (command.cmd_config.source) > 0)
    {
      g_bytes_unref (command.cmd_config.source);
      command.cmd_config.source = NULL;
      g_bytes_unref (entry->rec_entry.data);
      entry->rec_entry.data = wm_encode (&command);
    }
  wm_clear (&command);
}

/* The entries of LIST as subscribers get them; their number in COUNT.  */
static GBytes *
for_hosts (GBytes *list, guint64 *count)
{
  GByteArray *out = g_byte_array_new ();
  WmMessage entry;
  gsize at = 0;
  *count = 0;
  while (wm_next (list, &at, &entry))
    {
      (*count)++;
      strip (&entry);
      wm_append (out, &entry);
      wm_clear (&entry);
    }
  return g_byte_array_free_to_bytes (out);
}

static void
send_delta (CoCore *core, Subscriber *s)
{
  if (s->sent + CO_STATE_BEHIND < core->state->version)
    send_state (core, s);
  while (s->sent < core->state->version)
    {
      g_autoptr (GBytes) list
          = cl_entries_from (core->log, s->sent + 1, core->state->version);
      if (list == NULL)
        {
          send_state (core, s);
          return;
        }
      guint64 count;
      g_autoptr (GBytes) stripped = for_hosts (list, &count);
      WmMessage m = {
        .type = WM_TYPE_DELTA,
        .delta = { .first = s->sent + 1, .count = count, .commands = stripped }
      };
      co_queue (core, s->link, NULL, &m);
      s->sent += m.delta.count;
    }
}

static void
send_stamp (CoCore *core, GmTime now, const Subscriber *s)
{
  GmTime stamp = cl_stamp (core->log, now);
  const char *leader = cl_leader (core->log);
  /* The age saturates: a host without a stamp vouches for nothing.  */
  GmTime age = CLAMP (now - stamp, 0, (GmTime)G_MAXINT32 * GM_MS);
  WmMessage m
      = { .type = WM_TYPE_STAMP,
          .stamp = { .echo = s->beaten,
                     .age = (guint64)age,
                     .version = core->state->version,
                     .leader = (char *)(leader != NULL ? leader : "") } };
  co_queue (core, s->link, NULL, &m);
}

/* The first stamp after a start goes to all who wait for it, as the answer to
   the heartbeat that each sent last.  */
static void
send_first_stamps (CoCore *core, GmTime now)
{
  if (core->stamped || cl_stamp (core->log, now) <= 0)
    return;
  core->stamped = TRUE;
  for (guint i = 0; i < core->subscribers->len; i++)
    send_stamp (core, now, g_ptr_array_index (core->subscribers, i));
}

Subscriber *
co_find_subscriber (const CoCore *core, guint64 link)
{
  for (guint i = 0; i < core->subscribers->len; i++)
    {
      Subscriber *s = g_ptr_array_index (core->subscribers, i);
      if (s->link == link)
        return s;
    }
  return NULL;
}

static Subscriber *
add_subscriber (CoCore *core, guint64 link, const struct wm_subscribe *beat)
{
  Subscriber *s = g_new0 (Subscriber, 1);
  s->link = link;
  s->host = g_strdup (beat->host);
  s->incarnation = beat->incarnation;
  s->sent = GM_MUTANT (GO_BACK) ? 0 : beat->version;
  g_ptr_array_add (core->subscribers, s);
  return s;
}

void
co_subscribed (CoCore *core, GmTime now, guint64 link,
               const struct wm_subscribe *beat)
{
  Subscriber *s = co_find_subscriber (core, link);
  if (s == NULL)
    s = add_subscriber (core, link, beat);
  s->beaten = beat->sent;
  send_delta (core, s);
  send_stamp (core, now, s);
}

void
co_serve_subscribers (CoCore *core, GmTime now)
{
  for (guint i = 0; i < core->subscribers->len; i++)
    send_delta (core, g_ptr_array_index (core->subscribers, i));
  send_first_stamps (core, now);
}
