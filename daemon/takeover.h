/* Carries out the database calls and promotion orders by which the control
   leader replaces a primary.  */
#pragma once
#include "control/control.h"
#include "daemon.h"
#include "dbapi/dbapi.h"

/* Called when a promotion order has ended.  */
typedef void (*TakeoverEnd) (ToOrderResult end, gpointer data);

/* What the platform provides: open connects to a database; order asks the
   platform to promote the database ID of GROUP for HOLDER under the fencing
   token TOKEN, and calls END once, after it has returned.  */
typedef struct
{
  DbOpen open;
  void (*order) (gpointer data, const char *group, const char *id,
                 const char *holder, guint64 token, TakeoverEnd end,
                 gpointer end_data);
  gpointer data;
} TakeoverDriver;

typedef struct Takeover Takeover;

/* Carries out the actions of CORE through DRIVER, which is copied.  */
Takeover *takeover_new (Daemon *daemon, ToCore *core,
                        const TakeoverDriver *driver);
void takeover_free (Takeover *takeover);
/* Starts CORE's queued actions, and fails calls that have timed out.  */
void takeover_pump (Takeover *takeover);
