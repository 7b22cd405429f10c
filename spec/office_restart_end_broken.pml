/* Broken: an end is recorded while a start of an earlier run may still be
   carried out by the next incarnation. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) \
  if \
  :: w_closed[w] < tracked_run[i] -> \
     w_closed[w] = tracked_run[i]; \
     if :: w_run[w] <= tracked_run[i] -> w_run[w] = 0 :: else fi \
  :: else \
  fi
#define MAX_RESTARTS 1
#define MAY_NOTE(w) (true)
#define BIND(w) (w * PENDING(w))
#define MAY_START(i, w) FREE_OR_ON(i, w)
#include "office_chain.h"
