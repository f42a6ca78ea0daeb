/* A control state for tests: one group, its three databases and the hosts that
   hold their queues.  */
#pragma once
#include "cstate/cstate.h"

/* Creates a state with the DECLARATION, which names a group "g", in force. The
   databases db0 to db2 are in dc0 to dc2, their queues are held by host0 to
   host2, and db0 is the primary.  */
CsState *three_databases (const char *declaration);
/* Adds three databases of GROUP, which is declared too, on the same hosts:
   GROUP followed by 0 to 2.  The first is the primary.  */
void three_more (CsState *state, const char *group);
/* Puts the DECLARATION with NUMBER in force.  */
void three_declare (CsState *state, guint64 number, const char *declaration);
