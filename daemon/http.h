/* HTTP helpers of the servers for callers and for operators.  */
#pragma once
#include "conf/settings.h"
#include <json-c/json.h>
#include <libsoup/soup.h>

/* Lets SERVER listen on ADDRESS, with a backlog large enough for many callers
   that connect at once.  With port 0 the kernel chooses a free port, which is
   stored in ADDRESS.  */
GmKind http_listen (SoupServer *server, CfAddress *address, GmStatus *status);
/* Creates a server with the TLS certificate and the body limit of SETTINGS.
   NULL and STATUS when the certificate can't be loaded.  */
SoupServer *http_server_new (const CfSettings *settings, GmStatus *status);
/* Answers MSG with KIND's HTTP status and the object BODY, which is consumed
   and may be NULL, after adding KIND, MESSAGE and whether the request ran.  */
void http_answer (SoupServerMessage *msg, GmKind kind, const char *message,
                  json_object *body);
/* Whether MSG carries TOKEN as its bearer token, or TOKEN is NULL.  Otherwise
   answers MSG with an error.  */
gboolean http_authorized (SoupServerMessage *msg, const char *token);
/* Whether MSG was already answered before its handler was called.  */
gboolean http_is_refused (SoupServerMessage *msg);
/* Refuses request bodies larger than SETTINGS allow.  */
void http_limit_bodies (SoupServer *server, const CfSettings *settings);
