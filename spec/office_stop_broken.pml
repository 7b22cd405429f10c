/* Broken: a run that its worker doesn't list is given up without being stopped
   there, though its start order may still be in flight. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) skip
#define MAX_RESTARTS 0
#define MAY_NOTE(w) (true)
#define BIND(w) (0)
#define MAY_START(i, w) FREE_OR_ON(i, w)
#include "office_chain.h"
