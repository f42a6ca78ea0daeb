#include "core.h"
#include "base/mutant.h"
#include <string.h>

struct Proposal
{
  guint64 index; /* of the entry whose outcome answers it */
  guint64 link;  /* 0: proposed by this host itself */
  char *host;
  guint64 sequence;
  guint64 number; /* of a configuration that supersedes all lower ones, else 0
                   */
  char *digest;   /* of that configuration, else NULL */
  gboolean superseded; /* the entry is another configuration, which supersedes
                          this one */
};

static void
proposal_free (Proposal *proposal)
{
  g_free (proposal->host);
  g_free (proposal->digest);
  g_free (proposal);
}

GPtrArray *
co_proposals_new (void)
{
  return g_ptr_array_new_with_free_func ((GDestroyNotify)proposal_free);
}

static void
answer (CoCore *core, guint64 link, const char *host, guint64 sequence,
        const GmStatus *status, guint64 version)
{
  WmMessage m = { .type = WM_TYPE_PROPOSED,
                  .proposed = { .sequence = sequence,
                                .host = (char *)host,
                                .kind = status->kind,
                                .message = (char *)status->message,
                                .version = version } };
  if (link != 0)
    co_queue_send (core, link, NULL, &m);
}

void
co_answer_proposal (CoCore *core, guint64 link, const struct wm_propose *p,
                    const GmStatus *status, guint64 version)
{
  answer (core, link, p->host, p->sequence, status, version);
}

static Proposal *
add_proposal (CoCore *core, guint64 index, guint64 link,
              const struct wm_propose *p, const struct wm_cmd_config *config)
{
  Proposal *proposal = g_new0 (Proposal, 1);
  proposal->index = index;
  proposal->link = link;
  proposal->host = g_strdup (p->host);
  proposal->sequence = p->sequence;
  proposal->number = config != NULL ? config->number : 0;
  proposal->digest = g_strdup (config != NULL ? config->digest : NULL);
  g_ptr_array_add (core->proposals, proposal);
  return proposal;
}

/* Returns the open proposal of the configuration with the highest number, or
   NULL.  */
static const Proposal *
highest_proposal (const CoCore *core)
{
  const Proposal *highest = NULL;
  for (guint i = 0; i < core->proposals->len; i++)
    {
      const Proposal *p = g_ptr_array_index (core->proposals, i);
      if (p->number > (highest != NULL ? highest->number : 0))
        highest = p;
    }
  return highest;
}

/* Answers the proposal P of CONFIG without a new entry if one that is
   committed, or on its way, has its number or a higher one: operators send a
   text again while the first copy is on its way.  Returns FALSE otherwise.  */
static gboolean
settle_superseded (CoCore *core, guint64 link, const struct wm_propose *p,
                   const struct wm_cmd_config *config)
{
  GmStatus status = GM_STATUS_UNSET;
  const Proposal *highest = highest_proposal (core);
  if (GM_MUTANT (APPEND_AGAIN))
    return FALSE;
  if (config->number <= core->state->number)
    {
      cs_check_config (core->state, config->number, config->digest, TRUE,
                       &status);
      co_answer_proposal (core, link, p, &status, core->state->version);
      return TRUE;
    }
  if (highest == NULL || config->number > highest->number)
    return FALSE;
  gboolean same = config->number == highest->number
                  && strcmp (config->digest, highest->digest) == 0;
  add_proposal (core, highest->index, link, p, config)->superseded = !same;
  return TRUE;
}

/* Decodes the command in BLOCK into COMMAND and returns its configuration if
   that supersedes all lower ones, else NULL.  */
static const struct wm_cmd_config *
decode_highest (GBytes *block, WmMessage *command)
{
  gsize length;
  const void *data = g_bytes_get_data (block, &length);
  if (wm_decode (data, length, command, NULL) != GM_OK
      || command->type != WM_TYPE_CMD_CONFIG
      || (command->cmd_config.highest & WM_CONFIG_HIGHEST) == 0)
    return NULL;
  return &command->cmd_config;
}

void
co_propose (CoCore *core, GmTime now, guint64 link, const struct wm_propose *p)
{
  GmStatus status = GM_STATUS_UNSET;
  guint64 index;
  WmMessage command;
  const struct wm_cmd_config *config = decode_highest (p->command, &command);
  if (config != NULL && settle_superseded (core, link, p, config))
    ;
  else if (cl_propose (core->log, now, p->command, &index, &status) == GM_OK)
    add_proposal (core, index, link, p, config);
  else
    co_answer_proposal (core, link, p, &status, 0);
  wm_clear (&command);
}

/* Returns the outcome for P when the entry that answers it was applied with
   OUTCOME.  */
static GmStatus
outcome_of (const CoCore *core, const Proposal *p, const GmStatus *outcome)
{
  GmStatus status = *outcome;
  if (!p->superseded)
    return status;
  if (p->number <= core->state->number)
    cs_check_config (core->state, p->number, p->digest, TRUE, &status);
  else
    gm_fail (&status, GM_OUTCOME_UNKNOWN,
             "a later configuration was refused; send it again");
  return status;
}

void
co_answer_proposals (CoCore *core, guint64 index, const GmStatus *outcome)
{
  for (guint i = 0; i < core->proposals->len;)
    {
      const Proposal *p = g_ptr_array_index (core->proposals, i);
      if (p->index != index)
        {
          i++;
          continue;
        }
      GmStatus status = outcome_of (core, p, outcome);
      answer (core, p->link, p->host, p->sequence, &status, index);
      g_ptr_array_remove_index (core->proposals, i);
    }
}

void
co_fail_proposals (CoCore *core)
{
  GmStatus lost = { GM_OUTCOME_UNKNOWN, "the leader changed; send it again" };
  for (guint i = 0; i < core->proposals->len; i++)
    {
      const Proposal *p = g_ptr_array_index (core->proposals, i);
      answer (core, p->link, p->host, p->sequence, &lost, 0);
    }
  g_ptr_array_set_size (core->proposals, 0);
}

void
co_forget_proposer (CoCore *core, guint64 link)
{
  for (guint i = 0; i < core->proposals->len; i++)
    {
      Proposal *p = g_ptr_array_index (core->proposals, i);
      if (p->link == link)
        p->link = 0;
    }
}
