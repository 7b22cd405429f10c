/* Broken: version 2 is committed without the promises of others, so that a
   majority which never heard of it goes on acting on version 1. */
#define MAY_COMMIT true
#define SPEAKS(i) (CONFIRMED(i) <= F && up[i] >= DELAY + CONFIRMED(i))
#include "config_freshness.h"
