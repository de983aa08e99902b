/* Election without waiting after a restart.
 *
 * Three voters. A leader's lease rests on the acknowledgements of a majority, itself included. A
 * voter that has acknowledged a leader refuses to vote until it has waited an election timeout, by
 * which time the leases that rest on its acknowledgement have ended; a restarted voter refuses for
 * the same time. It need not wait if the last leader that it acknowledged is known to have started
 * with a term at or above that leadership. Reports of start terms may be old, which is modelled by
 * any earlier start term of the replica.
 *
 * Checked: at most one replica holds a lease.
 *
 * Broken variants, in which the check must fail:
 *   BROKEN_TERM     any start of the last leader counts, whatever the term
 *   BROKEN_STORE    the last leader is not stored, so a restarted voter has none
 *   BROKEN_OTHERS   a voter trusts that the candidate's own last leader has restarted
 */
#define N 3
#define TERMS 3  /* terms after which no election starts */
#define STARTS 3 /* restarts in all */
#define NONE 9

byte term[N];                    /* stored; a voter votes only in a term above its own */
byte lastLeader[N] = NONE;       /* stored: last leader acknowledged, or itself */
byte lastTerm[N];                /* stored: its term */
byte startTerm[N];               /* term with which the process has started */
byte oldStartTerm[N];            /* that of an earlier process: what a late report says */
bool waits[N];                   /* has not waited an election timeout since it acknowledged or started */
byte leads[N];                   /* term in which the replica leads; 0 if it does not */
bool backed[9];                  /* backed[l*N+r]: l's lease rests on r's acknowledgement, which has not ended */
byte starts = 0;

#define BACKERS(l) (backed[l*N] + backed[l*N+1] + backed[l*N+2])
#define LEASE(l)   (leads[l] > 0 && BACKERS(l) >= 2)

/* ended(r, s): the leases that rest on r's acknowledgements have ended, by start terms s */
#ifdef BROKEN_TERM
#define ENDED(r) (lastLeader[r] == NONE -> startTerm[r] == 0 : known[lastLeader[r]] != NONE)
#else
#define ENDED(r) (lastLeader[r] == NONE -> startTerm[r] == 0 : known[lastLeader[r]] != NONE && known[lastLeader[r]] >= lastTerm[r])
#endif

byte known[N]; /* start terms known to the candidate of the current step; NONE if unknown */

inline report(r) {
  if
  :: known[r] = NONE
  :: known[r] = startTerm[r]
  :: known[r] = oldStartTerm[r]
  fi
}

inline stepDown(l) {
  leads[l] = 0; backed[l*N] = false; backed[l*N+1] = false; backed[l*N+2] = false
}

inline grant(r, c, t) { /* r votes for c in term t if it may */
  if
#ifdef BROKEN_OTHERS
  :: r != c && t > term[r] && (!waits[r] || ENDED(c)) ->
#else
  :: r != c && t > term[r] && (!waits[r] || ENDED(r)) ->
#endif
     term[r] = t; stepDown(r); votes++
  :: true /* the request is lost or refused */
  fi
}

inline elect(c) {
  term[c] < TERMS && !LEASE(c) ->
  report(0); report(1); report(2);
  known[c] = startTerm[c];
  if
  :: !waits[c] || ENDED(c) ->
     stepDown(c);
     term[c]++; votes = 1;
     grant(0, c, term[c]); grant(1, c, term[c]); grant(2, c, term[c]);
     if
     :: votes >= 2 ->
        leads[c] = term[c]; lastLeader[c] = c; lastTerm[c] = term[c]; waits[c] = true; backed[c*N+c] = true
     :: else
     fi
  :: else
  fi;
  votes = 0; known[0] = NONE; known[1] = NONE; known[2] = NONE
}

inline acknowledge(l, r) { /* r follows l in l's term; the acknowledgement backs l's lease */
  l != r && leads[l] > 0 && term[r] <= leads[l] && (leads[r] == 0 || leads[r] < leads[l]) ->
  stepDown(r);
  term[r] = leads[l];
  lastLeader[r] = l; lastTerm[r] = leads[l];
  waits[r] = true; backed[l*N+r] = true
}

inline timeOut(r) { /* an election timeout after its last acknowledgement or start */
  waits[r] ->
  waits[r] = false;
  backed[r] = false; backed[N+r] = false; backed[2*N+r] = false
}

inline restart(r) {
  starts < STARTS ->
  starts++;
  stepDown(r);
  oldStartTerm[r] = startTerm[r]; startTerm[r] = term[r]; waits[r] = true;
#ifdef BROKEN_STORE
  lastLeader[r] = NONE; lastTerm[r] = 0; startTerm[r] = 0
#endif
}

#define LEASES (LEASE(0) + LEASE(1) + LEASE(2))

active proctype Group() {
  byte votes;
  d_step { known[0] = NONE; known[1] = NONE; known[2] = NONE }
end:
  do
  :: atomic { elect(0); assert(LEASES <= 1) }
  :: atomic { elect(1); assert(LEASES <= 1) }
  :: atomic { elect(2); assert(LEASES <= 1) }
  :: atomic { acknowledge(0, 1); assert(LEASES <= 1) }
  :: atomic { acknowledge(0, 2); assert(LEASES <= 1) }
  :: atomic { acknowledge(1, 0); assert(LEASES <= 1) }
  :: atomic { acknowledge(1, 2); assert(LEASES <= 1) }
  :: atomic { acknowledge(2, 0); assert(LEASES <= 1) }
  :: atomic { acknowledge(2, 1); assert(LEASES <= 1) }
  :: atomic { timeOut(0) }
  :: atomic { timeOut(1) }
  :: atomic { timeOut(2) }
  :: atomic { restart(0) }
  :: atomic { restart(1) }
  :: atomic { restart(2) }
  od
}
