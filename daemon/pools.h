/* The pool role: the queues of the databases that this host holds, and the
   connections to these databases.  */
#pragma once
#include "daemon.h"
#include "dbapi/dbapi.h"

typedef struct Pools Pools;

/* Starts the task.  OPEN opens the connections to the databases.  */
Pools *pools_new (Daemon *daemon, DbOpen open);
