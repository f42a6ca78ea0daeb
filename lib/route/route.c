#include "route.h"
#include <string.h>

#define TRANSACTION_PURPOSE "transaction"

/* The link to one dispatching host.  */
typedef struct
{
  char *host;
  guint64 incarnation;
  char *address;
  gboolean connect_requested;
  gboolean up;
  GmTime connect_at;
} DispatcherLink;

struct RqCore
{
  GHashTable *requests; /* sequence -> RqRequest */
  GHashTable *links;    /* host -> DispatcherLink */
  guint64 sequence;
  GQueue actions; /* RqAction * */
};

static void
link_free (DispatcherLink *link)
{
  g_free (link->host);
  g_free (link->address);
  g_free (link);
}

RqRequest *
rq_request_new (void)
{
  return g_new0 (RqRequest, 1);
}

void
rq_request_free (RqRequest *request)
{
  wm_clear (&request->exec);
  g_free (request->dispatcher);
  g_free (request->sent_to);
  g_free (request);
}

RqCore *
rq_new (void)
{
  RqCore *core = g_new0 (RqCore, 1);
  core->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          (GDestroyNotify)rq_request_free);
  core->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)link_free);
  g_queue_init (&core->actions);
  return core;
}

void
rq_action_clear (RqAction *action)
{
  g_free (action->host);
  g_free (action->address);
  if (action->type != RQ_END)
    return;
  wm_clear (&action->result);
  rq_request_free (action->request);
}

void
rq_free (RqCore *core)
{
  RqAction action;
  while (rq_take_action (core, &action))
    rq_action_clear (&action);
  g_hash_table_unref (core->requests);
  g_hash_table_unref (core->links);
  g_free (core);
}

gboolean
rq_take_action (RqCore *core, RqAction *action)
{
  RqAction *first = g_queue_pop_head (&core->actions);
  if (first == NULL)
    return FALSE;
  *action = *first;
  g_free (first);
  return TRUE;
}

static RqAction *
push_action (RqCore *core, RqActionType type, const char *host)
{
  RqAction *action = g_new0 (RqAction, 1);
  action->type = type;
  action->host = g_strdup (host);
  g_queue_push_tail (&core->actions, action);
  return action;
}

/* Ends REQUEST with RESULT.  If an earlier attempt may have run, a result that
   says "not run" becomes GM_OUTCOME_UNKNOWN.  */
static void
finish (RqCore *core, RqRequest *request, const WmMessage *result)
{
  RqAction *action = push_action (core, RQ_END, request->sent_to);
  action->request = request;
  wm_copy (&action->result, result);
  struct wm_result *r = &action->result.result;
  GmKind kind = gm_kind_from_number (r->kind);
  r->kind = kind;
  if (request->maybe_ran && gm_kind_ran (kind) == GM_RAN_NO)
    {
      r->kind = GM_OUTCOME_UNKNOWN;
      g_free (r->message);
      r->message = g_strdup ("an earlier attempt was lost; ask for the "
                             "outcome by the request id");
    }
  g_hash_table_steal (core->requests, &request->sequence);
}

static void
finish_with (RqCore *core, RqRequest *request, GmKind kind,
             const char *message)
{
  WmMessage result
      = { .type = WM_TYPE_RESULT,
          .result = { .kind = kind, .message = (char *)message } };
  finish (core, request, &result);
}

static void
schedule_retry (RqRequest *request, GmTime now)
{
  g_clear_pointer (&request->sent_to, g_free);
  request->retry_at = now + RQ_RETRY_DELAY;
}

void
rq_not_sent (RqRequest *request, GmTime now)
{
  schedule_retry (request, now);
}

/* Handles REQUEST after the link that it was sent on has closed.  */
static void
handle_lost_request (RqCore *core, GmTime now, RqRequest *request)
{
  request->maybe_ran = TRUE;
  switch ((DpOperation)request->exec.exec.operation)
    {
    case DP_READ:
    case DP_BEGIN:
    case DP_OUTCOME:
      schedule_retry (request, now);
      break;
    case DP_STATEMENT:
    case DP_ROLLBACK:
      request->maybe_ran = FALSE;
      finish_with (core, request, GM_TRANSACTION_LOST,
                   "the transaction's dispatcher was lost before the commit; "
                   "it has no effect");
      break;
    default:
      finish_with (core, request, GM_OUTCOME_UNKNOWN,
                   "the dispatcher was lost while the request ran; ask for "
                   "the outcome by the request id");
      break;
    }
}

