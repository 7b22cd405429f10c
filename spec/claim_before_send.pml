/* A lost answer is resolved: the nonce is spent, then it tells. */
#define RESOLVE(i) spent[i] = true; state[i] = (applied[i] -> claimed : refused)
#include "claim.h"
