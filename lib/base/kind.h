/* The list of all error kinds, and GmStatus, which holds a kind and a message.

   GmStatus is a plain value owned by the calling function; nothing has to be
   freed.  A function that fails stores a kind and a message and returns the
   kind.  */
#pragma once
#include <glib.h>

/* Whether a request that ended with an error kind was executed.  */
typedef enum
{
  GM_RAN_YES,
  GM_RAN_NO,
  GM_RAN_MAYBE
} GmRan;

/* name, text on the wire, HTTP status, exit status of the command-line tool,
   whether the request was executed  */
#define GM_KINDS(X)                                                           \
  X (OK, "ok", 200, 0, YES)                                                   \
  X (INVALID, "invalid", 400, 2, NO)                                          \
  X (UNAUTHORIZED, "unauthorized", 401, 3, NO)                                \
  X (UNKNOWN_SERVICE, "unknown_service", 404, 4, NO)                          \
  X (NOT_FOUND, "not_found", 404, 4, NO)                                      \
  X (CONFLICT, "conflict", 409, 5, NO)                                        \
  X (TRANSACTION_LOST, "transaction_lost", 409, 6, NO)                        \
  X (TOO_LARGE, "too_large", 413, 2, NO)                                      \
  X (DATABASE, "database_error", 422, 7, NO)                                  \
  X (QUEUE_FULL, "queue_full", 429, 8, NO)                                    \
  X (DEADLINE, "deadline", 503, 9, NO)                                        \
  X (UNAVAILABLE, "unavailable", 503, 10, NO)                                 \
  X (DRAINING, "draining", 503, 11, NO)                                       \
  X (STALE, "stale", 503, 12, NO)                                             \
  X (OUTCOME_UNKNOWN, "outcome_unknown", 504, 13, MAYBE)                      \
  X (CORRUPT, "corrupt", 500, 14, MAYBE)                                      \
  X (IO, "io_error", 500, 15, MAYBE)                                          \
  X (INTERNAL, "internal", 500, 16, MAYBE)                                    \
  X (LAGGING, "lagging", 503, 17, NO)                                         \
  X (READ_ONLY, "read_only", 503, 18, NO)                                     \
  X (STATEMENT_FAILED, "statement_failed", 422, 19, MAYBE)

typedef enum
{
#define X(name, text, http, code, ran) GM_##name,
  GM_KINDS (X)
#undef X
      GM_KIND_COUNT
} GmKind;

#define GM_MESSAGE_MAX 256 /* bytes, with the final NUL */

/* The result of a function: an error kind and its message.  */
typedef struct
{
  GmKind kind;
  char message[GM_MESSAGE_MAX];
} GmStatus;

/* The initial value of a status.  A failure that stores nothing then reads as
   an internal error, never as success.  */
#define GM_STATUS_UNSET                                                       \
  {                                                                           \
    GM_INTERNAL, "the operation failed without a reason"                      \
  }

/* Returns the text of KIND on the wire; static.  */
const char *gm_kind_text (GmKind kind);
/* Returns the HTTP status for KIND.  */
guint gm_kind_http (GmKind kind);
/* Returns the exit status of the command-line tool for KIND.  */
int gm_kind_exit (GmKind kind);
/* Returns whether a request that was answered with KIND was executed.  */
GmRan gm_kind_ran (GmKind kind);
/* Returns the kind whose text on the wire is TEXT, or GM_INTERNAL when there
   is none.  */
GmKind gm_kind_from_text (const char *text);
/* Returns the kind NUMBER of a message or record, or GM_INTERNAL when there is
   none: a later version may have more kinds.  */
GmKind gm_kind_from_number (guint64 number);

/* Stores KIND and a formatted message in STATUS (NULL is allowed) and returns
   KIND.  A message longer than GM_MESSAGE_MAX is truncated.  */
GmKind gm_fail (GmStatus *status, GmKind kind, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
/* Sets STATUS (NULL is allowed) to GM_OK without a message and returns
   GM_OK.  */
GmKind gm_ok (GmStatus *status);
