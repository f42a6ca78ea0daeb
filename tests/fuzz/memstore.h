/* In-memory implementation of the control log's store, for tests.  */
#pragma once
#include "clog/clog.h"

/* Returns an empty store; free it with its class's free function.  */
ClStore *memstore_new (void);
/* Returns how many syncs the operations on STORE have needed on a disk.  */
guint64 memstore_syncs (const ClStore *store);
/* Makes every operation of STORE fail, or succeed again.  */
void memstore_fail (ClStore *store, gboolean failing);
