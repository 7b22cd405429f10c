/* Broken: a restarted member speaks for the head as soon as it is old enough,
   though it may have forgotten a promise and missed the commit. */
#define MAY_COMMIT (PROMISES >= 2)
#define SPEAKS(i) (up[i] >= DELAY)
#include "config_freshness.h"
