/* Typed messages between processes, defined as X-macro lists.

   The messages are used as frames on links, as commands of the control log and
   as records of the log and its snapshots.  A message owns its strings and
   byte blocks; wm_clear frees them.

   Field types: U is a guint64; S is an owned NUL-terminated char * (an
   identifier or a text); B is an owned GBytes *.  S and B fields are never
   NULL after decoding; when encoding, NULL stands for an empty value.  */
#pragma once
#include "base/kind.h"

#define WM_VERSION 4
#define WM_FRAME_MAX (8 * 1024 * 1024) /* bytes, without the length prefix */
#define WM_CONFIG_HIGHEST 1
#define WM_CONFIG_PACKED 2
#define WM_LENGTH_BYTES 4 /* big-endian length prefix of a frame */

/* clang-format mistakes the field lists for casts.  */
/* clang-format off */

/* Link handshake: the accepting side sends CHALLENGE, the connecting side
   HELLO, the accepting side WELCOME.  proof shows knowledge of the shared
   key.  */
#define WM_CHALLENGE(U, S, B) \
  U (version) B (nonce)
#define WM_HELLO(U, S, B) \
  U (version) S (host) U (incarnation) B (nonce) B (proof)
#define WM_WELCOME(U, S, B) \
  S (host) U (incarnation) B (proof)

/* Control log.  disk is the identity of the sender's data folder.  sent is
   the sender's clock; the receiver returns it as echo.  age is how long ago
   a quorum confirmed the leader.  */
#define WM_VOTE_ASK(U, S, B) \
  U (term) S (from) S (disk) U (pre) U (last_index) U (last_term)
#define WM_VOTE(U, S, B) \
  U (term) S (from) S (disk) U (pre) U (granted)
#define WM_APPEND(U, S, B) \
  U (term) S (from) S (disk) U (prev_index) U (prev_term) U (commit) \
  U (sent) U (echo) U (age) B (entries)
#define WM_APPENDED(U, S, B) \
  U (term) S (from) S (disk) U (ok) U (match) U (sent) U (echo)
#define WM_INSTALL(U, S, B) \
  U (term) S (from) S (disk) U (index) U (index_term) U (sent) \
  B (members) B (data)
#define WM_JOIN(U, S, B) \
  S (from) S (disk) S (address) U (forwarded)

/* Subscriptions to the control state.  SUBSCRIBE is also a host's heartbeat;
   if forwarded is set, a control host passed the heartbeat on to the leader,
   and the message does not subscribe the host there.  packed tells that the
   block is compressed.  */
#define WM_SUBSCRIBE(U, S, B) \
  S (host) U (incarnation) U (version) U (config) U (sent) U (draining) \
  S (caller) S (link) S (data_centre) U (roles) U (forwarded) U (link_rate)
#define WM_DELTA(U, S, B) \
  U (first) U (count) B (commands) U (packed)
#define WM_STATE(U, S, B) \
  U (version) B (data) U (packed)
#define WM_STAMP(U, S, B) \
  U (echo) U (age) U (version) S (leader)

/* Requests to the leader, sent by any host through its control host.  */
#define WM_PROPOSE(U, S, B) \
  U (sequence) S (host) B (command)
#define WM_PROPOSED(U, S, B) \
  U (sequence) S (host) U (kind) S (message) U (version)
#define WM_REPORT(U, S, B) \
  S (host) S (group) U (term) B (databases)
#define WM_STATUS_ASK(U, S, B) \
  U (sequence) S (host) U (history)
#define WM_STATUS_TEXT(U, S, B) \
  U (sequence) S (host) B (text)
#define WM_VOTER(U, S, B) \
  U (sequence) S (host) S (member) S (action)

/* The state of one database as a dispatcher sees it; part of a REPORT.
   received and applied are log positions.  silent, stuck and confirmed are
   in milliseconds; confirmed is the time since a write was last confirmed on
   the database, stuck_ended as in PlHealth.  open is the number of requests and transactions in progress
   on the database.  confirmed_state is the version of the control state that
   PlHealth has under this name.  */
