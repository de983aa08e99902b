/* Token slices under leases, with a change of the grant owner.
 *
 * One client account has a burst of B tokens and a rate of 1 token per tick. Two holders get token
 * slices under leases of L ticks. A slice that is not reported counts as spent when the owner's longer
 * time for it (L + M) ends. Owner 1 may be replaced by owner 2 at any tick. Owner 2 has only the
 * durable bound in the log: at most CAP tokens were outstanding, and the level was not below the
 * floor. Holders may be paused at any moment, as no step of theirs is forced.
 *
 * Checked: the fill of a virtual bucket over all admissions never exceeds B. Then every window of
 * length d admits at most B + d tokens.
 *
 * Broken variants, in which the check must fail:
 * BROKEN_OWNER: the new owner assumes that no tokens are outstanding.
 * BROKEN_PROMISE: the owner grants below the floor before a lower floor is committed.
 * BROKEN_LEASE: the owner's time for a slice ends before the holder's lease.
 * BROKEN_RETURN: tokens that are returned after the owner's time for the slice has ended are put back
 * into the bucket.
 */
#define B    4 /* burst of the account, tokens */
#define CAP  2 /* maximum number of outstanding tokens per owner */
#define FLOOR 2 /* floor that is committed first, tokens */
#define L    3 /* lease, ticks */
#define M    1 /* margin that the owner adds to the lease, ticks */
#define LAST 7 /* ticks */
#define H    2 /* number of holders */

#ifdef BROKEN_LEASE
#define COUNT_TIME (L - 1)
#else
#define COUNT_TIME (L + M)
#endif

#ifdef BROKEN_PROMISE
#define GRANT_FLOOR 0
#else
#define GRANT_FLOOR floor
#endif

byte now;
byte term = 1;
byte floor = FLOOR;     /* committed */
byte level = B;
byte outstanding[H];    /* outstanding tokens of each holder, as counted by the owner */
byte countEnd[H];       /* time at which the owner counts the slice as spent */
byte formerOutstanding; /* tokens that the former owner may have outstanding */
byte formerCountEnd;
byte slice[H];          /* unspent tokens of each holder */
byte leaseEnd[H];       /* end of each holder's lease */
byte sliceTerm[H];      /* term of the owner that granted the slice */
byte fill;              /* fill of the oracle's virtual bucket */

inline tick() {
  now++;
  if :: fill > 0 -> fill-- :: else fi;
  byte i = 0;
  do
  :: i < H ->
     if :: outstanding[i] > 0 && now >= countEnd[i] -> outstanding[i] = 0 :: else fi;
     i++
  :: else -> break
  od;
  if :: now >= formerCountEnd -> formerOutstanding = 0 :: else fi;
  if :: level + outstanding[0] + outstanding[1] + formerOutstanding < B -> level++ :: else fi;
  i = 0
}

active proctype clock() {
  do
  :: now < LAST -> atomic { tick() }
  :: else -> break
  od
}

/* The response to a report reaches the holder immediately or never. The lease runs from the sending of
 * the report, so a late response only loses tokens, like a missing one. */
proctype holder(byte me) {
  do
  :: atomic { now < LAST && level > GRANT_FLOOR && outstanding[0] + outstanding[1] + formerOutstanding < CAP + (term - 1) * CAP && (slice[me] == 0 || now >= leaseEnd[me] || sliceTerm[me] == term) ->
       level--; outstanding[me]++; countEnd[me] = now + COUNT_TIME;
       if
       :: if
          :: sliceTerm[me] == term && now < leaseEnd[me] -> slice[me]++
          :: else -> slice[me] = 1 /* the remaining tokens have expired */
          fi;
          sliceTerm[me] = term; leaseEnd[me] = now + L
       :: skip /* the response is lost; the owner still counts the token as outstanding */
       fi }
  :: atomic { slice[me] > 0 && now < leaseEnd[me] -> /* a request is admitted */
       slice[me]--; fill++;
       assert(fill <= B);
       if /* the report arrives immediately or never */
       :: sliceTerm[me] == term && outstanding[me] > 0 -> outstanding[me]--
       :: skip
       fi }
  :: atomic { slice[me] > 0 && sliceTerm[me] == term -> /* an unused token is returned, possibly late */
       slice[me]--;
       if
#ifdef BROKEN_RETURN
       :: level++; if :: outstanding[me] > 0 -> outstanding[me]-- :: else fi
#else
       :: outstanding[me] > 0 -> outstanding[me]--; level++
       :: outstanding[me] == 0 -> skip
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
       term = 2; level = floor; floor = 0; outstanding[0] = 0; outstanding[1] = 0;
#ifdef BROKEN_OWNER
       formerOutstanding = 0;
#else
       formerOutstanding = CAP;
#endif
       formerCountEnd = now + COUNT_TIME }
  :: skip
  fi
}

init { atomic { run holder(0); run holder(1) } }
