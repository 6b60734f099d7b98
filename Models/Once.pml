/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * A call that is not repeatable, with lost responses of the platform. Models
 * Source/Core/Callers/PlainServices.cpp and Source/Core/Platform/Store.h.
 *
 * Three requests with the same key arrive at three daemons. Each writes the record before it sends the
 * call. The response to the write may be lost; the receipt then shows whether the write was committed.
 * The call may fail before it is sent or break off after it ran, and its daemon may terminate.
 *
 * Verified: the call runs at most once, and it has not run for a request that was answered "not run".
 * guards: NO_RECORD GUESS_COMMITTED RETRY_BROKEN */

mtype = { none, started, done, not_run, unknown };
mtype record = none;
byte version = 0;    /* of the record: each write increments it */
byte written_by = 9; /* the receipt: request that wrote this version */
byte runs = 0;
byte runs_of[3];
bool told_not_run[3];

proctype Request(byte id)
{
  byte seen_version;
  mtype read;
  bool committed = false, response_received;

  seen_version = 0;
write_record:
  atomic {
    committed = false;
#ifdef NO_RECORD
    committed = true;
#endif
    if
    :: version == seen_version -> record = started; version++; written_by = id; committed = true
    :: else -> skip
    fi
  }
  if :: response_received = true :: response_received = false fi;
  if
  :: response_received -> skip
  :: else ->
     /* The response was lost: the receipt shows whether the write was committed. */
#ifdef GUESS_COMMITTED
     committed = true
#else
     atomic { committed = (written_by == id && record == started) }
#endif
  fi;
  if
  :: committed -> goto send
  :: else -> skip
  fi;
  atomic { read = record; seen_version = version };
  if
  :: read == not_run -> goto write_record
  :: else -> goto finished  /* gets the stored response, or an error that it may have run */
  fi;
send:
  if
  :: atomic { version++; written_by = 9; record = not_run };  /* could not be sent */
     told_not_run[id] = true
  :: atomic { runs++; runs_of[id]++ };
     if
     :: atomic { record = done; version++; written_by = 9 }
     :: skip;  /* broke off after it ran */
#ifdef RETRY_BROKEN
        atomic { runs++; runs_of[id]++ };
#endif
        atomic { record = unknown; version++; written_by = 9 }
     :: skip  /* the daemon terminated: the record stays "started" */
     fi
  :: skip  /* the daemon terminated before it sent the call */
  fi;
finished:
  assert(runs <= 1);
  assert(!told_not_run[id] || runs_of[id] == 0)
}

init
{
  atomic { run Request(0); run Request(1); run Request(2) }
}