#define WM_SEEN(U, S, B) \
  S (id) U (reachable) U (primary) U (term) U (last_term) U (received) \
  U (applied) U (silent) U (stuck) U (open) U (confirmed) U (confirmed_state) \
  U (stuck_ended)

/* Requests from an entry host to a dispatcher.  operation is a DpOperation.
   incarnation is that of the dispatcher that holds the transaction.
   deadline is the remaining time in microseconds.  session tells whether the
   position in the token can be trusted.  config is the number of the
   configuration by which the sender routed it.  */
#define WM_EXEC(U, S, B) \
  U (sequence) U (generation) U (operation) S (service) S (group) \
  S (request_id) S (statement) B (params) U (transaction) U (incarnation) \
  U (deadline) U (session) U (token_term) U (token_position) U (config)
#define WM_RESULT(U, S, B) \
  U (sequence) U (generation) U (kind) S (message) U (retry_ms) \
  U (transaction) U (token_term) U (token_position) S (database) \
  U (replica) B (rows)

/* Liveness probe of a link; the peer returns the same number.  */
#define WM_PING(U, S, B) \
  U (number)
#define WM_PONG(U, S, B) \
  U (number)

/* Statements from an entry host to the pool of one database.  operation is a
   PlOperation, begins a DpBegin.  incarnation is that of the database,
   holder that of the pool's process, which assigned the transaction number.
   deadline is the remaining time in microseconds; waited is the time that
   the statement spent before it reached the pool plus the time that the
   reply will take.  values alternates the names and values of the session's
   settings.  A statement is given either as text or as prepared (the
   definition of the prepared statement to execute) with arguments.
   stand_in: the sender's own host serves the statement because the holder of
   the queue is unreachable.  customer is the name of the customer whose key
   the caller has; empty: none.  movable: another copy may run the statement,
   so a queue that can't serve it in time gives it back.  writes: it is a write
   or ends a transaction that wrote.  config is the number of the configuration
   by which the sender routed it; rank, worth, target_ms and limit_ms are what
   that declares of the service, for a receiver that does not have it yet.  */
#define WM_STATEMENT(U, S, B) \
  U (sequence) S (database) U (incarnation) U (holder) U (operation) \
  U (begins) U (transaction) S (service) U (deadline) \
  U (waited) U (after_term) \
  U (after_number) S (id) S (text) S (prepared) S (arguments) B (values) \
  U (stand_in) S (customer) U (movable) U (writes) \
  U (config) U (rank) U (worth) U (target_ms) U (limit_ms)
/* point_term and point_number are the position after the statement.
   lead_term and lead_number are the newest position known to the pool to
   include every write acknowledged lead_age microseconds ago.  wait is the
   time that a further statement would wait.  open tells whether the
   transaction is still open.  held is how long the pool had the statement,
   in microseconds.  running is the work of the statements that the share runs,
   cost the mean work of a statement of this service, both in microseconds, and
   slots the number of the share's slots.  */
#define WM_STATEMENT_DONE(U, S, B) \
  U (sequence) U (kind) S (message) U (retry_ms) U (holder) U (transaction) \
  U (open) U (point_term) U (point_number) U (lead_term) U (lead_number) \
  U (lead_age) U (wait) S (signature) B (rows) U (held) \
  U (running) U (cost) U (slots)

/* From an entry host to the host that lends a customer's operations in its
   data centre: wanted more operations are asked for, returned ones of an
   earlier grant will not be used.  valid is the time in microseconds, from the
   sending of the QUOTA_ASK, in which granted operations may be used; retry_ms
   is when to ask again after a refusal.  used operations of earlier grants were
   used; lent_at of a grant, on the lender's clock, is sent back with the next
   request for the oldest of the grants that returned and used are about.
   version is that of the sender's copy of the control state.  */
#define WM_QUOTA_ASK(U, S, B) \
  U (sequence) S (customer) U (wanted) U (returned) U (used) U (lent_at) \
  U (version)
#define WM_QUOTA_GRANT(U, S, B) \
  U (sequence) S (customer) U (granted) U (valid) U (retry_ms) U (lent_at)

/* The caller of the statement with this sequence has gone: if the statement
   has not run, it is not to run.  No answer follows.  */
