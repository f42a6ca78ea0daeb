#include "window.h"

/* A statement counts as on its way for at most this long: it may wait in the
   database's queue, or be lost.  */
#define ON_THE_WAY_MAX GM_SECOND
/* The limit falls to these parts of what is on its way.  The first time that
   is far too much, as nothing limited it.  */
#define FIRST_DECREASE 0.2
#define DECREASE 0.5
/* Raised by one for each limit's number of good answers.  A quarter of that
   left links idle at full load.  */
#define INCREASE 1.0

static guint
on_the_way (const BlWindow *w, GmTime now)
{
  guint count = 0;
  for (guint i = 0; i < BL_WINDOW_MAX; i++)
    if (w->sent_at[i] != 0 && w->sent_at[i] > w->answered_sent_at
        && now - w->sent_at[i] < ON_THE_WAY_MAX)
      count++;
  return count;
}

void
bl_window_sent (BlWindow *w, GmTime now)
{
  w->sent_at[w->next] = now;
  w->next = (w->next + 1) % BL_WINDOW_MAX;
}

void
bl_window_answered (BlWindow *w, GmTime sent_at)
{
  w->answered_sent_at = MAX (w->answered_sent_at, sent_at);
}

void
bl_window_lower (BlWindow *w, GmTime now, GmTime sent_at)
{
  /* Statements sent before the last reduction don't show its effect.  */
  if (w->limit != 0 && sent_at < w->reduced_at)
    return;
  double used = MAX ((double)on_the_way (w, now), 1.0);
  double limit = w->limit == 0 ? used * FIRST_DECREASE
                               : MIN (w->limit, used) * DECREASE;
  w->limit = MAX (limit, 1.0);
  w->reduced_at = now;
}

void
bl_window_raise (BlWindow *w)
{
  if (w->limit == 0)
    return;
  w->limit += INCREASE / w->limit;
  if (w->limit > BL_WINDOW_MAX)
    w->limit = 0;
}

/* The sending time of the statement that is longest on its way; 0: none.  */
static GmTime
oldest_on_the_way (const BlWindow *w, GmTime now)
{
  GmTime oldest = 0;
  for (guint i = 0; i < BL_WINDOW_MAX; i++)
    if (w->sent_at[i] > w->answered_sent_at
        && now - w->sent_at[i] < ON_THE_WAY_MAX
        && (oldest == 0 || w->sent_at[i] < oldest))
      oldest = w->sent_at[i];
  return oldest;
}

gboolean
bl_window_has_room (BlWindow *w, GmTime now, GmTime slow)
{
  GmTime oldest = oldest_on_the_way (w, now);
  if (oldest != 0 && now - oldest > slow)
    bl_window_lower (w, now, oldest);
  return w->limit == 0 || (double)on_the_way (w, now) + 1.0 <= w->limit;
}

gboolean
bl_window_is_limited (const BlWindow *w)
{
  return w->limit != 0;
}
