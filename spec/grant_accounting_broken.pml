/* Broken: a dead holder's grants are reclaimed while its work still runs. */
#define LOST(i) receive_answer(i)
#define MAY_RECLAIM(i) true
#include "grant.h"
