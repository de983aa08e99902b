/* Orders to an endpoint that checks fencing numbers and to one that does not.
 *
 * Two leaders: the one of term 1 may be cut off and resume at any time; the one of
 * term 2 is elected after the first one's lease was given no longer. Orders travel
 * for up to TRAVEL. Each leader's lease ends by the clock.
 *
 * Holds: after an endpoint obeyed an order of term 2 it obeys none of term 1.
 *
 * Broken variants, each of which must be caught:
 *   BROKEN_NO_WAIT    the successor does not wait the lease out
 *   BROKEN_NO_STOP    the old leader does not stop before its lease ends
 *   BROKEN_NO_CHECK   the endpoint that should check does not
 *   BROKEN_TRAVEL     the successor does not wait for orders on their way
 */
#define LEASE 3
#define TRAVEL 2
#define END 10

byte now = 0;
byte leaseEnd = LEASE;   /* of the leader of term 1, renewed while it has a majority */
byte elected = 0;        /* time of the second leader's election, 0: not yet */
byte last[2];            /* term last obeyed by the endpoints; 0 checks, 1 does not */

/* one order of term 1 on its way to each endpoint: its latest arrival, 0 for none */
byte late[2];

/* a leader sends to an endpoint that does not check only within its lease */
#ifdef BROKEN_NO_STOP
#define MAYSEND(e) (true)
#else
#define MAYSEND(e) (e == 0 || now < leaseEnd)
#endif

inline obey(e, t) {
  if
#ifndef BROKEN_NO_CHECK
  :: e == 0 && t < last[e] -> skip    /* refused */
#endif
  :: else -> assert(t >= last[e]); last[e] = t
  fi
}

/* time does not pass an order's latest arrival */
active proctype Time() {
  do
  :: atomic { now < END && (late[1] == 0 || now < late[1]) -> now++ }
  :: now == END -> break
  od
}

/* the leader of term 1 sends orders while it holds its lease */
active proctype Old() {
  byte e;
  do
  :: atomic { now < END && elected == 0 -> leaseEnd = now + LEASE }
  :: atomic { now < END ->
       if :: e = 0 :: e = 1 fi;
       if
       :: late[e] == 0 && MAYSEND(e) -> late[e] = now + TRAVEL
       :: else
       fi; e = 0 }
  /* an order arrives; to the endpoint that checks, at any time */
  :: atomic { late[0] != 0 -> late[0] = 0; obey(0, 1) }
  :: atomic { late[1] != 0 && now <= late[1] -> late[1] = 0; obey(1, 1) }
  :: now == END -> break
  od
}

/* The leader of term 2. It may be elected before the first lease has ended; the
   endpoint that does not check gets its first order after lease and travel. */
active proctype New() {
  byte start;
  do
  :: atomic { elected == 0 && now > 0 && now < END -> elected = now }
  :: atomic { elected != 0 && now < END -> obey(0, 2) }
  :: atomic { elected != 0 && now < END ->
#ifdef BROKEN_NO_WAIT
       start = elected;
#else
#ifdef BROKEN_TRAVEL
       start = elected + LEASE;
#else
       start = elected + LEASE + TRAVEL;
#endif
#endif
       if :: now > start -> obey(1, 2) :: else fi;
       start = 0 }
  :: now == END -> break
  od
}
