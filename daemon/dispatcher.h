/* The dispatcher role: queues and connections of the groups that this host
   owns.  */
#pragma once
#include "daemon.h"

typedef struct Dispatcher Dispatcher;

/* Starts the task.  */
Dispatcher *dispatcher_new (Daemon *daemon);
