/* Broken: version 2 is committed without promises from other members, so that a
   majority that never heard of it keeps acting on version 1. */
#define MAY_COMMIT true
#define MAY_VOTE(i) (CONFIRMED(i) <= F && uptime[i] >= DELAY + CONFIRMED(i))
#include "config_freshness.h"