static GPtrArray *
requests_at (const RqCore *core, const char *host)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (g_strcmp0 (((RqRequest *)value)->sent_to, host) == 0)
      g_ptr_array_add (found, value);
  return found;
}

static void
handle_lost_requests (RqCore *core, GmTime now, const char *host)
{
  g_autoptr (GPtrArray) hit = requests_at (core, host);
  for (guint i = 0; i < hit->len; i++)
    handle_lost_request (core, now, g_ptr_array_index (hit, i));
}

void
rq_link_down (RqCore *core, GmTime now, const char *host)
{
  DispatcherLink *link = g_hash_table_lookup (core->links, host);
  if (link != NULL)
    {
      link->connect_requested = FALSE;
      link->up = FALSE;
      link->connect_at = now + RQ_RECONNECT_DELAY;
    }
  handle_lost_requests (core, now, host);
}

static void
remove_link (RqCore *core, GmTime now, DispatcherLink *link)
{
  g_autofree char *host = g_strdup (link->host);
  if (link->connect_requested)
    push_action (core, RQ_DISCONNECT, host);
  g_hash_table_remove (core->links, host);
  handle_lost_requests (core, now, host);
}

/* Returns the link to HOST, replacing a link to an earlier incarnation.  */
static DispatcherLink *
link_to (RqCore *core, GmTime now, const CsHost *host)
{
  DispatcherLink *link = g_hash_table_lookup (core->links, host->host);
  if (link != NULL && link->incarnation == host->incarnation)
    return link;
  if (link != NULL)
    remove_link (core, now, link);
  link = g_new0 (DispatcherLink, 1);
  link->host = g_strdup (host->host);
  link->incarnation = host->incarnation;
  link->address = g_strdup (host->link);
  g_hash_table_insert (core->links, link->host, link);
  return link;
}

static void
connect_if_due (RqCore *core, GmTime now, DispatcherLink *link)
{
  if (link->connect_requested || now < link->connect_at)
    return;
  link->connect_requested = TRUE;
  RqAction *action = push_action (core, RQ_CONNECT, link->host);
  action->address = g_strdup (link->address);
}

static const CsHost *
host_for (const CsState *state, const RqRequest *request)
{
  if (request->dispatcher == NULL)
    return cs_dispatcher (state, request->exec.exec.group);
  const CsHost *host = g_hash_table_lookup (state->hosts, request->dispatcher);
  return host != NULL && host->incarnation == request->dispatcher_incarnation
             ? host
             : NULL;
}

static void
try_send (RqCore *core, GmTime now, const CsState *state, RqRequest *request)
{
  const CsHost *host = host_for (state, request);
  request->retry_at = now + RQ_RETRY_DELAY;
  if (host == NULL)
    return;
  DispatcherLink *link = link_to (core, now, host);
  connect_if_due (core, now, link);
  if (!link->up)
    return;
  request->generation++;
  request->exec.exec.sequence = request->sequence;
  request->exec.exec.generation = request->generation;
  request->exec.exec.deadline = (guint64)MAX (request->deadline - now, 0);
  request->exec.exec.config = state->number;
  request->sent_to = g_strdup (host->host);
  push_action (core, RQ_SEND, host->host)->request = request;
}

void
rq_submit (RqCore *core, GmTime now, const CsState *state, RqRequest *request)
{
  request->sequence = ++core->sequence;
  g_hash_table_insert (core->requests, &request->sequence, request);
  try_send (core, now, state, request);
}

void
rq_link_up (RqCore *core, GmTime now, const CsState *state, const char *host)
{
  DispatcherLink *link = g_hash_table_lookup (core->links, host);
  if (link == NULL)
    return;
  link->up = TRUE;
  rq_tick (core, now, state);
}

gboolean
rq_receive (RqCore *core, GmTime now, const char *host, const WmMessage *m)
{
  const struct wm_result *r = &m->result;
  RqRequest *request = g_hash_table_lookup (core->requests, &r->sequence);
  if (request == NULL || request->generation != r->generation
      || g_strcmp0 (request->sent_to, host) != 0)
    return FALSE;
  /* The request did not run there; another dispatcher may accept it.  */
  gboolean elsewhere = r->kind == GM_DRAINING || r->kind == GM_STALE;
  if (elsewhere && request->dispatcher == NULL && now < request->deadline)
    schedule_retry (request, now);
  else
    finish (core, request, m);
  return TRUE;
}

