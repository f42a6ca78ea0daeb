/* A control state for tests: one group, its three databases and the hosts that
   hold their queues.  */
#pragma once
#include "cstate/cstate.h"

/* Creates a state with the DECLARATION, which names a group "g", in force. The
   databases db0 to db2 are in dc0 to dc2, their queues are held by host0 to
   host2, and db0 is the primary.  */
CsState *three_databases (const char *declaration);
