/* Every write of an owner carries its lease row as a precondition. */
#define FENCE(i) (op_epoch[i] == epoch)
#include "shard_lease.h"
