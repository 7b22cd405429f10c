/* A commit applies only if the row is as the leader's last commit left it. A
   run that its worker doesn't list is stopped there before it is given up. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) \
  if :: w_closed[w] < tracked_run[i] -> w_closed[w] = tracked_run[i] :: else fi
#include "office_chain.h"
