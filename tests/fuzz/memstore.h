/* A control host's disk in memory, for the fuzzer.  */
#pragma once
#include "clog/clog.h"

/* An empty disk; free it through its class.  */
ClStore *memstore_new (void);
