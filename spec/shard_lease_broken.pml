/* Broken: an owner checks its lease and then writes without the fence. */
#define FENCE(i) true
#include "shard_lease.h"
