/* A commit applies only if the row is as the leader's last commit left it. A
   run that its worker doesn't list is stopped there before it is given up. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) \
  if :: w_closed[w] < tracked_run[i] -> w_closed[w] = tracked_run[i] :: else fi
#define MAX_RESTARTS 0
#define MAY_NOTE(w) (true)
#define BIND(w) (0)
#define MAY_START(i, w) FREE_OR_ON(i, w)
#include "office_chain.h"
