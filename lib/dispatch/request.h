/* A request at the dispatcher, from submission to its answer.

   The dispatch core owns a request between dp_submit and the DP_ANSWER action;
   the receiver of that action frees the request with dp_request_free.  */
#pragma once
#include "base/clock.h"
#include "base/kind.h"
#include "conf/declaration.h"
#include "token/token.h"
#include "wire/message.h"

typedef enum
{
  DP_READ,
  DP_WRITE,
  DP_BEGIN,
  DP_STATEMENT,
  DP_COMMIT,
  DP_ROLLBACK,
  DP_OUTCOME, /* look up whether a request id is recorded */
  DP_OPERATION_COUNT
} DpOperation;

#define DP_DEADLINE_MAX ((guint64)(600 * GM_SECOND))
#define DP_ANY_AGE ((GmTime)-1)
#define DP_ID_MAX 64 /* bytes of a database's id, with the final NUL */

typedef struct
{
  /* Set by the submitter.  */
  gpointer owner;     /* not used by the core */
  guint64 sequence;   /* the owner's number for the request */
  guint64 generation; /* the owner's number for the attempt */
  DpOperation operation;
  CfRank rank;
  char *service;
  const char *customer; /* whose share of the queue it uses, or NULL; not
                           owned */
  char *request_id;
  char *statement;
  GBytes *params; /* encoded by wm_strings_encode */
  GmTime arrived;
  GmTime deadline;
  GmTime due;     /* target time of the answer; 0: the deadline */
  gint64 worth;   /* under overload, requests worth less are refused first */
  GmTime max_age; /* of the data in the answer, or DP_ANY_AGE */
  gboolean repeatable; /* may be sent again after its connection is lost */
  gboolean session;    /* required comes from a verified session token */
  TkPoint required;    /* position that the answer must include */
  guint64 transaction; /* 0: none */

  /* Kept by the core.  */
  GmTime cost;               /* estimated service time */
  gboolean late;             /* can't be answered by the time due */
  GmTime primary_allowed_at; /* when a read may go to the primary */
  GList queue_link;          /* in its queue; data is the request */
  gpointer service_queue;    /* the service's queue that holds it, or NULL */
  gpointer connection;       /* that the request runs on, or NULL */
  GmTime started;
  guint64 sent_in_term;
  guint attempts;
  /* An attempt was sent, so the answer must not claim "not run".  */
  gboolean maybe_ran;
  /* The outcome of an earlier attempt is being looked up in a later term.  */
  gboolean resolving_outcome;
  gboolean id_absent;       /* the lookup did not find the request id */
  TkPoint point_to_confirm; /* answered once a majority holds this point */
  /* The submitted operation; operation is DP_OUTCOME during a lookup.  */
  DpOperation original_operation;

  /* The answer.  */
  GmKind kind;
  char message[GM_MESSAGE_MAX];
  guint64 retry_ms;
  TkPoint seen;
  char database[DP_ID_MAX];
  gboolean replica;
  GBytes *rows;
} DpRequest;

/* Returns the target time of an answer with DEADLINE under the declaration of
   SERVICE, or 0 when SERVICE has no target before the deadline.  */
GmTime dp_due (const CfService *service, GmTime deadline);
/* Returns an empty request; every string may stay NULL.  */
DpRequest *dp_request_new (void);
/* Returns the request described by the message EXEC and the declaration of
   SERVICE.  */
DpRequest *dp_request_from (const struct wm_exec *exec,
                            const CfService *service, GmTime now);
/* Fills RESULT with the answer of REQUEST.  RESULT borrows its strings from
   REQUEST.  */
void dp_request_result (const DpRequest *request, WmMessage *result);
/* Frees REQUEST, which must be in no queue.  */
void dp_request_free (DpRequest *request);
