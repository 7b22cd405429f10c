/* Configuration acceptance with freshness: three members, version 1 in force,
   version 2 proposed by one of them. Ages count ticks and saturate, so that
   runs have no end. Messages are lost, repeated, delayed and relayed; one
   member restarts with nothing (1 and 2 are alike, so that 2 need not); anyone
   may lose the store at any time.

   A member acts on version 1 while its age of confirmation is at most F. */

#define N 3
#define F 1
#define OLD (F + 1)         /* the age of what is too old to use */
#define W 0                 /* longest time from first promise to commit */
#define DELAY (W + 1)       /* the age at which a restarted member may speak */
#define GROWN (DELAY + OLD)

byte head[N];      /* newest version known; 0 none */
byte in_force[N];
bool promised[N];
bool voter[N];
byte up[N];        /* age of the process */
byte store_age[N]; /* age of the newest read of the store that had head[i] */
byte agreed[N * N];/* age of j's agreement with head[i], as known to i */

bool committed;
byte committed_age;
bool proposing;
bool withdrawn;
byte proposal_age;
byte restarts;

#define AGREES(j) (head[j] == 1 && !promised[j] && voter[j])
#define AG(i, j) agreed[(i) * N + (j)]
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) < (b) -> (b) : (a))
#define J(i) (((i) + 1) % N)
#define K(i) (((i) + 2) % N)
#define MAJORITY_AGE(i) (AGREES(i) -> MIN(AG(i, J(i)), AG(i, K(i))) \
                                   : MAX(AG(i, J(i)), AG(i, K(i))))
#define CONFIRMED(i) (head[i] == 1 -> MIN(store_age[i], MAJORITY_AGE(i)) \
                                   : store_age[i])
#define ACTS_ON_OLD(i) (in_force[i] == 1 && CONFIRMED(i) <= F)

inline clear_ages(i) {
  store_age[i] = OLD; AG(i, 0) = OLD; AG(i, 1) = OLD; AG(i, 2) = OLD
}

/* The age of confirmation of the version in force is kept when a newer head is
   learnt. */
inline learn(i, version) {
  if
  :: version > head[i] ->
     frozen = OLD;
     if
     :: head[i] == 1 && in_force[i] == 1 -> frozen = CONFIRMED(i)
     :: else
     fi;
     clear_ages(i);
     store_age[i] = frozen;
     head[i] = version;
     if
     :: version == 2 -> promised[i] = false
     :: else
     fi
  :: else
  fi
}

inline speak_up(i) {
  if
  :: !voter[i] && head[i] == 1 && SPEAKS(i) -> voter[i] = true
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

/* Member i hears from member j. A message that comes late gives no more than
   one that came when it was sent and grew old since, so that messages take no
   time here. */
inline hear(i, j) {
  learn(i, head[j]);
  if
  :: head[j] == 1 && head[i] == 1 ->
     store_age[i] = MIN(store_age[i], store_age[j]);
     AG(i, 0) = MIN(AG(i, 0), AG(j, 0));
     AG(i, 1) = MIN(AG(i, 1), AG(j, 1));
     AG(i, 2) = MIN(AG(i, 2), AG(j, 2));
     if
     :: AGREES(j) -> AG(i, j) = 0
     :: else
     fi;
     AG(i, i) = OLD
  :: else
  fi
}

inline restart(i) {
  head[i] = 0; in_force[i] = 0; promised[i] = false; voter[i] = false;
  up[i] = 0; clear_ages(i); restarts++
}

inline older(age, most) {
  age = (age < most -> age + 1 : most)
}

inline tick() {
  for (n : 0 .. N - 1) {
    older(store_age[n], OLD); older(up[n], GROWN);
    older(AG(n, 0), OLD); older(AG(n, 1), OLD); older(AG(n, 2), OLD)
  }
  n = 0;
  if
  :: committed -> older(committed_age, OLD)
  :: proposing && !committed -> older(proposal_age, (W + 1))
  :: else
  fi
}

#define OPEN (proposing && !committed && !withdrawn)
#define PROMISES (promised[0] + promised[1] + promised[2])

/* The bound: once version 2 was committed F ticks ago, no member acts on
   version 1, whatever it can reach. */
inline check() {
  assert(!(committed && committed_age > F &&
           (ACTS_ON_OLD(0) || ACTS_ON_OLD(1) || ACTS_ON_OLD(2))))
}

active proctype fleet() {
  byte i = 0; byte n = 0; byte frozen = 0;
  d_step {
    for (n : 0 .. N - 1) {
      head[n] = 1; in_force[n] = 1; voter[n] = true; up[n] = GROWN;
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
          read_store(i); speak_up(i); frozen = 0 }
     :: d_step { true -> hear(i, J(i)); speak_up(i); frozen = 0 }
     :: d_step { true -> hear(i, K(i)); speak_up(i); frozen = 0 }
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
       committed = true; promised[0] = false; learn(0, 2); frozen = 0 }
  :: d_step { OPEN -> withdrawn = true }
  :: d_step { true -> tick(); check() }
  od
}
