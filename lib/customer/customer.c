#include "customer.h"
#include "base/mutant.h"

/* The longest age of a stamp under the bound REVOCATION.  */
static GmTime
longest_age (GmTime revocation)
{
  return revocation - MIN (CU_LEASE_MARGIN, revocation / 2);
}

CuLeaseState
cu_lease_check (CuLease *lease, GmTime now, GmTime stamp_age)
{
  if (lease->revocation == 0 || GM_MUTANT (KEY_UNLEASED)
      || stamp_age < longest_age (lease->revocation))
    {
      lease->lapsed_at = 0;
      return CU_LEASE_HOLDS;
    }
  if (lease->lapsed_at == 0)
    lease->lapsed_at = now;
  return now < lease->lapsed_at + CU_STAMP_WAIT ? CU_LEASE_LAPSED
                                                : CU_LEASE_ENDED;
}

CuVerdict
cu_identify (const CfDeclaration *declaration, const CfService *service,
             const CfKeyDigest *key, CuLeaseState lease,
             const CfCustomer **customer)
{
  *customer = NULL;
  if (declaration->customers == NULL)
    return CU_ACCEPTED;
  const CfCustomer *holder = cf_customer_of_digest (declaration, key);
  gboolean is_public = service != NULL && service->is_public;
  if (holder == NULL && (is_public || GM_MUTANT (KEY_ANY)))
    return CU_ACCEPTED;
  if (lease != CU_LEASE_HOLDS)
    return lease == CU_LEASE_LAPSED ? CU_WAIT : CU_STALE;
  if (holder == NULL)
    return CU_UNKNOWN_KEY;
  *customer = holder;
  return CU_ACCEPTED;
}

gboolean
cu_may_be_new (GmTime now, GmTime presented, GmTime stamped)
{
  return stamped < presented && now < presented + CU_STAMP_WAIT
         && !GM_MUTANT (KEY_REFUSED_EARLY);
}

CuVerdict
cu_identify_new (const CfDeclaration *declaration, const CfService *service,
                 const CfKeyDigest *key, CuLeaseState lease, GmTime now,
                 GmTime presented, GmTime stamped)
{
  const CfCustomer *customer;
  CuVerdict verdict
      = cu_identify (declaration, service, key, lease, &customer);
  gboolean wait = verdict == CU_UNKNOWN_KEY && key != NULL
                  && cu_may_be_new (now, presented, stamped);
  return wait ? CU_WAIT : verdict;
}
