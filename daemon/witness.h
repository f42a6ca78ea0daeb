/* The connection to a copy of a group, over which a pool asks for the copy's
   position.  */
#pragma once
#include "dbapi/dbapi.h"

typedef struct Witness Witness;

/* How a question ended: ANSWERED with the TERM of the last entry that the copy
   ID has received, or not at all.  The witness may be freed in this call, and
   must not be used after a question without an answer.  */
typedef void (*WitnessHandler) (gpointer owner, const char *id,
                                gboolean answered, guint64 term);

/* Opens a connection to TARGET, which is copied.  */
Witness *witness_new (DbOpen open, const DbTarget *target,
                      WitnessHandler handler, gpointer owner);
/* Closes the connection; a question in flight is not reported.  */
void witness_free (Witness *witness);
/* Asks for the position; no other question may be in flight.  */
void witness_ask (Witness *witness);
