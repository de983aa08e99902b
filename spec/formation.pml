/* Formation, removal, lost disks and return.
 *
 * Hosts 1 to 3 are the seeds: at the first start they are replicas 1 to 3 with the initial membership
 * {1 2 3}. Host 4, and each host whose store is gone, joins under the next unused number. The leader
 * adds and removes one voter at a time, in any order, while two or more are left; this includes what
 * internal/group does. A removed first member is refused by a leader, gives its store up and returns.
 * A host may be silent for any time, as no step is forced. An election and the copying of a log are
 * single steps. Replicas refuse one that they have met with another store (witnesses).
 *
 * Checked: one leader a term, a committed entry never changes, and the log of each new leader has all
 * entries that were committed in older terms.
 *
 * Broken variants, in which the check must fail:
 *   BROKEN_RETURN     a host without a store is a first member as long as its process has the settings of the first start
 *   BROKEN_MARK_LATE  the data directory is marked after the store is removed
 *   BROKEN_MEMORY     the settings of the first start count after a replica of the process has run; the directory is
 *                     lost while the process lives
 */
#define HOSTS 4
#define N 5        /* replicas */
#define MAX_TERM 3
#define MAX_LOG 4
#define INITIAL 7  /* replicas 1 2 3 */
#define BIT(i) (1 << ((i) - 1))

#ifdef BROKEN_RETURN
#define FIRST(h) (h <= 3 && firstStart[h])
#else
#define FIRST(h) (h <= 3 && firstStart[h] && !mark[h])
#endif
#if defined(BROKEN_RETURN) || defined(BROKEN_MEMORY)
#define KEEPS_FIRST true
#else
#define KEEPS_FIRST false
#endif

/* entries: term, leader that made it, and membership as a bit set of replicas, or 0 */
#define TERM(e) ((e) & 3)
#define MEMBERSHIP(e) ((e) >> 5)

typedef Replica {
  byte term, vote, size, met; /* met: replicas whose first store this one has met */
  short log[5];               /* 1..MAX_LOG */
  bool alive, leads, again    /* again: a second store under the same number */
}

Replica r[6];
byte cur[5];       /* replica of a host; 0 if it has no store */
bool mark[5];      /* the data directory is marked as used */
bool firstStart[5]; /* the process takes its start for the first of the system */
bool settings[5];  /* the settings say so */
bool markLater[5]; /* BROKEN_MARK_LATE: the mark is still to be written */
byte nextID = 4;
byte kills = 1, wipes = 1;

short committed[5];
byte committedIn[5];
byte leaderOf[4];  /* replica that led in a term */

byte members, k, count, set, a, b;

inline countSet(s) {
  count = 0; k = 1;
  do
  :: k > N -> break
  :: else -> count = count + (((s) >> (k - 1)) & 1); k++
  od;
  k = 0
}

/* sets a to 1 if set is a majority of members */
inline majority() {
  countSet(members); a = count; countSet(set & members);
  a = (2 * count > a -> 1 : 0); count = 0
}

/* sets members to the newest membership of replica x */
inline membership(x) {
  members = (x <= 3 -> INITIAL : 0); k = 1;
  do
  :: k > r[x].size -> break
  :: else -> members = (MEMBERSHIP(r[x].log[k]) -> MEMBERSHIP(r[x].log[k]) : members); k++
  od;
  k = 0
}

#define LAST(x) (r[x].size == 0 -> 0 : TERM(r[x].log[r[x].size]))
#define ACCEPTS(x, y) (!(r[y].again && (r[x].met & BIT(y))))
#define MEET(x, y) (r[x].alive && r[y].alive && ACCEPTS(x, y) && ACCEPTS(y, x))

#if defined(BROKEN_RETURN) || defined(BROKEN_MARK_LATE) || defined(BROKEN_MEMORY)
#define WITNESSES /* else no number gets a second store, which identify asserts */
#endif

inline record(x, y) {
#ifdef WITNESSES
  if :: !r[y].again && y <= 3 -> r[x].met = r[x].met | BIT(y) :: else fi;
  if :: !r[x].again && x <= 3 -> r[y].met = r[y].met | BIT(x) :: else fi
#else
  skip
#endif
}

inline append(x, m) {
  r[x].size++;
  r[x].log[r[x].size] = r[x].term + 4 * x + 32 * (m)
}

inline checkLeader(x) {
  assert(leaderOf[r[x].term] == 0 || leaderOf[r[x].term] == x);
  leaderOf[r[x].term] = x;
  k = 1;
  do
  :: k > MAX_LOG -> break
  :: else ->
     assert(committed[k] == 0 || committedIn[k] >= r[x].term || (k <= r[x].size && r[x].log[k] == committed[k]));
     k++
  od;
  k = 0
}

