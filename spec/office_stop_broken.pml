/* Left out: a run that its worker does not list is stopped there before it is
   given up, since its start may still be on the way. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) skip
#include "office_chain.h"
