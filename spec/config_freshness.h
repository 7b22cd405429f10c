/* Configuration acceptance with bounded freshness: three members, version 1 in
   force, version 2 proposed by member 0. Ages count ticks and saturate, so
   that runs are unbounded while the number of states is finite. Messages may
   be lost, repeated, delayed and relayed. One member may restart without its
   state; member 2 never does, because 1 and 2 are symmetric. Any member may
   lose access to the store at any time.

   A member acts on version 1 while its last confirmation is at most F ticks
   old. Each model defines MAY_COMMIT, whether version 2 may be committed, and
   MAY_VOTE(i), whether restarted member i may vote again. */

#define N 3
#define F 1                 /* freshness bound, in ticks */
#define STALE (F + 1)       /* too old to act on; ages saturate here */
#define W 0                 /* most ticks from first promise to commit */
#define DELAY (W + 1)       /* least uptime of a restarted voter, in ticks */
#define MAX_UPTIME (DELAY + STALE) /* uptimes saturate here */

byte head[N];      /* newest version known; 0 none */
byte in_force[N];  /* version that the member acts on; 0 none */
bool promised[N];  /* to stop confirming version 1 */
bool voter[N];     /* its agreement counts towards a majority */
byte uptime[N];
byte store_age[N]; /* age of the newest store read that returned head[i]; see
                      learn() for a head that isn't in force yet */
byte agreement_age[N * N]; /* at i * N + j: age of j's agreement with head[i],
                              as known to i */

bool committed;
byte committed_age;
bool proposing;
bool withdrawn;
byte proposal_age;
byte restarts;

#define AGREES(j) (head[j] == 1 && !promised[j] && voter[j])
#define AGREEMENT_AGE(i, j) agreement_age[(i) * N + (j)]
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) < (b) -> (b) : (a))
/* the two other members */
#define J(i) (((i) + 1) % N)
#define K(i) (((i) + 2) % N)
/* Age of the agreement of a majority: of i and one other if i agrees itself,
   otherwise of both others. */
#define MAJORITY_AGE(i) \
  (AGREES(i) -> MIN(AGREEMENT_AGE(i, J(i)), AGREEMENT_AGE(i, K(i))) \
              : MAX(AGREEMENT_AGE(i, J(i)), AGREEMENT_AGE(i, K(i))))
/* Age of the last confirmation of version 1, by a store read or by a majority.
   store_age keeps it once version 2 is known. */
#define CONFIRMED(i) (head[i] == 1 -> MIN(store_age[i], MAJORITY_AGE(i)) \
                                   : store_age[i])
#define ACTS_ON_OLD(i) (in_force[i] == 1 && CONFIRMED(i) <= F)

inline clear_ages(i) {
  store_age[i] = STALE;
  AGREEMENT_AGE(i, 0) = STALE;
  AGREEMENT_AGE(i, 1) = STALE;
  AGREEMENT_AGE(i, 2) = STALE
}

/* A member that learns of version 2 may go on acting on version 1 until it puts
   version 2 into force. Until then store_age goes on counting from its last
   confirmation of version 1. */
inline learn(i, version) {
  if
  :: version > head[i] ->
     kept_age = STALE;
     if
     :: head[i] == 1 && in_force[i] == 1 -> kept_age = CONFIRMED(i)
     :: else
     fi;
     clear_ages(i);
     store_age[i] = kept_age;
     head[i] = version;
     if
     :: version == 2 -> promised[i] = false
     :: else
     fi
  :: else
  fi
}

inline restore_vote(i) {
  if
  :: !voter[i] && head[i] == 1 && MAY_VOTE(i) -> voter[i] = true
  :: else
  fi
}

inline read_store(i) {
  learn(i, (committed -> 2 : 1));
  if
  :: head[i] == 1 && !committed -> store_age[i] = 0
  :: else
  fi
}

/* Member i receives a message from member j. Messages take no time here: one
   that arrives late tells no more than one that arrived at once and has aged
   since. */
inline receive(i, j) {
  learn(i, head[j]);
  if
  :: head[j] == 1 && head[i] == 1 ->
     store_age[i] = MIN(store_age[i], store_age[j]);
     AGREEMENT_AGE(i, 0) = MIN(AGREEMENT_AGE(i, 0), AGREEMENT_AGE(j, 0));
     AGREEMENT_AGE(i, 1) = MIN(AGREEMENT_AGE(i, 1), AGREEMENT_AGE(j, 1));
     AGREEMENT_AGE(i, 2) = MIN(AGREEMENT_AGE(i, 2), AGREEMENT_AGE(j, 2));
     if
     :: AGREES(j) -> AGREEMENT_AGE(i, j) = 0
     :: else
     fi;
     AGREEMENT_AGE(i, i) = STALE
  :: else
  fi
}

inline restart(i) {
  head[i] = 0; in_force[i] = 0; promised[i] = false; voter[i] = false;
  uptime[i] = 0; clear_ages(i); restarts++
}

inline advance(age, limit) {
  age = (age < limit -> age + 1 : limit)
}

inline tick() {
  for (n : 0 .. N - 1) {
    advance(store_age[n], STALE); advance(uptime[n], MAX_UPTIME);
    advance(AGREEMENT_AGE(n, 0), STALE);
    advance(AGREEMENT_AGE(n, 1), STALE);
    advance(AGREEMENT_AGE(n, 2), STALE)
  }
  n = 0;
  if
  :: committed -> advance(committed_age, STALE)
  :: proposing && !committed -> advance(proposal_age, (W + 1))
  :: else
  fi
}

#define OPEN (proposing && !committed && !withdrawn)
#define PROMISES (promised[0] + promised[1] + promised[2])

/* The invariant: once version 2 was committed more than F ticks ago, no member
   acts on version 1, whichever members or store it can reach. */
inline check() {
  assert(!(committed && committed_age > F &&
           (ACTS_ON_OLD(0) || ACTS_ON_OLD(1) || ACTS_ON_OLD(2))))
}

active proctype fleet() {
  byte i = 0; byte n = 0; byte kept_age = 0;
  d_step {
    for (n : 0 .. N - 1) {
      head[n] = 1; in_force[n] = 1; voter[n] = true; uptime[n] = MAX_UPTIME;
      clear_ages(n)
    }
    n = 0
  }
  do
  :: atomic {
     if
     :: i = 0
     :: i = 1
     :: i = 2
     fi;
     if
     :: d_step { head[i] != 2 || in_force[i] != 2 ->
          read_store(i); restore_vote(i); kept_age = 0 }
     :: d_step { true -> receive(i, J(i)); restore_vote(i); kept_age = 0 }
     :: d_step { true -> receive(i, K(i)); restore_vote(i); kept_age = 0 }
     :: d_step { head[i] > in_force[i] -> in_force[i] = head[i];
          if
          :: head[i] == 2 -> clear_ages(i)
          :: else
          fi }
     :: d_step { (restarts < 1 && i != 2) -> restart(i) }
     :: d_step { (OPEN && head[i] == 1 && !promised[i]) -> promised[i] = true }
     :: d_step { withdrawn && promised[i] -> promised[i] = false }
     :: else
     fi;
     i = 0; check() }
  :: d_step { !proposing && head[0] == 1 -> proposing = true;
       promised[0] = true }
  :: d_step { (OPEN && MAY_COMMIT && proposal_age <= W) ->
       committed = true; promised[0] = false; learn(0, 2); kept_age = 0 }
  :: d_step { OPEN -> withdrawn = true }
  :: d_step { true -> tick(); check() }
  od
}
