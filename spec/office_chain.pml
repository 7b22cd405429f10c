#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) \
  if :: w_closed[w] < book[i] -> w_closed[w] = book[i] :: else fi
#include "office_chain.h"
