/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * Which software version began a stream that a caller resumes. Models Source/Core/Orders/OriginPlacement.cpp,
 * OriginExchange.cpp and MemberExchange.cpp (the copies), and Source/Core/Gateway/RelayResumption.cpp and
 * VersionHistory.cpp (streams of which no copy is found). Both parts are searched separately.
 *
 * Copies: a stream has begun through daemon 0 of data centre {0, 1}; {2, 3, 4} is another one. Daemons keep lists that
 * differ while a change is on its way or has been lost, until they receive the whole list. Each daemon that has an entry
 * sends it to the keepers that its new list gives and the former one did not, or that have restarted. Daemons are
 * killed, restart empty under the same address, and join, one after the other, with the lists settled in between: up to
 * FAULTS times, or once if a copy is lost. Copies are delayed. A resuming daemon asks two daemons of each data centre by
 * its own list.
 *
 * Versions: daemons follow the servers' entries with delay, miss changes and restart without history. A resuming daemon
 * receives any part of the replies; copies may all be lost; a reply to another query arrives.
 *
 * Verified: once the first copies have arrived, a daemon that is asked, or the asking one, has an entry; while the lists
 * are settled this holds within the second data centre alone; a stream is never bound to a version that did not begin it.
 * guards: ONE_COPY NO_MOVES MOVES_BY_ORIGIN_ONLY IGNORE_RUNS ASK_ONE NO_NONCE NO_PROOF NO_HISTORY FIRST_REPLY */

#define DAEMONS 5
#define FIRST_FAR 2 /* first daemon of the second data centre */
#define MIN_RUNNING 3
#define RUNNING (running[0] + running[1] + running[2] + running[3] + running[4])
#define FAULTS 3
#define LISTS 5 /* versions of the list: the first, and one for each fault */
#define NONE 255
#define CELL(list, d) ((list) * DAEMONS + (d))

/* Copies. */
bool running[DAEMONS];
byte run_of[DAEMONS];
bool has[DAEMONS];            /* the daemon has an entry */
bool in_transit[DAEMONS];     /* a copy for the daemon */
byte newest = 0;              /* the holder's list */
byte listed_run[LISTS * DAEMONS]; /* by list and daemon; 0: not in the list */
byte known[DAEMONS];          /* the daemon's list; NONE: none yet */
byte placed[DAEMONS];         /* the list by which its copies have been sent */
bool have_arrived = false;    /* the first copies */
byte faults = 0;
bool lost = false;
bool is_settled;
byte near, far, second;       /* result of FindKeepers */
byte old_near, old_far, old_second;
byte k, d, asked;
bool found, found_far;

#define LISTED(list, d) (listed_run[CELL(list, d)] != 0)

/* The keepers of the stream by a list: one in the data centre of daemon 0 and one in the other, or two there. */
inline FindKeepers(list)
{
  near = NONE;
  far = NONE;
  second = NONE;
  if
  :: list != NONE ->
     if
     :: LISTED(list, 1) -> near = 1
     :: else
     fi;
     for (k : FIRST_FAR .. DAEMONS - 1) {
       if
       :: LISTED(list, k) && far == NONE -> far = k
       :: LISTED(list, k) && far != NONE && second == NONE && near == NONE -> second = k
       :: else
       fi
     }
  :: else
  fi;
#ifdef ONE_COPY
  if
  :: near != NONE -> far = NONE
  :: else
  fi;
  second = NONE;
#endif
  skip
}

/* True if a copy has to be sent to k, which is a keeper by the new list. */
#ifdef IGNORE_RUNS
#define IS_NEW(k, from, to) (k != old_near && k != old_far && k != old_second)
#else
#define IS_NEW(k, from, to)                                                                                           \
  ((k != old_near && k != old_far && k != old_second) || from == NONE ||                                              \
   listed_run[CELL(from, k)] != listed_run[CELL(to, k)])
#endif

inline SendTo(receiver, sender)
{
  if
  :: receiver != NONE && receiver != sender && IS_NEW(receiver, placed[sender], known[sender]) ->
     in_transit[receiver] = true
  :: else
  fi
}

inline MoveCopies(sender)
{
  FindKeepers(placed[sender]);
  old_near = near;
  old_far = far;
  old_second = second;
  FindKeepers(known[sender]);
  SendTo(near, sender);
  SendTo(far, sender);
  SendTo(second, sender);
  placed[sender] = known[sender];
  ClearScratch()
}

inline ClearScratch()
{
  near = 0;
  far = 0;
  second = 0;
  old_near = 0;
  old_far = 0;
  old_second = 0;
  k = 0
}

/* The holder sees the daemons that run. */
inline UpdateList()
{
  newest++;
  for (k : 0 .. DAEMONS - 1) {
    listed_run[CELL(newest, k)] = (running[k] -> run_of[k] : 0)
  }
  k = 0
}

inline CheckSettled()
{
  is_settled = true;
  for (k : 0 .. DAEMONS - 1) {
    if
    :: running[k] && (known[k] != newest || (has[k] && placed[k] != newest) || (in_transit[k] && !has[k])) ->
       is_settled = false
    :: !running[k] && LISTED(newest, k) -> is_settled = false
    :: running[k] && listed_run[CELL(newest, k)] != run_of[k] -> is_settled = false
    :: else
    fi
  }
  k = 0
}

