/* This host's copy of the control state, and its requests to the control
   leader.  */
#pragma once
#include "cstate/cstate.h"
#include "daemon.h"

/* Starts the task and makes it DAEMON's subscription.  */
Subscription *subscription_new (Daemon *daemon);
const CsState *subscription_state (const Subscription *subscription);
/* Whether the copy is known to be current, so that work may be taken.  */
gboolean subscription_is_fresh (const Subscription *subscription);
/* Whether this host has had no stamp from a control host for SB_CUT_OFF_AFTER.
 */
gboolean subscription_is_cut_off (const Subscription *subscription);
/* The time at which the copy was known to be current.  */
GmTime subscription_stamp (const Subscription *subscription);
/* Sends a heartbeat at once instead of at the next interval, for example when
   a drain begins.  */
void subscription_heartbeat (Subscription *subscription);
/* Sends M to the control host in use, which forwards it to the leader.  FALSE
   when there is no link to a control host.  */
gboolean subscription_send (Subscription *subscription, const WmMessage *m);

/* Called with the result of a request to the leader; MESSAGE and TEXT are
   borrowed.  */
typedef void (*SubscriptionAnswer) (GmKind kind, const char *message,
                                    GBytes *text, gpointer data);
/* Sends M, a PROPOSE, STATUS_ASK or VOTER message, after filling in its
   sequence and host.  ANSWER is called exactly once, possibly from within.  */
void subscription_ask (Subscription *subscription, WmMessage *m,
                       SubscriptionAnswer answer, gpointer data);