static void
tick_request (RqCore *core, GmTime now, const CsState *state,
              RqRequest *request)
{
  gboolean sent = request->sent_to != NULL;
  if (!sent && now >= request->deadline)
    finish_with (core, request, GM_UNAVAILABLE,
                 "not run: no dispatcher was reached in time");
  else if (sent && now >= request->deadline + RQ_ANSWER_GRACE)
    finish_with (core, request, GM_OUTCOME_UNKNOWN,
                 "the dispatcher did not answer in time; ask for the outcome "
                 "by the request id");
  else if (!sent && now >= request->retry_at)
    try_send (core, now, state, request);
}

void
rq_tick (RqCore *core, GmTime now, const CsState *state)
{
  g_autoptr (GList) all = g_hash_table_get_values (core->requests);
  for (GList *l = all; l != NULL; l = l->next)
    {
      RqRequest *request = l->data;
      /* Handling an earlier request may have removed a link and thereby ended
         this request.  */
      if (g_hash_table_lookup (core->requests, &request->sequence) == request)
        tick_request (core, now, state, request);
    }
}

/* Keeps links to the dispatchers of all groups open, so that requests need not
   wait for a connection.  Removes the links to hosts that are no longer in the
   control state; requests sent there are handled as lost.  */
void
rq_state (RqCore *core, GmTime now, const CsState *state)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, state->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const CsHost *owner = cs_dispatcher (state, ((CsGroup *)value)->group);
      if (owner != NULL)
        connect_if_due (core, now, link_to (core, now, owner));
    }
  g_autoptr (GList) routes = g_hash_table_get_values (core->links);
  for (GList *l = routes; l != NULL; l = l->next)
    if (!g_hash_table_contains (state->hosts,
                                ((DispatcherLink *)l->data)->host))
      remove_link (core, now, l->data);
}

guint
rq_count (const RqCore *core)
{
  return g_hash_table_size (core->requests);
}

char *
rq_transaction_print (const CsState *state, const char *host,
                      const char *group, guint64 number, const char *key)
{
  const CsHost *known = g_hash_table_lookup (state->hosts, host);
  g_autofree char *incarnation = g_strdup_printf (
      "%" G_GUINT64_FORMAT, known != NULL ? known->incarnation : 0);
  g_autofree char *digits = g_strdup_printf ("%" G_GUINT64_FORMAT, number);
  const char *parts[] = { host, incarnation, group, digits };
  g_autoptr (GBytes) block = wm_strings_encode (parts, G_N_ELEMENTS (parts));
  gsize length;
  const guchar *raw = g_bytes_get_data (block, &length);
  g_autofree char *text = g_base64_encode (raw, length);
  return tk_sign (TRANSACTION_PURPOSE, text, key);
}

gboolean
rq_transaction_join (RqRequest *request, const CsState *state,
                     const char *text, const char *key)
{
  g_autofree char *body = tk_verify (TRANSACTION_PURPOSE, text, key);
  if (body == NULL)
    return FALSE;
  gsize length;
  guchar *raw = g_base64_decode (body, &length);
  g_autoptr (GBytes) block = g_bytes_new_take (raw, length);
  g_autoptr (GPtrArray) parts = wm_strings_decode (block);
  if (parts == NULL || parts->len != 4
      || g_strcmp0 (request->exec.exec.group, g_ptr_array_index (parts, 2))
             != 0)
    return FALSE;
  request->dispatcher = g_strdup (g_ptr_array_index (parts, 0));
  request->dispatcher_incarnation
      = g_ascii_strtoull (g_ptr_array_index (parts, 1), NULL, 10);
  request->exec.exec.incarnation = request->dispatcher_incarnation;
  request->exec.exec.transaction
      = g_ascii_strtoull (g_ptr_array_index (parts, 3), NULL, 10);
  const CsHost *host = g_hash_table_lookup (state->hosts, request->dispatcher);
  return host != NULL && host->incarnation == request->dispatcher_incarnation;
}
