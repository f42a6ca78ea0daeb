/* In-memory implementation of the control log's store, for tests.  */
#pragma once
#include "clog/clog.h"

/* Returns an empty store; free it with its class's free function.  */
ClStore *memstore_new (void);
