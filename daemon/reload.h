/* The settings file is read again at SIGHUP, and when it changes without a
   signal.  The control hosts that it names and the log's level are taken over
   at once; the rest is for the next start, and named in the log.  A file that
   is refused changes nothing.  */
#pragma once
#include "daemon.h"

typedef struct Reload Reload;

/* Watches the file PATH, from which SETTINGS, those of DAEMON, were read.  */
Reload *reload_new (Daemon *daemon, const char *path, CfSettings *settings);
/* Reads the file now; nothing happens when it is as it was.  */
void reload_now (Reload *reload);