inline mayVote(x, y) { /* adds y to set if it may vote for x, or leaves it out */
  if
  :: y != x && (members & BIT(y)) && MEET(x, y) &&
     (r[y].term <= r[x].term || (r[y].term == r[x].term + 1 && r[y].vote == 0)) &&
     (LAST(x) > LAST(y) || (LAST(x) == LAST(y) && r[x].size >= r[y].size)) -> set = set | BIT(y)
  :: true
  fi
}

/* An election that the candidate does not win only raises terms, which forbids more than it allows: only
   those with the smallest majority are searched. */
inline elect(x) {
  r[x].alive && !r[x].leads && r[x].term < MAX_TERM && r[x].size < MAX_LOG ->
  membership(x);
  if
  :: members & BIT(x) ->
     set = BIT(x);
     mayVote(x, 1); mayVote(x, 2); mayVote(x, 3); mayVote(x, 4); mayVote(x, 5);
     countSet(members); a = count; countSet(set); a = (count == a / 2 + 1 -> 1 : 0); count = 0;
     if
     :: a ->
        r[x].term++; r[x].vote = x; b = 1;
        do
        :: b > N -> break
        :: else ->
           if
           :: b != x && (set & BIT(b)) ->
              record(x, b); r[b].term = r[x].term; r[b].vote = x; r[b].leads = false
           :: else
           fi;
           b++
        od;
        b = 0; checkLeader(x); r[x].leads = true; append(x, 0)
     :: else
     fi
  :: else
  fi;
  members = 0; set = 0; a = 0
}

inline copy(x, y) { /* y takes over the log of the leader x, and what it knows of stores */
  r[x].leads && x != y && MEET(x, y) ->
  if
  :: r[y].term <= r[x].term ->
     membership(x);
     if
     :: members & BIT(y) ->
        record(x, y); r[y].met = r[y].met | (r[x].met & ~BIT(y));
        if :: r[y].term < r[x].term -> r[y].vote = 0 :: else fi;
        r[y].term = r[x].term; r[y].leads = false; r[y].size = r[x].size;
        r[y].log[1] = r[x].log[1]; r[y].log[2] = r[x].log[2]; r[y].log[3] = r[x].log[3]; r[y].log[4] = r[x].log[4]
     :: else
     fi;
     members = 0
  :: else -> r[x].term = r[y].term; r[x].vote = 0; r[x].leads = false
  fi
}

/* the leader commits its log, if a majority has acknowledged the last entry in its term */
inline commit(x) {
  r[x].leads && TERM(r[x].log[r[x].size]) == r[x].term ->
  membership(x); set = 0; k = 1;
  do
  :: k > N -> break
  :: else ->
     set = (r[k].alive && ACCEPTS(x, k) && r[k].term == r[x].term && r[k].size >= r[x].size && r[k].log[r[x].size] == r[x].log[r[x].size] -> set | BIT(k) : set);
     k++
  od;
  majority(); k = 1;
  do
  :: !a || k > r[x].size -> break
  :: else ->
     assert(committed[k] == 0 || committed[k] == r[x].log[k]);
     if :: committed[k] == 0 -> committed[k] = r[x].log[k]; committedIn[k] = r[x].term :: else fi;
     k++
  od;
  members = 0; set = 0; a = 0; k = 0
}

#define ALL_COMMITTED(x) (committed[r[x].size] == r[x].log[r[x].size] && TERM(r[x].log[r[x].size]) == r[x].term)

inline remove(x, y) { /* the leader x removes the voter y */
  r[x].leads && x != y && r[x].size < MAX_LOG && ALL_COMMITTED(x) ->
  membership(x); countSet(members);
  if
  :: (members & BIT(y)) && count > 2 -> append(x, members & ~BIT(y))
  :: else
  fi;
  members = 0; count = 0
}

inline add(x, h) { /* the leader x adds the host h, which has no store, under a new number */
  r[x].leads && cur[h] == 0 && !FIRST(h) && !markLater[h] && nextID <= N && r[x].size < MAX_LOG && ALL_COMMITTED(x) ->
  membership(x);
  cur[h] = nextID; r[nextID].alive = true; firstStart[h] = KEEPS_FIRST && firstStart[h];
  append(x, members | BIT(nextID));
  nextID++; members = 0
}

inline forget(x) {
  r[x].alive = false; r[x].term = 0; r[x].vote = 0; r[x].size = 0; r[x].met = 0; r[x].leads = false; r[x].again = false;
  r[x].log[1] = 0; r[x].log[2] = 0; r[x].log[3] = 0; r[x].log[4] = 0
}

