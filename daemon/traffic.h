/* Logs the rates at which the process sends and receives, so that the log
   shows a saturated link next to the statements that it delayed.  */
#pragma once
#include "daemon.h"

/* Adds the task to DAEMON.  */
void traffic_new (Daemon *daemon);
