/* Broken: an operation whose answer was lost is sent again without its nonce,
   so that a release may apply twice. */
#define LOST(i) answered[i] = false; applied[i] = false
#define MAY_RECLAIM(i) (running[i] == 0)
#include "grant.h"
