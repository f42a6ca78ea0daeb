/* The pool role: the queues and connections of the databases that this host
   holds.  */
#pragma once
#include "daemon.h"
#include "dbapi/dbapi.h"

typedef struct Pools Pools;

/* Starts the task; OPEN is the driver of its databases.  */
Pools *pools_new (Daemon *daemon, DbOpen open);
