/* The control role: the replicated log, membership and failover decisions.  */
#pragma once
#include "control/control.h"
#include "daemon.h"

typedef struct Control Control;

/* Starts the task.  BOOTSTRAP makes an empty data folder the first of a new
   control group.  NULL and STATUS when the log can't be opened.  */
Control *control_new (Daemon *daemon, gboolean bootstrap, GmStatus *status);
