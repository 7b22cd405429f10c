/* The office: two hosts, one task, two workers. Every commit of an office expects
   the office's row as its last commit left it and rewrites it. A commit may be
   applied late, an answer may be lost and the commit sent again. Orders to start
   may be carried out late. A worker keeps the highest fence and the highest run
   that ended or was stopped there. */

#define MAX_VERSION 8
#define MAX_RUN 3

mtype = { none, start, drop, note, elect };

/* the table */
byte version = 1;         /* of the office's row */
byte holder = 0;
byte rec_run = 0;         /* the recorded run that may be alive; 0 none */
byte rec_worker = 0;
byte last_run = 0;
bool noted = false;       /* the successful end is recorded */

/* hosts, by index 1 and 2 */
bool in_office[3];
byte fence[3];
byte mine[3];             /* the row's version after its last commit */
byte book[3];              /* the run in its books; 0 none */
byte where[3];
byte last[3];
bool done_seen[3];
bool adopted[3];          /* the worker has confirmed or denied the run */

/* the commit under way of each host */
mtype op[3] = none;
byte op_expect[3];
byte op_run[3];
byte op_worker[3];
bool op_sent[3];          /* an attempt is on its way and may be applied */
bool op_applied[3];       /* by one of the attempts */

/* orders to start on their way, one for each host */
bool ord[3];
byte ord_run[3];
byte ord_worker[3];
byte ord_fence[3];

/* workers, by index 1 and 2 */
byte w_fence[3];
byte w_run[3];            /* running now; 0 none */
byte w_closed[3];
bool w_done[3];           /* a successful end is listed */
byte ended = 0;           /* successful ends in all */

inline begin(i, kind, r, w) {
  op[i] = kind; op_expect[i] = mine[i]; op_run[i] = r; op_worker[i] = w;
  op_sent[i] = true; op_applied[i] = false
}

inline apply(i) {
  if
  :: EXPECT(i) && version < MAX_VERSION ->
     version++; op_applied[i] = true;
     if
     :: op[i] == elect -> holder = i
     :: op[i] == start ->
        rec_run = op_run[i]; rec_worker = op_worker[i]; last_run = op_run[i]
     :: op[i] == drop -> rec_run = 0
     :: op[i] == note -> noted = true; rec_run = 0
     fi
  :: else
  fi;
  op_sent[i] = false
}

/* The answer: applied, or a conflict that shows whether an earlier attempt was. */
inline answer(i) {
  if
  :: op_applied[i] ->
     mine[i] = op_expect[i] + 1;
     if
     :: op[i] == elect ->
        in_office[i] = true; fence[i] = mine[i];
        book[i] = rec_run; where[i] = rec_worker; last[i] = last_run;
        done_seen[i] = noted; adopted[i] = (rec_run == 0)
     :: op[i] == start ->
        book[i] = op_run[i]; where[i] = op_worker[i]; last[i] = op_run[i];
        adopted[i] = true;
        ord[i] = true; ord_run[i] = op_run[i]; ord_worker[i] = op_worker[i];
        ord_fence[i] = fence[i]
     :: op[i] == drop -> book[i] = 0
     :: op[i] == note -> book[i] = 0; done_seen[i] = true
     fi
  :: else -> in_office[i] = false
  fi;
  op[i] = none; op_applied[i] = false
}

inline deliver(i) {
  w = ord_worker[i];
  if
  :: ord_fence[i] >= w_fence[w] && w_run[w] == 0 && ord_run[i] > w_closed[w] ->
     w_fence[w] = ord_fence[i]; w_run[w] = ord_run[i];
     assert(w_run[1] == 0 || w_run[2] == 0);   /* one run at a time */
     assert(!noted)                            /* none after a noted end */
  :: else
  fi;
  ord[i] = false
}

/* The office asks the worker of its run, which raises the fence there. */
inline look(i) {
  w = where[i];
  if
  :: fence[i] >= w_fence[w] ->
     w_fence[w] = fence[i];
     if
     :: w_run[w] == book[i] -> adopted[i] = true
     :: w_run[w] != book[i] && w_done[w] -> begin(i, note, 0, 0)
     :: w_run[w] != book[i] && !w_done[w] ->
        /* not there: a stop closes it, so that it can't begin any more */
        CLOSE(w, i);
        begin(i, drop, 0, 0)
     fi
  :: else -> in_office[i] = false
  fi
}

proctype host(byte i) {
  byte w;
end:
  do
  :: atomic { !in_office[i] && op[i] == none && holder != i ->
       mine[i] = version; begin(i, elect, 0, 0) }
  :: atomic { in_office[i] && op[i] == none && book[i] == 0 && !done_seen[i] &&
              last[i] < MAX_RUN ->
       if :: w = 1 :: w = 2 fi;
       begin(i, start, last[i] + 1, w) }
  :: atomic { in_office[i] && op[i] == none && book[i] != 0 -> look(i) }
  :: atomic { op[i] != none && op_sent[i] -> apply(i) }
  :: atomic { op[i] != none && !op_sent[i] -> answer(i) }
  :: atomic { op[i] != none && !op_sent[i] -> op_sent[i] = true } /* lost */
  :: atomic { ord[i] -> deliver(i) }
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
  od
}

init {
  atomic { run host(1); run host(2); run worker(1); run worker(2) }
}
