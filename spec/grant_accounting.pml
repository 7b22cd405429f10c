/* A lost answer is resolved by its nonce, which tells what the answer said. A
   dead holder's grants are given back once its work is confirmed to be over. */
#define LOST(i) answer(i)
#define MAY_RECLAIM(i) (running[i] == 0)
#include "grant.h"
