#include "parts.h"
#include <string.h>

typedef struct
{
  GmTime at;
  guint64 number;
  Place place;
  guint index;
  guint64 epoch;
  EventRun run;
  GDestroyNotify drop;
  gpointer data;
} Event;

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  const Event *x = a;
  const Event *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->number < y->number ? -1 : x->number > y->number;
}

static guint64
epoch_at (const World *w, Place place, guint index)
{
  return place == AT_HOST       ? w->hosts[index]->epoch
         : place == AT_DATABASE ? w->databases[index]->epoch
                                : 0;
}

static void
insert_event (World *w, Event *event)
{
  event->number = ++w->event_number;
  g_sequence_insert_sorted (w->events, event, compare_events, NULL);
}

void
world_at (World *w, GmTime delay, Place place, guint index, EventRun run,
          GDestroyNotify drop, gpointer data)
{
  Event *event = g_new0 (Event, 1);
  event->at = w->now + delay;
  event->place = place;
  event->index = index;
  event->epoch = epoch_at (w, place, index);
  event->run = run;
  event->drop = drop;
  event->data = data;
  insert_event (w, event);
}

static void
drop_event (Event *event)
{
  if (event->drop != NULL)
    event->drop (event->data);
  g_free (event);
}

void
world_run_deferred (World *w, GQueue *deferred)
{
  Event *event;
  while ((event = g_queue_pop_head (deferred)) != NULL)
    {
      event->at = w->now;
      insert_event (w, event);
    }
}

/* Returns the queue of deferred events if the event's process is frozen, or
   NULL.  */
static GQueue *
frozen_queue (World *w, const Event *event)
{
  if (event->place == AT_HOST && w->hosts[event->index]->frozen)
    return &w->hosts[event->index]->deferred;
  if (event->place == AT_DATABASE && w->databases[event->index]->frozen)
    return &w->databases[event->index]->deferred;
  return NULL;
}

static gboolean
is_alive (const World *w, const Event *event)
{
  return event->place == AT_HOST       ? w->hosts[event->index]->alive
         : event->place == AT_DATABASE ? w->databases[event->index]->alive
                                       : TRUE;
}

static void
run_event (World *w, Event *event)
{
  GQueue *deferred = frozen_queue (w, event);
  if (!is_alive (w, event)
      || event->epoch != epoch_at (w, event->place, event->index))
    drop_event (event);
  else if (deferred != NULL)
    g_queue_push_tail (deferred, event);
  else
    {
      event->run (w, event->data);
      g_free (event);
    }
}

