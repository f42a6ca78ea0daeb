/* Links between our processes: framed msgpack over TCP, on the main context.

   Both ends prove the shared key over fresh nonces before a link is up; the
   frames after that are not signed.  A frame that can't be decoded closes its
   link alone.  A link whose send queue is full refuses further messages, which
   the sender reports as not sent.

   Links are reference counted: lk_dial returns a reference that lk_close
   drops; an accepted link is owned by its server until it closes.  The down
   call is the last one for a link.  */
#pragma once
#include "conf/settings.h"
#include "message.h"

#define LK_QUEUE_MAX (16 * 1024 * 1024) /* bytes waiting to be sent */
#define LK_HANDSHAKE_MS 2000
#define LK_SILENCE_MS                                                         \
  2000 /* a peer may leave bytes unacknowledged: longer                       \
          than a lost packet takes to be sent again three                     \
          times */

typedef struct LkLink LkLink;
typedef struct LkServer LkServer;

/* What an owner of links is told.  message is borrowed for the call.  */
typedef struct
{
  void (*up) (LkLink *link, void *owner);
  void (*message) (LkLink *link, const WmMessage *message, void *owner);
  void (*down) (LkLink *link, void *owner);
} LkHandler;

/* Who this process is on its links; borrowed, must outlive them.  */
typedef struct
{
  const char *host;
  guint64 incarnation;
  const char *key;
} LkIdentity;

/* Listens at ADDRESS; NULL and STATUS when it can't.  Port 0 takes a free
   port, which is stored in ADDRESS.  */
LkServer *lk_listen (CfAddress *address, const LkIdentity *self,
                     const LkHandler *handler, void *owner, GmStatus *status);
/* Stops listening; accepted links stay up.  */
void lk_server_free (LkServer *server);
/* Starts to connect; the handler hears up or down.  */
LkLink *lk_dial (const CfAddress *address, const LkIdentity *self,
                 const LkHandler *handler, void *owner);
/* Queues MESSAGE.  FALSE when the link isn't up or its queue is full; nothing
   of the message was sent then.  */
gboolean lk_send (LkLink *link, const WmMessage *message);
/* Closes without a down call.  */
void lk_close (LkLink *link);
/* The other end's host name, or NULL before the link is up.  */
const char *lk_peer (const LkLink *link);
/* The other end's incarnation.  */
guint64 lk_incarnation (const LkLink *link);
/* Whether the link is up.  */
gboolean lk_is_up (const LkLink *link);
