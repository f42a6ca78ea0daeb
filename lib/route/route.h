/* The way of a request from its entry host to the dispatcher of its group and
   back.

   A request is sent again only when nothing of it was sent before, when a
   dispatcher answered that it did not run, or when it has no effect.  Once an
   attempt was lost, no answer says "not run" any more.

   Pure: the shell dials, sends and reports what links do.  */
#pragma once
#include "cstate/cstate.h"
#include "dispatch/request.h"

#define RQ_RETRY (10 * GM_MS)
#define RQ_REDIAL (50 * GM_MS)
#define RQ_ANSWER_GRACE (300 * GM_MS) /* for the dispatcher's last answer */

typedef struct
{
  gpointer owner; /* the submitter's, not touched */
  GmTime deadline;
  WmMessage exec;
  char *dispatcher; /* host that holds the transaction, or NULL */
  guint64 dispatcher_incarnation;

  /* Kept by the core.  */
  guint64 sequence;
  guint64 generation; /* of the attempt that may be answered */
  char *sent_to;      /* host that has it, or NULL */
  gboolean maybe_ran; /* an earlier attempt was lost */
  GmTime retry_at;
} RqRequest;

typedef enum
{
  RQ_DIAL,    /* connect to host at address */
  RQ_HANG_UP, /* close the link to host */
  RQ_SEND,    /* send request's exec to host, or call rq_not_sent */
  RQ_END      /* request has ended with result; the taker frees both */
} RqActionType;

typedef struct
{
  RqActionType type;
  char *host;    /* owned by the taker */
  char *address; /* owned by the taker */
  RqRequest *request;
  WmMessage result;
} RqAction;

typedef struct RqCore RqCore;

RqCore *rq_new (void);
void rq_free (RqCore *core);
RqRequest *rq_request_new (void);
void rq_request_free (RqRequest *request);
/* Takes REQUEST, which the core owns until RQ_END.  */
void rq_submit (RqCore *core, GmTime now, const CsState *state,
                RqRequest *request);
/* The link to HOST is up, or closed.  */
void rq_link_up (RqCore *core, GmTime now, const CsState *state,
                 const char *host);
void rq_link_down (RqCore *core, GmTime now, const char *host);
/* RQ_SEND could not be carried out: nothing of REQUEST was sent.  */
void rq_not_sent (RqRequest *request, GmTime now);
/* A RESULT from HOST.  FALSE when no request waits for it.  */
gboolean rq_receive (RqCore *core, GmTime now, const char *host,
                     const WmMessage *m);
/* The control state changed: dispatchers may have moved.  */
void rq_state (RqCore *core, GmTime now, const CsState *state);
void rq_tick (RqCore *core, GmTime now, const CsState *state);
gboolean rq_take_action (RqCore *core, RqAction *action);
void rq_action_clear (RqAction *action);
guint rq_count (const RqCore *core);
/* The text by which callers name transaction NUMBER of HOST for GROUP; free it
   with g_free.  */
char *rq_transaction_print (const CsState *state, const char *host,
                            const char *group, guint64 number,
                            const char *key);
/* Makes REQUEST part of the transaction that TEXT names.  FALSE when TEXT was
   not made under KEY or its dispatcher has ended.  */
gboolean rq_transaction_join (RqRequest *request, const CsState *state,
                              const char *text, const char *key);
