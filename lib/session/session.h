/* One caller's session at its entry host: session values, prepared statements,
   the transaction, and the routing of each statement to a database.

   Session values and prepared statements are kept here and sent with each
   statement.  A transaction begins at a database with its first statement, so
   that a pause after BEGIN holds no connection.  A statement is retried only
   when it had no effect; if it may have had one, the caller is told so.

   This module does no input or output: the caller sends what a step says and
   reports how it ended.  */
#pragma once
#include "customer/customer.h"
#include "dispatch/dispatch.h"
#include "router.h"

#define SN_VALUES_MAX 64 /* session values; each statement carries all */
#define SN_VALUES_BYTES_MAX 16384
#define SN_PREPARED_MAX 512
#define SN_ATTEMPTS_MAX 6 /* DP_ATTEMPTS_MAX and one more for each replica */
/* Longest wait of a statement for a new primary or holder, from its arrival:
   less than half of the shortest deadline of a caller.  */
#define SN_PRIMARY_WAIT_MAX (250 * GM_MS)
#define SN_PRIMARY_RETRY (25 * GM_MS)
/* About the time of a control decision.  */
#define SN_RETRY_DELAY (15 * GM_MS)
/* Time after a statement's deadline for the pool's own answer to arrive.  */
#define SN_ANSWER_GRACE (300 * GM_MS)

typedef enum
{
  SN_READ,
  SN_WRITE,
  SN_EXECUTE,
  SN_BEGIN,
  SN_COMMIT,
  SN_ROLLBACK,
  SN_SET,
  SN_PREPARE,
  SN_DEALLOCATE
} SnVerb;

/* A parsed statement.  It owns its strings.  */
typedef struct
{
  SnVerb verb;
  char *id;
  char *text;         /* as the caller sent it */
  char *name;         /* of the value or prepared statement */
  char *argument;     /* value, shape, or arguments of the execution */
  gboolean read_only; /* BEGIN */
  gboolean writes;    /* PREPARE */
} SnStatement;

void sn_statement_clear (SnStatement *statement);

typedef enum
{
  SN_NO_TRANSACTION,
  SN_IN_TRANSACTION,
  SN_FAILED /* only SN_COMMIT and SN_ROLLBACK are accepted */
} SnState;

typedef enum
{
  SN_ANSWER, /* answer the caller */
  SN_SEND,   /* send statement to host at address; report how it ended */
  SN_WAIT    /* call sn_retry at the time until */
} SnNext;

/* What to do next; sn_step_clear frees it.  */
typedef struct
{
  SnNext next;
  GmTime until;

  GmKind kind;
  char message[GM_MESSAGE_MAX];
  guint64 retry_ms;
  char *id;       /* of the statement that is answered; NULL: it has none */
  char *customer; /* that it ran for, or NULL */
  GmTime arrived; /* 0: the statement was answered at once */
  guint attempts; /* at databases */
  GmTime network_time; /* the time spent between hosts */
  char *signature;     /* NULL: answered without a database */
  GBytes *rows;

  char *host;
  char *address;
  WmMessage statement;

  /* With any value of next: a message that rolls back an abandoned
     transaction and gets no answer.  release_host is NULL if there is none. */
  char *release_host;
  char *release_address;
  WmMessage release;
} SnStep;

void sn_step_clear (SnStep *step);

typedef struct SnSession SnSession;

/* The surroundings of a session at one step; borrowed.  */
typedef struct
{
  GmTime now;
  const CsState *state;
  SrRouter *router;
  gboolean cut_off; /* from the control hosts: the state may be stale */
  /* This host and its link address.  While cut off, it stands in for a queue's
     holder that it can't reach.  NULL where it holds no queues.  */
  const char *host;
  const char *link;
  CuLeaseState lease; /* on the knowledge of customers' keys */
} SnContext;

/* Creates a session for the service SERVICE.  */
SnSession *sn_new (const char *service);
void sn_free (SnSession *session);
/* Tells that the caller WAITED before the session started.  The first
   statement has used up this time already, so its queue treats it as more
   urgent, or as late.  */
void sn_set_waited (SnSession *session, GmTime waited);
/* Sets the key that the caller presented to the one with the digest KEY; NULL:
   none.  Every statement runs for the customer that holds it then.  */
void sn_set_key (SnSession *session, const CfKeyDigest *key);
/* The digest of the caller's key, or NULL.  */
const CfKeyDigest *sn_key (const SnSession *session);
SnState sn_state (const SnSession *session);
const char *sn_service (const SnSession *session);
/* The log position after the last statement; number 0: not known.  */
TkPoint sn_position (const SnSession *session);
/* The bytes of the values and prepared statements that SESSION keeps.  */
gsize sn_held_bytes (const SnSession *session);
/* Runs STATEMENT and empties it.  No other statement may be in progress.  */
void sn_submit (SnSession *session, const SnContext *world,
                SnStatement *statement, SnStep *step);
/* Answers a statement that could not be parsed with KIND.  An open transaction
   fails.  */
void sn_refuse (SnSession *session, GmKind kind, const char *message,
                SnStep *step);
/* Takes the answer to the statement that was sent.  */
void sn_result (SnSession *session, const SnContext *world,
                const struct wm_statement_done *done, SnStep *step);
/* The link to the statement's host closed, or that host became silent and the
   statement need not wait for it.  SENT tells whether the statement may have
   arrived there.  */
void sn_lost (SnSession *session, const SnContext *world, gboolean sent,
              SnStep *step);
/* The time until of an SN_WAIT step has come.  */
void sn_retry (SnSession *session, const SnContext *world, SnStep *step);
/* The statement of the last SN_SEND step was not sent yet.  sn_retry sends it,
   sn_decline ends it.  */
void sn_not_sent (SnSession *session);
/* Ends the statement in progress, which was not sent, with KIND.  */
void sn_decline (SnSession *session, GmKind kind, const char *message,
                 guint64 retry_ms, SnStep *step);
/* The caller disconnected: fills STEP's release if a transaction is open.  */
void sn_end (SnSession *session, SnStep *step);
