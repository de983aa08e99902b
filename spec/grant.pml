/* The grant lease with a change of the owner.
 *
 * One client account with a burst of B tokens and rate 1 token a tick. Two holders get
 * slices under leases of L ticks; a slice that is not reported back counts as spent when
 * the owner's longer count (L + M) ends. Owner 1 may be replaced by owner 2 at any tick.
 * Owner 2 knows only the promise in the log: at most CAP tokens were outstanding, and the
 * level was not below the floor. Holders may be paused at any moment, as they need not take any step.
 *
 * Checked: the fill of a virtual bucket over all admissions never passes B, which says
 * that every window of length d admits at most B + d tokens.
 *
 * BROKEN_OWNER: the new owner takes nothing as outstanding.
 * BROKEN_PROMISE: the owner goes below the floor before that is committed.
 * BROKEN_LEASE: the owner's count ends before the holder's lease does.
 * BROKEN_RETURN: tokens that are returned after the owner's count has ended are put
 * back into the bucket.
 */
#define B    4
#define CAP  2
#define FLOOR 2
#define L    3
#define M    1
#define LAST 7 /* ticks */
#define H    2

#ifdef BROKEN_LEASE
#define COUNT (L - 1)
#else
#define COUNT (L + M)
#endif

#ifdef BROKEN_PROMISE
#define GRANT_FLOOR 0
#else
#define GRANT_FLOOR floor
#endif

byte now;
byte term = 1;
byte floor = FLOOR; /* committed */
byte level = B;
byte out[H];      /* outstanding as the owner counts */
byte counted[H];  /* when the owner's count of the slice ends */
byte foreign;     /* what a former owner may have outstanding */
byte foreignEnd;
byte slice[H];    /* what the holder has */
byte until[H];    /* the holder's lease */
byte termOf[H];       /* the term that the slice is of */
byte fill;        /* the oracle's virtual bucket */

inline tick() {
  now++;
  if :: fill > 0 -> fill-- :: else fi;
  byte i = 0;
  do
  :: i < H ->
     if :: out[i] > 0 && now >= counted[i] -> out[i] = 0 :: else fi;
     i++
  :: else -> break
  od;
  if :: now >= foreignEnd -> foreign = 0 :: else fi;
  if :: level + out[0] + out[1] + foreign < B -> level++ :: else fi;
  i = 0
}

active proctype clock() {
  do
  :: now < LAST -> atomic { tick() }
  :: else -> break
  od
}

/* The answer to a report reaches the holder at once or never; the lease runs from the
 * sending, so a late answer differs from none only by what is lost. */
proctype holder(byte me) {
  do
  :: atomic { now < LAST && level > GRANT_FLOOR && out[0] + out[1] + foreign < CAP + (term - 1) * CAP && (slice[me] == 0 || now >= until[me] || termOf[me] == term) ->
       level--; out[me]++; counted[me] = now + COUNT;
       if
       :: if
          :: termOf[me] == term && now < until[me] -> slice[me]++
          :: else -> slice[me] = 1 /* what was left has run out */
          fi;
          termOf[me] = term; until[me] = now + L
       :: skip /* the answer is lost; the owner's count goes on */
       fi }
  :: atomic { slice[me] > 0 && now < until[me] -> /* a request is admitted */
       slice[me]--; fill++;
       assert(fill <= B);
       if /* the report may come at once or never */
       :: termOf[me] == term && out[me] > 0 -> out[me]--
       :: skip
       fi }
  :: atomic { slice[me] > 0 && termOf[me] == term -> /* an unused token is returned, maybe late */
       slice[me]--;
       if
#ifdef BROKEN_RETURN
       :: level++; if :: out[me] > 0 -> out[me]-- :: else fi
#else
       :: out[me] > 0 -> out[me]--; level++
       :: out[me] == 0 -> skip
#endif
       fi }
  :: now >= LAST -> break
  od
}

active proctype election() {
  if
  :: atomic { term == 1 -> floor = 0 } /* a lower floor is committed */
  :: skip
  fi;
  if
  :: atomic { now < LAST ->
       term = 2; level = floor; floor = 0; out[0] = 0; out[1] = 0;
#ifdef BROKEN_OWNER
       foreign = 0;
#else
       foreign = CAP;
#endif
       foreignEnd = now + COUNT }
  :: skip
  fi
}

init { atomic { run holder(0); run holder(1) } }
