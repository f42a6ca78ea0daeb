/* The settings of one process of the daemon: its addresses, data centre, roles
   and bounds.  Read at start; what a running process takes over of a later
   version is listed with cf_settings_take.  */
#pragma once
#include "base/clock.h"
#include "json/json.h"

/* An IP number and a port.  */
typedef struct
{
  char *ip;
  guint16 port;
} CfAddress;

/* A control host as the settings list it.  */
typedef struct
{
  char *host;        /* NULL for a seed, whose name is not known beforehand */
  CfAddress address; /* of its link listener */
} CfPeer;

typedef struct
{
  char *host; /* the host's name, unique in the system */
  char *data_centre;
  char *cluster_key;   /* shared key of links and tokens */
  CfAddress caller;    /* HTTP for callers and announcements */
  CfAddress operator_; /* HTTP for operators; port 0: none */
  CfAddress link;
  gboolean entry;
  gboolean dispatcher;
  gboolean control;
  gboolean pool;        /* holds the queues of single databases */
  char *data;           /* data folder, control role only */
  GPtrArray *peers;     /* CfPeer *, the control hosts, or some of them */
  gboolean seeded;      /* peers are seeds: the others are learned, the group
                           forms and heals by itself */
  gboolean found;       /* the first seed, by address, founds the group */
  gint64 voters_min;    /* that hold a declaration before it is acknowledged */
  JsDocument *document; /* keeps platform */
  json_object *platform; /* settings of the platform's edges, or NULL */
  char *log_file;        /* NULL: standard error */
  char *log_level;
  char *caller_token;    /* NULL: callers need none */
  char *operator_token;  /* NULL: operators need none */
  char *tls_certificate; /* PEM file, NULL: plain HTTP */
  char *tls_key;
  gint64 body_max;   /* bytes */
  gint64 answer_max; /* bytes */
  gint64 connections_max;
  gint64 idle_ms; /* for callers' connections without traffic */
  gint64 drain_ms;
  gint64 control_lease_ms; /* 0: serve on without control */
  double link_mbps; /* what the host's link carries each way; 0: ample */
} CfSettings;

/* Reads and checks the file PATH; NULL and STATUS on a fault.  Free the
   result with cf_settings_free.  */
CfSettings *cf_settings_read (const char *path, GmStatus *status);
/* What differs between two versions of a process's settings, as bits.  */
enum
{
  CF_CHANGED_PEERS = 1,     /* the control hosts that the settings name */
  CF_CHANGED_LOG_LEVEL = 2, /* from which on events are logged */
  CF_CHANGED_REST = 4       /* anything else, which only a start takes over */
};
/* Takes the control hosts and the log level of FRESH over into SETTINGS, and
   returns what differed.  What is left for the next start counts as different
   once.  Both stay the caller's.  */
guint cf_settings_take (CfSettings *settings, CfSettings *fresh);
/* Frees SETTINGS; NULL is allowed.  */
void cf_settings_free (CfSettings *settings);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfSettings, cf_settings_free)
/* Parses "IP:port" into ADDRESS, whose former IP is freed.  Host names are
   refused.  Returns FALSE when TEXT is not an IP number and a port.  */
gboolean cf_address_parse (const char *text, CfAddress *address);
