/* Tells in the log what the process sends and receives, so that a link that is
   full shows next to the statements that it held up.  */
#pragma once
#include "daemon.h"

/* Adds the task to DAEMON.  */
void traffic_new (Daemon *daemon);
