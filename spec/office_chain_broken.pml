/* Broken: a commit doesn't require the row to be as the leader's last commit
   left it. */
#define EXPECT(i) (true)
#define CLOSE(w, i) \
  if :: w_closed[w] < tracked_run[i] -> w_closed[w] = tracked_run[i] :: else fi
#define MAX_RESTARTS 0
#define MAY_NOTE(w) (true)
#define BIND(w) (0)
#define MAY_START(i, w) FREE_OR_ON(i, w)
#include "office_chain.h"
