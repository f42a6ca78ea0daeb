/* Types and functions shared by the files of lib/control; private to that
   directory.

   control.c: the log's commands, leadership.  proposals.c: proposals and their
   answers.  feed.c: updates of the control state for subscribers.  */
#pragma once
#include "control.h"

/* A host that reads the control state from this control host.  */
typedef struct
{
  guint64 link;
  char *host;
  guint64 incarnation;
  guint64 sent_version;    /* version of the state that it was last sent */
  guint64 heartbeat_clock; /* its own clock in its last heartbeat */
  GmTime last_config_sent; /* 0: no configuration was sent yet */
} Subscriber;

/* The last update message, reused for subscribers that lack the same
   versions.  */
typedef struct
{
  guint64 first; /* first version in it; 0: the whole state at last */
  guint64 last;
  gboolean empty;      /* no message is cached */
  gboolean has_config; /* it contains a configuration */
  WmMessage message;
} CachedUpdate;

typedef struct Proposal Proposal;

struct CoCore
{
  char *host;
  ClCore *log;
  CsState *state;
  MbCore *members;
  FoCore *failover;
  ToCore *takeover;       /* NULL: the failover core decides */
  GPtrArray *subscribers; /* Subscriber * */
  GPtrArray *proposals;   /* Proposal *, not yet answered */
  GQueue sends;           /* CoSend * */
  CachedUpdate update;
  guint64 other_version; /* last version whose entry is no configuration */
  guint voters_min;
  gboolean is_leader;
  guint64 candidate_term; /* of the last election that this host called */
  gboolean disk_failed;
  gboolean first_stamps_sent; /* since this host started */
  GmTime next_expiry_check;   /* next check for silent hosts */
};

/* control.c  */
/* Queues a copy of M for the accepted LINK, or, when LINK is 0, for the
   control host TO.  */
void co_queue_send (CoCore *core, guint64 link, const char *to,
                    const WmMessage *m);

/* proposals.c  */
/* Returns an empty array for open proposals.  */
GPtrArray *co_proposals_new (void);
/* Handles the proposal P that came on LINK, or of this host itself if LINK is
   0, at the leader.  A configuration that supersedes all lower ones gets no
   entry of its own if its number, or a higher one, is in force or in an entry
   on its way; it is then answered with that one.  */
void co_propose (CoCore *core, GmTime now, guint64 link,
                 const struct wm_propose *p);
/* Answers P, which came on LINK, with STATUS and the state's VERSION.  */
void co_answer_proposal (CoCore *core, guint64 link,
                         const struct wm_propose *p, const GmStatus *status,
                         guint64 version);
/* Answers the proposals that wait for the entry at INDEX, which was applied
   with OUTCOME.  */
void co_answer_proposals (CoCore *core, guint64 index,
                          const GmStatus *outcome);
/* Answers all open proposals with an unknown outcome: their entries may or may
   not commit under the next leader.  */
void co_fail_proposals (CoCore *core);
/* Drops the answers for LINK, which is closed.  */
void co_forget_proposer (CoCore *core, guint64 link);

/* feed.c  */
/* Frees the cached update message.  */
void co_update_clear (CoCore *core);
void co_subscriber_free (Subscriber *subscriber);
/* The subscriber on LINK, or NULL.  */
Subscriber *co_find_subscriber (const CoCore *core, guint64 link);
/* Handles the heartbeat BEAT of the subscriber on LINK, which it adds if it is
   new; answers with the versions that it lacks and a stamp.  */
void co_handle_heartbeat (CoCore *core, GmTime now, guint64 link,
                          const struct wm_subscribe *beat);
/* Sends the subscribers the versions that they lack.  When a quorum confirms
   this host for the first time, also sends them a stamp.  */
void co_update_subscribers (CoCore *core, GmTime now);