/* Checks that daemon d finds the origin by its own list. */
inline CheckFound()
{
  found = has[d];
  found_far = has[d];
  asked = 0;
  for (k : 0 .. DAEMONS - 1) {
    if
    :: k == FIRST_FAR -> asked = 0
    :: else
    fi;
    if
    :: k != d && LISTED(known[d], k) &&
#ifdef ASK_ONE
       asked < 1 ->
#else
       asked < 2 ->
#endif
       asked++;
       if
       :: running[k] && has[k] ->
          found = true;
          found_far = found_far || k >= FIRST_FAR
       :: else
       fi
    :: else
    fi
  }
  assert(found);
  CheckSettled();
  assert(!is_settled || lost || d < FIRST_FAR || found_far);
  is_settled = false;
  found = false;
  found_far = false;
  asked = 0;
  k = 0
}

proctype Copies()
{
end:
  do
  :: d_step { /* a daemon receives a change, or the whole list, from a daemon that has one */
       running[0] && known[0] != newest -> known[0] = newest
     }
  :: d_step { running[1] && known[1] != newest -> known[1] = newest }
  :: d_step { running[2] && known[2] != newest -> known[2] = newest }
  :: d_step { running[3] && known[3] != newest -> known[3] = newest }
  :: d_step { running[4] && known[4] != newest -> known[4] = newest }
  :: atomic { /* a daemon sends the copies for which the changed list calls */
       if
       :: running[0] && has[0] && known[0] != NONE && placed[0] != known[0] -> d = 0
       :: running[1] && has[1] && known[1] != NONE && placed[1] != known[1] -> d = 1
       :: running[2] && has[2] && known[2] != NONE && placed[2] != known[2] -> d = 2
       :: running[3] && has[3] && known[3] != NONE && placed[3] != known[3] -> d = 3
       :: running[4] && has[4] && known[4] != NONE && placed[4] != known[4] -> d = 4
       fi;
       d_step {
#ifdef NO_MOVES
         if
         :: placed[d] == NONE -> MoveCopies(d)
         :: else -> placed[d] = known[d]
         fi;
#else
#ifdef MOVES_BY_ORIGIN_ONLY
         if
         :: d == 0 -> MoveCopies(d)
         :: else -> placed[d] = known[d]
         fi;
#else
         MoveCopies(d);
#endif
#endif
         d = 0
       }
     }
  :: atomic { /* a copy arrives, or is lost */
       if
       :: in_transit[0] -> d = 0
       :: in_transit[1] -> d = 1
       :: in_transit[2] -> d = 2
       :: in_transit[3] -> d = 3
       :: in_transit[4] -> d = 4
       fi;
       in_transit[d] = false;
       if
       :: running[d] && !has[d] ->
          has[d] = true;
          /* What arrives has been placed by the sender's list; the receiver compares from its own. */
          placed[d] = known[d]
       :: !lost && faults <= 1 -> lost = true
       :: !running[d] || has[d]
       fi;
       d = 0
     }
  :: atomic { /* the first copies have arrived */
       !have_arrived ->
       CheckSettled();
       if
       :: is_settled && placed[0] != NONE -> have_arrived = true
       :: else
       fi;
       is_settled = false
     }
  :: atomic { /* a daemon is killed, restarts, or joins */
       have_arrived && faults < (lost -> 1 : FAULTS) ->
       CheckSettled();
       if
       :: is_settled ->
          is_settled = false;
          faults++;
          if
          :: d = 0
          :: d = 1
          :: d = 2
          :: d = 3
          :: d = 4
          fi;
          if
          :: running[d] && RUNNING > MIN_RUNNING -> running[d] = false
          :: run_of[d]++; running[d] = true
          fi;
          has[d] = false;
          known[d] = NONE;
          placed[d] = NONE;
          d = 0
       :: else -> is_settled = false
       fi
     }
  :: d_step { /* the holder notices */
       newest < LISTS - 1 ->
       CheckSettled();
       found = false;
       for (k : 0 .. DAEMONS - 1) {
         found = found || listed_run[CELL(newest, k)] != (running[k] -> run_of[k] : 0)
       }
       if
       :: found -> UpdateList()
       :: else
       fi;
       found = false;
       is_settled = false;
       k = 0
     }
  :: atomic { /* a daemon with a list resumes the stream */
       if
       :: have_arrived && running[0] && known[0] != NONE -> d = 0
       :: have_arrived && running[1] && known[1] != NONE -> d = 1
       :: have_arrived && running[2] && known[2] != NONE -> d = 2
       :: have_arrived && running[3] && known[3] != NONE -> d = 3
       :: have_arrived && running[4] && known[4] != NONE -> d = 4
       fi;
       d_step {
         CheckFound();
         d = 0
       }
     }
  od
}

