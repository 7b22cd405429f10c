/* Broken: a release whose answer was lost is made again without its nonce. */
#define LOST(i) done[i] = false; applied[i] = false
#define MAY_RECLAIM(i) (running[i] == 0)
#include "grant.h"
