/* Broken: a commit doesn't require the row to be as the leader's last commit
   left it. */
#define EXPECT(i) (true)
#define CLOSE(w, i) \
  if :: w_closed[w] < tracked_run[i] -> w_closed[w] = tracked_run[i] :: else fi
#include "office_chain.h"
