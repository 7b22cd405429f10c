/* Claim before send: two entry hosts receive the same request with the same
   idempotency key, and each claims the key in the table before it sends the
   request. Claims may be delayed, answers may be lost, and a host may die at
   any moment. Each model defines RESOLVE(i): what host i does when the answer
   to its claim is lost or late. */

mtype = { fresh, claiming, unknown, claimed, sent, refused, finished };

mtype state[2] = fresh;
byte holder;              /* who holds the claim: 0 none, else index + 1 */
bool in_flight[2];        /* the claim was sent and may still apply */
bool applied[2];
bool answered[2];         /* the table has answered */
bool nonce_used[2];       /* by an empty transaction, so that the claim, which
                             has the same nonce, can't apply any more */
bool not_run[2];          /* the caller was told "not run" */
byte sends;

inline apply(i) {
  in_flight[i] = false; answered[i] = true;
  if
  :: holder == 0 && !nonce_used[i] -> holder = i + 1; applied[i] = true
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
     /* the answer is lost or late */
     :: d_step { state[i] == claiming -> state[i] = unknown }
     :: d_step { state[i] == unknown -> RESOLVE(i) }
     :: d_step { state[i] == claimed -> state[i] = sent; sends++ }
     :: d_step { state[i] == refused -> state[i] = finished; not_run[i] = true }
     /* the host dies */
     :: d_step { state[i] != finished -> state[i] = finished }
     :: else
     fi;
     i = 0;
     assert(sends <= 1);
     /* a host that answered "not run" holds no claim and can't get it later */
     assert(!(not_run[0] && (holder == 1 || (in_flight[0] && !nonce_used[0]))));
     assert(!(not_run[1] && (holder == 2 || (in_flight[1] && !nonce_used[1]))))
     }
  od
}
