/* Grant accounting: two holders share a limit through one row of the table.
   Answers may be lost. A holder may die while its work runs on; the end of that
   work must be confirmed before the holder's grants go to others. Each model
   defines LOST(i), what holder i does when an answer was lost, and
   MAY_RECLAIM(i), whether the grants of dead holder i may be reclaimed. */

#define LIMIT 2           /* grants of both holders together */
#define MAX_GRANTS 2      /* the most that one holder asks for */

mtype = { idle, acquire, release };

byte granted[2];          /* as the row has it */
byte known[2];            /* grants that the holder believes it has */
byte running[2];          /* units of work, each using one grant */
bool dead[2];
mtype op[2] = idle;
bool applied[2];
bool answered[2];         /* the table has answered */
byte deaths;

inline apply(i) {
  answered[i] = true;
  if
  :: op[i] == acquire && granted[0] + granted[1] < LIMIT ->
     granted[i]++; applied[i] = true
  :: op[i] == release && granted[i] > 0 -> granted[i]--; applied[i] = true
  :: else
  fi
}

inline receive_answer(i) {
  if
  :: op[i] == acquire && applied[i] -> known[i]++
  :: else
  fi;
  finish(i)
}

inline finish(i) {
  op[i] = idle; applied[i] = false; answered[i] = false
}

/* The grants of a dead holder become free, and the holder starts anew. */
inline reclaim(i) {
  granted[i] = 0; known[i] = 0; dead[i] = false
}

active proctype fleet() {
  byte i = 0;
  do
  :: atomic {
     if
     :: i = 0
     :: i = 1
     fi;
     if
     :: d_step { (!dead[i] && op[i] == idle && known[i] < MAX_GRANTS) ->
          op[i] = acquire }
     :: d_step { (!dead[i] && op[i] == idle && running[i] < known[i]) ->
          known[i]--; op[i] = release }
     :: d_step { (op[i] != idle && !answered[i]) -> apply(i) }
     :: d_step { answered[i] && !dead[i] -> receive_answer(i) }
     :: d_step { answered[i] && !dead[i] -> LOST(i) }
     :: d_step { (!dead[i] && running[i] < known[i]) -> running[i]++ }
     :: d_step { running[i] > 0 -> running[i]-- }
     :: d_step { (!dead[i] && deaths < 2) -> dead[i] = true; deaths++ }
     :: d_step { (dead[i] && (op[i] == idle || answered[i]) &&
                  MAY_RECLAIM(i)) ->
          finish(i); reclaim(i) }
     :: else
     fi;
     i = 0;
     assert(running[0] + running[1] <= LIMIT);
     assert(known[0] + known[1] <= LIMIT) }
  od
}
