/* Links between galenamount processes: framed msgpack over TCP, on the main
   context.

   Before a link is up, both ends prove knowledge of the shared key with an
   HMAC over fresh nonces; later frames are not authenticated.  A frame that
   can't be decoded closes only its own link.  A link whose send queue is full
   refuses further messages, which the sender reports as not sent.

   Links are reference counted.  lk_dial returns a reference that lk_close
   releases; an accepted link is owned by its server until it closes.  The down
   handler is the last one called for a link.  */
#pragma once
#include "conf/settings.h"
#include "message.h"

#define LK_SEND_QUEUE_MAX_BYTES                                               \
  (16 * 1024 * 1024) /* bytes waiting to be sent */
#define LK_HANDSHAKE_TIMEOUT_MS 2000
/* How long sent data may stay unacknowledged before a link fails.  Longer than
   three retransmissions of a lost packet.  */
#define LK_UNACKED_TIMEOUT_MS 2000

typedef struct LkLink LkLink;
typedef struct LkServer LkServer;

/* Event handlers of the owner of a link.  MESSAGE is valid only during the
   call.  */
typedef struct
{
  void (*up) (LkLink *link, void *owner);
  void (*message) (LkLink *link, const WmMessage *message, void *owner);
  void (*down) (LkLink *link, void *owner);
} LkHandler;

/* Identity of this process in link handshakes.  Must outlive all links that
   use it.  */
typedef struct
{
  const char *host;
  guint64 incarnation;
  const char *key;
} LkIdentity;

/* Listens at ADDRESS.  Port 0 selects a free port, which is stored in ADDRESS.
   Returns NULL and sets STATUS on failure.  */
LkServer *lk_listen (CfAddress *address, const LkIdentity *self,
                     const LkHandler *handler, void *owner, GmStatus *status);
/* Limits the accepted links that have not finished the handshake to COUNT: one
   more closes the oldest of them.  */
void lk_server_limit_handshakes (LkServer *server, guint count);
/* Stops listening; accepted links stay up.  */
void lk_server_free (LkServer *server);
/* Starts to connect to ADDRESS.  HANDLER's up or down is called later.  */
LkLink *lk_dial (const CfAddress *address, const LkIdentity *self,
                 const LkHandler *handler, void *owner);
/* Queues MESSAGE.  Returns FALSE, with nothing sent, if the link isn't up or
   its send queue is full.  */
gboolean lk_send (LkLink *link, const WmMessage *message);
/* Closes LINK, which may be NULL, without calling the down handler.  */
void lk_close (LkLink *link);
/* Returns the peer's host name, or NULL before the link is up.  */
const char *lk_peer (const LkLink *link);
/* Returns the peer's incarnation.  */
guint64 lk_incarnation (const LkLink *link);
/* Returns whether the link is up.  */
gboolean lk_is_up (const LkLink *link);
