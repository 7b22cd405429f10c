/* Broken: an owner checks its lease and then writes without its lease row as
   a precondition. */
#define PRECONDITION(i) true
#include "shard_lease.h"
