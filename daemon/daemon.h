/* The daemon's tasks.  Each task owns its sockets and its state; they meet
   only in the calls below, all on one main context.  */
#pragma once
#include "base/event.h"
#include "cstate/cstate.h"
#include "wire/link.h"

typedef struct Daemon Daemon;
typedef struct Control Control;
typedef struct Subscription Subscription;
typedef struct Dispatcher Dispatcher;
typedef struct Entry Entry;
typedef struct Operator Operator;

struct Daemon
{
  const CfSettings *settings;
  const GmClock *clock;
  LkIdentity identity;
  LkServer *server;
  GHashTable *links;   /* number -> LkLink, the accepted ones that are up */
  GHashTable *numbers; /* LkLink -> number */
  guint64 next_link;
  Control *control; /* NULL without the role */
  Subscription *subscription;
  Dispatcher *dispatcher; /* NULL without the role */
  Entry *entry;           /* NULL without the role */
  Operator *operator_;
  GMainLoop *loop;
  gboolean draining;
  guint drain_timer;
  GmTime drain_until;
};

/* Starts all tasks of the settings' roles.  BOOTSTRAP makes an empty data
   folder the first of a new control group.  */
Daemon *daemon_new (const CfSettings *settings, gboolean bootstrap,
                    GmStatus *status);
void daemon_free (Daemon *daemon);
/* Begins a planned stop: no new work, then the end of the main loop once
   nothing is in progress or the drain time has passed.  */
void daemon_drain (Daemon *daemon);
GmTime daemon_now (const Daemon *daemon);
/* The accepted link with NUMBER, or NULL when it has closed.  Numbers are
   never used twice.  */
LkLink *daemon_link (const Daemon *daemon, guint64 number);

/* control.c: the replicated log, membership and failover decisions.  */
Control *control_new (Daemon *daemon, gboolean bootstrap, GmStatus *status);
void control_free (Control *control);
/* A message that came on an accepted link.  */
void control_message (Control *control, guint64 number, LkLink *link,
                      const WmMessage *m);
void control_link_down (Control *control, guint64 number);

/* subscription.c: this host's copy of the control state.  */
Subscription *subscription_new (Daemon *daemon);
void subscription_free (Subscription *subscription);
const CsState *subscription_state (const Subscription *subscription);
/* Whether the copy is known to be current, so that work may be taken.  */
gboolean subscription_is_fresh (const Subscription *subscription);
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

/* dispatcher.c: queues and connections of the groups that this host owns.  */
Dispatcher *dispatcher_new (Daemon *daemon);
void dispatcher_free (Dispatcher *dispatcher);
void dispatcher_message (Dispatcher *dispatcher, guint64 number,
                         const WmMessage *m);
/* The control state changed.  */
void dispatcher_state_changed (Dispatcher *dispatcher);
/* Requests and transactions in progress.  */
guint dispatcher_open (const Dispatcher *dispatcher);

/* entry.c: callers' requests.  */
Entry *entry_new (Daemon *daemon, GmStatus *status);
void entry_free (Entry *entry);
void entry_state_changed (Entry *entry);
guint entry_open (const Entry *entry);

/* operator.c: operators' requests.  */
Operator *operator_new (Daemon *daemon, GmStatus *status);
void operator_free (Operator *operator_);
