/* SPDX-FileCopyrightText: 2026 The drumpond developers
 * SPDX-License-Identifier: Apache-2.0
 *
 * Orders to a backend server that restarts under its id. Models Source/Core/Orders/OrderManager.cpp.
 *
 * The server has two slots for models. It carries out a load or an unload only if the expected sequence
 * is its own sequence, which it then increments. An order may stay without a result and be carried out at
 * any later time, also by the next instance, which starts empty and with sequence zero. The holder of
 * the order lease plans from the last report and gives one order at a time.
 *
 * Verified: no order loads more models than the server has slots for, and a report always resets the
 * holder's sequence to the server's.
 * guards: NO_START NO_ROOM ONLY_THE_LIFE_BEFORE */

#define PLACES 2
#define ORDERS 7  /* in total */
#define RESTARTS 2
#define UNDER_WAY 3

byte held = 0;     /* number of loaded models; which ones does not matter */
byte sequence = 0; /* orders that the current instance has accepted */
byte life = 0;

/* Orders that the server may still carry out. */
bool waits[UNDER_WAY];
bool is_load[UNDER_WAY];
byte expects[UNDER_WAY];

/* State of the server as known to the holder. */
byte known_life = 0;
byte known_held = 0;
byte known_sequence = 0;
bool open = false; /* its last order has no result yet */
/* Loads without a result, and the instance that each was sent to. They count until they can no longer
 * arrive. The program counts them for as long as servers are known to carry out orders late. */
bool unanswered[UNDER_WAY];
byte sent_in[UNDER_WAY];

byte given = 0;
byte place;

#define Free() \
  ((!waits[0] && !unanswered[0]) || (!waits[1] && !unanswered[1]) || (!waits[2] && !unanswered[2]))

inline Carry(n)
{
  waits[n] = false;
  if
  :: expects[n] == sequence && is_load[n] ->
     assert(held < PLACES);
     held++; sequence++
  :: expects[n] == sequence && !is_load[n] && held > 0 ->
     held--; sequence++
  :: else -> skip /* rejected */
  fi
}

proctype Server()
{
  byte restarts = 0;
  do
  :: atomic { restarts < RESTARTS -> restarts++; life++; held = 0; sequence = 0 }
  :: atomic { waits[0] -> Carry(0) }
  :: atomic { waits[1] -> Carry(1) }
  :: atomic { waits[2] -> Carry(2) }
  od
}

inline Send(load)
{
  if
  :: !waits[0] && !unanswered[0] -> place = 0
  :: !waits[1] && !unanswered[1] -> place = 1
  :: !waits[2] && !unanswered[2] -> place = 2
  fi;
  waits[place] = true;
  is_load[place] = load;
  expects[place] = known_sequence;
  unanswered[place] = load;
  sent_in[place] = known_life;
  open = true;
  given++
}

/* A report states instance, sequence and models at one moment. */
inline Look()
{
#ifdef NO_START
  known_life = life;
#endif
  if
  :: known_life != life ->
     /* The known state is void, except for the loads that may still arrive. */
     open = false;
     known_life = life;
     known_sequence = sequence
  :: known_life == life && sequence > known_sequence -> known_sequence = sequence; open = false
  :: else -> skip
  fi;
  known_held = held;
  assert(known_sequence == sequence);
  place = 0;
  do
  :: place < UNDER_WAY ->
     if
     :: !waits[place] -> unanswered[place] = false
     :: else -> skip
     fi;
     place++
  :: else -> break
  od
}

proctype Holder()
{
  byte reserved;
  do
  :: atomic { Look() }
  :: atomic {
       !open && given < ORDERS && Free() ->
       reserved = 0;
#ifndef NO_ROOM
       place = 0;
       do
       :: place < UNDER_WAY ->
          if
          :: unanswered[place] && expects[place] >= known_sequence &&
#ifdef ONLY_THE_LIFE_BEFORE
             sent_in[place] + 1 == known_life
#else
             sent_in[place] != known_life
#endif
             -> reserved++
          :: else -> skip
          fi;
          place++
       :: else -> break
       od;
#endif
       if
       :: known_held + reserved < PLACES -> Send(true)
       :: known_held > 0 -> Send(false)
       :: else -> skip
       fi
     }
  od
}

init
{
  run Server();
  run Holder()
}
