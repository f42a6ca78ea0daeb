/* Callers' sessions and what they were told: the simple oracle.

   Every session posts to a ledger of its own under request ids.  What was
   acknowledged, refused or left unknown is noted and compared with what reads
   show and, at the end, with the surviving log.  */
#pragma once
#include "world.h"

#define SESSIONS 8

typedef struct Oracle Oracle;

Oracle *oracle_new (World *w);
void oracle_free (Oracle *o);
/* One step of session S, chosen by R, if it waits for nothing.  */
void oracle_session_step (Oracle *o, guint s, GmRandom *r);
/* An operator's step: submits, races or resends a configuration.  */
void oracle_operator_step (Oracle *o, GmRandom *r);
/* The first configuration; to be called until it is accepted.  */
gboolean oracle_configure (Oracle *o);
/* Checks that hold at any time.  */
void oracle_check (Oracle *o);
/* Checks once all faults are healed and time has passed.  */
void oracle_final (Oracle *o);
/* Answers of each sort that callers got, for the summary.  */
void oracle_print (const Oracle *o, GString *out);
