/* Leadership: two hosts, one task, two workers. Every commit of a leader
   expects the leadership row as the leader's last commit left it, and rewrites
   it. A commit may be applied late; its answer may be lost and the commit sent
   again. Start orders may be carried out late. A worker keeps the highest
   fencing token that it saw and the highest run that ended or was stopped on
   it. It may restart under its id: it forgets these, and an order that comes
   late takes effect in the next incarnation. Each model defines EXPECT(i),
   whether the table applies the commit of host i; CLOSE(w, i), what host i does
   to stop its tracked run on worker w; MAY_NOTE(w), whether an end that worker w
   lists may be recorded; BIND(w), the worker to which the task is bound once a
   run on w is given up, or 0 for none; and MAY_START(i, w), whether host i may
   start the task on worker w. */

/* bounds of the model: no commit is applied and no run started beyond them */
#define MAX_VERSION 8
#define MAX_RUN 3

#define FREE_OR_ON(i, w) (tracked_bound[i] == 0 || tracked_bound[i] == w)

/* whether a start on worker w may still be sent or carried out; a host knows it
   once the order was answered, or is older than any that is sent or comes late */
#define PENDING_RUN(r, w) (order_pending[r] && order_worker[r] == w)
#define UNSENT(i, w) (op[i] == start && op_applied[i] && op_worker[i] == w)
#define PENDING(w) (PENDING_RUN(1, w) || PENDING_RUN(2, w) || \
                    PENDING_RUN(3, w) || UNSENT(1, w) || UNSENT(2, w))

mtype = { none, start, discard, record_end, elect };

/* the table */
byte version = 1;         /* of the leadership row */
byte holder = 0;          /* host that holds the leadership; 0 none */
byte recorded_run = 0;    /* may be alive; 0 none */
byte recorded_worker = 0;
byte bound_worker = 0;    /* to which the task is bound; 0 none */
byte last_run = 0;        /* newest run recorded, alive or not; 0 none */
bool end_recorded = false; /* the successful end is recorded */

/* hosts, by index 1 and 2 */
bool is_leader[3];
byte token[3];            /* fencing token */
byte known_version[3];    /* of the row, as the next commit expects it */
byte tracked_run[3];      /* the run that it believes may be alive; 0 none */
byte tracked_worker[3];
byte tracked_bound[3];    /* bound_worker, as known to the host */
byte newest_run[3];       /* last_run, as known to the host */
bool knows_end[3];        /* it knows of the recorded successful end */
bool adopted[3];          /* it took over no run, the worker confirmed the
                             run, or it started one itself; never read */

/* the commit in progress of each host */
mtype op[3] = none;
byte op_expect[3];
byte op_run[3];
byte op_worker[3];
bool op_in_flight[3];     /* an attempt is in flight and may be applied */
bool op_applied[3];       /* one of the attempts was applied */

/* start orders in flight, by run */
bool order_pending[4];
byte order_worker[4];
byte order_token[4];

/* workers, by index 1 and 2 */
byte w_token[3];
byte w_run[3];            /* running now; 0 none */
byte w_closed[3];         /* runs up to this one can't start any more */
bool w_done[3];           /* it lists a successful end */
byte successful_ends = 0;
byte restarts = 0;

inline begin(i, kind, r, w) {
  op[i] = kind; op_expect[i] = known_version[i];
  op_run[i] = r; op_worker[i] = w;
  op_in_flight[i] = true; op_applied[i] = false
}

inline apply(i) {
  if
  :: EXPECT(i) && version < MAX_VERSION ->
     version++; op_applied[i] = true;
     if
     :: op[i] == elect -> holder = i
     :: op[i] == start ->
        recorded_run = op_run[i]; recorded_worker = op_worker[i];
        last_run = op_run[i]
     :: op[i] == discard -> recorded_run = 0; bound_worker = op_worker[i]
     :: op[i] == record_end -> end_recorded = true; recorded_run = 0
     fi
  :: else
  fi;
  op_in_flight[i] = false
}

/* The answer says that the commit was applied, or reports a conflict, which
   shows whether an earlier attempt was applied. If none was, the host no longer
   leads. */
