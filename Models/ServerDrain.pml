/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A server announces in its responses that it is draining, while its entry still calls it ready. Models
 * Source/Core/Gateway/DrainState.cpp, DrainRegistry.cpp and the conditions that ServerDirectory keeps.
 *
 * A daemon that has passed such a response on may, for GRACE more ticks, send to the server requests that no other
 * server takes; a request reaches the server within a tick. The entry may lapse and return as ready at any moment.
 * Daemons report the draining servers that they know to the holder of the order lease, and the holder sends updates to
 * all daemons. Messages are lost, duplicated, delayed and reordered. The holder changes at any moment, to a daemon that
 * may not know of the draining server yet.
 *
 * Verified: no request reaches the server later than BOUND ticks after its daemon has passed the announcement on; a
 * daemon stops reporting only while the last holder that it received an update from knows that the server is draining.
 * guards: NO_END ENTRY_OVERRULES LAPSE_FORGETS CONFIRM_ANY */

#define DAEMONS 2
#define GRACE 1
#define BOUND 2
#define TICKS 6
#define MAX_TENURE 3
#define NONE 255

byte now = 0;
bool draining = false;   /* the server, in all its responses */
byte passed_at[DAEMONS]; /* when the daemon first passed an announcement on; NONE: not yet */
byte known_at[DAEMONS];  /* the same time, as the daemon remembers it */
byte sent_at[DAEMONS];   /* its request that has not arrived yet; NONE: none */

byte tenure = 1;
byte holder = 0;
byte known_tenure[DAEMONS]; /* latest tenure known to the daemon */
byte announced_in[DAEMONS]; /* latest tenure whose holder informed the daemon that the server is draining */
bool knows[DAEMONS];        /* from a response, a report or an update */
/* Messages stay in the network, which covers duplicated, delayed and reordered ones. */
bool report_to[MAX_TENURE + 1];       /* report to the holder of a tenure: the server is draining */
bool update_of[MAX_TENURE + 1];       /* update of the holder of a tenure: the server is draining */
bool empty_update_of[MAX_TENURE + 1]; /* update without the server */

inline NoteAnnounced(d)
{
  if
  :: passed_at[d] == NONE -> passed_at[d] = now
  :: else
  fi;
  if
  :: known_at[d] == NONE -> known_at[d] = now
  :: else
  fi;
  if
  :: !knows[d] -> knows[d] = true; announced_in[d] = 0
  :: else
  fi
}

proctype Daemon(byte d)
{
  byte from_tenure;
end:
  do
  :: atomic { /* sends a request */
       sent_at[d] == NONE && now < TICKS &&
#ifndef NO_END
       (known_at[d] == NONE || now < known_at[d] + GRACE) &&
#endif
       true -> sent_at[d] = now
     }
  :: atomic { /* the request arrives, and its response returns */
       sent_at[d] != NONE ->
       assert(passed_at[d] == NONE || now <= passed_at[d] + BOUND);
       sent_at[d] = NONE;
       if
       :: draining -> NoteAnnounced(d)
       :: else
       fi
     }
  :: atomic { /* the entry is received again, as ready */
       known_at[d] != NONE ->
#ifdef ENTRY_OVERRULES
       known_at[d] = NONE;
#endif
       skip
     }
  :: atomic { /* the entry lapses and returns */
       known_at[d] != NONE ->
#ifdef LAPSE_FORGETS
       known_at[d] = NONE;
#endif
       skip
     }
  :: atomic { /* reports to the last holder known to it */
       knows[d] && announced_in[d] < known_tenure[d] -> report_to[known_tenure[d]] = true
     }
  :: atomic { /* as the holder, receives a report */
       d == holder && report_to[tenure] && !knows[d] -> knows[d] = true; announced_in[d] = tenure
     }
  :: atomic { /* as the holder, sends an update to all */
       d == holder ->
       known_tenure[d] = tenure;
       if
       :: knows[d] -> update_of[tenure] = true; announced_in[d] = tenure
       :: else -> empty_update_of[tenure] = true
       fi
     }
  :: atomic { /* receives an update with the server, of any holder */
       d != holder ->
       if
       :: update_of[1] -> from_tenure = 1
       :: update_of[2] -> from_tenure = 2
       :: update_of[3] -> from_tenure = 3
       fi;
       knows[d] = true;
       if
       :: from_tenure > known_tenure[d] -> known_tenure[d] = from_tenure
       :: else
       fi;
#ifdef CONFIRM_ANY
       announced_in[d] = known_tenure[d];
#else
       if
       :: from_tenure > announced_in[d] -> announced_in[d] = from_tenure
       :: else
       fi;
#endif
       from_tenure = 0
     }
  :: atomic { /* receives an update without the server */
       d != holder ->
       if
       :: empty_update_of[1] && known_tenure[d] < 1 -> known_tenure[d] = 1
       :: empty_update_of[2] && known_tenure[d] < 2 -> known_tenure[d] = 2
       :: empty_update_of[3] && known_tenure[d] < 3 -> known_tenure[d] = 3
       fi
     }
  od
}

proctype Environment()
{
end:
  do
  :: atomic { /* time passes; what has been sent arrives within a tick */
       now < TICKS && (sent_at[0] == NONE || sent_at[0] == now) &&
       (sent_at[1] == NONE || sent_at[1] == now) -> now++
     }
  :: draining = true
  :: atomic { /* the holder changes */
       tenure < MAX_TENURE ->
       tenure++;
       holder = 1 - holder
     }
  :: atomic { /* if a daemon has stopped reporting to the current holder, the holder knows */
       d_step {
         assert(!(knows[0] && holder == 1 && known_tenure[0] == tenure && announced_in[0] == tenure) || knows[1]);
         assert(!(knows[1] && holder == 0 && known_tenure[1] == tenure && announced_in[1] == tenure) || knows[0])
       }
     }
  od
}

init
{
  byte d;
  atomic {
    for (d : 0 .. DAEMONS - 1) {
      passed_at[d] = NONE;
      known_at[d] = NONE;
      sent_at[d] = NONE
    }
    run Daemon(0);
    run Daemon(1);
    run Environment()
  }
}
