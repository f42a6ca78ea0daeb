/* The calls and orders of a change of primary, run for the control leader.  */
#pragma once
#include "control/control.h"
#include "daemon.h"
#include "dbapi/dbapi.h"

typedef void (*TakeoverEnd) (ToOrderEnd end, gpointer data);

/* What the task needs from the platform: a driver for the databases, and the
   order that promotes the database ID of GROUP for HOLDER under TOKEN; END is
   called once, never from within.  */
typedef struct
{
  DbOpen open;
  void (*order) (gpointer data, const char *group, const char *id,
                 const char *holder, guint64 token, TakeoverEnd end,
                 gpointer end_data);
  gpointer data;
} TakeoverDriver;

typedef struct Takeover Takeover;

/* Runs the actions of CORE; DRIVER is copied.  */
Takeover *takeover_new (Daemon *daemon, ToCore *core,
                        const TakeoverDriver *driver);
void takeover_free (Takeover *takeover);
/* Takes the actions that wait, and ends calls whose time is up.  */
void takeover_pump (Takeover *takeover);