#define WM_WITHDRAW(U, S, B) \
  U (sequence)

/* Commands of the control log.  kept of a host is set in snapshots: an earlier
   incarnation of it was known, and had not expired, when it was recorded.
   link_rate is the bandwidth of a host's link
   in each direction, in bits per second; 0: no limit.  groups lists the
   names of the groups that text declares; the proposer has validated text.
   highest holds the flags WM_CONFIG_HIGHEST (the highest number wins) and
   WM_CONFIG_PACKED (text and source are compressed).
   With groups, a configuration that is superseded at once need not be
   parsed; if groups is empty, text is parsed when the command is applied.  */
#define WM_CMD_CONFIG(U, S, B) \
  U (number) S (digest) B (text) S (who) U (when) U (highest) B (source) \
  B (groups)
#define WM_CMD_HOST(U, S, B) \
  S (host) U (incarnation) S (caller) S (link) S (data_centre) U (roles) \
  U (link_rate) U (kept)
#define WM_CMD_HOST_DOWN(U, S, B) \
  S (host) U (incarnation)
#define WM_CMD_DATABASE(U, S, B) \
  S (id) S (group) S (address) S (data_centre) U (slots) U (connections) \
  U (leaving) U (incarnation) U (term) U (primary) U (sequence)
#define WM_CMD_DATABASE_DOWN(U, S, B) \
  S (id) U (incarnation)
/* The database has left for good: heartbeats of this incarnation that come late
   are refused.  */
#define WM_CMD_DATABASE_LEFT(U, S, B) \
  S (id) U (incarnation)
/* The database has been out of sight for so long that nothing it holds counts
   any more.  */
#define WM_CMD_DATABASE_LOST(U, S, B) \
  S (id) U (incarnation)
#define WM_CMD_TERM(U, S, B) \
  S (group) U (term) S (reason) U (when)
#define WM_CMD_PRIMARY(U, S, B) \
  S (group) U (term) S (id) U (when) S (holder) U (round)
#define WM_CMD_PROMOTED(U, S, B) \
  S (group) U (token)

/* Records of snapshots and of the log on disk.  */
#define WM_REC_GROUP(U, S, B) \
  S (group) U (term) S (primary) S (avoid) U (decided) S (holder) \
  U (round) U (settled)
#define WM_REC_AUDIT(U, S, B) \
  U (version) U (when) S (who) S (what) U (number) S (digest) U (kind)
#define WM_REC_HISTORY(U, S, B) \
  U (number) S (digest) U (version)
#define WM_REC_ENTRY(U, S, B) \
  U (index) U (term) U (type) B (data)
#define WM_REC_VOTE(U, S, B) \
  U (term) S (vote)
#define WM_REC_MEMBER(U, S, B) \
  S (host) S (disk) S (address) U (voter)
#define WM_REC_SNAPSHOT(U, S, B) \
  U (index) U (term) B (members) B (data)
#define WM_REC_MISSING(U, S, B) \
  S (id) S (group) S (address) U (incarnation) U (left)

/* clang-format on */

