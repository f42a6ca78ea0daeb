#include "parts.h"
#include <string.h>

#define MIN_LATENCY (500)
#define LATENCY_SPREAD (1 * GM_MS)
#define CONNECT_TIMEOUT (2 * GM_SECOND)
#define RETRY_DELAY (20 * GM_MS)

gboolean
hosts_cut (const World *w, guint a, guint b)
{
  return w->cut_until[a][b] > w->now;
}

static gboolean
ends_live (const World *w, const Link *link)
{
  return w->hosts[link->from]->epoch == link->from_epoch
         && w->hosts[link->to]->epoch == link->to_epoch;
}

/* Notice to HOST, at one end of LINK, that LINK closed.  */
typedef struct
{
  Link *link;
  guint host;
} CloseNotice;

static void
notify_closed (World *w, gpointer data)
{
  CloseNotice *c = data;
  Link *link = c->link;
  Host *h = w->hosts[c->host];
  GmTime now = host_now (h);
  if (hosts_cut (w, link->from, link->to))
    {
      world_at (w, RETRY_DELAY, AT_HOST, c->host, notify_closed, g_free, c);
      return;
    }
  if (c->host == link->to && h->control != NULL)
    co_link_down (h->control, now, link->number);
  if (c->host == link->from && link->purpose == LINK_SUBSCRIPTION
      && h->subscription == link)
    {
      h->subscription = NULL;
      sb_link_down (h->subscriber, now);
    }
  if (c->host == link->from && link->purpose == LINK_ROUTE
      && h->routes[link->to] == link)
    {
      h->routes[link->to] = NULL;
      rq_link_down (h->route, now, w->hosts[link->to]->name);
    }
  if (c->host == link->from && link->purpose == LINK_PEER
      && h->peers[link->to] == link)
    h->peers[link->to] = NULL;
  g_free (c);
  host_pump (h);
}

void
link_close (World *w, Link *link, guint by)
{
  if (link->closed)
    return;
  link->closed = TRUE;
  const guint ends[] = { link->from, link->to };
  const guint64 epochs[] = { link->from_epoch, link->to_epoch };
  int count = link->from == link->to ? 1 : 2;
  for (int i = 0; i < count; i++)
    {
      if (ends[i] == by || w->hosts[ends[i]]->epoch != epochs[i])
        continue;
      CloseNotice *c = g_new0 (CloseNotice, 1);
      c->link = link;
      c->host = ends[i];
      world_at (w, world_jitter (w, MIN_LATENCY, LATENCY_SPREAD), AT_HOST,
                ends[i], notify_closed, g_free, c);
    }
}

/* A message in flight.  */
typedef struct
{
  Link *link;
  guint to;
  gboolean to_dialer;
  WmMessage message;
} InFlightMessage;

static void
in_flight_free (gpointer data)
{
  InFlightMessage *p = data;
  wm_clear (&p->message);
  g_free (p);
}

void host_receive (Host *h, Link *link, gboolean dialer, const WmMessage *m);

static void
deliver (World *w, gpointer data)
{
  InFlightMessage *p = data;
  Link *link = p->link;
  if (!link->closed && ends_live (w, link))
    {
      Host *h = w->hosts[p->to];
      host_receive (h, link, p->to_dialer, &p->message);
      host_pump (h);
    }
  in_flight_free (p);
}

/* Messages sent during a cut arrive after it ends, in order, as TCP resends
   them.  */
void
link_send (World *w, Link *link, gboolean dialer, const WmMessage *m)
{
  if (link->closed || !link->up)
    return;
  int way = dialer ? 0 : 1;
  guint from = dialer ? link->from : link->to;
  guint to = dialer ? link->to : link->from;
  GmTime due = w->now + world_jitter (w, MIN_LATENCY, LATENCY_SPREAD);
  if (hosts_cut (w, from, to))
    due = MAX (due, w->cut_until[from][to] + RETRY_DELAY);
  due = MAX (due, link->last_delivery[way] + 1);
  link->last_delivery[way] = due;
  InFlightMessage *p = g_new0 (InFlightMessage, 1);
  p->link = link;
  p->to = to;
  p->to_dialer = !dialer;
  wm_copy (&p->message, m);
  world_at (w, due - w->now, AT_HOST, to, deliver, in_flight_free, p);
}

/* A link that is being established.  */
typedef struct
{
  Link *link;
  GmTime until;
} Dial;

void host_link_up (Host *h, Link *link);

static void
connect_link (World *w, gpointer data)
{
  Dial *dial = data;
  Link *link = dial->link;
  Host *to = w->hosts[link->to];
  Host *from = w->hosts[link->from];
  gboolean silent = hosts_cut (w, link->from, link->to) || to->frozen;
  if (link->closed)
    ;
  else if (silent && w->now < dial->until)
    {
      world_at (w, RETRY_DELAY, AT_HOST, link->from, connect_link, g_free,
                dial);
      return;
    }
  else if (silent || !to->alive)
    link_close (w, link, G_MAXUINT);
  else
    {
      link->to_epoch = to->epoch;
      link->up = TRUE;
      host_link_up (from, link);
      host_pump (from);
    }
  g_free (dial);
}

Link *
link_dial (Host *h, guint to, LinkPurpose purpose)
{
  World *w = h->world;
  Link *link = g_new0 (Link, 1);
  link->number = ++w->next_number;
  link->purpose = purpose;
  link->from = h->index;
  link->to = to;
  link->from_epoch = h->epoch;
  link->to_epoch = w->hosts[to]->epoch;
  g_ptr_array_add (w->links, link);
  Dial *dial = g_new0 (Dial, 1);
  dial->link = link;
  dial->until = w->now + CONNECT_TIMEOUT;
  world_at (w, 2 * world_jitter (w, MIN_LATENCY, LATENCY_SPREAD), AT_HOST,
            h->index, connect_link, g_free, dial);
  return link;
}
