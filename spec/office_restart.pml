/* A worker may restart under its id. Until no start on a worker can be carried
   out any more, the task of a run that was given up there runs on that worker
   only, and its end is not recorded. Then a stop that the newest incarnation
   has answered makes the task free. */
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
#define MAY_START(i, w) FREE_OR_ON(i, w)
#include "office_chain.h"
