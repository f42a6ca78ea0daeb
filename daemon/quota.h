/* The caps on customers' operations: this host lends from its part of
   customers' budgets, and takes operations for its own callers' statements.

   See docs/design/quota.md.  Does nothing where the settings have no window.
 */
#pragma once
#include "daemon.h"
#include "peers.h"
#include "quota/borrower.h"

typedef struct Quota Quota;

/* Called with the decision on a waiting operation.  */
typedef void (*QuotaAnswer) (const QtDecision *decision, gpointer data);

/* Starts the task.  */
Quota *quota_new (Daemon *daemon);
/* Sends requests to other hosts over the links of PEERS.  */
void quota_use_links (Quota *quota, Peers *peers);
/* Takes an operation of CUSTOMER, NULL or "" for none, and fills in DECISION.
   If that is QT_WAITING, ANSWER is called after this function has returned,
   unless quota_cancel is called before.  */
void quota_take (Quota *quota, const char *customer, QuotaAnswer answer,
                 gpointer data, QtDecision *decision);
/* Cancels the waiting operation NUMBER of CUSTOMER.  */
void quota_cancel (Quota *quota, const char *customer, guint64 number);
/* The operation of CUSTOMER that was taken from LOT has not run.  */
void quota_give_back (Quota *quota, const char *customer, guint64 lot);
/* Appends the use of the customers whose budgets are largest used at this
   lender to OUT in the Prometheus text format.  */
void quota_print_metrics (Quota *quota, GString *out);
/* Returns the same of all customers as a JSON text; free it with g_free.  */
char *quota_describe (Quota *quota);
