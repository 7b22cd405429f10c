/* Broken: a claim whose answer was lost is assumed to have been applied. */
#define RESOLVE(i) state[i] = claimed
#include "claim.h"
