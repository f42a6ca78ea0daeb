/* A request as the dispatcher holds it, from submission to its answer.

   The dispatch core owns a request between dp_submit and the DP_ANSWER action;
   whoever takes that action frees it with dp_request_free.  */
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
  DP_OUTCOME,
  DP_OPERATION_COUNT
} DpOperation;

#define DP_DEADLINE_MAX ((guint64)(600 * GM_SECOND))
#define DP_ANY_AGE ((GmTime)-1)
#define DP_ID_MAX 64 /* bytes of a database's id, with the final NUL */

typedef struct
{
  /* Set by the submitter.  */
  gpointer owner;     /* not touched by the core */
  guint64 sequence;   /* the owner's number for it */
  guint64 generation; /* the owner's generation */
  DpOperation operation;
  CfRank rank;
  char *service;
  char *request_id;
  char *statement;
  GBytes *params; /* block of strings */
  GmTime arrived;
  GmTime deadline;
  GmTime due; /* an answer is worth most until then; 0: until the deadline */
  gint64 worth;
  GmTime max_age; /* DP_ANY_AGE, or the age that the answer may have */
  gboolean repeatable;
  gboolean session;    /* required comes from a token that was checked */
  TkPoint required;    /* what the answer must include */
  guint64 transaction; /* 0: none */

  /* Kept by the core.  */
  GmTime cost;          /* estimated service time */
  gboolean late;        /* it can't be answered by the time due */
  GmTime primary_after; /* a read may go to the primary from then on */
  GList link;           /* in its queue; data is the request */
  gpointer queue;       /* the service queue that holds it, or NULL */
  gpointer connection;  /* that it runs on, or NULL */
  GmTime started;
  guint64 run_term; /* term in which it was sent */
  guint attempts;
  gboolean maybe_ran;   /* it was sent once: "not run" would be untrue */
  gboolean resolving;   /* its outcome is being looked up in a later term */
  gboolean absent;      /* the lookup found no trace of it */
  TkPoint written;      /* to be confirmed by replicas */
  DpOperation original; /* what the caller asked, while resolving */

  /* The answer.  */
  GmKind kind;
  char message[GM_MESSAGE_MAX];
  guint64 retry_ms;
  TkPoint seen;
  char database[DP_ID_MAX];
  gboolean replica;
  GBytes *rows;
} DpRequest;

/* When an answer under the rules of SERVICE, wanted by DEADLINE, is due; 0: it
   is worth the same until then.  */
GmTime dp_due (const CfService *service, GmTime deadline);
/* An empty request; every string may stay NULL.  */
DpRequest *dp_request_new (void);
/* The request that EXEC asks for under the rules of SERVICE.  */
DpRequest *dp_request_from (const struct wm_exec *exec,
                            const CfService *service, GmTime now);
/* Makes RESULT the answer of REQUEST; it borrows from REQUEST.  */
void dp_request_result (const DpRequest *request, WmMessage *result);
/* Frees REQUEST, which must be in no queue.  */
void dp_request_free (DpRequest *request);
