/* Limit on the statements that this host has on their way to one holder of a
   queue.

   While more is sent to a host than its link carries, statements wait in the
   link, where no queue orders or refuses them, and arrive too late.  The limit
   falls when answers show that, or that the queue itself refuses statements,
   and rises while they come in time.  It needs no report of what was lost:
   statements count for a short time only.  */
#pragma once
#include "base/clock.h"

/* Sends that are remembered, and the highest limit: with more on their way the
   link is not what limits.  */
#define BL_WINDOW_MAX 32

/* Zeroed at the start: no limit.  */
typedef struct
{
  GmTime sent_at[BL_WINDOW_MAX]; /* ring buffer */
  guint next;
  GmTime answered_sent_at; /* sending time of the newest answered statement */
  double limit;            /* 0: none */
  GmTime reduced_at;
} BlWindow;

/* Records that a statement is sent at NOW.  */
void bl_window_sent (BlWindow *window, GmTime now);
/* Records an answer to the statement sent at SENT_AT.  */
void bl_window_answered (BlWindow *window, GmTime sent_at);
/* Raises the limit: the answer to a statement came in time.  */
void bl_window_raise (BlWindow *window);
/* Lowers the limit at NOW: the answer to a statement sent at SENT_AT shows
   that too much is sent.  */
void bl_window_lower (BlWindow *window, GmTime now, GmTime sent_at);
/* Whether another statement may be sent at NOW.  Lowers the limit if an answer
   has not come for longer than SLOW, although none of a later statement has
   either.  */
gboolean bl_window_has_room (BlWindow *window, GmTime now, GmTime slow);
/* Whether there is a limit.  */
gboolean bl_window_is_limited (const BlWindow *window);
