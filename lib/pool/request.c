#include "pool.h"
#include <string.h>

PlRequest *
pl_request_new (const CfService *service, GmTime deadline)
{
  PlRequest *request = g_new0 (PlRequest, 1);
  request->base.link.data = &request->base;
  request->base.rank = service->rank;
  request->base.service = g_strdup (service->name);
  request->base.worth = service->worth;
  request->base.deadline = deadline;
  return request;
}

void
pl_request_free (PlRequest *request)
{
  g_assert (request->base.queue == NULL);
  g_free (request->base.service);
  g_free (request->id);
  g_free (request->text);
  g_free (request->prepared);
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
  /* 80 bits tell the shapes of a system apart.  */
  digest[20] = '\0';
  return g_strconcat ("g", digest, NULL);
}
