/* A lost answer is resolved by its nonce, which shows what the answer was. A
   dead holder's grants are released once its work is confirmed to have
   ended. */
#define LOST(i) answer(i)
#define MAY_RECLAIM(i) (running[i] == 0)
#include "grant.h"
