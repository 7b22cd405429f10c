/* Shard leases: two processes, one shard. An owner may be paused between its
   check and its write, a write may be delayed in the table, and its answer may
   be lost. Ages count ticks and saturate. Each model defines PRECONDITION(i):
   whether the table applies a write of work by process i. */

#define L 2               /* duration of a lease, in ticks */
#define EXPIRED (L + 1)   /* ages saturate here */
#define MAX_EPOCH 3       /* bounds the model: no lease is taken beyond it */

mtype = { idle, take, renew, work };

/* the table: the lease row. The renewal row is modelled only by unseen and
   op_stale, which tell whether it changed. */
byte owner;               /* 0 none, 1 or 2 */
byte epoch;

/* each process, by index 1 and 2 */
byte seen_owner[3];
byte seen_epoch[3];
bool unseen[3];           /* the renewal row changed since the last scan */
byte change_age[3];       /* age of the last change seen */
byte renewal_age[3];      /* time since the start of the last renewal known
                             to be applied */

/* the write in progress of each process */
mtype op[3] = idle;
byte op_epoch[3];
bool op_stale[3];         /* the renewal row changed since the scan that the
                             write is based on */
byte op_age[3];
bool applied[3];
bool answered[3];         /* the table has answered */

#define OTHER(i) (3 - (i))
#define HOLDS_LEASE(i) (seen_owner[i] == i && renewal_age[i] < L)

inline touch_renewal(i) {
  unseen[1] = true; unseen[2] = true;
  op_stale[OTHER(i)] = true
}

inline begin(i, kind) {
  op[i] = kind; op_epoch[i] = seen_epoch[i]; op_stale[i] = unseen[i];
  op_age[i] = 0; applied[i] = false; answered[i] = false
}

inline finish(i) {
  op[i] = idle; op_epoch[i] = 0; op_stale[i] = false;
  op_age[i] = 0; applied[i] = false; answered[i] = false
}

inline apply(i) {
  answered[i] = true;
  if
  :: op[i] == take && op_epoch[i] == epoch && !op_stale[i] ->
     owner = i; epoch++; applied[i] = true; touch_renewal(i)
  :: op[i] == renew && op_epoch[i] == epoch ->
     applied[i] = true; touch_renewal(i)
  :: op[i] == work && PRECONDITION(i) ->
     assert(owner == i);      /* only the owner's work takes effect */
     applied[i] = true
  :: else
  fi
}

inline receive_answer(i) {
  if
  :: applied[i] && op[i] == take ->
     seen_owner[i] = i; seen_epoch[i] = op_epoch[i] + 1;
     renewal_age[i] = op_age[i]
  :: applied[i] && op[i] == renew && seen_epoch[i] == op_epoch[i] ->
     renewal_age[i] = op_age[i]
  :: else
  fi;
  finish(i)
}

inline scan(i) {
  if
  :: seen_epoch[i] != epoch -> change_age[i] = 0; renewal_age[i] = EXPIRED
  :: seen_epoch[i] == epoch && unseen[i] -> change_age[i] = 0
  :: else
  fi;
  seen_epoch[i] = epoch; seen_owner[i] = owner; unseen[i] = false
}

inline advance(age) {
  age = (age < EXPIRED -> age + 1 : EXPIRED)
}

inline tick() {
  for (n : 1 .. 2) {
    advance(change_age[n]); advance(renewal_age[n]);
    if
    :: op[n] != idle -> advance(op_age[n])
    :: else
    fi
  }
  n = 0
}

active proctype fleet() {
  byte i = 0; byte n = 0;
  renewal_age[1] = EXPIRED; renewal_age[2] = EXPIRED;
  do
  :: atomic {
     if
     :: i = 1
     :: i = 2
     fi;
     if
     :: d_step { true -> scan(i) }
     :: d_step { (op[i] == idle && seen_owner[i] != i && epoch < MAX_EPOCH &&
                  (seen_owner[i] == 0 || change_age[i] >= L)) ->
          begin(i, take) }
     :: d_step { (op[i] == idle && seen_owner[i] == i) -> begin(i, renew) }
     :: d_step { (op[i] == idle && HOLDS_LEASE(i)) -> begin(i, work) }
     :: d_step { (op[i] != idle && !answered[i]) -> apply(i) }
     :: d_step { answered[i] -> receive_answer(i) }
     :: d_step { answered[i] -> finish(i) }   /* the answer is lost */
     :: else
     fi;
     i = 0;
     assert(!(HOLDS_LEASE(1) && HOLDS_LEASE(2))) }
  :: d_step { true -> tick() }
  od
}
