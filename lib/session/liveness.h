/* Detection of hosts that no longer answer.

   A host that was cut off, froze or lost its power closes no link, so requests
   sent to it would wait.  A host that owes an answer and sends nothing for a
   while is probed.  If it doesn't answer the probe either, it counts as silent
   until something arrives from it again.  Requests that can run elsewhere need
   not wait for a silent host.

   This module does no input or output: the caller sends the probes and acts on
   silence.  */
#pragma once
#include "base/clock.h"

/* A host is probed when it owes an answer for this long.  Most statements are
   answered by then.  */
#define LV_PROBE_AFTER (60 * GM_MS)
#define LV_PROBE_INTERVAL (100 * GM_MS) /* between two probes of a host */
/* A host is silent when it owes an answer for this long: the first probe has
   then been unanswered for three times LV_PROBE_AFTER.  A host that is short
   of processor time answers sooner.  */
#define LV_SILENT_AFTER (250 * GM_MS)

typedef struct LvCore LvCore;

typedef enum
{
  LV_PROBE_HOST, /* send a probe to the host */
  LV_FELL_SILENT /* requests that wait for the host may run elsewhere */
} LvEventType;

typedef struct
{
  LvEventType type;
  const char *host; /* borrowed until lv_forget or lv_free */
} LvEvent;

LvCore *lv_new (void);
void lv_free (LvCore *core);
/* A request that HOST will answer was sent to it.  */
void lv_sent (LvCore *core, GmTime now, const char *host);
/* Something arrived from HOST; MORE tells whether HOST owes further
   answers.  */
void lv_received (LvCore *core, GmTime now, const char *host, gboolean more);
/* The link to HOST closed: forgets its state.  */
void lv_forget (LvCore *core, const char *host);
/* This process didn't run for SPAN: extends all timeouts by SPAN.  */
void lv_stalled (LvCore *core, GmTime span);
/* Takes the next event due at NOW.  FALSE when there is none.  */
gboolean lv_next (LvCore *core, GmTime now, LvEvent *event);
/* Whether any host owes an answer, so that lv_next may have events later.  */
gboolean lv_is_waiting (const LvCore *core);
gboolean lv_is_silent (const LvCore *core, const char *host);
