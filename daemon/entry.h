/* The entry role: takes callers' requests over HTTP and passes them on to the
   dispatchers.  */
#pragma once
#include "daemon.h"

typedef struct Entry Entry;

/* Starts the task; NULL and STATUS when it can't listen.  */
Entry *entry_new (Daemon *daemon, GmStatus *status);
