/* The rule that a leader commits only entries of its own term by counting.
 *
 * Three replicas without other faults than lost messages; a follower may take any
 * part of the leader's log. Elections and copies are single steps.
 *
 * Holds: entries committed at an index are the same for good, and every leader
 * holds every entry that was committed in an older term.
 *
 * Broken variant, which must be caught:
 *   BROKEN_TERM  a leader commits entries of older terms by counting
 */
#define N 3
#define MAXTERM 4
#define MAXLOG 2

#define FOLLOWER 0
#define LEADER 1

typedef Replica { byte term, vote, role, size; byte log[3] }

Replica r[4];
byte committed[3], committedIn[3];

#ifdef BROKEN_TERM
#define OWNTERM(e) (true)
#else
#define OWNTERM(e) ((e) == r[me].term)
#endif

inline stepDown(x, newer) {
  if
  :: newer > r[x].term -> r[x].term = newer; r[x].vote = 0; r[x].role = FOLLOWER
  :: else
  fi
}

inline lastTerm(x, out) {
  if :: r[x].size == 0 -> out = 0 :: else -> out = r[x].log[r[x].size] fi
}

inline askVote(x, y) {
  stepDown(y, r[x].term);
  lastTerm(x, a); lastTerm(y, b);
  if
  :: (r[y].vote == 0 || r[y].vote == x) && r[y].role == FOLLOWER &&
     (a > b || (a == b && r[x].size >= r[y].size)) ->
     r[y].vote = x; n++
  :: else
  fi
}

/* a new leader holds every entry that was committed in an older term */
inline checkLeader(x) {
  i = 1;
  do
  :: i > MAXLOG -> break
  :: else ->
     assert(committed[i] == 0 || committedIn[i] >= r[x].term || (i <= r[x].size && r[x].log[i] == committed[i]));
     i++
  od
}

/* a follower takes the leader's log up to an index, and drops what differs */
inline take(x, y, upTo) {
  if
  :: r[y].log[1] != r[x].log[1] -> r[y].size = 1; r[y].log[1] = r[x].log[1]; r[y].log[2] = 0
  :: else
  fi;
  if
  :: upTo == 2 && r[y].log[2] != r[x].log[2] -> r[y].size = 2; r[y].log[2] = r[x].log[2]
  :: else
  fi
}

proctype P(byte me) {
  byte i, j, a, b, n;
  do
  /* an election: any of the others that may vote for it does or does not */
  :: atomic { r[me].role == FOLLOWER && r[me].term < MAXTERM && r[me].size < MAXLOG ->
       r[me].term++; r[me].vote = me; n = 1; j = 1;
       do
       :: j > N -> break
       :: else ->
          if
          :: j != me && r[j].term <= r[me].term -> askVote(me, j)
          :: skip
          fi; j++
       od;
       if
       :: n >= 2 ->
          checkLeader(me);
          r[me].role = LEADER; r[me].size++; r[me].log[r[me].size] = r[me].term
       :: else
       fi; i = 0; j = 0; a = 0; b = 0; n = 0 }

  /* a follower takes a part of the leader's log */
  :: atomic { r[me].role == LEADER ->
       if :: j = 1 :: j = 2 :: j = 3 fi;
       if :: n = 1 :: n = r[me].size fi;
       if
       :: j != me && r[j].term <= r[me].term ->
          stepDown(j, r[me].term); take(me, j, n)
       :: j != me && r[j].term > r[me].term -> stepDown(me, r[j].term)
       :: else
       fi; j = 0; n = 0 }

  /* the leader commits what a majority holds in its term */
  :: atomic { r[me].role == LEADER ->
       if :: a = 1 :: a = 2 fi;
       if
       :: a <= r[me].size && committed[a] == 0 && OWNTERM(r[me].log[a]) ->
          j = 1;
          do
          :: j > N -> break
          :: else ->
             if
             :: r[j].term == r[me].term && r[j].size >= a && r[j].log[a] == r[me].log[a] -> n++
             :: else
             fi; j++
          od;
          if
          :: n >= 2 ->
             i = 1;
             do
             :: i > a -> break
             :: else ->
                assert(committed[i] == 0 || committed[i] == r[me].log[i]);
                if
                :: committed[i] == 0 -> committed[i] = r[me].log[i]; committedIn[i] = r[me].term
                :: else
                fi; i++
             od
          :: else
          fi
       :: else
       fi; i = 0; j = 0; a = 0; n = 0 }
  od
}

init { atomic { run P(1); run P(2); run P(3) } }
