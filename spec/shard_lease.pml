/* Every write of an owner carries its lease row as a precondition. */
#define PRECONDITION(i) (op_epoch[i] == epoch)
#include "shard_lease.h"
