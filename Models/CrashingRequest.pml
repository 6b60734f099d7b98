/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A request that crashes every server that runs it is sent again at any daemon. Models
 * Source/Core/Crashes/CrashLedger.cpp, its use in Orders/Hub.cpp, and Orders/CrashArchive.cpp.
 *
 * Each daemon remembers the crashes that it observed or learned of. It reports its observations to the
 * holder of the order lease until the holder has confirmed them. Reports, confirmations and the holder's
 * updates may be lost, delayed or duplicated. The holder may change at any time; the next one has only
 * what it knew itself. At any moment one daemon or all of them are killed, once; after the row is
 * written, all may be killed once more. A daemon that starts knows what the row contains.
 *
 * Verified: once all messages after the third crash have arrived, the request is never sent again if no
 * daemon was killed before, and at most three more times in total if some were.
 * guards: EACH_ALONE NOT_TOLD_AGAIN NOTHING_KEPT */

#define DAEMONS 2
#define CRASHES_TO_BLOCK 3
#define INSTANCES 7
#define MAX_LATE_SENDS 3

byte crashes = 0;          /* crashed server instances; instance i is bit i of the sets below */
byte observed[DAEMONS];    /* observed by the daemon itself */
byte known[DAEMONS];       /* observed, or received from the holder */
byte confirmed[DAEMONS];   /* its observations that the current holder has confirmed */
byte holder_known = 0;     /* all crashes known to the holder */
byte stored = 0;           /* stored on the platform */
byte late_sends = 0;       /* requests sent when all daemons had to know */
bool all_informed = false; /* all messages after the third crash have arrived */
bool any_killed = false;
byte killed_after_store = 0;
byte holder_changes = 0;

#define Count(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1) + \
                  (((set) >> 4) & 1) + (((set) >> 5) & 1) + (((set) >> 6) & 1))
#define Lacks(have, want) ((have | want) != have)
#define IsBlocked(d) (Count(known[d]) >= CRASHES_TO_BLOCK)

#ifdef EACH_ALONE
#define AllInformed() (true)
#else
#define AllInformed() (!Lacks(confirmed[0], observed[0]) && !Lacks(confirmed[1], observed[1]) && \
                   !Lacks(known[0], holder_known) && !Lacks(known[1], holder_known) && \
                   (Count(holder_known) < CRASHES_TO_BLOCK || stored != 0))
#endif

inline Restart(d)
{
  observed[d] = 0;
  confirmed[d] = 0;
#ifdef NOTHING_KEPT
  known[d] = 0;
#else
  known[d] = stored;
#endif
}

proctype Daemon(byte d)
{
end:
  do
  :: atomic {
       crashes < INSTANCES && !IsBlocked(d) && (!all_informed || AllInformed()) ->
       if
       :: all_informed -> late_sends++; assert(late_sends <= MAX_LATE_SENDS); assert(any_killed)
       :: else
       fi;
       observed[d] = observed[d] | (1 << crashes);
       known[d] = known[d] | (1 << crashes);
       crashes++
     }
#ifndef EACH_ALONE
  :: atomic { /* a report arrives; its confirmation may be lost */
       Lacks(confirmed[d], observed[d]) ->
       holder_known = holder_known | observed[d];
       if
       :: confirmed[d] = observed[d]
       :: skip
       fi
     }
  :: atomic { Lacks(known[d], holder_known) -> known[d] = known[d] | holder_known }
#endif
  :: atomic { !any_killed -> any_killed = true; Restart(d) }
  :: atomic { /* the daemon takes the lease */
       holder_changes < 1 ->
       holder_changes++;
       holder_known = known[d];
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
  :: atomic { Count(holder_known) >= CRASHES_TO_BLOCK && stored != holder_known -> stored = holder_known }
  od
}

proctype Environment()
{
end:
  do
  :: atomic { !all_informed && crashes >= CRASHES_TO_BLOCK && AllInformed() -> all_informed = true }
  :: atomic {
       if
       :: stored != 0 && killed_after_store < 1 -> killed_after_store++
       :: !any_killed -> any_killed = true
       fi;
       Restart(0);
       Restart(1);
       holder_known = known[0]
     }
  od
}

init
{
  atomic {
    run Daemon(0);
    run Daemon(1);
    run Store();
    run Environment()
  }
}
