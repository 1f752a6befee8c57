Feature: Forwarding handles planned stops, stalls and starts without lost flows or stale placement

  Scenario: During a planned stop a balancer is not ready, and keeps forwarding
    Given a forwarding node with routes and back ends
    When forwarding is asked to stop
    Then forwarding is not ready at once, keeps forwarding, and completes the stop within the grace time

  Scenario: A stalled reader places no flow before it has read the store
    Given a forwarding node with routes and back ends
    When forwarding was stalled for three seconds
    Then forwarding forwards open flows, and places new flows only after everything was read

  Scenario: A stalled follower places no flow before it has read the store
    Given a forwarding node with routes and back ends
    When forwarding was stalled for three seconds as a follower
    Then forwarding forwards open flows, and places new flows only after everything was read

  Scenario: After a stall new flows are placed after a second if the store is silent
    Given a forwarding node with routes and back ends
    When forwarding was stalled for three seconds
    Then forwarding places new flows after a second without the store

  Scenario: New flows that are read after a stall but before the late timers are not placed either
    Given a forwarding node with routes and back ends
    When forwarding is stalled for three seconds and reads a packet before its timers fire
    Then forwarding forwards open flows, and places new flows only after everything was read

  Scenario: A node without routes and back ends is not ready
    Given a fresh forwarding node whose store is silent
    Then forwarding is not ready and places no flow

  Scenario: While a fresh process reads the routes, open flows are forwarded and new flows are queued
    Given a fresh forwarding node whose store is silent
    When forwarding has read the list of back ends only
    Then forwarding forwards open flows and is not ready
    And forwarding queues 3 new flows and places them once the routes are read

  Scenario: New flows are queued for the routes for a limited time
    Given a fresh forwarding node whose store is silent
    When forwarding has read the list of back ends only
    And forwarding queues 3 new flows for more than a second
    Then forwarding places none of them once the routes are read

  Scenario: An answer received before a stall but handled after it confirms nothing
    Guards against an answer that waits in the socket while the process is stalled.  If it counts as
    a confirmation when it is handled, the read after the stall is dropped, and new flows are placed
    by a list as old as the stall:
      10.00 a read of the list is issued, and answered by the store
      13.00 stalled late_s=3.00; the answer is handled, new flows are placed, nothing is read again
    Given a forwarding node with routes and back ends
    When forwarding is stalled for three seconds while its reads are answered
    Then forwarding still places no flow, reads everything again, and places flows once that is answered
