/* The entry role: callers' requests over HTTP.  */
#pragma once
#include "daemon.h"

typedef struct Entry Entry;

/* Starts the task; NULL and STATUS when it can't listen.  */
Entry *entry_new (Daemon *daemon, GmStatus *status);