/* Versions. Sets of versions are bit masks: 1, 2, or 3 for both. */
#define OBSERVERS 3
#define CHANGES 3
#define BEGINNER 0
#define RESUMING 1
#define OTHER 2
byte offered = 1;          /* by the servers now */
byte changes = 0;
byte starts = 0;
byte stream = 0;           /* the version that began the stream; 0: not begun */
byte seen[OBSERVERS];      /* versions since the daemon started */
bool is_fresh[OBSERVERS];  /* it has received the newest entries */
bool has_history[OBSERVERS]; /* it runs since before the stream began, and has missed no entries since */
bool knows[OBSERVERS];     /* it has an entry of the stream */
bool asks = false;
byte may_be = 0;           /* versions that those that replied have seen */
bool is_proven = false;    /* one of them has received the newest entries since the query, and has the history */
byte replies = 0;          /* bit mask */
byte bound = 0;

#ifdef NO_PROOF
#define IS_PROVEN(o) (has_history[o])
#else
#ifdef NO_HISTORY
#define IS_PROVEN(o) (is_fresh[o])
#else
#define IS_PROVEN(o) (is_fresh[o] && has_history[o])
#endif
#endif

inline Offer(versions)
{
  changes++;
  for (k : 0 .. OBSERVERS - 1) {
    if
    :: !is_fresh[k] -> has_history[k] = false
    :: else
    fi;
    is_fresh[k] = false
  }
  offered = versions;
  k = 0
}

inline Receive(o)
{
  is_fresh[o] = true;
  seen[o] = seen[o] | offered
}

inline Start(o)
{
  starts++;
  seen[o] = 0;
  is_fresh[o] = false;
  has_history[o] = false;
  knows[o] = false
}

inline Reply(o)
{
  if
  :: knows[o] -> bound = stream
  :: else ->
     replies = replies | (1 << o);
     may_be = may_be | seen[o];
     is_proven = is_proven || IS_PROVEN(o)
  fi
}

proctype Versions()
{
end:
  do
  :: d_step { changes < CHANGES && offered != 3 -> Offer(3) }
  :: d_step { changes < CHANGES && offered == 3 -> Offer(1) }
  :: d_step { changes < CHANGES && offered == 3 -> Offer(2) }
  :: d_step { !is_fresh[0] -> Receive(0) }
  :: d_step { !is_fresh[1] -> Receive(1) }
  :: d_step { !is_fresh[2] -> Receive(2) }
  :: d_step { starts < 2 && !asks -> Start(0) }
  :: d_step { starts < 2 && !asks -> Start(1) }
  :: d_step { starts < 2 -> Start(2) }
  :: atomic { /* the stream begins at a version that the daemon knows of; copies arrive or are lost */
       if
       :: stream == 0 && (offered & seen[BEGINNER] & 1) != 0 -> stream = 1
       :: stream == 0 && (offered & seen[BEGINNER] & 2) != 0 -> stream = 2
       fi;
       knows[BEGINNER] = true;
       for (k : 0 .. OBSERVERS - 1) {
         has_history[k] = true
       }
       k = 0;
       if
       :: knows[OTHER] = true
       :: skip
       fi
     }
  :: d_step { stream != 0 && !asks && bound == 0 -> asks = true }
  :: d_step { asks && bound == 0 && (replies & 1) == 0 -> Reply(BEGINNER) }
  :: d_step { asks && bound == 0 && (replies & 4) == 0 -> Reply(OTHER) }
  :: d_step { /* a reply to a query of another stream, which began at the other version */
       asks && bound == 0 ->
#ifdef NO_NONCE
       bound = 3 - stream;
#endif
       skip
     }
  :: d_step { /* goes on at the only version that is known */
       asks && bound == 0 && !knows[RESUMING] &&
#ifdef FIRST_REPLY
       replies != 0 && (may_be == 1 || may_be == 2) ->
       bound = may_be
#else
       (is_proven || IS_PROVEN(RESUMING)) &&
       ((may_be | seen[RESUMING]) == 1 || (may_be | seen[RESUMING]) == 2) ->
       bound = may_be | seen[RESUMING]
#endif
     }
  :: d_step { bound != 0 -> assert(bound == stream); bound = 0; asks = false; may_be = 0; is_proven = false;
       replies = 0 }
  od
}

init
{
  byte i;
  atomic {
    if
    :: /* some of the daemons 1 to 3 are missing at first */
       i = 0;
       do
       :: i < DAEMONS -> running[i] = true; run_of[i] = 1; i++
       :: i > 0 && i < DAEMONS - 1 && i - RUNNING < DAEMONS - MIN_RUNNING -> run_of[i] = 1; i++
       :: i == DAEMONS -> break
       od;
       for (i : 0 .. DAEMONS - 1) {
         known[i] = (running[i] -> 0 : NONE);
         placed[i] = known[i];
         listed_run[CELL(0, i)] = (running[i] -> 1 : 0)
       }
       has[0] = true;
       placed[0] = NONE; /* nothing has been sent */
       run Copies()
    :: for (i : 0 .. OBSERVERS - 1) {
         seen[i] = 1;
         is_fresh[i] = true;
         has_history[i] = true
       }
       run Versions()
    fi;
    i = 0
  }
}
