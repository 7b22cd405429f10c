/* Claim before send: a caller's keyed request reaches two entry hosts, each of
   which claims the key in the table before it sends. Claims are delayed,
   answers are lost, hosts die at any moment. */

mtype = { fresh, claiming, unknown, claimed, sent, refused, over };

mtype state[2] = fresh;
byte row;                 /* who holds the claim: 0 none, else index + 1 */
bool in_flight[2];        /* the claim may still apply */
bool applied[2];
bool answered[2];         /* the table has answered */
bool spent[2];            /* the nonce was spent by an empty transaction */
bool not_run[2];          /* the caller was told "not run" */
byte sends;

inline apply(i) {
  in_flight[i] = false; answered[i] = true;
  if
  :: row == 0 && !spent[i] -> row = i + 1; applied[i] = true
  :: else
  fi
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
     :: d_step { state[i] == fresh -> state[i] = claiming; in_flight[i] = true }
     :: d_step { in_flight[i] -> apply(i) }
     :: d_step { (state[i] == claiming && answered[i]) ->
          state[i] = (applied[i] -> claimed : refused) }
     :: d_step { state[i] == claiming -> state[i] = unknown }
     :: d_step { state[i] == unknown -> RESOLVE(i) }
     :: d_step { state[i] == claimed -> state[i] = sent; sends++ }
     :: d_step { state[i] == refused -> state[i] = over; not_run[i] = true }
     :: d_step { state[i] != over -> state[i] = over }   /* it dies */
     :: else
     fi;
     i = 0;
     assert(sends <= 1);
     /* what was refused as not run holds no claim, now or later */
     assert(!(not_run[0] && (row == 1 || (in_flight[0] && !spent[0]))));
     assert(!(not_run[1] && (row == 2 || (in_flight[1] && !spent[1])))) }
  od
}
