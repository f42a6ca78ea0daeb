/* Serves operators' requests and the metrics over HTTP.  */
#pragma once
#include "daemon.h"
#include "quota.h"

typedef struct Operator Operator;

/* Starts the task; QUOTA is NULL where this host lends nothing.  NULL and
 * STATUS when it can't listen.  */
Operator *operator_new (Daemon *daemon, Quota *quota, GmStatus *status);
