/* A control state for tables: one group, its three databases and the hosts
   that hold their queues.  */
#pragma once
#include "cstate/cstate.h"

/* The state in which DECLARATION, which names a group "g", is in force; db0 of
   dc0 leads, host0 to host2 hold the queues of db0 to db2.  */
CsState *three_databases (const char *declaration);
