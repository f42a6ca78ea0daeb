/* Budget of the bytes that a process buffers for its callers, and of their
   connections.  Decides which connection is closed when one of them is short;
   the owner closes it.

   Memory is taken first from the connections that hold most (by powers of two)
   and, among these, from those that were served least and then from those that
   were opened last.  A connection whose statement is running is never chosen,
   and neither is one that holds less than half of an even share: all of these
   together hold less than half of the budget, so that closing them helps
   nobody.  A place is taken only from a connection that was never served and
   has had time to send its first statement; the oldest goes first.  */
#pragma once
#include "base/clock.h"

typedef struct WbBudget WbBudget;

/* One connection; the owner embeds it and changes only RUNNING.  */
typedef struct
{
  gsize held;     /* bytes */
  guint64 served; /* answered statements */
  GmTime opened_at;
  gboolean running; /* a statement is not answered yet */
} WbAccount;

/* A connection may be replaced by a new one after this time without a
   statement.  */
#define WB_FIRST_STATEMENT_TIME (1 * GM_SECOND)

WbBudget *wb_new (gsize bytes_max, guint connections_max);
void wb_free (WbBudget *budget);
void wb_add (WbBudget *budget, WbAccount *account, GmTime now);
/* Removes ACCOUNT with the bytes that it holds.  */
void wb_remove (WbBudget *budget, WbAccount *account);
/* ACCOUNT holds BYTES from now on.  */
void wb_hold (WbBudget *budget, WbAccount *account, gsize bytes);
/* Returns the bytes that all accounts hold.  */
gsize wb_held (const WbBudget *budget);
/* Returns whether more bytes are held than the budget allows.  */
gboolean wb_is_over (const WbBudget *budget);
/* Returns the account that must give up its bytes, or NULL if none can.  */
WbAccount *wb_choose_to_free (const WbBudget *budget);
/* Returns whether no further connection has a place.  */
gboolean wb_is_full (const WbBudget *budget);
/* Returns the account that must give up its place, or NULL if none can.  */
WbAccount *wb_choose_to_replace (const WbBudget *budget, GmTime now);