inline refuse(x, h) { /* the leader x refuses the replica of host h as a first member that was removed */
  r[x].leads && cur[h] != 0 && cur[h] <= 3 && cur[h] != x && ALL_COMMITTED(x) ->
  membership(x);
  if
  :: !(members & BIT(cur[h])) ->
#ifdef BROKEN_MARK_LATE
     markLater[h] = true;
#else
     mark[h] = true;
#endif
     forget(cur[h]); cur[h] = 0
  :: else
  fi;
  members = 0
}

inline form(h) { /* a host without a store starts as a first member */
  cur[h] == 0 && FIRST(h) && !markLater[h] ->
#ifndef WITNESSES
  assert(false);
#endif
  cur[h] = h; r[h].alive = true; r[h].again = true; firstStart[h] = KEEPS_FIRST
}

/* a process ends and starts again; its disk stays */
inline kill(h) {
  kills > 0 && (cur[h] == 0 || r[cur[h]].leads) ->
  kills--; markLater[h] = false;
  firstStart[h] = settings[h] && (cur[h] == 0 || KEEPS_FIRST); /* a replica that runs from a store ends the first start */
  if :: cur[h] != 0 -> r[cur[h]].leads = false :: else fi
}

/* a host loses its disk and starts again, or its process loses the data directory */
inline wipe(h) {
  wipes > 0 && cur[h] != 0 ->
  wipes--; forget(cur[h]); cur[h] = 0; mark[h] = false; settings[h] = false;
#ifdef BROKEN_RETURN
  firstStart[h] = false
#else
  if
  :: firstStart[h] = false
  :: true
  fi
#endif
}

#define LEADER if :: r[1].leads -> x = 1 :: r[2].leads -> x = 2 :: r[3].leads -> x = 3 :: r[4].leads -> x = 4 :: r[5].leads -> x = 5 fi
#define EMPTY(h) if :: cur[1] == 0 -> h = 1 :: cur[2] == 0 -> h = 2 :: cur[3] == 0 -> h = 3 :: cur[4] == 0 -> h = 4 fi
#define ANY if :: x != 1 -> y = 1 :: x != 2 -> y = 2 :: x != 3 -> y = 3 :: x != 4 -> y = 4 :: x != 5 -> y = 5 fi

active proctype Group() {
  byte x, y;
  atomic { /* the group has formed: replica 1 leads and has committed the entry of its term */
    x = 1;
    do
    :: x > 3 -> break
    :: else ->
       cur[x] = x; r[x].alive = true; r[x].term = 1; r[x].vote = 1; r[x].size = 1; r[x].log[1] = 1 + 4 * 1;
       settings[x] = true; firstStart[x] = KEEPS_FIRST;
#ifdef WITNESSES
       r[x].met = (x == 1 -> 6 : 1);
#endif
       x++
    od;
    r[1].leads = true; leaderOf[1] = 1; committed[1] = r[1].log[1]; committedIn[1] = 1;
    x = 0
  }
end:
  do
  :: atomic { if :: x = 1 :: x = 2 :: x = 3 :: x = 4 :: x = 5 fi; if :: elect(x) :: else fi; x = 0 }
  :: atomic { LEADER; if :: commit(x) :: else fi; x = 0 }
  :: atomic { LEADER; ANY; if :: copy(x, y) :: else fi; x = 0; y = 0 }
  :: atomic { LEADER; ANY; if :: remove(x, y) :: else fi; x = 0; y = 0 }
  :: atomic { LEADER; EMPTY(y); if :: add(x, y) :: else fi; x = 0; y = 0 }
  :: atomic { LEADER; if :: y = 1 :: y = 2 :: y = 3 fi; if :: refuse(x, y) :: else fi; x = 0; y = 0 }
  :: atomic { EMPTY(x); if :: form(x) :: else fi; x = 0 }
#ifdef BROKEN_MARK_LATE
  :: atomic { if :: markLater[1] -> x = 1 :: markLater[2] -> x = 2 :: markLater[3] -> x = 3 fi; markLater[x] = false; mark[x] = true; x = 0 }
#endif
  :: atomic { kills > 0 -> if :: x = 1 :: x = 2 :: x = 3 fi; if :: kill(x) :: else fi; x = 0 }
  /* replicas 2 and 3 are interchangeable */
  :: atomic { wipes > 0 -> if :: x = 1 :: x = 2 :: x = 4 fi; if :: wipe(x) :: else fi; x = 0 }
  od
}
