/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A request that crashes every server that runs it is sent again at any daemon. Models
 * Source/Core/Crashes/CrashLedger.cpp, its use in Orders/Hub.cpp, and Orders/CrashArchive.cpp.
 *
 * Each daemon remembers the crashes that it observed or was told of. It reports its observations to the
 * holder of the order lease until the holder has confirmed them. Reports, confirmations and the holder's
 * updates may be lost, delayed or duplicated. The holder may change at any time; the next one has only
 * what it knew itself. At any moment one daemon or all of them are killed, once; after the row is
 * written, all may be killed once more. A daemon that starts knows what the row contains.
 *
 * Verified: once all messages after the third crash have arrived, the request is never sent again if no
 * daemon was killed before, and at most three more times in total if some were.
 * guards: EACH_ALONE NOT_TOLD_AGAIN NOTHING_KEPT */

#define DAEMONS 2
#define LIMIT 3
#define LIVES 7
#define LATE_ALLOWED 3

byte ended = 0;            /* crashed server instances; instance i is bit i of the sets below */
byte own[DAEMONS];         /* observed by the daemon itself */
byte known[DAEMONS];       /* observed, or received from the holder */
byte confirmed[DAEMONS];   /* its observations that the current holder has confirmed */
byte added_up = 0;         /* all crashes known to the holder */
byte row = 0;              /* stored on the platform */
byte late = 0;             /* requests sent when all daemons had to know */
bool told = false;         /* all messages after the third crash have arrived */
bool lost_something = false;
byte killed_later = 0;
byte holder_changes = 0;

#define Count(s) (((s) & 1) + (((s) >> 1) & 1) + (((s) >> 2) & 1) + (((s) >> 3) & 1) + \
                  (((s) >> 4) & 1) + (((s) >> 5) & 1) + (((s) >> 6) & 1))
#define Missing(have, want) ((have | want) != have)
#define IsBlocked(d) (Count(known[d]) >= LIMIT)

#ifdef EACH_ALONE
#define AllTold() (true)
#else
#define AllTold() (!Missing(confirmed[0], own[0]) && !Missing(confirmed[1], own[1]) && \
                   !Missing(known[0], added_up) && !Missing(known[1], added_up) && \
                   (Count(added_up) < LIMIT || row != 0))
#endif

inline Forget(d)
{
  own[d] = 0;
  confirmed[d] = 0;
#ifdef NOTHING_KEPT
  known[d] = 0;
#else
  known[d] = row;
#endif
}

proctype Daemon(byte d)
{
end:
  do
  :: atomic {
       ended < LIVES && !IsBlocked(d) && (!told || AllTold()) ->
       if
       :: told -> late++; assert(late <= LATE_ALLOWED); assert(lost_something)
       :: else
       fi;
       own[d] = own[d] | (1 << ended);
       known[d] = known[d] | (1 << ended);
       ended++
     }
#ifndef EACH_ALONE
  :: atomic { /* a report arrives; its confirmation may be lost */
       Missing(confirmed[d], own[d]) ->
       added_up = added_up | own[d];
       if
       :: confirmed[d] = own[d]
       :: skip
       fi
     }
  :: atomic { Missing(known[d], added_up) -> known[d] = known[d] | added_up }
#endif
  :: atomic { !lost_something -> lost_something = true; Forget(d) }
  :: atomic { /* the daemon takes the lease */
       holder_changes < 1 ->
       holder_changes++;
       added_up = known[d];
#ifndef NOT_TOLD_AGAIN
       confirmed[0] = 0;
       confirmed[1] = 0
#endif
     }
  od
}

proctype Store()
{
end:
  do
  :: atomic { Count(added_up) >= LIMIT && row != added_up -> row = added_up }
  od
}

proctype Time()
{
end:
  do
  :: atomic { !told && ended >= LIMIT && AllTold() -> told = true }
  :: atomic {
       if
       :: row != 0 && killed_later < 1 -> killed_later++
       :: !lost_something -> lost_something = true
       fi;
       Forget(0);
       Forget(1);
       added_up = known[0]
     }
  od
}

init
{
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Store();
    run Time()
  }
}
