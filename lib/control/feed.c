#include "core.h"
#include "base/mutant.h"
#include "wire/pack.h"
#include <string.h>

/* Smaller blocks fit into one packet uncompressed.  */
#define PACK_BYTES_MIN 1024
/* Minimum interval between two configurations sent to one subscriber, unless
   another entry has to be sent: of many configurations in a short time, the
   last supersedes the others.  A tenth of the time in which operators expect a
   configuration to take effect.  */
#define CONFIG_INTERVAL_MIN (300 * GM_MS)

void
co_subscriber_free (Subscriber *subscriber)
{
  g_free (subscriber->host);
  g_free (subscriber);
}

/* Returns BLOCK as it is sent to subscribers, compressed when it has at least
   PACK_BYTES_MIN bytes; stores in PACKED whether it is.  */
static GBytes *
pack_for_hosts (GBytes *block, guint64 *packed)
{
  *packed = g_bytes_get_size (block) >= PACK_BYTES_MIN ? 1 : 0;
  return *packed != 0 ? wm_compress (block) : g_bytes_ref (block);
}

void
co_update_clear (CoCore *core)
{
  wm_clear (&core->update.message);
  core->update = (CachedUpdate){ .empty = TRUE };
}

/* Returns whether the cached message holds the versions FIRST to LAST.  */
static gboolean
is_cached (const CoCore *core, guint64 first, guint64 last)
{
  return !core->update.empty && core->update.first == first
         && core->update.last == last;
}

static void
send_state (CoCore *core, GmTime now, Subscriber *s)
{
  guint64 version = core->state->version;
  if (!is_cached (core, 0, version))
    {
      co_update_clear (core);
      g_autoptr (GBytes) block = cs_encode_for_hosts (core->state);
      core->update = (CachedUpdate){ .last = version };
      WmMessage *m = &core->update.message;
      m->type = WM_TYPE_STATE;
      m->state.version = version;
      m->state.data = pack_for_hosts (block, &m->state.packed);
    }
  co_queue_send (core, s->link, NULL, &core->update.message);
  s->sent_version = version;
  s->last_config_sent = now;
}

/* Decodes ENTRY into COMMAND if it is a configuration; otherwise returns
   FALSE.  */
static gboolean
decode_config (const struct wm_rec_entry *entry, WmMessage *command)
{
  gsize length;
  const void *data = g_bytes_get_data (entry->data, &length);
  if (entry->type != CL_COMMAND
      || wm_decode (data, length, command, NULL) != GM_OK)
    return FALSE;
  if (command->type == WM_TYPE_CMD_CONFIG)
    return TRUE;
  wm_clear (command);
  return FALSE;
}

/* Returns the highest number of a configuration in LIST that supersedes all
   lower ones, or 0.  */
static guint64
highest_number (GBytes *list)
{
  WmMessage entry, command;
  gsize at = 0;
  guint64 highest = 0;
  while (wm_next (list, &at, &entry))
    {
      if (decode_config (&entry.rec_entry, &command))
        {
          if ((command.cmd_config.highest & WM_CONFIG_HIGHEST) != 0)
            highest = MAX (highest, command.cmd_config.number);
          wm_clear (&command);
        }
      wm_clear (&entry);
    }
  return highest;
}

/* Removes from the configuration in ENTRY what only control hosts need.  Also
   removes the text when the configuration numbered HIGHEST in the same list
   supersedes it, since it is never in force once the list has been applied.
   Returns FALSE when ENTRY is no configuration.  */
static gboolean
strip_config (WmMessage *entry, guint64 highest)
{
  WmMessage command;
  if (!decode_config (&entry->rec_entry, &command))
    return FALSE;
  struct wm_cmd_config *c = &command.cmd_config;
  g_clear_pointer (&c->source, g_bytes_unref);
  if (c->number < highest && g_bytes_get_size (c->groups) > 0)
    g_clear_pointer (&c->text, g_bytes_unref);
  g_bytes_unref (entry->rec_entry.data);
  entry->rec_entry.data = wm_encode (&command);
  wm_clear (&command);
  return TRUE;
}

/* Caches the message that brings a subscriber from version FIRST - 1 to the
   current one.  Returns FALSE when the log does not reach back to FIRST.  */
