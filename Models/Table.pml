/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * Revisions of the table across concurrent edits, restarts and outages. Models
 * Source/Core/Serving/TableFollower.cpp.
 *
 * Two operators edit on the basis of the revision that they read. Two daemons follow the table: from the
 * platform while it is available, and from each other. A daemon may restart at any time and then has no table.
 *
 * Verified: no accepted edit overwrites another, and no daemon returns to a lower revision.
 * guards: NO_COMPARE ADOPT_ANY */

byte head = 0;  /* the platform's revision */
byte author[6]; /* operator whose edit created the revision; 0: none yet */
byte accepted = 0;
bool outage = false;
byte revision[2]; /* in force on each daemon */
bool ready[2];    /* a daemon without a table serves nothing */

proctype Operator(byte id)
{
  byte seen_revision, edits = 0;
  do
  :: edits < 2 ->
     edits++;
     atomic { !outage -> seen_revision = head };
     atomic {
       !outage ->
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: head == seen_revision ->
#endif
          assert(author[seen_revision + 1] == 0);
          author[seen_revision + 1] = id; head = seen_revision + 1; accepted++
       :: else -> skip  /* rejected with a typed conflict */
       fi
     }
  :: else -> break
  od
}

proctype Daemon(byte id)
{
  byte received_revision, previous_revision, restarts = 0;
end:
  do
  :: atomic { !outage && head > revision[id] -> received_revision = head }; goto adopt
  :: atomic { !outage && !ready[id] -> received_revision = head }; goto adopt
  :: atomic { ready[1 - id] -> received_revision = revision[1 - id] }; goto adopt
  :: atomic { restarts < 1 -> restarts++; revision[id] = 0; ready[id] = false }
  od;
adopt:
  atomic {
    previous_revision = revision[id];
#ifdef ADOPT_ANY
    revision[id] = received_revision;
#else
    if :: received_revision > revision[id] -> revision[id] = received_revision :: else -> skip fi;
#endif
    assert(!ready[id] || revision[id] >= previous_revision);
    assert(revision[id] <= head);
    ready[id] = true;
    received_revision = 0; previous_revision = 0
  };
  goto end
}

active proctype Outage()
{
  outage = true;
  outage = false
}

active proctype Monitor()
{
  assert(accepted == head)
}

init
{
  atomic { run Operator(1); run Operator(2); run Daemon(0); run Daemon(1) }
}
