/* Broken: a claim whose answer was lost is taken to have applied. */
#define RESOLVE(i) state[i] = claimed
#include "claim.h"
