/* Sends statements to the pools of other hosts, and passes on their answers;
   and requests to hosts that lend customers' operations.

   There is one link to each host, dialed when the first statement needs it.  A
   request waits until its link is up, ends exactly once, and fails at its
   deadline.  Probes detect a silent host before its link closes.  */
#pragma once
#include "daemon.h"
#include "session/liveness.h"

typedef struct Peers Peers;

/* Called when a request ends.  DONE, which is borrowed, is the answer, or NULL
   when the link closed, the deadline passed, or the host fell silent and the
   request has no lasting effect or was not sent.  SENT then says whether the
   request may have arrived.  */
typedef void (*PeersAnswer) (const struct wm_statement_done *done,
                             gboolean sent, gpointer data);

/* Starts the task.  */
Peers *peers_new (Daemon *daemon);
/* Which hosts are silent.  The result is owned by PEERS.  */
const LvCore *peers_liveness (const Peers *peers);
/* Sends STATEMENT, after filling in its sequence, to HOST at ADDRESS.  Calls
   ANSWER once, after this function has returned, by UNTIL at the latest; with
   ANSWER NULL, the host sends no answer.  Returns the request's number.  */
guint64 peers_send (Peers *peers, const char *host, const char *address,
                    WmMessage *statement, GmTime until, PeersAnswer answer,
                    gpointer data);
/* Withdraws the request NUMBER, whose caller has gone: it is not run if it has
   not been started, and its callback is cancelled.  If an answer leaves a
   transaction open all the same, that transaction is rolled back.  */
void peers_withdraw (Peers *peers, guint64 number);
/* Called with each QUOTA_GRANT that comes; M is borrowed.  */
typedef void (*PeersGrant) (const WmMessage *m, gpointer data);
void peers_on_grant (Peers *peers, PeersGrant grant, gpointer data);
/* Sends M, a QUOTA_ASK, to HOST at ADDRESS over the same link.  Nothing tells
   whether it arrives.  */
void peers_post (Peers *peers, const char *host, const char *address,
                 const WmMessage *m);
