/* The rule that a leader commits an entry by counting replicas only if the entry is of its own term.
 *
 * Three replicas; the only faults are lost messages. A follower may copy any part of the leader's
 * log. An election and a copy are single steps.
 *
 * Checked: the committed entry at an index never changes, and the log of every new leader has all
 * entries that were committed in older terms.
 *
 * Broken variant, in which the check must fail:
 *   BROKEN_TERM  a leader counts replicas to commit entries of older terms
 */
#define N 3 /* replicas */
#define MAX_TERM 4
#define MAX_LOG 2

#define FOLLOWER 0
#define LEADER 1

typedef Replica { byte term, vote, role, size; byte log[3] }

Replica r[4];
byte committed[3], committedIn[3];

#ifdef BROKEN_TERM
#define OWN_TERM(e) (true)
#else
#define OWN_TERM(e) ((e) == r[me].term)
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

inline requestVote(x, y) {
  stepDown(y, r[x].term);
  lastTerm(x, a); lastTerm(y, b);
  if
  :: (r[y].vote == 0 || r[y].vote == x) && r[y].role == FOLLOWER &&
     (a > b || (a == b && r[x].size >= r[y].size)) ->
     r[y].vote = x; n++
  :: else
  fi
}

/* asserts that the log of a new leader has every entry committed in an older term */
inline checkLeader(x) {
  i = 1;
  do
  :: i > MAX_LOG -> break
  :: else ->
     assert(committed[i] == 0 || committedIn[i] >= r[x].term || (i <= r[x].size && r[x].log[i] == committed[i]));
     i++
  od
}

/* a follower copies the leader's log up to an index and drops conflicting entries */
inline copyLog(x, y, upTo) {
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
  /* an election: each of the others that may vote for the candidate votes for it or not */
  :: atomic { r[me].role == FOLLOWER && r[me].term < MAX_TERM && r[me].size < MAX_LOG ->
       r[me].term++; r[me].vote = me; n = 1; j = 1;
       do
       :: j > N -> break
       :: else ->
          if
          :: j != me && r[j].term <= r[me].term -> requestVote(me, j)
          :: skip
          fi; j++
       od;
       if
       :: n >= 2 ->
          checkLeader(me);
          r[me].role = LEADER; r[me].size++; r[me].log[r[me].size] = r[me].term
       :: else
       fi; i = 0; j = 0; a = 0; b = 0; n = 0 }

  /* a follower copies a part of the leader's log */
  :: atomic { r[me].role == LEADER ->
       if :: j = 1 :: j = 2 :: j = 3 fi;
       if :: n = 1 :: n = r[me].size fi;
       if
       :: j != me && r[j].term <= r[me].term ->
          stepDown(j, r[me].term); copyLog(me, j, n)
       :: j != me && r[j].term > r[me].term -> stepDown(me, r[j].term)
       :: else
       fi; j = 0; n = 0 }

  /* the leader commits an entry that a majority has in the leader's term */
  :: atomic { r[me].role == LEADER ->
       if :: a = 1 :: a = 2 fi;
       if
       :: a <= r[me].size && committed[a] == 0 && OWN_TERM(r[me].log[a]) ->
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