static gboolean
build_delta (CoCore *core, guint64 first)
{
  g_autoptr (GBytes) list
      = cl_entries_from (core->log, first, core->state->version);
  if (list == NULL)
    return FALSE;
  guint64 highest = highest_number (list);
  g_autoptr (GByteArray) out = g_byte_array_new ();
  WmMessage entry;
  gsize at = 0;
  guint64 count = 0;
  co_update_clear (core);
  while (wm_next (list, &at, &entry))
    {
      count++;
      core->update.has_config
          = strip_config (&entry, highest) || core->update.has_config;
      wm_append (out, &entry);
      wm_clear (&entry);
    }
  g_autoptr (GBytes) block = g_bytes_new (out->data, out->len);
  WmMessage *m = &core->update.message;
  core->update.empty = FALSE;
  core->update.first = first;
  core->update.last = core->state->version;
  m->type = WM_TYPE_DELTA;
  m->delta.first = first;
  m->delta.count = count;
  m->delta.commands = pack_for_hosts (block, &m->delta.packed);
  return TRUE;
}

/* Returns whether S lacks only configurations and was sent one less than
   CONFIG_INTERVAL_MIN ago, so that a later one may supersede them.  */
static gboolean
can_defer (const CoCore *core, GmTime now, const Subscriber *s)
{
  return s->sent_version >= core->other_version && s->last_config_sent != 0
         && now < s->last_config_sent + CONFIG_INTERVAL_MIN;
}

/* Sends S the versions that it lacks.  Returns FALSE when nothing was sent. */
static gboolean
send_delta (CoCore *core, GmTime now, Subscriber *s)
{
  if (s->sent_version >= core->state->version || can_defer (core, now, s))
    return FALSE;
  if (s->sent_version + CO_DELTA_ENTRIES_MAX < core->state->version)
    send_state (core, now, s);
  while (s->sent_version < core->state->version)
    {
      guint64 first = s->sent_version + 1;
      if (!is_cached (core, first, core->state->version)
          && !build_delta (core, first))
        {
          send_state (core, now, s);
          return TRUE;
        }
      co_queue_send (core, s->link, NULL, &core->update.message);
      if (core->update.has_config)
        s->last_config_sent = now;
      s->sent_version += core->update.message.delta.count;
    }
  return TRUE;
}

static void
send_stamp (CoCore *core, GmTime now, const Subscriber *s)
{
  GmTime stamp = cl_stamp (core->log, now);
  const char *leader = cl_leader (core->log);
  /* A host that no quorum has confirmed yet sends an age that makes no copy
     current, however long the machine of the subscriber has been up.  */
  GmTime age = stamp > 0 || GM_MUTANT (UNCONFIRMED_STAMP)
                   ? CLAMP (now - stamp, 0, (GmTime)G_MAXINT32 * GM_MS)
                   : G_MAXINT64 / 2;
  WmMessage m
      = { .type = WM_TYPE_STAMP,
          .stamp = { .echo = s->heartbeat_clock,
                     .age = (guint64)age,
                     .version = core->state->version,
                     .leader = (char *)(leader != NULL ? leader : "") } };
  co_queue_send (core, s->link, NULL, &m);
}

/* Sends the first stamp after a start to all subscribers, as the answer to the
   last heartbeat of each.  */
static void
send_first_stamps (CoCore *core, GmTime now)
{
  if (core->first_stamps_sent || cl_stamp (core->log, now) <= 0)
    return;
  core->first_stamps_sent = TRUE;
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
  s->sent_version = GM_MUTANT (GO_BACK) ? 0 : beat->version;
  g_ptr_array_add (core->subscribers, s);
  return s;
}

void
co_handle_heartbeat (CoCore *core, GmTime now, guint64 link,
                     const struct wm_subscribe *beat)
{
  Subscriber *s = co_find_subscriber (core, link);
  if (s == NULL)
    s = add_subscriber (core, link, beat);
  s->heartbeat_clock = beat->sent;
  send_delta (core, now, s);
  send_stamp (core, now, s);
}

void
co_update_subscribers (CoCore *core, GmTime now)
{
  for (guint i = 0; i < core->subscribers->len; i++)
    {
      Subscriber *s = g_ptr_array_index (core->subscribers, i);
      /* The stamps sent before named a version that S did not have yet.  */
      if (send_delta (core, now, s))
        send_stamp (core, now, s);
    }
  send_first_stamps (core, now);
}