void
world_advance (World *w, GmTime to)
{
  while (!g_sequence_is_empty (w->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (w->events);
      Event *event = g_sequence_get (first);
      if (event->at > to)
        break;
      w->now = MAX (w->now, event->at);
      g_sequence_remove (first);
      run_event (w, event);
    }
  w->now = MAX (w->now, to);
}

GmTime
world_jitter (World *w, GmTime least, GmTime spread)
{
  return least + (GmTime)gm_random_below (&w->random, (guint64)spread);
}

void
world_violation (World *w, const char *format, ...)
{
  va_list args;
  w->violations++;
  if (w->violation->len > 0)
    return;
  va_start (args, format);
  g_string_append_vprintf (w->violation, format, args);
  va_end (args);
  g_string_append_printf (w->violation, " (at %" G_GINT64_FORMAT " ms)",
                          w->now / GM_MS);
}

static void
link_free (gpointer link)
{
  g_free (link);
}

static void
conn_free (gpointer data)
{
  Conn *conn = data;
  g_ptr_array_unref (conn->changes);
  g_free (conn);
}

World *
world_new (guint64 seed, gboolean healing)
{
  World *w = g_new0 (World, 1);
  w->healing = healing;
  w->control_count = healing ? CONTROL_HOSTS_HEALING : CONTROL_HOSTS;
  gm_random_seed (&w->random, seed);
  w->now = 100 * GM_SECOND;
  w->events = g_sequence_new (NULL);
  w->links = g_ptr_array_new_with_free_func (link_free);
  w->conns = g_ptr_array_new_with_free_func (conn_free);
  w->committed_digests = g_ptr_array_new_with_free_func (g_free);
  w->started = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  w->violation = g_string_new (NULL);
  for (guint i = 0; i < HOSTS; i++)
    host_new (w, i);
  for (guint i = 0; i < DATABASES; i++)
    database_new (w, i);
  for (guint i = 0; i < HOSTS; i++)
    world_start_host (w, i);
  for (guint i = 0; i < DATABASES; i++)
    world_start_database (w, i);
  return w;
}

void
world_free (World *w)
{
  for (guint i = 0; i < HOSTS; i++)
    world_kill_host (w, i);
  while (!g_sequence_is_empty (w->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (w->events);
      Event *event = g_sequence_get (first);
      g_sequence_remove (first);
      drop_event (event);
    }
  for (guint i = 0; i < HOSTS; i++)
    host_free (w->hosts[i]);
  for (guint i = 0; i < DATABASES; i++)
    database_free (w->databases[i]);
  g_sequence_free (w->events);
  g_ptr_array_unref (w->links);
  g_ptr_array_unref (w->conns);
  g_ptr_array_unref (w->committed_digests);
  g_hash_table_unref (w->started);
  g_string_free (w->violation, TRUE);
  g_free (w);
}

void
world_freeze_host (World *w, guint h, gboolean frozen)
{
  w->hosts[h]->frozen = frozen;
  if (!frozen)
    world_run_deferred (w, &w->hosts[h]->deferred);
}

void
world_freeze_database (World *w, guint d, gboolean frozen)
{
  w->databases[d]->frozen = frozen;
  if (!frozen)
    world_run_deferred (w, &w->databases[d]->deferred);
}

void
world_cut_hosts (World *w, guint a, guint b, GmTime until, gboolean reset)
{
  w->cut_until[a][b] = w->cut_until[b][a] = until;
  for (guint i = 0; reset && i < w->links->len; i++)
    {
      Link *link = g_ptr_array_index (w->links, i);
      if ((link->from == a && link->to == b)
          || (link->from == b && link->to == a))
        link_close (w, link, G_MAXUINT);
    }
}

void
world_heal_hosts (World *w, guint a, guint b)
{
  w->cut_until[a][b] = w->cut_until[b][a] = 0;
}

void
world_cut_database (World *w, guint h, guint d, GmTime until)
{
  w->database_cut_until[h][d] = until;
}

void
world_cut_peers (World *w, guint d, gboolean cut)
{
  w->databases[d]->cut_from_peers = cut;
}

void
world_set_lag (World *w, guint d, GmTime lag)
{
  st_set_lag (w->databases[d]->store, lag);
}

void
world_set_answer_delay (World *w, guint d, GmTime late)
{
  w->databases[d]->answer_delay = late;
}

void
world_set_leaving (World *w, guint d, gboolean leaving)
{
  w->databases[d]->leaving = leaving;
  w->databases[d]->leaving_since = w->now;
}

void
world_heal (World *w)
{
  for (guint a = 0; a < HOSTS; a++)
    {
      for (guint b = 0; b < HOSTS; b++)
        w->cut_until[a][b] = 0;
      for (guint d = 0; d < DATABASES; d++)
        w->database_cut_until[a][d] = 0;
      if (w->hosts[a]->frozen)
        world_freeze_host (w, a, FALSE);
      if (!w->hosts[a]->alive)
        world_start_host (w, a);
    }
  for (guint d = 0; d < DATABASES; d++)
    {
      if (w->databases[d]->frozen)
        world_freeze_database (w, d, FALSE);
      if (!w->databases[d]->alive)
        world_start_database (w, d);
      world_cut_peers (w, d, FALSE);
      world_set_lag (w, d, 5 * GM_MS);
      world_set_answer_delay (w, d, 0);
      world_set_leaving (w, d, FALSE);
    }
}

gboolean
world_host_alive (const World *w, guint h)
{
  return w->hosts[h]->alive;
}

gboolean
world_host_works (const World *w, guint h)
{
  return w->hosts[h]->alive && !w->hosts[h]->frozen;
}

gboolean
world_database_alive (const World *w, guint d)
{
  return w->databases[d]->alive;
}

StStore *
world_store (World *w, guint d)
{
  return w->databases[d]->store;
}

const CsState *
world_state (const World *w, guint h)
{
  return sb_state (w->hosts[h]->subscriber);
}

gboolean
world_is_fresh (const World *w, guint h)
{
  const Host *host = w->hosts[h];
  return sb_is_fresh (host->subscriber, host_now (host));
}

guint
world_voters (const World *w)
{
  guint best = 0;
  guint64 best_commit = 0;
  for (guint i = 0; i < w->control_count; i++)
    {
      const Host *h = w->hosts[i];
      if (!h->alive || !co_leads (h->control)
          || cl_commit (co_log (h->control)) < best_commit)
        continue;
      const GPtrArray *members = cl_members (co_log (h->control));
      best_commit = cl_commit (co_log (h->control));
      best = 0;
      if (!cl_members_committed (co_log (h->control)))
        continue;
      for (guint k = 0; k < members->len; k++)
        {
          const ClMember *m = g_ptr_array_index (members, k);
          for (guint c = 0; c < w->control_count; c++)
            if (m->voter && strcmp (m->host, w->hosts[c]->name) == 0
                && strcmp (m->disk, w->hosts[c]->disk_name) == 0)
              best++;
        }
    }
  return best;
}

int
world_primary (const World *w)
{
  const CsState *newest = NULL;
  for (guint i = 0; i < HOSTS; i++)
    if (w->hosts[i]->alive
        && (newest == NULL || world_state (w, i)->version > newest->version))
      newest = world_state (w, i);
  const CsGroup *group = newest != NULL ? cs_group (newest, GROUP) : NULL;
  for (guint d = 0; group != NULL && d < DATABASES; d++)
    if (strcmp (w->databases[d]->id, group->primary) == 0)
      return (int)d;
  return -1;
}