inline receive_answer(i) {
  if
  :: op_applied[i] ->
     known_version[i] = op_expect[i] + 1;
     if
     :: op[i] == elect ->
        is_leader[i] = true; token[i] = known_version[i];
        tracked_run[i] = recorded_run; tracked_worker[i] = recorded_worker;
        tracked_bound[i] = bound_worker; newest_run[i] = last_run;
        knows_end[i] = end_recorded; adopted[i] = (recorded_run == 0)
     :: op[i] == start ->
        tracked_run[i] = op_run[i]; tracked_worker[i] = op_worker[i];
        newest_run[i] = op_run[i]; adopted[i] = true;
        order_pending[op_run[i]] = true;
        order_worker[op_run[i]] = op_worker[i];
        order_token[op_run[i]] = token[i]
     :: op[i] == discard -> tracked_run[i] = 0; tracked_bound[i] = op_worker[i]
     :: op[i] == record_end -> tracked_run[i] = 0; knows_end[i] = true
     fi
  :: else -> is_leader[i] = false
  fi;
  op[i] = none; op_applied[i] = false
}

inline deliver(r) {
  w = order_worker[r];
  if
  :: order_token[r] >= w_token[w] && w_run[w] == 0 && r > w_closed[w] ->
     w_token[w] = order_token[r]; w_run[w] = r;
     assert(w_run[1] == 0 || w_run[2] == 0);   /* at most one run at a time */
     assert(!end_recorded)                     /* none after a recorded end */
  :: else
  fi;
  order_pending[r] = false
}

/* The leader asks the worker about the tracked run, which raises the worker's
   fencing token. */
inline query_worker(i) {
  w = tracked_worker[i];
  if
  :: token[i] >= w_token[w] ->
     w_token[w] = token[i];
     if
     :: w_run[w] == tracked_run[i] -> adopted[i] = true
     :: w_run[w] != tracked_run[i] && w_done[w] && MAY_NOTE(w) ->
        begin(i, record_end, 0, 0)
     :: w_run[w] != tracked_run[i] && w_done[w] && !MAY_NOTE(w) -> skip
     :: w_run[w] != tracked_run[i] && !w_done[w] ->
        /* the worker doesn't list the run: it is stopped there, so that a late
           start order can't start it any more */
        CLOSE(w, i);
        begin(i, discard, 0, BIND(w))
     fi
  :: else -> is_leader[i] = false
  fi
}

proctype host(byte i) {
  byte w;
end:
  do
  :: atomic { !is_leader[i] && op[i] == none && holder != i ->
       known_version[i] = version; begin(i, elect, 0, 0) }
  :: atomic { is_leader[i] && op[i] == none && tracked_run[i] == 0 &&
              !knows_end[i] && newest_run[i] < MAX_RUN ->
       if
       :: MAY_START(i, 1) -> w = 1
       :: MAY_START(i, 2) -> w = 2
       :: else -> w = tracked_bound[i]
       fi;
       begin(i, start, newest_run[i] + 1, w) }
  :: atomic { is_leader[i] && op[i] == none && tracked_run[i] != 0 ->
       query_worker(i) }
  :: atomic { op[i] != none && op_in_flight[i] -> apply(i) }
  :: atomic { op[i] != none && !op_in_flight[i] -> receive_answer(i) }
  /* the answer is lost and the commit sent again */
  :: atomic { op[i] != none && !op_in_flight[i] -> op_in_flight[i] = true }
  od
}

proctype network() {
  byte w;
end:
  do
  :: atomic { order_pending[1] -> deliver(1) }
  :: atomic { order_pending[2] -> deliver(2) }
  :: atomic { order_pending[3] -> deliver(3) }
  od
}

proctype worker(byte w) {
end:
  do
  :: atomic { w_run[w] != 0 ->
       w_closed[w] = w_run[w]; w_run[w] = 0;
       if
       :: w_done[w] = true
       :: skip                    /* it failed */
       fi }
  :: atomic { restarts < MAX_RESTARTS ->
       restarts++;
       w_token[w] = 0; w_run[w] = 0; w_closed[w] = 0; w_done[w] = false }
  od
}

init {
  atomic { run host(1); run host(2); run worker(1); run worker(2);
           run network() }
}
