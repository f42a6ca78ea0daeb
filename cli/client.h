/* Blocking HTTP client of the command-line tool.  */
#pragma once
#include "base/kind.h"
#include <json-c/json.h>
#include <libsoup/soup.h>

typedef struct
{
  const char *host;  /* "IP:port" */
  const char *token; /* bearer token, or NULL */
  gboolean tls;
} ClientTarget;

/* The answer to a request; clear it with client_answer_clear.  */
typedef struct
{
  GmKind kind;
  json_object *body; /* NULL when the answer is not JSON */
  char *text;
} ClientAnswer;

/* Sends a METHOD request for PATH with BODY (NULL: none) and WHO as the
   operator's name (NULL: none), and waits for ANSWER.  Returns GM_UNAVAILABLE
   and sets STATUS when no answer arrives.  */
GmKind client_send (const ClientTarget *target, const char *method,
                    const char *path, const char *body, const char *who,
                    ClientAnswer *answer, GmStatus *status);
/* Posts BODY to PATH with the session token SESSION (NULL: none); otherwise
   like client_send.  */
GmKind client_send_session (const ClientTarget *target, const char *path,
                            const char *body, const char *session,
                            ClientAnswer *answer, GmStatus *status);
void client_answer_clear (ClientAnswer *answer);
/* Returns the string member NAME of ANSWER's body, or "" when it has none.
   The string belongs to ANSWER.  */
const char *client_answer_string (const ClientAnswer *answer,
                                  const char *name);
