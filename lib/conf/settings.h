/* The settings of one daemon process: its addresses, data centre, roles and
   limits.  They are read at start; cf_settings_apply says which of them a
   running process takes over from a changed file.  */
#pragma once
#include "base/clock.h"
#include "json/json.h"

/* An IP address and a port.  */
typedef struct
{
  char *ip;
  guint16 port;
} CfAddress;

/* A control host listed in the settings.  */
typedef struct
{
  char *host;        /* NULL for a seed, whose name is learned later */
  CfAddress address; /* of its link listener */
} CfPeer;

typedef struct
{
  char *host; /* name of this host, unique in the cluster */
  char *data_centre;
  char *cluster_key;   /* shared secret of links and session tokens */
  CfAddress caller;    /* HTTP for callers and announcements */
  CfAddress operator_; /* HTTP for operators; ip NULL: none */
  CfAddress link;
  gboolean entry;
  gboolean dispatcher;
  gboolean control;
  gboolean pool;             /* holds queues of databases */
  char *data;                /* data folder; control role only */
  GPtrArray *peers;          /* CfPeer *, all or some control hosts */
  gboolean uses_seeds;       /* peers are seeds: the other control hosts are
                            discovered, and the control group forms and repairs
                            itself */
  gboolean may_create_group; /* the first seed in string order of addresses
                     creates the control group */
  gint64 voters_min;     /* voters that must store a declaration before it is
                            acknowledged */
  JsDocument *document;  /* owns platform */
  json_object *platform; /* settings of the platform's interfaces, or NULL */
  char *log_file;        /* NULL: standard output */
  char *log_level;
  char *caller_token;    /* bearer token; NULL: callers need none */
  char *operator_token;  /* bearer token; NULL: operators need none */
  char *tls_certificate; /* PEM file; NULL: plain HTTP */
  char *tls_key;
  gint64 body_max;   /* bytes */
  gint64 answer_max; /* bytes */
  gint64 connections_max;
  double memory_mb; /* memory of this host, of which buffers take a share */
  gint64 ahead_max; /* bytes read ahead of a statement that is running */
  gint64 line_ms;   /* time in which a line must be complete */
  gint64 unread_ms; /* time that an answer may wait without being read */
  gint64 handshakes_max; /* accepted links that have not proved the key yet */
  gint64 idle_ms;        /* until a caller's idle connection is closed */
  gint64 drain_ms;
  gint64 control_lease_ms; /* how long a control stamp is valid; 0: serve
                              without control hosts, too */
  /* Customers.  */
  gint64 revocation_ms;   /* longest time for which a withdrawn key is accepted
                             by a host that did not hear of it; 0: any time */
  gint64 quota_window_ms; /* window in which operations of a customer count
                             against its limit; 0: no limits */
  double quota_overage;   /* tolerated excess, as a share of the limit */
  gint64 quota_slack;     /* tolerated excess, in operations */
  double link_mbps; /* bandwidth of this host's network link in each direction;
                       0: not limiting */
} CfSettings;

/* Reads and validates the file PATH.  Returns NULL and fills STATUS on an
   error.  Free the settings with cf_settings_free.  */
CfSettings *cf_settings_read (const char *path, GmStatus *status);
/* Bits that say which settings differ between two versions of the file.  */
enum
{
  CF_CHANGED_PEERS = 1,        /* the list of control hosts */
  CF_CHANGED_LOG_LEVEL = 2,    /* the lowest level that is logged */
  CF_CHANGED_NEEDS_RESTART = 4 /* any other setting, which takes effect at the
                        next start */
};
/* Copies the control hosts and the log level of FRESH into SETTINGS and
   returns CF_CHANGED_* bits for what differed.  FRESH becomes the version that
   the next call compares with, so CF_CHANGED_NEEDS_RESTART is reported once
   per change. Both stay owned by the calling function; the former values of
   SETTINGS move into FRESH.  */
guint cf_settings_apply (CfSettings *settings, CfSettings *fresh);
/* Returns the bytes that buffers for callers may take, an eighth of the host's
   memory; HTTP bodies may take as much again.  */
gsize cf_buffers_max (const CfSettings *settings);
/* Returns WANTED connections, or fewer where the process may open only few
   descriptors: each use of them is left its share.  PARTS of 8 are allowed. */
guint cf_connections_max (gint64 wanted, guint parts);
/* Frees SETTINGS; NULL is allowed.  */
void cf_settings_free (CfSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfSettings, cf_settings_free)
/* Parses "IP:port" into ADDRESS, whose former IP is freed.  Host names are
   refused, and so is an address of a network interface that this host does
   not have.  Returns FALSE when TEXT is not an IP address and a port.  */
gboolean cf_address_parse (const char *text, CfAddress *address);
/* Whether ADDRESS is an IPv4 address.  */
gboolean cf_address_is_ipv4 (const CfAddress *address);
