/* What the parts of control share; private to lib/control.

   control.c: the log's commands, proposals, leadership.  feed.c: the hosts
   that read the control state through this one.  */
#pragma once
#include "control.h"

/* A host that reads the control state through this one.  */
typedef struct
{
  guint64 link;
  char *host;
  guint64 incarnation;
  guint64 sent;   /* version up to which it was sent the state */
  guint64 beaten; /* its clock in its last heartbeat */
  GmTime fed;     /* when it was last sent a configuration; 0: never */
} Subscriber;

/* A message for subscribers, kept for those that lack the same.  */
typedef struct
{
  guint64 first; /* versions; 0: the whole state up to last */
  guint64 last;
  gboolean empty; /* nothing is kept */
  gboolean configures;
  WmMessage message;
} Feed;

struct CoCore
{
  char *host;
  ClCore *log;
  CsState *state;
  MbCore *members;
  FoCore *failover;
  ToCore *takeover;       /* NULL: failover decides */
  GPtrArray *subscribers; /* Subscriber * */
  GHashTable *proposals;  /* index -> Proposal */
  GQueue sends;           /* CoSend * */
  Feed feed;
  guint64 other; /* the last version that is no configuration */
  guint voters_min;
  gboolean led;
  gboolean failed;
  gboolean stamped; /* a quorum has confirmed this host since it started */
  GmTime expire_at; /* when the silent are looked for next */
};

/* control.c  */
/* Queues M for the link LINK, or with 0 for the control host TO.  */
void co_queue (CoCore *core, guint64 link, const char *to, const WmMessage *m);

/* feed.c  */
/* Drops the message that is kept.  */
void co_feed_clear (CoCore *core);
void co_subscriber_free (Subscriber *subscriber);
/* The subscriber on LINK, or NULL.  */
Subscriber *co_find_subscriber (const CoCore *core, guint64 link);
/* Takes the heartbeat BEAT of the subscriber on LINK, and answers it.  */
void co_subscribed (CoCore *core, GmTime now, guint64 link,
                    const struct wm_subscribe *beat);
/* Sends the subscribers what they lack, and their first stamps.  */
void co_serve_subscribers (CoCore *core, GmTime now);
