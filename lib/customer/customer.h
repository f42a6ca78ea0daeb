/* Whose statements a caller's key allows, as far as this host knows.

   A key belongs to a customer of the declaration in force.  Where a withdrawn
   key must stop working within a bound, the host accepts keys only under a
   lease: while its control stamp is younger than the bound less a margin.  It
   then knows every declaration that was acknowledged earlier than the bound
   before the statement was sent.

   A host that was suspended often gets a newer stamp shortly after it
   continues.  So for a short time after the lease ended, statements wait for
   a stamp instead of being refused.

   This module uses no clock and no sockets.  */
#pragma once
#include "conf/declaration.h"

/* Subtracted from the revocation bound: the time from the acknowledgement of a
   declaration to the confirmation that a stamp stands for, and the difference
   in rate of two clocks.  At most half of the bound.  */
#define CU_LEASE_MARGIN (300 * GM_MS)
/* Longest wait for a newer stamp: two heartbeats and a change to another
   control host.  */
#define CU_STAMP_WAIT (500 * GM_MS)

typedef enum
{
  CU_LEASE_HOLDS,
  CU_LEASE_LAPSED, /* a newer stamp may be on its way */
  CU_LEASE_ENDED   /* no key is accepted */
} CuLeaseState;

/* A host's lease on its knowledge of keys.  Set revocation and leave the rest
   0.  */
typedef struct
{
  GmTime revocation; /* the bound; 0: the lease always holds */
  GmTime lapsed_at;  /* 0: the lease holds */
} CuLease;

/* Returns the state of LEASE at NOW, when the control stamp has the age
   STAMP_AGE.  */
CuLeaseState cu_lease_check (CuLease *lease, GmTime now, GmTime stamp_age);

typedef enum
{
  CU_ACCEPTED,    /* for the customer found, or for none */
  CU_UNKNOWN_KEY, /* the service needs a key of a customer */
  CU_WAIT,        /* ask again after the next stamp */
  CU_STALE        /* this host can't tell */
} CuVerdict;

/* Decides on a statement of SERVICE whose caller presented the key with the
   digest KEY (NULL: none); SERVICE is NULL if it is not declared.  Stores in
   CUSTOMER the customer that the statement runs for, owned by DECLARATION, or
   NULL.  */
CuVerdict cu_identify (const CfDeclaration *declaration,
                       const CfService *service, const CfKeyDigest *key,
                       CuLeaseState lease, const CfCustomer **customer);
/* Whether a key that was presented at PRESENTED may belong to a declaration
   that this host has not received yet: its stamp, of the time STAMPED, is
   older, and CU_STAMP_WAIT has not passed at NOW.  */
gboolean cu_may_be_new (GmTime now, GmTime presented, GmTime stamped);
/* Like cu_identify, for a key that was PRESENTED when a session started:
   CU_WAIT as well while the key may be new.  */
CuVerdict cu_identify_new (const CfDeclaration *declaration,
                           const CfService *service, const CfKeyDigest *key,
                           CuLeaseState lease, GmTime now, GmTime presented,
                           GmTime stamped);
