#include "core.h"
#include "base/mutant.h"
#include <string.h>

#define SMALL_STATEMENT_BYTES 4096
/* Bounds a number off the wire; declarations allow less.  */
#define WORTH_MAX 1000000

/* Bytes of the statements of all requests in this process.  */
static gsize held_bytes;

static gsize
statement_bytes (const struct wm_statement *m)
{
  return (m->text != NULL ? strlen (m->text) : 0)
         + (m->prepared != NULL ? strlen (m->prepared) : 0)
         + (m->arguments != NULL ? strlen (m->arguments) : 0)
         + (m->values != NULL ? g_bytes_get_size (m->values) : 0);
}

gboolean
pl_has_room (const struct wm_statement *m, gsize bytes_max)
{
  gsize bytes = statement_bytes (m);
  return m->transaction != 0 || bytes <= SMALL_STATEMENT_BYTES
         || held_bytes + bytes <= bytes_max;
}

const CfService *
pl_service_of (const struct wm_statement *m, const CsState *state,
               CfService *undeclared)
{
  const CfDeclaration *declaration = cs_declaration (state);
  const CfService *declared
      = declaration != NULL ? cf_service_find (declaration, m->service) : NULL;
  if (declared != NULL || m->config <= state->number
      || GM_MUTANT (BEHIND_REFUSES))
    return declared;
  *undeclared = (CfService){
    .name = m->service,
    .rank = (CfRank)MIN (m->rank, CF_RANK_COUNT - 1),
    .worth = (gint64)CLAMP (m->worth, 1, WORTH_MAX),
    .target_ms = (gint64)MIN (m->target_ms, DP_DEADLINE_MAX / GM_MS),
    .deadline_ms = (gint64)MIN (m->limit_ms, DP_DEADLINE_MAX / GM_MS),
  };
  return undeclared;
}

PlRequest *
pl_request_new (const CfService *service, GmTime deadline)
{
  PlRequest *request = g_new0 (PlRequest, 1);
  request->base.queue_link.data = &request->base;
  request->base.rank = service->rank;
  request->base.service = g_strdup (service->name);
  request->base.worth = service->worth;
  request->base.deadline = deadline;
  request->base.due = dp_due (service, deadline);
  return request;
}

void
pl_request_free (PlRequest *request)
{
  g_assert (request->base.service_queue == NULL);
  held_bytes -= request->statement_bytes;
  g_free (request->base.service);
  g_free (request->customer);
  g_free (request->id);
  g_free (request->text);
  g_free (request->prepared);
  g_free (request->prepared_name);
  g_free (request->arguments);
  g_free (request->signature);
  g_clear_pointer (&request->values, g_ptr_array_unref);
  g_clear_pointer (&request->rows, g_bytes_unref);
  g_free (request);
}

char *
pl_prepared_name (const char *shape)
{
  g_autofree char *digest = g_compute_checksum_for_string (
      G_CHECKSUM_SHA1, shape, (gssize)strlen (shape));
  /* 80 bits make a collision between the shapes of a system unlikely.  */
  digest[20] = '\0';
  return g_strconcat ("g", digest, NULL);
}

/* Copies TEXT; returns NULL when TEXT is NULL or empty.  */
static char *
dup_nonempty (const char *text)
{
  return text != NULL && *text != '\0' ? g_strdup (text) : NULL;
}

PlRequest *
pl_request_from_message (const struct wm_statement *m,
                         const CfService *service, GmTime now)
{
  GmTime left = (GmTime)MIN (m->deadline, DP_DEADLINE_MAX);
  PlRequest *r = pl_request_new (service, now + left);
  if (r->base.due != 0)
    r->base.due
        = MAX (r->base.due - (GmTime)MIN (m->waited, DP_DEADLINE_MAX), 1);
  r->statement_bytes = statement_bytes (m);
  held_bytes += r->statement_bytes;
  r->sequence = m->sequence;
  r->operation = (PlOperation)m->operation;
  r->begins = (DpBegin)m->begins;
  r->transaction = m->transaction;
  r->after_position = (TkPoint){ m->after_term, m->after_number };
  r->movable = m->movable != 0;
  r->writes = m->writes != 0;
  r->customer = dup_nonempty (m->customer);
  r->id = g_strdup (m->id);
  r->text = dup_nonempty (m->text);
  r->prepared = dup_nonempty (m->prepared);
  r->arguments = dup_nonempty (m->arguments);
  r->values = m->values != NULL ? wm_strings_decode (m->values) : NULL;
  return r;
}

GmTime
pl_running_work (const PlCore *core)
{
  GmTime work = 0;
  for (guint i = 0; i < core->running->len; i++)
    {
      const PlRequest *r = g_ptr_array_index (core->running, i);
      work += r->overdue ? 0 : pl_cost (core, r->base.service);
    }
  return work;
}

void
pl_request_fill_answer (const PlCore *core, const PlRequest *r, GmTime now,
                        guint64 holder, WmMessage *done)
{
  TkPoint lead;
  GmTime lead_at;
  gboolean leads = pl_leader_position (core, &lead, &lead_at);
  *done = (WmMessage){ .type = WM_TYPE_STATEMENT_DONE };
  done->statement_done = (struct wm_statement_done){
    .sequence = r->sequence,
    .kind = r->kind,
    .message = (char *)r->message,
    .retry_ms = r->retry_ms,
    .holder = holder,
    .transaction = r->transaction,
    .open = r->transaction_open ? 1 : 0,
    .point_term = r->point.term,
    .point_number = r->point.position,
    .lead_term = leads ? lead.term : 0,
    .lead_number = leads ? lead.position : 0,
    .lead_age = leads ? (guint64)(now - lead_at) : 0,
    .wait = (guint64)pl_wait (core, r->base.rank, NULL, r->base.service),
    .signature = r->signature,
    .rows = r->rows,
    .running = (guint64)pl_running_work (core),
    .cost = (guint64)pl_cost (core, r->base.service),
    .slots = core->slots,
    .held = r->base.arrived != 0 ? (guint64)(now - r->base.arrived) : 0,
  };
}
