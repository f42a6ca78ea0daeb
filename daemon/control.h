/* The control role: the replicated log, membership and failover decisions.  */
#pragma once
#include "control/control.h"
#include "daemon.h"
#include "takeover.h"

typedef struct Control Control;

/* Starts the task.  With BOOTSTRAP and an empty data folder, this host becomes
   the first member of a new control group.  NULL and STATUS when the log can't
   be opened.  */
Control *control_new (Daemon *daemon, gboolean bootstrap, GmStatus *status);
/* Lets this control host replace primaries itself, through DRIVER, which is
   copied.  */
void control_set_takeover_driver (Control *control,
                                  const TakeoverDriver *driver);
/* This control host's copy of the state, valid until the caller returns to the
   main context.  */
const CsState *control_state (const Control *control);
/* Whether a quorum has confirmed that control_state was the newest state at
   SINCE or later.  */
gboolean control_is_current (Control *control, GmTime since);
