/* Orders to endpoint 0, which checks fencing numbers, and to endpoint 1, which does not.
 *
 * There are two leaders. The leader of term 1 may be cut off and resume at any time. The leader of
 * term 2 is elected after the lease of the first one is no longer renewed. An order arrives within
 * TRAVEL. A lease ends by the clock.
 *
 * Checked: after an endpoint has executed an order of term 2, it executes no order of term 1.
 *
 * Broken variants, in which the check must fail:
 *   BROKEN_NO_WAIT    the new leader does not wait until the old lease has expired
 *   BROKEN_NO_STOP    the old leader sends orders after its lease has expired
 *   BROKEN_NO_CHECK   endpoint 0 does not check fencing numbers
 *   BROKEN_TRAVEL     the new leader does not wait for orders in flight
 */
#define LEASE 3  /* ticks */
#define TRAVEL 2 /* ticks */
#define END 10   /* last tick */

byte now = 0;
byte leaseEnd = LEASE; /* lease of the leader of term 1, renewed while it has a majority */
byte electedAt = 0;    /* time of the election of the leader of term 2; 0: not yet */
byte last[2];          /* term of the last order that each endpoint executed */

/* latest arrival time of the order of term 1 in flight to each endpoint; 0: none */
byte latestArrival[2];

/* a leader sends orders to endpoint 1 only within its lease */
#ifdef BROKEN_NO_STOP
#define MAY_SEND(e) (true)
#else
#define MAY_SEND(e) (e == 0 || now < leaseEnd)
#endif

inline execute(e, t) {
  if
#ifndef BROKEN_NO_CHECK
  :: e == 0 && t < last[e] -> skip    /* refused */
#endif
  :: else -> assert(t >= last[e]); last[e] = t
  fi
}

/* time does not advance past the latest arrival of an order to endpoint 1 */
active proctype Time() {
  do
  :: atomic { now < END && (latestArrival[1] == 0 || now < latestArrival[1]) -> now++ }
  :: now == END -> break
  od
}

/* the leader of term 1 sends orders while it has its lease */
active proctype OldLeader() {
  byte e;
  do
  :: atomic { now < END && electedAt == 0 -> leaseEnd = now + LEASE }
  :: atomic { now < END ->
       if :: e = 0 :: e = 1 fi;
       if
       :: latestArrival[e] == 0 && MAY_SEND(e) -> latestArrival[e] = now + TRAVEL
       :: else
       fi; e = 0 }
  /* an order arrives: at endpoint 0 at any time, at endpoint 1 within TRAVEL */
  :: atomic { latestArrival[0] != 0 -> latestArrival[0] = 0; execute(0, 1) }
  :: atomic { latestArrival[1] != 0 && now <= latestArrival[1] -> latestArrival[1] = 0; execute(1, 1) }
  :: now == END -> break
  od
}

/* The leader of term 2. It may be elected before the first lease has expired. It sends its first order
   to endpoint 1 only after the old lease and TRAVEL have passed. */
active proctype NewLeader() {
  byte sendAfter;
  do
  :: atomic { electedAt == 0 && now > 0 && now < END -> electedAt = now }
  :: atomic { electedAt != 0 && now < END -> execute(0, 2) }
  :: atomic { electedAt != 0 && now < END ->
#ifdef BROKEN_NO_WAIT
       sendAfter = electedAt;
#else
#ifdef BROKEN_TRAVEL
       sendAfter = electedAt + LEASE;
#else
       sendAfter = electedAt + LEASE + TRAVEL;
#endif
#endif
       if :: now > sendAfter -> execute(1, 2) :: else fi;
       sendAfter = 0 }
  :: now == END -> break
  od
}