#define WM_MESSAGES(M)                                                        \
  M (CHALLENGE, challenge)                                                    \
  M (HELLO, hello)                                                            \
  M (WELCOME, welcome)                                                        \
  M (VOTE_ASK, vote_ask)                                                      \
  M (VOTE, vote)                                                              \
  M (APPEND, append)                                                          \
  M (APPENDED, appended)                                                      \
  M (INSTALL, install)                                                        \
  M (JOIN, join)                                                              \
  M (SUBSCRIBE, subscribe)                                                    \
  M (DELTA, delta)                                                            \
  M (STATE, state)                                                            \
  M (STAMP, stamp)                                                            \
  M (PROPOSE, propose)                                                        \
  M (PROPOSED, proposed)                                                      \
  M (REPORT, report)                                                          \
  M (STATUS_ASK, status_ask)                                                  \
  M (STATUS_TEXT, status_text)                                                \
  M (VOTER, voter)                                                            \
  M (PING, ping)                                                              \
  M (PONG, pong)                                                              \
  M (SEEN, seen)                                                              \
  M (EXEC, exec)                                                              \
  M (RESULT, result)                                                          \
  M (STATEMENT, statement)                                                    \
  M (STATEMENT_DONE, statement_done)                                          \
  M (CMD_CONFIG, cmd_config)                                                  \
  M (CMD_HOST, cmd_host)                                                      \
  M (CMD_HOST_DOWN, cmd_host_down)                                            \
  M (CMD_DATABASE, cmd_database)                                              \
  M (CMD_DATABASE_DOWN, cmd_database_down)                                    \
  M (CMD_DATABASE_LEFT, cmd_database_left)                                    \
  M (CMD_TERM, cmd_term)                                                      \
  M (CMD_PRIMARY, cmd_primary)                                                \
  M (CMD_PROMOTED, cmd_promoted)                                              \
  M (REC_GROUP, rec_group)                                                    \
  M (REC_AUDIT, rec_audit)                                                    \
  M (REC_HISTORY, rec_history)                                                \
  M (REC_ENTRY, rec_entry)                                                    \
  M (REC_VOTE, rec_vote)                                                      \
  M (REC_MEMBER, rec_member)                                                  \
  M (REC_SNAPSHOT, rec_snapshot)                                              \
  M (CMD_DATABASE_LOST, cmd_database_lost)                                    \
  M (REC_MISSING, rec_missing)                                                \
  M (QUOTA_ASK, quota_ask)                                                    \
  M (QUOTA_GRANT, quota_grant)                                                \
  M (WITHDRAW, withdraw)

typedef enum
{
#define M(NAME, name) WM_TYPE_##NAME,
  WM_MESSAGES (M)
#undef M
      WM_TYPE_COUNT
} WmType;

#define WM_MEMBER_U(name) guint64 name;
#define WM_MEMBER_S(name) char *name;
#define WM_MEMBER_B(name) GBytes *name;

#define M(NAME, name)                                                         \
  struct wm_##name                                                            \
  {                                                                           \
    WM_##NAME (WM_MEMBER_U, WM_MEMBER_S, WM_MEMBER_B)                         \
  };
WM_MESSAGES (M)
#undef M

/* A message; type selects the valid union member.  */
typedef struct
{
  WmType type;
  union
  {
#define M(NAME, name) struct wm_##name name;
    WM_MESSAGES (M)
#undef M
  };
} WmMessage;

/* Returns the static name of TYPE, for logs.  */
const char *wm_type_name (WmType type);
/* Encodes MESSAGE without a length prefix.  Free the result with
   g_bytes_unref.  */
GBytes *wm_encode (const WmMessage *message);
/* Appends MESSAGE with its length prefix to OUT, as in frames and lists.  */
void wm_append (GByteArray *out, const WmMessage *message);
/* Decodes LENGTH bytes at DATA into MESSAGE, which the caller clears.  On
   failure, leaves MESSAGE empty, sets STATUS and returns GM_CORRUPT.  */
GmKind wm_decode (const void *data, gsize length, WmMessage *message,
                  GmStatus *status);
/* Decodes the message at offset *AT of LIST and advances *AT past the message.
   Returns FALSE at the end and on failure; after a failure *AT is less than
   the size of LIST.  */
gboolean wm_next (GBytes *list, gsize *at, WmMessage *message);
/* Frees the contents of MESSAGE and leaves MESSAGE empty.  */
void wm_clear (WmMessage *message);
/* Copies FROM into TO, which must be empty.  */
void wm_copy (WmMessage *to, const WmMessage *from);

/* Queues of heap-allocated messages.  wm_queue_put appends a copy.
   wm_queue_take removes the first message, which the caller clears, or returns
   FALSE if there is none.  wm_queue_clear frees all messages.  */
void wm_queue_put (GQueue *queue, const WmMessage *message);
gboolean wm_queue_take (GQueue *queue, WmMessage *message);
void wm_queue_clear (GQueue *queue);

/* Encodes COUNT strings, each of which may be NULL, as a block.  */
GBytes *wm_strings_encode (const char *const *strings, guint count);
/* Decodes a block of strings into an array that owns the strings.  Returns
   NULL if BLOCK is malformed.  */
GPtrArray *wm_strings_decode (GBytes *block);
