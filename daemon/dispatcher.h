/* The dispatcher role: the queues of the groups that this host owns, and the
   connections to their databases.  */
#pragma once
#include "daemon.h"

typedef struct Dispatcher Dispatcher;

/* Starts the task.  */
Dispatcher *dispatcher_new (Daemon *daemon);
