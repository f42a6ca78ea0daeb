/* The borrower: holds operations that lenders granted, as a local allowance by
   customer, and asks for more.

   An operation is taken from the allowance at once.  When that is empty, the
   operation waits while the lenders are asked in turn: that of the own data
   centre, then the others, the one that answers fastest first.  When more than
   half of the allowance is used, more is asked for in the background; its size
   follows the recent use.  A grant expires at a time counted from the sending
   of the request, so a host that was suspended resumes without allowance.

   A pure state machine: no clock, no sockets.  The owner sends the requests
   and carries out the decisions that qt_next returns, after each call.  */
#pragma once
#include "lender.h"

/* How long an operation waits for one lender.  */
#define QT_ASK_TIMEOUT (50 * GM_MS)

typedef struct QtBorrower QtBorrower;

typedef enum
{
  QT_TAKEN,
  QT_REFUSED,
  QT_WAITING /* qt_next returns the decision later */
} QtAnswer;

/* What became of an operation.  */
typedef struct
{
  QtAnswer answer;
  guint64 number;  /* of a waiting operation */
  guint64 lot;     /* of an operation that was taken: for qt_give_back */
  GmTime retry_in; /* of one that was refused */
} QtDecision;

typedef enum
{
  QT_SEND_ASK,
  QT_DECIDED
} QtEventType;

typedef struct
{
  QtEventType type;
  /* QT_SEND_ASK.  The strings are valid until the next call.  */
  const char *host;
  const char *link;
  const char *customer;
  guint64 sequence;
  QtAsk ask;
  /* QT_DECIDED.  */
  QtDecision decision;
} QtEvent;

/* Creates a borrower; LENDERS are borrowed.  */
QtBorrower *qt_borrower_new (const QtLenders *lenders);
void qt_borrower_free (QtBorrower *borrower);
/* Takes an operation of CUSTOMER.  */
void qt_take (QtBorrower *borrower, GmTime now, const char *customer,
              QtDecision *decision);
/* The waiting operation NUMBER of CUSTOMER is no longer wanted.  */
void qt_cancel (QtBorrower *borrower, const char *customer, guint64 number);
/* An operation that was taken from LOT is known not to have run.  */
void qt_give_back (QtBorrower *borrower, GmTime now, const char *customer,
                   guint64 lot);
/* Takes the answer to the request SEQUENCE for CUSTOMER.  */
void qt_granted (QtBorrower *borrower, GmTime now, const char *customer,
                 guint64 sequence, const QtGrant *grant);
/* The lenders have changed.  */
void qt_lenders_changed (QtBorrower *borrower, GmTime now);
/* To be called every 10 ms while qt_is_asking, and every 100 ms otherwise.  */
void qt_borrower_tick (QtBorrower *borrower, GmTime now);
/* Whether any request is in progress.  */
gboolean qt_is_asking (const QtBorrower *borrower);
/* Removes the next event.  FALSE when there is none.  */
gboolean qt_next (QtBorrower *borrower, QtEvent *event);
