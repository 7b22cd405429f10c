/* Version 2 is committed after a majority promised it. A restarted member votes
   for the head once it has a confirmation of the head from a time when no
   promise that it may have forgotten could still lead to a commit. */
#define MAY_COMMIT (PROMISES >= 2)
#define MAY_VOTE(i) (CONFIRMED(i) <= F && uptime[i] >= DELAY + CONFIRMED(i))
#include "config_freshness.h"
