/* Serves operators' requests and the metrics over HTTP.  */
#pragma once
#include "daemon.h"

typedef struct Operator Operator;

/* Starts the task; NULL and STATUS when it can't listen.  */
Operator *operator_new (Daemon *daemon, GmStatus *status);
