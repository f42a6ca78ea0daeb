/* How customers share the connections of a pool and the transactions that may
   be open in it.

   Each active customer is entitled to an even part of both.  What the others
   leave idle can be borrowed.  A borrowed connection is given back as soon as
   it is idle.  A borrowed transaction can't be taken back, so a customer
   borrows one only while the parts of the other active customers stay free,
   and a reserve for customers that are not active yet.

   Pure functions of counts that the pool keeps.  */
#pragma once
#include <glib.h>

/* What one customer uses.  */
typedef struct
{
  guint connections;  /* in all states, handshakes too */
  guint idle;         /* of these */
  guint waiting;      /* its requests in the queue */
  guint transactions; /* open or being begun */
  gboolean is_active; /* it has sent requests recently */
} AlUse;

/* What all customers of the pool use together.  */
typedef struct
{
  guint connections_max;
  guint transactions_max; /* that may be open at once */
  guint active;           /* customers with recent requests */
  guint beginners;        /* customers with recent transactions */
  guint transactions;     /* open or being begun */
  guint promised; /* transactions that the beginners may still begin within
                     their parts */
  gboolean
      turn_is_due; /* a connection that its owner needs may change hands,
                      if there are more active customers than connections */
} AlPool;

/* Returns the connections, or transactions, that one customer is entitled
   to; at least 1.  */
guint al_connections (const AlPool *pool);
guint al_transactions (const AlPool *pool);
/* Returns how many more transactions a customer with USE may begin within its
   part.  */
guint al_promise (const AlPool *pool, const AlUse *use);
/* Whether a customer with USE, one of the beginners, may begin another
   transaction.  */
gboolean al_may_begin (const AlPool *pool, const AlUse *use);
/* How readily a connection is closed for another customer's, in ascending
   order.  */
typedef enum
{
  AL_NEVER,
  AL_IN_TURN,     /* its owner needs it, as do more customers than there are
                     connections */
  AL_WITHIN_PART, /* its owner has no more than its part, but more than the
                     asker */
  AL_CLAIMED,     /* borrowed, and a request of its owner waits for it */
  AL_SPARE        /* borrowed, or of an owner without recent requests */
} AlYield;

/* Returns how readily an idle connection of a customer with OWNER is closed to
   make room for a connection of a customer with ASKER.  */
AlYield al_yields (const AlPool *pool, const AlUse *owner, const AlUse *asker);
