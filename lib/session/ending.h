/* When a session ends during a planned stop.

   A session ends where nothing is owed to its caller: in a pause outside a
   transaction, with every statement that has arrived answered.  Other hosts
   then serve the caller, which lost nothing.  A caller without pauses would
   find its next statement cut off, so that one is refused as not run before
   the session ends, as late as the stop allows.  A transaction goes on while
   its statements come.  At the end of the stop, what still runs is answered as
   lost.

   A statement may be on its way while its session ends.  So the caller is told
   of the end by a notice, which is an error that promises that nothing ran.
   The caller of a statement that crosses it takes the notice for the answer;
   further statements that were on their way are refused one by one.

   This module does no input or output: the caller reports the state of each
   session and carries out the verdict.  */
#pragma once
#include "session.h"

/* A caller that sends one statement after the other has sent the next one by
   then: several round trips.  */
#define SE_PAUSE (50 * GM_MS)
/* The same for the first statement, before which the caller may do work of its
   own.  */
#define SE_FIRST_PAUSE (500 * GM_MS)
/* A transaction that pauses for so long may be given up.  */
#define SE_TRANSACTION_PAUSE (500 * GM_MS)

/* Times since the start of the stop.  */
typedef struct
{
  GmTime close_idle;       /* until then the balancer may send callers */
  GmTime end_transactions; /* until then transactions may pause */
  GmTime refuse;           /* from then on statements that begin are refused */
  GmTime give_up;          /* from then on nothing is waited for */
} SeTimes;

/* A session as it is now.  */
typedef struct
{
  SnState state;
  gboolean in_flight; /* a statement is not answered yet */
  gboolean has_input; /* bytes of the caller wait to be read or handled */
  gboolean served;    /* a statement has been answered */
  GmTime quiet;       /* time since the last answer */
} SeSession;

typedef enum
{
  SE_GO_ON,
  SE_END,    /* close the session */
  SE_REFUSE, /* refuse the statements that have arrived, then close it */
  SE_GIVE_UP /* answer the statement in flight as lost */
} SeVerdict;

/* Decides on SESSION when the stop has gone on for SPENT.  */
SeVerdict se_decide (const SeTimes *times, GmTime spent,
                     const SeSession *session);

/* The notice of a session's end.  */
typedef struct
{
  GmKind kind;
  gboolean taken; /* a statement took it for its answer */
} SeNotice;

typedef enum
{
  SE_REST, /* the notice was the answer: only what follows an error is sent */
  SE_WHOLE /* answer with the error of the notice, and what follows it */
} SeReply;

/* Returns the notice for a session that ends in STATE because of REASON.  An
   open transaction is rolled back.  */
SeNotice se_notice (SnState state, GmKind reason);
/* Returns how a statement that arrives after NOTICE is answered.  */
SeReply se_reply (SeNotice *notice);
