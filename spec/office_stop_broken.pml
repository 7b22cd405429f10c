/* Broken: a run that its worker doesn't list is given up without being stopped
   there, though its start order may still be in flight. */
#define EXPECT(i) (op_expect[i] == version)
#define CLOSE(w, i) skip
#include "office_chain.h"
