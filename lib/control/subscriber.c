#include "subscriber.h"
#include "base/mutant.h"
#include "base/event.h"
#include "clog/clog.h"
#include "wire/pack.h"
#include <string.h>

#define UNPACKED_BYTES_MAX                                                    \
  (4 * (gsize)WM_FRAME_MAX) /* of one unpacked block */

struct SbCore
{
  CsState *state;
  guint64 name_hash;
  guint stale_peers; /* given up in a row for their stamps */
  GmTime lease;
  guint peers;
  guint peer;
  gboolean has_link; /* a link is up or being established */
  gboolean link_up;
  GmTime next_dial;
  GmTime next_heartbeat;
  GmTime stamp;      /* time at which the state was current */
  GmTime peer_stamp; /* time at which the control host in use was current */
  gboolean fenced;
};

SbCore *
sb_new (const char *host, guint peers, GmTime lease, GmTime now)
{
  SbCore *core = g_new0 (SbCore, 1);
  core->state = cs_new ();
  core->lease = lease;
  core->peers = peers;
  core->name_hash = gm_hash (host, strlen (host), 1);
  core->peer = (guint)(core->name_hash % peers);
  core->next_dial = now;
  core->stamp = G_MININT64 / 4;
  core->fenced = TRUE;
  return core;
}

void
sb_free (SbCore *core)
{
  if (core == NULL)
    return;
  cs_free (core->state);
  g_free (core);
}

void
sb_set_peers (SbCore *core, guint peers)
{
  core->peers = peers;
  core->peer %= peers;
}

const CsState *
sb_state (const SbCore *core)
{
  return core->state;
}

guint
sb_peer (const SbCore *core)
{
  return core->peer;
}

gboolean
sb_is_cut_off (const SbCore *core, GmTime now)
{
  return now > core->stamp + SB_CUT_OFF_AFTER;
}

GmTime
sb_age (const SbCore *core, GmTime now)
{
  return now - core->stamp;
}

gboolean
sb_is_fresh (const SbCore *core, GmTime now)
{
  if (cs_declaration (core->state) == NULL)
    return FALSE;
  if (GM_MUTANT (SERVE_STALE))
    return TRUE;
  /* Without a lease, one stamp since the start suffices.  */
  if (core->lease == 0)
    return core->stamp > 0;
  return sb_age (core, now) <= core->lease;
}

/* Logs when the host becomes fenced or unfenced.  */
static void
update_fence (SbCore *core, GmTime now)
{
  gboolean fenced = !sb_is_fresh (core, now);
  if (fenced == core->fenced)
    return;
  core->fenced = fenced;
  gm_log (fenced ? GM_EV_FENCED : GM_EV_UNFENCED, "version %u",
          (guint)core->state->version);
}

void
sb_link_up (SbCore *core, GmTime now)
{
  core->has_link = TRUE;
  core->link_up = TRUE;
  core->peer_stamp = now;
  core->next_heartbeat = now;
}

/* Returns how long the next dial waits beyond SB_REDIAL_DELAY.  */
static GmTime
redial_spread (const SbCore *core)
{
  if (core->stale_peers == 0)
    return 0;
  guint doublings = MIN (core->stale_peers - 1, SB_REDIAL_DOUBLINGS_MAX);
  guint64 drawn
      = gm_hash (&core->name_hash, sizeof core->name_hash, core->stale_peers);
  return (GmTime)(drawn % ((guint64)SB_REDIAL_SPREAD << doublings));
}

void
sb_link_down (SbCore *core, GmTime now)
{
  core->has_link = FALSE;
  core->link_up = FALSE;
  core->peer = (core->peer + 1) % core->peers;
  core->next_dial = now + SB_REDIAL_DELAY + redial_spread (core);
}

