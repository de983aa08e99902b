/* Freshness of the configuration on an entry VM, and withdrawal of a key.
 *
 * Revision 0 has the key, revision 1 has it withdrawn. Two control replicas: a
 * leader that accepts revision 1, and a second one that lags or is cut off. Each
 * knows the beginning of its last round that a majority confirmed. Answers may be
 * delayed for any time. The VM may restart once.
 *
 * Holds: the VM serves under revision 0 for less than BOUND after revision 1 was
 * accepted, on open connections too; and once it served under revision 1 it never
 * serves under revision 0 again.
 *
 * Broken variants, each of which must be caught:
 *   BROKEN_RECEIPT     the VM dates an answer by its receipt, not by the sending of its poll
 *   BROKEN_ATTEST      a replica attests its state without a confirmed round
 *   BROKEN_OPEN        freshness is checked only when a connection opens
 *   BROKEN_BARRIER     the first snapshot does not pass a read barrier
 */
#define BOUND 2
#define END 6

byte now = 0;
byte accepted = 0;      /* time of acceptance, 0: not yet */
byte rev[2];            /* applied by the replicas */
byte round[2];          /* beginning of the last confirmed round */
bool cut = false;       /* replica 1 is cut off from the leader */

/* the VM; times are shifted by one so that 0 says none */
byte view = 0;
bool haveView = false;
byte current = 0;
bool served1 = false;
bool open = false;      /* a connection that opened while fresh */
byte restarts = 1;

/* one poll under way and its answer */
byte pollSent = 0;
bool pollOut = false;
bool answerOut = false;
byte ansRev, ansDate, ansAt;

#define FRESH (haveView && now < current + BOUND)

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

/* the leader confirms rounds; the other replica hears the leader unless cut off */
active proctype Control() {
  do
  :: atomic { now < END ->
       if
       :: accepted == 0 && now > 0 -> accepted = now; rev[0] = 1; round[0] = now
       :: round[0] = now
       :: !cut -> rev[1] = rev[0]; round[1] = round[0]
       :: cut = true
       :: cut = false
       fi }
  :: now == END -> break
  od
}

active proctype VM() {
  byte s;
  do
  :: atomic { !pollOut && !answerOut && now < END -> pollSent = now; pollOut = true }
  /* a replica answers */
  :: atomic { pollOut ->
       if :: s = 0 :: s = 1 fi;
       if
#ifndef BROKEN_BARRIER
       /* the first answer comes behind a read barrier: it holds all that was
          accepted before the poll */
       :: !haveView && accepted != 0 && accepted <= pollSent && rev[s] == 0 -> skip
#endif
       :: else ->
          ansRev = rev[s];
#ifdef BROKEN_ATTEST
          ansDate = now;
#else
          ansDate = round[s];
#endif
          ansAt = now; pollOut = false; answerOut = true
       fi; s = 0 }
  /* the answer arrives at some later time */
  :: atomic { answerOut ->
       answerOut = false;
       if :: !haveView || ansRev > view -> view = ansRev :: else fi;
       haveView = true;
       /* age = ansAt - ansDate by the replica's clock */
#ifdef BROKEN_RECEIPT
       s = now - (ansAt - ansDate);
#else
       if
       :: pollSent >= ansAt - ansDate -> s = pollSent - (ansAt - ansDate)
       :: else -> s = 0
       fi;
#endif
       if :: s > current -> current = s :: else fi;
       s = 0; ansRev = 0; ansDate = 0; ansAt = 0; pollSent = 0 }
  /* a connection opens; work arrives on it later */
  :: atomic { FRESH -> open = true; serve() }
  :: atomic { open && now < END ->
#ifdef BROKEN_OPEN
       serve()
#else
       if :: FRESH -> serve() :: else -> open = false fi
#endif
     }
  /* the VM restarts with nothing */
  :: atomic { restarts > 0 ->
       restarts--; view = 0; haveView = false; current = 0; open = false;
       pollOut = false; answerOut = false; pollSent = 0; ansRev = 0; ansDate = 0; ansAt = 0 }
  :: now == END -> break
  od
}
