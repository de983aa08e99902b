/* Claims of one request ID in the journal.
 *
 * Two entry VMs try to run the request. Each may pause or stop at any step, as no step is forced.
 * Messages to the journal may arrive late and twice. The journal sets a claim to unknown when the
 * lease and the run time have passed.
 *
 * Checked: the endpoint runs the request at most once. A claim for which the client received "not run"
 * never runs the request later. No run starts from a claim that the journal has set to unknown.
 *
 * Broken variants, in which the check must fail:
 * BROKEN_CLAIM: an overdue claim is released, so that the next one is granted.
 * BROKEN_BEGIN: the holder does not check its lease before it sends the first byte.
 * BROKEN_RELEASE: a holder releases its claim after it has sent bytes, when the response is lost.
 */
#define LEASE 2 /* ticks */
#define RUN   1 /* run time, ticks */
#define LAST  8 /* last tick */

mtype = { none, claimed, answered, unknown };

mtype state = none;
byte holderClaim; /* claim number in the record */
byte deadline;
byte claims;      /* number of claims made so far */
byte runs;
byte now;
bool reportedNotRun[6]; /* by claim number: the client received "not run" */

active proctype clock() {
  do
  :: atomic { now < LAST ->
       now++;
       if
       :: state == claimed && now >= deadline ->
#ifdef BROKEN_CLAIM
          state = none
#else
          state = unknown
#endif
       :: else
       fi }
  :: else -> break
  od
}

proctype entry() {
  byte mine, claimSent, attempts = 0;
  bool granted;
  do
  :: attempts < 2 ->
     attempts++; granted = false;
     atomic { claims++; mine = claims; claimSent = now };
     /* The claim reaches the journal at some later moment, or never. */
     if
     :: atomic { state == none -> state = claimed; holderClaim = mine; deadline = now + LEASE + RUN };
        if
        :: granted = true
        :: atomic { reportedNotRun[mine] = true } /* the response is lost: reported as "not run", late release */
        fi
     :: state != none -> skip /* refused: in progress, unknown or stored */
     :: reportedNotRun[mine] = true
     fi;
     if
     :: granted ->
        if
        :: /* the check of the lease and the sending of the first byte are one step */
           atomic {
#ifndef BROKEN_BEGIN
             now < claimSent + LEASE ->
#endif
             assert(!reportedNotRun[mine]);
             assert(state != unknown);
             runs++; assert(runs <= 1) };
           if
           :: atomic { (state == claimed || state == unknown) && holderClaim == mine -> state = answered }
           :: atomic { state == claimed && holderClaim == mine -> state = unknown }
#ifdef BROKEN_RELEASE
           :: atomic { state == claimed && holderClaim == mine -> state = none }
#endif
           :: break /* the VM stops */
           fi
        :: atomic { state == claimed && holderClaim == mine -> state = none; reportedNotRun[mine] = true } /* released */
        :: break
        fi
     :: else ->
        if /* an abandoned claim is released, possibly late or never */
        :: atomic { reportedNotRun[mine] && state == claimed && holderClaim == mine -> state = none }
        :: skip
        fi
     fi
  :: else -> break
  od
}

init { atomic { run entry(); run entry() } }
