/* File storage for the control log, in a data folder.

   identity: the random identifier of this disk.  vote: term and vote.
   snapshot: the latest snapshot.  log: records, each with a length, a CRC-32
   and an entry.  Files are replaced by a rename and a sync of the folder;
   appended records are synced before the call returns.

   A truncated record at the end of the log results from a crash during an
   append that was never acknowledged, so it is removed.  Any other damage
   stops the host.  */
#pragma once
#include "clog.h"

typedef struct ClFileStore ClFileStore;

/* Opens the folder PATH, creating it if necessary, and locks it against a
   second process.  Returns NULL and sets STATUS on failure.  Free the store
   through its class.  */
ClFileStore *cl_file_store_open (const char *path, GmStatus *status);
/* Returns the ClStore interface of STORE, owned by STORE.  */
ClStore *cl_file_store (ClFileStore *store);
/* Returns the disk's identity, owned by STORE.  */
const char *cl_file_store_disk (const ClFileStore *store);
/* Returns the number of bytes removed from the end of the log when it was
   loaded.  */
gsize cl_file_store_truncated_bytes (const ClFileStore *store);
