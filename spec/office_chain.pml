#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) \
  if :: w_closed[w] < tracked_run[i] -> w_closed[w] = tracked_run[i] :: else fi
#include "office_chain.h"