SbAction
sb_tick (SbCore *core, GmTime now)
{
  update_fence (core, now);
  if (!core->has_link && now >= core->next_dial)
    {
      core->has_link = TRUE;
      core->peer_stamp = now;
      return SB_DIAL;
    }
  GmTime timeout = core->link_up ? SB_STAMP_TIMEOUT : SB_DIAL_TIMEOUT;
  if (core->has_link && now > core->peer_stamp + timeout)
    {
      gm_log (GM_EV_CONTROL_STALE, "control host number %u", core->peer);
      core->stale_peers += core->link_up ? 1 : 0;
      sb_link_down (core, now);
      return SB_DISCONNECT;
    }
  return SB_NOTHING;
}

gboolean
sb_heartbeat_due (SbCore *core, GmTime now)
{
  if (!core->link_up || now < core->next_heartbeat)
    return FALSE;
  core->next_heartbeat = now
                         + (core->fenced ? SB_FENCED_HEARTBEAT_INTERVAL
                                         : SB_HEARTBEAT_INTERVAL);
  return TRUE;
}

static void
apply_entry (SbCore *core, const struct wm_rec_entry *e)
{
  WmMessage command;
  gsize length;
  const void *data = g_bytes_get_data (e->data, &length);
  if (e->index != core->state->version + 1)
    return;
  if (e->type != CL_COMMAND
      || wm_decode (data, length, &command, NULL) != GM_OK)
    {
      cs_skip (core->state, e->index);
      return;
    }
  cs_apply (core->state, e->index, &command, NULL);
  wm_clear (&command);
}

/* Returns BLOCK unpacked if PACKED, or NULL when it is damaged.  */
static GBytes *
unpack_block (GBytes *block, guint64 packed)
{
  if (packed == 0)
    return g_bytes_ref (block);
  GBytes *unpacked = wm_decompress (block, UNPACKED_BYTES_MAX);
  if (unpacked == NULL)
    gm_log (GM_EV_LINK_GARBAGE, "a block of %u bytes can't be unpacked",
            (guint)g_bytes_get_size (block));
  return unpacked;
}

static void
apply_delta (SbCore *core, const struct wm_delta *delta)
{
  WmMessage entry;
  gsize at = 0;
  g_autoptr (GBytes) commands = unpack_block (delta->commands, delta->packed);
  while (commands != NULL && wm_next (commands, &at, &entry))
    {
      if (entry.type == WM_TYPE_REC_ENTRY)
        apply_entry (core, &entry.rec_entry);
      wm_clear (&entry);
    }
}

static void
replace_state (SbCore *core, const struct wm_state *m)
{
  /* The state never goes back to an older version, even if the control host
     has only that.  */
  if (m->version <= core->state->version && !GM_MUTANT (GO_BACK))
    return;
  g_autoptr (GBytes) data = unpack_block (m->data, m->packed);
  CsState *fresh = data != NULL ? cs_decode (m->version, data) : NULL;
  if (fresh == NULL)
    return;
  cs_free (core->state);
  core->state = fresh;
}

static void
update_stamp (SbCore *core, GmTime now, const struct wm_stamp *m)
{
  GmTime stamp = (GmTime)m->echo - (GmTime)m->age;
  core->peer_stamp = MAX (core->peer_stamp, stamp);
  if (now <= core->peer_stamp + SB_STAMP_TIMEOUT)
    core->stale_peers = 0;
  if (core->state->version >= m->version || GM_MUTANT (STAMP_BEHIND))
    core->stamp = MAX (core->stamp, stamp);
  update_fence (core, now);
}

gboolean
sb_receive (SbCore *core, GmTime now, const WmMessage *m)
{
  guint64 before = core->state->version;
  if (m->type == WM_TYPE_DELTA)
    apply_delta (core, &m->delta);
  else if (m->type == WM_TYPE_STATE)
    replace_state (core, &m->state);
  else if (m->type == WM_TYPE_STAMP)
    update_stamp (core, now, &m->stamp);
  if (core->state->version == before)
    return FALSE;
  /* Report the new version at once: operators wait to see it in force.  */
  core->next_heartbeat = now;
  return TRUE;
}
