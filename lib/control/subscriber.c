#include "subscriber.h"
#include "base/mutant.h"
#include "base/event.h"
#include "clog/clog.h"
#include "wire/pack.h"
#include <string.h>

#define UNPACKED_MAX (4 * (gsize)WM_FRAME_MAX) /* bytes of one block */

struct SbCore
{
  CsState *state;
  GmTime lease;
  guint peers;
  guint peer;
  gboolean linked; /* a link is up or being made */
  gboolean up;
  GmTime dial_at;
  GmTime beat_at;
  GmTime stamp;      /* the state was current then */
  GmTime link_stamp; /* the control host in use was current then */
  gboolean fenced;
};

SbCore *
sb_new (const char *host, guint peers, GmTime lease, GmTime now)
{
  SbCore *core = g_new0 (SbCore, 1);
  core->state = cs_new ();
  core->lease = lease;
  core->peers = peers;
  core->peer = (guint)(gm_hash (host, strlen (host), 1) % peers);
  core->dial_at = now;
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
  return now > core->stamp + SB_CUT_OFF;
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
  /* Without a lease, one stamp since the start is enough.  */
  if (core->lease == 0)
    return core->stamp > 0;
  return sb_age (core, now) <= core->lease;
}

static void
watch_fence (SbCore *core, GmTime now)
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
  core->linked = TRUE;
  core->up = TRUE;
  core->link_stamp = now;
  core->beat_at = now;
}

void
sb_link_down (SbCore *core, GmTime now)
{
  core->linked = FALSE;
  core->up = FALSE;
  core->peer = (core->peer + 1) % core->peers;
  core->dial_at = now + SB_REDIAL;
}

SbAction
sb_tick (SbCore *core, GmTime now)
{
  watch_fence (core, now);
  if (!core->linked && now >= core->dial_at)
    {
      core->linked = TRUE;
      core->link_stamp = now;
      return SB_DIAL;
    }
  GmTime patience = core->up ? SB_STAMP_STALE : SB_DIAL_TIME;
  if (core->linked && now > core->link_stamp + patience)
    {
      gm_log (GM_EV_CONTROL_STALE, "control host number %u", core->peer);
      sb_link_down (core, now);
      return SB_LEAVE;
    }
  return SB_NOTHING;
}

gboolean
sb_beat_due (SbCore *core, GmTime now)
{
  if (!core->up || now < core->beat_at)
    return FALSE;
  core->beat_at = now + (core->fenced ? SB_BEAT_FENCED : SB_BEAT);
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

/* BLOCK as it was before it was sent, or NULL when it is damaged.  */
static GBytes *
unpacked (GBytes *block, guint64 packed)
{
  if (packed == 0)
    return g_bytes_ref (block);
  GBytes *whole = wm_unpack (block, UNPACKED_MAX);
  if (whole == NULL)
    gm_log (GM_EV_LINK_GARBAGE, "a block of %u bytes can't be unpacked",
            (guint)g_bytes_get_size (block));
  return whole;
}

static void
take_delta (SbCore *core, const struct wm_delta *delta)
{
  WmMessage entry;
  gsize at = 0;
  g_autoptr (GBytes) commands = unpacked (delta->commands, delta->packed);
  while (commands != NULL && wm_next (commands, &at, &entry))
    {
      if (entry.type == WM_TYPE_REC_ENTRY)
        apply_entry (core, &entry.rec_entry);
      wm_clear (&entry);
    }
}

static void
take_state (SbCore *core, const struct wm_state *m)
{
  /* The state never goes back, whatever a control host holds.  */
  if (m->version <= core->state->version && !GM_MUTANT (GO_BACK))
    return;
  g_autoptr (GBytes) data = unpacked (m->data, m->packed);
  CsState *fresh = data != NULL ? cs_decode (m->version, data) : NULL;
  if (fresh == NULL)
    return;
  cs_free (core->state);
  core->state = fresh;
}

static void
take_stamp (SbCore *core, GmTime now, const struct wm_stamp *m)
{
  GmTime stamp = (GmTime)m->echo - (GmTime)m->age;
  core->link_stamp = MAX (core->link_stamp, stamp);
  if (core->state->version >= m->version || GM_MUTANT (STAMP_BEHIND))
    core->stamp = MAX (core->stamp, stamp);
  watch_fence (core, now);
}

gboolean
sb_receive (SbCore *core, GmTime now, const WmMessage *m)
{
  guint64 before = core->state->version;
  if (m->type == WM_TYPE_DELTA)
    take_delta (core, &m->delta);
  else if (m->type == WM_TYPE_STATE)
    take_state (core, &m->state);
  else if (m->type == WM_TYPE_STAMP)
    take_stamp (core, now, &m->stamp);
  if (core->state->version == before)
    return FALSE;
  /* The new version is told at once: operators wait to see it in force.  */
  core->beat_at = now;
  return TRUE;
}
