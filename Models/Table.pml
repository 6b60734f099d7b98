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

byte head = 0;          /* the platform's revision */
byte author[6];         /* operator whose edit created the revision; 0: none yet */
byte accepted = 0;
bool outage = false;
byte revision[2];       /* in force on each daemon */
bool ready[2];          /* a daemon without a table serves nothing */

proctype Operator(byte me)
{
  byte seen, edits = 0;
  do
  :: edits < 2 ->
     edits++;
     atomic { !outage -> seen = head };
     atomic {
       !outage ->
       if
#ifdef NO_COMPARE
       :: true ->
#else
       :: head == seen ->
#endif
          assert(author[seen + 1] == 0);
          author[seen + 1] = me; head = seen + 1; accepted++
       :: else -> skip  /* rejected with a typed conflict */
       fi
     }
  :: else -> break
  od
}

proctype Daemon(byte me)
{
  byte offered, before, restarts = 0;
end:
  do
  :: atomic { !outage && head > revision[me] -> offered = head }; goto adopt
  :: atomic { !outage && !ready[me] -> offered = head }; goto adopt
  :: atomic { ready[1 - me] -> offered = revision[1 - me] }; goto adopt
  :: atomic { restarts < 1 -> restarts++; revision[me] = 0; ready[me] = false }
  od;
adopt:
  atomic {
    before = revision[me];
#ifdef ADOPT_ANY
    revision[me] = offered;
#else
    if :: offered > revision[me] -> revision[me] = offered :: else -> skip fi;
#endif
    assert(!ready[me] || revision[me] >= before);
    assert(revision[me] <= head);
    ready[me] = true;
    offered = 0; before = 0
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
