/* Statements to the pools of other hosts, and their answers.

   One link to each host, dialed when it is first needed.  A request waits for
   its link to come up, is answered exactly once, and is given up at its
   time.  A host that falls silent is noticed before its link closes.  */
#pragma once
#include "daemon.h"
#include "session/liveness.h"

typedef struct Peers Peers;

/* How a request ended: DONE is NULL when its link closed, its time was up, or
   the host has fallen silent and what was asked has no lasting effect.  SENT
   says whether it may have arrived then.  DONE is borrowed.  */
typedef void (*PeersAnswer) (const struct wm_statement_done *done,
                             gboolean sent, gpointer data);

/* Starts the task.  */
Peers *peers_new (Daemon *daemon);
/* Which hosts are silent; owned by PEERS.  */
const LvCore *peers_liveness (const Peers *peers);
/* Sends STATEMENT, whose sequence is filled in here, to HOST at ADDRESS;
   ANSWER is called later, never from within.  Returns the request's number.
   With ANSWER NULL no answer is asked for.  */
guint64 peers_send (Peers *peers, const char *host, const char *address,
                    WmMessage *statement, GmTime until, PeersAnswer answer,
                    gpointer data);
/* Nobody waits for the request's answer any more.  */
void peers_forget (Peers *peers, guint64 number);
