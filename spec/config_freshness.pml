/* Version 2 is committed after a majority promised it. A restarted member
   speaks for the head once the head was confirmed to it at a time when no
   promise that it may have forgotten was still to be committed. */
#define MAY_COMMIT (PROMISES >= 2)
#define SPEAKS(i) (CONFIRMED(i) <= F && up[i] >= DELAY + CONFIRMED(i))
#include "config_freshness.h"
