/* Broken: a dead holder's grants are given back while its work runs on. */
#define LOST(i) answer(i)
#define MAY_RECLAIM(i) true
#include "grant.h"
