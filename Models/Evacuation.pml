/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * The operators evacuate a data centre and take it back; the store keeps the state and numbers its changes. Models
 * platform/PlatformDaemon.cpp (rows of the operators), Orders/TableFollower.h and Gateway/DispatcherPlaces.cpp.
 *
 * A daemon starts with nothing, reads a snapshot from the store or takes one from the holder of the order lease, and then
 * applies changes from both, which may be late, duplicated and reordered, also those of an earlier holder with an older
 * copy. It accepts a request, may be suspended, and sends the request later. It restarts at any moment and forgets all.
 *
 * Verified: what a daemon believes is the state at the version that it knows, its version never decreases within a run,
 * and it sends nothing to the data centre while the version that it knows says evacuated, or while it knows none.
 * guards: RESTART_SERVES OLD_OVERRULES SNAPSHOT_ADDS CHECK_ON_ARRIVAL */

#define DAEMONS 2
#define VERSIONS 4
#define NONE 255

byte newest = 0;
bool evacuated_at[VERSIONS];  /* state of the store by version */
byte known[DAEMONS];          /* version that the daemon knows; NONE: it has read nothing */
byte highest[DAEMONS];        /* highest version of this run */
bool believes[DAEMONS];       /* evacuated, as the daemon believes */
bool request_open[DAEMONS];   /* accepted, not sent yet */
bool may_send[DAEMONS];       /* the check on arrival */
/* Messages stay in the network, which covers late, duplicated and reordered ones. */
bool change_sent[VERSIONS];   /* relayed by a holder */
bool snapshot_sent[VERSIONS]; /* handed over by a holder or read from the store */

inline Know(d, v)
{
  known[d] = v;
  assert(highest[d] == NONE || v >= highest[d]);
  highest[d] = v
}

proctype Daemon(byte d)
{
  byte v;
end:
  do
  :: atomic { /* reads a snapshot, or is handed one by a daemon that has it */
       if
       :: snapshot_sent[0] -> v = 0
       :: snapshot_sent[1] -> v = 1
       :: snapshot_sent[2] -> v = 2
       :: snapshot_sent[3] -> v = 3
       fi;
       if
       :: known[d] == NONE || v > known[d] ->
#ifdef SNAPSHOT_ADDS
          believes[d] = believes[d] || evacuated_at[v];
#else
          believes[d] = evacuated_at[v];
#endif
          Know(d, v)
       :: else
       fi;
       v = 0
     }
  :: atomic { /* receives the change to the next version, or an older one again */
       if
       :: change_sent[1] -> v = 1
       :: change_sent[2] -> v = 2
       :: change_sent[3] -> v = 3
       fi;
       if
#ifdef OLD_OVERRULES
       :: known[d] != NONE && v <= known[d] + 1 -> believes[d] = evacuated_at[v]
#else
       :: known[d] != NONE && v == known[d] + 1 -> believes[d] = evacuated_at[v]; Know(d, v)
#endif
       :: else
       fi;
       v = 0
     }
  :: atomic { /* relays what it knows, as the holder or a former holder */
       known[d] != NONE ->
       snapshot_sent[known[d]] = true;
       if
       :: known[d] > 0 -> change_sent[known[d]] = true
       :: else
       fi
     }
  :: atomic { /* accepts a request */
       !request_open[d] ->
       request_open[d] = true;
       may_send[d] = !believes[d] && known[d] != NONE
     }
  :: atomic { /* sends it, perhaps after a suspension */
       request_open[d] &&
#ifdef CHECK_ON_ARRIVAL
       may_send[d]
#else
#ifdef RESTART_SERVES
       !believes[d]
#else
       !believes[d] && known[d] != NONE
#endif
#endif
       ->
       assert(known[d] != NONE && !evacuated_at[known[d]]);
       request_open[d] = false;
       may_send[d] = false
     }
  :: atomic { /* refuses it */
       request_open[d] -> request_open[d] = false; may_send[d] = false
     }
  :: atomic { /* restarts */
       known[d] != NONE ->
       known[d] = NONE;
       highest[d] = NONE;
       believes[d] = false;
       request_open[d] = false;
       may_send[d] = false
     }
  :: atomic { known[d] != NONE -> assert(believes[d] == evacuated_at[known[d]]) }
  od
}

proctype Store()
{
end:
  do
  :: atomic { /* the operators begin or end an evacuation */
       newest < VERSIONS - 1 ->
       evacuated_at[newest + 1] = !evacuated_at[newest];
       newest++
     }
  :: atomic { snapshot_sent[newest] = true }
  :: atomic { newest > 0 -> change_sent[newest] = true }
  od
}

init
{
  byte d;
  atomic {
    for (d : 0 .. DAEMONS - 1) {
      known[d] = NONE;
      highest[d] = NONE
    }
    run Daemon(0);
    run Daemon(1);
    run Store()
  }
}
