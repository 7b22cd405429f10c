/* Broken: a run is given up once an incarnation has answered a stop, though
   the next one may still start it. */
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
#define BIND(w) 0
#define MAY_START(i, w) FREE_OR_ON(i, w)
#include "office_chain.h"
