Feature: A forwarding balancer stops, sleeps and wakes without harm

  Scenario: A planned stop leaves the routers first and forwards on
    Given a forwarding node with routes and back ends
    When forwarding is asked to stop
    Then forwarding is not ready at once, forwards on, and completes the stop in less than the grace time

  Scenario: A process that wakes late places no flow before it has read the store
    Given a forwarding node with routes and back ends
    When forwarding has slept for three seconds
    Then forwarding forwards open flows, places none, and places again once everything was read

  Scenario: A listener that wakes late places no flow before it has read the store either
    Given a forwarding node with routes and back ends
    When forwarding has slept for three seconds as a listener
    Then forwarding forwards open flows, places none, and places again once everything was read

  Scenario: A process that wakes late while the store is silent places again after a second
    Given a forwarding node with routes and back ends
    When forwarding has slept for three seconds
    Then forwarding places again after a second without the store

  Scenario: Packets that are read before the timers after a sleep are not placed either
    Given a forwarding node with routes and back ends
    When forwarding sleeps for three seconds and reads a packet before its timers fire
    Then forwarding forwards open flows, places none, and places again once everything was read

  Scenario: A node without knowledge is not ready
    Given a fresh forwarding node whose store is silent
    Then forwarding is not ready and places nothing

  Scenario: Open flows go on while a fresh process still reads the routes, new ones wait
    Given a fresh forwarding node whose store is silent
    When forwarding has read the list of back ends only
    Then forwarding forwards open flows and is not ready
    And forwarding holds 3 new flows and places them once the routes are read

  Scenario: New flows do not wait for routes without end
    Given a fresh forwarding node whose store is silent
    When forwarding has read the list of back ends only
    And forwarding lets 3 new flows wait for more than a second
    Then forwarding places none of them once the routes are read

  Scenario: An answer that was on its way while the process slept confirms nothing
    A read had been answered just before a balancer slept; the answer lay in its socket and was the
    first thing it took as it woke.  It counted as confirmed at that moment, the read that follows a
    sleep was dropped for it, and new flows were placed by a list as old as the sleep:
      10.00 a read of the list is issued, and answered by the store
      13.00 stalled late_s=3.00; the answer is taken, new flows are placed, nothing is read again
    Given a forwarding node with routes and back ends
    When forwarding sleeps for three seconds while its reads are answered
    Then forwarding still places no flow, reads everything again, and places once that is answered
