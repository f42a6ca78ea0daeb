/* Which other hosts have fallen silent.

   A host that was cut off, froze or lost its power closes no link: what was
   sent to it waits.  One that says nothing for a while although it was sent
   something is asked whether it is there; when that brings nothing either, it
   is silent until it is heard again.  What can run elsewhere need not wait for
   it.

   Pure: the shell sends the questions and carries out what silence means.  */
#pragma once
#include "base/clock.h"

/* Without a word after something was sent: most statements are answered by
   then.  */
#define LV_ASK (60 * GM_MS)
#define LV_ASK_AGAIN (100 * GM_MS) /* while it stays silent */
/* With the question unanswered for three times as long: a host that is short
   of processor time answers sooner.  */
#define LV_SILENT (250 * GM_MS)

typedef struct LvCore LvCore;

typedef enum
{
  LV_ASK_HOST,   /* ask the host whether it is there */
  LV_FELL_SILENT /* what waits for it may run elsewhere */
} LvEventType;

typedef struct
{
  LvEventType type;
  const char *host; /* borrowed until the core hears of it again */
} LvEvent;

LvCore *lv_new (void);
void lv_free (LvCore *core);
/* Something that will be answered was sent to HOST.  */
void lv_sent (LvCore *core, GmTime now, const char *host);
/* HOST said something; MORE tells whether other answers are still due.  */
void lv_heard (LvCore *core, GmTime now, const char *host, gboolean more);
/* The link to HOST closed: nothing is known of it.  */
void lv_forget (LvCore *core, const char *host);
/* This process stood still for SPAN: the others are not to blame.  */
void lv_stalled (LvCore *core, GmTime span);
/* The next thing to do at NOW; FALSE when there is none.  */
gboolean lv_next (LvCore *core, GmTime now, LvEvent *event);
gboolean lv_is_silent (const LvCore *core, const char *host);
