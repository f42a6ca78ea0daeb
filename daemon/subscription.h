/* This host's copy of the control state, and its requests to the leader.  */
#pragma once
#include "cstate/cstate.h"
#include "daemon.h"

/* Starts the task and makes it DAEMON's subscription.  */
Subscription *subscription_new (Daemon *daemon);
const CsState *subscription_state (const Subscription *subscription);
/* Whether the copy is known to be current, so that work may be taken.  */
gboolean subscription_is_fresh (const Subscription *subscription);
/* Whether this host has been without news from control for a while.  */
gboolean subscription_is_cut_off (const Subscription *subscription);
/* Tells the control hosts at once, as after a drain began.  */
void subscription_beat (Subscription *subscription);
/* Sends towards the leader; FALSE when there is no link to a control host.  */
gboolean subscription_send (Subscription *subscription, const WmMessage *m);

/* How a request to the leader ended; message is borrowed.  */
typedef void (*SubscriptionAnswer) (GmKind kind, const char *message,
                                    GBytes *text, gpointer data);
/* Sends M, a PROPOSE, STATUS_ASK or VOTER whose sequence and host are filled
   in here, and reports its answer exactly once.  */
void subscription_ask (Subscription *subscription, WmMessage *m,
                       SubscriptionAnswer answer, gpointer data);
