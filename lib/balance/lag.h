/* How long after a position's time a replica has it, learned from reads that
   needed a position.  */
#pragma once
#include "base/clock.h"

/* Zeroed at the start: replicas are expected to have every position.  */
typedef struct
{
  GmTime lag;
} BlLag;

/* Records a read that needed the position of the time AT and was answered at
   NOW: the replica LACKED the position, or had it.  */
void bl_note_lag (BlLag *lag, GmTime now, GmTime at, gboolean lacked);
/* How long after NOW the replica is expected to have the position of the time
   AT; 0: it has it.  */
GmTime bl_lag_delay (const BlLag *lag, GmTime now, GmTime at);
