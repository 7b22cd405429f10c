/* Broken: a task is no longer bound as soon as no start on its worker can be
   carried out any more, without a further stop there. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) \
  if \
  :: w_closed[w] < tracked_run[i] -> \
     w_closed[w] = tracked_run[i]; \
     if :: w_run[w] <= tracked_run[i] -> w_run[w] = 0 :: else fi \
  :: else \
  fi
#define MAX_RESTARTS 1
#define MAY_NOTE(w) (!PENDING(w))
#define BIND(w) (w * PENDING(w))
#define MAY_START(i, w) \
  (FREE_OR_ON(i, w) || !PENDING(tracked_bound[i]))
#include "office_chain.h"
