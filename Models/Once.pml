/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A call that may not be repeated, with lost answers of the platform. Stands for
 * Source/Core/Callers/PlainServices.cpp and Source/Core/Platform/Store.h.
 *
 * Three requests with one key come to three daemons. Each writes the record before it sends; the
 * answer to the write may be lost, and the receipt then tells what became of it. The call may fail
 * before it is sent, break off after it ran, or its daemon may die.
 *
 * Proved: the call runs at most once, and who is told "not run" has not run it.
 * guards: NO_RECORD GUESS_COMMITTED RETRY_BROKEN */

mtype = { none, started, done, not_run, unknown };
mtype record = none;
byte version = 0;   /* of the record: each write adds one */
byte written_by = 9; /* the receipt: whose write made this version */
byte runs = 0;
byte runs_of[3];
bool told_not_run[3];

proctype Request(byte me)
{
  byte seen;
  mtype read;
  bool committed = false, answered;

  seen = 0;
begin:
  atomic {
    committed = false;
#ifdef NO_RECORD
    committed = true;
#endif
    if
    :: version == seen -> record = started; version++; written_by = me; committed = true
    :: else -> skip
    fi
  }
  if :: answered = true :: answered = false fi;
  if
  :: answered -> skip
  :: else ->
     /* the answer was lost: the receipt tells */
#ifdef GUESS_COMMITTED
     committed = true
#else
     atomic { committed = (written_by == me && record == started) }
#endif
  fi;
  if
  :: committed -> goto send
  :: else -> skip
  fi;
  atomic { read = record; seen = version };
  if
  :: read == not_run -> goto begin
  :: else -> goto over  /* told the kept answer, or that it may have run */
  fi;
send:
  if
  :: atomic { version++; written_by = 9; record = not_run };  /* could not be sent */
     told_not_run[me] = true
  :: atomic { runs++; runs_of[me]++ };
     if
     :: atomic { record = done; version++; written_by = 9 }
     :: skip;  /* broke off after it ran */
#ifdef RETRY_BROKEN
        atomic { runs++; runs_of[me]++ };
#endif
        atomic { record = unknown; version++; written_by = 9 }
     :: skip  /* the daemon died: the record stays started */
     fi
  :: skip  /* the daemon died before it sent */
  fi;
over:
  assert(runs <= 1);
  assert(!told_not_run[me] || runs_of[me] == 0)
}

init
{
  atomic { run Request(0); run Request(1); run Request(2) }
}
