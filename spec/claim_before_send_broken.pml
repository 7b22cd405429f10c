/* Broken: a lost answer is treated as a failure while the claim may still
   apply. */
#define RESOLVE(i) state[i] = (applied[i] -> claimed : refused)
#include "claim.h"
