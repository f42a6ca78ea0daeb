/* The control role: the replicated log, membership and failover decisions.  */
#pragma once
#include "control/control.h"
#include "daemon.h"
#include "takeover.h"

typedef struct Control Control;

/* Starts the task.  BOOTSTRAP makes an empty data folder the first of a new
   control group.  NULL and STATUS when the log can't be opened.  */
Control *control_new (Daemon *daemon, gboolean bootstrap, GmStatus *status);
/* Primaries are replaced through DRIVER, which is copied.  */
void control_take_over (Control *control, const TakeoverDriver *driver);
/* The state as this control host holds it, valid until it returns to the main
   context.  */
const CsState *control_state (const Control *control);
/* Whether that state was the newest at or after SINCE, as a quorum has
   confirmed.  */
gboolean control_is_current (Control *control, GmTime since);
