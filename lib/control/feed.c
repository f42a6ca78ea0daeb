#include "core.h"
#include "base/mutant.h"
#include "wire/pack.h"
#include <string.h>

#define PACK_LEAST                                                            \
  1024 /* bytes; smaller blocks fit one packet as they are                    \
        */
/* Between two configurations to one subscriber, unless something else has to
   go there: those of a storm overtake each other meanwhile.  A tenth of the
   time in which operators expect one to be in force.  */
#define CONFIG_SPACING (300 * GM_MS)

void
co_subscriber_free (Subscriber *subscriber)
{
  g_free (subscriber->host);
  g_free (subscriber);
}

/* BLOCK as subscribers get it: compressed where that pays.  */
static GBytes *
pack_for_hosts (GBytes *block, guint64 *packed)
{
  *packed = g_bytes_get_size (block) >= PACK_LEAST ? 1 : 0;
  return *packed != 0 ? wm_pack (block) : g_bytes_ref (block);
}

void
co_feed_clear (CoCore *core)
{
  wm_clear (&core->feed.message);
  core->feed = (Feed){ .empty = TRUE };
}

/* Whether the message that was made last is that of the versions FIRST to
   LAST.  */
static gboolean
is_kept (const CoCore *core, guint64 first, guint64 last)
{
  return !core->feed.empty && core->feed.first == first
         && core->feed.last == last;
}

static void
send_state (CoCore *core, GmTime now, Subscriber *s)
{
  guint64 version = core->state->version;
  if (!is_kept (core, 0, version))
    {
      co_feed_clear (core);
      g_autoptr (GBytes) block = cs_encode_for_hosts (core->state);
      core->feed = (Feed){ .last = version };
      WmMessage *m = &core->feed.message;
      m->type = WM_TYPE_STATE;
      m->state.version = version;
      m->state.data = pack_for_hosts (block, &m->state.packed);
    }
  co_queue (core, s->link, NULL, &core->feed.message);
  s->sent = version;
  s->fed = now;
}

/* A configuration's command, or FALSE when ENTRY is another.  */
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

/* The highest number of a configuration in LIST that overtakes all lower
   ones.  */
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
          if (command.cmd_config.highest != 0)
            highest = MAX (highest, command.cmd_config.number);
          wm_clear (&command);
        }
      wm_clear (&entry);
    }
  return highest;
}

/* ENTRY without what only control hosts need, and without the text of a
   configuration that one with the number HIGHEST overtakes in the same list:
   it is never in force once the list has been applied.  TRUE when ENTRY is a
   configuration.  */
static gboolean
strip (WmMessage *entry, guint64 highest)
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

/* Makes the message that brings a subscriber from version FIRST - 1 on.  FALSE
   when the log does not reach back so far.  */
static gboolean
make_delta (CoCore *core, guint64 first)
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
  co_feed_clear (core);
  while (wm_next (list, &at, &entry))
    {
      count++;
      core->feed.configures = strip (&entry, highest) || core->feed.configures;
      wm_append (out, &entry);
      wm_clear (&entry);
    }
  g_autoptr (GBytes) block = g_bytes_new (out->data, out->len);
  WmMessage *m = &core->feed.message;
  core->feed.empty = FALSE;
  core->feed.first = first;
  core->feed.last = core->state->version;
  m->type = WM_TYPE_DELTA;
  m->delta.first = first;
  m->delta.count = count;
  m->delta.commands = pack_for_hosts (block, &m->delta.packed);
  return TRUE;
}

/* Whether S, which lacks configurations only, can wait for the one that
   overtakes them.  */
static gboolean
can_wait (const CoCore *core, GmTime now, const Subscriber *s)
{
  return s->sent >= core->other && s->fed != 0
         && now < s->fed + CONFIG_SPACING;
}

/* Sends S what it lacks.  FALSE when nothing was sent.  */
static gboolean
send_delta (CoCore *core, GmTime now, Subscriber *s)
{
  if (s->sent >= core->state->version || can_wait (core, now, s))
    return FALSE;
  if (s->sent + CO_STATE_BEHIND < core->state->version)
    send_state (core, now, s);
  while (s->sent < core->state->version)
    {
      guint64 first = s->sent + 1;
      if (!is_kept (core, first, core->state->version)
          && !make_delta (core, first))
        {
          send_state (core, now, s);
          return TRUE;
        }
      co_queue (core, s->link, NULL, &core->feed.message);
      if (core->feed.configures)
        s->fed = now;
      s->sent += core->feed.message.delta.count;
    }
  return TRUE;
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
  send_delta (core, now, s);
  send_stamp (core, now, s);
}

void
co_serve_subscribers (CoCore *core, GmTime now)
{
  for (guint i = 0; i < core->subscribers->len; i++)
    {
      Subscriber *s = g_ptr_array_index (core->subscribers, i);
      /* The stamps sent while S waited did not vouch for what it had.  */
      if (send_delta (core, now, s))
        send_stamp (core, now, s);
    }
  send_first_stamps (core, now);
}
