/* A lost answer is resolved: an empty transaction uses the claim's nonce,
   after which the table tells whether the claim was applied. */
#define RESOLVE(i) \
  nonce_used[i] = true; state[i] = (applied[i] -> claimed : refused)
#include "claim.h"
