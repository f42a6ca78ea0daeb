/* Session tokens: the log positions that a session has seen in each group.

   A token is a text of the form "g1.<base64>.<base64>".  The parts are the
   positions by group and an HMAC with the cluster key, so that a caller can
   present a token but not forge one.  */
#pragma once
#include "base/kind.h"

#define TK_TEXT_MAX_BYTES 4096 /* longer texts are refused unparsed */
#define TK_GROUPS_MAX 32

/* A point in a group's log: a position in the log of the primary of a term. */
typedef struct
{
  guint64 term;
  guint64 position;
} TkPoint;

typedef struct
{
  char *group;
  TkPoint point;
} TkGroupPoint;

/* A session: an array of TkGroupPoint, one per group.  */
typedef struct
{
  GArray *group_points;
  /* It has had points that it has no more: of groups that did not fit, or in a
     token that was refused.  */
  gboolean incomplete;
} TkSession;

/* Returns an empty session; free it with tk_session_free.  */
TkSession *tk_session_new (void);
void tk_session_free (TkSession *session);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (TkSession, tk_session_free)
/* Parses the token TEXT.  Returns NULL and sets STATUS to GM_INVALID if TEXT
   is malformed, too long or not signed with KEY.  */
TkSession *tk_session_parse (const char *text, const char *key,
                             GmStatus *status);
/* Returns SESSION as a token signed with KEY; free it with g_free.  */
char *tk_session_serialize (const TkSession *session, const char *key);
/* Returns TEXT, which must not contain a dot, followed by a dot and an HMAC
   with KEY; free it with g_free.  PURPOSE is part of the HMAC input, so that a
   signature for one purpose is not valid for another.  */
char *tk_sign (const char *purpose, const char *text, const char *key);
/* Returns the text in SIGNED_TEXT, or NULL if the HMAC does not match; free it
   with g_free.  */
char *tk_verify (const char *purpose, const char *signed_text,
                 const char *key);
/* Returns the point of GROUP, or zeros if SESSION has none.  */
TkPoint tk_session_point (const TkSession *session, const char *group);
/* Whether the point of GROUP includes all that the session has seen there: it
   has one, or has had none.  */
gboolean tk_session_covers (const TkSession *session, const char *group);
/* Raises the point of GROUP to POINT; a lower POINT has no effect.  If GROUP
   is new and there is no room for it, the oldest groups are removed and
   SESSION becomes incomplete.  */
void tk_session_raise (TkSession *session, const char *group, TkPoint point);
/* Returns whether a database has applied everything up to POINT, given that
   its last log entry is of LAST_TERM and entries up to APPLIED are visible. */
gboolean tk_point_reached (TkPoint point, guint64 last_term, guint64 applied);
/* Returns a value less than, equal to or greater than 0 if A is before, at or
   after B.  */
int tk_point_compare (TkPoint a, TkPoint b);
