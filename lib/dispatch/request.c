#include "request.h"

DpRequest *
dp_request_new (void)
{
  DpRequest *request = g_new0 (DpRequest, 1);
  request->queue_link.data = request;
  request->max_age = DP_ANY_AGE;
  return request;
}

GmTime
dp_due (const CfService *service, GmTime deadline)
{
  if (service->target_ms <= 0 || service->target_ms >= service->deadline_ms)
    return 0;
  return deadline - (service->deadline_ms - service->target_ms) * GM_MS;
}

DpRequest *
dp_request_from (const struct wm_exec *exec, const CfService *service,
                 GmTime now)
{
  DpRequest *r = dp_request_new ();
  r->sequence = exec->sequence;
  r->generation = exec->generation;
  r->operation = (DpOperation)exec->operation;
  r->rank = service->rank;
  r->service = g_strdup (exec->service);
  r->request_id = g_strdup (exec->request_id);
  r->statement = g_strdup (exec->statement);
  r->params = exec->params != NULL ? g_bytes_ref (exec->params) : NULL;
  r->deadline = now + (GmTime)MIN (exec->deadline, DP_DEADLINE_MAX);
  r->due = dp_due (service, r->deadline);
  r->worth = service->worth;
  r->max_age
      = service->max_age_ms < 0 ? DP_ANY_AGE : service->max_age_ms * GM_MS;
  r->repeatable = service->repeatable;
  r->session = exec->session != 0;
  r->required = (TkPoint){ exec->token_term, exec->token_position };
  r->transaction = exec->transaction;
  return r;
}

void
dp_request_result (const DpRequest *r, WmMessage *result)
{
  *result
      = (WmMessage){ .type = WM_TYPE_RESULT,
                     .result = { .sequence = r->sequence,
                                 .generation = r->generation,
                                 .kind = r->kind,
                                 .message = (char *)r->message,
                                 .retry_ms = r->retry_ms,
                                 .transaction = r->transaction,
                                 .token_term = r->seen.term,
                                 .token_position = r->seen.position,
                                 .database = (char *)r->database,
                                 .replica = r->replica ? 1 : 0,
                                 .rows = r->kind == GM_OK ? r->rows : NULL } };
}

void
dp_request_free (DpRequest *request)
{
  g_assert (request->service_queue == NULL);
  g_free (request->service);
  g_free (request->request_id);
  g_free (request->statement);
  g_clear_pointer (&request->params, g_bytes_unref);
  g_clear_pointer (&request->rows, g_bytes_unref);
  g_free (request);
}
