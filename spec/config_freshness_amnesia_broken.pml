/* Broken: a restarted member votes for the head as soon as it has been up for
   DELAY, though it may have forgotten a promise and missed the commit. */
#define MAY_COMMIT (PROMISES >= 2)
#define MAY_VOTE(i) (uptime[i] >= DELAY)
#include "config_freshness.h"
