/* Freshness of the configuration on an entry VM, and withdrawal of a key.
 *
 * In revision 0 the key is valid, in revision 1 it is withdrawn. There are two control replicas: a
 * leader that accepts revision 1, and a follower that lags or is cut off. Each stores the start time
 * of its last round that a majority confirmed. Responses may be delayed for any time. The VM may
 * restart once.
 *
 * Checked: the VM serves under revision 0 for less than BOUND after revision 1 was accepted, also on
 * open connections. Once it has served under revision 1, it never serves under revision 0 again.
 *
 * Broken variants, in which the check must fail:
 *   BROKEN_RECEIPT     the VM dates a response by its receipt instead of by the sending of its poll
 *   BROKEN_ATTEST      a replica attests its state without a confirmed round
 *   BROKEN_OPEN        freshness is checked only when a connection opens
 *   BROKEN_BARRIER     the first snapshot does not pass a read barrier
 */
#define BOUND 2 /* ticks */
#define END 6   /* last tick */

byte now = 0;
byte accepted = 0;  /* time at which the leader accepted revision 1, at least 1; 0: not yet */
byte revision[2];   /* revision applied by each replica */
byte roundStart[2]; /* start of the last confirmed round of each replica */
bool cut = false;   /* replica 1 is cut off from the leader */

/* the entry VM */
byte view = 0;
bool haveView = false;
byte freshAt = 0;
bool served1 = false;
bool open = false; /* a connection is open that was opened while the view was fresh */
byte restarts = 1;

/* the poll in flight and its response */
byte pollSent = 0;
bool pollInFlight = false;
bool responseInFlight = false;
byte responseRevision, responseDate, responseSent;

#define FRESH (haveView && now < freshAt + BOUND)

inline serve() {
  assert(!(view == 0 && accepted != 0 && now >= accepted + BOUND));
  assert(!(view == 0 && served1));
  if :: view == 1 -> served1 = true :: else fi
}

active proctype Time() {
  do
  :: atomic { now < END -> now++ }
  :: now == END -> break
  od
}

/* the leader confirms rounds; the other replica receives its messages unless it is cut off */
active proctype Control() {
  do
  :: atomic { now < END ->
       if
       :: accepted == 0 && now > 0 -> accepted = now; revision[0] = 1; roundStart[0] = now
       :: roundStart[0] = now
       :: !cut -> revision[1] = revision[0]; roundStart[1] = roundStart[0]
       :: cut = true
       :: cut = false
       fi }
  :: now == END -> break
  od
}

active proctype VM() {
  byte s;
  do
  :: atomic { !pollInFlight && !responseInFlight && now < END -> pollSent = now; pollInFlight = true }
  /* a replica responds */
  :: atomic { pollInFlight ->
       if :: s = 0 :: s = 1 fi;
       if
#ifndef BROKEN_BARRIER
       /* the first response is sent after a read barrier: it has everything that was
          accepted before the poll */
       :: !haveView && accepted != 0 && accepted <= pollSent && revision[s] == 0 -> skip
#endif
       :: else ->
          responseRevision = revision[s];
#ifdef BROKEN_ATTEST
          responseDate = now;
#else
          responseDate = roundStart[s];
#endif
          responseSent = now; pollInFlight = false; responseInFlight = true
       fi; s = 0 }
  /* the response arrives at some later time */
  :: atomic { responseInFlight ->
       responseInFlight = false;
       if :: !haveView || responseRevision > view -> view = responseRevision :: else fi;
       haveView = true;
       /* age of the response = responseSent - responseDate, by the replica's clock */
#ifdef BROKEN_RECEIPT
       s = now - (responseSent - responseDate);
#else
       if
       :: pollSent >= responseSent - responseDate -> s = pollSent - (responseSent - responseDate)
       :: else -> s = 0
       fi;
#endif
       if :: s > freshAt -> freshAt = s :: else fi;
       s = 0; responseRevision = 0; responseDate = 0; responseSent = 0; pollSent = 0 }
  /* a connection opens; requests arrive on it later */
  :: atomic { FRESH -> open = true; serve() }
  :: atomic { open && now < END ->
#ifdef BROKEN_OPEN
       serve()
#else
       if :: FRESH -> serve() :: else -> open = false fi
#endif
     }
  /* the VM restarts without state */
  :: atomic { restarts > 0 ->
       restarts--; view = 0; haveView = false; freshAt = 0; open = false;
       pollInFlight = false; responseInFlight = false; pollSent = 0; responseRevision = 0; responseDate = 0; responseSent = 0 }
  :: now == END -> break
  od
}
