/* A lost answer is resolved by the operation's nonce, which shows what the
   answer was. A dead holder's grants are reclaimed once its work is confirmed
   to have ended. */
#define LOST(i) receive_answer(i)
#define MAY_RECLAIM(i) (running[i] == 0)
#include "grant.h"
