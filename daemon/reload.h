/* Reads the settings file again at SIGHUP and when the file changes.  The list
   of control hosts and the log level take effect at once.  Other changes take
   effect at the next start, which the log says.  A file that is refused
   changes nothing.  */
#pragma once
#include "daemon.h"

typedef struct Reload Reload;

/* Starts the task, which polls the file PATH.  SETTINGS are DAEMON's, as read
   from PATH, and are updated in place.  */
Reload *reload_new (Daemon *daemon, const char *path, CfSettings *settings);
/* Reads the file now and applies what has changed.  */
void reload_now (Reload *reload);
