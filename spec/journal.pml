/* The journal's claim of one request ID.
 *
 * Two entry VMs try to run the request; any of them may pause or die at any step, as it
 * need not go on. Messages to the journal may come late and twice. The journal counts a
 * claim as unknown once lease and run time have passed.
 *
 * Checked: the endpoint runs the request at most once; who answered "not run" never has
 * it run later, unless by a claim made after that answer; no run starts from a claim that the journal has
 * counted as unknown.
 *
 * BROKEN_CLAIM: an overdue claim is granted to the next one who asks.
 * BROKEN_BEGIN: the holder doesn't look at its lease before the first byte.
 * BROKEN_RELEASE: a holder releases after bytes were sent, when the answer is lost.
 */
#define LEASE 2
#define RUN   1
#define LAST  8

mtype = { none, claimed, answered, unknown };

mtype state = none;
byte holderOf;   /* claim number in the record */
byte due;
byte claims;     /* claim numbers given out */
byte runs;
byte now;
bool gaveUp[6];  /* claim number was answered "not run" */

active proctype clock() {
  do
  :: atomic { now < LAST ->
       now++;
       if
       :: state == claimed && now >= due ->
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
  byte mine, sent, tries = 0;
  bool got;
  do
  :: tries < 2 ->
     tries++; got = false;
     atomic { claims++; mine = claims; sent = now };
     /* The claim reaches the journal at some later moment, or never. */
     if
     :: atomic { state == none -> state = claimed; holderOf = mine; due = now + LEASE + RUN };
        if
        :: got = true
        :: atomic { gaveUp[mine] = true } /* the answer is lost: not run, and a late release */
        fi
     :: state != none -> skip /* in progress, unknown or stored */
     :: gaveUp[mine] = true
     fi;
     if
     :: got ->
        if
        :: /* Begin: check and first byte are one step here */
           atomic {
#ifndef BROKEN_BEGIN
             now < sent + LEASE ->
#endif
             assert(!gaveUp[mine]);
             assert(state != unknown);
             runs++; assert(runs <= 1) };
           if
           :: atomic { (state == claimed || state == unknown) && holderOf == mine -> state = answered }
           :: atomic { state == claimed && holderOf == mine -> state = unknown }
#ifdef BROKEN_RELEASE
           :: atomic { state == claimed && holderOf == mine -> state = none }
#endif
           :: break /* dies */
           fi
        :: atomic { state == claimed && holderOf == mine -> state = none; gaveUp[mine] = true } /* released */
        :: break
        fi
     :: else ->
        if /* the release of a claim that was given up, maybe late, maybe never */
        :: atomic { gaveUp[mine] && state == claimed && holderOf == mine -> state = none }
        :: skip
        fi
     fi
  :: else -> break
  od
}

init { atomic { run entry(); run entry() } }
