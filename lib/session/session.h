/* One caller's session at its entry host: its values, prepared statements and
   transaction, and the way of each of its statements to a database and back.

   Values and prepared statements live here and travel with each statement.  A
   transaction begins at a database with its first statement, so that a pause
   after its opening holds no connection.  A statement is sent again only when
   it had no effect; what may have had one is reported as such.

   Pure: the shell sends what a step says and reports how it ended.  */
#pragma once
#include "dispatch/dispatch.h"
#include "router.h"

#define SN_VALUES_MAX 64 /* names: each statement may carry them all */
#define SN_VALUES_BYTES_MAX 16384
#define SN_PREPARED_MAX 512
#define SN_ATTEMPTS_MAX 6 /* DP_ATTEMPTS_MAX and one more for each replica */
/* A statement waits so long for a primary to take over, from its arrival: less
   than half of the shortest time that a caller has.  */
#define SN_HOLD (250 * GM_MS)
#define SN_HOLD_RETRY (25 * GM_MS)
#define SN_RETRY (15 * GM_MS) /* a control decision takes about as long */
/* For the pool's own answer at the deadline.  */
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

/* A statement as the caller's edge read it; the strings are owned.  */
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
  SN_FAILED /* only its end is taken */
} SnState;

typedef enum
{
  SN_ANSWER, /* answer the caller */
  SN_SEND,   /* send message to host at address; report its end */
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
  char *id;        /* of the statement that is answered; NULL: it has none */
  GmTime arrived;  /* 0: it was answered at once */
  guint attempts;  /* at databases */
  GmTime way;      /* of the time, what was spent between hosts */
  char *signature; /* NULL: answered without a database */
  GBytes *rows;

  char *host;
  char *address;
  WmMessage statement;

  /* With any of them: a transaction to give up, sent without an answer.  */
  char *release_host;
  char *release_address;
  WmMessage release;
} SnStep;

void sn_step_clear (SnStep *step);

typedef struct SnSession SnSession;

/* What a session needs to know at each step; borrowed.  */
typedef struct
{
  GmTime now;
  const CsState *state;
  SrRouter *router;
  gboolean cut_off; /* the state may be old: another host may serve */
  /* This host, which stands in for a queue's holder that it can't reach while
     it is cut off; NULL where it holds no queues.  */
  const char *host;
  const char *link;
} SnWorld;

/* A session that asked for the service SERVICE.  */
SnSession *sn_new (const char *service);
void sn_free (SnSession *session);
/* The session's caller had to wait for its start: its first statement is the
   more urgent, or late already.  */
void sn_waited (SnSession *session, GmTime waited);
SnState sn_state (const SnSession *session);
const char *sn_service (const SnSession *session);
/* The position after the last statement; number 0: none is known.  */
TkPoint sn_point (const SnSession *session);
/* Takes STATEMENT, which is emptied.  Another one must not be on its way.  */
void sn_take (SnSession *session, const SnWorld *world, SnStatement *statement,
              SnStep *step);
/* Ends a statement that could not be read with KIND; a transaction has failed
   with it.  */
void sn_refuse (SnSession *session, GmKind kind, const char *message,
                SnStep *step);
/* The statement that was sent was answered.  */
void sn_result (SnSession *session, const SnWorld *world,
                const struct wm_statement_done *done, SnStep *step);
/* The link closed, or the host at its other end has fallen silent and the
   statement need not wait for it; SENT says whether it may have arrived.  */
void sn_lost (SnSession *session, const SnWorld *world, gboolean sent,
              SnStep *step);
/* The wait is over.  */
void sn_retry (SnSession *session, const SnWorld *world, SnStep *step);
/* The caller is gone: fills STEP's release if a transaction is open.  */
void sn_end (SnSession *session, SnStep *step);
