/* Simulated callers of the fuzzer, and the oracle that checks their answers.

   Every session writes postings to a ledger of its own, each under a request
   id.  The oracle records which requests were acknowledged, which were refused
   and which have an unknown outcome, and compares the record with the results
   of reads and, at the end, with the primary's log.  */
#pragma once
#include "world.h"

#define SESSIONS 8

typedef struct Oracle Oracle;

Oracle *oracle_new (World *w);
void oracle_free (Oracle *o);
/* Starts a request of session S, chosen by R, unless S still waits for an
   answer.  */
void oracle_session_step (Oracle *o, guint s, GmRandom *r);
/* Submits a configuration chosen by R: a new one, an earlier one again, or two
   that compete for the same number.  */
void oracle_operator_step (Oracle *o, GmRandom *r);
/* Submits the first configuration.  Returns whether a configuration has been
   accepted; call this function again until one has.  */
gboolean oracle_configure (Oracle *o);
/* Checks the invariants that hold at any time.  */
void oracle_check (Oracle *o);
/* Checks the final state, some time after all faults have ended.  */
void oracle_final (Oracle *o);
/* Appends to OUT the number of requests of each type and of answers of each
   kind.  */
void oracle_print (const Oracle *o, GString *out);
