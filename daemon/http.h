/* What the callers' and the operators' edges share of HTTP.  */
#pragma once
#include "conf/settings.h"
#include <json-c/json.h>
#include <libsoup/soup.h>

/* Starts SERVER on ADDRESS with a backlog that bears a rush of callers.  Port
   0 takes a free port, which is stored in ADDRESS.  */
GmKind http_listen (SoupServer *server, CfAddress *address, GmStatus *status);
/* A server with the settings' TLS certificate, or NULL and STATUS.  */
SoupServer *http_server_new (const CfSettings *settings, GmStatus *status);
/* Answers MSG with KIND's HTTP status and BODY, which is consumed; kind and
   message are added to it.  BODY may be NULL.  */
void http_answer (SoupServerMessage *msg, GmKind kind, const char *message,
                  json_object *body);
/* Whether MSG carries TOKEN as bearer token; TRUE when TOKEN is NULL.  Answers
   MSG when it doesn't.  */
gboolean http_authorized (SoupServerMessage *msg, const char *token);
/* Whether MSG was answered before its handler saw it.  */
gboolean http_is_refused (SoupServerMessage *msg);
/* Refuses bodies over the settings' bound.  */
void http_limit_bodies (SoupServer *server, const CfSettings *settings);
