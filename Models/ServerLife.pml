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

#define CAPACITY 2
#define MAX_ORDERS 7 /* in total */
#define RESTARTS 2
#define MAX_PENDING 3

byte loaded = 0;   /* number of loaded models; which ones does not matter */
byte sequence = 0; /* orders that the current instance has accepted */
byte instance = 0;

/* Orders that the server may still carry out. */
bool in_transit[MAX_PENDING];
bool is_load[MAX_PENDING];
byte expected_sequence[MAX_PENDING];

/* State of the server as known to the holder. */
byte known_instance = 0;
byte known_loaded = 0;
byte known_sequence = 0;
bool awaiting_result = false; /* its last order has no result yet */
/* Loads without a result, and the instance that each was sent to. They count until they can no longer
 * arrive. The program counts them for as long as servers are known to carry out orders late. */
bool unresolved_load[MAX_PENDING];
byte sent_to_instance[MAX_PENDING];

byte orders_sent = 0;
byte index;

#define CanSend() \
  ((!in_transit[0] && !unresolved_load[0]) || (!in_transit[1] && !unresolved_load[1]) || \
   (!in_transit[2] && !unresolved_load[2]))

inline Execute(number)
{
  in_transit[number] = false;
  if
  :: expected_sequence[number] == sequence && is_load[number] ->
     assert(loaded < CAPACITY);
     loaded++; sequence++
  :: expected_sequence[number] == sequence && !is_load[number] && loaded > 0 ->
     loaded--; sequence++
  :: else -> skip /* rejected */
  fi
}

proctype Server()
{
  byte restarts = 0;
  do
  :: atomic { restarts < RESTARTS -> restarts++; instance++; loaded = 0; sequence = 0 }
  :: atomic { in_transit[0] -> Execute(0) }
  :: atomic { in_transit[1] -> Execute(1) }
  :: atomic { in_transit[2] -> Execute(2) }
  od
}

inline Send(load)
{
  if
  :: !in_transit[0] && !unresolved_load[0] -> index = 0
  :: !in_transit[1] && !unresolved_load[1] -> index = 1
  :: !in_transit[2] && !unresolved_load[2] -> index = 2
  fi;
  in_transit[index] = true;
  is_load[index] = load;
  expected_sequence[index] = known_sequence;
  unresolved_load[index] = load;
  sent_to_instance[index] = known_instance;
  awaiting_result = true;
  orders_sent++
}

/* A report states instance, sequence and models at one moment. */
inline ReadReport()
{
#ifdef NO_START
  known_instance = instance;
#endif
  if
  :: known_instance != instance ->
     /* The known state is void, except for the loads that may still arrive. */
     awaiting_result = false;
     known_instance = instance;
     known_sequence = sequence
  :: known_instance == instance && sequence > known_sequence -> known_sequence = sequence; awaiting_result = false
  :: else -> skip
  fi;
  known_loaded = loaded;
  assert(known_sequence == sequence);
  index = 0;
  do
  :: index < MAX_PENDING ->
     if
     :: !in_transit[index] -> unresolved_load[index] = false
     :: else -> skip
     fi;
     index++
  :: else -> break
  od
}

proctype Holder()
{
  byte reserved;
  do
  :: atomic { ReadReport() }
  :: atomic {
       !awaiting_result && orders_sent < MAX_ORDERS && CanSend() ->
       reserved = 0;
#ifndef NO_ROOM
       index = 0;
       do
       :: index < MAX_PENDING ->
          if
          :: unresolved_load[index] && expected_sequence[index] >= known_sequence &&
#ifdef ONLY_THE_LIFE_BEFORE
             sent_to_instance[index] + 1 == known_instance
#else
             sent_to_instance[index] != known_instance
#endif
             -> reserved++
          :: else -> skip
          fi;
          index++
       :: else -> break
       od;
#endif
       if
       :: known_loaded + reserved < CAPACITY -> Send(true)
       :: known_loaded > 0 -> Send(false)
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
