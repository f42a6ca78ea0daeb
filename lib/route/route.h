/* Routes requests from the entry host to the dispatcher of their group and
   returns the results.

   A request is sent again only if nothing of it was sent before, if a
   dispatcher answered that the request did not run, or if the request has no
   side effects.  After an attempt was lost, no answer says "not run".

   No I/O: the event loop opens links, sends messages and reports the state of
   links.  */
#pragma once
#include "cstate/cstate.h"
#include "dispatch/request.h"

#define RQ_RETRY_DELAY (10 * GM_MS)
#define RQ_RECONNECT_DELAY (50 * GM_MS)
/* Time to wait for the dispatcher's answer after the deadline.  */
#define RQ_ANSWER_GRACE (300 * GM_MS)

typedef struct
{
  gpointer owner; /* for the submitter, not used by the core */
  GmTime deadline;
  WmMessage exec;
  char *dispatcher; /* host on which the transaction is open, or NULL */
  guint64 dispatcher_incarnation;

  /* Kept by the core.  */
  guint64 sequence;
  guint64 generation; /* number of the current attempt */
  char *sent_to;      /* host of the current attempt, or NULL */
  gboolean maybe_ran; /* an earlier attempt was lost */
  GmTime retry_at;
} RqRequest;

typedef enum
{
  RQ_CONNECT,    /* connect to host at address */
  RQ_DISCONNECT, /* close the link to host */
  RQ_SEND,       /* send request's exec to host, or call rq_not_sent */
  RQ_END         /* request has ended with result; the receiver frees both */
} RqActionType;

typedef struct
{
  RqActionType type;
  char *host;    /* owned by the receiver */
  char *address; /* owned by the receiver */
  RqRequest *request;
  WmMessage result;
} RqAction;

typedef struct RqCore RqCore;

RqCore *rq_new (void);
void rq_free (RqCore *core);
RqRequest *rq_request_new (void);
void rq_request_free (RqRequest *request);
/* Submits REQUEST, which the core owns until RQ_END.  */
void rq_submit (RqCore *core, GmTime now, const CsState *state,
                RqRequest *request);
/* Reports that the link to HOST is up, or has closed.  */
void rq_link_up (RqCore *core, GmTime now, const CsState *state,
                 const char *host);
void rq_link_down (RqCore *core, GmTime now, const char *host);
/* Reports that RQ_SEND failed and nothing of REQUEST was sent.  */
void rq_not_sent (RqRequest *request, GmTime now);
/* Reports the RESULT message M from HOST.  Returns FALSE when no request waits
   for M.  */
gboolean rq_receive (RqCore *core, GmTime now, const char *host,
                     const WmMessage *m);
/* Applies the changed control state STATE, in which groups may have moved to
   other dispatchers.  */
void rq_state (RqCore *core, GmTime now, const CsState *state);
/* Handles deadlines and retries that are due at NOW.  */
void rq_tick (RqCore *core, GmTime now, const CsState *state);
/* Stores the next action in ACTION; returns FALSE when there is none.  */
gboolean rq_take_action (RqCore *core, RqAction *action);
void rq_action_clear (RqAction *action);
/* Returns the number of requests that have not ended.  */
guint rq_count (const RqCore *core);
/* Returns the signed text by which callers refer to transaction NUMBER of
   GROUP on HOST; free it with g_free.  */
char *rq_transaction_print (const CsState *state, const char *host,
                            const char *group, guint64 number,
                            const char *key);
/* Makes REQUEST part of the transaction named by TEXT.  Returns FALSE when
   TEXT was not signed with KEY or its dispatcher is no longer running.  */
gboolean rq_transaction_join (RqRequest *request, const CsState *state,
                              const char *text, const char *key);
