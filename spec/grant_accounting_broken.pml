/* Broken: a dead holder's grants are released while its work still runs. */
#define LOST(i) answer(i)
#define MAY_RECLAIM(i) true
#include "grant.h"
